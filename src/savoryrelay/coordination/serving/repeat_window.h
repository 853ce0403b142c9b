// This host's part of the bound on repeats that all entry hosts share.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"

#include <atomic>
#include <deque>
#include <string>

namespace savoryrelay::coordination {

/// The shared bound: in each window, the repeats for a service are at most
/// `ratio` x its calls + `burst`, over all hosts.
struct repeat_bound {
    double ratio = 0.2;
    double burst = 100;
    state::milliseconds window{10'000};
};

/// Counts calls and repeats by service. The ratio applies to the calls of this
/// host, so the hosts' parts add up; the burst is divided by the number of
/// hosts. Thread-safe.
class repeat_window {
public:
    /// Part of the bound that is used; the rest covers hosts whose number is
    /// not known yet, and arrivals at the edges of a window.
    static constexpr double safe_share = 0.85;

    explicit repeat_window(repeat_bound bound) : m_bound(bound) {}

    /// Hosts that share the burst, this one included.
    void set_hosts(std::size_t hosts) { m_hosts.store(hosts, std::memory_order_relaxed); }
    /// A call for `service` was sent for the first time.
    void note_call(const std::string& service, state::time_point now);
    /// Takes one repeat. False: the part of this host is used up.
    [[nodiscard]] bool take(const std::string& service, state::time_point now);

private:
    struct counts {
        std::deque<state::time_point> calls;
        std::deque<state::time_point> repeats;
    };
    void forget_old(counts& value, state::time_point now) const;

    const repeat_bound m_bound;
    std::atomic<std::size_t> m_hosts{1};
    state::sharded_map<std::string, counts> m_services;
};

} // namespace savoryrelay::coordination
