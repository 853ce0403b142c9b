// Incremental SHA-256 with OpenSSL's EVP interface.
#include "savoryrelay/protocol/record/sha256_stream.h"

#include <cassert>

namespace savoryrelay::protocol {

sha256_stream::sha256_stream()
    : m_algorithm(EVP_MD_fetch(nullptr, "SHA256", nullptr), &EVP_MD_free),
      m_context(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {
    reset();
}

void sha256_stream::reset() {
    [[maybe_unused]] const int done =
        EVP_DigestInit_ex2(m_context.get(), m_algorithm.get(), nullptr);
    assert(done == 1);
}

void sha256_stream::add(std::string_view bytes) {
    EVP_DigestUpdate(m_context.get(), bytes.data(), bytes.size());
}

void sha256_stream::add(const state::sha256_digest& digest) {
    EVP_DigestUpdate(m_context.get(), digest.data(), digest.size());
}

state::sha256_digest sha256_stream::finish() {
    state::sha256_digest digest{};
    EVP_DigestFinal_ex(m_context.get(), digest.data(), nullptr);
    reset();
    return digest;
}

} // namespace savoryrelay::protocol
