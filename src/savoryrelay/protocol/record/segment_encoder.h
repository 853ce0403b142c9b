// Encoding, chaining and signing of segments, and encoding of content.
#pragma once

#include "savoryrelay/protocol/record/record_keys.h"
#include "savoryrelay/state/record/record_entry.h"

#include <functional>
#include <string>

namespace savoryrelay::protocol {

/// Fills a buffer with `size` unpredictable bytes.
using random_bytes_hook = std::function<state::result<void>(char* buffer, std::size_t size)>;

/// Random bytes of OpenSSL's generator.
[[nodiscard]] state::result<void> openssl_random_bytes(char* buffer, std::size_t size);

/// Encodes and signs `draft` under the key of `keys` that is valid at its time.
/// Sets the key id and the content digests of `draft`. Fails with
/// `record_unavailable` when no key is valid.
[[nodiscard]] state::result<state::sealed_segment>
seal_segment(state::segment_draft& draft, const record_key_ring& keys,
             const random_bytes_hook& random_bytes);

/// The bytes of an entry that its link in the chain covers.
[[nodiscard]] std::string encode_entry(const state::record_entry& entry);

/// The bytes of a header, from the magic on.
[[nodiscard]] std::string encode_header(const state::segment_header& header);

/// Reads back what `encode_entry` wrote. Fails with `record_damaged`.
[[nodiscard]] state::result<state::record_entry> decode_entry(std::string_view body);

} // namespace savoryrelay::protocol
