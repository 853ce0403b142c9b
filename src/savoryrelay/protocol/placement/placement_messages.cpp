// Encodes questions as URL queries and answers as JSON.
#include "savoryrelay/protocol/placement/placement_messages.h"

#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;
using state::failure_kind;

/// The parameters that are numbers, and the members of a call that they set.
struct number_parameter {
    std::string_view name;
    double state::serving_call::*member;
};
constexpr std::array number_parameters{
    number_parameter{"prompt_tokens", &state::serving_call::prompt_tokens},
    number_parameter{"max_answer_tokens", &state::serving_call::max_answer_tokens},
    number_parameter{"expected_answer_tokens", &state::serving_call::expected_answer_tokens},
};
struct text_parameter {
    std::string_view name;
    std::string state::serving_call::*member;
};
constexpr std::array text_parameters{
    text_parameter{"host", &state::serving_call::host},
    text_parameter{"path", &state::serving_call::path},
    text_parameter{"key", &state::serving_call::key},
    text_parameter{"model", &state::serving_call::model},
};
constexpr std::string_view deadline_parameter = "deadline_ms";

std::optional<double> read_number(const std::string& text) {
    constexpr double max_number = 1e9;
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    // The comparison is false for a value that is not a number.
    return is_number && number >= 0 && number <= max_number ? std::optional(number) : std::nullopt;
}

json::string name_of(auto value) {
    const auto name = state::to_name(value);
    return json::string(name.data(), name.size());
}

json::object to_json(const state::placement_candidate& candidate) {
    return {{"endpoint", candidate.id.value()},
            {"availability_zone", candidate.availability_zone.value()},
            {"verdict", name_of(candidate.verdict)},
            {"writing", candidate.load.writing},
            {"waiting", candidate.load.waiting},
            {"waiting_prompt_tokens", candidate.load.waiting_prompt_tokens},
            {"time_factor", candidate.time_factor},
            {"first_event_ms", candidate.first_event_ms},
            {"event_gap_ms", candidate.event_gap_ms}};
}

json::object to_json(const state::service_placement& service) {
    json::array candidates;
    for (const auto& candidate : service.candidates) {
        candidates.push_back(to_json(candidate));
    }
    return {{"service", service.service},
            {"weight", service.weight},
            {"endpoint", service.endpoint},
            {"failure", service.failure},
            {"first_event_ms", service.first_event_ms},
            {"candidates", std::move(candidates)}};
}

} // namespace

std::string encode_placement_query(const state::serving_call& call) {
    std::string target(placement_path);
    char separator = '?';
    const auto append = [&](std::string_view name, std::string_view value) {
        target += std::exchange(separator, '&');
        target += name;
        target += '=';
        target += boost::urls::encode(value, boost::urls::unreserved_chars);
    };
    for (const auto& parameter : text_parameters) {
        if (const auto& value = call.*parameter.member; !value.empty()) {
            append(parameter.name, value);
        }
    }
    for (const auto& parameter : number_parameters) {
        if (const double value = call.*parameter.member; value > 0) {
            append(parameter.name, std::to_string(std::llround(value)));
        }
    }
    if (call.deadline) {
        append(deadline_parameter, std::to_string(call.deadline->count()));
    }
    return target;
}

state::result<state::serving_call> decode_placement_query(std::string_view target) {
    const auto parsed = boost::urls::parse_origin_form(target);
    if (parsed.has_error()) {
        return state::fail(failure_kind::invalid_request, "the target is no path with a query");
    }
    state::serving_call call;
    std::set<std::string> seen;
    for (const auto& parameter : parsed->params()) {
        const std::string name(parameter.key);
        if (!seen.insert(name).second) {
            return state::fail(failure_kind::invalid_request, "'" + name + "' is given twice");
        }
        const auto has_name = [&](const auto& row) { return row.name == name; };
        if (const auto* text =
                std::find_if(text_parameters.begin(), text_parameters.end(), has_name);
            text != text_parameters.end()) {
            call.*text->member = parameter.value;
            continue;
        }
        const auto number = read_number(parameter.value);
        const auto* row =
            std::find_if(number_parameters.begin(), number_parameters.end(), has_name);
        if (!number || (row == number_parameters.end() && name != deadline_parameter)) {
            return state::fail(failure_kind::invalid_request,
                               "'" + name + "' is unknown or not a number from 0 to 1,000,000,000");
        }
        if (row != number_parameters.end()) {
            call.*row->member = *number;
        } else {
            call.deadline = state::milliseconds(std::llround(*number));
        }
    }
    if (call.host.empty() || call.path.empty()) {
        return state::fail(failure_kind::invalid_request, "'host' and 'path' are needed");
    }
    return call;
}

std::string encode_placement(const state::placement_report& report) {
    json::array services;
    for (const auto& service : report.services) {
        services.push_back(to_json(service));
    }
    return json::serialize(json::object{{"host", report.host},
                                        {"configuration", report.configuration},
                                        {"route", report.route},
                                        {"customer", report.customer},
                                        {"refusal", report.refusal},
                                        {"services", std::move(services)}});
}

} // namespace savoryrelay::protocol
