// Updates the catalog and the queue at each tick, and polls the engines for their
// load.
#include "routing_part.h"

#include "savoryrelay/transport/http/endpoint_connection.h"
#include "savoryrelay/transport/process/control_loop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace savoryrelay::daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr state::milliseconds tick_interval{50};
constexpr int ticks_per_poll = 20; // one second

// Timeout of each step of a poll. All steps together must end before the next poll
// starts.
constexpr state::milliseconds poll_step_timeout{300};
constexpr std::size_t max_report_bytes = 64 * 1024;

// Broken attempts are kept until a crash is confirmed, which takes two refused polls or the
// first report of the restarted process.
constexpr state::milliseconds broken_attempt_retention{5'000};

// Refused polls in a row after which an endpoint counts as crashed. A single
// refusal may come from an endpoint that is being replaced shortly after an
// unrelated connection failure.
constexpr std::uint32_t crash_refusal_threshold = 2;

// Converts an endpoint's capacity from concurrent requests to tokens of cost in
// flight. A capacity of 16 requests gives 64,000 tokens, the admission queue's default.
constexpr double tokens_per_request = 4'000;

/// Returns the cost in tokens that the deployment's usable endpoints can have in
/// flight. It is at least 1, so that calls are refused instead of queued if there
/// is no usable endpoint.
double capacity_of(const state::configuration& configuration, const state::deployment_id& id) {
    double total = 0;
    for (const auto& endpoint : configuration.endpoints) {
        if (endpoint.deployment == id && !endpoint.drained &&
            !configuration.is_drained(endpoint.availability_zone)) {
            total += static_cast<double>(endpoint.capacity) * tokens_per_request;
        }
    }
    return std::max(total, 1.0);
}

double quantum_of(const state::configuration& configuration, const state::customer_id& id,
                  const coordination::admission_settings& settings) {
    for (const auto& customer : configuration.customers) {
        if (customer.id == id) {
            return std::max(settings.quantum * customer.weight, 1.0);
        }
    }
    return settings.quantum;
}

} // namespace

routing_part::routing_part(transport::io_threads& threads,
                           const state::snapshot_cell<state::configuration>& configuration,
                           state::metrics& metrics, state::availability_zone_id local_zone,
                           std::function<state::time_point()> now)
    : m_threads(threads), m_configuration(configuration), m_now(std::move(now)),
      m_reports(metrics.counter_of("engine_reports_total")),
      m_report_failures(metrics.counter_of("engine_report_failures_total")),
      m_catalog({.local_zone = std::move(local_zone), .lanes = threads.size(), .weights = {}}),
      m_queue({},
              [this](const state::customer_id& customer,
                     const coordination::admission_settings& settings) {
                  const auto in_force = m_configuration.load();
                  return quantum_of(*in_force, customer, settings);
              }),
      m_budget({}), m_suspects({}, coordination::default_crash_hooks()),
      m_broken(broken_attempt_retention) {}

state::endpoint_state routing_part::endpoint_state(const state::endpoint_id& endpoint) const {
    for (const auto& routes : m_catalog.all()) {
        for (std::size_t slot = 0; slot < routes->endpoints.size(); ++slot) {
            if (routes->endpoints[slot].id == endpoint) {
                return routes->directory->read(static_cast<std::uint32_t>(slot)).state;
            }
        }
    }
    return {};
}

coordination::call_components routing_part::components() {
    return {m_catalog, m_queue, m_budget, m_suspects, m_broken};
}

void routing_part::start() {
    transport::start_control_loop(m_threads.next(), "routing", [this] { return run_ticks(); });
}

void routing_part::apply_newer_configuration() {
    const auto seen = m_configuration.load();
    if (seen->revision == m_catalog_revision.load()) {
        return;
    }
    const std::scoped_lock lock(m_rebuild_mutex);
    const auto configuration = m_configuration.load();
    if (configuration->revision == m_catalog_revision.load()) {
        return;
    }
    const auto now = m_now();
    m_catalog.rebuild(*configuration, now);
    for (const auto& deployment : configuration->deployments) {
        m_queue.set_capacity(deployment.id, capacity_of(*configuration, deployment.id), now);
    }
    m_poll_at_once = true;
    m_catalog_revision = configuration->revision;
}

