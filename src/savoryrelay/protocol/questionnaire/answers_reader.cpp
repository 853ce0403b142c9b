// Reads the answers file and asks the interactive questions.
#include "savoryrelay/protocol/questionnaire/questionnaire.h"
#include "savoryrelay/protocol/settings/yaml_fields.h"

#include <algorithm>
#include <charconv>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_endpoints = 250; // per range, which varies only the last address byte
constexpr std::uint64_t max_capacity = 65'536;
constexpr std::uint64_t max_retention_days = 36'500;
constexpr std::uint64_t max_record_mib = 4'096;

state::result<state::availability_zone_config> read_zone(yaml_fields fields) {
    state::availability_zone_config zone;
    zone.id = state::availability_zone_id(fields.required_text("id"));
    zone.region = fields.text("region", "default");
    BOOST_LEAF_CHECK(fields.finish());
    return zone;
}

state::result<entry_host_answer> read_entry_host(yaml_fields fields) {
    entry_host_answer host;
    host.name = fields.required_text("name");
    host.address = fields.required_text("address");
    host.availability_zone = state::availability_zone_id(fields.required_text("availability_zone"));
    BOOST_LEAF_CHECK(fields.finish());
    return host;
}

state::result<state::customer_config> read_customer(yaml_fields fields) {
    state::customer_config customer;
    customer.id = state::customer_id(fields.required_text("id"));
    customer.token_digest = fields.text("token_digest", "");
    customer.weight = fields.real("weight", 1.0, 0.001, 1000.0);
    BOOST_LEAF_CHECK(fields.finish());
    return customer;
}

state::result<endpoint_range> read_endpoints(yaml_fields fields) {
    endpoint_range range;
    range.availability_zone =
        state::availability_zone_id(fields.required_text("availability_zone"));
    range.first_address = fields.required_text("first_address");
    range.port = static_cast<std::uint16_t>(fields.number("port", range.port, 1, max_port));
    range.count = static_cast<std::uint32_t>(fields.number("count", 1, 1, max_endpoints));
    range.capacity =
        static_cast<std::uint32_t>(fields.number("capacity", range.capacity, 1, max_capacity));
    BOOST_LEAF_CHECK(fields.finish());
    return range;
}

// Reads the fields that models and services have in common.
state::result<deployment_answer> read_deployment(yaml_fields& fields, state::deployment_kind kind) {
    deployment_answer answer;
    auto& row = answer.config;
    row.id = state::deployment_id(fields.required_text("id"));
    row.kind = kind;
    row.version = fields.text("version", "");
    row.record = fields.choice("record", row.record);
    for (auto& customer : fields.text_list("customers")) {
        row.customers.emplace_back(std::move(customer));
    }
    for (auto& each : fields.mappings("endpoints")) {
        BOOST_LEAF_AUTO(range, read_endpoints(std::move(each)));
        answer.endpoints.push_back(std::move(range));
    }
    return answer;
}

state::result<deployment_answer> read_model(yaml_fields fields) {
    BOOST_LEAF_AUTO(answer, read_deployment(fields, state::deployment_kind::model));
    constexpr std::uint64_t max_hosts = 64;
    constexpr std::uint64_t max_replicas = 10'000;
    answer.config.model = fields.text("model", answer.config.id.value());
    answer.config.adapters = fields.text_list("adapters");
    answer.config.fencing = fields.choice("fencing", answer.config.fencing);
    answer.config.hosts_per_replica =
        static_cast<std::uint32_t>(fields.number("hosts_per_replica", 1, 1, max_hosts));
    std::uint64_t endpoints = 0;
    for (const auto& range : answer.endpoints) {
        endpoints += range.count;
    }
    answer.config.replicas = static_cast<std::uint32_t>(
        fields.number("replicas", std::max<std::uint64_t>(endpoints, 1), 0, max_replicas));
    BOOST_LEAF_CHECK(fields.finish());
    return answer;
}

state::result<deployment_answer> read_service(yaml_fields fields) {
    BOOST_LEAF_AUTO(answer, read_deployment(fields, state::deployment_kind::service));
    // If the answers file does not say, the calls may not be repeated, because a repeat
    // could run a call twice.
    answer.config.repeat = fields.choice("calls", state::repeat_rule::at_most_once);
    BOOST_LEAF_CHECK(fields.finish());
    return answer;
}

template <typename Row, typename Read>
state::result<void> read_rows(yaml_fields& fields, std::string_view name, std::vector<Row>& rows,
                              Read read) {
    for (auto& each : fields.mappings(name)) {
        BOOST_LEAF_AUTO(row, read(std::move(each)));
        rows.push_back(std::move(row));
    }
    return {};
}

std::string quoted(std::string_view text) {
    return default_questionnaire_hooks().quote(text);
}

std::size_t ask_count(const ask_hook& ask, const std::string& question,
                      const std::string& fallback) {
    constexpr std::size_t max_count = 1'000;
    const auto answer = ask(question, fallback);
    std::size_t count = 0;
    std::from_chars(answer.data(), answer.data() + answer.size(), count);
    return std::min(count, max_count);
}

