// Encodes and decodes the JSON of group rows, host claims and roll-outs.
#include "savoryrelay/protocol/group/group_document.h"

#include <boost/json.hpp>

#include <cstdint>
#include <limits>
#include <set>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;
using state::failure_kind;

constexpr std::size_t max_hosts = 16;

/// Type-checked access to the fields of one JSON object. The first error is kept, so that
/// a decoder checks only once, at the end.
class object_fields {
public:
    explicit object_fields(const std::string& text) {
        boost::system::error_code error;
        const auto value = json::parse(text, error);
        if (error || !value.is_object()) {
            m_error = "the row is not a JSON object";
            return;
        }
        m_object = value.as_object();
    }

    std::string text(std::string_view name) {
        const auto* value = m_object.if_contains(name);
        if (value == nullptr || !value->is_string()) {
            add_error(name);
            return {};
        }
        return std::string(value->as_string());
    }

    std::uint64_t number(std::string_view name, std::uint64_t max) {
        const auto* value = m_object.if_contains(name);
        if (value == nullptr || !value->is_int64() || value->as_int64() < 0 ||
            static_cast<std::uint64_t>(value->as_int64()) > max) {
            add_error(name);
            return 0;
        }
        return static_cast<std::uint64_t>(value->as_int64());
    }

    template <typename Enum>
    Enum enum_value(std::string_view name) {
        const auto value = state::from_name<Enum>(text(name));
        if (!value) {
            add_error(name);
            return Enum{};
        }
        return *value;
    }

    std::vector<state::host_id> hosts(std::string_view name) {
        const auto* value = m_object.if_contains(name);
        std::vector<state::host_id> found;
        if (value == nullptr || !value->is_array() || value->as_array().empty() ||
            value->as_array().size() > max_hosts) {
            add_error(name);
            return found;
        }
        for (const auto& host : value->as_array()) {
            if (!host.is_string()) {
                add_error(name);
                return found;
            }
            found.emplace_back(std::string(host.as_string()));
        }
        if (std::set<state::host_id>(found.begin(), found.end()).size() != found.size()) {
            add_error(name);
        }
        return found;
    }

    [[nodiscard]] state::result<void> finish() const {
        if (!m_error.empty()) {
            return state::fail(failure_kind::message_damaged, m_error);
        }
        return {};
    }

private:
    void add_error(std::string_view name) {
        if (m_error.empty()) {
            m_error = "field '" + std::string(name) + "' is missing or out of range";
        }
    }

    json::object m_object;
    std::string m_error;
};

constexpr auto max_number = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

} // namespace

std::string encode_group_row(const state::group_row& row) {
    json::array hosts;
    for (const auto& host : row.hosts) {
        hosts.emplace_back(host.value());
    }
    return json::serialize(json::object{{"id", row.id.value()},
                                        {"deployment", row.deployment.value()},
                                        {"model_version", row.model_version},
                                        {"state", state::to_name(row.state)},
                                        {"generation", row.generation},
                                        {"availability_zone", row.availability_zone.value()},
                                        {"fabric_domain", row.fabric_domain.value()},
                                        {"hosts", std::move(hosts)}});
}

state::result<state::group_row> decode_group_row(const std::string& text) {
    object_fields fields(text);
    state::group_row row;
    row.id = state::group_id(fields.text("id"));
    row.deployment = state::deployment_id(fields.text("deployment"));
    row.model_version = fields.text("model_version");
    row.state = fields.enum_value<state::group_state>("state");
    row.generation = fields.number("generation", max_number);
    row.availability_zone = state::availability_zone_id(fields.text("availability_zone"));
    row.fabric_domain = state::fabric_domain_id(fields.text("fabric_domain"));
    row.hosts = fields.hosts("hosts");
    BOOST_LEAF_CHECK(fields.finish());
    return row;
}

std::string encode_host_claim(const state::host_claim& claim) {
    return json::serialize(
        json::object{{"host", claim.host.value()}, {"group", claim.group.value()}});
}

state::result<state::host_claim> decode_host_claim(const std::string& text) {
    object_fields fields(text);
    state::host_claim claim{state::host_id(fields.text("host")),
                            state::group_id(fields.text("group"))};
    BOOST_LEAF_CHECK(fields.finish());
    return claim;
}

std::string encode_rollout_row(const state::rollout_row& row) {
    return json::serialize(json::object{{"deployment", row.deployment.value()},
                                        {"previous_version", row.previous_version},
                                        {"version", row.version},
                                        {"state", state::to_name(row.state)},
                                        {"failed_groups", row.failed_groups}});
}

state::result<state::rollout_row> decode_rollout_row(const std::string& text) {
    object_fields fields(text);
    state::rollout_row row;
    row.deployment = state::deployment_id(fields.text("deployment"));
    row.previous_version = fields.text("previous_version");
    row.version = fields.text("version");
    row.state = fields.enum_value<state::rollout_state>("state");
    row.failed_groups = static_cast<std::uint32_t>(
        fields.number("failed_groups", std::numeric_limits<std::uint32_t>::max()));
    BOOST_LEAF_CHECK(fields.finish());
    return row;
}

} // namespace savoryrelay::protocol
