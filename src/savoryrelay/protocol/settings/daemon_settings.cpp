// Reads and checks the daemon's settings.
#include "savoryrelay/protocol/settings/daemon_settings.h"

#include "savoryrelay/protocol/record/record_json.h"
#include "savoryrelay/protocol/settings/yaml_fields.h"

namespace savoryrelay::protocol {
namespace {

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_io_threads = 64;
constexpr std::uint64_t max_timeout_ms = 60'000;
constexpr std::uint64_t min_poll_ms = 100;
// A new revision must be in force on every member within 6 s: a member must read the
// table at least once within the 4 s for which it may be isolated, and fetching the
// revision may take a further 2 s.
constexpr std::uint64_t max_poll_ms = 2'000;

constexpr std::uint64_t kib = 1'024;
constexpr std::uint64_t mib = 1'024 * kib;
constexpr std::uint64_t gib = 1'024 * mib;
constexpr std::uint64_t min_flush_ms = 10;
constexpr std::uint64_t max_retention_days = 36'500;
constexpr std::size_t max_key_id_bytes = 64;

bool is_loopback(const std::string& address) {
    return address.starts_with("127.") || address == "::1";
}

state::result<network_address> read_address(yaml_fields fields) {
    network_address value;
    value.address = fields.text("address", value.address);
    value.port = static_cast<std::uint16_t>(fields.number("port", 0, 0, max_port));
    BOOST_LEAF_CHECK(fields.finish());
    return value;
}

state::milliseconds read_duration(yaml_fields& fields, std::string_view name,
                                  state::milliseconds fallback, std::uint64_t low,
                                  std::uint64_t high) {
    const auto count = static_cast<std::uint64_t>(fallback.count());
    return state::milliseconds(fields.number(name, count, low, high));
}

state::result<void> read_member(yaml_fields fields, daemon_settings& settings) {
    settings.member = state::member_id(fields.required_text("id"));
    settings.availability_zone =
        state::availability_zone_id(fields.required_text("availability_zone"));
    settings.region = fields.text("region", "default");
    return fields.finish();
}

state::result<void> read_peers(yaml_fields fields, daemon_settings& settings) {
    settings.peers.address = fields.text("address", settings.peers.address);
    settings.peers.port = static_cast<std::uint16_t>(fields.number("port", 0, 0, max_port));
    settings.seeds = fields.text_list("seeds");
    settings.peer_key_file = fields.text("key_file", "");
    if (settings.peer_key_file.empty() && !is_loopback(settings.peers.address)) {
        fields.add_problem("'" + fields.path_of("key_file") +
                           "' is required unless the address of 'peers' is a loopback address");
    }
    return fields.finish();
}

state::result<void> read_platform(yaml_fields fields, daemon_settings& settings) {
    settings.platform = fields.choice("mode", settings.platform);
    settings.platform_address.address = fields.text("address", "127.0.0.1");
    settings.platform_address.port =
        static_cast<std::uint16_t>(fields.number("port", 0, 0, max_port));
    settings.platform_timeout =
        read_duration(fields, "timeout_ms", settings.platform_timeout, 10, max_timeout_ms);
    if (settings.platform == platform_mode::remote && settings.platform_address.port == 0) {
        fields.add_problem("'" + fields.path_of("port") + "' is required for a remote platform");
    }
    return fields.finish();
}

void read_date(yaml_fields& fields, std::string_view name, state::wall_time& value) {
    const auto text = fields.text(name, "");
    if (text.empty()) {
        return;
    }
    const auto read = state::collect([&] { return from_utc_text(text); });
    if (read) {
        value = read.value();
    } else {
        fields.add_problem("'" + fields.path_of(name) + "' is '" + text +
                           "', but must be a UTC time such as 2026-12-04");
    }
}

state::result<void> read_record(yaml_fields fields, record_file_settings& record) {
    record.key_file = fields.text("key_file", "");
    record.key_id = fields.text("key_id", record.key_id);
    if (record.key_id.empty() || record.key_id.size() > max_key_id_bytes) {
        fields.add_problem("'" + fields.path_of("key_id") + "' must have 1 to " +
                           std::to_string(max_key_id_bytes) + " characters");
    }
    read_date(fields, "key_valid_from", record.key_valid_from);
    read_date(fields, "key_valid_until", record.key_valid_until);
    if (record.key_valid_until <= record.key_valid_from) {
        fields.add_problem("'" + fields.path_of("key_valid_until") +
                           "' must be after key_valid_from");
    }
    record.memory_limit_bytes =
        fields.number("memory_limit_bytes", record.memory_limit_bytes, mib, 4 * gib);
    record.segment_bytes = fields.number("segment_bytes", record.segment_bytes, 64 * kib, 64 * mib);
    record.flush_interval = read_duration(fields, "flush_interval_ms", record.flush_interval,
                                          min_flush_ms, max_timeout_ms);
    record.retention_days =
        fields.number("retention_days", record.retention_days, 1, max_retention_days);
    return fields.finish();
}

} // namespace

state::result<daemon_settings> read_daemon_settings(const std::string& text) {
    BOOST_LEAF_AUTO(node, parse_yaml(text, state::failure_kind::invalid_settings));
    yaml_fields fields(node, "", state::failure_kind::invalid_settings);
    daemon_settings settings;
    BOOST_LEAF_CHECK(read_member(fields.mapping("member"), settings));
    BOOST_LEAF_ASSIGN(settings.callers, read_address(fields.mapping("callers")));
    BOOST_LEAF_ASSIGN(settings.operators, read_address(fields.mapping("operators")));
    BOOST_LEAF_CHECK(read_peers(fields.mapping("peers"), settings));
    BOOST_LEAF_CHECK(read_platform(fields.mapping("platform"), settings));
    BOOST_LEAF_CHECK(read_record(fields.mapping("record"), settings.record));
    settings.configuration_file = fields.text("configuration_file", "");
    settings.io_threads = static_cast<std::uint32_t>(
        fields.number("io_threads", settings.io_threads, 1, max_io_threads));
    settings.poll_interval =
        read_duration(fields, "poll_interval_ms", settings.poll_interval, min_poll_ms, max_poll_ms);
    settings.single_entry_host = fields.flag("single_entry_host", settings.single_entry_host);
    BOOST_LEAF_CHECK(fields.finish());
    return settings;
}

} // namespace savoryrelay::protocol
