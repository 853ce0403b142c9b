// Simulates entry hosts before one runner that has named a rate of calls. Loads reach the other
// hosts late; hosts are cut off, silent, or start anew. Counts what the runner gets.
#pragma once

#include "savoryrelay/coordination/serving/call_rate_limiter.h"
#include "savoryrelay/state/digest/digest.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

class call_rate_simulation {
public:
    static constexpr state::milliseconds step{10};
    static constexpr state::milliseconds digest_interval{100};
    /// Window of the rule by which the calls are judged.
    static constexpr state::milliseconds window{4'000};
    /// Age of the loads of other hosts by which a host decides, at most.
    static constexpr state::milliseconds longest_delay{400};

    struct host {
        double wanted_per_s = 0;
        int side = 0; ///< hosts hear only those of their side
        bool is_silent = false;
        std::unique_ptr<coordination::load_tracker> loads;
        std::unique_ptr<coordination::call_rate_limiter> limiter;
        std::uint64_t sent = 0;
    };

    call_rate_simulation(std::uint64_t seed, std::size_t host_count, double limit_per_s)
        : hosts(host_count), m_random(seed) {
        runner.record.id = state::endpoint_id("runner-" + std::to_string(seed));
        runner.call_rate.calls_per_s = limit_per_s;
        for (std::size_t i = 0; i < host_count; ++i) {
            m_names.push_back(state::stable_hash("edge-" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            restart(i);
        }
    }
    call_rate_simulation(const call_rate_simulation&) = delete;
    call_rate_simulation& operator=(const call_rate_simulation&) = delete;

    /// Starts the host anew; it knows nothing of the others' loads.
    void restart(std::size_t index) {
        auto& each = hosts.at(index);
        each.loads = std::make_unique<coordination::load_tracker>();
        m_heard_since.resize(hosts.size());
        m_heard_since.at(index) = now;
        each.limiter = std::make_unique<coordination::call_rate_limiter>(
            *each.loads,
            coordination::call_rate_hooks{
                .host_count = [this] { return hosts.size(); },
                .heard_hosts = [this, index](state::time_point at) { return heard(index, at); },
                .host_hashes =
                    [this, index] {
                        auto names = m_names;
                        std::swap(names.front(), names.at(index));
                        return names;
                    }});
    }

    void set_wanted(double fleet_per_s) {
        for (auto& each : hosts) {
            each.wanted_per_s = fleet_per_s / static_cast<double>(hosts.size());
        }
    }

    void run(state::milliseconds span) {
        for (const auto end = now + span; now < end; now += step) {
            if ((now - state::time_point{}) % digest_interval == state::milliseconds(0)) {
                send_digests();
            }
            deliver_digests();
            for (auto& each : hosts) {
                std::poisson_distribution<int> calls(each.wanted_per_s *
                                                     std::chrono::duration<double>(step).count());
                for (int left = each.wanted_per_s > 0 ? calls(m_random) : 0; left > 0; --left) {
                    ++wanted;
                    if (each.limiter->admit(runner, now)) {
                        ++each.sent;
                        m_sent_at.push_back(now);
                    }
                }
            }
        }
    }

    /// Returns the most calls that the runner got in a window, of those since `from`.
    [[nodiscard]] std::size_t most_in_window(state::time_point from = {}) const {
        std::size_t most = 0;
        std::deque<state::time_point> recent;
        for (const auto at : m_sent_at) {
            if (at < from) {
                continue;
            }
            recent.push_back(at);
            while (at - recent.front() >= window) {
                recent.pop_front();
            }
            most = std::max(most, recent.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t sent_since(state::time_point from) const {
        return static_cast<std::size_t>(std::count_if(m_sent_at.begin(), m_sent_at.end(),
                                                      [&](const auto at) { return at >= from; }));
    }

    state::time_point now{std::chrono::hours(1)};
    coordination::runner_view runner;
    std::vector<host> hosts;
    std::size_t wanted = 0;

private:
    struct late_digest {
        state::time_point due{};
        std::size_t sender = 0;
        std::vector<state::endpoint_load_entry> loads;
    };

    [[nodiscard]] bool hears(std::size_t receiver, std::size_t sender) const {
        return receiver != sender && !hosts[sender].is_silent && !hosts[receiver].is_silent &&
               hosts[sender].side == hosts[receiver].side;
    }

    [[nodiscard]] std::size_t heard(std::size_t receiver, state::time_point at) const {
        if (at - m_heard_since.at(receiver) < longest_delay) {
            return 1;
        }
        std::size_t count = 1;
        for (std::size_t sender = 0; sender < hosts.size(); ++sender) {
            count += hears(receiver, sender) ? 1 : 0;
        }
        return count;
    }

    void send_digests() {
        std::uniform_int_distribution<int> delay_steps(1, static_cast<int>(longest_delay / step));
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            m_digests.push_back({now + delay_steps(m_random) * step, i,
                                 hosts[i].loads->report(state::digest_scope::hub, now)});
        }
    }

    void deliver_digests() {
        for (auto digest = m_digests.begin(); digest != m_digests.end();) {
            if (digest->due > now) {
                ++digest;
                continue;
            }
            for (std::size_t receiver = 0; receiver < hosts.size(); ++receiver) {
                if (hears(receiver, digest->sender)) {
                    hosts[receiver].loads->apply_peer(std::to_string(digest->sender),
                                                      state::digest_scope::hub, digest->loads, now);
                }
            }
            digest = m_digests.erase(digest);
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::uint64_t> m_names;
    std::vector<state::time_point> m_heard_since;
    std::deque<late_digest> m_digests;
    std::vector<state::time_point> m_sent_at;
};

} // namespace savoryrelay::tests
