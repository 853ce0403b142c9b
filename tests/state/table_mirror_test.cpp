// Tests that the local copy of a table converges in any order of changes and images.
#include "savoryrelay/state/serving/table_mirror.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace savoryrelay::state;

namespace {

// Returns a version of a store that was never restored.
store_version at(std::uint64_t number) {
    return {0, number};
}

} // namespace

TEST_CASE("an image removes the rows missing from it, but no newer ones") {
    table_mirror mirror;
    mirror.apply_changes({{"a", "1", at(3), false}, {"b", "1", at(9), false}}, at(9));
    const auto changed = mirror.apply_image({{{"c", "1", at(4), false}}, at(5)});
    CHECK(changed.size() == 2); // c was added, a removed
    const auto image = mirror.image();
    REQUIRE(image.rows.size() == 2);
    CHECK(image.rows[0].key == "b");
    CHECK(image.rows[1].key == "c");
    CHECK(mirror.synced_version() == at(9));
    CHECK(mirror.newest_row_version() == at(9));
}

TEST_CASE("a change older than the stored row has no effect") {
    table_mirror mirror;
    mirror.apply_changes({{"a", "new", at(7), false}}, at(7));
    CHECK(mirror.apply_changes({{"a", "old", at(5), false}}, at(5)).empty());
    CHECK(mirror.apply_changes({{"a", "", at(6), true}}, at(6)).empty());
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
                {key, is_removed ? "" : std::to_string(version), at(version), is_removed});
        }
        std::map<std::string, mirrored_row> newest_rows;
        table_mirror mirror;
        std::map<std::string, store_version> seen;
        for (const auto& row : history) {
            newest_rows[row.key] = row;
        }
        const auto image_at = [&](std::uint64_t version) {
            std::map<std::string, mirrored_row> rows;
            for (const auto& row : history) {
                if (row.version <= at(version)) {
                    rows[row.key] = row;
                }
            }
            table_image image;
            image.version = at(version);
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
                    {history.begin() + static_cast<std::ptrdiff_t>(from), history.end()},
                    at(length));
            }
            for (const auto& row : mirror.image().rows) {
                RC_ASSERT(row.version >= seen[row.key]);
                seen[row.key] = row.version;
            }
        }
        mirror.apply_changes(history, at(length));
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
    source.apply_image({{{"a", "1", at(3), false}, {"b", "1", at(4), false}}, at(5)});
    source.apply_changes({{"a", "", at(8), true}, {"c", "1", at(9), false}}, at(10));

    const auto changes = source.changes_since(at(5));
    CHECK(changes.after == at(5));
    CHECK(changes.version == at(10));
    REQUIRE(changes.rows.size() == 2);
    CHECK(changes.rows.front().is_removed);

    // A row that was removed before the full read leaves no trace in the mirror.
    const auto all = source.changes_since(at(4));
    CHECK(all.after == store_version{});
    CHECK(all.rows.size() == 2);

    table_mirror copy;
    copy.apply_image({{{"a", "1", at(3), false}, {"gone", "1", at(2), false}}, at(4)});
    copy.apply_image(all);
    CHECK(copy.image().rows.size() == 2);
    CHECK(copy.synced_version() == at(10));

    // Changes that do not continue the copy are not applied.
    table_mirror behind;
    behind.apply_image({{{"a", "1", at(3), false}}, at(4)});
    CHECK(behind.apply_image(changes).empty());
    CHECK(behind.synced_version() == at(4));
}

namespace {

// Orders rows whose values are numbers by these.
std::partial_ordering compare_numbers(const mirrored_row& row, const mirrored_row& other) {
    if (row.value.empty() || other.value.empty()) {
        return std::partial_ordering::unordered;
    }
    return std::stoi(row.value) <=> std::stoi(other.value);
}

} // namespace

