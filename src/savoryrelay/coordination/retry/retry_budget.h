// Limits retries to a fraction of the first attempts, so that retries cannot
// amplify an overload.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/sharded_map.h"

namespace savoryrelay::coordination {

/// Settings of the retry budget.
struct retry_budget_settings {
    double retries_per_first_attempt = 0.1; ///< from 0 to 1
    double max_saved_retries = 10;          ///< also the balance at the start
};

/// Retry budgets by deployment. In any period, a deployment's retries are at most
/// `max_saved_retries` + `retries_per_first_attempt` * its first attempts.
/// Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings) : m_settings(settings) {}

    /// Counts a first attempt, which adds to the budget.
    void count_first_attempt(const state::deployment_id& deployment);
    /// Takes one retry from the budget. Returns false when the budget is exhausted.
    [[nodiscard]] bool take(const state::deployment_id& deployment);

private:
    struct balance {
        bool is_new = true;
        double retries = 0;
    };
    void initialize(balance& value) const;

    retry_budget_settings m_settings;
    state::sharded_map<state::deployment_id, balance> m_balances;
};

} // namespace savoryrelay::coordination
