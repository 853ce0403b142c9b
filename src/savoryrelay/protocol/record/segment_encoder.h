// Encoding, hash chaining and signing of segments, and encoding of content objects.
#pragma once

#include "savoryrelay/protocol/record/record_keys.h"
#include "savoryrelay/state/record/record_entry.h"

#include <functional>
#include <string>

namespace savoryrelay::protocol {

/// Fills a buffer with `size` unpredictable bytes.
using random_bytes_hook = std::function<state::result<void>(char* buffer, std::size_t size)>;

/// Fills a buffer with bytes of OpenSSL's random generator.
[[nodiscard]] state::result<void> openssl_random_bytes(char* buffer, std::size_t size);

/// Encodes `draft` and signs it with the key of `keys` that is valid at the draft's
/// `written_at`. Sets the key id and the content digests of `draft`. Fails with
/// `record_unavailable` if no key is valid.
[[nodiscard]] state::result<state::sealed_segment>
seal_segment(state::segment_draft& draft, const record_key_ring& keys,
             const random_bytes_hook& random_bytes);

/// Returns the encoded body of an entry, without tag, length and link.
[[nodiscard]] std::string encode_entry(const state::record_entry& entry);

/// Returns the encoded header of a segment. It begins with the magic and does not include
/// the link stored after it.
[[nodiscard]] std::string encode_header(const state::segment_header& header);

/// Decodes an entry that `encode_entry` encoded. Fails with `record_damaged`.
[[nodiscard]] state::result<state::record_entry> decode_entry(std::string_view body);

} // namespace savoryrelay::protocol