TEST_CASE("a row that a restored store gives an old version is taken as a new one") {
    table_mirror mirror;
    mirror.apply_image({{{"a", "1", {1, 3}, false}, {"b", "1", {1, 9}, false}}, {1, 9}});
    mirror.apply_image({{{"a", "1", {2, 3}, false}, {"b", "0", {2, 2}, false}}, {2, 3}});
    const auto changed = mirror.apply_changes({{"a", "2", {2, 4}, false}}, {2, 4});
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().value == "2");
    CHECK(mirror.synced_version() == store_version(2, 4));
    // Changes after version 9 of the earlier era would miss this one.
    CHECK(mirror.changes_since({1, 9}).after == store_version{});
}

TEST_CASE("a copy of an earlier era changes no row of a later one") {
    table_mirror mirror;
    mirror.apply_image({{{"a", "new", {2, 4}, false}}, {2, 4}});
    CHECK(mirror.apply_image({{{"a", "old", {1, 8}, false}}, {1, 90}}).empty());
    CHECK(mirror.apply_image({{}, {1, 90}}).empty());
    CHECK(mirror.apply_changes({{"a", "", {1, 95}, true}}, {1, 95}).empty());
    CHECK(mirror.synced_version() == store_version(2, 4));
    CHECK(mirror.image().rows.front().value == "new");
}

TEST_CASE("only a confirmed read of a restored store removes rows or returns removed ones") {
    table_mirror mirror;
    mirror.apply_image({{{"kept", "x", {1, 2}, false}, {"removed", "x", {1, 2}, false}}, {1, 3}});
    mirror.apply_changes({{"removed", "", {1, 5}, true}, {"added", "x", {1, 6}, false}}, {1, 6});
    // The copy was made at version 4.
    table_image restored{{{"kept", "x", {2, 2}, false}, {"removed", "x", {2, 2}, false}}, {2, 4}};
    restored.is_confirmed = false;
    CHECK(mirror.apply_image(restored).empty());
    CHECK_FALSE(mirror.image().is_confirmed);
    restored.is_confirmed = true;
    CHECK(mirror.apply_image(restored).size() == 2);
    CHECK(mirror.image().is_confirmed);
    std::set<std::string> keys;
    for (const auto& row : mirror.image().rows) {
        keys.insert(row.key);
    }
    CHECK(keys == std::set<std::string>{"kept", "removed"});
}

TEST_CASE("the first image of an era removes no rows, whatever its source takes for confirmed") {
    table_mirror started_after;
    started_after.apply_image({{{"a", "1", {2, 3}, false}}, {2, 4}});
    CHECK(started_after.image().is_confirmed);

    table_mirror mirror;
    mirror.apply_image({{{"a", "1", {1, 3}, false}, {"b", "1", {1, 9}, false}}, {1, 9}});
    CHECK(mirror.apply_image(started_after.image()).empty());
    CHECK(mirror.image().rows.size() == 2);
    CHECK_FALSE(mirror.image().is_confirmed);
    CHECK(mirror.synced_version() == store_version(2, 4));
    CHECK(mirror.apply_image(started_after.image()).size() == 1);
}

TEST_CASE("an older content of a restored store never replaces a newer one") {
    table_mirror mirror(compare_numbers);
    mirror.apply_image({{{"a", "16", {1, 50}, false}}, {1, 50}});
    table_image restored{{{"a", "13", {2, 20}, false}}, {2, 30}};
    for (const bool is_confirmed : {false, true}) {
        restored.is_confirmed = is_confirmed;
        CHECK(mirror.apply_image(restored).empty());
        CHECK(mirror.image().rows.front().value == "16");
    }
    // The writer repeats its writes one by one.
    CHECK(mirror.apply_changes({{"a", "14", {2, 31}, false}}, {2, 31}).empty());
    CHECK(mirror.apply_changes({{"a", "16", {2, 32}, false}}, {2, 32}).empty());
    CHECK(mirror.apply_changes({{"a", "17", {2, 33}, false}}, {2, 33}).size() == 1);

    // A copy that has only seen the restored store takes the newer content of a peer.
    table_mirror fresh(compare_numbers);
    fresh.apply_image(restored);
    table_mirror peer(compare_numbers);
    peer.apply_image({{{"a", "16", {1, 50}, false}}, {1, 50}});
    peer.apply_image(restored);
    CHECK(fresh.apply_image(peer.image()).size() == 1);
    CHECK(fresh.image().rows.front().value == "16");
}

