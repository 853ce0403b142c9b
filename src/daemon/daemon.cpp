// Connects the parts of the daemon, and starts and stops them in order.
#include "daemon.h"

#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/settings_file.h"

#include <chrono>

namespace savoryrelay::daemon {

using state::failure_kind;
using transport::log_info;
using transport::log_warning;

namespace {

// Longest time that a stop waits until the outcomes of bookings are written. The
// limit ends the wait when the table is unavailable. An outcome that is not written is
// lost when the process ends, and the row is settled later by asking the service.
constexpr state::milliseconds settle_limit{30'000};

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

} // namespace

relay_daemon::relay_daemon(protocol::daemon_settings settings, std::string incarnation)
    : m_settings(std::move(settings)), m_incarnation(std::move(incarnation)),
      m_io_threads(m_settings.io_threads),
      m_platform_client(m_io_threads,
                        {m_settings.platform_address.address, m_settings.platform_address.port,
                         m_settings.platform_timeout}),
      m_platform(m_settings.platform == protocol::platform_mode::embedded
                     ? m_embedded_platform.hooks()
                     : m_platform_client.hooks()),
      m_record(m_settings, m_incarnation, m_platform, m_metrics),
      m_membership(m_settings, m_incarnation, m_platform, m_metrics, m_configuration),
      m_routing(m_io_threads, m_configuration, m_metrics, m_settings.availability_zone, read_clock),
      m_coordinator({.id_prefix = m_incarnation, .retries = {}}, m_configuration,
                    m_routing.components(), m_metrics, make_call_hooks()),
      m_bookings({m_settings.member, m_membership.incarnation()},
                 {.platform = m_platform,
                  .io_threads = m_io_threads,
                  .configuration = m_configuration,
                  .metrics = m_metrics,
                  .is_gone =
                      [this](const state::booking_owner& owner) {
                          return m_membership.is_gone(owner.member, owner.incarnation);
                      },
                  .now = read_clock}),
      m_caller_front(
          m_coordinator, m_configuration, m_metrics, {},
          {m_record.record_bookings(m_bookings.hooks()),
           [this](state::time_point now) { return !m_stopping.load() && m_membership.ready(now); },
           read_clock}),
      m_operators(m_settings, m_incarnation, m_configuration, make_operators_hooks()) {}

relay_daemon::~relay_daemon() {
    // These parts may wait for platform calls, which need the socket threads.
    m_operators.stop();
    m_bookings.stop();
    m_membership.stop();
    m_record.stop();
    m_io_threads.stop();
}

coordination::call_hooks relay_daemon::make_call_hooks() {
    return {
        .check_eligibility = [this](state::time_point now) -> state::result<void> {
            if (m_stopping.load()) {
                return state::fail(failure_kind::shutting_down, "this daemon is stopping");
            }
            return m_membership.check_eligibility(now);
        },
        .admit =
            [this](const coordination::call& call, state::time_point) {
                m_routing.apply_newer_configuration();
                return m_record.call_accepted(call);
            },
        .may_use_endpoint = [](const state::endpoint_config&, const state::endpoint_state&,
                               state::time_point) { return true; },
        .finished = [this](const coordination::call& call, state::execution_outcome outcome,
                           state::time_point) { m_record.call_ended(call, outcome); },
    };
}

state::result<protocol::configuration_revision>
relay_daemon::read_revision(std::optional<std::uint64_t> revision) const {
    const auto in_force = m_membership.configuration().make_peer_state();
    const auto wanted = revision.value_or(in_force.revisions.held);
    if (wanted == 0) {
        return protocol::configuration_revision{};
    }
    BOOST_LEAF_AUTO(history, m_membership.configuration().read_history(wanted));
    return protocol::configuration_revision{history.revision, history.operator_name,
                                            history.document};
}

operators_part_hooks relay_daemon::make_operators_hooks() {
    return {
        .submit =
            [this](const std::string& document, std::uint64_t expected,
                   const std::string& operator_name, state::time_point now) {
                return m_membership.submit(document, expected, operator_name, now);
            },
        .read_configuration =
            [this](std::optional<std::uint64_t> revision) { return read_revision(revision); },
        .members =
            [this] {
                std::vector<protocol::member_status> rows;
                for (const auto& member : m_membership.members()) {
                    rows.push_back({member.id, member.state});
                }
                return rows;
            },
        .endpoint_state =
            [this](const state::endpoint_id& endpoint) {
                return m_routing.endpoint_state(endpoint);
            },
        .open_requests =
            [this] { return static_cast<std::uint64_t>(m_caller_server->open_requests()); },
        .changed =
            [this](const transport::operator_change& change) {
                m_record.operator_changed(change);
                log_info("operator_change",
                         {{"operator", change.operator_name},
                          {"action", change.action},
                          {"subject", change.subject},
                          {"from_revision", std::to_string(change.from_revision)},
                          {"to_revision", std::to_string(change.to_revision)},
                          {"result", change.failure ? change.failure->message() : "ok"}});
            },
        .now = read_clock,
    };
}

state::result<void> relay_daemon::load_first_configuration() {
    if (m_settings.platform != protocol::platform_mode::embedded) {
        return {};
    }
    log_warning("embedded_platform", {{"note", "keeps nothing after this process ends"}});
    if (m_settings.configuration_file.empty()) {
        return {};
    }
    BOOST_LEAF_AUTO(text, transport::read_settings_file(m_settings.configuration_file));
    BOOST_LEAF_CHECK(m_membership.submit(text, 0, "configuration_file", read_clock()));
    return {};
}

state::result<void> relay_daemon::start() {
    BOOST_LEAF_CHECK(m_record.start());
    m_routing.start();
    try {
        m_caller_server = std::make_unique<transport::http_server>(
            m_io_threads, m_settings.callers.address, m_settings.callers.port,
            transport::http_limits{},
            [this](transport::http_request request, transport::response_writer& writer) {
                return m_caller_front.handle(std::move(request), writer);
            });
    } catch (const boost::system::system_error& error) {
        return state::fail(failure_kind::invalid_settings,
                           "callers: cannot listen at " + m_settings.callers.address + ":" +
                               std::to_string(m_settings.callers.port) + ": " + error.what());
    }
    log_info("listening", {{"callers", m_settings.callers.address + ":" +
                                           std::to_string(m_caller_server->port())},
                           {"member", m_settings.member.value()},
                           {"incarnation", m_incarnation}});
    BOOST_LEAF_CHECK(m_membership.start());
    BOOST_LEAF_CHECK(load_first_configuration());
    BOOST_LEAF_CHECK(m_operators.start());
    return {};
}

void relay_daemon::run(transport::process_signals& signals) {
    signals.wait();
    finish_open_requests();
}

void relay_daemon::finish_open_requests() {
    // New requests are refused, and /readyz reports this to the load balancer.
    // Requests in flight are finished without a time limit.
    m_stopping = true;
    m_caller_server->stop_accepting();
    log_info("stopping", {{"open_requests", std::to_string(m_caller_server->open_requests())}});
    m_caller_server->wait_until_idle();
    m_operators.stop(); // no entry may be appended while the record is being closed
    if (const auto unsettled = m_bookings.wait_until_settled(settle_limit); unsettled > 0) {
        log_warning("bookings_not_settled", {{"bookings", std::to_string(unsettled)}});
    }
    m_record.close();
    log_info("stopped");
}

} // namespace savoryrelay::daemon
