// A local copy of one table of the platform's store, merged from the store's
// feed, from whole reads and from copies that peers hand over.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A row with the version that wrote or removed it.
struct mirrored_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
};

/// Rows of a table as of one version of the store.
struct table_image {
    std::vector<mirrored_row> rows;
    std::uint64_t version = 0; ///< every change up to this one is contained
};

/// Thread-safe. Invariant: a row never goes back to an older version, whatever
/// the source and order of what is applied.
class table_mirror {
public:
    /// Applies changes of the feed up to `version`. Returns the rows that changed.
    std::vector<mirrored_row> apply_changes(const std::vector<mirrored_row>& changes,
                                            std::uint64_t version);
    /// Applies a whole read. Rows that it lacks and that are not newer were
    /// removed. Returns the rows that changed.
    std::vector<mirrored_row> apply_image(const table_image& image);

    /// The version up to which all changes are known; 0 before the first read.
    [[nodiscard]] std::uint64_t complete_to() const;
    /// The highest version of a row, removed ones included.
    [[nodiscard]] std::uint64_t newest_row() const;
    /// A copy of the rows that exist.
    [[nodiscard]] table_image image() const;

private:
    void put(const mirrored_row& row, std::vector<mirrored_row>& changed);

    mutable std::mutex m_mutex;
    std::map<std::string, mirrored_row> m_rows; // guarded by m_mutex
    std::uint64_t m_complete_to = 0;            // guarded by m_mutex
    std::uint64_t m_newest_row = 0;             // guarded by m_mutex
};

} // namespace savoryrelay::state
