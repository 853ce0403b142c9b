// Encodes and decodes the operators' messages as JSON.
#include "savoryrelay/protocol/operators/operator_messages.h"

#include <boost/json.hpp>

#include <algorithm>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;
using state::failure_kind;

json::string enum_name_json(auto value) {
    const auto name = state::to_name(value);
    return json::string(name.data(), name.size());
}

json::object endpoint_json(const endpoint_status& row) {
    return {{"id", row.config.id.value()},
            {"deployment", row.config.deployment.value()},
            {"availability_zone", row.config.availability_zone.value()},
            {"address", row.config.address + ":" + std::to_string(row.config.port)},
            {"phase", enum_name_json(row.state.phase)},
            {"drained", row.config.drained || row.zone_drained},
            {"capacity", row.config.capacity},
            {"running", row.state.report.running},
            {"queued", row.state.report.queued},
            {"in_flight", row.state.in_flight}};
}

// Parses a JSON object. Fails with `kind` when the text is not one.
state::result<json::object> parse_object(const std::string& text, failure_kind kind) {
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return state::fail(kind, "the body is not a JSON object");
    }
    return std::move(value.as_object());
}

std::optional<std::string> string_field(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->as_string());
}

std::optional<std::uint64_t> number_field(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

} // namespace

std::string encode_status(const daemon_status& status) {
    json::array members;
    for (const auto& row : status.members) {
        members.push_back(
            json::object{{"id", row.id.value()}, {"state", enum_name_json(row.state)}});
    }
    json::array endpoints;
    for (const auto& row : status.endpoints) {
        endpoints.push_back(endpoint_json(row));
    }
    return json::serialize(json::object{{"member", status.member.value()},
                                        {"incarnation", status.incarnation},
                                        {"revision", status.revision},
                                        {"open_requests", status.open_requests},
                                        {"members", std::move(members)},
                                        {"endpoints", std::move(endpoints)}});
}

std::string encode_configuration_revision(const configuration_revision& revision) {
    return json::serialize(json::object{{"revision", revision.revision},
                                        {"operator", revision.operator_name},
                                        {"document", revision.document}});
}

state::result<configuration_revision> decode_configuration_revision(const std::string& text) {
    BOOST_LEAF_AUTO(object, parse_object(text, failure_kind::message_damaged));
    const auto revision = number_field(object, "revision");
    const auto document = string_field(object, "document");
    if (!revision || !document) {
        return state::fail(failure_kind::message_damaged,
                           "'revision' or 'document' is missing or invalid");
    }
    return configuration_revision{*revision, string_field(object, "operator").value_or(""),
                                  *document};
}

std::string encode_accepted_revision(std::uint64_t revision) {
    return json::serialize(json::object{{"revision", revision}});
}

state::result<std::uint64_t> decode_accepted_revision(const std::string& text) {
    BOOST_LEAF_AUTO(object, parse_object(text, failure_kind::message_damaged));
    const auto revision = number_field(object, "revision");
    if (!revision) {
        return state::fail(failure_kind::message_damaged, "'revision' is missing or invalid");
    }
    return *revision;
}

std::string encode_operator_failure(const state::failure& failure) {
    const auto& properties = state::properties_of(failure.kind);
    return json::serialize(json::object{
        {"error",
         json::object{{"kind", json::string_view(properties.name.data(), properties.name.size())},
                      {"detail", failure.detail},
                      {"message", failure.message()},
                      {"outcome", enum_name_json(failure.reported_outcome())}}}});
}

std::optional<state::failure> decode_operator_failure(const std::string& text) {
    json::error_code error;
    const auto value = json::parse(text, error);
    const auto* object = error ? nullptr : value.if_object();
    const auto* error_object = object == nullptr ? nullptr : object->if_contains("error");
    if (error_object == nullptr || !error_object->is_object()) {
        return std::nullopt;
    }
    const auto kind_name = string_field(error_object->as_object(), "kind");
    const auto detail = string_field(error_object->as_object(), "detail");
    const auto outcome_name = string_field(error_object->as_object(), "outcome");
    if (!kind_name || !detail) {
        return std::nullopt;
    }
    state::failure failure{failure_kind::internal, *detail, std::nullopt};
    for (int kind_value = 0; kind_value <= static_cast<int>(failure_kind::internal); ++kind_value) {
        const auto kind = static_cast<failure_kind>(kind_value);
        if (state::properties_of(kind).name == *kind_name) {
            failure.kind = kind;
        }
    }
    if (outcome_name) {
        failure.outcome = state::from_name<state::execution_outcome>(*outcome_name);
    }
    return failure;
}

std::string encode_drain_request(const drain_request& request) {
    json::object object;
    object[json::string_view(state::to_name(request.target).data(),
                             state::to_name(request.target).size())] = request.id;
    return json::serialize(object);
}

state::result<drain_request> decode_drain_request(const std::string& text) {
    BOOST_LEAF_AUTO(object, parse_object(text, failure_kind::invalid_request));
    std::optional<drain_request> request;
    for (const auto& row : state::enum_table<drain_target>::rows) {
        const auto id = string_field(object, row.name);
        if (id && !id->empty()) {
            request = drain_request{row.value, *id};
        }
    }
    if (!request || object.size() != 1) {
        return state::fail(failure_kind::invalid_request,
                           "the body must hold exactly one of 'endpoint' and "
                           "'availability_zone', with an id");
    }
    return *request;
}

} // namespace savoryrelay::protocol
