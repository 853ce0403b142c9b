// Routes the paths of the platform's HTTP interface.
#include "platform_standin.h"

#include "savoryrelay/protocol/platform/platform_messages.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <vector>

namespace savoryrelay::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

} // namespace

platform_standin::answer platform_standin::answer_object(const transport::http_request& request,
                                                         const std::string& name) {
    if (request.method() == http::verb::put) {
        const auto put = state::collect([&] { return m_store.put_object(name, request.body()); });
        return {put ? status_ok : status_conflict, "{}", true};
    }
    if (request.method() == http::verb::delete_) {
        const auto removed = state::collect([&] { return m_store.delete_object(name); });
        return {removed ? status_ok : status_not_found, "{}", true};
    }
    const auto read = state::collect([&] { return m_store.get_object(name); });
    return read ? answer{status_ok, read.value()} : answer{status_not_found, "{}"};
}

platform_standin::answer platform_standin::answer_request(const transport::http_request& request) {
    const auto parsed = boost::urls::parse_origin_form(request.target());
    if (parsed.has_error()) {
        return {status_bad_request, "{}"};
    }
    std::vector<std::string> path;
    for (const auto& segment : parsed->segments()) {
        path.emplace_back(segment);
    }
    const auto parameter = [&](const char* name) {
        const auto params = parsed->params();
        const auto found = params.find(name);
        return found == params.end() ? std::string{} : std::string((*found).value);
    };
    const auto service = path.size() < 2 ? std::string{} : path[1];
    const auto item = path.size() < 3 ? std::string{} : path[2];
    if (service == "table" && item == "transact") {
        const auto read =
            state::collect([&] { return protocol::decode_transaction(request.body()); });
        if (!read) {
            return {status_bad_request, "{}"};
        }
        const auto done = state::collect([&] { return m_store.transact(read.value()); });
        return {status_ok, protocol::encode_transaction_result(done.value()), true};
    }
    if (service == "table" && item == "writes" && path.size() == 4) {
        const auto result = state::collect([&] { return m_store.read_write_result(path[3]); });
        return {status_ok, protocol::encode_transaction_result(result.value())};
    }
    if (service == "table" && item == "rows") {
        const auto row = state::collect([&] { return m_store.read_row(parameter("key")); });
        return {status_ok, protocol::encode_rows({row.value()})};
    }
    if (service == "table" && item == "scan") {
        const auto rows = state::collect([&] { return m_store.scan_rows(parameter("prefix")); });
        return {status_ok, protocol::encode_rows(rows.value())};
    }
    if (service == "objects" && path.size() == 3) {
        return answer_object(request, item);
    }
    if (service == "objects") {
        const auto names =
            state::collect([&] { return m_store.list_objects(parameter("prefix")); });
        return {status_ok, protocol::encode_object_names(names.value())};
    }
    if (service == "hosts") {
        const auto hosts = state::collect([&] { return m_store.list_hosts(); });
        return {status_ok, protocol::encode_hosts(hosts.value())};
    }
    return {status_not_found, "{}"};
}

asio::awaitable<void> platform_standin::handle(transport::http_request request,
                                               transport::response_writer& writer) {
    const auto reply = answer_request(request);
    if (reply.is_write && m_switches.lose_replies > 0) {
        --m_switches.lose_replies;
        writer.abandon();
        co_return;
    }
    co_await send_json(writer, reply.status, reply.body);
}

} // namespace savoryrelay::standin
