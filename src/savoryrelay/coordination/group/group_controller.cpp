// Reconciles the groups of a deployment with the rows of the platform's table and
// the engines' reports.
#include "savoryrelay/coordination/group/group_controller.h"

#include <algorithm>
#include <cassert>

namespace savoryrelay::coordination {
namespace {

using state::failure_kind;
using state::group_state;

// After this many unanswered attempts an order gets a new key, because an engine
// that recorded the key but dropped the order would refuse every repetition.
constexpr std::uint32_t max_attempts_per_key = 3;

std::string group_key(const state::group_id& id) {
    return "group/" + id.value();
}
std::string claim_key(const state::host_id& id) {
    return "host/" + id.value();
}
std::string rollout_key(const state::deployment_id& id) {
    return "rollout/" + id.value();
}

bool matches(const engine_report& report, const state::group_row& group) {
    return report.group == group.id && report.generation == group.generation;
}

} // namespace

state::result<void> check_group_settings(const group_settings& settings,
                                         const deployment_spec& spec) {
    const auto reject = [](const std::string& text) {
        return state::fail(failure_kind::invalid_settings, text);
    };
    if (spec.hosts_per_group == 0 || spec.hosts_per_group > max_group_hosts) {
        return reject("hosts_per_group must be 1 to " + std::to_string(max_group_hosts));
    }
    if (settings.report_age.count() <= 0) {
        return reject("report_age_ms must be above 0, or no group is ever complete");
    }
    if (settings.lost_after <= settings.report_age) {
        return reject("lost_after_ms must be above report_age_ms, or hosts are replaced "
                      "while their reports still count");
    }
    if (settings.order_timeout.count() <= 0 || settings.order_margin.count() <= 0) {
        return reject("order_timeout_ms and order_margin_ms must be above 0");
    }
    const auto& outages = settings.host_loss.outages;
    if (outages.restarts_per_day + outages.failures_per_day <= 0.0 ||
        outages.mean_restart.count() <= 0 || outages.mean_failure.count() <= 0) {
        return reject("mean_restart_ms, mean_failure_ms and at least one of restarts_per_day "
                      "and failures_per_day must be above 0");
    }
    return check_rollout_settings(spec.rollout);
}

/// The data that one step has read. The step removes the hosts that it uses from
/// `free_hosts` and advances `now` to the arrival of each reply.
struct group_controller::step_context {
    const held_lease& lease;
    const deployment_spec& spec;
    state::time_point now;
    group_step_summary summary{};
    std::vector<group_entry> groups{}; ///< of this deployment
    std::map<state::availability_zone_id, std::uint32_t> groups_by_zone{};
    std::map<std::string, std::uint64_t> claims{}; ///< row versions by key, of all deployments
    state::versioned<state::rollout_row> rollout{};
    engine_reports reports{};
    std::vector<free_host> free_hosts{};
    state::milliseconds lost_after{0};

