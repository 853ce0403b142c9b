// Encodes and decodes booking rows as JSON. Customers, keys, content types and bodies
// may contain bytes that are not UTF-8, so they are stored in hexadecimal.
#include "savoryrelay/protocol/booking/booking_text.h"

#include "savoryrelay/state/digest/digest.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;

std::string to_hex_text(const std::string& bytes) {
    return state::to_hex(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::optional<std::string> from_hex_text(std::string_view text) {
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const auto* digits = text.data() + i;
        const auto [end, error] = std::from_chars(digits, digits + 2, value, 16);
        if (error != std::errc{} || end != digits + 2) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

boost::leaf::error_id damaged(std::string_view field) {
    return state::fail(state::failure_kind::message_damaged,
                       "booking row: '" + std::string(field) + "' is missing or invalid");
}

state::result<std::string> read_text(const json::object& fields, std::string_view name) {
    const auto* value = fields.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return damaged(name);
    }
    return std::string(value->get_string());
}

state::result<std::string> read_bytes(const json::object& fields, std::string_view name) {
    BOOST_LEAF_AUTO(text, read_text(fields, name));
    auto bytes = from_hex_text(text);
    if (!bytes) {
        return damaged(name);
    }
    return std::move(*bytes);
}

template <typename Number>
state::result<Number> read_number(const json::object& fields, std::string_view name) {
    const auto* value = fields.if_contains(name);
    boost::system::error_code error;
    const auto number = value == nullptr ? Number{} : value->to_number<Number>(error);
    if (value == nullptr || error) {
        return damaged(name);
    }
    return number;
}

} // namespace

std::string encode_booking(const state::booking_row& row) {
    json::object fields;
    fields["state"] = std::string(state::to_name(row.state));
    fields["customer_hex"] = to_hex_text(row.id.customer.value());
    fields["key_hex"] = to_hex_text(row.id.key);
    fields["deployment"] = row.deployment.value();
    fields["body_digest"] = row.body_digest;
    fields["owner"] = row.owner.member.value();
    fields["incarnation"] = row.owner.incarnation;
    fields["attempt"] = row.attempt;
    if (row.state == state::booking_state::ran) {
        fields["answer_status"] = row.answer.status;
        fields["answer_type_hex"] = to_hex_text(row.answer.content_type);
        fields["answer_body_hex"] = to_hex_text(row.answer.body);
    }
    return json::serialize(fields);
}

state::result<state::booking_row> decode_booking(const std::string& text) {
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return damaged("object");
    }
    const auto& fields = value.get_object();

    state::booking_row row;
    BOOST_LEAF_AUTO(state_name, read_text(fields, "state"));
    const auto state_value = state::from_name<state::booking_state>(state_name);
    if (!state_value) {
        return damaged("state");
    }
    row.state = *state_value;
    BOOST_LEAF_AUTO(customer, read_bytes(fields, "customer_hex"));
    row.id.customer = state::customer_id(std::move(customer));
    BOOST_LEAF_ASSIGN(row.id.key, read_bytes(fields, "key_hex"));
    BOOST_LEAF_AUTO(deployment, read_text(fields, "deployment"));
    row.deployment = state::deployment_id(std::move(deployment));
    BOOST_LEAF_ASSIGN(row.body_digest, read_text(fields, "body_digest"));
    BOOST_LEAF_AUTO(owner, read_text(fields, "owner"));
    row.owner.member = state::member_id(std::move(owner));
    BOOST_LEAF_ASSIGN(row.owner.incarnation, read_number<std::uint64_t>(fields, "incarnation"));
    BOOST_LEAF_ASSIGN(row.attempt, read_number<std::uint32_t>(fields, "attempt"));
    if (row.state == state::booking_state::ran) {
        BOOST_LEAF_ASSIGN(row.answer.status, read_number<int>(fields, "answer_status"));
        BOOST_LEAF_ASSIGN(row.answer.content_type, read_bytes(fields, "answer_type_hex"));
        BOOST_LEAF_ASSIGN(row.answer.body, read_bytes(fields, "answer_body_hex"));
    }
    return row;
}

state::booking_codec booking_text_codec() {
    return {.encode = encode_booking, .decode = decode_booking};
}

} // namespace savoryrelay::protocol
