// Generates settings and configuration from the answers.
#include "savoryrelay/protocol/questionnaire/questionnaire.h"

#include "savoryrelay/protocol/configuration/configuration_document.h"
#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/digest/digest.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <set>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;
using quote_hook = std::function<std::string(std::string_view)>;

constexpr std::uint32_t max_last_address_byte = 254;
constexpr std::size_t token_bytes = 32;
constexpr std::uint64_t bytes_per_mib = 1024 * 1024;

state::result<std::string> make_token() {
    std::array<std::uint8_t, token_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return state::fail(failure_kind::internal, "OpenSSL could not generate random bytes");
    }
    return state::to_hex(bytes.data(), bytes.size());
}

// Returns `text` as a double-quoted YAML scalar. Escapes control characters as \xNN.
std::string quote_scalar(std::string_view text) {
    std::string out = "\"";
    for (const char symbol : text) {
        const auto code = static_cast<unsigned char>(symbol);
        if (symbol == '"' || symbol == '\\') {
            out += '\\';
            out += symbol;
        } else if (code < 0x20 || code == 0x7F) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", code);
            out += escaped.data();
        } else {
            out += symbol;
        }
    }
    return out + "\"";
}

// Returns `text` as a one-line YAML comment. Replaces control characters by spaces,
// because the text after a line break would be read as YAML.
std::string comment_line(std::string_view text) {
    std::string line = "# ";
    for (const char symbol : text) {
        line += static_cast<unsigned char>(symbol) < 0x20 ? ' ' : symbol;
    }
    return line + "\n";
}

std::string quoted_list(const std::vector<std::string>& texts, const quote_hook& quote) {
    std::string out = "[";
    for (const auto& text : texts) {
        out += (out.size() > 1 ? ", " : "") + quote(text);
    }
    return out + "]";
}

// Returns the IPv4 address whose last byte is `offset` higher than that of `first`.
state::result<std::string> address_after(const std::string& first, std::uint32_t offset) {
    const auto dot = first.rfind('.');
    std::uint32_t last = 0;
    const auto* end = first.data() + first.size();
    const auto* begin = dot == std::string::npos ? end : first.data() + dot + 1;
    const auto read = std::from_chars(begin, end, last);
    if (begin == end || read.ec != std::errc{} || read.ptr != end ||
        std::uint64_t{last} + offset > max_last_address_byte) {
        return state::fail(
            failure_kind::invalid_settings,
            "first_address '" + first + "' must be an IPv4 address whose last byte " + "plus " +
                std::to_string(offset) + " is at most " + std::to_string(max_last_address_byte));
    }
    return first.substr(0, dot + 1) + std::to_string(last + offset);
}

std::string zones_section(const questionnaire_answers& answers, const quote_hook& quote) {
    std::string out = "# Availability zones. `drained: true` takes a zone out: no new work within "
                      "6 s.\navailability_zones:\n";
    for (const auto& zone : answers.availability_zones) {
        out += "  - id: " + quote(zone.id.value()) + "\n    region: " + quote(zone.region) +
               "\n    drained: false\n";
    }
    return out;
}

std::string customers_section(const std::vector<state::customer_config>& customers,
                              const quote_hook& quote) {
    std::string out = "# Customers. `token_digest` is the SHA-256 of the bearer token in 64 "
                      "hexadecimal digits;\n# `weight` is the share of the capacity relative to "
                      "other customers (0.001 to 1000).\ncustomers:\n";
    for (const auto& customer : customers) {
        std::array<char, 32> weight{};
        std::snprintf(weight.data(), weight.size(), "%.6g", customer.weight);
        out += "  - id: " + quote(customer.id.value()) +
               "\n    token_digest: " + quote(customer.token_digest) +
               "\n    weight: " + weight.data() + "\n";
    }
    return out;
}

