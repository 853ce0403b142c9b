// Decides which crash notices a host sends in a round: each for a limited time and in every
// round of it, because datagrams get lost and hubs may end.
#pragma once

#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/crash_notice.h"

#include <cstddef>
#include <mutex>
#include <vector>

namespace savoryrelay::coordination {

/// Keeps the notices that this host passes on. Thread-safe.
class crash_notice_schedule {
public:
    /// A notice is sent in each round for this long. Members of a hub that has ended report
    /// to another one after `host_directory::silence`, and must still find the notice there.
    static constexpr state::milliseconds repeated_for{1'200};
    /// The most notices that are sent at a time. Beyond that, crashes of whole calls are
    /// dropped, then the newest notices: an endpoint that ends cuts many calls, each with a
    /// fingerprint of its own.
    static constexpr std::size_t max_notices = 256;

    /// Sends `notice`, which this host made or learned and which has its age at `now`. An
    /// equal notice (kind, fingerprint and crash) that is still being sent goes on
    /// unchanged.
    void add(const state::crash_notice& notice, state::time_point now);
    /// Returns the notices to send in a round at `now`, with their ages at that time.
    [[nodiscard]] std::vector<state::crash_notice> due(state::time_point now);

private:
    struct scheduled_notice {
        state::crash_notice notice; // with its age at `added_at`
        state::time_point added_at{};
    };
    void drop_expired(state::time_point now);

    std::mutex m_mutex;
    std::vector<scheduled_notice> m_notices; // at most `max_notices`, guarded by `m_mutex`
};

} // namespace savoryrelay::coordination
