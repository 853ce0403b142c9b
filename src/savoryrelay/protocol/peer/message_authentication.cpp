// Signs and verifies frames with OpenSSL's HMAC.
#include "savoryrelay/protocol/peer/message_authentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>

namespace savoryrelay::protocol {

using state::failure_kind;

namespace {

constexpr std::size_t signature_bytes = 32;
constexpr std::size_t signature_offset = frame_header_bytes - signature_bytes;
using signature = std::array<unsigned char, signature_bytes>;

/// Returns the HMAC of `prefix` (kind and key identifier) and `body`.
signature compute_signature(std::string_view prefix, std::string_view body, const peer_key& key) {
    std::string content(prefix);
    content += body;
    signature digest{};
    unsigned int size = 0;
    [[maybe_unused]] const auto* result =
        HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
             reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data(),
             &size);
    assert(result != nullptr && size == digest.size());
    return digest;
}

std::string make_prefix(frame_kind kind, std::uint32_t key_id) {
    std::string prefix(1, static_cast<char>(kind));
    for (unsigned shift = 0; shift < 32; shift += 8) {
        prefix.push_back(static_cast<char>((key_id >> shift) & 0xFFU));
    }
    return prefix;
}

} // namespace

state::result<void> check_keys(const peer_keys& keys) {
    const auto is_short = [](const peer_key& key) {
        return key.secret.size() < min_peer_secret_bytes;
    };
    if (is_short(keys.current) || (keys.previous && is_short(*keys.previous))) {
        return state::fail(failure_kind::invalid_settings,
                           "a peer key must have at least 32 bytes");
    }
    if (keys.previous && keys.previous->id == keys.current.id) {
        return state::fail(failure_kind::invalid_settings,
                           "the current and the previous peer key have the same identifier");
    }
    return {};
}

std::string sign_frame(frame_kind kind, std::string_view body, const peer_keys& keys) {
    auto frame = make_prefix(kind, keys.current.id);
    const auto digest = compute_signature(frame, body, keys.current);
    frame.append(reinterpret_cast<const char*>(digest.data()), digest.size());
    frame += body;
    return frame;
}

state::result<std::string_view> verify_frame(frame_kind kind, std::string_view frame,
                                             const peer_keys& keys) {
    if (frame.size() < frame_header_bytes) {
        return state::fail(failure_kind::message_damaged, "the frame is shorter than its header");
    }
    const auto prefix = frame.substr(0, signature_offset);
    const auto body = frame.substr(frame_header_bytes);
    const peer_key* key = nullptr;
    if (prefix == make_prefix(kind, keys.current.id)) {
        key = &keys.current;
    } else if (keys.previous && prefix == make_prefix(kind, keys.previous->id)) {
        key = &*keys.previous;
    }
    if (key == nullptr) {
        return state::fail(failure_kind::message_unauthenticated,
                           "the frame has an unexpected kind or an unknown key identifier");
    }
    const auto digest = compute_signature(prefix, body, *key);
    if (CRYPTO_memcmp(digest.data(), frame.data() + signature_offset, digest.size()) != 0) {
        return state::fail(failure_kind::message_unauthenticated,
                           "the signature of the frame is invalid");
    }
    return body;
}

} // namespace savoryrelay::protocol
