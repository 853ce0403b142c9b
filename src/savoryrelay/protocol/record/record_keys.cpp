// Creates Ed25519 keys and signatures and verifies them with OpenSSL.
#include "savoryrelay/protocol/record/record_keys.h"

#include <openssl/bio.h>
#include <openssl/pem.h>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;

using context_handle = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

state::result<record_signing_key> record_signing_key::from_openssl_key(EVP_PKEY* key,
                                                                       record_public_key key_info) {
    record_signing_key signing_key;
    signing_key.m_key = key_handle(key, &EVP_PKEY_free);
    std::size_t size = key_info.key.size();
    if (key == nullptr || EVP_PKEY_get_base_id(key) != EVP_PKEY_ED25519 ||
        EVP_PKEY_get_raw_public_key(key, key_info.key.data(), &size) != 1) {
        return state::fail(failure_kind::invalid_settings,
                           "record key '" + key_info.id +
                               "' is not an Ed25519 private key in PEM; create one with "
                               "openssl genpkey -algorithm ed25519");
    }
    if (key_info.valid_until <= key_info.valid_from) {
        return state::fail(failure_kind::invalid_settings,
                           "record key '" + key_info.id + "' has an empty validity period");
    }
    signing_key.m_public = std::move(key_info);
    return signing_key;
}

state::result<record_signing_key> record_signing_key::from_pem(const std::string& text,
                                                               std::string id,
                                                               state::wall_time valid_from,
                                                               state::wall_time valid_until) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> source(
        BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), &BIO_free);
    return from_openssl_key(PEM_read_bio_PrivateKey(source.get(), nullptr, nullptr, nullptr),
                            {std::move(id), {}, valid_from, valid_until});
}

state::result<record_signing_key> record_signing_key::generate(std::string id,
                                                               state::wall_time valid_from,
                                                               state::wall_time valid_until) {
    return from_openssl_key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"),
                            {std::move(id), {}, valid_from, valid_until});
}

state::result<record_signature> record_signing_key::sign(std::string_view message) const {
    record_signature signature{};
    std::size_t size = signature.size();
    const context_handle context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, m_key.get()) != 1 ||
        EVP_DigestSign(context.get(), signature.data(), &size, as_bytes(message), message.size()) !=
            1) {
        return state::fail(failure_kind::internal, "OpenSSL could not sign a record segment");
    }
    return signature;
}

state::result<const record_signing_key*> record_key_ring::key_at(state::wall_time when) const {
    const record_signing_key* chosen = nullptr;
    for (const auto& key : m_keys) {
        const auto& candidate = key.public_key();
        const bool valid = candidate.valid_from <= when && when < candidate.valid_until;
        if (valid &&
            (chosen == nullptr || chosen->public_key().valid_from < candidate.valid_from)) {
            chosen = &key;
        }
    }
    if (chosen == nullptr) {
        return state::fail(
            failure_kind::record_unavailable,
            "no record key is valid now; add a key that is valid at the current time");
    }
    return chosen;
}

bool verify_signature(const record_public_key& key, std::string_view message,
                      std::string_view signature) {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> handle(
        EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, key.key.data(), key.key.size()),
        &EVP_PKEY_free);
    const context_handle context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    return handle != nullptr &&
           EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, handle.get()) == 1 &&
           EVP_DigestVerify(context.get(), as_bytes(signature), signature.size(), as_bytes(message),
                            message.size()) == 1;
}

} // namespace savoryrelay::protocol
