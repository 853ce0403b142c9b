// Implements the list of recently broken attempts.
#include "savoryrelay/coordination/retry/broken_attempts.h"

namespace savoryrelay::coordination {

void broken_attempts::remove_expired(endpoint_row& row, state::time_point now) const {
    std::erase_if(row.broken, [&](const auto& entry) { return now - entry.second > m_retention; });
}

void broken_attempts::add(const state::endpoint_id& endpoint, request_fingerprint fingerprint,
                          state::time_point now) {
    m_endpoints.update(endpoint, [&](endpoint_row& row) {
        remove_expired(row, now);
        row.broken.emplace_back(fingerprint, now);
    });
}

std::optional<endpoint_crash> broken_attempts::take_crash(const state::endpoint_id& endpoint,
                                                          state::time_point now) {
    std::optional<endpoint_crash> crash;
    m_endpoints.update_existing(endpoint, [&](endpoint_row& row) {
        remove_expired(row, now);
        if (row.broken.empty()) {
            return;
        }
        crash = endpoint_crash{endpoint, ++row.crashes, {}};
        for (const auto& entry : row.broken) {
            crash->in_flight.push_back(entry.first);
        }
        row.broken.clear();
    });
    return crash;
}

} // namespace savoryrelay::coordination
