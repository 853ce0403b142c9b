// Implements the retry budgets.
#include "savoryrelay/coordination/retry/retry_budget.h"

#include <algorithm>

namespace savoryrelay::coordination {

void retry_budget::initialize(balance& value) const {
    if (value.is_new) {
        value = {false, m_settings.max_saved_retries};
    }
}

void retry_budget::count_first_attempt(const state::deployment_id& deployment) {
    m_balances.update(deployment, [&](balance& value) {
        initialize(value);
        value.retries = std::min(value.retries + m_settings.retries_per_first_attempt,
                                 m_settings.max_saved_retries);
    });
}

bool retry_budget::take(const state::deployment_id& deployment) {
    return m_balances.update(deployment, [&](balance& value) {
        initialize(value);
        if (value.retries < 1.0) {
            return false;
        }
        value.retries -= 1.0;
        return true;
    });
}

} // namespace savoryrelay::coordination
