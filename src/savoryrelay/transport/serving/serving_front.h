// The front end for callers of the platform's HTTP interface: finds the route and
// the customer, sends the call to an endpoint and relays its answer.
#pragma once

#include "savoryrelay/coordination/admission/serving_admission.h"
#include "savoryrelay/coordination/retry/crash_watch.h"
#include "savoryrelay/coordination/serving/call_progress.h"
#include "savoryrelay/coordination/serving/endpoint_selector.h"
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/coordination/serving/repeat_window.h"
#include "savoryrelay/coordination/serving/stream_end.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/serving/serving_configuration.h"
#include "savoryrelay/transport/http/endpoint_pool.h"
#include "savoryrelay/transport/http/http_message.h"
#include "savoryrelay/transport/http/response_writer.h"
#include "savoryrelay/transport/reach/endpoint_connector.h"
#include "savoryrelay/transport/serving/serving_codec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savoryrelay::transport {

/// Components and hooks that the front uses. The referenced objects must outlive it.
struct serving_dependencies {
    coordination::fleet_table& fleet;
    coordination::load_tracker& loads;
    coordination::endpoint_selector& selector;
    coordination::prediction_correction& correction;
    coordination::repeat_window& repeats;
    coordination::crash_watch& crashes;
    endpoint_connector& connector;
    state::metrics& metrics;
    serving_codec codec;
    std::function<state::snapshot<state::serving_configuration>()> configuration;
    /// Called when a call for `model` arrives that will occupy a group for `work_ms`
    /// milliseconds.
    std::function<void(const std::string& model, state::call_urgency, double work_ms)> report_work;
    /// Called when an endpoint did not answer, or when a head reports a member that it
    /// cannot reach. This and other entry hosts then check whether it is alive.
    std::function<void(const state::endpoint_id&)> report_suspect;
    /// Called with the head of each answer before its body is read. Records what the endpoint
    /// says of itself.
    std::function<void(const state::runner_record&, const state::answer_head&)> report_answer;
    /// Called with the head of the endpoint's answer to a call that was sent at `sent_at`, after
    /// `report_answer`. Records the rate of calls that it names.
    std::function<void(const state::runner_record&, const state::answer_head&,
                       state::time_point sent_at)>
        report_call_rate;
    std::function<state::time_point()> now;
    /// Admits calls to the groups of models; null: all are admitted.
    coordination::serving_admission* admission = nullptr;
};

/// Serves callers' requests. Thread-safe.
class serving_front {
public:
    explicit serving_front(serving_dependencies dependencies);

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_request request, response_writer& writer);
    /// Answers a request of which only the head has arrived, if it has no route or an unknown
    /// key. Returns whether it has answered.
    boost::asio::awaitable<bool> answer_head(const http_request& head, response_writer& writer);
    /// Closes the connections to endpoints through other hosts that have been idle for `min_idle`
    /// or longer.
    void drop_idle_tunnels(state::milliseconds min_idle) {
        m_pool.drop_idle(connection_path::relayed, min_idle, m_dependencies.now());
    }

