// Implements the embedded platform with serial transactions over maps in memory.
#include "savoryrelay/state/platform/memory_platform.h"

#include <utility>

namespace savoryrelay::state {

result<transaction_result> memory_platform::transact(const table_transaction& transaction) {
    const std::scoped_lock lock(m_mutex);

    // A repeated write key returns the first result and changes nothing.
    const auto earlier = m_table.write_results.find(transaction.write_key);
    if (earlier != m_table.write_results.end()) {
        auto repeated = earlier->second;
        repeated.era = m_era;
        return repeated;
    }

    transaction_result outcome;
    outcome.era = m_era;
    for (const auto& check : transaction.checks) {
        const auto row = m_table.rows.find(check.key);
        const auto version = row == m_table.rows.end() ? 0 : row->second.version;
        if (version != check.version) {
            outcome.conflicts.push_back(check.key);
        }
    }
    if (outcome.conflicts.empty()) {
        outcome.committed = true;
        outcome.version = ++m_table.version;
        for (const auto& put : transaction.puts) {
            m_table.rows[put.key] = table_row{put.key, put.value, outcome.version};
        }
        for (const auto& key : transaction.deletes) {
            m_table.rows.erase(key);
        }
    }
    m_table.write_results[transaction.write_key] = outcome;
    return outcome;
}

result<std::optional<transaction_result>>
memory_platform::read_write_result(const std::string& write_key) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_table.write_results.find(write_key);
    if (found == m_table.write_results.end()) {
        return std::optional<transaction_result>{};
    }
    auto stored = found->second;
    stored.era = m_era;
    return std::optional<transaction_result>{std::move(stored)};
}

result<table_row> memory_platform::read_row(const std::string& key) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_table.rows.find(key);
    if (found == m_table.rows.end()) {
        return table_row{key, {}, 0, m_era};
    }
    auto row = found->second;
    row.era = m_era;
    return row;
}

result<std::vector<table_row>> memory_platform::scan_rows(const std::string& prefix) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<table_row> rows;
    for (auto at = m_table.rows.lower_bound(prefix);
         at != m_table.rows.end() && at->first.starts_with(prefix); ++at) {
        rows.push_back(at->second);
        rows.back().era = m_era;
    }
    return rows;
}

result<void> memory_platform::put_object(const std::string& name, const std::string& content) {
    const std::scoped_lock lock(m_mutex);
    const auto [place, inserted] = m_objects.try_emplace(name, content);
    if (!inserted && place->second != content) {
        return fail(failure_kind::store_conflict, "object " + name + " exists with other content");
    }
    return {};
}

result<std::string> memory_platform::get_object(const std::string& name) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_objects.find(name);
    if (found == m_objects.end()) {
        return fail(failure_kind::not_found, "object " + name + " does not exist");
    }
    return found->second;
}

result<void> memory_platform::delete_object(const std::string& name) {
    const std::scoped_lock lock(m_mutex);
    m_objects.erase(name);
    return {};
}

result<std::vector<std::string>> memory_platform::list_objects(const std::string& prefix) const {
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> names;
    for (auto at = m_objects.lower_bound(prefix);
         at != m_objects.end() && at->first.starts_with(prefix); ++at) {
        names.push_back(at->first);
    }
    return names;
}

result<std::vector<platform_host>> memory_platform::list_hosts() const {
    const std::scoped_lock lock(m_mutex);
    return m_hosts;
}

table_copy memory_platform::copy_table() const {
    const std::scoped_lock lock(m_mutex);
    return m_table;
}

void memory_platform::restore_table(const table_copy& copy) {
    const std::scoped_lock lock(m_mutex);
    m_table = copy;
    ++m_era;
}

void memory_platform::set_hosts(std::vector<platform_host> hosts) {
    const std::scoped_lock lock(m_mutex);
    m_hosts = std::move(hosts);
}

platform_hooks memory_platform::hooks() {
    return {
        .transact = [this](const auto& transaction) { return transact(transaction); },
        .read_write_result = [this](const auto& key) { return read_write_result(key); },
        .read_row = [this](const auto& key) { return read_row(key); },
        .scan_rows = [this](const auto& prefix) { return scan_rows(prefix); },
        .put_object = [this](const auto& name,
                             const auto& content) { return put_object(name, content); },
        .get_object = [this](const auto& name) { return get_object(name); },
        .list_objects = [this](const auto& prefix) { return list_objects(prefix); },
        .list_hosts = [this] { return list_hosts(); },
        .delete_object = [this](const auto& name) { return delete_object(name); },
    };
}

} // namespace savoryrelay::state
