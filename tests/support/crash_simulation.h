// Simulates calls on entry hosts that share what they learn of crashes: a part of some
// prompts crashes each endpoint that begins to answer it, other calls share its other parts.
#pragma once

#include "savoryrelay/coordination/retry/crash_watch.h"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::tests {

struct crash_simulation_settings {
    std::size_t hosts = 8;
    std::size_t endpoints = 12;
    std::size_t sound_calls_per_round = 10;
    int first_sound_round = 0;
    double crashing_calls_per_round = 0.15;
    double lost_notices = 0.05;
    bool shares_notices = true;
    coordination::crash_hooks hooks = coordination::default_crash_hooks();
};

/// Plays rounds of 100 ms. Calls wait for one round before their endpoint answers or crashes.
class crash_simulation {
public:
    static constexpr state::milliseconds round{100};
    static constexpr std::size_t attempts_per_call = 2;

    crash_simulation(std::uint64_t seed, crash_simulation_settings settings)
        : m_settings(std::move(settings)), m_random(seed), m_incarnations(m_settings.endpoints),
          m_waiting(m_settings.endpoints) {
        for (std::size_t i = 0; i < m_settings.hosts; ++i) {
            start_host(i);
        }
    }

    /// Starts a host that knows nothing.
    void start_host(std::size_t index) {
        m_hosts.resize(std::max(m_hosts.size(), index + 1));
        m_hosts[index] = std::make_unique<coordination::crash_watch>(
            coordination::entry_host_crash_settings(), m_settings.hooks);
    }

    void play(int rounds) {
        for (int i = 0; i < rounds; ++i) {
            now += round;
            answer_waiting_calls();
            add_calls();
            exchange_notices();
        }
    }

    /// Breaks all connections to all endpoints at once, although no endpoint crashes.
    void break_connections() {
        for (std::size_t endpoint = 0; endpoint < m_waiting.size(); ++endpoint) {
            for (const auto& each : std::exchange(m_waiting[endpoint], {})) {
                report_crash(endpoint, each);
            }
        }
    }

    [[nodiscard]] bool is_refused(std::size_t host, const state::serving_call& call,
                                  const std::string& body) const {
        return m_hosts[host]
            ->time_quarantined(coordination::fingerprints_of(call, "customer", body), now)
            .has_value();
    }

    /// Returns a call whose middle part is `part`; all calls share the first part.
    [[nodiscard]] static state::serving_call call_with(const std::string& part) {
        state::serving_call call;
        call.path = "/ask/";
        call.shared_prompt_parts = {"system", part};
        return call;
    }

    state::time_point now{std::chrono::hours(1)};
    std::size_t crashes = 0;
    std::size_t crashing_calls_sent = 0; ///< attempts that reached an endpoint
    std::size_t crashing_calls_refused = 0;
    std::size_t sound_calls_refused = 0;
    std::size_t sound_calls_answered = 0;

private:
    struct waiting_call {
        std::size_t host = 0;
        state::serving_call call;
        std::string body;
        bool is_crashing = false;
        std::size_t attempts = 1;
        [[nodiscard]] auto fingerprints() const {
            return coordination::fingerprints_of(call, "customer", body);
        }
    };

    [[nodiscard]] std::size_t below(std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
    }

    void report_crash(std::size_t endpoint, const waiting_call& each) {
        m_hosts[each.host]->record_crash(state::endpoint_id("e" + std::to_string(endpoint)),
                                         m_incarnations[endpoint], each.fingerprints(), now);
    }

    void send(waiting_call each) {
        if (is_refused(each.host, each.call, each.body)) {
            ++(each.is_crashing ? crashing_calls_refused : sound_calls_refused);
            return;
        }
        crashing_calls_sent += each.is_crashing ? 1 : 0;
        m_waiting[below(m_waiting.size())].push_back(std::move(each));
    }

    void add_calls() {
        const auto add = [&](const std::string& part, bool is_crashing) {
            send({below(m_hosts.size()), call_with(part), "body " + std::to_string(m_next_body++),
                  is_crashing});
        };
        constexpr std::size_t parts = 60;
        const bool has_sound_calls = m_round++ >= m_settings.first_sound_round;
        for (std::size_t i = 0; has_sound_calls && i < m_settings.sound_calls_per_round; ++i) {
            add("part " + std::to_string(below(parts)), false);
        }
        if (std::bernoulli_distribution(m_settings.crashing_calls_per_round)(m_random)) {
            add("crashing part", true);
        }
    }

    void answer_waiting_calls() {
        std::vector<waiting_call> retried;
        for (std::size_t endpoint = 0; endpoint < m_waiting.size(); ++endpoint) {
            auto waiting = std::exchange(m_waiting[endpoint], {});
            const bool crashes_now = std::any_of(waiting.begin(), waiting.end(),
                                                 [](const auto& each) { return each.is_crashing; });
            for (auto& each : waiting) {
                if (!crashes_now) {
                    m_hosts[each.host]->record_answer(each.fingerprints(), now);
                    ++sound_calls_answered;
                    continue;
                }
                report_crash(endpoint, each);
                if (each.attempts++ < attempts_per_call) {
                    retried.push_back(std::move(each));
                }
            }
            if (crashes_now) {
                ++crashes;
                ++m_incarnations[endpoint];
            }
        }
        for (auto& each : retried) {
            send(std::move(each));
        }
    }

    void exchange_notices() {
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            const auto notices = m_hosts[from]->due_notices(now);
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                if (to == from || !m_settings.shares_notices ||
                    std::bernoulli_distribution(m_settings.lost_notices)(m_random)) {
                    continue;
                }
                for (const auto& notice : notices) {
                    m_hosts[to]->apply(notice, now);
                }
            }
        }
    }

    crash_simulation_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<std::uint64_t> m_incarnations;        // by endpoint
    std::vector<std::vector<waiting_call>> m_waiting; // by endpoint
    std::vector<std::unique_ptr<coordination::crash_watch>> m_hosts;
    std::uint64_t m_next_body = 0;
    int m_round = 0;
};

} // namespace savoryrelay::tests