asio::awaitable<void> routing_part::run_ticks() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (int tick = 0;; ++tick) {
        apply_newer_configuration();
        m_catalog.refresh();
        for (const auto& routes : m_catalog.all()) {
            m_queue.expire(routes->deployment.id, m_now());
        }
        if (m_poll_at_once.exchange(false) || tick % ticks_per_poll == 0) {
            tick = 0;
            m_suspects.sweep(m_now());
            poll_engines();
        }
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void routing_part::poll_engines() {
    for (const auto& routes : m_catalog.all()) {
        if (routes->deployment.kind != state::deployment_kind::model) {
            continue;
        }
        for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
            asio::co_spawn(m_threads.next(), poll_load(routes, slot), asio::detached);
        }
    }
}

asio::awaitable<void>
routing_part::poll_load(std::shared_ptr<const coordination::deployment_routes> routes,
                        std::uint32_t slot) {
    auto& context = static_cast<asio::io_context&>((co_await asio::this_coro::executor).context());
    const auto& endpoint = routes->endpoints.at(slot);

    // Reports carry no ids. On a connection that has carried one before, a late copy of it would
    // be taken for the next one, whose count of completed requests is larger.
    transport::endpoint_connection connection(context);
    const auto connect_error =
        co_await connection.connect(endpoint.address, endpoint.port, poll_step_timeout);
    if (connect_error) {
        m_report_failures.add();
        if (connect_error == boost::system::errc::connection_refused) {
            const auto now = m_now();
            m_catalog.mark_unreachable(*routes, slot, now);
            const auto refused =
                m_refused_polls.update(endpoint.id, [](std::uint32_t& count) { return ++count; });
            if (refused >= crash_refusal_threshold) {
                record_crash(endpoint.id, now);
            }
        }
        co_return;
    }
    transport::http_request request{http::verb::get, "/engine/load", 11};
    request.set(http::field::host, endpoint.address);
    request.keep_alive(false);
    auto exchange_error = co_await connection.send(request, poll_step_timeout);
    if (!exchange_error) {
        exchange_error = co_await connection.read_header(poll_step_timeout);
    }
    if (exchange_error) {
        m_report_failures.add();
        co_return;
    }
    std::string body;
    std::array<char, 4096> buffer{};
    while (body.size() < max_report_bytes) {
        const auto [read_error, size] =
            co_await connection.read_some(asio::buffer(buffer), poll_step_timeout);
        if (read_error) {
            m_report_failures.add();
            co_return;
        }
        if (size == 0) {
            break;
        }
        body.append(buffer.data(), size);
    }
    handle_report(*routes, slot, body);
}

void routing_part::handle_report(const coordination::deployment_routes& routes, std::uint32_t slot,
                                 const std::string& body) {
    const auto& id = routes.endpoints.at(slot).id;
    const auto now = m_now();
    coordination::engine_load_report report;
    std::uint64_t completed = 0;
    try {
        const auto fields = boost::json::parse(body).as_object();
        report.load = {fields.at("running").to_number<std::uint32_t>(),
                       fields.at("queued").to_number<std::uint32_t>(), now};
        report.is_cold = fields.at("cold").as_bool();
        completed = fields.at("completed").to_number<std::uint64_t>();
    } catch (const std::exception&) {
        m_report_failures.add();
        return;
    }
    m_reports.add();
    m_refused_polls.erase(id);

    // The count starts at 0 in each process, so a smaller count means a restart.
    const bool restarted = m_completed_counts.update(id, [&](std::uint64_t& previous) {
        return completed < std::exchange(previous, completed);
    });
    if (restarted) {
        report.is_cold = true;
        record_crash(id, now);
    }
    m_catalog.apply_report(routes, slot, report);
}

void routing_part::record_crash(const state::endpoint_id& endpoint, state::time_point now) {
    if (const auto crash = m_broken.take_crash(endpoint, now)) {
        m_suspects.record_crash(*crash, now);
    }
}

} // namespace savoryrelay::daemon
