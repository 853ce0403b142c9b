// A simulation of several entry hosts, one table and one service. Tests run it
// step by step, and it checks every durable row and every completed call.
#pragma once

#include "savoryrelay/coordination/booking/booking_coordinator.h"
#include "support/faulty_platform.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// The requests about keys that the fake service supports.
enum class service_features { nothing, read_back, read_back_and_close };

/// Simulates `host_count` hosts. `violations` stays empty while all guarantees
/// hold.
class booking_simulation {
public:
    static constexpr std::size_t host_count = 3;

    explicit booking_simulation(service_features features, coordination::booking_rules rules = {})
        : m_features(features), m_rules(std::move(rules)) {
        for (std::size_t i = 0; i < host_count; ++i) {
            restart(i);
        }
    }

    faulty_platform platform;
    state::time_point now{state::milliseconds(1'000'000)};
    std::vector<std::string> violations;
    std::set<std::pair<state::booking_state, state::booking_state>>
        transitions_seen;                          ///< transitions of durable rows so far
    std::set<std::size_t> believed_dead;           ///< running hosts that the others consider dead
    std::set<std::size_t> disconnected_from_store; ///< hosts without a connection to the store
    bool run_at_dispatch = false; ///< the service runs each call as soon as it is dispatched

    /// A caller's call and its result.
    struct call {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        state::booking_id id;
        std::string digest;
        int completions = 0;
        bool has_run = false; ///< the service has run this call
        std::optional<state::attempt<state::booking_answer>> answer;
    };
    std::vector<call> calls;

