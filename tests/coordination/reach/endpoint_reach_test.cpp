// Tests when a host takes itself to be cut off from all endpoints.
#include "savoryrelay/coordination/reach/endpoint_reach.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>

using namespace savoryrelay;
using coordination::endpoint_reach;
using state::endpoint_id;
using state::milliseconds;
using state::time_point;

namespace {

std::vector<endpoint_id> endpoints(std::size_t count) {
    std::vector<endpoint_id> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.emplace_back("m" + std::to_string(i));
    }
    return all;
}

struct probing_host {
    endpoint_reach reach{[engine = std::mt19937_64(1)]() mutable { return engine(); }};
    std::vector<endpoint_id> all = endpoints(48);
    time_point now = time_point() + std::chrono::hours(1);

    // Makes the probes that are due, of which `reaches` says how they end.
    std::size_t probe(const std::function<bool(const endpoint_id&)>& reaches) {
        const auto due = reach.due_probes(all, now);
        for (const auto& id : due) {
            if (reaches(id)) {
                reach.note_reached(id, all.size(), now);
            } else {
                reach.note_unreached(id, all.size(), now);
            }
        }
        return due.size();
    }
};

bool always(const endpoint_id&) {
    return true;
}
bool never(const endpoint_id&) {
    return false;
}

} // namespace

TEST_CASE("reach: a host without doubts probes nothing") {
    probing_host host;
    CHECK(host.probe(never) == 0);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: a host that reaches no endpoint is cut off after two rounds of probes") {
    probing_host host;
    host.reach.note_doubt(host.now);
    CHECK(host.probe(never) == 1);
    CHECK_FALSE(host.reach.is_cut_off());
    CHECK(host.probe(never) == endpoint_reach::probes_in_doubt);
    CHECK(host.reach.is_cut_off());
}

TEST_CASE("reach: one endpoint in reach ends the doubt, and others are ignored for a while") {
    probing_host host;
    host.reach.note_doubt(host.now);
    CHECK(host.probe(always) == 1);
    host.now += endpoint_reach::trust_time - milliseconds(1);
    host.reach.note_doubt(host.now);
    CHECK(host.probe(never) == 0);
    host.now += milliseconds(1);
    host.reach.note_doubt(host.now);
    CHECK(host.probe(never) == 1);
}

TEST_CASE("reach: endpoints that are down among others cut no host off") {
    probing_host host;
    host.reach.note_doubt(host.now);
    bool is_first = true;
    const auto reaches = [&](const endpoint_id&) { return !std::exchange(is_first, false); };
    CHECK(host.probe(reaches) == 1);
    CHECK(host.probe(reaches) == endpoint_reach::probes_in_doubt);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: a host that is cut off returns after it has reached two endpoints") {
    probing_host host;
    host.reach.note_doubt(host.now);
    host.probe(never);
    host.probe(never);
    REQUIRE(host.reach.is_cut_off());
    CHECK(host.probe(always) == 0); // not due yet
    host.now += endpoint_reach::probe_interval;
    int reached = 0;
    const auto one_of_two = [&](const endpoint_id&) { return reached++ % 2 == 0; };
    CHECK(host.probe(one_of_two) == endpoint_reach::probes_when_cut_off);
    CHECK(host.reach.is_cut_off());
    CHECK(host.reach.is_in_doubt(host.now));
    CHECK(host.probe(always) == endpoint_reach::probes_when_cut_off); // follows at once
    CHECK_FALSE(host.reach.is_cut_off());
    CHECK_FALSE(host.reach.is_in_doubt(host.now));
}

TEST_CASE("reach: an endpoint that was reached long ago does not end a cut") {
    probing_host host;
    host.reach.note_doubt(host.now);
    host.probe(never);
    host.probe(never);
    host.reach.note_reached(host.all[0], host.all.size(), host.now);
    host.now += endpoint_reach::evidence_age + milliseconds(1);
    host.reach.note_reached(host.all[1], host.all.size(), host.now);
    CHECK(host.reach.is_cut_off());
    host.reach.note_reached(host.all[2], host.all.size(), host.now);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: a host that knows no endpoints probes none and tries again later") {
    probing_host host;
    host.reach.note_doubt(host.now);
    host.probe(never);
    host.probe(never);
    REQUIRE(host.reach.is_cut_off());
    auto all = std::exchange(host.all, {});
    host.now += endpoint_reach::evidence_age;
    CHECK(host.probe(always) == 0);
    host.all = std::move(all);
    host.now += endpoint_reach::probe_interval;
    CHECK(host.probe(always) == endpoint_reach::probes_when_cut_off);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: all endpoints of a small deployment are evidence enough") {
    probing_host host;
    host.all = endpoints(1);
    host.reach.note_doubt(host.now);
    CHECK(host.probe(never) == 1);
    CHECK(host.reach.is_cut_off());
    host.now += endpoint_reach::probe_interval;
    host.probe(always);
    host.now += endpoint_reach::probe_interval;
    host.probe(always);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: failures that are long past are no evidence") {
    probing_host host;
    host.reach.note_unreached(host.all[0], host.all.size(), host.now);
    host.now += endpoint_reach::evidence_age + milliseconds(1);
    host.reach.note_unreached(host.all[1], host.all.size(), host.now);
    host.reach.note_unreached(host.all[2], host.all.size(), host.now);
    CHECK_FALSE(host.reach.is_cut_off());
}

TEST_CASE("reach: a host finds each cut and its end within a second, and no cut without one") {
    rc::check([] {
        probing_host host;
        // A quarter of the endpoints are down all the while.
        const auto is_down = [](const endpoint_id& id) {
            return std::hash<std::string>{}(id.value()) % 4 == 0;
        };
        const auto cut_at = *rc::gen::inRange(500, 3'000);
        const auto cut_for = *rc::gen::inRange(1'000, 6'000);
        const auto doubt_every = *rc::gen::inRange(20, 400);
        for (int at = 0; at < cut_at + cut_for + 3'000; at += 10) {
            const bool is_cut = at >= cut_at && at < cut_at + cut_for;
            if (at % doubt_every < 10) {
                host.reach.note_doubt(host.now);
            }
            host.probe([&](const endpoint_id& id) { return !is_cut && !is_down(id); });
            if (is_cut && at >= cut_at + 2'000) {
                RC_ASSERT(host.reach.is_cut_off());
            }
            if (at >= cut_at + cut_for + 2'500) {
                RC_ASSERT(!host.reach.is_cut_off());
            }
            host.now += milliseconds(10);
        }
    });
}
