// Simulates several members and their configuration holders with simulated time and messages in
// memory. The parts are connected as in the daemon.
#pragma once

#include "savoryrelay/coordination/configuration/configuration_holder.h"
#include "savoryrelay/coordination/membership/membership.h"
#include "support/faulty_platform.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// Parameters of a simulated cluster. Tests replace hooks with naive ones to show that a mechanism
/// is needed.
struct cluster_options {
    std::size_t members = 9;
    double loss = 0.0;
    double duplication = 0.0;
    state::milliseconds max_delay{60};
    std::uint64_t seed = 1;
    coordination::membership_settings settings;
    decltype(coordination::membership_hooks::overrides) overrides = state::overrides;
    coordination::eligibility_rule rule = coordination::decide_service;
    decltype(coordination::configuration_hooks::is_newer) is_newer =
        [](std::uint64_t held, std::uint64_t candidate) { return candidate > held; };
    bool merges_peer_revisions = true; ///< false: members ignore the revisions that others publish
};

/// A simulated cluster of members. Records violations in `reverted` and `served_outdated`.
class member_cluster {
public:
    static constexpr state::milliseconds step_time{50};

    struct cluster_node {
        std::unique_ptr<coordination::membership> membership;
        std::unique_ptr<coordination::configuration_holder> holder;
        bool running = true;
        bool paused = false;
        bool reaches_store = true;
        state::time_point next_poll;
        std::uint64_t highest_in_force = 0;
    };

    explicit member_cluster(cluster_options options)
        : m_options(std::move(options)), m_random(m_options.seed), nodes(m_options.members) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            start(i);
        }
    }

    /// Starts or restarts member `i` at its address.
    void start(std::size_t i) {
        auto& node = nodes[i];
        node = {};
        node.next_poll = now + state::milliseconds(i * 211 % 2'000);
        coordination::membership_hooks hooks;
        hooks.overrides = m_options.overrides;
        hooks.on_revisions = [this, i](const auto& revisions, auto at) {
            if (m_options.merges_peer_revisions &&
                nodes[i].holder->merge_revisions(revisions, at)) {
                nodes[i].next_poll = at;
            }
        };
        node.membership = std::make_unique<coordination::membership>(
            state::member_update{id_of(i), address_of(i), ++m_incarnation, {}},
            std::vector{address_of(0), address_of(1)}, m_options.settings, hooks);
        std::set<state::member_id> listed;
        for (std::size_t j = 0; j < nodes.size(); ++j) {
            listed.insert(id_of(j));
        }
        node.membership->set_listed(listed);
        node.holder = std::make_unique<coordination::configuration_holder>(
            "m" + std::to_string(m_incarnation), coordination::configuration_settings{},
            holder_hooks(i));
    }

    void run(state::milliseconds span) {
        for (const auto end = now + span; now < end;) {
            step();
        }
    }

    void step() {
        now += step_time;
        deliver();
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            auto& node = nodes[i];
            if (!node.running || node.paused) {
                continue;
            }
            send(i, node.membership->tick(now, m_random));
            if (now >= node.next_poll) {
                node.holder->poll(now);
                node.next_poll = now + node.holder->poll_wait();
                if (node.holder->is_caught_up()) {
                    node.membership->set_caught_up();
                }
            }
            send(i, node.membership->publish_revisions(node.holder->revisions(), now, m_random));
            record_violations(node);
        }
    }

    /// Submits a configuration through member `i` as an operator does. Returns the name of the
    /// failure, or an empty string when the submission was accepted.
    std::string submit(std::size_t i) {
        auto& node = nodes[i];
        if (node.paused) {
            return "paused";
        }
        const auto current = node.holder->current();
        coordination::configuration_submission submission{
            "document", "operator-" + std::to_string(i), {}, current->revision};
        const auto announced =
            state::collect([&] { return node.holder->announce(submission, now); });
        if (!announced) {
            return std::string(state::properties_of(announced.error().kind).name);
        }
        send(i, node.membership->publish_revisions(node.holder->revisions(), now, m_random));
        send(i, node.membership->probe_all(now, m_random));
        run(state::milliseconds(300));
        const auto accepted =
            state::collect([&] { return node.holder->submit(submission, announced.value(), now); });
        if (!accepted) {
            return std::string(state::properties_of(accepted.error().kind).name);
        }
        accepted_at[accepted.value()] = now;
        return {};
    }

    /// Returns whether member `i` records member `j` in `state`.
    [[nodiscard]] bool sees(std::size_t i, std::size_t j, state::member_state state) const {
        const auto row = nodes[i].membership->find(id_of(j));
        return row && row->update.state == state;
    }
    /// Returns whether every running member sees every other running one as alive.
    [[nodiscard]] bool agrees() const {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                if (i != j && nodes[i].running && nodes[j].running &&
                    !sees(i, j, state::member_state::alive)) {
                    return false;
                }
            }
        }
        return true;
    }
    [[nodiscard]] bool serves(std::size_t i) const {
        return nodes[i].running && !nodes[i].paused &&
               nodes[i].holder->service(now) == coordination::service_state::serving;
    }
    [[nodiscard]] static state::member_id id_of(std::size_t i) {
        return state::member_id("entry-" + std::to_string(i));
    }
    [[nodiscard]] static state::member_address address_of(std::size_t i) {
        return {"10.0.0." + std::to_string(i), 7000};
    }

