// SHA-256 digests by OpenSSL, used for fingerprints, tokens and the record.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace savoryrelay::state {

/// The 32 bytes of a SHA-256 digest.
using sha256_digest = std::array<std::uint8_t, 32>;

/// The SHA-256 digest of `content`.
[[nodiscard]] sha256_digest sha256(std::string_view content);

/// Lower-case hexadecimal text of `bytes`, two digits a byte.
[[nodiscard]] std::string to_hex(const std::uint8_t* bytes, std::size_t size);

/// The SHA-256 digest of `content` as 64 hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view content);

/// The first 8 bytes of the SHA-256 digest of `content` as a number. It is the
/// same on each host, unlike std::hash.
[[nodiscard]] std::uint64_t stable_hash(std::string_view content);

} // namespace savoryrelay::state
