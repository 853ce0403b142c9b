// Encodes and decodes the platform's messages as JSON.
#include "savoryrelay/protocol/platform/platform_messages.h"

#include <boost/json.hpp>

namespace savoryrelay::protocol {
namespace {

namespace json = boost::json;
using state::failure_kind;

/// Parses `text` and returns `read(object)`. Boost.JSON throws when a field is missing or
/// has another type; the exception is converted into `message_damaged`.
template <typename Read>
auto read_object(const std::string& text, Read read)
    -> state::result<decltype(read(std::declval<const json::object&>()))> {
    try {
        return read(json::parse(text).as_object());
    } catch (const std::exception& error) {
        return state::fail(failure_kind::message_damaged,
                           std::string("platform message: ") + error.what());
    }
}

std::string to_string(const json::value& value) {
    return std::string(value.as_string());
}

std::vector<std::string> to_strings(const json::value& value) {
    std::vector<std::string> texts;
    for (const auto& each : value.as_array()) {
        texts.push_back(to_string(each));
    }
    return texts;
}

json::array to_json_array(const std::vector<std::string>& texts) {
    json::array values;
    for (const auto& text : texts) {
        values.emplace_back(text);
    }
    return values;
}

} // namespace

std::string encode_transaction(const state::table_transaction& transaction) {
    json::array checks;
    for (const auto& check : transaction.checks) {
        checks.push_back(json::object{{"key", check.key}, {"version", check.version}});
    }
    json::array puts;
    for (const auto& put : transaction.puts) {
        puts.push_back(json::object{{"key", put.key}, {"value", put.value}});
    }
    return json::serialize(json::object{{"write_key", transaction.write_key},
                                        {"checks", checks},
                                        {"puts", puts},
                                        {"deletes", to_json_array(transaction.deletes)}});
}

state::result<state::table_transaction> decode_transaction(const std::string& text) {
    return read_object(text, [](const json::object& object) {
        state::table_transaction transaction;
        transaction.write_key = to_string(object.at("write_key"));
        for (const auto& each : object.at("checks").as_array()) {
            const auto& check = each.as_object();
            transaction.checks.push_back(
                {to_string(check.at("key")), check.at("version").to_number<std::uint64_t>()});
        }
        for (const auto& each : object.at("puts").as_array()) {
            const auto& put = each.as_object();
            transaction.puts.push_back({to_string(put.at("key")), to_string(put.at("value"))});
        }
        transaction.deletes = to_strings(object.at("deletes"));
        return transaction;
    });
}

std::string encode_transaction_result(const std::optional<state::transaction_result>& result) {
    json::object object{{"known", result.has_value()}};
    if (result) {
        object["committed"] = result->committed;
        object["version"] = result->version;
        object["conflicts"] = to_json_array(result->conflicts);
    }
    return json::serialize(object);
}

state::result<std::optional<state::transaction_result>>
decode_transaction_result(const std::string& text) {
    return read_object(text, [](const json::object& object) {
        std::optional<state::transaction_result> result;
        if (object.at("known").as_bool()) {
            result = state::transaction_result{object.at("committed").as_bool(),
                                               object.at("version").to_number<std::uint64_t>(),
                                               to_strings(object.at("conflicts"))};
        }
        return result;
    });
}

std::string encode_rows(const std::vector<state::table_row>& rows) {
    json::array values;
    for (const auto& row : rows) {
        values.push_back(
            json::object{{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    return json::serialize(json::object{{"rows", values}});
}

state::result<std::vector<state::table_row>> decode_rows(const std::string& text) {
    return read_object(text, [](const json::object& object) {
        std::vector<state::table_row> rows;
        for (const auto& each : object.at("rows").as_array()) {
            const auto& row = each.as_object();
            rows.push_back({to_string(row.at("key")), to_string(row.at("value")),
                            row.at("version").to_number<std::uint64_t>()});
        }
        return rows;
    });
}

std::string encode_object_names(const std::vector<std::string>& names) {
    return json::serialize(json::object{{"names", to_json_array(names)}});
}

state::result<std::vector<std::string>> decode_object_names(const std::string& text) {
    return read_object(text,
                       [](const json::object& object) { return to_strings(object.at("names")); });
}

std::string encode_hosts(const std::vector<state::platform_host>& hosts) {
    json::array values;
    for (const auto& host : hosts) {
        values.push_back(json::object{{"id", host.id.value()},
                                      {"availability_zone", host.availability_zone.value()},
                                      {"fabric_domain", host.fabric_domain.value()},
                                      {"accelerators", host.accelerators},
                                      {"entry_host", host.entry_host},
                                      {"leaving", host.leaving}});
    }
    return json::serialize(json::object{{"hosts", values}});
}

state::result<std::vector<state::platform_host>> decode_hosts(const std::string& text) {
    return read_object(text, [](const json::object& object) {
        std::vector<state::platform_host> hosts;
        for (const auto& each : object.at("hosts").as_array()) {
            const auto& host = each.as_object();
            hosts.push_back({state::host_id(to_string(host.at("id"))),
                             state::availability_zone_id(to_string(host.at("availability_zone"))),
                             state::fabric_domain_id(to_string(host.at("fabric_domain"))),
                             host.at("accelerators").to_number<std::uint32_t>(),
                             host.at("entry_host").as_bool(), host.at("leaving").as_bool()});
        }
        return hosts;
    });
}

} // namespace savoryrelay::protocol