std::string deployment_rows(const state::deployment_config& row, const quote_hook& quote) {
    const auto number = [](auto value) { return std::to_string(value); };
    std::vector<std::string> customers;
    for (const auto& customer : row.customers) {
        customers.push_back(customer.value());
    }
    std::string out = "  - id: " + quote(row.id.value()) +
                      "\n    kind: " + std::string(state::to_name(row.kind)) +
                      "\n    version: " + quote(row.version) +
                      "\n    # repeatable, or at_most_once for calls that may not be repeated\n" +
                      "    repeat: " + std::string(state::to_name(row.repeat)) +
                      "\n    # kept of requests and answers: content, digest or none\n" +
                      "    record: " + std::string(state::to_name(row.record)) +
                      "\n    # customers that may call it; empty: all\n" +
                      "    customers: " + quoted_list(customers, quote) + "\n";
    if (row.kind == state::deployment_kind::service) {
        return out;
    }
    return out + "    model: " + quote(row.model) +
           "\n    adapters: " + quoted_list(row.adapters, quote) +
           "\n    # whether engines refuse an order with an old fencing number: enforced or "
           "ignored\n    fencing: " +
           std::string(state::to_name(row.fencing)) +
           "\n    # hosts of a replica (1 to 64) and number of replicas (0 to 10000)\n" +
           "    hosts_per_replica: " + number(row.hosts_per_replica) +
           "\n    replicas: " + number(row.replicas) +
           "\n    # groups above and below `replicas` in a roll-out (0 to 10000, not both 0)\n" +
           "    max_surge: " + number(row.max_surge) +
           "\n    max_unavailable: " + number(row.max_unavailable) +
           "\n    # concurrent requests of a cold endpoint, over all entry hosts (1 to 65536)\n" +
           "    cold_allowance: " + number(row.cold_allowance) +
           "\n    # milliseconds (1 to 3600000)\n" +
           "    first_token_timeout_ms: " + number(row.first_token_timeout.count()) +
           "\n    token_timeout_ms: " + number(row.token_timeout.count()) + "\n";
}

state::result<std::string> endpoints_section(const questionnaire_answers& answers,
                                             const quote_hook& quote) {
    std::string out = "# Endpoints. `capacity` is in concurrent requests when warm (1 to 65536); "
                      "`port` 1 to 65535.\nendpoints:\n";
    for (const auto& deployment : answers.deployments) {
        std::size_t number = 0;
        for (const auto& range : deployment.endpoints) {
            for (std::uint32_t i = 0; i < range.count; ++i) {
                BOOST_LEAF_AUTO(address, address_after(range.first_address, i));
                const auto id = deployment.config.id.value() + "-" + std::to_string(++number);
                out += "  - id: " + quote(id) +
                       "\n    deployment: " + quote(deployment.config.id.value()) +
                       "\n    availability_zone: " + quote(range.availability_zone.value()) +
                       "\n    address: " + quote(address) +
                       "\n    port: " + std::to_string(range.port) +
                       "\n    capacity: " + std::to_string(range.capacity) + "\n";
            }
        }
    }
    return out;
}

// Returns the peer addresses of the other entry hosts, separated by commas.
std::string seeds_text(const questionnaire_answers& answers, const entry_host_answer& host,
                       const quote_hook& quote) {
    std::string seeds;
    for (const auto& other : answers.entry_hosts) {
        if (other.name != host.name) {
            seeds += (seeds.empty() ? "" : ", ") + quote(other.address + ":8082");
        }
    }
    return seeds;
}

std::string settings_text(const questionnaire_answers& answers, const entry_host_answer& host,
                          const quote_hook& quote) {
    const auto memory = std::uint64_t{answers.record_memory_mib} * bytes_per_mib;
    return comment_line("Settings of entry host " + host.name) + comment_line(answers.business) +
           "member:\n  id: " + quote(host.name) +
           "\n  availability_zone: " + quote(host.availability_zone.value()) +
           "\n# Callers: IP address, port 1 to 65535.\ncallers:\n  address: " +
           quote(host.address) +
           "\n  port: 8080\n# Operators: HTTP of status, drain, audit.\noperators:\n  address: " +
           quote(host.address) +
           "\n  port: 8081\n# Other entry hosts: UDP and TCP on one port.\npeers:\n  address: " +
           quote(host.address) +
           "\n  port: 8082\n  key_file: /etc/savoryrelay/peers.key\n  seeds: [" +
           seeds_text(answers, host, quote) +
           "]\nsingle_entry_host: " + (answers.entry_hosts.size() == 1 ? "true" : "false") + "\n" +
           "# The platform's table, object store and host list.\nplatform:\n  mode: remote\n  "
           "address: " +
           quote(answers.platform_address) + "\n  port: " + std::to_string(answers.platform_port) +
           "\n# The record. memory_limit_bytes: 1 MiB to 4 GiB, new work is refused at 90% of "
           "it;\n# segment_bytes: 64 KiB to 64 MiB; flush_interval_ms: 10 to 60000;\n"
           "# retention_days: 1 to 36500, for the object store's rules: the daemon deletes "
           "nothing.\nrecord:\n  key_file: /etc/savoryrelay/record.pem\n  memory_limit_bytes: " +
           std::to_string(memory) +
           "\n  segment_bytes: 1048576\n  flush_interval_ms: 1000\n  retention_days: " +
           std::to_string(answers.retention_days) + "\n";
}