    std::size_t submit(std::size_t host, const std::string& key, const std::string& digest = "d",
                       state::milliseconds timeout = state::milliseconds(5'000)) {
        const auto call_index = calls.size();
        const state::booking_id id{state::customer_id("c"), key};
        calls.push_back({host, m_hosts[host].incarnation, id, digest, 0, false, std::nullopt});
        m_hosts[host].coordinator->submit(
            {id, state::deployment_id("s"), digest, now + timeout},
            {[this, call_index] { on_dispatch(call_index); },
             [this, call_index](const auto& answer) { on_complete(call_index, answer); }},
            now);
        return call_index;
    }

    void flush(std::size_t host) {
        run_step(host, [&](auto& coordinator) { coordinator.flush(now); });
    }
    void recover(std::size_t host) {
        run_step(host, [&](auto& coordinator) { coordinator.recover(now); });
    }

    /// Kills the process, possibly in the middle of a step, after `count` further
    /// calls to the store.
    void kill_after_store_calls(std::size_t host, std::size_t count) {
        m_hosts[host].store_calls_until_death = count;
    }

    /// Kills the process and starts its next incarnation.
    void restart(std::size_t host) {
        auto& target = m_hosts[host];
        target.dead = false;
        target.store_calls_until_death.reset();
        ++target.incarnation;
        target.metrics = std::make_unique<state::metrics>();
        coordination::booking_settings settings;
        settings.poll_interval = state::milliseconds(100);
        settings.sweep_interval = state::milliseconds(1);
        target.coordinator = std::make_unique<coordination::booking_coordinator>(
            settings, state::booking_owner{member_of(host), target.incarnation},
            coordination::booking_coordinator::dependencies{
                host_platform(host), codec(), service_hooks(), member_hooks(), m_rules},
            *target.metrics);
    }

    [[nodiscard]] std::size_t calls_in_transit() const { return m_in_transit.size(); }
    [[nodiscard]] std::size_t pending_replies() const { return m_replies.size(); }

    /// Delivers a dispatched call to the service, which runs it unless its key is
    /// closed.
    void deliver(std::size_t index) {
        const auto call_index = m_in_transit[index];
        m_in_transit.erase(m_in_transit.begin() + static_cast<std::ptrdiff_t>(index));
        auto& sent = calls[call_index];
        auto& entry = m_service[sent.id.key];
        if (entry.closed) {
            m_replies.emplace_back(call_index, state::execution_outcome::not_run);
            return;
        }
        if (++entry.runs > 1) {
            violations.push_back("ran twice: " + sent.id.key);
        }
        sent.has_run = true;
        entry.answer = {200, "text/plain", "answer " + std::to_string(call_index)};
        m_replies.emplace_back(call_index, state::execution_outcome::ran);
    }
    /// Delivers a reply of the service to the host.
    void reply(std::size_t index) {
        const auto [call_index, outcome] = m_replies[index];
        m_replies.erase(m_replies.begin() + static_cast<std::ptrdiff_t>(index));
        report(call_index, outcome, m_service[calls[call_index].id.key].answer);
    }
    /// Makes the host stop waiting for a call that is still in transit.
    void time_out(std::size_t index) {
        report(m_in_transit[index], state::execution_outcome::unknown, {});
    }
    /// Refuses the connection, so the call never reaches the service.
    void refuse(std::size_t index) {
        const auto call_index = m_in_transit[index];
        m_in_transit.erase(m_in_transit.begin() + static_cast<std::ptrdiff_t>(index));
        report(call_index, state::execution_outcome::not_run, {});
    }

    /// Ends all faults, delivers all messages and checks the final state.
    void quiesce() {
        platform.store_down = false;
        platform.lose_next_replies = 0;
        believed_dead.clear();
        disconnected_from_store.clear();
        for (int round = 0; round < 40; ++round) {
            while (!m_in_transit.empty()) {
                deliver(0);
            }
            while (!m_replies.empty()) {
                reply(0);
            }
            for (std::size_t host = 0; host < host_count; ++host) {
                flush(host);
                recover(host);
            }
            now += state::milliseconds(500);
        }
        check_rows();
        for (std::size_t host = 0; host < host_count; ++host) {
            if (m_hosts[host].coordinator->active() != 0) {
                violations.push_back("a booking did not finish on host " + std::to_string(host));
            }
        }
        for (const auto& each : calls) {
            const bool alive = m_hosts[each.host].incarnation == each.incarnation;
            if (alive && each.completions != 1) {
                violations.push_back("call completed " + std::to_string(each.completions) +
                                     " times: " + each.id.key);
            }
            if (alive && each.answer && each.answer->has_value() &&
                row_state(each.id.key) != state::booking_state::ran) {
                violations.push_back("answered booking lost: " + each.id.key);
            }
        }
    }

    /// Returns the state of the durable row of `key`, or nothing if it is absent.
    std::optional<state::booking_state> row_state(const std::string& key) {
        const auto row = state::collect([&] {
            return platform.store().read_row(state::row_key({state::customer_id("c"), key}));
        });
        if (row.value().version == 0) {
            return std::nullopt;
        }
        return m_rows.at(row.value().value).state;
    }
    [[nodiscard]] int runs(const std::string& key) const {
        const auto found = m_service.find(key);
        return found == m_service.end() ? 0 : found->second.runs;
    }

private:
    struct process {
        std::uint64_t incarnation = 0;
        bool dead = false;
        std::optional<std::size_t> store_calls_until_death;
        std::unique_ptr<state::metrics> metrics;
        std::unique_ptr<coordination::booking_coordinator> coordinator;
    };
    struct service_entry {
        int runs = 0;
        bool closed = false;
        state::booking_answer answer;
    };

    static state::member_id member_of(std::size_t host) {
        return state::member_id("m" + std::to_string(host));
    }

    template <typename Step>
    void run_step(std::size_t host, Step step) {
        step(*m_hosts[host].coordinator);
        if (m_hosts[host].dead) {
            restart(host);
        }
        check_rows();
    }

    void on_dispatch(std::size_t call_index) {
        if (m_hosts[calls[call_index].host].dead) {
            return;
        }
        m_in_transit.push_back(call_index);
        if (run_at_dispatch) {
            deliver(m_in_transit.size() - 1);
        }
    }

    void on_complete(std::size_t call_index, const state::attempt<state::booking_answer>& answer) {
        auto& each = calls[call_index];
        if (m_hosts[each.host].dead) {
            return;
        }
        ++each.completions;
        each.answer = answer;
        if (answer && !(answer.value() == m_service[each.id.key].answer)) {
            violations.push_back("wrong answer: " + each.id.key);
        }
    }

    void report(std::size_t call_index, state::execution_outcome outcome,
                const state::booking_answer& answer) {
        const auto& each = calls[call_index];
        if (m_hosts[each.host].incarnation == each.incarnation) {
            m_hosts[each.host].coordinator->report(each.id, {outcome, answer});
        }
    }

    void check_rows() {
        for (const auto& [key, entry] : m_service) {
            const auto found = row_state(key);
            const bool row_denies_run = found == state::booking_state::not_run ||
                                        found == state::booking_state::closed || !found;
            if ((entry.runs > 0 && row_denies_run) ||
                (entry.runs == 0 && found == state::booking_state::ran)) {
                violations.push_back("the row of " + key + " contradicts the service");
            }
        }
        for (const auto& each : calls) {
            if (each.has_run && each.answer && !*each.answer &&
                each.answer->error().reported_outcome() == state::execution_outcome::not_run) {
                violations.push_back("false 'not run' failure: " + each.id.key);
            }
        }
    }

    // Encodes a row as a key of `m_rows`. Other tests cover the real encoding.
    state::booking_codec codec() {
        return {.encode =
                    [this](const state::booking_row& row) {
                        auto text = "row " + std::to_string(m_rows.size());
                        m_rows.emplace(text, row);
                        return text;
                    },
                .decode = [this](const std::string& text) -> state::result<state::booking_row> {
                    return m_rows.at(text);
                }};
    }

    // Wraps the platform hooks of a host: kills the process after the requested
    // number of store calls, and checks each durable change of a row against the
    // transition table.
    state::platform_hooks host_platform(std::size_t index) {
        auto hooks = platform.hooks();
        hooks.transact = [this, index,
                          inner = hooks.transact](const state::table_transaction& transaction)
            -> state::result<state::transaction_result> {
            if (!allow_store_call(index)) {
                return state::fail(state::failure_kind::store_unavailable,
                                   "process dead or disconnected");
            }
            const auto before = stored_values(transaction);
            auto outcome = inner(transaction);
            check_transitions(before, stored_values(transaction));
            return outcome;
        };
        hooks.read_row = [this, index, inner = hooks.read_row](
                             const std::string& key) -> state::result<state::table_row> {
            if (!allow_store_call(index)) {
                return state::fail(state::failure_kind::store_unavailable,
                                   "process dead or disconnected");
            }
            return inner(key);
        };
        return hooks;
    }

    bool allow_store_call(std::size_t index) {
        auto& caller = m_hosts[index];
        if (caller.store_calls_until_death) {
            caller.dead = caller.dead || *caller.store_calls_until_death == 0;
            *caller.store_calls_until_death -= caller.dead ? 0 : 1;
        }
        return !caller.dead && !disconnected_from_store.contains(index);
    }

    std::vector<std::string> stored_values(const state::table_transaction& transaction) {
        std::vector<std::string> values;
        for (const auto& put : transaction.puts) {
            values.push_back(
                state::collect([&] { return platform.store().read_row(put.key); }).value().value);
        }
        return values;
    }

    void check_transitions(const std::vector<std::string>& before,
                           const std::vector<std::string>& after) {
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i] == after[i] || before[i].empty()) {
                continue;
            }
            const auto from = m_rows.at(before[i]).state;
            const auto to = m_rows.at(after[i]).state;
            transitions_seen.emplace(from, to);
            if (!state::is_allowed(from, to)) {
                violations.push_back("durable transition that the transition table forbids");
            }
        }
    }

    coordination::booking_service_hooks service_hooks() {
        coordination::booking_service_hooks hooks;
        using coordination::service_key_report;
        using coordination::service_key_status;
        const auto report_on = [this](const std::string& key) -> service_key_report {
            const auto& entry = m_service[key.substr(key.find(':') + 1)];
            if (entry.runs > 0) {
                return {service_key_status::ran, entry.answer};
            }
            return {entry.closed ? service_key_status::closed : service_key_status::absent, {}};
        };
        if (m_features != service_features::nothing) {
            hooks.read_back = [report_on](const auto&, const std::string& key)
                -> state::result<service_key_report> { return report_on(key); };
        }
        if (m_features == service_features::read_back_and_close) {
            hooks.close_key =
                [this, report_on](const auto&,
                                  const std::string& key) -> state::result<service_key_report> {
                auto& entry = m_service[key.substr(key.find(':') + 1)];
                entry.closed = entry.runs == 0;
                return report_on(key);
            };
        }
        return hooks;
    }

    coordination::booking_member_hooks member_hooks() {
        return {.is_gone =
                    [this](const state::booking_owner& owner) {
                        for (std::size_t i = 0; i < host_count; ++i) {
                            if (member_of(i) == owner.member) {
                                return m_hosts[i].incarnation != owner.incarnation ||
                                       believed_dead.contains(i);
                            }
                        }
                        return true;
                    },
                .recovers_partition = nullptr};
    }

    const service_features m_features;
    const coordination::booking_rules m_rules;
    std::map<std::string, state::booking_row> m_rows;
    std::map<std::string, service_entry> m_service;
    std::vector<std::size_t> m_in_transit; ///< indexes of calls in transit to the service
    std::vector<std::pair<std::size_t, state::execution_outcome>> m_replies;
    std::array<process, host_count> m_hosts;
};

} // namespace savoryrelay::tests
