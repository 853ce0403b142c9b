// Compares the roll-out evaluator with serial waves in simulated time. Serial
// waves are the published design of Backend.AI pull request 9567 (BA-3435).
// Prints the time until the roll-out ends, the lowest number of available groups
// and the stranded accelerators, then ratios.
#include "savoryrelay/coordination/rollout/rollout.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace savoryrelay;
using coordination::rollout_change_kind;
using state::group_state;
using state::rollout_state;

namespace {

constexpr std::uint32_t desired = 36;
constexpr double accelerators_per_group = 128.0; // 16 hosts of 8
constexpr double tick_s = 5.0;
constexpr double limit_s = 86'400.0;
constexpr double dissolve_s = 10.0;
constexpr double drain_settle_s = 6.0;
constexpr double mean_drain_s = 60.0;
constexpr double mean_repair_s = 190.0;

struct budget {
    std::uint32_t surge;
    std::uint32_t unavailable;
};

/// The failures during a roll-out.
struct scenario {
    std::string_view name;
    double failing_share;         ///< share of the new groups that never serve
    double group_losses_per_hour; ///< number of serving groups that lose a host
};

struct sim_group {
    state::group_id id;
    std::string model_version;
    group_state state = group_state::forming;
    double since = 0.0;
    double until = 0.0; ///< end of the current state
    double broken_until = 0.0;
    bool failing = false;
};

struct run_result {
    double seconds = 0.0;
    std::uint32_t least_available = desired;
    double stranded = 0.0;
    std::string end = "no end";
};

/// Evaluates a roll-out in serial waves: waits while any new group is provisioning,
/// and rolls back only when all new groups have failed.
std::vector<coordination::rollout_change>
serial_waves(const coordination::rollout_view& view, const coordination::rollout_settings& settings,
             state::time_point now) {
    std::vector<coordination::rollout_change> changes;
    const auto& target = state::target_version(view.rollout);
    std::int64_t current = 0;
    std::int64_t new_live = 0;
    std::int64_t new_failed = 0;
    std::int64_t healthy = 0;
    std::vector<const coordination::rollout_group*> old;
    for (const auto& group : view.groups) {
        const bool starting =
            group.state == group_state::forming || group.state == group_state::loading;
        const bool failed = starting && now - group.state_since > settings.load_deadline;
        const bool leaving =
            group.state == group_state::draining || group.state == group_state::dissolving;
        current += failed ? 0 : 1;
        healthy += group.state == group_state::serving && group.complete ? 1 : 0;
        if (group.model_version == target) {
            new_failed += failed ? 1 : 0;
            new_live += failed || leaving ? 0 : 1;
            if (starting && !failed) {
                return {}; // provisioning
            }
            if (failed) {
                changes.push_back({.kind = rollout_change_kind::abandon, .group = group.id});
            }
        } else if (!leaving) {
            old.push_back(&group);
        }
    }
    if (view.rollout.state == rollout_state::progressing && new_failed > 0 && new_live == 0) {
        changes.push_back({.kind = rollout_change_kind::change_rollout_state,
                           .next = rollout_state::rolling_back});
        return changes;
    }
    const auto desired_count = static_cast<std::int64_t>(settings.desired);
    const auto create =
        std::min(desired_count + settings.max_surge - current, desired_count - new_live);
    if (create > 0) {
        changes.push_back({.kind = rollout_change_kind::form,
                           .model_version = target,
                           .count = static_cast<std::uint32_t>(create)});
    }
    const auto terminate =
        std::min<std::int64_t>(healthy - (desired_count - settings.max_unavailable),
                               static_cast<std::int64_t>(old.size()));
    for (std::int64_t i = 0; i < terminate; ++i) {
        const auto* group = old[static_cast<std::size_t>(i)];
        const auto kind = group->state == group_state::serving ? rollout_change_kind::drain
                                                               : rollout_change_kind::abandon;
        changes.push_back({.kind = kind, .group = group->id});
    }
    if (old.empty() && new_live >= desired_count && current == new_live) {
        const bool is_rolling_back = view.rollout.state == rollout_state::rolling_back;
        changes.push_back(
            {.kind = rollout_change_kind::change_rollout_state,
             .next = is_rolling_back ? rollout_state::rolled_back : rollout_state::completed});
    }
    return changes;
}

class simulation {
public:
    simulation(const scenario& chosen, budget limits, std::uint64_t seed)
        : m_scenario(chosen), m_random(seed) {
        m_settings = {
            .desired = desired, .max_surge = limits.surge, .max_unavailable = limits.unavailable};
        for (std::uint32_t i = 0; i < desired; ++i) {
            auto& group = add("v1");
            group.state = group_state::serving;
        }
    }

