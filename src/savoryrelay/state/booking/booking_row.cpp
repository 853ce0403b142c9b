// Builds the keys of booking rows and the idempotency keys for services.
#include "savoryrelay/state/booking/booking_row.h"

#include "savoryrelay/state/digest/digest.h"

#include <string_view>

namespace savoryrelay::state {
namespace {

bool is_unescaped(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

std::string percent_encode(std::string_view text) {
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (is_unescaped(c)) {
            encoded.push_back(c);
        } else {
            const auto byte = static_cast<std::uint8_t>(c);
            encoded += '%' + to_hex(&byte, 1);
        }
    }
    return encoded;
}

} // namespace

std::uint32_t partition_of(const booking_id& id) {
    return static_cast<std::uint32_t>(stable_hash(service_key(id)) % booking_partitions);
}

std::string partition_prefix(std::uint32_t partition) {
    return "booking/" + std::to_string(partition) + "/";
}

std::string row_key(const booking_id& id) {
    return partition_prefix(partition_of(id)) + percent_encode(id.customer.value()) + "/" +
           percent_encode(id.key);
}

std::string service_key(const booking_id& id) {
    return percent_encode(id.customer.value()) + ":" + percent_encode(id.key);
}

} // namespace savoryrelay::state
