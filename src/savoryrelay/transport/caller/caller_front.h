// The callers' HTTP interface: decodes requests, carries out the decisions of
// the call coordinator, and relays answers. Streams are relayed without buffering
// them as a whole.
#pragma once

#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/protocol/event_stream/event_splitter.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/transport/caller/booking_hooks.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace savoryrelay::transport {

/// Hooks that the callers' front end calls.
struct caller_front_hooks {
    booking_hooks bookings;
    /// Returns whether the load balancer may send new calls to this process.
    std::function<bool(state::time_point now)> ready;
    /// Returns the current time.
    std::function<state::time_point()> now;
};

/// Limits of one HTTP exchange with an endpoint.
struct exchange_limits {
    state::milliseconds connect_timeout{1'000};
    state::milliseconds send_timeout{5'000};
    std::size_t max_answer_bytes = 16 * 1024 * 1024; ///< applies to answers that are not streams
};

/// Handles callers' requests. It must outlive the server that calls it.
class caller_front {
public:
    caller_front(coordination::call_coordinator& coordinator,
                 const state::snapshot_cell<state::configuration>& configuration,
                 state::metrics& metrics, exchange_limits limits, caller_front_hooks hooks);

    /// Answers one request. Serves as the handler of the callers' HTTP server.
    boost::asio::awaitable<void> handle(http_request request, response_writer& writer);

private:
    struct exchange; // one attempt at an endpoint

    /// Accepts a decoded request and carries out its call, or refuses it.
    boost::asio::awaitable<void>
    serve_call(const state::attempt<coordination::call_request>& decoded,
               const http_request& request, response_writer& writer);
    /// Waits until an accepted call may start, and carries it out.
    boost::asio::awaitable<void> run_call(std::shared_ptr<coordination::call> accepted,
                                          const http_request& request, response_writer& writer);
    boost::asio::awaitable<void> relay_call(std::shared_ptr<coordination::call> accepted,
                                            const http_request& request, response_writer& writer);
    /// Carries out a call that may run at most once: stores the intent, sends the
    /// request, and stores the outcome before it answers the caller.
    boost::asio::awaitable<void> run_booking(std::shared_ptr<coordination::call> accepted,
                                             const http_request& request, response_writer& writer);

    /// Waits until the call may start. If it may not, refuses it and returns false.
    boost::asio::awaitable<bool> wait_for_start(coordination::call& accepted,
                                                response_writer& writer);
    /// Connects, sends the request and reads the header of the answer. On failure
    /// sets the attempt's end and returns false.
    boost::asio::awaitable<bool> open_exchange(exchange& attempt);
    /// Carries out one attempt and sets its end.
    boost::asio::awaitable<void> run_exchange(exchange& attempt, stored_answer& answer);
    boost::asio::awaitable<coordination::exchange_end> relay_stream(exchange& attempt);
    boost::asio::awaitable<coordination::exchange_end> read_answer(exchange& attempt,
                                                                   stored_answer& answer);
    /// Reads the header of the answer. If the endpoint is silent for longer than `limit`,
    /// fails only if the call leaves it or ends.
    boost::asio::awaitable<boost::system::error_code> read_header(exchange& attempt,
                                                                  state::milliseconds limit);
    /// Reads bytes of the answer into the attempt's buffer, and fails as `read_header` does.
    boost::asio::awaitable<std::pair<boost::system::error_code, std::size_t>>
    read_bytes(exchange& attempt, state::milliseconds limit);
    /// Returns whether the call waits on for the silent endpoint of the attempt.
    [[nodiscard]] bool waits_on(const exchange& attempt);
    boost::asio::awaitable<void> refuse(const state::failure& error,
                                        const state::request_id& request, response_writer& writer);
    boost::asio::awaitable<void> send_answer(const coordination::call& accepted,
                                             const stored_answer& answer, response_writer& writer);
    boost::asio::awaitable<void> serve_models(const http_request& request, response_writer& writer);

    coordination::call_coordinator& m_coordinator;
    const state::snapshot_cell<state::configuration>& m_configuration;
    state::metrics& m_metrics;
    exchange_limits m_limits;
    caller_front_hooks m_hooks;
    endpoint_pool m_pool;
    state::counter& m_tokens;
    state::quantiles& m_first_token;
    state::quantiles& m_token_interval;
};

} // namespace savoryrelay::transport
