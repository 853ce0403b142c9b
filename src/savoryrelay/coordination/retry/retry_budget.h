// Bounds retries to a part of the first attempts, so that retries cannot
// multiply an overload.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/sharded_map.h"

namespace savoryrelay::coordination {

/// Settings of the budget.
struct retry_budget_settings {
    double part = 0.1;   ///< retries per first attempt, 0 to 1
    double reserve = 10; ///< retries that a deployment may save up, and has at the start
};

/// Retry budgets by deployment. Over any time the retries of a deployment are at
/// most `reserve` + `part` * its first attempts. Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings) : m_settings(settings) {}

    void note_first_attempt(const state::deployment_id& deployment);
    /// Takes one retry. Returns false when the budget is used up.
    [[nodiscard]] bool take(const state::deployment_id& deployment);

private:
    struct balance {
        bool is_new = true;
        double retries = 0;
    };
    void open(balance& value) const;

    retry_budget_settings m_settings;
    state::sharded_map<state::deployment_id, balance> m_balances;
};

} // namespace savoryrelay::coordination