private:
    struct call_state;
    struct attempt_result;
    struct open_attempt;
    struct stream_limits;

    /// Finds the route and the customer of the call, or refuses it. Returns whether it found them.
    boost::asio::awaitable<bool> authorize(call_state& call);
    /// Tries endpoints until one delivers the answer or no further attempt is
    /// allowed, and sends the final answer.
    boost::asio::awaitable<void> run_attempts(call_state& call);
    /// Selects an endpoint. While none is free, repeats the selection for a bounded time.
    boost::asio::awaitable<
        std::variant<coordination::selected_endpoint, coordination::selection_failure>>
    wait_for_endpoint(call_state& call);
    /// Decides what a call does while its endpoint is silent for too long.
    coordination::silence_step handle_silence(call_state& call);
    /// Selects the endpoint of another attempt and reserves the attempt. Returns false if
    /// none may follow.
    bool prepare_next_attempt(call_state& call);
    /// Makes a kept attempt the current one if it has sent something or if no other endpoint
    /// can be tried. Returns false if another endpoint is to be tried.
    bool return_to_kept_attempt(call_state& call);
    /// Ends the kept attempts and closes their connections.
    void end_kept_attempts(call_state& call);
    /// Reports the endpoints that closed the connections of kept attempts of a call that has ended.
    boost::asio::awaitable<void> report_kept_closes(call_state& call);
    /// Discounts the attempts of a call whose endpoints have ended while they answered.
    boost::asio::awaitable<void> discount_ended_endpoints(call_state& call);
    /// Counts and logs an attempt that has failed.
    void report_failed_attempt(const call_state& call, const open_attempt& attempt,
                               const attempt_result& end);
    /// Decodes the head of the answer that the current attempt has read, and reports it.
    state::answer_head read_answer_head(const call_state& call);
    /// Returns whether an answer is the current attempt's own, and reports the rate of calls in it.
    bool take_own_answer(const call_state& call, const state::answer_head& answer);
    /// Sets the urgency of a call that arrives.
    void set_urgency(call_state& call);
    /// Returns whether the call is admitted, and counts that. A call is admitted once; its repeats
    /// and resumed streams always are.
    bool admit(call_state& call);
    /// Returns the limits within which a call must be placed while its model is short of
    /// capacity; empty if there are none.
    [[nodiscard]] std::optional<coordination::placement_limits>
    placement_limits_of(const call_state& call) const;
    /// Returns how long the caller of a refused call is told to wait.
    [[nodiscard]] state::milliseconds refusal_time(const call_state& call) const;
    /// Adds the call to the work of its model, once. A refused call is no work, and must not draw
    /// groups to its model.
    void report_work(call_state& call);
    /// Returns whether the request may still be sent to the chosen endpoint. The process may
    /// have been paused since the choice.
    [[nodiscard]] bool may_send(const call_state& call) const;
    /// Returns whether the chosen endpoint has said since the choice that it wants no calls.
    [[nodiscard]] bool is_unwanted(const call_state& call) const;
    /// Connects to the endpoint, sends the request and relays the answer.
    boost::asio::awaitable<attempt_result> try_endpoint(call_state& call);
    /// Goes on with an attempt that was kept.
    boost::asio::awaitable<attempt_result> resume_attempt(call_state& call);
    /// Notes what the end of the current attempt says of its endpoint, and keeps a connection
    /// that can be used again.
    boost::asio::awaitable<void> conclude_attempt(call_state& call, attempt_result& end,
                                                  boost::asio::io_context& context);
    /// Records whether the endpoint crashed while it worked on the call, or whether its answer
    /// shows that the call crashes none.
    boost::asio::awaitable<void> record_crash_evidence(call_state& call, const attempt_result& end,
                                                       boost::asio::io_context& context);
    /// Makes calls avoid an endpoint that did not answer, and has it checked.
    void avoid(const state::endpoint_id& endpoint);
    /// Reads the whole answer of a call that does not stream, then sends it to the caller.
    boost::asio::awaitable<attempt_result> relay_answer(call_state& call);
    /// Relays an event stream, from its start or from where the attempt was kept.
    boost::asio::awaitable<attempt_result> relay_stream(call_state& call, bool is_resumed);
    /// Reads the header of a stream unless it was read. Returns the result of the attempt if it
    /// ends with that or is kept.
    boost::asio::awaitable<std::optional<attempt_result>>
    read_stream_header(call_state& call, state::milliseconds first_limit);
    /// Reads the rest of an answer that is no stream.
    boost::asio::awaitable<attempt_result> read_stream_failure(call_state& call,
                                                               const state::answer_head& answer);
    /// Records the time to the first event of the current attempt.
    void note_first_event(call_state& call);
    /// Sends the events that are complete to the caller, with the answer's header before the first
    /// of them.
    boost::asio::awaitable<boost::system::error_code> relay_events(call_state& call,
                                                                   const http_fields& fields);
    /// Judges and counts the end of the current attempt's stream. Waits for bytes behind a last
    /// chunk, for at most `max_end_wait`.
    boost::asio::awaitable<coordination::stream_end> await_stream_end(call_state& call);
    /// Ends the caller's answer after a stream whose end was read.
    boost::asio::awaitable<attempt_result> finish_stream(call_state& call,
                                                         const http_fields& fields);
    [[nodiscard]] static stream_limits stream_limits_of(const call_state& call);
    /// Returns `span`, or the time until the call's deadline if that is shorter, but at least
    /// 1 ms: what has arrived is read after the deadline.
    [[nodiscard]] state::milliseconds bounded_by_deadline(const call_state& call,
                                                          state::milliseconds span) const;
    /// Reads the body of the answer whose header was read last.
    boost::asio::awaitable<attempt_result> read_whole_answer(call_state& call);
    /// Answers a call of which no attempt succeeded, or cuts a stream that has begun. `failure`
    /// is the last complete failure that an endpoint answered.
    boost::asio::awaitable<void> answer_without_success(call_state& call,
                                                        std::optional<attempt_result> failure,
                                                        std::string reason,
                                                        state::milliseconds retry_after);
    boost::asio::awaitable<void> refuse(call_state& call, unsigned status, std::string reason,
                                        state::milliseconds retry_after);
    /// Counts and logs that the endpoint closed the connection before it had answered the call
    /// completely, and records a crash unless the endpoint still accepts connections.
    void report_close(const call_state& call, const state::runner_record& endpoint,
                      endpoint_contact contact);
    /// Counts and logs a call that has ended.
    void report_end(const call_state& call) const;

    serving_dependencies m_dependencies;
    endpoint_pool m_pool;
};

} // namespace savoryrelay::transport
