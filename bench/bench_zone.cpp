// Takes an availability zone out of service and back under load. Measures what
// callers get and how many requests go to the zone after the operators' order.
// Compares routers that drain and ramp a zone with routers that drop it and add it
// back at once. Runs in simulated time and prints CSV.
#include "simulated_fleet.h"

#include "savoryrelay/coordination/admission/admission.h"
#include "savoryrelay/coordination/routing/endpoint_directory.h"

#include <cmath>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_map>

namespace {

using namespace savoryrelay;
using namespace savoryrelay::coordination;

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t routers = 9;
constexpr std::size_t endpoints = 48;
constexpr std::uint32_t zones = 3;
constexpr std::uint32_t drained_zone = 1;
constexpr double full_rate = 9.0 * endpoints; // requests per second that are served in time
constexpr double leave_ms = 10'000;           // the operators order the zone out of service
constexpr double return_ms = 40'000;
constexpr double order_spread_ms = 2'000; // delay until the last router reads the order
constexpr double end_ms = 150'000;        // the longest answers take 25 s
constexpr double counted_until_ms = 120'000;
constexpr double first_token_limit_ms = 570;
constexpr double token_limit_ms = 60;
constexpr double start_margin_ms = 200;
constexpr double mean_cost = 1'840;
constexpr double requests_per_endpoint = 110; // in flight at full_rate
// An endpoint of a returned zone serves this many requests at full speed, and one
// more for each that it completes. With more requests it is slower in proportion,
// up to slowness_limit.
constexpr double cold_allowance = 2;
constexpr double slowness_limit = 6;

enum class variant { drain_and_ramp, drop_and_add };

} // namespace

template <>
struct savoryrelay::state::enum_table<variant> {
    static constexpr std::array rows{
        enum_name<variant>{variant::drain_and_ramp, "drain_and_ramp"},
        enum_name<variant>{variant::drop_and_add, "drop_and_add"},
    };
};

