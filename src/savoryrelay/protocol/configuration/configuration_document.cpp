// Reads and checks the configuration document.
#include "savoryrelay/protocol/configuration/configuration_document.h"

#include "savoryrelay/protocol/settings/yaml_fields.h"

#include <algorithm>
#include <set>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_hosts_per_replica = 64;
constexpr std::uint64_t max_replicas = 10'000;
constexpr std::uint64_t max_capacity = 65'536;
constexpr std::uint64_t max_timeout_ms = 3'600'000;
constexpr std::size_t digest_digits = 64;

state::result<state::availability_zone_config> read_zone(yaml_fields fields) {
    state::availability_zone_config zone;
    zone.id = state::availability_zone_id(fields.required_text("id"));
    zone.region = fields.text("region", "default");
    zone.drained = fields.flag("drained", false);
    BOOST_LEAF_CHECK(fields.finish());
    return zone;
}

state::result<state::customer_config> read_customer(yaml_fields fields) {
    state::customer_config customer;
    customer.id = state::customer_id(fields.required_text("id"));
    customer.token_digest = fields.required_text("token_digest");
    if (customer.token_digest.size() != digest_digits) {
        fields.add_problem("'" + fields.path_of("token_digest") +
                           "' must be the SHA-256 of the token in 64 hexadecimal digits");
    }
    customer.weight = fields.real("weight", 1.0, 0.001, 1000.0);
    BOOST_LEAF_CHECK(fields.finish());
    return customer;
}

state::result<state::deployment_config> read_deployment(yaml_fields fields) {
    state::deployment_config row;
    row.id = state::deployment_id(fields.required_text("id"));
    row.kind = fields.choice("kind", row.kind);
    row.model = fields.text("model", "");
    row.version = fields.text("version", "");
    row.adapters = fields.text_list("adapters");
    row.repeat = fields.choice("repeat", row.repeat);
    row.fencing = fields.choice("fencing", row.fencing);
    row.record = fields.choice("record", row.record);
    for (auto& customer : fields.text_list("customers")) {
        row.customers.emplace_back(std::move(customer));
    }
    const auto number_32 = [&](std::string_view name, std::uint32_t fallback, std::uint64_t low,
                               std::uint64_t high) {
        return static_cast<std::uint32_t>(fields.number(name, fallback, low, high));
    };
    row.hosts_per_replica = number_32("hosts_per_replica", 1, 1, max_hosts_per_replica);
    row.replicas = number_32("replicas", 1, 0, max_replicas);
    row.max_surge = number_32("max_surge", row.max_surge, 0, max_replicas);
    row.max_unavailable = number_32("max_unavailable", row.max_unavailable, 0, max_replicas);
    row.cold_allowance = number_32("cold_allowance", row.cold_allowance, 1, max_capacity);
    const auto duration = [&](std::string_view name, state::milliseconds fallback) {
        const auto count = static_cast<std::uint64_t>(fallback.count());
        return state::milliseconds(fields.number(name, count, 1, max_timeout_ms));
    };
    row.first_token_timeout = duration("first_token_timeout_ms", row.first_token_timeout);
    row.token_timeout = duration("token_timeout_ms", row.token_timeout);
    if (row.kind == state::deployment_kind::model && row.model.empty()) {
        fields.add_problem("'" + fields.path_of("model") + "' is required for a model deployment");
    }
    if (row.max_surge == 0 && row.max_unavailable == 0) {
        fields.add_problem("'" + fields.path_of("max_surge") +
                           "' and max_unavailable are both 0, so a roll-out could never progress");
    }
    BOOST_LEAF_CHECK(fields.finish());
    return row;
}

state::result<state::endpoint_config> read_endpoint(yaml_fields fields) {
    state::endpoint_config row;
    row.id = state::endpoint_id(fields.required_text("id"));
    row.deployment = state::deployment_id(fields.required_text("deployment"));
    row.availability_zone = state::availability_zone_id(fields.required_text("availability_zone"));
    row.host = state::host_id(fields.text("host", ""));
    row.address = fields.required_text("address");
    row.port = static_cast<std::uint16_t>(fields.number("port", 0, 1, max_port));
    row.capacity =
        static_cast<std::uint32_t>(fields.number("capacity", row.capacity, 1, max_capacity));
    row.drained = fields.flag("drained", false);
    BOOST_LEAF_CHECK(fields.finish());
    return row;
}

template <typename Row, typename Read>
state::result<std::vector<Row>> read_rows(yaml_fields& fields, std::string_view name, Read read) {
    std::vector<Row> rows;
    for (auto& each : fields.mappings(name)) {
        BOOST_LEAF_AUTO(row, read(std::move(each)));
        const auto same = [&](const Row& other) { return other.id == row.id; };
        if (std::any_of(rows.begin(), rows.end(), same)) {
            return state::fail(failure_kind::invalid_configuration, std::string(name) +
                                                                        " has two rows with id '" +
                                                                        row.id.value() + "'");
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

template <typename Row, typename Id>
bool contains(const std::vector<Row>& rows, const Id& id) {
    return std::any_of(rows.begin(), rows.end(), [&](const Row& row) { return row.id == id; });
}

state::result<void> check_references(const state::configuration& document) {
    const auto unknown_reference = [](const std::string& where, const std::string& what) {
        return state::fail(failure_kind::invalid_configuration,
                           where + " refers to the unknown " + what);
    };
    for (const auto& endpoint : document.endpoints) {
        const auto where = "endpoint '" + endpoint.id.value() + "'";
        if (!contains(document.deployments, endpoint.deployment)) {
            return unknown_reference(where, "deployment '" + endpoint.deployment.value() + "'");
        }
        if (!contains(document.availability_zones, endpoint.availability_zone)) {
            return unknown_reference(where, "availability zone '" +
                                                endpoint.availability_zone.value() + "'");
        }
    }
    for (const auto& deployment : document.deployments) {
        for (const auto& customer : deployment.customers) {
            if (!contains(document.customers, customer)) {
                return unknown_reference("deployment '" + deployment.id.value() + "'",
                                         "customer '" + customer.value() + "'");
            }
        }
    }
    return {};
}

} // namespace

state::result<state::configuration> read_configuration(const std::string& text,
                                                       std::uint64_t revision) {
    BOOST_LEAF_AUTO(node, parse_yaml(text, failure_kind::invalid_configuration));
    yaml_fields fields(node, "", failure_kind::invalid_configuration);

    state::configuration document;
    document.revision = revision;
    BOOST_LEAF_ASSIGN(document.availability_zones, read_rows<state::availability_zone_config>(
                                                       fields, "availability_zones", read_zone));
    BOOST_LEAF_ASSIGN(document.customers,
                      read_rows<state::customer_config>(fields, "customers", read_customer));
    BOOST_LEAF_ASSIGN(document.deployments,
                      read_rows<state::deployment_config>(fields, "deployments", read_deployment));
    BOOST_LEAF_ASSIGN(document.endpoints,
                      read_rows<state::endpoint_config>(fields, "endpoints", read_endpoint));
    BOOST_LEAF_CHECK(fields.finish());
    BOOST_LEAF_CHECK(check_references(document));
    return document;
}

} // namespace savoryrelay::protocol
