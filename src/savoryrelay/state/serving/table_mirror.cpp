// Merges rows by version.
#include "savoryrelay/state/serving/table_mirror.h"

#include <algorithm>
#include <set>

namespace savoryrelay::state {

void table_mirror::put(const mirrored_row& row, std::vector<mirrored_row>& changed) {
    auto& held = m_rows[row.key];
    if (row.version <= held.version) {
        return;
    }
    const bool was_absent = held.version == 0 || held.is_removed;
    held = row;
    m_newest_row_version = std::max(m_newest_row_version, row.version);
    if (!(was_absent && row.is_removed)) {
        changed.push_back(row);
    }
}

std::vector<mirrored_row> table_mirror::apply_changes(const std::vector<mirrored_row>& changes,
                                                      std::uint64_t version) {
    const std::scoped_lock lock(m_mutex);
    std::vector<mirrored_row> changed;
    for (const auto& row : changes) {
        put(row, changed);
    }
    m_synced_version = std::max(m_synced_version, version);
    return changed;
}

std::vector<mirrored_row> table_mirror::apply_image(const table_image& image) {
    if (image.after > 0) {
        return image.after <= synced_version() ? apply_changes(image.rows, image.version)
                                               : std::vector<mirrored_row>{};
    }
    const std::scoped_lock lock(m_mutex);
    std::vector<mirrored_row> changed;
    std::set<std::string> present;
    for (const auto& row : image.rows) {
        present.insert(row.key);
        put(row, changed);
    }
    for (const auto& [key, row] : std::map(m_rows)) {
        if (!row.is_removed && row.version <= image.version && !present.contains(key)) {
            put({key, {}, image.version, true}, changed);
        }
    }
    m_synced_version = std::max(m_synced_version, image.version);
    m_removals_known_from = std::max(m_removals_known_from, image.version);
    // An image has no rows for removals, which other copies may lack.
    m_newest_row_version = std::max(m_newest_row_version, image.version);
    return changed;
}

std::uint64_t table_mirror::synced_version() const {
    const std::scoped_lock lock(m_mutex);
    return m_synced_version;
}

std::uint64_t table_mirror::newest_row_version() const {
    const std::scoped_lock lock(m_mutex);
    return m_newest_row_version;
}

table_image table_mirror::image() const {
    const std::scoped_lock lock(m_mutex);
    table_image copy;
    copy.version = m_synced_version;
    for (const auto& [key, row] : m_rows) {
        if (!row.is_removed) {
            copy.rows.push_back(row);
        }
    }
    return copy;
}

table_image table_mirror::changes_since(std::uint64_t after) const {
    {
        const std::scoped_lock lock(m_mutex);
        if (after > 0 && after >= m_removals_known_from) {
            table_image changes;
            changes.version = m_synced_version;
            changes.after = after;
            for (const auto& [key, row] : m_rows) {
                if (row.version > after) {
                    changes.rows.push_back(row);
                }
            }
            return changes;
        }
    }
    return image();
}

} // namespace savoryrelay::state
