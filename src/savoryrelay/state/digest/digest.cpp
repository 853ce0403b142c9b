// Implements the digests with OpenSSL's EVP interface.
#include "savoryrelay/state/digest/digest.h"

#include <openssl/evp.h>

#include <cassert>

namespace savoryrelay::state {

sha256_digest sha256(std::string_view content) {
    sha256_digest digest{};
    unsigned int size = 0;
    [[maybe_unused]] const int done =
        EVP_Digest(content.data(), content.size(), digest.data(), &size, EVP_sha256(), nullptr);
    assert(done == 1 && size == digest.size());
    return digest;
}

std::string to_hex(const std::uint8_t* bytes, std::size_t size) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[bytes[i] >> 4U]);
        text.push_back(digits[bytes[i] & 0x0FU]);
    }
    return text;
}

std::string sha256_hex(std::string_view content) {
    const auto digest = sha256(content);
    return to_hex(digest.data(), digest.size());
}

std::uint64_t stable_hash(std::string_view content) {
    const auto digest = sha256(content);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        value = (value << 8U) | digest[i];
    }
    return value;
}

std::uint64_t rendezvous_weight(std::uint64_t holder, std::uint64_t key) {
    // The finalizer of SplitMix64.
    std::uint64_t weight = holder + 0x9e3779b97f4a7c15ULL * key;
    weight = (weight ^ (weight >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    weight = (weight ^ (weight >> 27U)) * 0x94d049bb133111ebULL;
    return weight ^ (weight >> 31U);
}

} // namespace savoryrelay::state
