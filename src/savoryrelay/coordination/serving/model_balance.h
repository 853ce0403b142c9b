// How the groups of a service are divided among its models, and which open
// groups are worth giving up for a model that lacks some.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/serving/serving_configuration.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Groups, targets and work by model, as of one step of the steering.
class model_balance {
public:
    /// A model whose groups are busier than this gets more than its planned ones.
    static constexpr double busy_share = 0.7;
    /// Groups are given up only where the model that loses them stays this much
    /// less busy than the one that gains, so that groups do not move back and forth.
    static constexpr double trade_margin = 0.8;

    /// `work`: groups kept busy by the calls of each model; empty before any call.
    explicit model_balance(std::map<std::string, double> work) : m_work(std::move(work)) {}

    void add_group(const std::string& model) { m_groups[model] += 1; }
    void set_targets(std::map<std::string, std::size_t> targets) { m_targets = std::move(targets); }

    /// Work of a model for each of its groups, the next one counted by half.
    [[nodiscard]] double load_of(const std::string& model) const;
    /// Whether the model has fewer groups than planned.
    [[nodiscard]] bool is_below_target(const std::string& model) const;
    /// Whether another group of the model is worth forming.
    [[nodiscard]] bool is_wanted(const std::string& model) const;
    /// Whether a group of `gaining` is worth `count` groups of `losing`.
    [[nodiscard]] bool may_trade(const std::string& losing, std::size_t count,
                                 const std::string& gaining) const;
    /// The models with their shares of the runners by measured work instead of
    /// the configured ones, once there is enough of it.
    [[nodiscard]] std::vector<state::model_rule>
    with_measured_shares(std::vector<state::model_rule> models) const;

private:
    [[nodiscard]] double groups_of(const std::string& model) const;
    [[nodiscard]] double work_of(const std::string& model) const;

    std::map<std::string, double> m_work;
    std::map<std::string, double> m_groups; // open ones and those on their way
    std::map<std::string, std::size_t> m_targets;
};

/// An open group some of whose members could serve other models without a load.
struct convertible_group {
    state::endpoint_id head;
    std::string model;
    std::map<std::string, std::size_t> ready; ///< members that are ready for a model
};

/// What a fabric domain holds.
struct domain_stock {
    state::fabric_domain_id domain;
    std::map<std::string, std::size_t> free_ready; ///< free runners ready for a model
    std::vector<convertible_group> groups;
};

/// Groups that are closed so that their runners form one of another model.
struct conversion {
    state::fabric_domain_id domain;
    std::string model;
    std::vector<state::endpoint_id> heads;
};

/// The conversion that helps the busiest model and closes the fewest groups.
[[nodiscard]] std::optional<conversion> choose_conversion(const state::engine_rule& engine,
                                                          const model_balance& balance,
                                                          const std::vector<domain_stock>& domains);

} // namespace savoryrelay::coordination
