// Converts record types to and from JSON with Boost.JSON.
#include "savoryrelay/protocol/record/record_json.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;
namespace json = boost::json;

constexpr int hex_base = 16;

template <std::size_t Size>
bool from_hex(std::string_view text, std::array<std::uint8_t, Size>& bytes) {
    if (text.size() != 2 * Size) {
        return false;
    }
    for (std::size_t i = 0; i < Size; ++i) {
        const auto* begin = text.data() + 2 * i;
        const auto read = std::from_chars(begin, begin + 2, bytes[i], hex_base);
        if (read.ec != std::errc{} || read.ptr != begin + 2) {
            return false;
        }
    }
    return true;
}

std::string digest_text(const state::sha256_digest& digest) {
    return state::to_hex(digest.data(), digest.size());
}

boost::leaf::error_id damaged_error(const std::string& what) {
    return state::fail(failure_kind::record_damaged, what);
}

// Parses `text` as a JSON object and returns its array `name`.
state::result<json::array> parse_array(const std::string& text, const char* name) {
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        return damaged_error(std::string("the list of ") + name + " is not a JSON object");
    }
    const auto* rows = value.as_object().if_contains(name);
    if (rows == nullptr || !rows->is_array()) {
        return damaged_error(std::string("'") + name + "' is not a JSON array");
    }
    return rows->as_array();
}

std::string text_field(const json::object& object, const char* name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

json::object anchor_to_json(const state::record_anchor& anchor) {
    return {{"chain", anchor.chain},
            {"segment", anchor.segment},
            {"digest", digest_text(anchor.digest)},
            {"closed", anchor.closed}};
}

state::result<state::record_anchor> anchor_from_json(const json::value& value) {
    if (!value.is_object()) {
        return damaged_error("an anchor is not a JSON object");
    }
    const auto& object = value.as_object();
    state::record_anchor anchor;
    anchor.chain = text_field(object, "chain");
    const auto* segment = object.if_contains("segment");
    const auto* closed = object.if_contains("closed");
    if (anchor.chain.empty() || segment == nullptr || closed == nullptr || !closed->is_bool() ||
        !(segment->is_int64() || segment->is_uint64()) ||
        !from_hex(text_field(object, "digest"), anchor.digest)) {
        return damaged_error("an anchor needs valid values of chain, segment, digest and closed");
    }
    anchor.segment = segment->to_number<std::uint64_t>();
    anchor.closed = closed->as_bool();
    return anchor;
}

} // namespace

std::string to_utc_text(state::wall_time time) {
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return text.data();
}

state::result<state::wall_time> from_utc_text(const std::string& text) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    unsigned millisecond = 0;
    const int fields = std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u.%3uZ", &year, &month,
                                   &day, &hour, &minute, &second, &millisecond);
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    constexpr int date_fields = 3;
    constexpr int second_fields = 6;
    if ((fields != date_fields && fields < second_fields) || !date.ok() || hour > 23 ||
        minute > 59 || second > 59) {
        return state::fail(failure_kind::invalid_request,
                           "'" + text + "' is not a time such as 2026-12-04T08:30:00Z");
    }
    return state::wall_time(std::chrono::sys_days(date)) + std::chrono::hours(hour) +
           std::chrono::minutes(minute) + std::chrono::seconds(second) +
           state::milliseconds(millisecond);
}

std::string encode_anchor(const state::record_anchor& anchor) {
    return json::serialize(anchor_to_json(anchor));
}

state::result<state::record_anchor> decode_anchor(const std::string& text) {
    json::error_code error;
    const auto value = json::parse(text, error);
    if (error) {
        return damaged_error("an anchor is not valid JSON");
    }
    return anchor_from_json(value);
}

std::string encode_anchors(const std::vector<state::record_anchor>& anchors) {
    json::array rows;
    for (const auto& anchor : anchors) {
        rows.emplace_back(anchor_to_json(anchor));
    }
    return json::serialize(json::object{{"anchors", std::move(rows)}});
}

