// Tests the JSON of group rows, host claims and roll-outs.
#include "savoryrelay/protocol/group/group_document.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;

namespace {

state::group_row sample_row() {
    return {state::group_id("g"),
            state::deployment_id("d"),
            "v1",
            state::group_state::loading,
            7,
            state::availability_zone_id("z"),
            state::fabric_domain_id("f"),
            {state::host_id("a"), state::host_id("b")}};
}

} // namespace

// Guards against a controller that decodes another group than its predecessor encoded.
TEST_CASE("group rows, host claims and roll-out rows are decoded as they were encoded", "[group]") {
    for (const auto& name : state::enum_table<state::group_state>::rows) {
        auto row = sample_row();
        row.state = name.value;
        const auto text = protocol::encode_group_row(row);
        const auto read = state::collect([&] { return protocol::decode_group_row(text); });
        REQUIRE(read);
        CHECK(read.value().hosts == row.hosts);
        CHECK(read.value().state == row.state);
        CHECK(protocol::encode_group_row(read.value()) == text);
    }
    const auto claim = protocol::encode_host_claim({state::host_id("a"), state::group_id("g")});
    const auto read = state::collect([&] { return protocol::decode_host_claim(claim); });
    CHECK(protocol::encode_host_claim(read.value()) == claim);
    for (const auto& name : state::enum_table<state::rollout_state>::rows) {
        const auto text =
            protocol::encode_rollout_row({state::deployment_id("d"), "v1", "v2", name.value, 3});
        const auto row = state::collect([&] { return protocol::decode_rollout_row(text); });
        REQUIRE(row);
        CHECK(protocol::encode_rollout_row(row.value()) == text);
    }
}

// Guards against decoding a damaged row as a group without hosts, which would count as
// complete, or as a group with the same host twice.
TEST_CASE("damaged group rows are refused", "[group]") {
    const auto good = protocol::encode_group_row(sample_row());
    const auto with = [&](const std::string& from, const std::string& to) {
        auto text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<std::string> damaged{
        "",
        "[]",
        good.substr(0, good.size() / 2),
        with("loading", "running"),
        with("\"generation\":7", "\"generation\":-7"),
        with("[\"a\",\"b\"]", "[]"),
        with("[\"a\",\"b\"]", "[\"a\",\"a\"]"),
        with("[\"a\",\"b\"]", "[1]"),
        with("\"deployment\"", "\"deploy\""),
    };
    for (const auto& text : damaged) {
        const auto read = state::collect([&] { return protocol::decode_group_row(text); });
        REQUIRE_FALSE(read);
        CHECK(read.error().kind == state::failure_kind::message_damaged);
    }
}
