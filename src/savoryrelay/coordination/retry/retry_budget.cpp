// Retry budgets by deployment.
#include "savoryrelay/coordination/retry/retry_budget.h"

#include <algorithm>

namespace savoryrelay::coordination {

void retry_budget::open(balance& value) const {
    if (value.is_new) {
        value = {false, m_reserve.load(std::memory_order_relaxed)};
    }
}

void retry_budget::note_first_attempt(const state::deployment_id& deployment) {
    m_balances.update(deployment, [&](balance& value) {
        open(value);
        value.retries =
            std::min(value.retries + m_part, m_reserve.load(std::memory_order_relaxed));
    });
}

bool retry_budget::take(const state::deployment_id& deployment) {
    return m_balances.update(deployment, [&](balance& value) {
        open(value);
        if (value.retries < 1.0) {
            return false;
        }
        value.retries -= 1.0;
        return true;
    });
}

} // namespace savoryrelay::coordination
