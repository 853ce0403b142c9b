// Answers the requests of callers: carries out the attempts of their calls, and sends
// answers and refusals.
#include "savoryrelay/transport/caller/caller_front.h"

#include "savoryrelay/protocol/http_api/caller_api.h"
#include "savoryrelay/state/booking/booking_row.h"
#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/transport/caller/caller_exchange.h"
#include "savoryrelay/transport/caller/caller_request.h"
#include "savoryrelay/transport/process/await_completion.h"

#include <boost/asio/this_coro.hpp>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using coordination::exchange_end;
using state::failure_kind;

namespace {

constexpr std::string_view json_type = "application/json";
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_too_many_requests = 429;

// A refusal before the call is accepted carries no request id. This constant is
// a named object because g++ 12 destroys an aggregate temporary in a co_await
// expression twice; the arguments of other co_await calls are named for the same reason.
const state::request_id no_request{};

/// Returns the header fields of a complete answer or a refusal.
http_fields answer_fields(std::string type, state::execution_outcome outcome,
                          const state::request_id& request) {
    auto fields = content_type_field(std::move(type));
    fields.push_back({"Savoryrelay-Outcome", std::string(state::to_name(outcome))});
    fields.push_back({"Savoryrelay-Request-Id", request.value()});
    return fields;
}

} // namespace

caller_front::caller_front(coordination::call_coordinator& coordinator,
                           const state::snapshot_cell<state::configuration>& configuration,
                           state::metrics& metrics, exchange_limits limits,
                           caller_front_hooks hooks)
    : m_coordinator(coordinator), m_configuration(configuration), m_metrics(metrics),
      m_limits(limits), m_hooks(std::move(hooks)),
      m_tokens(metrics.counter_of("tokens_relayed_total")),
      m_first_token(metrics.quantiles_of("first_token_seconds")),
      m_token_interval(metrics.quantiles_of("token_interval_seconds")) {}

asio::awaitable<void> caller_front::handle(http_request request, response_writer& writer) {
    const std::string target(request.target());
    const bool is_post = request.method() == http::verb::post;
    if (target == "/healthz") {
        co_await writer.send(200, content_type_field("text/plain"), "ok\n");
    } else if (target == "/readyz") {
        const bool ready = m_hooks.ready(m_hooks.now());
        co_await writer.send(ready ? 200 : status_unavailable, content_type_field("text/plain"),
                             ready ? "ready\n" : "not ready\n");
    } else if (target == "/metrics") {
        co_await writer.send(200, content_type_field("text/plain; version=0.0.4"),
                             m_metrics.to_prometheus());
    } else if (target == "/v1/models" && request.method() == http::verb::get) {
        co_await serve_models(request, writer);
    } else if (is_post && (target == "/v1/chat/completions" || target == "/v1/completions")) {
        const auto decoded = state::collect([&] { return read_completion(request); });
        co_await serve_call(decoded, request, writer);
    } else if (target.starts_with(service_path)) {
        const auto decoded = state::collect([&] { return read_service_call(request); });
        co_await serve_call(decoded, request, writer);
    } else {
        const state::failure unknown_path{failure_kind::not_found, "no such path or method"};
        co_await refuse(unknown_path, no_request, writer);
    }
}

asio::awaitable<void> caller_front::refuse(const state::failure& error,
                                           const state::request_id& request,
                                           response_writer& writer) {
    const auto& kind = state::properties_of(error.kind);
    const auto outcome = error.reported_outcome();
    m_metrics
        .counter_of("refusals_" + std::string(kind.name) + "_" +
                    (outcome == state::execution_outcome::not_run ? "not_run"
                     : outcome == state::execution_outcome::ran   ? "ran"
                                                                  : "unknown") +
                    "_total")
        .add();
    const auto body = protocol::encode_refusal(error, request);
    if (writer.started()) {
        // The status has already been sent. An error event and the missing last chunk
        // tell the caller that the answer is incomplete.
        co_await writer.write("event: error\ndata: " + body + "\n\n");
        writer.abandon();
        co_return;
    }
    auto fields = answer_fields(std::string(json_type), outcome, request);
    if (kind.http_status == status_too_many_requests ||
        kind.http_status == static_cast<int>(status_unavailable)) {
        fields.push_back({"Retry-After", "1"});
    }
    co_await writer.send(static_cast<unsigned>(kind.http_status), fields, body);
}