namespace {

struct run_result {
    double served = 0;                ///< share with the first token and the token interval in time
    double refused = 0;               ///< share
    double late = 0;                  ///< share neither served nor refused
    std::size_t sent_after_order = 0; ///< to the zone after the last router read the order
    double worst_second = 1;          ///< served share of the worst second
};

state::time_point to_time(double ms) {
    return state::time_point(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

class experiment {
public:
    experiment(variant chosen, double load) : m_variant(chosen), m_load(load) {
        std::vector<route_row> rows(endpoints);
        for (std::size_t i = 0; i < endpoints; ++i) {
            rows[i].state.phase = state::endpoint_phase::warm;
            rows[i].capacity = static_cast<std::uint32_t>(requests_per_endpoint);
            rows[i].zone = static_cast<std::uint32_t>(i % zones);
            m_engines.push_back(std::make_unique<bench::simulated_engine>(m_events, model()));
            m_allowance.push_back(requests_per_endpoint);
        }
        admission_settings settings;
        settings.capacity = admission_capacity(endpoints);
        settings.queue_limit = 200;
        settings.customer_queue_limit = 200;
        for (std::size_t i = 0; i < routers; ++i) {
            m_directories.push_back(std::make_unique<endpoint_directory>(rows, route_weights{}));
            m_admissions.push_back(std::make_unique<admission>(
                settings,
                admission_hooks{[this, i](std::uint64_t ticket) { start(i, ticket); },
                                [this](const admission_refusal& refusal) {
                                    m_requests.at(refusal.ticket).is_refused = true;
                                },
                                [](const auto&, const auto& values) { return values.quantum; }}));
        }
    }

    run_result run() {
        for (std::size_t i = 0; i < routers; ++i) {
            const double lag = order_spread_ms * static_cast<double>(i) / (routers - 1);
            m_events.schedule_at(leave_ms + lag, [this, i] { drain_zone(i); });
            m_events.schedule_at(return_ms + lag, [this, i] { return_zone(i); });
        }
        m_events.schedule_at(return_ms, [this] {
            for (std::uint32_t slot = drained_zone; slot < endpoints; slot += zones) {
                m_allowance[slot] = cold_allowance;
            }
        });
        tick();
        arrive();
        m_events.run_until(end_ms);
        return summarise();
    }

private:
    struct request_row {
        double arrived = 0;
        std::uint32_t own_tokens = 0;
        std::uint32_t answer_tokens = 0;
        double first_token = 0;
        bool is_good = false;
        bool is_refused = false;
    };

    static bench::engine_model model() {
        bench::engine_model values;
        values.cached_prefixes = 0; // each prompt is processed completely
        return values;
    }

    // Returns the admission capacity of one router, in cost, for `usable` endpoints in total.
    static double admission_capacity(double usable) {
        return usable * requests_per_endpoint * mean_cost / routers;
    }

    void drain_zone(std::size_t router) {
        const auto now = to_time(m_events.now());
        m_directories[router]->set_zone_drained(drained_zone, true, now);
        if (m_variant == variant::drain_and_ramp) {
            set_capacity(router);
        }
    }

    void return_zone(std::size_t router) {
        const auto now = to_time(m_events.now());
        auto& directory = *m_directories[router];
        directory.set_zone_drained(drained_zone, false, now);
        if (m_variant == variant::drain_and_ramp) {
            return;
        }
        // Adds the zone at once: sets the start of its ramp to an hour ago and makes its
        // endpoints warm.
        directory.set_zone_drained(drained_zone, true, now);
        directory.set_zone_drained(drained_zone, false, now - std::chrono::hours(1));
        for (std::uint32_t slot = drained_zone; slot < endpoints; slot += zones) {
            directory.set_phase(slot, state::endpoint_phase::warming);
            directory.set_phase(slot, state::endpoint_phase::warm);
        }
    }

    // Sets the admission capacity by the endpoints' zone shares and allowances.
    void set_capacity(std::size_t router) {
        const auto now = to_time(m_events.now());
        double usable = 0;
        for (std::uint32_t slot = 0; slot < endpoints; ++slot) {
            usable += std::min(zone_share(m_directories[router]->read(slot), {}, now),
                               m_allowance[slot] / requests_per_endpoint);
        }
        m_admissions[router]->set_capacity(m_deployment, admission_capacity(usable), now);
    }

    void tick() {
        const auto now = to_time(m_events.now());
        for (std::uint32_t slot = 0; slot < endpoints; ++slot) {
            state::load_report report;
            report.running = static_cast<std::uint32_t>(m_engines[slot]->running());
            report.queued = static_cast<std::uint32_t>(m_engines[slot]->queued());
            m_events.schedule_at(m_events.now() + 250, [this, slot, report] {
                for (auto& directory : m_directories) {
                    directory->report(slot, report);
                }
            });
        }
        for (std::size_t i = 0; i < routers; ++i) {
            m_directories[i]->refresh();
            m_admissions[i]->expire(m_deployment, now);
            if (m_variant == variant::drain_and_ramp) {
                set_capacity(i);
            }
        }
        m_events.schedule_at(m_events.now() + 250, [this] { tick(); });
    }

    void arrive() {
        const double rate = full_rate * m_load;
        std::exponential_distribution<double> gap(rate / 1'000);
        auto& row = m_requests[++m_last_ticket];
        row.arrived = m_events.now();
        row.own_tokens = 1'400 + static_cast<std::uint32_t>(m_random() % 400);
        row.answer_tokens = 80 + static_cast<std::uint32_t>(m_random() % 325);
        admission_request request;
        request.ticket = m_last_ticket;
        request.deployment = m_deployment;
        request.customer = state::customer_id("c" + std::to_string(m_random() % 10));
        request.cost = row.own_tokens + row.answer_tokens;
        request.deadline = to_time(row.arrived + first_token_limit_ms - start_margin_ms);
        const auto router = static_cast<std::size_t>(m_random() % routers);
        m_admissions[router]->submit(request, to_time(m_events.now()));
        m_events.schedule_at(m_events.now() + gap(m_random), [this] { arrive(); });
    }

    void start(std::size_t router, std::uint64_t ticket) {
        auto& directory = *m_directories[router];
        update_permits(router);
        slot_request needs;
        needs.needs.zone = static_cast<std::uint32_t>(router % zones);
        const auto slot =
            state::collect([&] {
                return directory.begin(needs, to_time(m_events.now()), m_policy_random);
            }).value();
        const double sent = m_events.now();
        m_sent_after_order +=
            slot % zones == drained_zone && sent > leave_ms + order_spread_ms && sent < return_ms
                ? 1
                : 0;
        const auto& row = m_requests.at(ticket);
        bench::engine_request request;
        request.own_tokens = row.own_tokens;
        request.answer_tokens = row.answer_tokens;
        request.on_first_token = [this, ticket](bool) {
            m_requests.at(ticket).first_token = m_events.now();
        };
        request.on_end = [this, router, slot, ticket] { end(router, slot, ticket); };
        m_engines[slot]->submit(std::move(request));
        update_slowness(slot);
    }

    [[nodiscard]] double requests_at(std::uint32_t slot) const {
        return static_cast<double>(m_engines[slot]->running() + m_engines[slot]->queued());
    }

    void update_slowness(std::uint32_t slot) {
        m_engines[slot]->set_slowness(
            std::clamp(requests_at(slot) / m_allowance[slot], 1.0, slowness_limit));
    }

    // Updates the permits of the returned zone's cold endpoints. Here, permits are
    // counted exactly and without delay; bench_warmup includes lost messages and delay.
    void update_permits(std::size_t router) {
        auto& directory = *m_directories[router];
        for (std::uint32_t slot = drained_zone; slot < endpoints; slot += zones) {
            const auto phase = directory.read(slot).state.phase;
            if (phase == state::endpoint_phase::warm) {
                continue;
            }
            directory.set_cold_permits(slot,
                                       requests_at(slot) < std::floor(m_allowance[slot]) ? 1 : 0);
            if (m_allowance[slot] >= requests_per_endpoint) {
                directory.set_phase(slot, state::endpoint_phase::warming);
                directory.set_phase(slot, state::endpoint_phase::warm);
            }
        }
    }

    void end(std::size_t router, std::uint32_t slot, std::uint64_t ticket) {
        auto& row = m_requests.at(ticket);
        const double interval = (m_events.now() - row.first_token) / (row.answer_tokens - 1);
        row.is_good =
            row.first_token - row.arrived <= first_token_limit_ms && interval <= token_limit_ms;
        m_directories[router]->end(slot);
        m_directories[router]->observe_token_interval(slot, interval);
        m_allowance[slot] = std::min(m_allowance[slot] + 1, requests_per_endpoint);
        update_slowness(slot);
        m_admissions[router]->finish(m_deployment, ticket, to_time(m_events.now()));
    }

    run_result summarise() {
        run_result result;
        struct second {
            double total = 0;
            double served = 0;
        };
        std::unordered_map<int, second> seconds;
        double total = 0;
        for (const auto& [ticket, row] : m_requests) {
            if (row.arrived < leave_ms || row.arrived > counted_until_ms) {
                continue;
            }
            total += 1;
            result.served += row.is_good ? 1 : 0;
            result.refused += row.is_refused ? 1 : 0;
            auto& bucket = seconds[static_cast<int>(row.arrived / 1'000)];
            bucket.total += 1;
            bucket.served += row.is_good ? 1 : 0;
        }
        result.served /= total;
        result.refused /= total;
        result.late = 1 - result.served - result.refused;
        result.sent_after_order = m_sent_after_order;
        for (const auto& [at, bucket] : seconds) {
            result.worst_second = std::min(result.worst_second, bucket.served / bucket.total);
        }
        return result;
    }

    const state::deployment_id m_deployment{"d"};
    variant m_variant;
    double m_load;
    random_source m_random{seed};
    random_source m_policy_random{seed + 1};
    bench::event_queue m_events;
    std::vector<std::unique_ptr<bench::simulated_engine>> m_engines;
    std::vector<double> m_allowance;
    std::vector<std::unique_ptr<endpoint_directory>> m_directories;
    std::vector<std::unique_ptr<admission>> m_admissions;
    std::unordered_map<std::uint64_t, request_row> m_requests;
    std::uint64_t m_last_ticket = 0;
    std::size_t m_sent_after_order = 0;
};

} // namespace

int main() {
    std::cout << "variant,load,served_share,refused_share,late_share,sent_after_order,"
                 "served_share_of_worst_second\n";
    for (const double load : {0.6, 0.8, 0.95}) {
        double served = 0;
        for (const auto& row : state::enum_table<variant>::rows) {
            const auto result = experiment(row.value, load).run();
            std::cout << row.name << ',' << load << ',' << result.served << ',' << result.refused
                      << ',' << result.late << ',' << result.sent_after_order << ','
                      << result.worst_second << '\n';
            if (row.value == variant::drain_and_ramp) {
                served = result.served;
            } else {
                std::cout << "# load=" << load << " seed=" << seed
                          << " ratio of served share, drain and ramp to drop and add: "
                          << served / result.served << '\n';
            }
        }
    }
    return 0;
}
