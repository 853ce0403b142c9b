// Ed25519 keys that sign the record. Each has an id and a validity period.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/time.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// An Ed25519 signature.
using record_signature = std::array<std::uint8_t, 64>;

/// The published half of a signing key. It is valid for segments that were written
/// within [valid_from, valid_until).
struct record_public_key {
    std::string id;
    std::array<std::uint8_t, 32> key{};
    state::wall_time valid_from{};
    state::wall_time valid_until{};
};

/// A private signing key with its id and validity period.
class record_signing_key {
public:
    /// Parses a private key in PEM, as `openssl genpkey -algorithm ed25519`
    /// writes it. Fails with `invalid_settings`.
    [[nodiscard]] static state::result<record_signing_key> from_pem(const std::string& text,
                                                                    std::string id,
                                                                    state::wall_time valid_from,
                                                                    state::wall_time valid_until);
    /// Generates a new key.
    [[nodiscard]] static state::result<record_signing_key>
    generate(std::string id, state::wall_time valid_from, state::wall_time valid_until);

    [[nodiscard]] const record_public_key& public_key() const { return m_public; }
    /// Signs `message`. Fails with `internal` on an OpenSSL error.
    [[nodiscard]] state::result<record_signature> sign(std::string_view message) const;

private:
    using key_handle = std::shared_ptr<EVP_PKEY>;
    [[nodiscard]] static state::result<record_signing_key>
    from_openssl_key(EVP_PKEY* key, record_public_key key_info);
    key_handle m_key;
    record_public_key m_public;
};

/// The signing keys of a daemon, including those before and after a key rotation.
class record_key_ring {
public:
    explicit record_key_ring(std::vector<record_signing_key> keys) : m_keys(std::move(keys)) {}

    /// Returns the key that is valid at `when`; of several, the one with the latest
    /// `valid_from`. Fails with `record_unavailable` if no key is valid.
    [[nodiscard]] state::result<const record_signing_key*> key_at(state::wall_time when) const;

private:
    std::vector<record_signing_key> m_keys;
};

/// Returns true if `signature` is a valid signature of `message` under `key`.
[[nodiscard]] bool verify_signature(const record_public_key& key, std::string_view message,
                                    std::string_view signature);

} // namespace savoryrelay::protocol
