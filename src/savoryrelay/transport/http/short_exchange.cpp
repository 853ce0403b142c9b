// Takes a connection, sends the request and reads the complete answer.
#include "savoryrelay/transport/http/short_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>

#include <chrono>
#include <vector>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using state::failure_kind;

namespace {

// A page of the store has at most 1 MB of values, in base64 within JSON.
constexpr std::size_t max_answer_bytes = 4 * 1024 * 1024;
constexpr std::size_t read_buffer_bytes = 16 * 1024;

} // namespace

asio::awaitable<state::attempt<short_answer>>
run_exchange(endpoint_pool& pool, exchange_target target, http_request request) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const bool is_pooled = target.connections == connection_choice::pooled;
    auto connection = is_pooled ? pool.take(context, target.address, target.port) : nullptr;
    if (connection == nullptr) {
        connection = std::make_unique<endpoint_connection>(context);
        const auto failed =
            co_await connection->connect(target.address, target.port, target.connect_timeout);
        if (failed) {
            co_return state::failure{failure_kind::endpoint_unreachable,
                                     target.address + ": " + failed.message()};
        }
    }
    // The process may have been paused while the connection was opened.
    if (target.may_send && !target.may_send()) {
        co_return state::failure{failure_kind::endpoint_unreachable,
                                 target.address + ": the request may no longer be sent"};
    }
    request.prepare_payload();
    if (const auto failed = co_await connection->send(request, target.answer_timeout)) {
        co_return state::failure{failure_kind::endpoint_failed,
                                 target.address + ": " + failed.message()};
    }
    if (const auto failed = co_await connection->read_header(target.answer_timeout)) {
        co_return state::failure{failure_kind::endpoint_failed,
                                 target.address + ": " + failed.message()};
    }
    short_answer answer{connection->status(), {}, connection->fields()};
    if (target.on_head) {
        target.on_head(answer.status, answer.fields);
    }
    std::vector<char> buffer(read_buffer_bytes);
    const auto deadline = std::chrono::steady_clock::now() + target.whole_answer_timeout;
    while (true) {
        const auto [failed, size] =
            co_await connection->read_some(asio::buffer(buffer), target.answer_timeout);
        const bool is_late = size > 0 && std::chrono::steady_clock::now() >= deadline;
        if (failed || is_late || answer.body.size() + size > max_answer_bytes) {
            co_return state::failure{failure_kind::endpoint_failed,
                                     target.address + ": the answer is incomplete or too large"};
        }
        if (size == 0) {
            break;
        }
        answer.body.append(buffer.data(), size);
    }
    if (is_pooled && connection->reusable() &&
        (!target.may_keep || target.may_keep(answer.status))) {
        pool.keep(context, target.address, target.port, std::move(connection));
    }
    co_return answer;
}

} // namespace savoryrelay::transport
