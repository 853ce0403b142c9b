// Incremental SHA-256 for record segments.
#pragma once

#include "savoryrelay/state/digest/digest.h"

#include <openssl/evp.h>

#include <memory>
#include <string_view>

namespace savoryrelay::protocol {

/// A reusable SHA-256 computation. The algorithm is fetched once, because the
/// implicit fetch of each EVP_Digest call costs more than hashing an entry.
class sha256_stream {
public:
    sha256_stream();

    void add(std::string_view bytes);
    void add(const state::sha256_digest& digest);
    /// Returns the digest of the bytes added since the last call.
    [[nodiscard]] state::sha256_digest finish();

private:
    void reset();

    std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> m_algorithm;
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

} // namespace savoryrelay::protocol