// Checks the entry hosts, which the validator of the configuration does not see
// because they are not part of the configuration.
state::result<void> check_entry_hosts(const questionnaire_answers& answers) {
    std::set<std::string> names;
    for (const auto& host : answers.entry_hosts) {
        const auto allowed = [](char symbol) {
            return (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z') ||
                   (symbol >= '0' && symbol <= '9') || symbol == '-' || symbol == '_';
        };
        if (host.name.empty() || !std::all_of(host.name.begin(), host.name.end(), allowed)) {
            return state::fail(failure_kind::invalid_settings,
                               "entry host '" + host.name +
                                   "' must have a name of letters, digits, '-' and '_', because "
                                   "its settings file is named after it");
        }
        if (!names.insert(host.name).second) {
            return state::fail(failure_kind::invalid_settings,
                               "two entry hosts have the name '" + host.name + "'");
        }
        const bool known =
            std::any_of(answers.availability_zones.begin(), answers.availability_zones.end(),
                        [&](const auto& zone) { return zone.id == host.availability_zone; });
        if (!known) {
            return state::fail(failure_kind::invalid_settings,
                               "entry host '" + host.name +
                                   "' refers to the unknown availability " + "zone '" +
                                   host.availability_zone.value() + "'");
        }
    }
    if (names.empty()) {
        return state::fail(failure_kind::invalid_settings, "'entry_hosts' needs at least one host");
    }
    return {};
}

} // namespace

questionnaire_hooks default_questionnaire_hooks() {
    return {make_token, quote_scalar};
}

state::result<std::vector<generated_file>> generate_files(const questionnaire_answers& answers,
                                                          const questionnaire_hooks& hooks) {
    BOOST_LEAF_CHECK(check_entry_hosts(answers));

    // Generates a token for each customer without one.
    auto customers = answers.customers;
    std::string tokens;
    for (auto& customer : customers) {
        if (customer.token_digest.empty()) {
            BOOST_LEAF_AUTO(token, hooks.make_token());
            customer.token_digest = state::sha256_hex(token);
            tokens += customer.id.value() + " " + token + "\n";
        }
    }

    // Generates the configuration and checks it with the validator that the daemon
    // uses.
    auto text = comment_line("Configuration: submit it with savoryrelayctl.") +
                comment_line(answers.business) + zones_section(answers, hooks.quote) +
                customers_section(customers, hooks.quote) +
                "# Models and services.\ndeployments:\n";
    for (const auto& deployment : answers.deployments) {
        text += deployment_rows(deployment.config, hooks.quote);
    }
    BOOST_LEAF_AUTO(endpoints, endpoints_section(answers, hooks.quote));
    text += endpoints;
    BOOST_LEAF_CHECK(read_configuration(text, 1));
    std::vector<generated_file> files{{"configuration.yaml", std::move(text)}};

    for (const auto& host : answers.entry_hosts) {
        auto settings = settings_text(answers, host, hooks.quote);
        BOOST_LEAF_CHECK(read_daemon_settings(settings));
        files.push_back({"settings/" + host.name + ".yaml", std::move(settings)});
    }
    if (!tokens.empty()) {
        files.push_back({"customer-tokens.txt", std::move(tokens)});
    }
    return files;
}

} // namespace savoryrelay::protocol
