// Measures group downtime and stranded accelerators under host losses in
// simulated time. Compares three policies: the host loss decision and best-fit
// placement, first fit, and waiting for the lost hosts. All policies get the same
// outages. Prints CSV, then ratios.
#include "savoryrelay/coordination/group/group_planner.h"
#include "savoryrelay/coordination/group/host_loss.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace savoryrelay;

namespace {

enum class policy { decision, first_fit, wait };

} // namespace

template <>
struct state::enum_table<policy> {
    static constexpr std::array rows{
        enum_name<policy>{policy::decision, "decision"},
        enum_name<policy>{policy::first_fit, "first_fit"},
        enum_name<policy>{policy::wait, "wait"},
    };
};

namespace {

constexpr std::uint32_t zones = 8;
constexpr std::uint32_t domains = 16;
constexpr std::uint32_t group_hosts_per_domain = 32;
constexpr double accelerators_per_host = 8.0;
constexpr double tick_s = 5.0;
constexpr double day_s = 86'400.0;
constexpr double lost_after_s = 15.0; // a host that is down for this long is lost
constexpr double load_s = 180.0;
constexpr double reform_s = 10.0;
// The outage rates are those of docs/design.md 1.2 for 600 hosts. The durations
// are assumptions, which docs/measurements/groups.md lists.
constexpr double restarts_per_host_day = 50.0 / 600.0;
constexpr double failures_per_host_day = 8.0 / 600.0;
constexpr double mean_restart_s = 240.0;
constexpr double mean_failure_s = 14'400.0;
constexpr double days_between_rack_outages = 45.0;
constexpr double mean_rack_outage_s = 14'400.0;
constexpr double days_between_zone_outages = 60.0;
constexpr double mean_zone_outage_s = 3'600.0;

struct sim_host {
    double back_at = 0.0;    ///< the host is up from this time on
    double down_since = 0.0; ///< when the host last went down
    int group = -1;
};

struct sim_group {
    std::vector<std::size_t> hosts; ///< empty while not placed
    std::uint32_t domain = 0;
    double ready_at = 0.0;
    bool broken = false; ///< lost a host since it was assembled
};

struct totals {
    double downtime = 0.0; ///< group-seconds
    double stranded = 0.0; ///< accelerator-seconds
};

class simulation {
public:
    simulation(policy chosen, std::uint32_t size, std::uint32_t spares, std::uint64_t seed)
        : m_policy(chosen), m_size(size), m_spares(spares), m_random(seed),
          m_domain_hosts(group_hosts_per_domain + spares), m_hosts(domains * m_domain_hosts),
          m_groups(domains * group_hosts_per_domain / size) {
        m_next_restart = draw(day_s / (restarts_per_host_day * host_count()));
        m_next_failure = draw(day_s / (failures_per_host_day * host_count()));
        m_next_rack_outage = draw(day_s * days_between_rack_outages);
        m_next_zone_outage = draw(day_s * days_between_zone_outages);
    }

    totals run(double days) {
        place_missing();
        for (auto& group : m_groups) {
            group.ready_at = 0.0;
        }
        for (m_now = 0.0; m_now < days * day_s; m_now += tick_s) {
            fail_hosts();
            repair_groups();
            measure();
        }
        return m_totals;
    }

private:
    [[nodiscard]] double host_count() const { return static_cast<double>(m_hosts.size()); }
    double draw(double mean) { return std::exponential_distribution<double>(1.0 / mean)(m_random); }
    [[nodiscard]] bool is_up(std::size_t host) const { return m_hosts[host].back_at <= m_now; }
    [[nodiscard]] std::uint32_t domain_of(std::size_t host) const {
        return static_cast<std::uint32_t>(host) / m_domain_hosts;
    }

    void lose(std::size_t host, double duration) {
        auto& row = m_hosts[host];
        if (is_up(host)) {
            row.down_since = m_now;
        }
        row.back_at = std::max(row.back_at, m_now + duration);
        m_last_return_at = std::max(m_last_return_at, row.back_at);
        if (row.group >= 0) {
            m_groups[static_cast<std::size_t>(row.group)].broken = true;
        }
    }

    // Draws hosts and durations independently of the policy, so that all policies
    // get the same outages.
    void fail_hosts() {
        const auto fail_single_hosts = [&](double& next, double rate, double mean) {
            while (next <= m_now) {
                next += draw(day_s / (rate * host_count()));
                const auto host = m_random() % m_hosts.size();
                lose(host, draw(mean));
            }
        };
        fail_single_hosts(m_next_restart, restarts_per_host_day, mean_restart_s);
        fail_single_hosts(m_next_failure, failures_per_host_day, mean_failure_s);
        const auto fail_partitions = [&](double& next, double mean_days_between, double mean,
                                         std::uint32_t partitions) {
            while (next <= m_now) {
                next += draw(day_s * mean_days_between);
                const auto partition = m_random() % partitions;
                const auto duration = draw(mean);
                for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                    if (i / (m_hosts.size() / partitions) == partition) {
                        lose(i, duration);
                    }
                }
            }
        };
        fail_partitions(m_next_rack_outage, days_between_rack_outages, mean_rack_outage_s, domains);
        fail_partitions(m_next_zone_outage, days_between_zone_outages, mean_zone_outage_s, zones);
    }

