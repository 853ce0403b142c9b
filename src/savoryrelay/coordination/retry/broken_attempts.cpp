// Bookkeeping of broken attempts.
#include "savoryrelay/coordination/retry/broken_attempts.h"

namespace savoryrelay::coordination {

void broken_attempts::forget_old(endpoint_row& row, state::time_point now) const {
    std::erase_if(row.broken, [&](const auto& entry) { return now - entry.second > m_retention; });
}

void broken_attempts::note(const state::endpoint_id& endpoint, request_fingerprint fingerprint,
                           state::time_point now) {
    m_endpoints.update(endpoint, [&](endpoint_row& row) {
        forget_old(row, now);
        row.broken.emplace_back(fingerprint, now);
    });
}

std::optional<endpoint_death> broken_attempts::take_death(const state::endpoint_id& endpoint,
                                                          state::time_point now) {
    std::optional<endpoint_death> death;
    m_endpoints.update_existing(endpoint, [&](endpoint_row& row) {
        forget_old(row, now);
        if (row.broken.empty()) {
            return;
        }
        death = endpoint_death{endpoint, ++row.deaths, {}};
        for (const auto& entry : row.broken) {
            death->in_flight.push_back(entry.first);
        }
        row.broken.clear();
    });
    return death;
}

} // namespace savoryrelay::coordination
