// Decides which connections close when a process runs short of memory or of descriptors.
// Answers load from clients that send or read slowly, stop half-way, or open connections
// without end.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryrelay::coordination {

/// What a connection is doing for the process.
enum class holder_phase {
    idle,      ///< no request has begun to arrive
    receiving, ///< a request arrives
    serving,   ///< a request has arrived and has no answer yet
    sending,   ///< an answer waits for its reader
};

/// The bytes that a connection holds, and its progress.
struct holder_state {
    std::uint64_t bytes = 0;
    holder_phase phase = holder_phase::idle;
    /// Begin of the phase; while an answer is sent, the last time that its reader took bytes.
    state::time_point since{};
    bool is_evicted = false; ///< is closing already
};

/// Time that a request has to arrive, or a reader to take bytes, before its memory is claimed.
inline constexpr state::milliseconds eviction_grace{1'000};

/// Returns the indices of the connections to close so that `bytes` become free, first the one
/// that holds most for the longest time. Leaves requests that are served and connections
/// within `eviction_grace`; the closed ones may free less than `bytes`.
[[nodiscard]] std::vector<std::size_t> choose_for_memory(const std::vector<holder_state>& holders,
                                                         std::uint64_t bytes,
                                                         state::time_point now);

/// Returns the indices of up to `count` connections to close so that others can be accepted,
/// first the one that is idle, or whose request arrives, for the longest time.
[[nodiscard]] std::vector<std::size_t>
choose_for_descriptors(const std::vector<holder_state>& holders, std::size_t count);

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::holder_phase> {
    using p = savoryrelay::coordination::holder_phase;
    static constexpr std::array rows{
        enum_name<p>{p::idle, "idle"},
        enum_name<p>{p::receiving, "receiving"},
        enum_name<p>{p::serving, "serving"},
        enum_name<p>{p::sending, "sending"},
    };
};
