// A local copy of one table of the platform's store, merged from the store's change
// feed, from full reads and from copies that peers send.
#pragma once

#include "savoryrelay/state/platform/store_version.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A row with the store's version at which it was written or removed.
struct mirrored_row {
    std::string key;
    std::string value; ///< of a removed row: the last known value, or empty
    store_version version{};
    bool is_removed = false;
};

/// The rows of a table as of one version of the store.
struct table_image {
    std::vector<mirrored_row> rows;
    store_version version{}; ///< all changes up to this version are included
    /// Number 0 for a full copy. Otherwise `rows` holds the rows that were written or removed
    /// after this version.
    store_version after{};
    /// False for a full copy that was read soon after the store was restored: its rows may be
    /// older than what their writers have written last, and rows may be missing.
    bool is_confirmed = true;
};

/// Compares two rows with the same key by what their writer states in them, such as a
/// version of its own. Returns `unordered` if they state nothing that can be compared.
using row_order_hook =
    std::function<std::partial_ordering(const mirrored_row& row, const mirrored_row& other)>;

/// Returns `unordered` for all rows.
[[nodiscard]] row_order_hook no_row_order();

/// Holds the newest known version of each row. Thread-safe.
///
/// Within an era of the store, the store's versions order the rows. A restored store returns
/// rows that are older than rows this copy has held, until their writers have written them
/// again. So between eras the hook `row_order` decides. Where it can't, only a confirmed read
/// changes a row that was known. The first read of an era counts as not confirmed.
///
/// Invariant: a row never returns to an older version of the same era, nor to an older
/// content, in whatever order changes and images are applied.
class table_mirror {
public:
    explicit table_mirror(row_order_hook row_order = no_row_order());

    /// Applies the feed's changes up to `version`. Returns the rows that changed.
    std::vector<mirrored_row> apply_changes(const std::vector<mirrored_row>& changes,
                                            store_version version);
    /// Applies a full read. A confirmed one removes the rows that are missing from it, except
    /// those that are newer than the read. An image of changes is applied only if no change is
    /// missing between it and this copy. Returns the rows that changed.
    std::vector<mirrored_row> apply_image(const table_image& image);

    /// Returns the version up to which all changes are known; number 0 before the first read.
    [[nodiscard]] store_version synced_version() const;
    /// Returns the highest version of any row, including removed rows.
    [[nodiscard]] store_version newest_row_version() const;
    /// Returns a copy of the rows that are not removed.
    [[nodiscard]] table_image image() const;
    /// Returns the rows that were written or removed after version `after`, or a full copy
    /// if this mirror does not know all removals since then.
    [[nodiscard]] table_image changes_since(store_version after) const;

private:
    /// Stores the row if it is newer than the held one, and adds it to `changed` if
    /// this has a visible effect.
    void put(const mirrored_row& row, bool is_confirmed, std::vector<mirrored_row>& changed);
    [[nodiscard]] bool is_newer(const mirrored_row& row, const mirrored_row& held,
                                bool is_confirmed) const;

    const row_order_hook m_row_order;
    mutable std::mutex m_mutex;
    std::map<std::string, mirrored_row> m_rows; // guarded by m_mutex
    store_version m_synced_version;             // guarded by m_mutex
    /// All removals after this version are known. A full read shows only which rows remain.
    store_version m_removals_known_from; // guarded by m_mutex
    store_version m_newest_row_version;  // guarded by m_mutex
    bool m_is_confirmed = true;          // of the last full read; guarded by m_mutex
};

} // namespace savoryrelay::state
