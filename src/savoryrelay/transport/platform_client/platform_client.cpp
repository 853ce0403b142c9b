// Implements the platform's services as HTTP exchanges and maps their failures.
#include "savoryrelay/transport/platform_client/platform_client.h"

#include "savoryrelay/protocol/platform/platform_messages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <array>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using state::failure_kind;

namespace {

constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

std::string percent_encoded(const std::string& text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

} // namespace

platform_client::platform_client(io_threads& threads, platform_client_settings settings)
    : m_threads(threads), m_settings(std::move(settings)) {}

asio::awaitable<state::attempt<platform_client::answer>>
platform_client::run_exchange(http_request request) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());

    // The platform may have closed an idle connection, which looks the same as a
    // lost reply. Reads may therefore reuse a connection; a write opens a new one.
    std::unique_ptr<endpoint_connection> connection;
    if (request.method() == http::verb::get) {
        connection = m_pool.take(context, m_settings.address, m_settings.port);
    }
    if (connection == nullptr) {
        connection = std::make_unique<endpoint_connection>(context);
        if (co_await connection->connect(m_settings.address, m_settings.port, m_settings.timeout)) {
            co_return state::failure{failure_kind::store_unavailable, "cannot connect"};
        }
    }
    const state::failure no_answer{failure_kind::store_result_unknown,
                                   "the platform did not answer"};
    if (co_await connection->send(request, m_settings.timeout)) {
        co_return no_answer;
    }
    if (co_await connection->read_header(m_settings.timeout)) {
        co_return no_answer;
    }
    answer received{connection->status(), {}};
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto [error, size] =
            co_await connection->read_some(asio::buffer(buffer), m_settings.timeout);
        if (error || received.body.size() + size > max_answer_bytes) {
            co_return no_answer;
        }
        if (size == 0) {
            break;
        }
        received.body.append(buffer.data(), size);
    }
    if (connection->reusable()) {
        m_pool.keep(context, m_settings.address, m_settings.port, std::move(connection));
    }
    co_return received;
}

state::result<platform_client::answer>
platform_client::exchange(http::verb method, const std::string& target, const std::string& body) {
    http_request request{method, target, 11};
    request.set(http::field::host, m_settings.address);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    auto done =
        asio::co_spawn(m_threads.next(), run_exchange(std::move(request)), asio::use_future).get();
    if (!done) {
        return state::fail(done.error());
    }
    return std::move(done.value());
}

state::result<std::string> platform_client::get(const std::string& target) {
    auto received = state::collect([&] { return exchange(http::verb::get, target, {}); });
    if (!received) {
        // A read changes nothing, so its result is never unknown.
        return state::fail(failure_kind::store_unavailable, received.error().detail);
    }
    if (received.value().status == status_not_found) {
        return state::fail(failure_kind::not_found, target + " does not exist");
    }
    if (received.value().status != status_ok) {
        return state::fail(failure_kind::store_unavailable,
                           "status " + std::to_string(received.value().status));
    }
    return std::move(received.value().body);
}

state::platform_hooks platform_client::hooks() {
    state::platform_hooks hooks;
    hooks.transact = [this](const state::table_transaction& transaction)
        -> state::result<state::transaction_result> {
        BOOST_LEAF_AUTO(received, exchange(http::verb::post, "/v1/table/transact",
                                           protocol::encode_transaction(transaction)));
        if (received.status != status_ok) {
            return state::fail(failure_kind::store_unavailable,
                               "status " + std::to_string(received.status));
        }
        BOOST_LEAF_AUTO(outcome, protocol::decode_transaction_result(received.body));
        if (!outcome) {
            return state::fail(failure_kind::store_result_unknown,
                               "the platform's answer has no result");
        }
        return *outcome;
    };
    hooks.read_write_result =
        [this](const std::string& key) -> state::result<std::optional<state::transaction_result>> {
        BOOST_LEAF_AUTO(body, get("/v1/table/writes/" + percent_encoded(key)));
        return protocol::decode_transaction_result(body);
    };
    hooks.read_row = [this](const std::string& key) -> state::result<state::table_row> {
        BOOST_LEAF_AUTO(body, get("/v1/table/rows?key=" + percent_encoded(key)));
        BOOST_LEAF_AUTO(rows, protocol::decode_rows(body));
        return rows.empty() ? state::table_row{key, {}, 0} : rows.front();
    };
    hooks.scan_rows =
        [this](const std::string& prefix) -> state::result<std::vector<state::table_row>> {
        BOOST_LEAF_AUTO(body, get("/v1/table/scan?prefix=" + percent_encoded(prefix)));
        return protocol::decode_rows(body);
    };
    hooks.put_object = [this](const std::string& name,
                              const std::string& content) -> state::result<void> {
        BOOST_LEAF_AUTO(received,
                        exchange(http::verb::put, "/v1/objects/" + percent_encoded(name), content));
        if (received.status == status_conflict) {
            return state::fail(failure_kind::store_conflict,
                               "object " + name + " exists with other content");
        }
        if (received.status != status_ok) {
            return state::fail(failure_kind::store_unavailable,
                               "status " + std::to_string(received.status));
        }
        return {};
    };
    hooks.get_object = [this](const std::string& name) {
        return get("/v1/objects/" + percent_encoded(name));
    };
    hooks.delete_object = [this](const std::string& name) -> state::result<void> {
        BOOST_LEAF_AUTO(received,
                        exchange(http::verb::delete_, "/v1/objects/" + percent_encoded(name), {}));
        // Deleting an object that does not exist succeeds.
        if (received.status != status_ok && received.status != status_not_found) {
            return state::fail(failure_kind::store_unavailable,
                               "status " + std::to_string(received.status));
        }
        return {};
    };
    hooks.list_objects =
        [this](const std::string& prefix) -> state::result<std::vector<std::string>> {
        BOOST_LEAF_AUTO(body, get("/v1/objects?prefix=" + percent_encoded(prefix)));
        return protocol::decode_object_names(body);
    };
    hooks.list_hosts = [this]() -> state::result<std::vector<state::platform_host>> {
        BOOST_LEAF_AUTO(body, get("/v1/hosts"));
        return protocol::decode_hosts(body);
    };
    return hooks;
}

} // namespace savoryrelay::transport
