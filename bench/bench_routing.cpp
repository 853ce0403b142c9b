// Compares the routing score with round robin, least reported load and a pure
// prefix hash in simulated time with the same arrivals, and measures each term of
// the score alone. Prints CSV. Arguments: routers, endpoints, zones, requests per
// second.
#include "simulated_fleet.h"

#include "savoryrelay/coordination/routing/endpoint_directory.h"

#include <cmath>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace savoryrelay;
using namespace savoryrelay::coordination;

constexpr std::uint64_t seed = 20261204;
constexpr double warm_up_ms = 8'000; // results before this time are not counted
constexpr double end_ms = 20'000;
constexpr double report_period_ms = 500;
constexpr double report_lag_ms = 250;
constexpr double refresh_period_ms = 250;
constexpr double local_delay_ms = 0.3;
constexpr double cross_delay_ms = 3;
constexpr double first_token_target_ms = 570;
constexpr std::size_t prefix_groups = 3'000;
constexpr std::uint32_t straggler_period = 50; // each 50th endpoint is a straggler
constexpr double straggler_slowness = 2;
constexpr std::uint32_t capacity = 128;

struct scale {
    std::size_t routers;
    std::size_t endpoints;
    std::uint32_t zones;
    double requests_per_second;
};

/// Chooses a slot for a request that arrives at `router`.
using policy_hook = std::function<std::uint32_t(std::size_t router, endpoint_directory& directory,
                                                const slot_request& request, state::time_point now,
                                                random_source& random)>;

struct policy {
    std::string name;
    route_weights weights;
    policy_hook choose; ///< if empty, the routing score with `weights` chooses
};

struct run_result {
    double first_token_p50 = 0;
    double first_token_p95 = 0;
    double in_time = 0; ///< share of requests with the first token in time
    double token_p95 = 0;
    double cached = 0;
    double cross_zone = 0;
    double peak_over_mean = 0;
};

