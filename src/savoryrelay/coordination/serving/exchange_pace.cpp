// Intervals in proportion to the number of hosts, within what the rules need.
#include "savoryrelay/coordination/serving/exchange_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace savoryrelay::coordination {
namespace {

using state::milliseconds;

// Up to this many hosts the base intervals hold.
constexpr double small_fleet = 20;
// A call to the feed ends after this time, which shows that the connection
// still lives. Peers tell of a newer configuration meanwhile.
constexpr milliseconds base_operators_wait{2'000};
constexpr milliseconds longest_operators_wait{10'000};
// Changes that come together are read together.
constexpr milliseconds base_runners_pause{450};
// Part of the leave limit that passes until the entry is read; the rest is for
// the store's answer and calls on their way.
constexpr double leave_share = 0.5;
constexpr milliseconds base_hosts_read{5'000};
// Loads told by another host count for a second, so three may be lost.
constexpr std::size_t most_rounds = 3;

milliseconds scaled(milliseconds base, double factor) {
    return std::chrono::duration_cast<milliseconds>(base * factor);
}

} // namespace

exchange_pace pace_of(std::size_t hosts, milliseconds leave_limit) {
    const double factor = std::max(1.0, static_cast<double>(hosts) / small_fleet);
    exchange_pace pace;
    pace.operators_wait = std::min(scaled(base_operators_wait, factor), longest_operators_wait);
    pace.runners_pause = std::min(scaled(base_runners_pause, factor),
                                  std::max(base_runners_pause, scaled(leave_limit, leave_share)));
    pace.hosts_read = scaled(base_hosts_read, factor);
    pace.rounds_of_far_digests =
        std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(factor)), 1, most_rounds);
    return pace;
}

} // namespace savoryrelay::coordination
