// A local copy of one table of the platform's store, merged from the store's change
// feed, from full reads and from copies that peers send.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A row with the store's version at which it was written or removed.
struct mirrored_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
};

/// The rows of a table as of one version of the store.
struct table_image {
    std::vector<mirrored_row> rows;
    std::uint64_t version = 0; ///< all changes up to this version are included
    /// 0 for a full copy. Otherwise `rows` holds the rows that were written or removed
    /// after this version.
    std::uint64_t after = 0;
};

/// Holds the newest known version of each row. Thread-safe. Invariant: a row never
/// returns to an older version, in whatever order changes and images are applied.
class table_mirror {
public:
    /// Applies the feed's changes up to `version`. Returns the rows that changed.
    std::vector<mirrored_row> apply_changes(const std::vector<mirrored_row>& changes,
                                            std::uint64_t version);
    /// Applies a full read, which removes the rows that are missing from it, except those
    /// that are newer than the read. An image of changes is applied only if no change is
    /// missing between it and this copy. Returns the rows that changed.
    std::vector<mirrored_row> apply_image(const table_image& image);

    /// Returns the version up to which all changes are known; 0 before the first read.
    [[nodiscard]] std::uint64_t synced_version() const;
    /// Returns the highest version of any row, including removed rows.
    [[nodiscard]] std::uint64_t newest_row_version() const;
    /// Returns a copy of the rows that are not removed.
    [[nodiscard]] table_image image() const;
    /// Returns the rows that were written or removed after version `after`, or a full copy
    /// if this mirror does not know all removals since then.
    [[nodiscard]] table_image changes_since(std::uint64_t after) const;

private:
    /// Stores the row if it is newer than the held one, and adds it to `changed` if
    /// this has a visible effect.
    void put(const mirrored_row& row, std::vector<mirrored_row>& changed);

    mutable std::mutex m_mutex;
    std::map<std::string, mirrored_row> m_rows; // guarded by m_mutex
    std::uint64_t m_synced_version = 0;         // guarded by m_mutex
    /// All removals after this version are known. A full read shows only which rows remain.
    std::uint64_t m_removals_known_from = 0; // guarded by m_mutex
    std::uint64_t m_newest_row_version = 0;  // guarded by m_mutex
};

} // namespace savoryrelay::state
