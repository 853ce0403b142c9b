// Decides how the groups of a service are divided among its models, and which open
// groups are closed in favour of a model that needs more groups.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Groups, targets and work by model, as of one planning step.
class model_balance {
public:
    /// A model whose groups are busier than this gets more groups than planned.
    static constexpr double busy_share = 0.7;
    /// A conversion requires that the model that loses groups stays below this
    /// fraction of the other model's utilization, so that groups are not converted
    /// back and forth.
    static constexpr double conversion_margin = 0.8;

    /// `work` is the number of groups that the calls of each model keep busy; it is
    /// empty before the first call.
    explicit model_balance(std::map<std::string, double> work) : m_work(std::move(work)) {}

    void add_group(const std::string& model) { m_groups[model] += 1; }
    void set_targets(std::map<std::string, std::size_t> targets) { m_targets = std::move(targets); }

    /// Returns the work of a model divided by the number of its groups. Half a group is
    /// added to the number for the group that may be formed next.
    [[nodiscard]] double load_of(const std::string& model) const;
    /// Returns whether the model has fewer groups than planned.
    [[nodiscard]] bool is_below_target(const std::string& model) const;
    /// Returns whether another group of the model should be formed.
    [[nodiscard]] bool is_wanted(const std::string& model) const;
    /// Returns whether `count` groups of `losing` should be closed for a group of
    /// `gaining`.
    [[nodiscard]] bool is_conversion_worthwhile(const std::string& losing, std::size_t count,
                                                const std::string& gaining) const;
    /// Returns the models with shares of the runners by measured work, or with the
    /// configured shares while there is too little work.
    [[nodiscard]] std::vector<state::model_rule>
    with_measured_shares(std::vector<state::model_rule> models) const;

private:
    [[nodiscard]] double groups_of(const std::string& model) const;
    [[nodiscard]] double work_of(const std::string& model) const;

    std::map<std::string, double> m_work;
    std::map<std::string, double> m_groups; // open groups and formations
    std::map<std::string, std::size_t> m_targets;
};

/// An open group and the number of its members that could serve each model without
/// loading weights.
struct convertible_group {
    state::endpoint_id head;
    std::string model;
    std::map<std::string, std::size_t> ready; ///< members that are ready for a model
};

/// The free runners and open groups of a fabric domain.
struct domain_inventory {
    state::fabric_domain_id domain;
    std::map<std::string, std::size_t> free_ready; ///< free runners ready for a model
    std::vector<convertible_group> groups;
};

/// Groups that are closed so that their runners form a group of another model.
struct conversion {
    state::fabric_domain_id domain;
    std::string model;
    std::vector<state::endpoint_id> heads;
};

/// Chooses the model with the highest load for which a conversion is possible and
/// worthwhile. Returns the conversion for this model that closes the fewest groups, or
/// nothing if there is no such model.
[[nodiscard]] std::optional<conversion>
choose_conversion(const state::engine_rule& engine, const model_balance& balance,
                  const std::vector<domain_inventory>& domains);

} // namespace savoryrelay::coordination
