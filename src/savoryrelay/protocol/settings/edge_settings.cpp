// Reads and checks the entry host's settings.
#include "savoryrelay/protocol/settings/edge_settings.h"

#include "savoryrelay/protocol/settings/yaml_fields.h"

#include <arpa/inet.h>

#include <charconv>
#include <limits>
#include <sstream>

namespace savoryrelay::protocol {
namespace {

constexpr std::uint64_t max_port = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t max_threads = 64;
constexpr double max_stop_s = 600;
constexpr double max_window_s = 3'600;
constexpr double max_processor_share = 1'024;
constexpr double max_leave_ms = 60'000;
constexpr double ms_per_s = 1'000;
// Less leaves nothing for callers.
constexpr std::uint64_t min_memory_mb = 80;
constexpr std::uint64_t max_memory_mb = 1'000'000;
constexpr std::uint64_t min_descriptors = 256;
constexpr std::uint64_t max_descriptors = 10'000'000;

// Reads a field of the form "address:port".
network_address read_socket_address(yaml_fields& fields, std::string_view name) {
    const auto text = fields.required_text(name);
    const auto colon = text.rfind(':');
    network_address value;
    value.address = text.substr(0, colon);
    std::uint64_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    }
    in_addr parsed{};
    const bool is_address = ::inet_pton(AF_INET, value.address.c_str(), &parsed) == 1;
    if (!is_address || port == 0 || port > max_port) {
        fields.add_problem("'" + fields.path_of(name) + "' is '" + text +
                           "', but must be an IPv4 address and a port such as 10.1.0.4:8080");
    }
    value.port = static_cast<std::uint16_t>(port);
    return value;
}

state::result<void> read_peers(yaml_fields fields, edge_settings& settings) {
    settings.peers.address = fields.required_text("address");
    settings.peers.port = static_cast<std::uint16_t>(fields.number("port", 0, 1, max_port));
    settings.relay_port = static_cast<std::uint16_t>(fields.number("relay_port", 0, 0, max_port));
    // A platform that lends a single port has none for tunnels.
    if (settings.relay_port == settings.peers.port) {
        settings.relay_port = 0;
    }
    std::istringstream seeds(fields.text("seeds", ""));
    for (std::string seed; std::getline(seeds, seed, ',');) {
        settings.seeds.push_back({seed.substr(0, seed.rfind(':')), settings.peers.port});
    }
    return fields.finish();
}

state::result<void> read_bounds(yaml_fields fields, edge_settings& settings) {
    settings.stop_limit = state::milliseconds(
        static_cast<std::int64_t>(fields.real("stop_s", 8, 0.5, max_stop_s) * ms_per_s));
    settings.leave_limit = state::milliseconds(
        static_cast<std::int64_t>(fields.real("leave_ms", 2'000, 100, max_leave_ms)));
    settings.repeat_ratio = fields.real("repeat_ratio", settings.repeat_ratio, 0, 10);
    settings.repeat_burst = fields.real("repeat_burst", settings.repeat_burst, 0, 1e6);
    settings.repeat_window = state::milliseconds(
        static_cast<std::int64_t>(fields.real("repeat_window_s", 10, 1, max_window_s) * ms_per_s));
    return fields.finish();
}

state::result<void> read_limits(yaml_fields fields, edge_settings& settings) {
    settings.memory_mb = fields.number("memory_mb", 0, 0, max_memory_mb);
    settings.max_descriptors = fields.number("max_fds", 0, 0, max_descriptors);
    if (settings.memory_mb != 0 && settings.memory_mb < min_memory_mb) {
        fields.add_problem("'limits.memory_mb' is below " + std::to_string(min_memory_mb));
    }
    if (settings.max_descriptors != 0 && settings.max_descriptors < min_descriptors) {
        fields.add_problem("'limits.max_fds' is below " + std::to_string(min_descriptors));
    }
    return fields.finish();
}

} // namespace

state::result<edge_settings> read_edge_settings(const std::string& text) {
    BOOST_LEAF_AUTO(node, parse_yaml(text, state::failure_kind::invalid_settings));
    yaml_fields fields(node, "", state::failure_kind::invalid_settings);
    edge_settings settings;
    settings.host = state::host_id(fields.required_text("host"));
    settings.availability_zone =
        state::availability_zone_id(fields.required_text("availability_zone"));
    settings.callers = read_socket_address(fields, "callers");
    settings.readiness = read_socket_address(fields, "readiness");
    settings.store = read_socket_address(fields, "store");
    settings.metrics = read_socket_address(fields, "metrics");
    BOOST_LEAF_CHECK(read_peers(fields.mapping("peers"), settings));
    BOOST_LEAF_CHECK(read_bounds(fields.mapping("bounds"), settings));
    BOOST_LEAF_CHECK(read_limits(fields.mapping("limits"), settings));
    settings.is_first_start = fields.flag("first_start", false);
    settings.processor_share =
        fields.real("processor_share", settings.processor_share, 0.01, max_processor_share);
    settings.call_threads = static_cast<std::uint32_t>(
        fields.number("call_threads", settings.call_threads, 1, max_threads));
    BOOST_LEAF_CHECK(fields.finish());
    return settings;
}

} // namespace savoryrelay::protocol
