// Configures Boost.Log with a bounded queue and formats the lines.
#include "savoryrelay/transport/process/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/formatter_parser.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <poll.h>
#include <unistd.h>

namespace savoryrelay::transport {
namespace {

namespace sinks = boost::log::sinks;

// Largest number of lines that wait for the writing thread, about 1 MB with lines of
// 250 bytes.
constexpr std::size_t queue_lines = 4'096;
// If the reader of the output frees no space within this time, it counts as stalled.
constexpr int reader_wait_ms = 20;
// A writable pipe accepts this many bytes in one write (POSIX: PIPE_BUF).
constexpr std::size_t max_line_bytes = 4'096;

std::atomic<std::uint64_t> dropped_lines{0};

/// Overflow policy of the queue: drops the new line and counts it.
struct drop_and_count {
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view&, Lock&) {
        dropped_lines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

/// Writes complete lines to standard output and drops lines while its reader is
/// stalled.
class standard_output
    : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
public:
    void consume(const boost::log::record_view&, const string_type& text) {
        const auto dropped_now = dropped_lines.load(std::memory_order_relaxed);
        if (dropped_now != m_reported_drops &&
            write_line("level=warning event=log_dropped lines=" + std::to_string(dropped_now))) {
            m_reported_drops = dropped_now;
        }
        if (!write_line(text)) {
            dropped_lines.fetch_add(1, std::memory_order_relaxed);
        }
    }

private:
    bool write_line(std::string line) {
        line.resize(std::min(line.size(), max_line_bytes - 1));
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        m_is_reader_stalled = ::poll(&output, 1, m_is_reader_stalled ? 0 : reader_wait_ms) != 1 ||
                              (output.revents & POLLOUT) == 0;
        return !m_is_reader_stalled && ::write(STDOUT_FILENO, line.data(), line.size()) ==
                                           static_cast<ssize_t>(line.size());
    }

    bool m_is_reader_stalled = false;
    std::uint64_t m_reported_drops = 0;
};

using log_sink = sinks::asynchronous_sink<standard_output,
                                          sinks::bounded_fifo_queue<queue_lines, drop_and_count>>;

boost::shared_ptr<log_sink>& sink() {
    static boost::shared_ptr<log_sink> instance;
    return instance;
}

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
    sink() = boost::make_shared<log_sink>(boost::make_shared<standard_output>());
    sink()->set_formatter(boost::log::parse_formatter("%TimeStamp% %Message%"));
    boost::log::core::get()->add_sink(sink());
}

void stop_log() {
    if (sink() == nullptr) {
        return;
    }
    boost::log::core::get()->remove_sink(sink());
    sink()->stop();
    sink()->flush();
    sink().reset();
}

std::uint64_t dropped_log_lines() {
    return dropped_lines.load(std::memory_order_relaxed);
}

void log_info(std::string_view event, std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(info) << "level=info event=" << to_line(event, fields);
}

void log_warning(std::string_view event, std::initializer_list<log_field> fields) {
    BOOST_LOG_TRIVIAL(warning) << "level=warning event=" << to_line(event, fields);
}

} // namespace savoryrelay::transport
