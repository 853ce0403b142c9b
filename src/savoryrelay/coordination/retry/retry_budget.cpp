// Retry budgets by deployment.
#include "savoryrelay/coordination/retry/retry_budget.h"

#include <algorithm>

namespace savoryrelay::coordination {

void retry_budget::open(balance& value) const {
    if (value.is_new) {
        value = {false, m_settings.reserve};
    }
}

void retry_budget::note_first_attempt(const state::deployment_id& deployment) {
    m_balances.update(deployment, [&](balance& value) {
        open(value);
        value.retries = std::min(value.retries + m_settings.part, m_settings.reserve);
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
