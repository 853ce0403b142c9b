// Data shared by the functions of one planning step. Included only by the sources
// that implement `group_reconciler`.
#pragma once

#include "savoryrelay/coordination/serving/group_reconciler.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Orders are based only on reports that are no older than this.
inline constexpr state::milliseconds max_report_age{1'500};

/// State of one planning step: its input, what it has found and the orders that it
/// has decided.
struct group_reconciler::step {
    const group_reconciler_input& input;
    const state::engine_rule& engine;
    state::time_point now;
    std::map<std::string, known_group> groups{};
    std::map<state::fabric_domain_id, std::vector<const runner_view*>> free{};
    model_balance balance{input.work};
    std::map<state::fabric_domain_id, std::map<std::string, std::size_t>> groups_by_domain{};
    domain_layout layout{};
    std::size_t usable_runners = 0;
    double all_runners = 0;
    double silent_runners = 0;
    std::set<state::fabric_domain_id> unknown_state_domains{}; // with a runner of unknown state
    std::vector<state::runner_order> orders{};

    [[nodiscard]] const runner_view* find(const state::endpoint_id& id) const {
        const auto found = std::lower_bound(
            input.fleet->begin(), input.fleet->end(), id,
            [](const runner_view& runner, const auto& key) { return runner.record.id < key; });
        return found == input.fleet->end() || found->record.id != id ? nullptr : &*found;
    }
    [[nodiscard]] bool has_fresh_report(const runner_view& runner) const {
        return runner.reported_at && now - *runner.reported_at < max_report_age;
    }
    [[nodiscard]] bool has_reported_here(const runner_view& runner) const {
        return runner.own_report_at && *runner.own_report_at >= input.holder_since;
    }
    [[nodiscard]] bool is_usable(const runner_view& runner) const {
        return runner.is_listed(now) && !runner.is_leaving(now) && !runner.silent_since &&
               has_fresh_report(runner) && has_reported_here(runner) &&
               !input.zones_out_of_service.contains(runner.record.availability_zone);
    }
    [[nodiscard]] bool before_traffic() const { return input.is_first_start && input.work.empty(); }
};

} // namespace savoryrelay::coordination
