// Computes SHA-256 digests with OpenSSL for fingerprints, tokens and the record.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryrelay::state {

/// The 32 bytes of a SHA-256 digest.
using sha256_digest = std::array<std::uint8_t, 32>;

/// Returns the SHA-256 digest of `content`.
[[nodiscard]] sha256_digest sha256(std::string_view content);

/// Returns `bytes` as lower-case hexadecimal text with two digits per byte.
[[nodiscard]] std::string to_hex(const std::uint8_t* bytes, std::size_t size);

/// Returns the SHA-256 digest of `content` as 64 hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view content);

/// Returns the first 8 bytes of the SHA-256 digest of `content` as a big-endian
/// number. Unlike std::hash, the result is the same on each host.
[[nodiscard]] std::uint64_t stable_hash(std::string_view content);

/// Returns the weight of a holder for a key in rendezvous hashing, from their hashes. The
/// holders with the highest weights own the key, so that a change of the holders moves few
/// keys and all hosts with the same list choose alike.
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t holder, std::uint64_t key);

} // namespace savoryrelay::state
