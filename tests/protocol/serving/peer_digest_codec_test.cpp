// Tests the digests and tables that entry hosts exchange (round trips, sizes, damage),
// and the settings of an entry host.
#include "savoryrelay/protocol/serving/peer_digest_codec.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/state/member/member.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using namespace savoryrelay::protocol;

namespace {

state::peer_digest make_digest(std::size_t entries) {
    state::peer_digest digest;
    digest.host = {"edge-a-1", {"10.1.0.40", 7340}, state::availability_zone_id("zone-a"), 0.5};
    digest.scope = state::digest_scope::hub;
    digest.tables_age = state::milliseconds(150);
    digest.controller_age = std::chrono::minutes(10);
    digest.host_count = 295;
    digest.incarnation = 7;
    digest.is_controller = true;
    for (std::size_t i = 0; i < entries; ++i) {
        const auto id = state::endpoint_id("i-" + std::to_string(1'000'000 + i));
        digest.loads.push_back({id, {1, 2, 300}});
        state::runner_observation observation;
        observation.id = id;
        observation.model = "daka510000";
        observation.membership = {"g12-34", 12, 0, state::membership_state::open};
        digest.observations.push_back(observation);
        digest.runners_to_confirm.push_back(id);
    }
    return digest;
}

} // namespace

TEST_CASE("a digest of any size is split into datagrams without losing entries") {
    for (const std::size_t entries : {0U, 1U, 12U, 13U, 40U}) {
        std::size_t loads = 0;
        std::size_t observations = 0;
        std::size_t runners_to_confirm = 0;
        for (const auto& part : split_digest(make_digest(entries))) {
            const auto text = encode_digest(part);
            CHECK(text.size() <= state::max_datagram_bytes);
            const auto read = state::collect([&] { return decode_digest(text); });
            REQUIRE(read);
            CHECK(read.value().host.name == "edge-a-1");
            CHECK(read.value().host.address == state::member_address{"10.1.0.40", 7340});
            CHECK(read.value().host.availability_zone.value() == "zone-a");
            CHECK(read.value().scope == state::digest_scope::hub);
            CHECK(read.value().tables_age == state::milliseconds(150));
            CHECK(read.value().controller_age > std::chrono::minutes(1));
            CHECK(read.value().host_count == 295);
            CHECK(read.value().is_controller);
            loads += read.value().loads.size();
            observations += read.value().observations.size();
            runners_to_confirm += read.value().runners_to_confirm.size();
        }
        CHECK(loads == entries);
        CHECK(observations == entries);
        CHECK(runners_to_confirm == entries);
    }
}

TEST_CASE("datagrams of observations do not replace the loads that their sender reported") {
    for (const std::size_t entries : {1U, 13U}) {
        auto digest = make_digest(0);
        digest.part = state::peer_digest::observations_only;
        digest.observations = make_digest(entries).observations;
        const auto parts = split_digest(digest);
        CHECK(parts.size() == (entries + max_digest_entries - 1) / max_digest_entries);
        for (const auto& part : parts) {
            CHECK(part.part == state::peer_digest::observations_only);
        }
    }
}

TEST_CASE("decoding a damaged digest or table does not crash") {
    CHECK(rc::check("damaged digests and tables", [] {
        auto text = encode_digest(split_digest(make_digest(3)).front());
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text[position] = *rc::gen::arbitrary<char>();
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        static_cast<void>(state::collect([&] { return decode_digest(text); }));
        const auto bytes = *rc::gen::arbitrary<std::string>();
        static_cast<void>(state::collect([&] { return decode_digest(bytes); }));
        static_cast<void>(state::collect([&] { return decode_table(bytes); }));
    }));
}

TEST_CASE("a table is decoded as it was encoded") {
    const state::table_image image{
        {{"config", std::string("a\0b", 3), 9, false}, {"gone", "", 11, true}}, 12, 8};
    const auto read = state::collect([&] { return decode_table(encode_table(image)); });
    REQUIRE(read);
    CHECK(read.value().version == 12);
    CHECK(read.value().after == 8);
    CHECK(read.value().rows.back().is_removed);
    CHECK(read.value().rows.front().value == image.rows.front().value);
}

TEST_CASE("the row of a host is decoded as it was encoded, and a damaged one is refused") {
    const state::host_entry host{
        "edge-a-1", {"10.1.0.40", 7340}, state::availability_zone_id("zone-a"), 0.12};
    const auto row = encode_host_row(host);
    const auto read = state::collect([&] { return decode_host_row("edge-a-1", row); });
    REQUIRE(read);
    CHECK(read.value().address == host.address);
    CHECK(read.value().availability_zone == host.availability_zone);
    CHECK(read.value().processor_share == Approx(0.12));
    for (const std::string damaged :
         {"", "10.1.0.40", "10.1.0.40:7340", "10.1.0.40:x zone-a 1", "10.1.0.40:0 zone-a 1",
          "10.1.0.40:73400 zone-a 1", "10.1.0.40:7340 zone-a much"}) {
        INFO(damaged);
        CHECK_FALSE(state::collect([&] { return decode_host_row("edge-a-1", damaged); }));
    }
}

TEST_CASE("an error in an entry host's settings names the invalid field") {
    const std::string good = "host: edge-a-1\navailability_zone: a\ncallers: 10.1.0.4:8080\n"
                             "readiness: 10.1.0.4:8081\nmetrics: 10.1.0.4:8082\n"
                             "store: 10.2.0.7:8223\npeers: {address: 10.1.0.4, port: 7340, "
                             "seeds: '10.1.0.4:1,10.2.0.4:1'}\n";
    const auto read = state::collect([&] { return read_edge_settings(good); });
    REQUIRE(read);
    CHECK(read.value().callers.port == 8080);
    CHECK(read.value().seeds.size() == 2);
    CHECK(read.value().seeds[1].port == 7340);

    const auto message_of = [](const std::string& text) {
        const auto failed = state::collect([&] { return read_edge_settings(text); });
        REQUIRE_FALSE(failed);
        return failed.error().message();
    };
    CHECK_THAT(message_of(good + "call_thread: 2\n"), Catch::Contains("call_threads"));
    CHECK_THAT(message_of(std::string(good).replace(good.find("10.1.0.4:8080"), 13, "nowhere")),
               Catch::Contains("callers"));
}
