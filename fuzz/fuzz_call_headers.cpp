// Fuzzes the decoding of callers' requests and endpoints' answers, from the bytes of an HTTP
// message on. Checks the request that would be forwarded.
#include "platform/call_headers.h"
#include "platform/wire_names.h"
#include "savoryrelay/coordination/retry/crash_watch.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>
#include <string_view>

using namespace savoryrelay;

namespace http = boost::beast::http;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void check_request(std::string_view bytes) {
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(bytes), failed);
    if (failed || !parser.is_done()) {
        return;
    }
    const auto request = parser.release();
    const auto call = platform::decode_call(request);
    if (call.deadline) {
        require(*call.deadline >= state::milliseconds(0) && *call.deadline <= state::max_duration);
    }
    require(call.prompt_tokens >= 0 && call.max_answer_tokens >= 0);
    require(!coordination::fingerprints_of(call, "customer", request.body()).empty());

    const transport::endpoint_request_values values{state::endpoint_id("i-1"), "customer",
                                                    state::milliseconds(500), 7};
    const auto forwarded = platform::make_endpoint_request(request, values);
    require(forwarded.method_string() == request.method_string());
    require(forwarded.target() == request.target());
    require(forwarded.body() == request.body());
    for (const auto name : {platform::wire::customer, platform::wire::expected_instance,
                            platform::wire::deadline, platform::wire::last_event}) {
        require(forwarded.count(std::string(name)) == 1);
    }
    for (const auto* name : {"Connection", "Transfer-Encoding", "Trailer", "Upgrade"}) {
        require(forwarded.count(name) == 0);
    }
    require(forwarded.count(std::string(platform::wire::key)) == 0);

    // A parser reads back the one request that is sent.
    std::ostringstream sent;
    sent << forwarded;
    http::request_parser<http::string_body> receiver;
    receiver.eager(true);
    const auto text = sent.str();
    const auto read = receiver.put(boost::asio::buffer(text), failed);
    require(!failed && receiver.is_done() && read == text.size());
    require(receiver.get().body() == request.body());
}

void check_answer(std::string_view bytes) {
    http::response_parser<http::string_body> parser;
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(bytes), failed);
    if (!parser.is_header_done()) {
        return;
    }
    transport::http_fields fields;
    for (const auto& field : parser.get()) {
        fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    const auto head = platform::decode_answer(parser.get().result_int(), fields);
    require(head.is_not_run || !head.is_other_endpoint);
    require(head.pause >= state::milliseconds(0) && head.pause <= platform::max_pause);
    require(head.status == 503 || head.pause_field == state::pause_reading::absent);
    require(platform::select_caller_fields(fields).size() <= fields.size());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (bytes.starts_with("HTTP/")) {
        check_answer(bytes);
    } else {
        check_request(bytes);
    }
    return 0;
}
