// Constructs an entry host from its parts, answers readiness checks and stops the host
// gracefully.
#include "edge.h"

#include "state_gauges.h"

#include "platform/call_headers.h"
#include "savoryrelay/protocol/operators/operator_messages.h"
#include "savoryrelay/protocol/placement/placement_messages.h"
#include "savoryrelay/transport/process/log.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace savoryrelay::edge {

namespace asio = boost::asio;
using coordination::listener;
using state::milliseconds;
using transport::log_info;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;

// Time between the stop request and the close of the callers' listener, in which the
// balancer notices the stop: two readiness checks, one second apart, and the transfer of
// their answers. Calls that arrive more than 3 s after the stop request may not
// end before the process is killed.
constexpr milliseconds balancer_notice_time{2'800};
// Part of the stop limit that is reserved for the exit of the process.
constexpr milliseconds exit_reserve{500};
constexpr milliseconds open_calls_check_interval{100};
// Time for a whole request to arrive; the configuration does not set it.
constexpr milliseconds request_timeout{15'000};
// Added to the configured idle timeout, because callers reuse a connection almost until
// that timeout.
constexpr milliseconds idle_reserve{2'000};

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

std::uint64_t make_incarnation() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

// Returns a source of random numbers for each thread.
coordination::random_hook make_random(std::uint64_t seed) {
    return [seed] {
        thread_local std::mt19937_64 engine(
            seed ^ std::hash<std::thread::id>{}(std::this_thread::get_id()));
        return engine();
    };
}

coordination::crash_hooks make_crash_hooks() {
    auto hooks = coordination::default_crash_hooks();
    hooks.on_quarantined = [](coordination::request_fingerprint fingerprint) {
        transport::log_warning("quarantined",
                               {{"fingerprint", coordination::to_text(fingerprint)}});
    };
    return hooks;
}

} // namespace

edge_host::edge_host(protocol::edge_settings settings)
    : m_settings(std::move(settings)), m_incarnation(make_incarnation()),
      m_shared({m_settings.host.value(),
                {m_settings.peers.address, m_settings.peers.port},
                m_settings.availability_zone,
                m_settings.processor_share},
               {m_settings.repeat_ratio, m_settings.repeat_burst, m_settings.repeat_window},
               m_settings.leave_limit, make_crash_hooks(), make_random(m_incarnation)),
      m_account(coordination::limits_of_machine(m_settings.memory_mb, m_settings.max_descriptors)),
      m_threads(1 + m_settings.call_threads),
      m_store(m_threads, {m_settings.store.address, m_settings.store.port}),
      m_signals(m_shared, read_clock), m_tables(m_threads, m_store, m_shared, read_clock),
      m_groups(m_threads, m_store, m_shared, m_signals, m_settings, m_incarnation, read_clock),
      m_peers(m_threads, m_account, m_store, m_shared, m_tables, m_groups, m_signals, m_settings,
              m_incarnation, read_clock),
      m_reach(m_threads, m_account, m_shared, m_settings, make_random(m_incarnation), read_clock),
      m_call_rates(
          m_shared.loads,
          {.host_count = [this] { return m_shared.host_count.load(); },
           .heard_hosts = [this](state::time_point now) { return m_shared.hosts.heard_hosts(now); },
           .host_hashes = [this] { return m_shared.hosts.name_hashes(); }}),
      m_selector(m_shared.fleet, m_shared.loads, m_shared.correction, m_shared.own_host,
                 {.zones_out_of_service = [this] { return m_shared.zones_out_of_service.load(); },
                  .host_count = [this] { return m_shared.host_count.load(); },
                  .host_hashes = [this] { return m_shared.hosts.name_hashes(); },
                  .random = make_random(m_incarnation),
                  .admit_limited =
                      [this](const coordination::runner_view& runner, state::time_point now) {
                          return m_call_rates.admit(runner, now);
                      },
                  .call_shortage =
                      [this](const coordination::runner_view& runner, state::time_point now) {
                          return m_call_rates.shortage(runner, now);
                      }}),
      m_explainer(m_shared.fleet, m_shared.loads, m_selector, m_shared.own_host.name,
                  [this] { return m_shared.zones_out_of_service.load(); }),
      m_admission(
          {.supply =
               [this](const state::service_rule& service, const state::model_rule& model,
                      state::time_point now) { return m_selector.supply(service, model, now); },
           .demand = [this](const std::string& model,
                            state::time_point now) { return m_shared.work.demand(model, now); },
           .host_count = [this] { return m_shared.host_count.load(); },
           .random = make_random(m_incarnation)}),
      m_front({m_shared.fleet, m_shared.loads, m_selector, m_shared.correction, m_shared.repeats,
               m_shared.crashes, m_reach.connector(), m_shared.metrics,
               platform::make_serving_codec(), [this] { return m_shared.configuration.load(); },
               [this](const std::string& model, state::call_urgency urgency, double work_ms) {
                   m_shared.work.note(model, urgency, work_ms, read_clock());
               },
               [this](const state::endpoint_id& id) { m_groups.report_suspect(id); },
               [this](const state::runner_record& runner, const state::answer_head& answer) {
                   m_signals.note_answer(runner, answer);
               },
               [this](const state::runner_record& runner, const state::answer_head& answer,
                      state::time_point sent_at) {
                   m_signals.note_call_rate(runner, answer, sent_at, answered_request::call);
               },
               read_clock, &m_admission}) {}

edge_host::~edge_host() {
    m_groups.stop(); // waits for a call to the store, which needs the threads
    m_threads.stop();
    m_peers.stop(); // closes the socket that a control loop uses
}

void edge_host::start() {
    const auto listen = [this](const protocol::network_address& address,
                               coordination::listener from, transport::request_handler handler,
                               transport::head_handler answer_head) {
        return std::make_unique<transport::http_server>(
            m_threads, address.address, address.port, transport::http_limits{}, std::move(handler),
            transport::server_accounting{&m_account, from, std::move(answer_head)});
    };
    m_caller_server = listen(
        m_settings.callers, listener::callers,
        [this](transport::http_request request, transport::response_writer& writer) {
            return m_front.handle(std::move(request), writer);
        },
        [this](const transport::http_request& head, transport::response_writer& writer) {
            return m_front.answer_head(head, writer);
        });
    m_caller_server->set_limits_hook([this] {
        const auto configuration = m_shared.configuration.load();
        const auto& limits = configuration->limits;
        transport::http_limits server_limits;
        server_limits.header_bytes = limits.header_bytes;
        server_limits.body_bytes = limits.body_bytes;
        server_limits.idle_timeout = limits.idle_timeout + idle_reserve;
        server_limits.request_timeout = request_timeout;
        return server_limits;
    });
    const auto serve_without_body = [&](const protocol::network_address& address, listener from,
                                        const transport::request_handler& handler) {
        return listen(address, from, handler, transport::answer_without_body(handler));
    };
    m_readiness_server = serve_without_body(
        m_settings.readiness, listener::readiness,
        [this](transport::http_request request, transport::response_writer& writer) {
            return answer_readiness(std::move(request), writer);
        });
    m_metrics_server = serve_without_body(
        m_settings.metrics, listener::metrics,
        [this](transport::http_request request, transport::response_writer& writer) {
            return answer_operator(std::move(request), writer);
        });
    m_tables.start();
    m_groups.start();
    m_peers.start();
    m_reach.start([this](milliseconds min_idle) { m_front.drop_idle_tunnels(min_idle); });
    log_info("started",
             {{"host", m_settings.host.value()}, {"incarnation", std::to_string(m_incarnation)}});
}

asio::awaitable<void> edge_host::answer_operator(transport::http_request request,
                                                 transport::response_writer& writer) {
    const std::string_view target(request.target().data(), request.target().size());
    if (target.substr(0, target.find('?')) == protocol::placement_path) {
        co_await answer_placement(request, writer);
    } else {
        co_await answer_metrics(writer);
    }
}

asio::awaitable<void> edge_host::answer_placement(const transport::http_request& request,
                                                  transport::response_writer& writer) {
    const auto call = state::collect([&] {
        return protocol::decode_placement_query({request.target().data(), request.target().size()});
    });
    const auto fields = transport::content_type_field("application/json");
    if (!call) {
        co_await writer.send(status_bad_request, fields,
                             protocol::encode_operator_failure(call.error()));
        co_return;
    }
    const auto configuration = m_shared.configuration.load();
    const auto report = m_explainer.explain(*configuration, call.value(), read_clock());
    const auto text = protocol::encode_placement(report);
    co_await writer.send(status_ok, fields, text);
}

asio::awaitable<void> edge_host::answer_readiness(transport::http_request,
                                                  transport::response_writer& writer) {
    const auto configuration = m_shared.configuration.load();
    const bool is_ready =
        !m_is_stopping && configuration->version > 0 && !m_reach.connector().is_stranded();
    co_await writer.send(is_ready ? status_ok : status_unavailable,
                         transport::content_type_field("text/plain"), is_ready ? "ready" : "");
}

asio::awaitable<void> edge_host::answer_metrics(transport::response_writer& writer) {
    set_state_gauges(m_shared, m_groups.is_controller(), read_clock());
    m_shared.metrics.gauge_of("savoryrelay_relayed_for_others")
        .set(static_cast<std::int64_t>(m_reach.open_tunnels()));
    set_admission_gauges(m_shared, m_admission, read_clock());
    set_account_gauges(m_shared.metrics, m_account);
    const auto text = m_shared.metrics.to_prometheus();
    co_await writer.send(status_ok, transport::content_type_field("text/plain; version=0.0.4"),
                         text);
}

void edge_host::run(transport::process_signals& signals) {
    while (signals.next() == transport::signal_action::reload) {
        log_info("reload", {{"outcome", "settings_take_effect_at_the_next_start"}});
    }
    finish_open_calls();
}

void edge_host::finish_open_calls() {
    const auto requested_at = read_clock();
    m_is_stopping = true;
    m_caller_server->announce_close();
    log_info("stopping", {{"open_calls", std::to_string(m_caller_server->open_requests())}});
    m_groups.resign();

    // New calls arrive until the balancer has noticed the stop. The calls in flight at that
    // point may take almost all of the time until the process is killed.
    std::mutex mutex;
    std::condition_variable wait_condition;
    std::unique_lock lock(mutex);
    const auto exit_deadline = requested_at + m_settings.stop_limit - exit_reserve;
    const auto close_at = std::min(exit_deadline, requested_at + balancer_notice_time);
    wait_condition.wait_until(lock, close_at, [&] { return read_clock() >= close_at; });
    m_caller_server->stop_accepting();
    m_reach.stop_accepting();
    while (m_caller_server->open_connections() + m_reach.open_tunnels() > 0 &&
           read_clock() < exit_deadline) {
        wait_condition.wait_for(lock, open_calls_check_interval);
    }
    log_info("stopped", {{"open_calls", std::to_string(m_caller_server->open_requests())}});
}

} // namespace savoryrelay::edge
