// Enforces this host's share of the limit on repeats that all entry hosts share.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"

#include <atomic>
#include <deque>
#include <string>

namespace savoryrelay::coordination {

/// The shared limit: in each window, the repeats for a service over all hosts are at
/// most `ratio` x its calls + `burst`.
struct repeat_limit {
    double ratio = 0.2;
    double burst = 100;
    state::milliseconds window{10'000};
};

/// Counts calls and repeats by service. The ratio applies to this host's calls and
/// the burst is divided by the number of hosts, so the shares of all hosts add up to
/// the limit. Thread-safe.
class repeat_window {
public:
    /// Share of the limit that is used. The rest covers an outdated number of hosts
    /// and calls at the edges of a window.
    static constexpr double usable_share = 0.85;

    explicit repeat_window(repeat_limit limit) : m_limit(limit) {}

    /// Sets the number of hosts that share the burst, this one included.
    void set_hosts(std::size_t hosts) { m_hosts.store(hosts, std::memory_order_relaxed); }
    /// Records the first attempt of a call for `service`.
    void note_call(const std::string& service, state::time_point now);
    /// Takes one repeat. Returns false when this host's share is used up.
    [[nodiscard]] bool take(const std::string& service, state::time_point now);

private:
    struct counts {
        std::deque<state::time_point> calls;
        std::deque<state::time_point> repeats;
    };
    void remove_expired(counts& value, state::time_point now) const;

    const repeat_limit m_limit;
    std::atomic<std::size_t> m_hosts{1};
    state::sharded_map<std::string, counts> m_services;
};

} // namespace savoryrelay::coordination
