// Encodes and decodes lease rows as JSON.
#include "savoryrelay/protocol/lease/lease_text.h"

#include <boost/json.hpp>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;

boost::leaf::error_id damaged(const std::string& what) {
    return state::fail(state::failure_kind::message_damaged, "lease row: " + what);
}

} // namespace

std::string encode_lease(const state::lease_row& row) {
    json::object fields;
    fields["holder"] = row.holder.value();
    fields["incarnation"] = row.incarnation;
    fields["fencing_number"] = row.fencing_number;
    fields["duration_ms"] = row.duration.count();
    fields["released"] = row.released;
    return json::serialize(fields);
}

state::result<state::lease_row> decode_lease(const std::string& text) {
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return damaged("it is not a JSON object");
    }
    const auto& fields = value.get_object();
    const auto* holder = fields.if_contains("holder");
    const auto* released = fields.if_contains("released");
    if (holder == nullptr || !holder->is_string() || released == nullptr || !released->is_bool()) {
        return damaged("'holder' or 'released' is missing or invalid");
    }
    const auto number = [&](const char* name) -> state::result<std::uint64_t> {
        const auto* field = fields.if_contains(name);
        boost::system::error_code invalid;
        const auto read = field == nullptr ? 0 : field->to_number<std::uint64_t>(invalid);
        if (field == nullptr || invalid) {
            return damaged("'" + std::string(name) + "' is missing or invalid");
        }
        return read;
    };
    state::lease_row row;
    row.holder = state::member_id(std::string(holder->get_string()));
    row.released = released->get_bool();
    BOOST_LEAF_ASSIGN(row.incarnation, number("incarnation"));
    BOOST_LEAF_ASSIGN(row.fencing_number, number("fencing_number"));
    BOOST_LEAF_AUTO(duration, number("duration_ms"));
    row.duration = state::milliseconds(duration);
    return row;
}

state::lease_codec lease_text_codec() {
    return {.encode = encode_lease, .decode = decode_lease};
}

} // namespace savoryrelay::protocol
