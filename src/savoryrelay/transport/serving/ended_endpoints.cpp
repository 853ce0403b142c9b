// Finds out whether endpoints that closed the connections of calls have ended, and records what
// that says of the calls.
#include "savoryrelay/transport/serving/call_state.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace savoryrelay::transport {

namespace asio = boost::asio;
using coordination::attempt_outcome;
using state::milliseconds;

namespace {

// A process that ends may still accept connections after it has closed others, for at most
// this long. Another one takes longer to start.
constexpr milliseconds process_end_time{50};
// Returns whether an endpoint that has closed a connection goes on to accept others. Looks again
// after the time in which a process that ends may still accept connections, and in which a
// partition reaches all paths. Another process takes longer to start.
asio::awaitable<endpoint_contact> find_out_contact(endpoint_connector& connector,
                                                   asio::io_context& context,
                                                   const state::runner_record& endpoint) {
    const auto first = co_await connector.check(context, endpoint);
    if (first == endpoint_contact::unknown) {
        co_return first;
    }
    co_await pause_for(process_end_time);
    co_return co_await connector.check(context, endpoint);
}

} // namespace

asio::awaitable<void> serving_front::record_crash_evidence(call_state& call,
                                                           const attempt_result& end,
                                                           asio::io_context& context) {
    auto& attempt = *call.current;
    const auto& runner = attempt.chosen.runner.record;
    if (end.outcome == attempt_outcome::lost) {
        // The host itself closes the connection when the caller is gone.
        if (end.closed_by_endpoint && !call.caller_is_gone) {
            const auto contact =
                co_await find_out_contact(m_dependencies.connector, context, runner);
            report_close(call, runner, contact);
        }
        co_return;
    }
    // An answer without a length ends with its connection, which a crash ends too.
    const bool is_delivered = end.outcome == attempt_outcome::delivered;
    if (is_delivered && attempt.connection->ends_answer_by_closing()) {
        const auto contact = co_await m_dependencies.connector.check(context, runner);
        if (contact != endpoint_contact::accepts) {
            if (!is_unwanted(call)) {
                report_close(call, runner, contact);
            }
            co_return;
        }
    }
    // A failure of a stream comes before its first event, and of a continued answer another
    // endpoint wrote the rest. Neither shows that the call crashes no endpoint.
    const bool is_failure =
        end.outcome == attempt_outcome::failed || end.outcome == attempt_outcome::withheld;
    const bool is_stream = call.route->kind == state::call_kind::streaming;
    if ((is_delivered || (is_failure && !is_stream)) && !attempt.is_continued) {
        m_dependencies.crashes.record_answer(call.fingerprints, m_dependencies.now());
    }
}

asio::awaitable<void> serving_front::report_kept_closes(call_state& call) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    for (const auto& endpoint : std::exchange(call.closed_while_kept, {})) {
        const auto contact = co_await m_dependencies.connector.check(context, endpoint);
        report_close(call, endpoint, contact);
    }
}

asio::awaitable<void> serving_front::discount_ended_endpoints(call_state& call) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    for (const auto& endpoint : std::exchange(call.broke_off, {})) {
        const auto known = m_dependencies.fleet.find(endpoint.id);
        bool has_ended = known && known->record.started_ms != endpoint.started_ms;
        if (!has_ended) {
            const auto contact =
                co_await find_out_contact(m_dependencies.connector, context, endpoint);
            has_ended = contact == endpoint_contact::refuses;
        }
        if (has_ended) {
            call.progress->note_ended_during_answer();
        } else {
            call.broke_off.push_back(endpoint); // it may be found to have ended later
        }
    }
}

void serving_front::report_close(const call_state& call, const state::runner_record& endpoint,
                                 endpoint_contact contact) {
    // Overload and faults of the network end connections too.
    if (contact == endpoint_contact::refuses || contact == endpoint_contact::silent) {
        m_dependencies.crashes.record_crash(endpoint.id, endpoint.started_ms, call.fingerprints,
                                            m_dependencies.now());
    }
    m_dependencies.metrics
        .counter_of("savoryrelay_calls_closed_by_endpoint_total",
                    {{"endpoint", call.service->name}})
        .add();
    std::string parts;
    for (const auto& part : call.decoded.shared_prompt_parts) {
        parts += (parts.empty() ? "" : ",") + part;
    }
    std::string fingerprints;
    for (const auto fingerprint : call.fingerprints) {
        fingerprints += (fingerprints.empty() ? "" : ",") + coordination::to_text(fingerprint);
    }
    log_info("closed_by_endpoint", {{"id", call.decoded.id.value()},
                                    {"endpoint", endpoint.id.value()},
                                    {"started_ms", std::to_string(endpoint.started_ms)},
                                    {"contact", std::string(state::to_name(contact))},
                                    {"prompt_parts", parts},
                                    {"fingerprints", fingerprints}});
}

} // namespace savoryrelay::transport