state::time_point to_time(double ms) {
    return state::time_point(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

/// Runs the workload with one policy.
class experiment {
public:
    experiment(const scale& size, const policy& chosen)
        : m_size(size), m_policy(chosen), m_random(seed) {
        std::vector<route_row> rows(size.endpoints);
        for (std::size_t i = 0; i < size.endpoints; ++i) {
            rows[i].state.phase = state::endpoint_phase::warm;
            rows[i].capacity = capacity;
            rows[i].zone = static_cast<std::uint32_t>(i % size.zones);
            bench::engine_model model;
            model.slowness = i % straggler_period == 7 ? straggler_slowness : 1;
            m_engines.push_back(std::make_unique<bench::simulated_engine>(m_events, model));
            m_engines.back()->on_step = [this](double duration, std::size_t batch) {
                if (m_events.now() > warm_up_ms) {
                    m_steps.emplace_back(duration, batch);
                }
            };
        }
        for (std::size_t i = 0; i < size.routers; ++i) {
            m_routers.push_back(std::make_unique<endpoint_directory>(rows, chosen.weights));
        }
        // Cumulative Zipf weights of the prefixes.
        double sum = 0;
        for (std::size_t i = 0; i < prefix_groups; ++i) {
            sum += 1.0 / static_cast<double>(i + 1);
            m_popularity.push_back(sum);
        }
    }

    run_result run() {
        schedule_reports();
        schedule_arrival();
        m_events.run_until(end_ms);
        return summarise();
    }

private:
    void schedule_reports() {
        for (std::uint32_t slot = 0; slot < m_engines.size(); ++slot) {
            const double first = report_period_ms * static_cast<double>(slot) /
                                 static_cast<double>(m_size.endpoints);
            m_events.schedule_at(first, [this, slot] { take_report(slot); });
        }
        m_events.schedule_at(refresh_period_ms, [this] { refresh(); });
    }

    void take_report(std::uint32_t slot) {
        state::load_report report;
        report.running = static_cast<std::uint32_t>(m_engines[slot]->running());
        report.queued = static_cast<std::uint32_t>(m_engines[slot]->queued());
        m_events.schedule_at(m_events.now() + report_lag_ms, [this, slot, report] {
            for (auto& router : m_routers) {
                router->report(slot, report);
            }
        });
        m_events.schedule_at(m_events.now() + report_period_ms,
                             [this, slot] { take_report(slot); });
    }

    void refresh() {
        for (auto& router : m_routers) {
            router->refresh();
        }
        if (m_events.now() > warm_up_ms) {
            double total = 0;
            double peak = 0;
            for (const auto& engine : m_engines) {
                const auto load = static_cast<double>(engine->running() + engine->queued());
                total += load;
                peak = std::max(peak, load);
            }
            m_peaks.push_back(peak * static_cast<double>(m_engines.size()) / total);
        }
        m_events.schedule_at(m_events.now() + refresh_period_ms, [this] { refresh(); });
    }

    void schedule_arrival() {
        std::exponential_distribution<double> gap(m_size.requests_per_second / 1'000);
        m_events.schedule_at(m_events.now() + gap(m_random), [this] {
            arrive();
            schedule_arrival();
        });
    }

    void arrive() {
        // The workload takes a fixed number of random draws before the policy runs, and
        // the policy has its own generator, so that each policy gets the same requests.
        std::uniform_real_distribution<double> point(0, m_popularity.back());
        const auto group = static_cast<std::uint64_t>(
            std::lower_bound(m_popularity.begin(), m_popularity.end(), point(m_random)) -
            m_popularity.begin());
        const auto router = static_cast<std::size_t>(m_random() % m_size.routers);
        bench::engine_request request;
        request.prefix = group;
        request.prefix_tokens = 1'200;
        request.own_tokens = 200 + static_cast<std::uint32_t>(m_random() % 400);
        request.answer_tokens = 80 + static_cast<std::uint32_t>(m_random() % 325);

        slot_request needs;
        needs.needs.zone = static_cast<std::uint32_t>(router % m_size.zones);
        for (std::uint64_t block = 1; block <= 4; ++block) {
            needs.prefix.push_back((group * 8 + block) * 0x9E3779B97F4A7C15ULL >> 7U);
        }
        auto& directory = *m_routers[router];
        const auto slot = choose(router, directory, needs);

        const bool is_cross_zone = directory.read(slot).zone != needs.needs.zone;
        const double delay = is_cross_zone ? cross_delay_ms : local_delay_ms;
        const double sent = m_events.now();
        m_cross_zone += sent > warm_up_ms && is_cross_zone ? 1 : 0;
        m_sent += sent > warm_up_ms ? 1 : 0;
        const auto answer_tokens = request.answer_tokens;
        auto first_token = std::make_shared<double>(0);
        request.on_first_token = [this, sent, delay, first_token](bool cached) {
            *first_token = m_events.now();
            if (sent > warm_up_ms) {
                m_first_token_ms.push_back(m_events.now() - sent + delay);
                m_cached += cached ? 1 : 0;
            }
        };
        request.on_end = [this, &directory, slot, answer_tokens, first_token] {
            directory.end(slot);
            directory.observe_token_interval(slot,
                                             (m_events.now() - *first_token) / (answer_tokens - 1));
        };
        m_events.schedule_at(sent + delay, [this, slot, request = std::move(request)] {
            m_engines[slot]->submit(request);
        });
    }

    std::uint32_t choose(std::size_t router, endpoint_directory& directory,
                         const slot_request& needs) {
        const auto now = to_time(m_events.now());
        if (m_policy.choose) {
            return m_policy.choose(router, directory, needs, now, m_policy_random);
        }
        return state::collect([&] { return directory.begin(needs, now, m_policy_random); }).value();
    }

    run_result summarise() {
        run_result result;
        const auto in_time = std::count_if(m_first_token_ms.begin(), m_first_token_ms.end(),
                                           [](double ms) { return ms <= first_token_target_ms; });
        // A request that has no first token when the run ends counts as late.
        result.in_time = static_cast<double>(in_time) / static_cast<double>(m_sent);
        result.cached =
            static_cast<double>(m_cached) / static_cast<double>(m_first_token_ms.size());
        result.first_token_p50 = bench::quantile(m_first_token_ms, 0.5);
        result.first_token_p95 = bench::quantile(m_first_token_ms, 0.95);
        result.cross_zone = static_cast<double>(m_cross_zone) / static_cast<double>(m_sent);

        // Computes the 95th percentile of the token interval from the durations of the
        // steps, weighted by their batch sizes.
        std::sort(m_steps.begin(), m_steps.end());
        double tokens = 0;
        for (const auto& step : m_steps) {
            tokens += static_cast<double>(step.second);
        }
        double seen = 0;
        for (const auto& step : m_steps) {
            seen += static_cast<double>(step.second);
            if (seen >= 0.95 * tokens) {
                result.token_p95 = step.first;
                break;
            }
        }
        for (const double peak : m_peaks) {
            result.peak_over_mean += peak / static_cast<double>(m_peaks.size());
        }
        return result;
    }

    scale m_size;
    const policy& m_policy;
    random_source m_random;
    random_source m_policy_random{seed + 1};
    bench::event_queue m_events;
    std::vector<std::unique_ptr<bench::simulated_engine>> m_engines;
    std::vector<std::unique_ptr<endpoint_directory>> m_routers;
    std::vector<double> m_popularity;
    std::vector<double> m_first_token_ms;
    std::vector<std::pair<double, std::size_t>> m_steps;
    std::vector<double> m_peaks;
    std::size_t m_sent = 0;
    std::size_t m_cached = 0;
    std::size_t m_cross_zone = 0;
};

route_weights without_terms() {
    route_weights weights;
    weights.use_load_corrections = false;
    weights.zone_cost = 0;
    weights.prefix_bonus = 0;
    weights.home_bonus = 0;
    weights.max_slowdown_factor = 1;
    return weights;
}

std::vector<policy> make_policies() {
    std::vector<policy> policies;
    auto cursors = std::make_shared<std::vector<std::uint32_t>>();
    policies.push_back({"round_robin", without_terms(),
                        [cursors](std::size_t router, auto& directory, const auto&, auto, auto&) {
                            if (cursors->size() <= router) {
                                cursors->resize(router + 1);
                            }
                            // Each router starts at a different endpoint.
                            return static_cast<std::uint32_t>(((*cursors)[router]++ + router * 37) %
                                                              directory.size());
                        }});
    policies.push_back({"least_reported_load", without_terms(),
                        [](std::size_t, auto& directory, const auto&, auto, auto& random) {
                            const auto count = static_cast<std::uint32_t>(directory.size());
                            const auto from = static_cast<std::uint32_t>(random() % count);
                            std::uint32_t best = from;
                            std::uint32_t least = ~0U;
                            for (std::uint32_t i = 0; i < count; ++i) {
                                const auto slot = (from + i) % count;
                                const auto report = directory.read(slot).state.report;
                                if (report.running + report.queued < least) {
                                    least = report.running + report.queued;
                                    best = slot;
                                }
                            }
                            return best;
                        }});
    policies.push_back({"prefix_hash", without_terms(),
                        [](std::size_t, auto& directory, const auto& request, auto, auto&) {
                            return static_cast<std::uint32_t>(request.prefix.front() %
                                                              directory.size());
                        }});
    policies.push_back({"score", {}, {}});

    // Each term alone, added to the reported load of random candidates.
    const route_weights full;
    policies.push_back({"only_reported_load", without_terms(), {}});
    auto weights = without_terms();
    weights.use_load_corrections = true;
    policies.push_back({"only_correction", weights, {}});
    weights = without_terms();
    weights.zone_cost = full.zone_cost;
    policies.push_back({"only_zone_cost", weights, {}});
    weights = without_terms();
    weights.prefix_bonus = full.prefix_bonus;
    policies.push_back({"only_prefix_table", weights, {}});
    weights = without_terms();
    weights.home_bonus = full.home_bonus;
    policies.push_back({"only_prefix_home", weights, {}});
    weights = without_terms();
    weights.max_slowdown_factor = full.max_slowdown_factor;
    policies.push_back({"only_straggler", weights, {}});
    return policies;
}

} // namespace

int main(int argc, char** argv) {
    scale size{9, 50, 3, 550};
    if (argc == 5) {
        size = {std::stoul(argv[1]), std::stoul(argv[2]),
                static_cast<std::uint32_t>(std::stoul(argv[3])), std::stod(argv[4])};
    }
    std::cout << "policy,routers,endpoints,first_token_p50_ms,first_token_p95_ms,"
                 "share_within_570_ms,token_interval_p95_ms,cached_share,cross_zone_share,"
                 "peak_over_mean\n";
    double baseline = 0;
    double score = 0;
    for (const auto& tested_policy : make_policies()) {
        const auto result = experiment(size, tested_policy).run();
        std::cout << tested_policy.name << ',' << size.routers << ',' << size.endpoints << ','
                  << result.first_token_p50 << ',' << result.first_token_p95 << ','
                  << result.in_time << ',' << result.token_p95 << ',' << result.cached << ','
                  << result.cross_zone << ',' << result.peak_over_mean << std::endl;
        baseline = tested_policy.name == "round_robin" ? result.first_token_p95 : baseline;
        score = tested_policy.name == "score" ? result.first_token_p95 : score;
    }
    std::cout << "# seed=" << seed
              << " ratio of first_token_p95, score to round_robin: " << score / baseline << '\n';
    return 0;
}