TEST_CASE("mirrors converge to a restored store and no content goes back") {
    CHECK(rc::check("restored stores", [] {
        // Writers count their writes in the values. After the restore, each repeats its last.
        struct written {
            std::vector<mirrored_row> rows;
            std::uint64_t number = 0;
            void put(const std::string& key, int value, std::uint64_t era) {
                ++number;
                std::erase_if(rows, [&](const auto& row) { return row.key == key; });
                rows.push_back({key, std::to_string(value), {era, number}, false});
            }
            [[nodiscard]] table_image image(std::uint64_t era) const {
                return {rows, {era, number}};
            }
        };
        std::vector<table_image> images;
        std::map<std::string, int> last;
        written store;
        const auto write = [&](std::uint64_t era) {
            const auto key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
            store.put(key, ++last[key], era);
            images.push_back(store.image(era));
        };
        const auto length = *rc::gen::inRange(2, 12);
        const auto copied_at = *rc::gen::inRange(1, length);
        written copy;
        for (int i = 0; i < length; ++i) {
            write(1);
            if (i + 1 == copied_at) {
                copy = store;
            }
        }
        store = copy;
        for (auto& row : store.rows) {
            row.version.era = 2;
        }
        images.push_back(store.image(2));
        images.back().is_confirmed = false;
        for (const auto& [key, value] : std::map(last)) {
            if (*rc::gen::arbitrary<bool>()) {
                write(2);
            }
            store.put(key, last[key], 2);
            images.push_back(store.image(2));
            images.back().is_confirmed = *rc::gen::arbitrary<bool>();
        }
        table_mirror mirror(compare_numbers);
        table_mirror peer(compare_numbers);
        std::map<std::string, int> seen;
        const auto steps = *rc::gen::inRange(1, 20);
        for (int i = 0; i < steps; ++i) {
            auto& one = *rc::gen::arbitrary<bool>() ? mirror : peer;
            const auto& other = &one == &mirror ? peer : mirror;
            if (*rc::gen::inRange(0, 3) == 0) {
                one.apply_image(other.changes_since(one.synced_version()));
            } else {
                one.apply_image(images[*rc::gen::inRange<std::size_t>(0, images.size())]);
            }
            for (const auto& row : mirror.image().rows) {
                RC_ASSERT(std::stoi(row.value) >= seen[row.key]);
                seen[row.key] = std::stoi(row.value);
            }
        }
        mirror.apply_image(store.image(2));
        for (const auto& row : mirror.image().rows) {
            RC_ASSERT(std::stoi(row.value) == last.at(row.key));
        }
        RC_ASSERT(mirror.image().rows.size() == last.size());
        RC_ASSERT(mirror.synced_version() == store_version(2, store.number));
    }));
}

TEST_CASE("a row written soon after a restore is not held back if its number is a new one") {
    table_mirror mirror;
    mirror.apply_image({{{"a", "old", {1, 9}, false}}, {1, 9}});
    table_image restored{{{"a", "new", {2, 12}, false}}, {2, 12}};
    restored.is_confirmed = false;
    CHECK(mirror.apply_image(restored).size() == 1);
}

TEST_CASE(
    "a copy that is confirmed stays so when a peer's unconfirmed copy of its era is applied") {
    table_mirror mirror;
    mirror.apply_image({{{"a", "1", {2, 9}, false}}, {2, 9}});
    table_image unconfirmed{{{"a", "2", {2, 10}, false}}, {2, 10}};
    unconfirmed.is_confirmed = false;
    CHECK(mirror.apply_image(unconfirmed).size() == 1);
    CHECK(mirror.image().is_confirmed);
}
