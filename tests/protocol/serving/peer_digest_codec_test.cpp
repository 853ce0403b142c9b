// Tests the digests and tables that entry hosts exchange (round trips, sizes, damage),
// and the settings of an entry host.
#include "savoryrelay/protocol/serving/peer_digest_codec.h"
#include "savoryrelay/protocol/settings/edge_settings.h"
#include "savoryrelay/state/member/member.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <cstring>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::protocol;
using namespace std::chrono_literals;

namespace {

state::peer_digest make_digest(std::size_t entries) {
    state::peer_digest digest;
    digest.host = {"edge-a-1", {"10.1.0.40", 7340}, state::availability_zone_id("zone-a"), 0.5};
    digest.scope = state::digest_scope::hub;
    digest.controller_age = std::chrono::minutes(10);
    digest.host_count = 295;
    digest.heard_hosts = 290;
    digest.incarnation = 7;
    digest.has_lost_store = true;
    digest.store_answer_age = state::milliseconds(170);
    digest.hub_answer_age = state::milliseconds(190);
    digest.is_store_in_doubt = true;
    digest.is_controller = true;
    for (std::size_t i = 0; i < entries; ++i) {
        const auto id = state::endpoint_id("i-" + std::to_string(1'000'000'000 + i));
        digest.loads.push_back({id, {1, 2, 300, 1.5, 0.5}});
        state::runner_observation observation;
        observation.id = id;
        observation.model = "daka510000";
        observation.membership = {"g12-34", 12, 0, state::membership_state::open};
        digest.observations.push_back(observation);
        digest.runners_to_confirm.push_back(id);
        digest.crash_notices.push_back({state::crash_notice_kind::quarantined, ~std::uint64_t{i}, i,
                                        std::chrono::minutes(15), static_cast<std::uint8_t>(i)});
        digest.leaving_runners.push_back({id, ~std::uint64_t{i}});
        digest.call_rates.push_back(
            {id, ~std::uint64_t{i},
             i % 3 == 0 ? std::nullopt : std::optional(static_cast<double>(i) / 7),
             state::milliseconds(i)});
    }
    return digest;
}

std::optional<state::peer_digest> read_digest(std::string_view bytes) {
    std::optional<state::peer_digest> digest;
    static_cast<void>(state::collect([&]() -> state::result<void> {
        BOOST_LEAF_ASSIGN(digest, decode_digest(bytes));
        return {};
    }));
    return digest;
}

std::string encode(const state::peer_digest& digest) {
    return state::collect([&] { return encode_digest(digest); }).value();
}

} // namespace

TEST_CASE("a digest of any size is split into datagrams without losing entries") {
    for (const std::size_t entries : {0U, 1U, 12U, 13U, 40U, 41U, 256U}) {
        std::vector<state::crash_notice> notices;
        std::vector<state::leaving_runner> leaving;
        std::vector<state::call_rate_notice> call_rates;
        std::size_t loads = 0;
        std::size_t observations = 0;
        std::size_t runners_to_confirm = 0;
        for (const auto& part : split_digest(make_digest(entries))) {
            const auto text = encode(part);
            CHECK(text.size() <= state::max_datagram_bytes);
            const auto read = read_digest(text);
            REQUIRE(read);
            CHECK(read.value().host.name == "edge-a-1");
            CHECK(read.value().host.address == state::member_address{"10.1.0.40", 7340});
            CHECK(read.value().host.availability_zone.value() == "zone-a");
            CHECK(read.value().scope == state::digest_scope::hub);
            CHECK(read.value().controller_age > std::chrono::minutes(1));
            CHECK(read.value().host_count == 295);
            CHECK(read.value().heard_hosts == 290);
            CHECK(read.value().has_lost_store);
            CHECK(read.value().store_answer_age == state::milliseconds(170));
            CHECK(read.value().hub_answer_age == state::milliseconds(190));
            CHECK(read.value().is_store_in_doubt);
            CHECK(read.value().is_controller);
            loads += read.value().loads.size();
            observations += read.value().observations.size();
            runners_to_confirm += read.value().runners_to_confirm.size();
            leaving.insert(leaving.end(), read.value().leaving_runners.begin(),
                           read.value().leaving_runners.end());
            call_rates.insert(call_rates.end(), read.value().call_rates.begin(),
                              read.value().call_rates.end());
            notices.insert(notices.end(), read.value().crash_notices.begin(),
                           read.value().crash_notices.end());
        }
        CHECK(loads == entries);
        CHECK(observations == entries);
        CHECK(runners_to_confirm == entries);
        CHECK(notices == make_digest(entries).crash_notices);
        CHECK(leaving == make_digest(entries).leaving_runners);
        CHECK(call_rates == make_digest(entries).call_rates);
    }
}

TEST_CASE("the demand and the loads of a digest are decoded as they were encoded") {
    auto digest = make_digest(0);
    digest.loads.push_back({state::endpoint_id("i-1"), {1, 2, 300, 12.5, 6.25}});
    digest.work.push_back({"gold", 1.5, {0.25, 1, 2, 4}});
    const auto read = read_digest(encode(digest));
    REQUIRE(read);
    CHECK(read->loads.front().load.writing == 1);
    CHECK(read->loads.front().load.waiting == 2);
    CHECK(read->loads.front().load.waiting_prompt_tokens == 300);
    CHECK(read->loads.front().load.wanted_calls_per_s == 12.5);
    CHECK(read->loads.front().load.sent_calls_per_s == 6.25);
    CHECK(read->work.front().groups == 1.5);
    CHECK(read->work.front().demand == state::urgency_amounts{0.25, 1, 2, 4});
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

TEST_CASE("datagrams of crash notices do not replace the loads that their sender reported") {
    for (const std::size_t entries : {1U, 41U}) {
        auto digest = make_digest(0);
        digest.part = state::peer_digest::notices_only;
        digest.crash_notices = make_digest(entries).crash_notices;
        const auto parts = split_digest(digest);
        CHECK(parts.size() == (entries + max_digest_notices - 1) / max_digest_notices);
        for (const auto& part : parts) {
            CHECK(part.part == state::peer_digest::notices_only);
        }
    }
}

TEST_CASE("datagrams of leaving runners do not replace the loads that their sender reported") {
    for (const std::size_t entries : {1U, 9U}) {
        auto digest = make_digest(0);
        digest.part = state::peer_digest::notices_only;
        digest.leaving_runners = make_digest(entries).leaving_runners;
        const auto parts = split_digest(digest);
        CHECK(parts.size() == (entries + max_digest_leaving - 1) / max_digest_leaving);
        for (const auto& part : parts) {
            CHECK(part.part == state::peer_digest::notices_only);
        }
    }
}

TEST_CASE("datagrams of rates of calls do not replace the loads that their sender reported") {
    for (const std::size_t entries : {1U, 8U, 9U, 128U}) {
        auto digest = make_digest(0);
        digest.part = state::peer_digest::notices_only;
        digest.call_rates = make_digest(entries).call_rates;
        const auto parts = split_digest(digest);
        CHECK(parts.size() == (entries + max_digest_call_rates - 1) / max_digest_call_rates);
        std::vector<state::call_rate_notice> read_rates;
        for (const auto& part : parts) {
            CHECK(part.part == state::peer_digest::notices_only);
            const auto text = encode(part);
            CHECK(text.size() <= state::max_datagram_bytes);
            const auto read = read_digest(text);
            REQUIRE(read);
            read_rates.insert(read_rates.end(), read->call_rates.begin(), read->call_rates.end());
        }
        CHECK(read_rates == digest.call_rates);
    }
}

TEST_CASE("a rate of calls is decoded as it was encoded, without a loss of precision") {
    for (const std::optional<double> rate :
         {std::optional<double>{}, std::optional<double>{0}, std::optional<double>{6.2},
          std::optional<double>{1.0 / 3}, std::optional<double>{1e300},
          std::optional<double>{std::numeric_limits<double>::max()}}) {
        for (const auto age : {0ms, 1ms, 1'200ms}) {
            state::peer_digest digest;
            digest.part = state::peer_digest::notices_only;
            digest.call_rates = {{state::endpoint_id("r"), ~std::uint64_t{7}, rate, age}};
            const auto read = read_digest(encode(digest));
            REQUIRE(read);
            CHECK(read->call_rates == digest.call_rates);
        }
    }
}

TEST_CASE("a digest whose rates of calls are malformed is refused") {
    constexpr double marker = 300.5;
    const auto bytes_of = [](double value) {
        std::string bytes(sizeof(value), '\0');
        std::memcpy(bytes.data(), &value, sizeof(value));
        return bytes;
    };
    state::peer_digest digest;
    digest.call_rates = {{state::endpoint_id("r"), 7, marker, 5ms}};
    const auto good = encode(digest);
    REQUIRE(read_digest(good));
    const auto at = good.find(bytes_of(marker));
    REQUIRE(at != std::string::npos);
    using limits = std::numeric_limits<double>;
    for (const double rate : {limits::quiet_NaN(), limits::infinity(), -1.0}) {
        CAPTURE(rate);
        auto damaged = good;
        damaged.replace(at, sizeof(rate), bytes_of(rate));
        CHECK_FALSE(read_digest(damaged));
    }
    // Before the rate: the count of rates, the length and text of the id, the start time, and
    // whether there is a rate.
    constexpr std::size_t bytes_before_rate = 1 + 1 + 1 + 8 + 1;
    auto too_many = good;
    REQUIRE(too_many[at - bytes_before_rate] == 1);
    too_many[at - bytes_before_rate] = max_digest_call_rates + 1;
    CHECK_FALSE(read_digest(too_many));
    CHECK_FALSE(read_digest(good.substr(0, good.size() - 2)));
    digest.call_rates.resize(max_digest_call_rates + 1);
    CHECK_FALSE(state::collect([&] { return encode_digest(digest); }));
}

TEST_CASE("a digest whose leaving runners are malformed is refused") {
    state::peer_digest digest;
    digest.leaving_runners = {{state::endpoint_id("r"), 7}};
    const auto good = encode(digest);
    REQUIRE(read_digest(good));
    // The end of the datagram: the count of runners, the length and text of the id, the start
    // time, and the counts of rates of calls and of crash notices.
    constexpr std::size_t runner_bytes = 1 + 1 + 8;
    constexpr std::size_t later_counts = 2;
    const auto count_at = good.size() - later_counts - runner_bytes - 1;
    REQUIRE(good[count_at] == 1);
    auto too_many = good;
    too_many[count_at] = max_digest_leaving + 1;
    CHECK_FALSE(read_digest(too_many));
    CHECK_FALSE(read_digest(good.substr(0, good.size() - later_counts - 1)));
    digest.leaving_runners.resize(max_digest_leaving + 1);
    CHECK_FALSE(state::collect([&] { return encode_digest(digest); }));
}

TEST_CASE("a crash notice is decoded as it was encoded, with its age within the limits") {
    struct age_case {
        state::milliseconds sent;
        state::milliseconds read;
    };
    constexpr state::milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    for (const auto& age : {age_case{0ms, 0ms}, age_case{-1ms, 0ms}, age_case{15min, 15min},
                            age_case{longest + 1ms, longest}}) {
        for (const auto& row : state::enum_table<state::crash_notice_kind>::rows) {
            state::peer_digest digest;
            digest.part = state::peer_digest::notices_only;
            digest.crash_notices = {{row.value, 0x0123456789abcdef, 42, age.sent}};
            const auto text = encode(digest);
            const auto read = read_digest(text);
            REQUIRE(read);
            const state::crash_notice expected{row.value, 0x0123456789abcdef, 42, age.read};
            CHECK(read.value().crash_notices == std::vector{expected});
        }
    }
}

TEST_CASE("a digest whose crash notices are malformed is refused") {
    state::peer_digest digest;
    digest.crash_notices.resize(1);
    const auto good = encode(digest);
    REQUIRE(read_digest(good));
    // The notice is the end of the datagram: its count, kind, fingerprint, crash, age and
    // position.
    constexpr std::size_t notice_bytes = 1 + 8 + 8 + 4 + 1;
    auto unknown_kind = good;
    unknown_kind[good.size() - notice_bytes] =
        static_cast<char>(state::enum_table<state::crash_notice_kind>::rows.size());
    CHECK_FALSE(read_digest(unknown_kind));
    auto too_many = good;
    too_many[good.size() - notice_bytes - 1] = max_digest_notices + 1;
    CHECK_FALSE(read_digest(too_many));
    CHECK_FALSE(read_digest(good.substr(0, good.size() - 1)));
    digest.crash_notices.resize(max_digest_notices + 1);
    CHECK_FALSE(state::collect([&] { return encode_digest(digest); }));
}

TEST_CASE("a digest with a field above its limit is a failure and no exception") {
    auto digest = make_digest(1);
    digest.observations.front().model = std::string(201, 'm');
    CHECK_FALSE(state::collect([&] { return encode_digest(digest); }));
}

TEST_CASE("decoding a damaged digest or table does not crash") {
    CHECK(rc::check("damaged digests and tables", [] {
        auto text = encode(split_digest(make_digest(3)).front());
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text[position] = *rc::gen::arbitrary<char>();
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        static_cast<void>(read_digest(text));
        const auto bytes = *rc::gen::arbitrary<std::string>();
        static_cast<void>(read_digest(bytes));
        static_cast<void>(state::collect([&] { return decode_table(bytes); }));
    }));
}

TEST_CASE("a table is decoded as it was encoded") {
    const state::table_image image{
        {{"config", std::string("a\0b", 3), {2, 9}, false}, {"gone", "", {2, 11}, true}},
        {2, 12},
        {2, 8}};
    const auto read = state::collect([&] { return decode_table(encode_table(image)); });
    REQUIRE(read);
    CHECK(read.value().version == state::store_version(2, 12));
    CHECK(read.value().after == state::store_version(2, 8));
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

TEST_CASE("the row of a host whose names exceed the store's limit is refused") {
    const auto is_read = [](const std::string& name, const std::string& zone) {
        return state::collect(
                   [&] { return decode_host_row(name, "10.1.0.40:7340 " + zone + " 1"); })
            .has_value();
    };
    const std::string longest(200, 'n');
    CHECK(is_read(longest, longest));
    CHECK_FALSE(is_read(longest + "n", "zone-a"));
    CHECK_FALSE(is_read("edge-a-1", longest + "n"));
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
    CHECK(read.value().relay_port == 0);
    const auto with_relay_port = [&](const std::string& port) {
        return std::string(good).replace(good.find("port: 7340"), 10,
                                         "port: 7340, relay_port: " + port);
    };
    const auto relaying =
        state::collect([&] { return read_edge_settings(with_relay_port("7355")); });
    REQUIRE(relaying);
    CHECK(relaying.value().relay_port == 7355);
    const auto shared = state::collect([&] { return read_edge_settings(with_relay_port("7340")); });
    REQUIRE(shared);
    CHECK(shared.value().relay_port == 0);
    for (const auto* invalid : {"65536", "-1", "x"}) {
        CHECK_THAT(message_of(with_relay_port(invalid)), Catch::Contains("peers.relay_port"));
    }

    CHECK_THAT(message_of(good + "call_thread: 2\n"), Catch::Contains("call_threads"));
    CHECK_THAT(message_of(std::string(good).replace(good.find("10.1.0.4:8080"), 13, "nowhere")),
               Catch::Contains("callers"));
}

TEST_CASE("a digest with an amount that is not finite or is negative is refused") {
    // The bytes of each amount are found by its value.
    constexpr float marker = 300.5F;
    const auto bytes_of = [](float value) {
        std::string bytes(sizeof(value), '\0');
        std::memcpy(bytes.data(), &value, sizeof(value));
        return bytes;
    };
    auto of_loads = make_digest(0);
    of_loads.loads.push_back({state::endpoint_id("i-1"), {1, 2, marker}});
    auto of_wanted = make_digest(0);
    of_wanted.loads.push_back({state::endpoint_id("i-1"), {1, 2, 3, marker}});
    auto of_sent = make_digest(0);
    of_sent.loads.push_back({state::endpoint_id("i-1"), {1, 2, 3, 4, marker}});
    auto of_work = make_digest(0);
    of_work.work.push_back({"gold", marker});
    auto of_observations = make_digest(0);
    of_observations.observations.emplace_back().time_factor = marker;
    auto of_sender = make_digest(0);
    of_sender.host.processor_share = marker;
    for (const auto& digest : {of_loads, of_wanted, of_sent, of_work, of_observations, of_sender}) {
        const auto good = encode(digest);
        REQUIRE(read_digest(good));
        const auto at = good.find(bytes_of(marker));
        REQUIRE(at != std::string::npos);
        using limits = std::numeric_limits<float>;
        for (const float amount : {limits::quiet_NaN(), limits::infinity(), -1.0F}) {
            auto damaged = good;
            damaged.replace(at, sizeof(amount), bytes_of(amount));
            CAPTURE(at, amount);
            CHECK_FALSE(read_digest(damaged));
        }
    }
}

TEST_CASE("a runner's amount outside the range of a digest does not make peers refuse it") {
    for (const double factor : {1e300, -1.0}) {
        auto digest = make_digest(1);
        digest.observations.front().time_factor = factor;
        const auto read = read_digest(encode(digest));
        REQUIRE(read);
        const auto received = read.value().observations.front().time_factor;
        CHECK(std::isfinite(received));
        CHECK(received >= 0);
    }
}