// Asks for the endpoints of one deployment in each availability zone.
std::string ask_endpoints(const ask_hook& ask, const std::vector<std::string>& zones) {
    std::string text = "    endpoints:\n";
    for (const auto& zone : zones) {
        const auto count = ask("  Endpoints in " + zone + " (0 to 250)", "0");
        if (count == "0") {
            continue;
        }
        text += "      - availability_zone: " + quoted(zone) + "\n        count: " + count +
                "\n        first_address: " +
                quoted(ask("  First IPv4 address of these endpoints", "")) +
                "\n        port: " + ask("  Port (1 to 65535)", "8000") + "\n";
    }
    return text;
}

} // namespace

state::result<questionnaire_answers> read_answers(const std::string& text) {
    BOOST_LEAF_AUTO(node, parse_yaml(text, failure_kind::invalid_settings));
    yaml_fields fields(node, "", failure_kind::invalid_settings);
    questionnaire_answers answers;
    answers.business = fields.text("trade", "");
    BOOST_LEAF_CHECK(
        read_rows(fields, "availability_zones", answers.availability_zones, read_zone));
    BOOST_LEAF_CHECK(read_rows(fields, "entry_hosts", answers.entry_hosts, read_entry_host));
    BOOST_LEAF_CHECK(read_rows(fields, "customers", answers.customers, read_customer));
    BOOST_LEAF_CHECK(read_rows(fields, "models", answers.deployments, read_model));
    BOOST_LEAF_CHECK(read_rows(fields, "services", answers.deployments, read_service));

    auto platform = fields.mapping("platform");
    answers.platform_address = platform.required_text("address");
    answers.platform_port =
        static_cast<std::uint16_t>(platform.number("port", answers.platform_port, 1, max_port));
    BOOST_LEAF_CHECK(platform.finish());

    auto record = fields.mapping("record");
    answers.retention_days = static_cast<std::uint32_t>(
        record.number("retention_days", answers.retention_days, 1, max_retention_days));
    answers.record_memory_mib = static_cast<std::uint32_t>(
        record.number("memory_mib", answers.record_memory_mib, 1, max_record_mib));
    BOOST_LEAF_CHECK(record.finish());
    BOOST_LEAF_CHECK(fields.finish());
    return answers;
}

std::string ask_answers(const ask_hook& ask) {
    std::string text = "trade: " + quoted(ask("What does the organisation do?", "")) + "\n";

    // Asks for availability zones, entry hosts and the platform.
    std::vector<std::string> zones;
    text += "availability_zones:\n";
    const auto zone_count = ask_count(ask, "How many availability zones?", "3");
    for (std::size_t i = 1; i <= zone_count; ++i) {
        const auto zone_label = "zone " + std::to_string(i);
        zones.push_back(ask("Id of " + zone_label, "zone-" + std::to_string(i)));
        text += "  - id: " + quoted(zones.back()) +
                "\n    region: " + quoted(ask("Region of " + zone_label, "default")) + "\n";
    }
    text += "entry_hosts:\n";
    const auto host_count = ask_count(ask, "How many entry hosts?", "3");
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto zone = zones.empty() ? std::string{} : zones[i % zones.size()];
        const auto name = ask("Name of the entry host", "entry-" + std::to_string(i + 1));
        text += "  - name: " + quoted(name) +
                "\n    address: " + quoted(ask("IP address of " + name, "")) +
                "\n    availability_zone: " + quoted(ask("Availability zone of " + name, zone)) +
                "\n";
    }
    text += "platform:\n  address: " + quoted(ask("IP address of the platform's services", "")) +
            "\n  port: " + ask("Port of the platform's services (1 to 65535)", "7000") + "\n";

    // Asks for customers, models and services.
    text += "customers:\n";
    const auto customer_count = ask_count(ask, "How many customers?", "1");
    for (std::size_t i = 1; i <= customer_count; ++i) {
        text += "  - id: " + quoted(ask("Id of the customer", "customer-" + std::to_string(i))) +
                "\n    weight: " +
                ask("Its share of the capacity relative to other customers (0.001 to 1000)", "1") +
                "\n";
    }
    const auto record = [&] {
        return "    record: " +
               ask("  What to record of requests and answers? (content, digest or none)",
                   "digest") +
               "\n";
    };
    text += "models:\n";
    const auto model_count = ask_count(ask, "How many models?", "1");
    for (std::size_t i = 1; i <= model_count; ++i) {
        text += "  - id: " + quoted(ask("Name of the model", "model-" + std::to_string(i))) +
                "\n    version: " + quoted(ask("  Its version", "1")) +
                "\n    hosts_per_replica: " + ask("  Hosts per replica (1 to 64)", "1") + "\n" +
                record() + ask_endpoints(ask, zones);
    }
    text += "services:\n";
    const auto service_count = ask_count(ask, "How many plain services?", "0");
    for (std::size_t i = 1; i <= service_count; ++i) {
        text += "  - id: " + quoted(ask("Name of the service", "service-" + std::to_string(i))) +
                "\n    calls: " +
                ask("  May its calls be repeated? (repeatable or at_most_once)", "at_most_once") +
                "\n" + record() + ask_endpoints(ask, zones);
    }
    text += "record:\n  retention_days: " + ask("Keep the record for how many days?", "3650") +
            "\n  memory_mib: " +
            ask("Memory limit for record entries not yet stored, in MiB (1 to 4096)", "16") + "\n";
    return text;
}

} // namespace savoryrelay::protocol