asio::awaitable<void> caller_front::serve_models(const http_request& request,
                                                 response_writer& writer) {
    const auto configuration = m_configuration.load();
    const auto* customer =
        configuration->find_customer(state::sha256_hex(read_bearer_token(request)));
    if (customer == nullptr) {
        const state::failure unknown_token{failure_kind::unauthenticated,
                                           "the bearer token is not known"};
        co_await refuse(unknown_token, no_request, writer);
        co_return;
    }
    co_await writer.send(200, content_type_field(std::string(json_type)),
                         protocol::encode_models(*configuration, customer->id));
}

asio::awaitable<void>
caller_front::serve_call(const state::attempt<coordination::call_request>& decoded,
                         const http_request& request, response_writer& writer) {
    auto accepted = state::collect([&]() -> state::result<std::shared_ptr<coordination::call>> {
        if (!decoded) {
            return state::fail(decoded.error());
        }
        return m_coordinator.accept(decoded.value(), m_hooks.now());
    });
    if (!accepted) {
        co_await refuse(accepted.error(), no_request, writer);
        co_return;
    }
    try {
        co_await run_call(accepted.value(), request, writer);
    } catch (...) {
        // The server answers the caller. Without this the call would hold its capacity.
        m_coordinator.finish(*accepted.value(), state::execution_outcome::unknown, m_hooks.now());
        throw;
    }
}

asio::awaitable<void> caller_front::run_call(std::shared_ptr<coordination::call> accepted,
                                             const http_request& request, response_writer& writer) {
    const bool started = co_await wait_for_start(*accepted, writer);
    if (!started) {
        co_return;
    }
    const auto& deployment = *accepted->deployment;
    if (deployment.kind == state::deployment_kind::service &&
        deployment.repeat == state::repeat_rule::at_most_once) {
        co_await run_booking(accepted, request, writer);
    } else {
        co_await relay_call(accepted, request, writer);
    }
}

asio::awaitable<bool> caller_front::wait_for_start(coordination::call& accepted,
                                                   response_writer& writer) {
    const auto started =
        co_await await_completion<state::attempt<state::done>>([&](auto completion) {
            m_coordinator.wait_for_start(accepted, m_hooks.now(), std::move(completion));
        });
    if (started) {
        co_return true;
    }
    m_coordinator.finish(accepted, started.error().reported_outcome(), m_hooks.now());
    co_await refuse(started.error(), accepted.id, writer);
    co_return false;
}

asio::awaitable<void> caller_front::send_answer(const coordination::call& accepted,
                                                const stored_answer& answer,
                                                response_writer& writer) {
    auto type = answer.content_type.empty() ? std::string(json_type) : answer.content_type;
    auto fields = answer_fields(std::move(type), state::execution_outcome::ran, accepted.id);
    co_await writer.send(answer.status, std::move(fields), answer.body);
}

asio::awaitable<void> caller_front::relay_call(std::shared_ptr<coordination::call> accepted,
                                               const http_request& request,
                                               response_writer& writer) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    protocol::event_splitter events;
    std::optional<state::failure> refusal;
    while (true) {
        if (writer.is_caller_gone()) {
            refusal =
                state::failure{failure_kind::stream_interrupted, "the caller closed its connection",
                               accepted->may_have_run ? state::execution_outcome::unknown
                                                      : state::execution_outcome::not_run};
            break;
        }

        // Choose an endpoint.
        auto route = state::collect(
            [&] { return m_coordinator.next_route(*accepted, m_hooks.now(), thread_random()); });
        if (!route) {
            refusal = route.error();
            break;
        }

        // Send the request there and relay the answer.
        exchange attempt(accepted, route.value(), request, writer, &events);
        if (accepted->deployment->kind == state::deployment_kind::service) {
            attempt.request.target(service_target(request));
        }
        attempt.request.erase(http::field::authorization);
        attempt.request.keep_alive(true);
        attempt.request.set(http::field::host, route.value().address);
        attempt.request.set("Savoryrelay-Request-Id", accepted->id.value());
        events.resume();
        if (events.next_token() > 0) {
            attempt.request.set("Savoryrelay-Resume-From", std::to_string(events.next_token()));
        }
        stored_answer answer;
        writer.on_caller_gone([&attempt] { attempt.close_connection(); });
        co_await run_exchange(attempt, answer);
        writer.on_caller_gone(nullptr);
        if (writer.is_caller_gone() && attempt.end != exchange_end::completed) {
            attempt.end = exchange_end::caller_gone;
        }
        // A late copy of an answer without an id could not be told from the next answer.
        if (attempt.end == exchange_end::completed && attempt.has_request_id &&
            attempt.connection->reusable()) {
            m_pool.keep(context, route.value().address, route.value().port,
                        std::move(attempt.connection));
        }

        // Let the coordinator decide whether another attempt follows.
        const auto decision = state::collect([&] {
            return m_coordinator.attempt_ended(*accepted, route.value(), attempt.end,
                                               attempt.progress(), m_hooks.now());
        });
        if (!decision) {
            refusal = decision.error();
            break;
        }
        if (attempt.end == exchange_end::completed) {
            m_coordinator.finish(*accepted, state::execution_outcome::ran, m_hooks.now());
            if (writer.started()) {
                co_await writer.finish();
            } else {
                co_await send_answer(*accepted, answer, writer);
            }
            co_return;
        }
    }
    m_coordinator.finish(*accepted, refusal->reported_outcome(), m_hooks.now());
    co_await refuse(*refusal, accepted->id, writer);
}

