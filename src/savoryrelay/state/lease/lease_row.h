// The lease of a deployment: its durable row, and what a member knows of it.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"
#include "savoryrelay/state/core/transition_table.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace savoryrelay::state {

/// The value of the row `lease/<deployment>`. The row is never deleted, since
/// its fencing number must not start again.
struct lease_row {
    member_id holder;
    std::uint64_t incarnation = 0;
    std::uint64_t fencing_number = 0; ///< grows with each change of holder
    milliseconds duration{0};         ///< from the sending of the last renewal
    bool released = false;            ///< the holder gave it up with no order in flight

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

/// The text form of a row's value. Coordination knows it only by these hooks.
struct lease_codec {
    std::function<std::string(const lease_row&)> encode;
    /// Fails with `message_damaged`.
    std::function<result<lease_row>(const std::string& text)> decode;
};

/// Key of a deployment's lease row.
[[nodiscard]] inline std::string lease_key(const deployment_id& deployment) {
    return "lease/" + deployment.value();
}

/// What a member may do under a deployment's lease.
enum class lease_phase {
    observing, ///< another member holds it, or nobody
    acquiring, ///< its own acquisition was sent and is not decided
    waiting,   ///< it holds the row; orders of the predecessor may still arrive
    holding,   ///< it may send orders
    lapsed,    ///< its term has passed by its own clock; the row may still be its own
    releasing, ///< its release was sent and is not decided
};

template <>
struct enum_table<lease_phase> {
    static constexpr std::array rows{
        enum_name<lease_phase>{lease_phase::observing, "observing"},
        enum_name<lease_phase>{lease_phase::acquiring, "acquiring"},
        enum_name<lease_phase>{lease_phase::waiting, "waiting"},
        enum_name<lease_phase>{lease_phase::holding, "holding"},
        enum_name<lease_phase>{lease_phase::lapsed, "lapsed"},
        enum_name<lease_phase>{lease_phase::releasing, "releasing"},
    };
};

/// A lapsed holder may renew, because a successor would have changed the row
/// and the renewal is conditional on it.
template <>
struct transition_table<lease_phase> {
    using p = lease_phase;
    static constexpr std::array rows{
        transition<p>{p::observing, p::acquiring}, transition<p>{p::acquiring, p::observing},
        transition<p>{p::acquiring, p::waiting},   transition<p>{p::acquiring, p::holding},
        transition<p>{p::waiting, p::holding},     transition<p>{p::waiting, p::lapsed},
        transition<p>{p::waiting, p::releasing},   transition<p>{p::waiting, p::observing},
        transition<p>{p::holding, p::lapsed},      transition<p>{p::holding, p::releasing},
        transition<p>{p::holding, p::observing},   transition<p>{p::lapsed, p::waiting},
        transition<p>{p::lapsed, p::holding},      transition<p>{p::lapsed, p::releasing},
        transition<p>{p::lapsed, p::observing},    transition<p>{p::releasing, p::observing},
        transition<p>{p::releasing, p::lapsed},
    };
};

} // namespace savoryrelay::state