    [[nodiscard]] bool is_lost(const state::host_id& host) const {
        const auto found = reports.find(host);
        return found == reports.end() || now - found->second.received_at > lost_after;
    }
    [[nodiscard]] std::vector<state::host_id> lost_hosts(const state::group_row& group) const {
        std::vector<state::host_id> lost;
        std::copy_if(group.hosts.begin(), group.hosts.end(), std::back_inserter(lost),
                     [&](const auto& host) { return is_lost(host); });
        return lost;
    }
};

group_controller::group_controller(state::platform_hooks platform, group_codec codec,
                                   group_engine_hooks engines, group_decision_hooks decisions,
                                   group_settings settings)
    : m_platform(std::move(platform)), m_codec(std::move(codec)), m_engines(std::move(engines)),
      m_decisions(std::move(decisions)), m_settings(settings) {}

state::result<group_step_summary> group_controller::step(const held_lease& lease,
                                                         const deployment_spec& spec,
                                                         state::time_point now) {
    BOOST_LEAF_CHECK(check_group_settings(m_settings, spec));
    BOOST_LEAF_CHECK(resolve_pending_write());
    step_context context{lease, spec, now};
    context.lost_after = m_settings.lost_after;
    m_seen_this_step.clear();
    BOOST_LEAF_CHECK(read_rows(context));
    for (const auto& entry : context.groups) {
        BOOST_LEAF_CHECK(advance_group(context, entry));
    }
    if (context.rollout.version != 0) {
        BOOST_LEAF_CHECK(apply_rollout(context));
    }
    std::erase_if(m_first_seen,
                  [&](const auto& row) { return !m_seen_this_step.contains(row.first); });
    return context.summary;
}

state::result<void> group_controller::submit(const held_lease& lease, const deployment_spec& spec,
                                             const std::string& version) {
    BOOST_LEAF_CHECK(check_group_settings(m_settings, spec));
    BOOST_LEAF_CHECK(resolve_pending_write());
    BOOST_LEAF_AUTO(current, m_platform.read_row(rollout_key(spec.deployment)));
    state::rollout_row row;
    row.deployment = spec.deployment;
    if (current.version != 0) {
        BOOST_LEAF_ASSIGN(row, m_codec.read_rollout(current.value));
    }
    auto transaction = begin_transaction(lease);
    transaction.checks.push_back({current.key, current.version});
    transaction.puts.push_back({current.key, m_codec.write_rollout(submit_version(row, version))});
    BOOST_LEAF_AUTO(committed, commit(std::move(transaction)));
    if (!committed) {
        return state::fail(failure_kind::store_conflict,
                           "the roll-out of " + spec.deployment.value() +
                               " or the lease changed during the submission");
    }
    return {};
}

state::table_transaction group_controller::begin_transaction(const held_lease& lease) {
    state::table_transaction transaction;
    transaction.write_key = "groups/" + lease.key + "/" + std::to_string(lease.fencing_number) +
                            "/" + std::to_string(++m_sequence);
    transaction.checks.push_back({lease.key, lease.version});
    return transaction;
}

/// Returns true when the transaction took effect and false when one of its checks
/// failed. A transaction whose result is unknown is kept and resolved before any
/// other write.
state::result<bool> group_controller::commit(state::table_transaction transaction) {
    const auto first = state::collect([&] { return m_platform.transact(transaction); });
    if (first) {
        return first.value().committed;
    }
    if (first.error().kind != failure_kind::store_result_unknown) {
        return state::fail(first.error());
    }
    m_pending_write = std::move(transaction);
    const auto stored =
        state::collect([&] { return m_platform.read_write_result(m_pending_write->write_key); });
    if (stored && stored.value()) {
        m_pending_write.reset();
        return stored.value()->committed;
    }
    return state::fail(first.error());
}

/// Resolves a write whose result is unknown by sending it again under the same key.
/// This is safe: the platform applies a key once and returns the first result.
state::result<void> group_controller::resolve_pending_write() {
    if (m_pending_write) {
        auto transaction = *m_pending_write;
        BOOST_LEAF_CHECK(commit(std::move(transaction)));
        m_pending_write.reset();
    }
    return {};
}

state::result<void> group_controller::commit_and_count(step_context& context,
                                                       state::table_transaction transaction) {
    BOOST_LEAF_AUTO(committed, commit(std::move(transaction)));
    ++(committed ? context.summary.committed : context.summary.conflicts);
    return {};
}

state::result<void> group_controller::read_rows(step_context& context) {
    BOOST_LEAF_AUTO(group_rows, m_platform.scan_rows("group/"));
    for (const auto& row : group_rows) {
        BOOST_LEAF_AUTO(group, m_codec.read_group(row.value));
        if (group.deployment == context.spec.deployment) {
            if (group.state != group_state::dissolved) {
                ++context.groups_by_zone[group.availability_zone];
            }
            context.groups.push_back({std::move(group), row.version});
        }
    }
    BOOST_LEAF_AUTO(claim_rows, m_platform.scan_rows("host/"));
    for (const auto& row : claim_rows) {
        context.claims[row.key] = row.version;
    }
    BOOST_LEAF_AUTO(rollout, m_platform.read_row(rollout_key(context.spec.deployment)));
    if (rollout.version != 0) {
        context.rollout.version = rollout.version;
        BOOST_LEAF_ASSIGN(context.rollout.row, m_codec.read_rollout(rollout.value));
    }

    // A host is free when it is neither an entry host nor leaving, its engine reports
    // and no row claims it.
    context.reports = m_engines.read_reports();
    BOOST_LEAF_AUTO(hosts, m_platform.list_hosts());
    for (const auto& host : hosts) {
        if (!host.entry_host && !host.leaving && !context.is_lost(host.id) &&
            !context.claims.contains(claim_key(host.id))) {
            context.free_hosts.push_back({host.id, host.availability_zone, host.fabric_domain});
        }
    }
    return {};
}

state::time_point group_controller::first_seen(const std::string& condition,
                                               state::time_point now) {
    m_seen_this_step.insert(condition);
    return m_first_seen.try_emplace(condition, now).first->second;
}

state::result<void> group_controller::advance_group(step_context& context,
                                                    const group_entry& entry) {
    const auto& group = entry.row;
    const auto entered_at =
        first_seen(group.id.value() + "/" + std::string(state::to_name(group.state)), context.now);
    const auto lost = context.lost_hosts(group);
    const bool mismatch =
        std::any_of(group.hosts.begin(), group.hosts.end(), [&](const auto& host) {
            return !context.is_lost(host) && !matches(context.reports.at(host), group);
        });
    const bool complete =
        m_decisions.complete(group, context.reports, context.now, m_settings.report_age);

    switch (group.state) {
    case group_state::forming:
        if (!lost.empty()) {
            return handle_host_loss(context, entry);
        }
        if (!mismatch) {
            return change_state(context, entry, group_state::loading);
        }
        for (const auto& host : group.hosts) {
            if (!matches(context.reports.at(host), group)) {
                BOOST_LEAF_CHECK(send(context, order_kind::join, host, group));
            }
        }
        return {};
    case group_state::loading:
    case group_state::serving:
        if (!lost.empty()) {
            return handle_host_loss(context, entry);
        }
        if (mismatch) {
            // An engine restarted or obeyed an outdated order. The whole group
            // forms again, because the connections between its engines are lost.
            return reassemble(context, entry);
        }
        if (group.state == group_state::loading) {
            return complete ? change_state(context, entry, group_state::serving)
                            : state::result<void>{};
        }
        if (!complete && context.now - first_seen(group.id.value() + "/unloaded", context.now) >
                             context.spec.rollout.load_deadline) {
            return reassemble(context, entry);
        }
        return {};
    case group_state::draining: {
        const bool idle =
            std::all_of(group.hosts.begin(), group.hosts.end(), [&](const auto& host) {
                return !context.is_lost(host) && context.reports.at(host).running == 0;
            });
        const bool min_time_passed = context.now - entered_at >= m_settings.min_drain_time;
        // A lost host or a restarted engine has lost the group's requests, so the drain ends.
        if (!lost.empty() || mismatch || (idle && min_time_passed)) {
            return change_state(context, entry, group_state::dissolving);
        }
        return {};
    }
    case group_state::dissolving: {
        bool all_left = true;
        for (const auto& host : group.hosts) {
            if (!context.is_lost(host) && context.reports.at(host).group == group.id) {
                all_left = false;
                BOOST_LEAF_CHECK(send(context, order_kind::leave, host, group));
            }
        }
        return all_left ? release_hosts(context, entry) : state::result<void>{};
    }
    case group_state::dissolved:
        break;
    }
    auto transaction = begin_transaction(context.lease);
    transaction.checks.push_back({group_key(group.id), entry.version});
    transaction.deletes.push_back(group_key(group.id));
    return commit_and_count(context, std::move(transaction));
}

state::result<void> group_controller::handle_host_loss(step_context& context,
                                                       const group_entry& entry) {
    const auto& group = entry.row;
    const auto lost = context.lost_hosts(group);
    host_loss_input loss;
    loss.hosts = static_cast<std::uint32_t>(group.hosts.size());
    loss.missing = static_cast<std::uint32_t>(lost.size());
    loss.zone_drained = context.spec.drained_zones.contains(group.availability_zone);

    // Count the free hosts of the group's domain, and check whether another domain has
    // enough of them for the whole group.
    std::map<state::fabric_domain_id, std::uint32_t> free_by_domain;
    for (const auto& host : context.free_hosts) {
        if (!context.spec.drained_zones.contains(host.availability_zone)) {
            ++free_by_domain[host.fabric_domain];
        }
    }
    for (const auto& [domain, count] : free_by_domain) {
        if (domain == group.fabric_domain) {
            loss.spares = count;
        } else {
            loss.fits_elsewhere |= count >= group.hosts.size();
        }
    }

    // Count the groups of the same domain that the survivors could complete. The group
    // with the fewest missing hosts is repaired first, so that two groups never dissolve
    // in favour of each other.
    auto survivors = loss.hosts - loss.missing;
    for (const auto& other : context.groups) {
        const auto other_missing = static_cast<std::uint32_t>(context.lost_hosts(other.row).size());
        const bool is_repaired_first =
            std::pair(other_missing, other.row.id) < std::pair(loss.missing, group.id);
        const bool active = other.row.state == group_state::forming ||
                            other.row.state == group_state::loading ||
                            other.row.state == group_state::serving;
        if (active && other_missing > 0 && is_repaired_first && other_missing <= survivors &&
            other.row.fabric_domain == group.fabric_domain) {
            survivors -= other_missing;
            ++loss.repairable_groups;
        }
    }
    for (const auto& host : lost) {
        const auto report = context.reports.find(host);
        const auto last = report == context.reports.end()
                              ? first_seen(host.value() + "/away", context.now)
                              : report->second.received_at;
        loss.time_since_loss =
            std::max(loss.time_since_loss,
                     std::chrono::duration_cast<state::milliseconds>(context.now - last));
    }

    switch (m_decisions.host_loss(loss, m_settings.host_loss).action) {
    case host_loss_action::wait:
        ++context.summary.waiting;
        return {};
    case host_loss_action::replace:
        return replace_hosts(context, entry);
    case host_loss_action::dissolve:
        return change_state(context, entry, group_state::dissolving);
    }
    return {};
}

state::result<void> group_controller::replace_hosts(step_context& context,
                                                    const group_entry& entry) {
    auto next = entry.row;
    next.state = group_state::forming;
    ++next.generation;
    auto transaction = begin_transaction(context.lease);
    transaction.checks.push_back({group_key(next.id), entry.version});
    for (auto& host : next.hosts) {
        if (!context.is_lost(host)) {
            continue;
        }
        const auto spare = std::find_if(
            context.free_hosts.begin(), context.free_hosts.end(),
            [&](const auto& free) { return free.fabric_domain == next.fabric_domain; });
        if (spare == context.free_hosts.end()) {
            ++context.summary.waiting;
            return {};
        }
        transaction.checks.push_back({claim_key(host), context.claims[claim_key(host)]});
        transaction.deletes.push_back(claim_key(host));
        host = spare->id;
        context.free_hosts.erase(spare);
        transaction.checks.push_back({claim_key(host), 0});
        transaction.puts.push_back({claim_key(host), m_codec.write_claim({host, next.id})});
    }
    transaction.puts.push_back({group_key(next.id), m_codec.write_group(next)});
    return commit_and_count(context, std::move(transaction));
}

state::result<void> group_controller::change_state(step_context& context, const group_entry& entry,
                                                   group_state next, bool counts_as_failure) {
    assert(state::is_allowed(entry.row.state, next));
    auto row = entry.row;
    row.state = next;
    auto transaction = begin_transaction(context.lease);
    transaction.checks.push_back({group_key(row.id), entry.version});
    transaction.puts.push_back({group_key(row.id), m_codec.write_group(row)});
    if (counts_as_failure) {
        auto rollout = context.rollout.row;
        ++rollout.failed_groups;
        transaction.checks.push_back({rollout_key(row.deployment), context.rollout.version});
        transaction.puts.push_back({rollout_key(row.deployment), m_codec.write_rollout(rollout)});
    }
    return commit_and_count(context, std::move(transaction));
}

state::result<void> group_controller::reassemble(step_context& context, const group_entry& entry) {
    auto next = entry;
    ++next.row.generation;
    return change_state(context, next, group_state::forming);
}

state::result<void> group_controller::release_hosts(step_context& context,
                                                    const group_entry& entry) {
    auto row = entry.row;
    row.state = group_state::dissolved;
    auto transaction = begin_transaction(context.lease);
    transaction.checks.push_back({group_key(row.id), entry.version});
    transaction.puts.push_back({group_key(row.id), m_codec.write_group(row)});
    for (const auto& host : row.hosts) {
        transaction.checks.push_back({claim_key(host), context.claims[claim_key(host)]});
        transaction.deletes.push_back(claim_key(host));
    }
    return commit_and_count(context, std::move(transaction));
}

state::result<void> group_controller::send(step_context& context, order_kind kind,
                                           const state::host_id& host,
                                           const state::group_row& group) {
    if (context.now + m_settings.order_timeout + m_settings.order_margin >
        context.lease.valid_until) {
        return state::fail(failure_kind::lease_not_held, "the lease may end before the order to " +
                                                             host.value() + " is answered");
    }

    // An unanswered order keeps its key as long as neither the order nor the engine's
    // report changes.
    const auto& report = context.reports.at(host);
    const auto reported = report.group.value() + "/" + std::to_string(report.generation);
    auto& sent = m_unanswered[host];
    const bool is_repetition = sent.order.kind == kind && sent.order.group.id == group.id &&
                               sent.order.group.generation == group.generation &&
                               sent.order.fencing_number == context.lease.fencing_number &&
                               sent.reported == reported && sent.attempts < max_attempts_per_key;
    if (!is_repetition) {
        const auto key =
            std::to_string(context.lease.fencing_number) + "/" + std::to_string(++m_sequence);
        sent = {{context.lease.key + "/" + key, context.lease.fencing_number, kind, host, group},
                reported};
    }
    ++sent.attempts;
    ++context.summary.orders;
    const auto reply = m_engines.send_order(sent.order);
    context.now = std::max(context.now, reply.received_at);
    if (reply.outcome == order_outcome::refused_fencing) {
        return state::fail(failure_kind::lease_not_held,
                           "the engine on " + host.value() + " has seen a newer fencing number");
    }
    if (context.now > context.lease.valid_until) {
        return state::fail(failure_kind::lease_not_held,
                           "the reply from " + host.value() + " arrived after the lease had ended");
    }
    if (reply.outcome == order_outcome::accepted) {
        m_unanswered.erase(host);
    }
    return {};
}

/// Records when the progress of the roll-out last exceeded its previous best. A group
/// that is lost and returns repeatedly therefore does not postpone the deadline.
void group_controller::update_progress(step_context& context, rollout_view& view) {
    const auto& row = view.rollout;
    const auto phase = row.version + "/" + std::string(state::to_name(row.state));
    std::int64_t progress = 0;
    for (const auto& group : view.groups) {
        const bool target = group.model_version == state::target_version(row);
        progress += target && group.state == group_state::serving && group.complete ? 1 : 0;
        progress -= !target && group.state != group_state::dissolved ? 1 : 0;
    }
    if (phase != m_progress_phase || progress > m_best_progress) {
        m_progress_phase = phase;
        m_best_progress = progress;
        m_last_progress = context.now;
    }
    view.last_progress = m_last_progress;
}

state::result<void> group_controller::apply_rollout(step_context& context) {
    rollout_view view{context.rollout.row, {}, {}};
    for (const auto& [group, version] : context.groups) {
        const auto entered_at = first_seen(
            group.id.value() + "/" + std::string(state::to_name(group.state)), context.now);
        view.groups.push_back(
            {group.id, group.model_version, group.state,
             m_decisions.complete(group, context.reports, context.now, m_settings.report_age),
             entered_at});
    }
    update_progress(context, view);

    for (const auto& change : m_decisions.rollout(view, context.spec.rollout, context.now)) {
        if (change.kind == rollout_change_kind::form) {
            BOOST_LEAF_CHECK(form_groups(context, change));
            continue;
        }
        if (change.kind == rollout_change_kind::change_rollout_state) {
            auto row = context.rollout.row;
            assert(state::is_allowed(row.state, *change.next));
            row.state = *change.next;
            auto transaction = begin_transaction(context.lease);
            transaction.checks.push_back({rollout_key(row.deployment), context.rollout.version});
            transaction.puts.push_back({rollout_key(row.deployment), m_codec.write_rollout(row)});
            BOOST_LEAF_CHECK(commit_and_count(context, std::move(transaction)));
            continue;
        }
        const auto entry =
            std::find_if(context.groups.begin(), context.groups.end(),
                         [&](const auto& group) { return group.row.id == change.group; });
        const auto next = change.kind == rollout_change_kind::drain ? group_state::draining
                                                                    : group_state::dissolving;
        BOOST_LEAF_CHECK(change_state(context, *entry, next, change.counts_as_failure));
    }
    return {};
}

state::result<void> group_controller::form_groups(step_context& context,
                                                  const rollout_change& change) {
    placement_request request;
    request.free_hosts = context.free_hosts;
    request.groups_by_zone = context.groups_by_zone;
    request.drained_zones = context.spec.drained_zones;
    request.group_sizes.assign(change.count, context.spec.hosts_per_group);
    request.spares_per_domain = context.spec.spares_per_domain;
    const auto planned = m_decisions.plan(request);
    context.summary.unplaced += change.count - static_cast<std::uint32_t>(planned.size());

    for (const auto& place : planned) {
        auto transaction = begin_transaction(context.lease);
        state::group_row row;
        row.id = state::group_id(context.spec.deployment.value() + "-" +
                                 std::to_string(context.lease.fencing_number) + "-" +
                                 std::to_string(m_sequence));
        row.deployment = context.spec.deployment;
        row.model_version = change.model_version;
        row.availability_zone = place.availability_zone;
        row.fabric_domain = place.fabric_domain;
        row.hosts = place.hosts;
        transaction.checks.push_back({group_key(row.id), 0});
        transaction.puts.push_back({group_key(row.id), m_codec.write_group(row)});
        for (const auto& host : place.hosts) {
            transaction.checks.push_back({claim_key(host), 0});
            transaction.puts.push_back({claim_key(host), m_codec.write_claim({host, row.id})});
        }
        BOOST_LEAF_CHECK(commit_and_count(context, std::move(transaction)));
    }
    return {};
}

} // namespace savoryrelay::coordination
