// Tests that the local copy of a table converges in any order of changes and images.
#include "savoryrelay/state/serving/table_mirror.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace savoryrelay::state;

TEST_CASE("an image removes the rows missing from it, but no newer ones") {
    table_mirror mirror;
    mirror.apply_changes({{"a", "1", 3, false}, {"b", "1", 9, false}}, 9);
    const auto changed = mirror.apply_image({{{"c", "1", 4, false}}, 5});
    CHECK(changed.size() == 2); // c was added, a removed
    const auto image = mirror.image();
    REQUIRE(image.rows.size() == 2);
    CHECK(image.rows[0].key == "b");
    CHECK(image.rows[1].key == "c");
    CHECK(mirror.synced_version() == 9);
    CHECK(mirror.newest_row_version() == 9);
}

TEST_CASE("a change older than the stored row has no effect") {
    table_mirror mirror;
    mirror.apply_changes({{"a", "new", 7, false}}, 7);
    CHECK(mirror.apply_changes({{"a", "old", 5, false}}, 5).empty());
    CHECK(mirror.apply_changes({{"a", "", 6, true}}, 6).empty());
    CHECK(mirror.image().rows.front().value == "new");
}

TEST_CASE("a mirror converges to the history in any order of changes and images") {
    CHECK(rc::check("mirrors converge", [] {
        // Generate a history of writes and removals of four keys.
        const auto length = *rc::gen::inRange<std::uint64_t>(1, 30);
        std::vector<mirrored_row> history;
        for (std::uint64_t version = 1; version <= length; ++version) {
            const auto key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            const bool is_removed = *rc::gen::arbitrary<bool>();
            history.push_back(
                {key, is_removed ? "" : std::to_string(version), version, is_removed});
        }
        std::map<std::string, mirrored_row> newest_rows;
        table_mirror mirror;
        std::map<std::string, std::uint64_t> seen;
        for (const auto& row : history) {
            newest_rows[row.key] = row;
        }
        const auto image_at = [&](std::uint64_t version) {
            std::map<std::string, mirrored_row> rows;
            for (const auto& row : history) {
                if (row.version <= version) {
                    rows[row.key] = row;
                }
            }
            table_image image;
            image.version = version;
            for (const auto& [key, row] : rows) {
                if (!row.is_removed) {
                    image.rows.push_back(row);
                }
            }
            return image;
        };
        const auto steps = *rc::gen::inRange(0, 12);
        for (int i = 0; i < steps; ++i) {
            if (*rc::gen::arbitrary<bool>()) {
                mirror.apply_image(image_at(*rc::gen::inRange<std::uint64_t>(1, length + 1)));
            } else {
                const auto from = *rc::gen::inRange<std::size_t>(0, history.size());
                mirror.apply_changes(
                    {history.begin() + static_cast<std::ptrdiff_t>(from), history.end()}, length);
            }
            for (const auto& row : mirror.image().rows) {
                RC_ASSERT(row.version >= seen[row.key]);
                seen[row.key] = row.version;
            }
        }
        mirror.apply_changes(history, length);
        std::size_t present = 0;
        for (const auto& [key, row] : newest_rows) {
            present += row.is_removed ? 0 : 1;
        }
        const auto image = mirror.image();
        RC_ASSERT(image.rows.size() == present);
        for (const auto& row : image.rows) {
            RC_ASSERT(row.value == newest_rows.at(row.key).value);
        }
    }));
}

TEST_CASE("changes since a version contain removals, or are a full copy if some are unknown") {
    table_mirror source;
    source.apply_image({{{"a", "1", 3, false}, {"b", "1", 4, false}}, 5});
    source.apply_changes({{"a", "", 8, true}, {"c", "1", 9, false}}, 10);

    const auto changes = source.changes_since(5);
    CHECK(changes.after == 5);
    CHECK(changes.version == 10);
    REQUIRE(changes.rows.size() == 2);
    CHECK(changes.rows.front().is_removed);

    // A row that was removed before the full read leaves no trace in the mirror.
    const auto all = source.changes_since(4);
    CHECK(all.after == 0);
    CHECK(all.rows.size() == 2);

    table_mirror copy;
    copy.apply_image({{{"a", "1", 3, false}, {"gone", "1", 2, false}}, 4});
    copy.apply_image(all);
    CHECK(copy.image().rows.size() == 2);
    CHECK(copy.synced_version() == 10);

    // Changes that do not continue the copy are not applied.
    table_mirror behind;
    behind.apply_image({{{"a", "1", 3, false}}, 4});
    CHECK(behind.apply_image(changes).empty());
    CHECK(behind.synced_version() == 4);
}
