// Decides what the end of the body of an event stream means. The end of a body is a statement of
// its encoding; a runner that writes it too early goes on with its events behind it.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <array>

namespace savoryrelay::coordination {

/// What was seen when the body of a stream ended.
struct stream_end_evidence {
    bool has_partial_event = false; ///< the body ended within an event
    bool has_bytes_after = false;   ///< the endpoint sent bytes after the last chunk
    bool is_unconfirmed = false;    ///< the end may be that of another host between the two
};

/// Whether a stream has ended with its body.
enum class stream_end {
    complete,
    partial_event,
    bytes_after_end,
    unconfirmed,
};

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::stream_end> {
    using e = savoryrelay::coordination::stream_end;
    static constexpr std::array rows{
        enum_name<e>{e::complete, "complete"},
        enum_name<e>{e::partial_event, "partial_event"},
        enum_name<e>{e::bytes_after_end, "bytes_after_end"},
        enum_name<e>{e::unconfirmed, "unconfirmed"},
    };
};

namespace savoryrelay::coordination {

/// Returns `complete` if the caller may be told that it has all events.
[[nodiscard]] stream_end judge_stream_end(const stream_end_evidence& evidence);

} // namespace savoryrelay::coordination
