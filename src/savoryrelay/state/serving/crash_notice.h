// What entry hosts tell each other about calls that may crash the endpoints that run them.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>

namespace savoryrelay::state {

/// Digest of something that calls may have in common: a part of their prompts, or the
/// customer and the content. It is the same on each host.
using request_fingerprint = std::uint64_t;

/// A fingerprint and what it stands for in a call.
struct call_fingerprint {
    request_fingerprint value = 0;
    /// Position of the part in the prompt, from 1; 0 for a whole call. Of two parts that are
    /// in the same calls, the later one is in fewer others.
    std::uint8_t position = 0;

    friend bool operator==(const call_fingerprint&, const call_fingerprint&) = default;
};

/// What was seen of a fingerprint.
enum class crash_notice_kind {
    crashed,     ///< an endpoint crashed before it answered a call with the fingerprint
    answered,    ///< an endpoint began to answer a call with the fingerprint
    quarantined, ///< calls with the fingerprint are refused
    released,    ///< others explain the crashes of the fingerprint
};

template <>
struct enum_table<crash_notice_kind> {
    static constexpr std::array rows{
        enum_name<crash_notice_kind>{crash_notice_kind::crashed, "crashed"},
        enum_name<crash_notice_kind>{crash_notice_kind::answered, "answered"},
        enum_name<crash_notice_kind>{crash_notice_kind::quarantined, "quarantined"},
        enum_name<crash_notice_kind>{crash_notice_kind::released, "released"},
    };
};

/// One observation of a fingerprint.
struct crash_notice {
    crash_notice_kind kind = crash_notice_kind::crashed;
    request_fingerprint fingerprint = 0;
    /// Digest of the crashed endpoint and its incarnation if `kind` is `crashed`; the number
    /// of crashes that the sender knows if `kind` is `quarantined` or `released`; otherwise 0.
    std::uint64_t crash = 0;
    /// Time since the crash or the answer; since the last crash if `kind` is `quarantined` or
    /// `released`.
    milliseconds age{0};
    /// Position of the part in the prompt, as in `call_fingerprint`; 0 if `kind` is `answered`.
    std::uint8_t position = 0;

    friend bool operator==(const crash_notice&, const crash_notice&) = default;
};

} // namespace savoryrelay::state
