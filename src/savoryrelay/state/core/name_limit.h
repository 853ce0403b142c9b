// The limit for the length of names that the store and the messages between hosts carry.
#pragma once

#include <cstddef>

namespace savoryrelay::state {

/// The store's limit for keys and names, in bytes. Messages between hosts keep it too.
inline constexpr std::size_t max_name_bytes = 200;

} // namespace savoryrelay::state
