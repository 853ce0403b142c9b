// Measures the concurrent requests at one cold endpoint against its fleet-wide
// allowance, and the time until the endpoint is fully used. Compares permits with a
// ramp that each router runs by itself. Runs in simulated time and prints CSV.
#include "simulated_fleet.h"

#include "savoryrelay/coordination/warmup/permit_allocator.h"
#include "savoryrelay/coordination/warmup/router_permits.h"

#include <iostream>
#include <memory>
#include <random>
#include <string>

namespace {

using namespace savoryrelay;
using namespace savoryrelay::coordination;

constexpr std::uint64_t seed = 20261204;
constexpr double end_ms = 60'000;
constexpr double peer_delay_ms = 5;       // one way between members
constexpr double demand_per_second = 120; // requests of all routers that could go to the endpoint
constexpr double request_ms = 1'200;      // service time of a request within the allowance
constexpr double tick_ms = 100;           // interval at which a router reports its usage
constexpr double loss_rate = 0.02;        // share of the messages between members
constexpr double full_use_share = 0.9;    // share of the capacity

struct run_result {
    double worst_ratio = 0; ///< highest ratio of requests to the allowance at that time
    std::uint32_t peak_requests_cold = 0; ///< most requests before the allowance has grown
    double full_use_ms = -1;              ///< -1: not reached
};

state::time_point to_time(double ms) {
    return state::time_point(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

warmup_settings settings() {
    warmup_settings values;
    values.cold_allowance = 2;
    values.capacity = 64;
    return values;
}

/// Handles a request at `router` that could go to the cold endpoint. Returns false
/// if the router sends the request elsewhere.
using start_hook = std::function<bool(std::size_t router)>;

/// Counts the endpoint's requests and its allowance, which is the number of
/// requests that it serves at full speed. The allowance grows by one with each
/// completed request, both with permits and with ramps.
class cold_endpoint {
public:
    void begin() {
        ++m_requests;
        if (allowance() == settings().cold_allowance) {
            result.peak_requests_cold = std::max(result.peak_requests_cold, m_requests);
        }
        result.worst_ratio = std::max(result.worst_ratio, static_cast<double>(m_requests) /
                                                              static_cast<double>(allowance()));
    }
    void end(double now) {
        --m_requests;
        ++m_completed;
        if (result.full_use_ms < 0 &&
            static_cast<double>(m_requests + 1) >= full_use_share * settings().capacity) {
            result.full_use_ms = now;
        }
    }
    /// Returns the service time of a request that starts now. Above the allowance it
    /// grows in proportion to the number of requests.
    [[nodiscard]] double service_ms() const {
        return request_ms *
               std::max(1.0, static_cast<double>(m_requests) / static_cast<double>(allowance()));
    }
    run_result result;

private:
    [[nodiscard]] std::uint32_t allowance() const {
        return std::min(settings().capacity, settings().cold_allowance + m_completed);
    }
    std::uint32_t m_requests = 0;
    std::uint32_t m_completed = 0;
};

const state::endpoint_id endpoint_name{"cold"};

/// Schedules the arrivals of requests at all routers. Each arrival calls `start`.
void schedule_arrivals(bench::event_queue& events, std::mt19937_64& random, std::size_t routers,
                       const start_hook& start) {
    std::exponential_distribution<double> gap(demand_per_second / 1'000);
    events.schedule_at(events.now() + gap(random), [&events, &random, routers, &start] {
        static_cast<void>(start(random() % routers));
        schedule_arrivals(events, random, routers, start);
    });
}

run_result run_permits(std::size_t routers) {
    bench::event_queue events;
    std::mt19937_64 random(seed);
    cold_endpoint endpoint;
    const auto hooks = default_warmup_hooks();
    permit_allocator allocator(settings(), hooks, to_time(0), false);
    std::vector<std::unique_ptr<router_permits>> permits_by_router;
    std::vector<std::uint32_t> wanted(routers, 0);
    for (std::size_t i = 0; i < routers; ++i) {
        permits_by_router.push_back(std::make_unique<router_permits>(
            settings(), hooks, state::member_id("r" + std::to_string(i)), 1));
    }
    const auto deliver = [&](std::function<void()> receive) {
        if (std::uniform_real_distribution<double>(0, 1)(random) >= loss_rate) {
            events.schedule_at(events.now() + peer_delay_ms, std::move(receive));
        }
    };

    // Each router sends its usage reports in each tick. It returns its unused permits if no
    // request wanted one since the last tick.
    std::function<void(std::size_t)> tick = [&](std::size_t i) {
        const auto reports = permits_by_router[i]->report_usage(endpoint_name, wanted[i] == 0,
                                                                to_time(events.now()));
        for (const auto& usage : reports) {
            deliver([&, usage] { allocator.settle(usage, to_time(events.now())); });
        }
        wanted[i] = 0;
        events.schedule_at(events.now() + tick_ms, [&tick, i] { tick(i); });
    };
    for (std::size_t i = 0; i < routers; ++i) {
        events.schedule_at(tick_ms * static_cast<double>(i) / static_cast<double>(routers),
                           [&tick, i] { tick(i); });
    }

    const auto begin = [&](std::size_t i) {
        const auto number = permits_by_router[i]->start(endpoint_name, to_time(events.now()));
        if (!number) {
            return false;
        }
        endpoint.begin();
        events.schedule_at(events.now() + endpoint.service_ms(), [&, i, grant = *number] {
            endpoint.end(events.now());
            permits_by_router[i]->finish(endpoint_name, grant, true);
        });
        return true;
    };

    // A request without a permit waits for one reply of the allocator, and goes
    // elsewhere when the allocator grants nothing.
    const start_hook start = [&](std::size_t i) {
        ++wanted[i];
        if (begin(i)) {
            return true;
        }
        const auto request =
            permits_by_router[i]->request_permits(endpoint_name, 1, to_time(events.now()));
        deliver([&, i, request] {
            const auto at = to_time(events.now());
            const auto reply = allocator.grant(request, at + std::chrono::seconds(5), at);
            deliver([&, i, reply] {
                permits_by_router[i]->receive(reply, to_time(events.now()));
                static_cast<void>(begin(i));
            });
        });
        return false;
    };
    schedule_arrivals(events, random, routers, start);
    events.run_until(end_ms);
    return endpoint.result;
}

run_result run_ramps(std::size_t routers) {
    bench::event_queue events;
    std::mt19937_64 random(seed);
    cold_endpoint endpoint;
    struct ramp {
        std::uint32_t requests = 0;
        std::uint32_t completed = 0;
    };
    std::vector<ramp> ramps(routers);
    const start_hook start = [&](std::size_t i) {
        if (ramps[i].requests >=
            std::min(settings().capacity, settings().cold_allowance + ramps[i].completed)) {
            return false;
        }
        ++ramps[i].requests;
        endpoint.begin();
        events.schedule_at(events.now() + endpoint.service_ms(), [&, i] {
            endpoint.end(events.now());
            --ramps[i].requests;
            ++ramps[i].completed;
        });
        return true;
    };
    schedule_arrivals(events, random, routers, start);
    events.run_until(end_ms);
    return endpoint.result;
}

} // namespace

int main() {
    std::cout << "variant,routers,peak_work_over_allowance,peak_work_while_cold,full_use_ms\n";
    for (const std::size_t routers : {1UL, 9UL, 80UL, 320UL}) {
        const auto permits = run_permits(routers);
        const auto ramps = run_ramps(routers);
        const auto print = [&](std::string_view name, const run_result& row) {
            std::cout << name << ',' << routers << ',' << row.worst_ratio << ','
                      << row.peak_requests_cold << ',' << row.full_use_ms << '\n';
        };
        print("permits", permits);
        print("ramp_per_router", ramps);
        std::cout << "# routers=" << routers << " seed=" << seed
                  << " ratio of peak work, permits to ramp: "
                  << permits.worst_ratio / ramps.worst_ratio << '\n';
    }
    return 0;
}
