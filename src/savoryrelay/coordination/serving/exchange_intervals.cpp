// Scales the intervals with the number of hosts, up to their limits.
#include "savoryrelay/coordination/serving/exchange_intervals.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace savoryrelay::coordination {
namespace {

using state::milliseconds;

// Fleets of up to this many hosts use the base intervals.
constexpr double small_fleet_hosts = 20;
// A long poll of the operators' feed returns after this time at the latest, which
// shows that the connection still works. If it is broken, the host learns of newer
// configurations from its peers' digests in the meantime.
constexpr milliseconds base_operators_feed_wait{2'000};
constexpr milliseconds max_operators_feed_wait{10'000};
// The pause lets one read return several changes.
constexpr milliseconds base_runners_feed_pause{450};
// Share of the leave limit that may pass until the runner's entry is read; the
// rest covers the store's answer and calls already sent.
constexpr double leave_share = 0.5;
constexpr milliseconds base_hosts_read_interval{5'000};
// A host's loads expire a second after its last digest. With one digest in three
// rounds, they do not expire when a single digest is lost.
constexpr std::size_t max_rounds_per_remote_digest = 3;

milliseconds scaled(milliseconds base, double factor) {
    return std::chrono::duration_cast<milliseconds>(base * factor);
}

} // namespace

exchange_intervals exchange_intervals_for(std::size_t hosts, milliseconds leave_limit) {
    const double factor = std::max(1.0, static_cast<double>(hosts) / small_fleet_hosts);
    exchange_intervals intervals;
    intervals.operators_feed_wait =
        std::min(scaled(base_operators_feed_wait, factor), max_operators_feed_wait);
    intervals.runners_feed_pause =
        std::min(scaled(base_runners_feed_pause, factor),
                 std::max(base_runners_feed_pause, scaled(leave_limit, leave_share)));
    intervals.hosts_read_interval = scaled(base_hosts_read_interval, factor);
    intervals.rounds_per_remote_digest = std::clamp<std::size_t>(
        static_cast<std::size_t>(std::lround(factor)), 1, max_rounds_per_remote_digest);
    return intervals;
}

} // namespace savoryrelay::coordination