    [[nodiscard]] std::uint32_t missing(const sim_group& group) const {
        return static_cast<std::uint32_t>(
            std::count_if(group.hosts.begin(), group.hosts.end(),
                          [&](std::size_t host) { return !is_up(host); }));
    }

    std::vector<std::size_t> free_in(std::uint32_t domain) const {
        std::vector<std::size_t> found;
        for (std::size_t i = domain * m_domain_hosts; i < (domain + 1) * m_domain_hosts; ++i) {
            if (is_up(i) && m_hosts[i].group < 0) {
                found.push_back(i);
            }
        }
        return found;
    }

    void dissolve(sim_group& group) {
        for (const auto host : group.hosts) {
            m_hosts[host].group = -1;
        }
        group.hosts.clear();
        group.broken = false;
    }

    void repair_groups() {
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            auto& group = m_groups[i];
            if (!group.broken) {
                continue;
            }
            const auto lost = missing(group);
            if (lost == 0) {
                group.broken = false;
                group.ready_at = m_now + load_s;
                continue;
            }
            repair(i, lost);
        }
        // A placement can succeed only after a host has returned or was released.
        if (m_now <= m_last_return_at + tick_s || m_hosts_released) {
            m_hosts_released = false;
            place_missing();
        }
    }

    void repair(std::size_t index, std::uint32_t lost) {
        auto& group = m_groups[index];
        double time_since_loss = 0.0;
        for (const auto host : group.hosts) {
            time_since_loss = is_up(host)
                                  ? time_since_loss
                                  : std::max(time_since_loss, m_now - m_hosts[host].down_since);
        }
        if (m_policy == policy::wait || time_since_loss < lost_after_s) {
            return;
        }
        const auto spares = free_in(group.domain);
        auto action = coordination::host_loss_action::dissolve;
        if (m_policy == policy::first_fit) {
            if (spares.size() >= lost) {
                action = coordination::host_loss_action::replace;
            }
        } else {
            action =
                decide(index, lost, static_cast<std::uint32_t>(spares.size()), time_since_loss);
        }
        if (action == coordination::host_loss_action::replace) {
            auto spare = spares.begin();
            for (auto& host : group.hosts) {
                if (!is_up(host)) {
                    m_hosts[host].group = -1;
                    host = *spare++;
                    m_hosts[host].group = static_cast<int>(index);
                }
            }
            group.broken = false;
            group.ready_at = m_now + load_s;
        } else if (action == coordination::host_loss_action::dissolve) {
            dissolve(group);
            m_hosts_released = true;
        }
    }

    coordination::host_loss_action decide(std::size_t index, std::uint32_t lost,
                                          std::uint32_t spares, double time_since_loss) const {
        const auto& group = m_groups[index];
        coordination::host_loss_input loss;
        loss.hosts = m_size;
        loss.missing = lost;
        loss.spares = spares;
        loss.time_since_loss =
            state::milliseconds(static_cast<std::int64_t>(time_since_loss * 1000.0));
        for (std::uint32_t domain = 0; domain < domains; ++domain) {
            loss.fits_elsewhere |= domain != group.domain && free_in(domain).size() >= m_size;
        }
        auto survivors = m_size - lost;
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            const auto& peer = m_groups[i];
            if (i == index || !peer.broken || peer.domain != group.domain) {
                continue;
            }
            const auto peer_lost = missing(peer);
            if (peer_lost > 0 && peer_lost <= survivors &&
                std::pair(peer_lost, i) < std::pair(lost, index)) {
                survivors -= peer_lost;
                ++loss.repairable_groups;
            }
        }
        return coordination::decide_host_loss(loss, {}).action;
    }

    /// Places each group that has no hosts, if it fits anywhere.
    void place_missing() {
        std::vector<std::size_t> unplaced;
        coordination::placement_request request;
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            if (m_groups[i].hosts.empty()) {
                unplaced.push_back(i);
            } else {
                ++request.groups_by_zone[zone_of(m_groups[i].domain)];
            }
        }
        if (unplaced.empty()) {
            return;
        }
        if (m_policy != policy::decision) {
            place_first_fit(unplaced);
            return;
        }
        for (std::uint32_t domain = 0; domain < domains; ++domain) {
            for (const auto host : free_in(domain)) {
                request.free_hosts.push_back({state::host_id(std::to_string(host)), zone_of(domain),
                                              state::fabric_domain_id(std::to_string(domain))});
            }
        }
        request.group_sizes.assign(unplaced.size(), m_size);
        request.spares_per_domain = m_spares;
        auto next = unplaced.begin();
        for (const auto& place : coordination::plan_groups(request)) {
            std::vector<std::size_t> hosts;
            for (const auto& host : place.hosts) {
                hosts.push_back(std::stoul(host.value()));
            }
            assign(*next++, hosts);
        }
    }

    void place_first_fit(const std::vector<std::size_t>& unplaced) {
        for (const auto index : unplaced) {
            for (std::uint32_t domain = 0; domain < domains; ++domain) {
                auto hosts = free_in(domain);
                if (hosts.size() >= m_size) {
                    hosts.resize(m_size);
                    assign(index, hosts);
                    break;
                }
            }
        }
    }

    void assign(std::size_t index, const std::vector<std::size_t>& hosts) {
        auto& group = m_groups[index];
        group.hosts = hosts;
        group.domain = domain_of(hosts.front());
        group.broken = false;
        group.ready_at = m_now + reform_s + load_s;
        for (const auto host : hosts) {
            m_hosts[host].group = static_cast<int>(index);
        }
    }

    static state::availability_zone_id zone_of(std::uint32_t domain) {
        return state::availability_zone_id(std::to_string(domain / (domains / zones)));
    }

    // Adds the downtime and the stranded accelerators of one tick. An accelerator
    // is stranded if its host is up but not in a serving group. The spares that
    // each domain keeps on purpose don't count.
    void measure() {
        std::vector<bool> serving(m_groups.size());
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            const auto& group = m_groups[i];
            serving[i] = !group.hosts.empty() && !group.broken && group.ready_at <= m_now;
            m_totals.downtime += serving[i] ? 0.0 : tick_s;
        }
        std::array<std::uint32_t, domains> idle{};
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (!is_up(i)) {
                continue;
            }
            const auto group = m_hosts[i].group;
            if (group < 0) {
                ++idle[domain_of(i)];
            } else if (!serving[static_cast<std::size_t>(group)]) {
                m_totals.stranded += accelerators_per_host * tick_s;
            }
        }
        for (const auto hosts : idle) {
            m_totals.stranded +=
                accelerators_per_host * tick_s * (hosts > m_spares ? hosts - m_spares : 0);
        }
    }

    policy m_policy;
    std::uint32_t m_size;
    std::uint32_t m_spares;
    std::mt19937_64 m_random;
    std::uint32_t m_domain_hosts;
    std::vector<sim_host> m_hosts;
    std::vector<sim_group> m_groups;
    double m_now = 0.0;
    double m_next_restart = 0.0;
    double m_next_failure = 0.0;
    double m_next_rack_outage = 0.0;
    double m_next_zone_outage = 0.0;
    double m_last_return_at = 0.0;
    bool m_hosts_released = false;
    totals m_totals;
};

} // namespace

