// Tests when groups of one model are closed in favour of another.
#include "savoryrelay/coordination/serving/model_balance.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace savoryrelay;
using namespace savoryrelay::coordination;

namespace {

state::engine_rule make_engine() {
    state::engine_rule engine;
    engine.models = {{"large", 4, 0.67, 1.0, {}, {}}, {"small", 2, 0.33, 0.6, {}, {}}};
    return engine;
}

model_balance make_balance(double large_work, int large, double small_work, int small) {
    model_balance balance({{"large", large_work}, {"small", small_work}});
    for (int i = 0; i < large; ++i) {
        balance.add_group("large");
    }
    for (int i = 0; i < small; ++i) {
        balance.add_group("small");
    }
    return balance;
}

convertible_group small_group(const char* head, bool is_ready) {
    return {state::endpoint_id(head), "small", {{"small", 2}, {"large", is_ready ? 2 : 0}}};
}

} // namespace

TEST_CASE("a conversion closes the fewest groups that complete a group with the free runners") {
    // Guards against a service that keeps one large group and eight small ones at equal
    // work, as seen on tadyang-relay scale-1.
    const auto engine = make_engine();
    const auto balance = make_balance(3, 1, 3, 8);
    const std::vector<domain_inventory> domains{
        {state::fabric_domain_id("a"), {}, {small_group("a1", true), small_group("a2", true)}},
        {state::fabric_domain_id("b"), {{"large", 2}}, {small_group("b1", true)}},
        {state::fabric_domain_id("c"), {{"large", 3}}, {small_group("c1", false)}},
    };
    const auto chosen = choose_conversion(engine, balance, domains);
    REQUIRE(chosen);
    CHECK(chosen->model == "large");
    CHECK(chosen->domain == state::fabric_domain_id("b"));
    CHECK(chosen->heads == std::vector{state::endpoint_id("b1")});
}

TEST_CASE("a group with one ready member is converted where one runner is missing") {
    const auto engine = make_engine();
    const convertible_group half{state::endpoint_id("a1"), "small", {{"small", 2}, {"large", 1}}};
    const auto with_free = [&](std::size_t free) {
        return std::vector<domain_inventory>{
            {state::fabric_domain_id("a"), {{"large", free}}, {half}}};
    };
    const auto balance = make_balance(3, 3, 3, 8);
    CHECK(choose_conversion(engine, balance, with_free(3)));
    CHECK_FALSE(choose_conversion(engine, balance, with_free(2)));
}

TEST_CASE("a group is not closed if its own model needs it as much") {
    const auto engine = make_engine();
    const std::vector<domain_inventory> domains{
        {state::fabric_domain_id("a"), {{"large", 3}}, {small_group("a1", true)}}};
    CHECK(choose_conversion(engine, make_balance(3, 3, 3, 6), domains));
    CHECK_FALSE(choose_conversion(engine, make_balance(3, 3, 4, 4), domains));
    // The large model is not busy.
    CHECK_FALSE(choose_conversion(engine, make_balance(2, 4, 1, 6), domains));
    // A model keeps its last group.
    CHECK_FALSE(choose_conversion(engine, make_balance(3, 1, 0, 1), domains));
}

TEST_CASE("shares follow the measured work once there is enough work") {
    const auto engine = make_engine();
    const auto before = model_balance({}).with_measured_shares(engine.models);
    CHECK(before.front().share == Approx(0.67));
    const auto after = make_balance(2, 0, 4, 0).with_measured_shares(engine.models);
    CHECK(after.front().share == Approx(0.5));
    CHECK(after.back().share == Approx(0.5));
}

TEST_CASE("a conversion is never reversed at the same work") {
    CHECK(rc::check("no reversal", [] {
        const auto large = *rc::gen::inRange(1, 8);
        const auto small = *rc::gen::inRange(2, 12);
        const double large_work = *rc::gen::inRange(0, 80) / 10.0;
        const double small_work = *rc::gen::inRange(0, 80) / 10.0;
        const auto before = make_balance(large_work, large, small_work, small);
        if (!before.is_conversion_worthwhile("small", 2, "large")) {
            return;
        }
        const auto after = make_balance(large_work, large + 1, small_work, small - 2);
        RC_ASSERT_FALSE(after.is_conversion_worthwhile("large", 1, "small"));
    }));
}
