// Chooses the hosts through which a host that is cut off from the endpoints opens its
// connections to them.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/serving/peer_digest.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::coordination {

/// How an attempt to reach an endpoint through another host ended.
enum class relay_outcome {
    connected,   ///< the other host is connected to the endpoint
    unreachable, ///< the other host is in touch with endpoints, but not with this one
    not_known,   ///< the other host doesn't know this incarnation of the endpoint
    cut_off,     ///< the other host is cut off itself, or has no room
    silent,      ///< the other host does not answer
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::relay_outcome> {
    using o = savoryrelay::coordination::relay_outcome;
    static constexpr std::array rows{
        enum_name<o>{o::connected, "connected"}, enum_name<o>{o::unreachable, "unreachable"},
        enum_name<o>{o::not_known, "not_known"}, enum_name<o>{o::cut_off, "cut_off"},
        enum_name<o>{o::silent, "silent"},
    };
};

namespace savoryrelay::coordination {

/// Knows which hosts can be used as relays. Thread-safe.
///
/// Hosts of this host's zone and of the endpoint's zone come first: the bytes then cross between
/// zones no more often than without a relay, and enter no region in which neither the caller's
/// host nor the endpoint is. A zone in which all hosts that were asked are cut off comes last.
/// Among equals the choice is random, so that the hosts in touch share the work.
class relay_choice {
public:
    /// Time for which a host that is cut off itself is passed over, and that for a host that
    /// does not answer. The first doubles with each refusal, up to the second.
    static constexpr state::milliseconds refusal_pause{500};
    static constexpr state::milliseconds silence_pause{4'000};
    /// Hosts of a zone that must be found cut off, with none in touch in between, before the zone
    /// comes last, for `silence_pause` after the last one.
    static constexpr std::uint32_t max_zone_refusals = 3;
    /// Hosts that are tried for one connection. Bounds its time.
    static constexpr std::size_t max_tries = 4;
    /// A host that has found no relay for this long has none.
    static constexpr state::milliseconds search_time{500};
    /// A search that was not gone on with for this long says nothing any more.
    static constexpr state::milliseconds search_age{2'000};

    relay_choice(state::availability_zone_id own_zone, std::function<std::uint64_t()> random)
        : m_own_zone(std::move(own_zone)), m_random(std::move(random)) {}

    /// Returns the hosts among `hosts` to try in turn for a connection to an endpoint in
    /// `endpoint_zone`, at most `max_tries`.
    [[nodiscard]] std::vector<state::host_entry>
    candidates(std::vector<state::host_entry> hosts,
               const state::availability_zone_id& endpoint_zone, state::time_point now) const;
    /// Records how an attempt through `relay` ended.
    void note(const state::host_entry& relay, relay_outcome outcome, state::time_point now);
    /// Records that no host could be asked.
    void note_no_candidate(state::time_point now);
    /// Returns whether no attempt has found a relay for `search_time` or longer.
    [[nodiscard]] bool has_no_relay(state::time_point now) const;
    /// Returns whether no host in touch was met for `search_time`, so that one should be looked
    /// for even without a call.
    [[nodiscard]] bool needs_search(state::time_point now) const;

private:
    struct passed_over_host {
        state::time_point until{};
        state::milliseconds pause{0}; // the last one
    };

    struct zone_refusals {
        std::uint32_t count = 0;
        state::time_point last_at{};
    };

    // These two require m_mutex.
    [[nodiscard]] bool is_zone_cut_off(const state::availability_zone_id& zone,
                                       state::time_point now) const;
    void note_failed_search(state::time_point now);

    const state::availability_zone_id m_own_zone;
    std::function<std::uint64_t()> m_random;
    mutable std::mutex m_mutex; // guards the members below
    /// Hosts that could not help lately, by "address:port". They are removed when they help, or
    /// `silence_pause` after their pause.
    std::map<std::string, passed_over_host> m_passed_over;
    /// Refusals since a host of the zone was found in touch.
    std::map<state::availability_zone_id, zone_refusals> m_zone_refusals;
    std::optional<state::time_point> m_found_at; // when a host in touch was met last
    /// Begin and end of the attempts that have found no relay since one was found.
    std::optional<state::time_point> m_without_since;
    state::time_point m_without_until{};
};

} // namespace savoryrelay::coordination