/// Usage: bench_groups [days] [seed]
int main(int argc, char** argv) {
    const double days = argc > 1 ? std::strtod(argv[1], nullptr) : 60.0;
    const auto seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20'261'204ULL;
    std::printf("policy,group_hosts,spares_per_domain,days,seed,group_downtime_s,"
                "stranded_accelerator_s\n");
    std::vector<std::string> ratios;
    for (const std::uint32_t size : {4U, 8U, 16U}) {
        for (const std::uint32_t spares : {0U, 1U, 2U}) {
            std::map<policy, totals> totals_by_policy;
            for (const auto& row : state::enum_table<policy>::rows) {
                const auto result = simulation(row.value, size, spares, seed).run(days);
                totals_by_policy[row.value] = result;
                std::printf("%s,%u,%u,%.0f,%llu,%.0f,%.0f\n", std::string(row.name).c_str(), size,
                            spares, days, static_cast<unsigned long long>(seed), result.downtime,
                            result.stranded);
            }
            for (const auto baseline : {policy::first_fit, policy::wait}) {
                std::array<char, 160> line{};
                std::snprintf(
                    line.data(), line.size(),
                    "ratio decision/%s, %u hosts, %u spares: downtime %.2f, stranded %.2f",
                    std::string(state::to_name(baseline)).c_str(), size, spares,
                    totals_by_policy[policy::decision].downtime /
                        totals_by_policy[baseline].downtime,
                    totals_by_policy[policy::decision].stranded /
                        totals_by_policy[baseline].stranded);
                ratios.emplace_back(line.data());
            }
        }
    }
    for (const auto& line : ratios) {
        std::printf("%s\n", line.c_str());
    }
    return 0;
}
