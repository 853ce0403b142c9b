// Defines the embedded platform with its table, object store and host list in
// memory. It is the default of a single-node trial, the store of the platform
// stand-in, and the fake platform of tests. Its data is lost at a restart.
#pragma once

#include "savoryrelay/state/platform/platform_hooks.h"

#include <map>
#include <mutex>

namespace savoryrelay::state {

/// The table of a `memory_platform` at one moment.
struct table_copy {
    std::uint64_t version = 0;
    std::map<std::string, table_row> rows;
    std::map<std::string, transaction_result> write_results;
};

/// A table, an object store and a host list in the memory of one process.
/// Thread-safe. `platform_hooks` describes the calls.
class memory_platform {
public:
    memory_platform() = default;
    ~memory_platform() = default;
    memory_platform(const memory_platform&) = delete;
    memory_platform& operator=(const memory_platform&) = delete;

    [[nodiscard]] result<transaction_result> transact(const table_transaction& transaction);
    [[nodiscard]] result<std::optional<transaction_result>>
    read_write_result(const std::string& write_key) const;
    /// Returns the row of `key`. An absent row has version 0.
    [[nodiscard]] result<table_row> read_row(const std::string& key) const;
    /// Returns the rows whose keys begin with `prefix`, sorted by key.
    [[nodiscard]] result<std::vector<table_row>> scan_rows(const std::string& prefix) const;
    [[nodiscard]] result<void> put_object(const std::string& name, const std::string& content);
    [[nodiscard]] result<std::string> get_object(const std::string& name) const;
    [[nodiscard]] result<void> delete_object(const std::string& name);
    [[nodiscard]] result<std::vector<std::string>> list_objects(const std::string& prefix) const;
    [[nodiscard]] result<std::vector<platform_host>> list_hosts() const;

    /// Returns a copy of the table.
    [[nodiscard]] table_copy copy_table() const;
    /// Replaces the table by an earlier copy of it, as a restore of the store does: versions are
    /// given out again, and the era rises by one.
    void restore_table(const table_copy& copy);

    /// Replaces the host list.
    void set_hosts(std::vector<platform_host> hosts);

    /// Returns hooks that call this object, which must outlive them.
    [[nodiscard]] platform_hooks hooks();

private:
    // One lock is enough: the platform's transactions are serial by contract, and
    // it offers only several hundred writes per second.
    mutable std::mutex m_mutex;
    table_copy m_table;                           // guarded by m_mutex
    std::uint64_t m_era = 0;                      // of `m_table`; guarded by m_mutex
    std::map<std::string, std::string> m_objects; // guarded by m_mutex
    std::vector<platform_host> m_hosts;           // guarded by m_mutex
};

} // namespace savoryrelay::state
