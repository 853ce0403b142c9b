// Merges rows by version, and rows of different eras by their content.
#include "savoryrelay/state/serving/table_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace savoryrelay::state {

row_order_hook no_row_order() {
    return
        [](const mirrored_row&, const mirrored_row&) { return std::partial_ordering::unordered; };
}

table_mirror::table_mirror(row_order_hook row_order) : m_row_order(std::move(row_order)) {}

bool table_mirror::is_newer(const mirrored_row& row, const mirrored_row& held,
                            bool is_confirmed) const {
    if (row.version.era == held.version.era) {
        return row.version > held.version;
    }
    const auto order = m_row_order(row, held);
    if (order == std::partial_ordering::less || order == std::partial_ordering::greater) {
        return order == std::partial_ordering::greater;
    }
    const bool is_same_content =
        order == std::partial_ordering::equivalent ||
        (row.is_removed == held.is_removed && (row.is_removed || row.value == held.value));
    // The eras share the numbers up to the copy, so a higher number was written later.
    const bool has_higher_number = row.version.number > held.version.number;
    return row.version > held.version && (is_same_content || has_higher_number || is_confirmed);
}

void table_mirror::put(const mirrored_row& row, bool is_confirmed,
                       std::vector<mirrored_row>& changed) {
    const auto [known, is_new] = m_rows.try_emplace(row.key, row);
    auto& held = known->second;
    if (!is_new && !is_newer(row, held, is_confirmed)) {
        return;
    }
    m_newest_row_version = std::max(m_newest_row_version, row.version);
    const bool is_visible =
        is_new ? !row.is_removed
               : row.is_removed != held.is_removed || (!row.is_removed && row.value != held.value);
    if (!is_new) {
        held.version = row.version;
        held.is_removed = row.is_removed;
        if (!row.is_removed || !row.value.empty()) {
            held.value = row.value;
        }
    }
    if (is_visible) {
        changed.push_back(row);
    }
}

std::vector<mirrored_row> table_mirror::apply_changes(const std::vector<mirrored_row>& changes,
                                                      store_version version) {
    const std::scoped_lock lock(m_mutex);
    std::vector<mirrored_row> changed;
    for (const auto& row : changes) {
        put(row, true, changed);
    }
    m_synced_version = std::max(m_synced_version, version);
    return changed;
}

std::vector<mirrored_row> table_mirror::apply_image(const table_image& image) {
    if (image.after.number > 0) {
        return image.after <= synced_version() ? apply_changes(image.rows, image.version)
                                               : std::vector<mirrored_row>{};
    }
    const std::scoped_lock lock(m_mutex);
    // A source that started after the restore does not know that its rows are older ones.
    const bool is_first_of_era =
        m_synced_version.number > 0 && image.version.era > m_synced_version.era;
    const bool is_confirmed = image.is_confirmed && !is_first_of_era;
    std::vector<mirrored_row> changed;
    std::set<std::string> present;
    for (const auto& row : image.rows) {
        present.insert(row.key);
        put(row, is_confirmed, changed);
    }
    for (const auto& [key, row] : std::map(m_rows)) {
        if (is_confirmed && !row.is_removed && row.version <= image.version &&
            !present.contains(key)) {
            put({key, {}, image.version, true}, true, changed);
        }
    }
    if (image.version >= m_synced_version) {
        const bool was_confirmed = m_is_confirmed && image.version.era == m_synced_version.era;
        m_is_confirmed = is_confirmed || was_confirmed;
    }
    m_synced_version = std::max(m_synced_version, image.version);
    m_removals_known_from = std::max(m_removals_known_from, image.version);
    // An image has no rows for removals, which other copies may lack.
    m_newest_row_version = std::max(m_newest_row_version, image.version);
    return changed;
}

store_version table_mirror::synced_version() const {
    const std::scoped_lock lock(m_mutex);
    return m_synced_version;
}

store_version table_mirror::newest_row_version() const {
    const std::scoped_lock lock(m_mutex);
    return m_newest_row_version;
}

table_image table_mirror::image() const {
    const std::scoped_lock lock(m_mutex);
    table_image copy;
    copy.version = m_synced_version;
    copy.is_confirmed = m_is_confirmed;
    for (const auto& [key, row] : m_rows) {
        if (!row.is_removed) {
            copy.rows.push_back(row);
        }
    }
    return copy;
}

table_image table_mirror::changes_since(store_version after) const {
    {
        const std::scoped_lock lock(m_mutex);
        if (after.number > 0 && after.era == m_synced_version.era &&
            after >= m_removals_known_from) {
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