asio::awaitable<void> caller_front::run_booking(std::shared_ptr<coordination::call> accepted,
                                                const http_request& request,
                                                response_writer& writer) {
    using begin_result = state::attempt<std::optional<stored_answer>>;
    using finish_result = state::attempt<state::done>;

    // Store the intent durably, or receive the stored answer of an earlier run.
    auto begin = co_await await_completion<begin_result>([&](auto completion) {
        m_hooks.bookings.begin(*accepted, m_hooks.now(), std::move(completion));
    });
    if (!begin) {
        m_coordinator.finish(*accepted, begin.error().reported_outcome(), m_hooks.now());
        co_await refuse(begin.error(), accepted->id, writer);
        co_return;
    }
    if (begin.value()) {
        m_coordinator.finish(*accepted, state::execution_outcome::ran, m_hooks.now());
        co_await send_answer(*accepted, *begin.value(), writer);
        co_return;
    }

    // Send the request. Another attempt is made only if the request certainly did not run.
    stored_answer answer;
    std::optional<state::failure> refusal;
    while (!refusal) {
        auto route = state::collect(
            [&] { return m_coordinator.next_route(*accepted, m_hooks.now(), thread_random()); });
        if (!route) {
            refusal = route.error();
            break;
        }
        exchange attempt(accepted, route.value(), request, writer, nullptr);
        attempt.request.target(service_target(request));
        attempt.request.erase(http::field::authorization);
        attempt.request.keep_alive(false);
        attempt.request.set(http::field::host, route.value().address);
        attempt.request.set("Savoryrelay-Request-Id", accepted->id.value());
        // The service's key contains the customer, so that equal keys of two customers
        // do not collide. Recovery queries the service for this key.
        attempt.request.set("Idempotency-Key", state::service_key({accepted->customer->id,
                                                                   accepted->idempotency_key}));
        if (co_await open_exchange(attempt)) {
            attempt.end = co_await read_answer(attempt, answer);
        }
        const auto decision = state::collect([&] {
            return m_coordinator.attempt_ended(*accepted, route.value(), attempt.end, {},
                                               m_hooks.now());
        });
        if (!decision) {
            refusal = decision.error();
        } else if (attempt.end == exchange_end::completed) {
            break;
        }
    }

    // Store the outcome durably before the caller receives it.
    const auto end = !refusal                 ? booking_end::ran
                     : accepted->may_have_run ? booking_end::unknown
                                              : booking_end::not_run;
    const auto stored = co_await await_completion<finish_result>([&](auto completion) {
        m_hooks.bookings.finish(*accepted, end, answer, m_hooks.now(), std::move(completion));
    });
    if (!stored && !refusal) {
        refusal = state::failure{failure_kind::booking_unknown,
                                 "the booking ran, but its outcome could not be recorded",
                                 state::execution_outcome::ran};
    }
    if (refusal) {
        m_coordinator.finish(*accepted, refusal->reported_outcome(), m_hooks.now());
        co_await refuse(*refusal, accepted->id, writer);
        co_return;
    }
    m_coordinator.finish(*accepted, state::execution_outcome::ran, m_hooks.now());
    co_await send_answer(*accepted, answer, writer);
}

} // namespace savoryrelay::transport
