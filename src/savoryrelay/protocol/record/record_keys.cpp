// Ed25519 by OpenSSL.
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

state::result<record_signing_key> record_signing_key::wrap(EVP_PKEY* key,
                                                           record_public_key published) {
    record_signing_key wrapped;
    wrapped.m_key = key_handle(key, &EVP_PKEY_free);
    std::size_t size = published.key.size();
    if (key == nullptr || EVP_PKEY_get_base_id(key) != EVP_PKEY_ED25519 ||
        EVP_PKEY_get_raw_public_key(key, published.key.data(), &size) != 1) {
        return state::fail(failure_kind::invalid_settings,
                           "record key '" + published.id +
                               "' is not an Ed25519 private key in PEM; make one with "
                               "openssl genpkey -algorithm ed25519");
    }
    if (published.valid_until <= published.valid_from) {
        return state::fail(failure_kind::invalid_settings,
                           "record key '" + published.id + "' has an empty validity period");
    }
    wrapped.m_public = std::move(published);
    return wrapped;
}

state::result<record_signing_key> record_signing_key::from_pem(const std::string& text,
                                                               std::string id,
                                                               state::wall_time valid_from,
                                                               state::wall_time valid_until) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> source(
        BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), &BIO_free);
    return wrap(PEM_read_bio_PrivateKey(source.get(), nullptr, nullptr, nullptr),
                {std::move(id), {}, valid_from, valid_until});
}

state::result<record_signing_key> record_signing_key::generate(std::string id,
                                                               state::wall_time valid_from,
                                                               state::wall_time valid_until) {
    return wrap(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"),
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
        const auto& period = key.public_key();
        const bool valid = period.valid_from <= when && when < period.valid_until;
        if (valid && (chosen == nullptr || chosen->public_key().valid_from < period.valid_from)) {
            chosen = &key;
        }
    }
    if (chosen == nullptr) {
        return state::fail(failure_kind::record_unavailable,
                           "no record key is valid now; add a key whose period covers the present");
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
