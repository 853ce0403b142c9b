// Queries the endpoints of a service and combines their answers.
#include "savoryrelay/transport/service_client/service_client.h"

#include "savoryrelay/protocol/booking/service_key_text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using coordination::service_key_report;
using coordination::service_key_status;
using state::failure_kind;

namespace {

// The limit is the same as for a service's answer to a caller.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

// Answer of an endpoint that has never received the key.
constexpr const char* absent_key_text = R"({"state":"absent"})";

std::string booking_path(const std::string& service_key) {
    return "/bookings/" + boost::urls::encode(service_key, boost::urls::unreserved_chars);
}

} // namespace

service_client::service_client(io_threads& threads,
                               const state::snapshot_cell<state::configuration>& configuration,
                               state::milliseconds timeout)
    : m_threads(threads), m_configuration(configuration), m_timeout(timeout) {}

asio::awaitable<state::attempt<std::string>>
service_client::run_exchange(state::endpoint_config endpoint, http_request request) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const state::failure no_answer{failure_kind::endpoint_failed,
                                   "no answer from service endpoint '" + endpoint.id.value() + "'"};
    endpoint_connection connection(context);
    if (co_await connection.connect(endpoint.address, endpoint.port, m_timeout)) {
        co_return no_answer;
    }
    if (co_await connection.send(request, m_timeout)) {
        co_return no_answer;
    }
    if (co_await connection.read_header(m_timeout)) {
        co_return no_answer;
    }
    std::string body;
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto [error, size] = co_await connection.read_some(asio::buffer(buffer), m_timeout);
        if (error || body.size() + size > max_answer_bytes) {
            co_return no_answer;
        }
        if (size == 0) {
            break;
        }
        body.append(buffer.data(), size);
    }

    // Only a read may report a missing key as absent. For a request to close a key,
    // status 404 is a failure.
    if (connection.status() == status_not_found && request.method() == http::verb::get) {
        co_return std::string(absent_key_text);
    }
    if (connection.status() != status_ok) {
        const state::failure refused{failure_kind::endpoint_failed,
                                     "status " + std::to_string(connection.status()) +
                                         " from service endpoint '" + endpoint.id.value() + "'"};
        co_return refused;
    }
    co_return body;
}

state::result<service_key_report>
service_client::query_endpoint(const state::endpoint_config& endpoint, http::verb method,
                               const std::string& target) {
    http_request request{method, target, 11};
    request.set(http::field::host, endpoint.address);
    request.keep_alive(false);
    request.prepare_payload();
    const auto received =
        asio::co_spawn(m_threads.next(), run_exchange(endpoint, std::move(request)),
                       asio::use_future)
            .get();
    if (!received) {
        return state::fail(received.error());
    }
    BOOST_LEAF_AUTO(message, protocol::decode_service_key_message(received.value()));
    const auto key_status = state::from_name<service_key_status>(message.state);
    if (!key_status) {
        return state::fail(failure_kind::message_damaged,
                           "service key report: unknown state '" + message.state + "'");
    }
    return service_key_report{*key_status, message.answer};
}

state::result<service_key_report>
service_client::query_endpoints(const state::deployment_id& deployment, http::verb method,
                                const std::string& target) {
    const auto configuration = m_configuration.load();
    std::size_t queried = 0;
    std::size_t closed = 0;
    std::optional<state::failure> first_failure;
    std::optional<service_key_report> running;
    for (const auto& endpoint : configuration->endpoints) {
        if (endpoint.deployment != deployment) {
            continue;
        }
        ++queried;
        const auto reported =
            state::collect([&] { return query_endpoint(endpoint, method, target); });
        if (!reported) {
            first_failure = first_failure.value_or(reported.error());
        } else if (reported.value().key_status == service_key_status::ran) {
            return reported.value();
        } else if (reported.value().key_status == service_key_status::running) {
            running = reported.value();
        } else {
            closed += reported.value().key_status == service_key_status::closed ? 1 : 0;
        }
    }
    if (running) {
        return *running;
    }
    if (first_failure) {
        return state::fail(*first_failure);
    }
    if (queried == 0) {
        return state::fail(failure_kind::endpoint_failed,
                           "deployment '" + deployment.value() + "' has no endpoint");
    }
    return service_key_report{
        closed == queried ? service_key_status::closed : service_key_status::absent, {}};
}

coordination::booking_service_hooks service_client::hooks() {
    return {
        .read_back =
            [this](const state::deployment_id& deployment, const std::string& service_key) {
                return query_endpoints(deployment, http::verb::get, booking_path(service_key));
            },
        .close_key =
            [this](const state::deployment_id& deployment, const std::string& service_key) {
                return query_endpoints(deployment, http::verb::post,
                                       booking_path(service_key) + "/close");
            },
    };
}

} // namespace savoryrelay::transport