private:
    struct pending_message {
        state::time_point due;
        std::size_t from;
        std::size_t to;
        state::peer_message message;
    };

    cluster_options m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 0;
    std::vector<pending_message> m_pending_messages;
    state::memory_platform m_platform;
    std::vector<state::peer_state> m_peer_states; // all states sent to peers so far

public:
    std::vector<cluster_node> nodes;
    state::time_point now{};
    /// Returns whether messages from the first member to the second are dropped.
    std::function<bool(std::size_t, std::size_t)> is_cut = [](auto, auto) { return false; };
    std::map<std::uint64_t, state::time_point> accepted_at;
    bool reverted = false;        ///< a member's revision in force decreased
    bool served_outdated = false; ///< a member served a revision replaced over 6 s ago

private:
    bool happens(double probability) {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    void send(std::size_t from, const std::vector<coordination::outgoing_message>& messages) {
        for (const auto& each : messages) {
            const auto to = static_cast<std::size_t>(std::stoul(each.to.ip.substr(7)));
            for (int copies = happens(m_options.duplication) ? 2 : 1; copies > 0; --copies) {
                if (!is_cut(from, to) && !happens(m_options.loss)) {
                    const auto delay = std::uniform_int_distribution<std::int64_t>(
                        0, m_options.max_delay.count())(m_random);
                    m_pending_messages.push_back(
                        {now + state::milliseconds(delay), from, to, each.message});
                }
            }
        }
    }

    /// Delivers the messages that are due. Messages to a paused member wait, as they do in the
    /// buffer of its socket.
    void deliver() {
        std::vector<pending_message> due;
        std::erase_if(m_pending_messages, [&](const pending_message& each) {
            const bool is_due = each.due <= now && !nodes[each.to].paused;
            if (is_due) {
                due.push_back(each);
            }
            return is_due;
        });
        for (const auto& each : due) {
            if (nodes[each.to].running) {
                send(each.to, nodes[each.to].membership->receive(each.message, now, m_random));
            }
        }
    }

    void record_violations(cluster_node& node) {
        const auto current = node.holder->current();
        const auto held = current->revision;
        const auto service = node.holder->service(now);
        reverted = reverted || held < node.highest_in_force;
        node.highest_in_force = std::max(node.highest_in_force, held);
        const auto next = accepted_at.find(held + 1);
        if (next != accepted_at.end() && now - next->second > state::milliseconds(6'000) &&
            service == coordination::service_state::serving) {
            served_outdated = true;
        }
    }

    coordination::configuration_hooks holder_hooks(std::size_t i) {
        coordination::configuration_hooks hooks;
        const auto inner = m_platform.hooks();
        hooks.platform = inner;
        hooks.platform.transact = [this, i, inner](const auto& transaction) {
            return nodes[i].reaches_store ? inner.transact(transaction) : unavailable();
        };
        hooks.platform.read_row =
            [this, i, inner](const std::string& key) -> state::result<state::table_row> {
            if (!nodes[i].reaches_store) {
                return unavailable();
            }
            return inner.read_row(key);
        };
        hooks.parse = [](const auto&, std::uint64_t revision) {
            state::configuration parsed;
            parsed.revision = revision;
            return state::result<state::configuration>(parsed);
        };
        // Any reachable peer may answer, even one with an older revision, and the answer may be an
        // old one that arrives late.
        hooks.fetch_from_peer = [this, i](std::uint64_t) -> state::result<state::peer_state> {
            const auto j = m_random() % nodes.size();
            if (j == i || !nodes[j].running || nodes[j].paused || is_cut(i, j) || is_cut(j, i)) {
                return unavailable();
            }
            m_peer_states.push_back(nodes[j].holder->make_peer_state());
            return happens(0.3) ? m_peer_states[m_random() % m_peer_states.size()]
                                : m_peer_states.back();
        };
        hooks.last_contact_with = [this, i](auto count, auto at) {
            return nodes[i].membership->last_contact_with(count, at);
        };
        hooks.listed_count = [this, i] { return nodes[i].membership->listed_count(); };
        hooks.count_acknowledgements = [this, i](auto announcement) {
            return nodes[i].membership->count_acknowledgements(announcement);
        };
        hooks.rule = m_options.rule;
        hooks.is_newer = m_options.is_newer;
        return hooks;
    }

    static boost::leaf::error_id unavailable() {
        return state::fail(state::failure_kind::store_unavailable, "store is down");
    }
};

} // namespace savoryrelay::tests
