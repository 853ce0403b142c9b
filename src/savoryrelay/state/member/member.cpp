// Encoded sizes of updates and short hashes of member identifiers.
#include "savoryrelay/state/member/member.h"

#include "savoryrelay/state/digest/digest.h"

namespace savoryrelay::state {

std::uint32_t member_hash(const member_id& id) {
    return static_cast<std::uint32_t>(stable_hash(id.value()));
}

std::size_t encoded_bytes(const member_update& update) {
    constexpr std::size_t fixed = 1 + 1 + 2 + 8 + 1; // two lengths, port, incarnation, state
    return fixed + update.id.value().size() + update.address.ip.size();
}

std::size_t encoded_bytes(const topic_update& update) {
    constexpr std::size_t fixed = 1 + 1 + 1 + 8; // topic, two lengths, version
    return fixed + update.key.size() + update.value.size();
}

} // namespace savoryrelay::state