    run_result run(const coordination::evaluate_rollout_hook& evaluate) {
        run_result result;
        state::rollout_row row{state::deployment_id("d"), "v1", "v2", rollout_state::progressing,
                               0};
        for (m_now = 0.0; m_now < limit_s; m_now += tick_s) {
            advance();
            coordination::rollout_view view{row, {}, at(m_now)};
            std::uint32_t available = 0;
            for (const auto& group : m_groups) {
                const bool complete =
                    group.state == group_state::serving && group.broken_until <= m_now;
                available += complete ? 1 : 0;
                const bool used = complete || group.state == group_state::draining;
                result.stranded += used ? 0.0 : accelerators_per_group * tick_s;
                view.groups.push_back(
                    {group.id, group.model_version, group.state, complete, at(group.since)});
            }
            result.least_available = std::min(result.least_available, available);
            for (const auto& change : evaluate(view, m_settings, at(m_now))) {
                row.failed_groups += change.counts_as_failure ? 1 : 0;
                if (change.kind == rollout_change_kind::change_rollout_state) {
                    row.state = *change.next;
                }
                apply(change);
            }
            if (row.state == rollout_state::completed || row.state == rollout_state::rolled_back) {
                result.end = state::to_name(row.state);
                break;
            }
        }
        result.seconds = m_now;
        return result;
    }

private:
    static state::time_point at(double seconds) {
        return state::time_point{} + std::chrono::hours(24) +
               std::chrono::duration_cast<state::time_point::duration>(
                   std::chrono::duration<double>(seconds));
    }
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    double draw(double mean) { return -mean * std::log(1.0 - uniform()); }

    sim_group& add(const std::string& version) {
        sim_group group;
        group.id = state::group_id("g" + std::to_string(m_next_id++));
        group.model_version = version;
        group.since = m_now;
        // One group in twenty loads slowly, as it does when the weight store is busy.
        const double slow = uniform() < 0.05 ? 600.0 : 0.0;
        group.until = m_now + 120.0 + 180.0 * uniform() + slow;
        group.failing = uniform() < m_scenario.failing_share && version == "v2";
        m_groups.push_back(group);
        return m_groups.back();
    }

    void enter(sim_group& group, group_state state, double duration_s) {
        group.state = state;
        group.since = m_now;
        group.until = m_now + duration_s;
    }

    void advance() {
        for (auto& group : m_groups) {
            if (group.state == group_state::forming && group.until <= m_now && !group.failing) {
                enter(group, group_state::serving, 0.0);
            } else if (group.state == group_state::draining && group.until <= m_now) {
                enter(group, group_state::dissolving, dissolve_s);
            } else if (group.state == group_state::dissolving && group.until <= m_now) {
                group.state = group_state::dissolved;
            } else if (group.state == group_state::serving &&
                       uniform() < m_scenario.group_losses_per_hour / desired * tick_s / 3600.0) {
                group.broken_until = m_now + mean_repair_s;
            }
        }
        std::erase_if(m_groups,
                      [](const auto& group) { return group.state == group_state::dissolved; });
    }

    void apply(const coordination::rollout_change& change) {
        if (change.kind == rollout_change_kind::form) {
            for (std::uint32_t i = 0; i < change.count; ++i) {
                add(change.model_version);
            }
        }
        for (auto& group : m_groups) {
            if (group.id != change.group) {
                continue;
            }
            if (change.kind == rollout_change_kind::drain) {
                enter(group, group_state::draining, drain_settle_s + draw(mean_drain_s));
            } else if (change.kind == rollout_change_kind::abandon) {
                enter(group, group_state::dissolving, dissolve_s);
            }
        }
    }

    scenario m_scenario;
    coordination::rollout_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<sim_group> m_groups;
    double m_now = 0.0;
    std::uint32_t m_next_id = 0;
};

} // namespace

/// Usage: bench_rollout [seed]
int main(int argc, char** argv) {
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20'261'204ULL;
    // 58 host losses a day over 600 hosts hit 36 groups of 16 about 2.3 times an hour.
    constexpr std::array scenarios{scenario{"clean", 0.0, 0.0}, scenario{"losses", 0.0, 2.3},
                                   scenario{"bad_version", 1.0, 2.3},
                                   scenario{"third_fails", 0.33, 2.3}};
    constexpr std::array budgets{budget{1, 0}, budget{0, 1}, budget{2, 1}, budget{4, 2},
                                 budget{0, 4}};
    std::printf("scenario,surge,unavailable,policy,seed,end,seconds,least_available,"
                "stranded_accelerator_s\n");
    std::vector<std::string> ratios;
    for (const auto& chosen : scenarios) {
        for (const auto& limits : budgets) {
            const auto evaluator_result =
                simulation(chosen, limits, seed).run(coordination::evaluate_rollout);
            const auto waves_result = simulation(chosen, limits, seed).run(serial_waves);
            const auto print = [&](const char* name, const run_result& result) {
                std::printf("%s,%u,%u,%s,%llu,%s,%.0f,%u,%.0f\n", std::string(chosen.name).c_str(),
                            limits.surge, limits.unavailable, name,
                            static_cast<unsigned long long>(seed), result.end.c_str(),
                            result.seconds, result.least_available, result.stranded);
            };
            print("evaluator", evaluator_result);
            print("serial_waves", waves_result);
            std::array<char, 160> line{};
            std::snprintf(line.data(), line.size(),
                          "ratio evaluator/serial_waves, %s %u+%u: time %.2f, stranded %.2f",
                          std::string(chosen.name).c_str(), limits.surge, limits.unavailable,
                          evaluator_result.seconds / waves_result.seconds,
                          evaluator_result.stranded / waves_result.stranded);
            ratios.emplace_back(line.data());
        }
    }
    for (const auto& line : ratios) {
        std::printf("%s\n", line.c_str());
    }
    return 0;
}
