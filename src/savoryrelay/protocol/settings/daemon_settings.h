// The settings of one daemon and their YAML form.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// The address of a listener, a peer or a service.
struct network_address {
    std::string address = "127.0.0.1"; ///< IP address
    std::uint16_t port = 0;            ///< 0 lets a listener take any free port
};

/// Where the platform's services run.
enum class platform_mode {
    embedded, ///< in the daemon's memory, for trials; stores nothing durably
    remote,   ///< on another host, reached over HTTP
};

/// Settings of the daemon's record.
struct record_file_settings {
    std::string key_file; ///< Ed25519 private key in PEM; if empty, no record is kept
    std::string key_id = "record";
    state::wall_time key_valid_from{};
    state::wall_time key_valid_until{std::chrono::sys_days(std::chrono::year(2100) / 1 / 1)};
    std::uint64_t memory_limit_bytes = std::uint64_t{16} * 1024 * 1024;
    std::uint64_t segment_bytes = std::uint64_t{1} * 1024 * 1024;
    state::milliseconds flush_interval{1'000};
    /// Retention period for the object store's deletion rules. The daemon itself deletes
    /// nothing.
    std::uint64_t retention_days = 3'650;
};

/// The settings of one daemon. docs/settings.md lists them with their ranges.
struct daemon_settings {
    state::member_id member;
    state::availability_zone_id availability_zone;
    std::string region;
    network_address callers;
    network_address operators;
    network_address peers;
    std::vector<std::string> seeds; ///< "address:port" of other members
    std::string peer_key_file;      ///< may be empty if peers listen only on loopback
    platform_mode platform = platform_mode::embedded;
    network_address platform_address;
    state::milliseconds platform_timeout{2'000};
    record_file_settings record;
    std::string configuration_file; ///< first configuration of an embedded platform
    std::uint32_t io_threads = 2;
    state::milliseconds poll_interval{2'000}; ///< between reads of the configuration's revision
    bool single_entry_host = false;           ///< may serve without peers and without the store
};

/// Reads and checks settings. Fails with `invalid_settings` and the name of the setting.
[[nodiscard]] state::result<daemon_settings> read_daemon_settings(const std::string& text);

} // namespace savoryrelay::protocol

template <>
struct savoryrelay::state::enum_table<savoryrelay::protocol::platform_mode> {
    using m = savoryrelay::protocol::platform_mode;
    static constexpr std::array rows{
        enum_name<m>{m::embedded, "embedded"},
        enum_name<m>{m::remote, "remote"},
    };
};
