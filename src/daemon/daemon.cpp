// Joining of the parts and the order of starting and stopping.
#include "daemon.h"

#include "savoryrelay/coordination/routing/router.h"
#include "savoryrelay/protocol/configuration/configuration_document.h"
#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/transport/process/log.h"

#include <boost/json.hpp>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

namespace savoryrelay::daemon {

using state::failure_kind;
using transport::log_change;
using transport::log_warning;

namespace {

constexpr const char* configuration_key = "config/current";

state::time_point read_clock() {
    return std::chrono::steady_clock::now();
}

state::result<std::string> read_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        return state::fail(failure_kind::invalid_settings, "cannot read the file '" + path + "'");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
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
      m_coordinator({.local_zone = m_settings.availability_zone, .id_prefix = m_incarnation},
                    m_configuration, m_endpoints, m_metrics, make_call_hooks()),
      m_caller_front(m_coordinator, m_configuration, m_metrics, {},
                     {m_record.record_bookings(make_booking_hooks()),
                      [this](state::time_point) {
                          return !m_stopping.load() && m_configuration.load()->revision > 0;
                      },
                      read_clock}),
      m_table_configuration(m_incarnation, m_platform),
      m_operators(m_settings, m_incarnation, m_configuration, m_endpoints, make_operators_hooks()) {
}

relay_daemon::~relay_daemon() {
    // Both wait for the platform, which needs the I/O threads.
    m_operators.stop();
    m_record.stop();
    m_control_worker.stop();
    m_store_worker.stop();
    m_io_threads.stop();
}

coordination::call_hooks relay_daemon::make_call_hooks() {
    return {
        .check_eligibility = [this](state::time_point) -> state::result<void> {
            if (m_stopping.load()) {
                return state::fail(failure_kind::shutting_down, "this daemon is stopping");
            }
            if (m_configuration.load()->revision == 0) {
                return state::fail(failure_kind::isolated, "no configuration is known yet");
            }
            return {};
        },
        .admit = [this](const coordination::call& call,
                        state::time_point) { return m_record.call_accepted(call); },
        .may_use_endpoint = [](const state::endpoint_config&, const state::endpoint_state&,
                               state::time_point) { return true; },
        .choose_endpoint = coordination::choose_endpoint,
        .finished = [this](const coordination::call& call, state::execution_outcome outcome,
                           state::time_point) { m_record.call_ended(call, outcome); },
    };
}

transport::booking_hooks relay_daemon::make_booking_hooks() {
    // One row per booking. The row's insertion is the durable intent.
    using transport::stored_answer;
    const auto key_of = [](const coordination::call& call) {
        return "booking/" + call.customer->id.value() + "/" + call.idempotency_key;
    };
    using begin_completion = std::function<void(state::attempt<std::optional<stored_answer>>)>;
    using finish_completion = std::function<void(state::attempt<state::done>)>;
    transport::booking_hooks hooks;
    hooks.begin = [this, key_of](const coordination::call& call, state::time_point,
                                 begin_completion completion) {
        const auto key = key_of(call);
        const auto fingerprint = call.fingerprint;
        const auto write_key = "begin/" + call.id.value();
        m_store_worker.post([this, key, fingerprint, write_key,
                             completion = std::move(completion)] {
            completion(state::collect([&]() -> state::result<std::optional<stored_answer>> {
                const boost::json::object intent{{"fingerprint", fingerprint}, {"state", "intent"}};
                BOOST_LEAF_AUTO(
                    done,
                    m_platform.transact(
                        {write_key, {{key, 0}}, {{key, boost::json::serialize(intent)}}, {}}));
                if (done.committed) {
                    return std::optional<stored_answer>{};
                }
                BOOST_LEAF_AUTO(row, m_platform.read_row(key));
                const auto kept = boost::json::parse(row.value).as_object();
                if (kept.at("fingerprint").as_string() != fingerprint) {
                    return state::fail(failure_kind::idempotency_key_reused,
                                       "the key was used with another body");
                }
                if (kept.at("state").as_string() != "ran") {
                    return state::fail(failure_kind::booking_unknown,
                                       "an earlier call with this key has not ended");
                }
                return std::optional<stored_answer>{
                    stored_answer{kept.at("status").to_number<unsigned>(),
                                  std::string(kept.at("type").as_string()),
                                  std::string(kept.at("body").as_string())}};
            }));
        });
    };
    hooks.finish = [this, key_of](const coordination::call& call, transport::booking_end end,
                                  const stored_answer& answer, state::time_point,
                                  finish_completion completion) {
        const bool ran = end == transport::booking_end::ran;
        const boost::json::object outcome{{"fingerprint", call.fingerprint},
                                          {"state", ran ? "ran" : "unknown"},
                                          {"status", answer.status},
                                          {"type", answer.content_type},
                                          {"body", answer.body}};
        const state::table_transaction write{
            "finish/" + call.id.value(), {}, {{key_of(call), boost::json::serialize(outcome)}}, {}};
        m_store_worker.post([this, write, completion = std::move(completion)] {
            completion(state::collect([&]() -> state::result<state::done> {
                BOOST_LEAF_CHECK(m_platform.transact(write));
                return state::done{};
            }));
        });
    };
    return hooks;
}

operators_part_hooks relay_daemon::make_operators_hooks() {
    return {
        .submit =
            [this](const std::string& document, std::uint64_t expected, const std::string& who,
                   state::time_point now) {
                return m_table_configuration.submit(document, expected, who, now);
            },
        .read_configuration =
            [this](std::optional<std::uint64_t> revision) {
                return m_table_configuration.read(revision);
            },
        .members =
            [this] {
                return std::vector<protocol::member_status>{
                    {m_settings.member, state::member_state::alive}};
            },
        .open_requests =
            [this] { return static_cast<std::uint64_t>(m_caller_server->open_requests()); },
        .changed =
            [this](const transport::operator_change& change) {
                m_record.operator_changed(change);
                log_change("operator_change",
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
    BOOST_LEAF_AUTO(text, read_file(m_settings.configuration_file));
    BOOST_LEAF_CHECK(protocol::read_configuration(text, 1));
    BOOST_LEAF_CHECK(
        m_embedded_platform.transact({"first-configuration", {}, {{configuration_key, text}}, {}}));
    return {};
}

void relay_daemon::poll_configuration() {
    const auto loaded = state::collect([&]() -> state::result<state::configuration> {
        BOOST_LEAF_AUTO(row, m_platform.read_row(configuration_key));
        if (row.version == 0) {
            return state::configuration{};
        }
        return protocol::read_configuration(row.value, row.version);
    });
    if (!loaded) {
        m_metrics.counter_of("configuration_poll_failures_total").add();
        return;
    }
    const auto revision = loaded.value().revision;
    const bool newer =
        m_configuration.replace_if(loaded.value(), [](const auto& present, const auto& candidate) {
            return candidate.revision > present.revision;
        });
    if (newer) {
        log_change("configuration_in_force", {{"revision", std::to_string(revision)}});
    }
}

state::result<void> relay_daemon::start() {
    BOOST_LEAF_CHECK(m_record.start());
    BOOST_LEAF_CHECK(load_first_configuration());
    m_control_worker.repeat(m_settings.poll_interval, [this] { poll_configuration(); });
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
    log_change("listening", {{"callers", m_settings.callers.address + ":" +
                                             std::to_string(m_caller_server->port())},
                             {"member", m_settings.member.value()},
                             {"incarnation", m_incarnation}});
    BOOST_LEAF_CHECK(m_operators.start());
    return {};
}

void relay_daemon::run(transport::process_signals& signals) {
    signals.wait();
    finish_open_requests();
}

void relay_daemon::finish_open_requests() {
    // New work is refused, and the balancer learns it from /readyz; requests in
    // flight are finished however long they take.
    m_stopping = true;
    m_caller_server->stop_accepting();
    log_change("stopping", {{"open_requests", std::to_string(m_caller_server->open_requests())}});
    m_caller_server->wait_until_idle();
    m_operators.stop(); // the record must get no entry while it is closed
    m_record.close();
    log_change("stopped");
}

} // namespace savoryrelay::daemon
