// Set-up of Boost.Log and the form of a line.
#include "savoryrelay/transport/process/log.h"

#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace savoryrelay::transport {
namespace {

std::string to_line(std::string_view event, std::initializer_list<log_field> fields) {
    std::string line(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        const bool quoted = field.value.find_first_of(" \"\n\r") != std::string::npos;
        if (!quoted) {
            line += field.value;
            continue;
        }
        line += '"';
        for (const char c : field.value) {
            line += c == '"' || c == '\n' || c == '\r' ? '\'' : c;
        }
        line += '"';
    }
    return line;
}

} // namespace

void start_log() {
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::cerr, boost::log::keywords::format = "%TimeStamp% %Message%",
                                boost::log::keywords::auto_flush = true);
}

void log_change(std::string_view event, std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(info) << "level=info event=" << to_line(event, fields);
}

void log_warning(std::string_view event, std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(warning) << "level=warning event=" << to_line(event, fields);
}

} // namespace savoryrelay::transport