state::result<std::vector<state::record_anchor>> decode_anchors(const std::string& text) {
    BOOST_LEAF_AUTO(rows, parse_array(text, "anchors"));
    std::vector<state::record_anchor> anchors;
    for (const auto& row : rows) {
        BOOST_LEAF_AUTO(anchor, anchor_from_json(row));
        anchors.push_back(std::move(anchor));
    }
    return anchors;
}

std::string encode_public_keys(const std::vector<record_public_key>& keys) {
    json::array rows;
    for (const auto& key : keys) {
        rows.emplace_back(
            json::object{{"id", key.id},
                         {"public_key", state::to_hex(key.key.data(), key.key.size())},
                         {"valid_from", to_utc_text(key.valid_from)},
                         {"valid_until", to_utc_text(key.valid_until)}});
    }
    return json::serialize(json::object{{"keys", std::move(rows)}});
}

state::result<std::vector<record_public_key>> decode_public_keys(const std::string& text) {
    BOOST_LEAF_AUTO(rows, parse_array(text, "keys"));
    std::vector<record_public_key> keys;
    for (const auto& row : rows) {
        if (!row.is_object()) {
            return damaged_error("a public key is not a JSON object");
        }
        record_public_key key;
        key.id = text_field(row.as_object(), "id");
        if (key.id.empty() || !from_hex(text_field(row.as_object(), "public_key"), key.key)) {
            return damaged_error(
                "a public key needs an id and a public_key of 64 hexadecimal digits");
        }
        BOOST_LEAF_ASSIGN(key.valid_from, from_utc_text(text_field(row.as_object(), "valid_from")));
        BOOST_LEAF_ASSIGN(key.valid_until,
                          from_utc_text(text_field(row.as_object(), "valid_until")));
        keys.push_back(std::move(key));
    }
    return keys;
}

json::object entry_to_json(const state::segment_header& header, const state::record_entry& entry) {
    json::object object{{"chain", header.chain},
                        {"segment", header.number},
                        {"entry", entry.sequence},
                        {"kind", state::to_name(entry.kind)},
                        {"at", to_utc_text(entry.at)}};
    const auto add = [&](const char* name, const std::string& value) {
        if (!value.empty()) {
            object[name] = value;
        }
    };
    add("actor", entry.actor);
    add("customer", entry.customer.value());
    add("deployment", entry.deployment.value());
    add("request", entry.request.value());
    add("action", entry.action);
    add("subject", entry.subject);
    if (entry.from_revision != 0 || entry.to_revision != 0) {
        object["from_revision"] = entry.from_revision;
        object["to_revision"] = entry.to_revision;
    }
    if (entry.outcome) {
        object["outcome"] = state::to_name(*entry.outcome);
    }
    add("result", entry.result);
    if (entry.content_digest) {
        object["content_digest"] = digest_text(*entry.content_digest);
        object["content_bytes"] = entry.content_size;
    }
    return object;
}

json::object finding_to_json(const record_finding& finding) {
    json::object object{{"damage", state::to_name(finding.damage)}, {"chain", finding.chain}};
    if (finding.segment != 0) {
        object["segment"] = finding.segment;
    }
    if (finding.entry != 0) {
        object["entry"] = finding.entry;
    }
    object["detail"] = finding.detail;
    object["remedy"] = remedy_of(finding.damage);
    return object;
}

json::object summary_to_json(const record_summary& summary) {
    return {{"chains", summary.chains},
            {"open_chains", summary.open_chains},
            {"segments", summary.segments},
            {"entries", summary.entries},
            {"unanchored_segments", summary.unanchored_segments},
            {"content_parts", summary.content_parts},
            {"absent_parts", summary.absent_parts},
            {"findings", summary.findings}};
}

} // namespace savoryrelay::protocol
