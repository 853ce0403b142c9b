// Defines strongly typed string identifiers, so that a host's identifier cannot
// be passed where an endpoint's identifier is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace savoryrelay::state {

/// A string identifier with a distinct type for each kind of object. `Tag` is an
/// empty struct that makes the type unique.
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : m_value(std::move(value)) {}

    /// Returns the identifier's text.
    [[nodiscard]] const std::string& value() const { return m_value; }

    /// Returns true when no identifier has been assigned.
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    // Not defaulted, because clang-tidy 14 reports the body of a defaulted <=>
    // (modernize-use-nullptr) in each source file that orders identifiers.
    friend std::strong_ordering operator<=>(const identifier& left, const identifier& right) {
        return left.m_value <=> right.m_value;
    }
    friend bool operator==(const identifier&, const identifier&) = default;

    friend std::ostream& operator<<(std::ostream& out, const identifier& id) {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using availability_zone_id = identifier<struct availability_zone_id_tag>;
using customer_id = identifier<struct customer_id_tag>;
using deployment_id = identifier<struct deployment_id_tag>;
using endpoint_id = identifier<struct endpoint_id_tag>;
using fabric_domain_id = identifier<struct fabric_domain_id_tag>;
using group_id = identifier<struct group_id_tag>;
using host_id = identifier<struct host_id_tag>;
using member_id = identifier<struct member_id_tag>;
using request_id = identifier<struct request_id_tag>;

} // namespace savoryrelay::state

/// Hashes an identifier by its text.
template <typename Tag>
struct std::hash<savoryrelay::state::identifier<Tag>> {
    std::size_t operator()(const savoryrelay::state::identifier<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value());
    }
};
