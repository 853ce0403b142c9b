// Builds the names of the record's rows and objects.
#include "savoryrelay/state/record/record_entry.h"

namespace savoryrelay::state {
namespace {

// 16 hex digits (64 bits) are enough to distinguish the few thousand customers of a
// fleet.
constexpr std::size_t customer_digits = 16;
// With ten digits, names sort in the order of the segment numbers, for up to 10^10
// segments per chain.
constexpr std::size_t number_digits = 10;

std::string segment_base_name(const std::string& chain, std::uint64_t number) {
    const auto digits = std::to_string(number);
    const auto padding = digits.size() < number_digits ? number_digits - digits.size() : 0;
    return std::string(record_prefix) + chain + "/" + std::string(padding, '0') + digits;
}

} // namespace

std::string anchor_key(const std::string& chain) {
    return "anchor/" + chain;
}

std::string segment_object(const std::string& chain, std::uint64_t number) {
    return segment_base_name(chain, number) + ".segment";
}

std::string content_suffix(const customer_id& customer) {
    return "." + sha256_hex(customer.value()).substr(0, customer_digits) + ".content";
}

std::string content_object(const std::string& chain, std::uint64_t number,
                           const customer_id& customer) {
    return segment_base_name(chain, number) + content_suffix(customer);
}

} // namespace savoryrelay::state
