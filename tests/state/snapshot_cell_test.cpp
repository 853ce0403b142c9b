// Tests the snapshots of an immutable value.
#include "savoryrelay/state/core/snapshot_cell.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace savoryrelay;

namespace {

using cell = state::snapshot_cell<std::vector<int>>;

template <typename Cell>
concept reads_temporary_by_star = requires(const Cell& each) {
    *each.load();
};
template <typename Cell>
concept reads_temporary_by_arrow = requires(const Cell& each) {
    each.load()->size();
};
template <typename Cell>
concept reads_moved = requires(decltype(std::declval<const Cell&>().load()) named) {
    *std::move(named);
};

// Guards against a range-based for that frees the snapshot which it iterates over.
static_assert(!reads_temporary_by_star<cell> && !reads_temporary_by_arrow<cell> &&
              !reads_moved<cell>);

} // namespace

TEST_CASE("a snapshot keeps its value when the cell gets another one") {
    cell values({1, 2, 3});
    const auto before = values.load();
    CHECK_FALSE(values.replace_if({}, [](const auto&, const auto&) { return false; }));
    CHECK(values.replace_if({4}, [](const auto&, const auto&) { return true; }));
    CHECK(*before == std::vector<int>{1, 2, 3});
    const auto after = values.load();
    CHECK(after->front() == 4);
    CHECK(static_cast<bool>(after));
    CHECK_FALSE(static_cast<bool>(state::snapshot<int>()));
}
