// Table tests of the pure decision functions for groups: completeness, host loss and
// placement.
#include "savoryrelay/coordination/group/group_completeness.h"
#include "savoryrelay/coordination/group/group_planner.h"
#include "savoryrelay/coordination/group/host_loss.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using std::chrono::seconds;

// Guards against requests to a group whose engines have stale reports, have not loaded,
// or belong to another group or generation.
TEST_CASE("a group is complete only with current reports of all its hosts", "[group]") {
    const state::time_point now{std::chrono::hours(1)};
    state::group_row group;
    group.id = state::group_id("g");
    group.generation = 3;
    group.hosts = {state::host_id("a"), state::host_id("b")};
    const engine_report good{group.id, 3, true, 0, now - seconds(5)};
    struct row {
        const char* name;
        engine_report second;
        bool complete;
    };
    const std::vector<row> rows{
        {"good", good, true},
        {"old report", {group.id, 3, true, 0, now - seconds(5) - state::milliseconds(1)}, false},
        {"other group", {state::group_id("h"), 3, true, 0, now}, false},
        {"older generation", {group.id, 2, true, 0, now}, false},
        {"newer generation", {group.id, 4, true, 0, now}, false},
        {"not loaded", {group.id, 3, false, 0, now}, false},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        const engine_reports reports{{group.hosts[0], good}, {group.hosts[1], row.second}};
        CHECK(is_complete(group, reports, now, seconds(5)) == row.complete);
        CHECK_FALSE(is_eligible(group, reports, now, seconds(5))); // the row's state is forming
    }
    CHECK_FALSE(is_complete(group, {{group.hosts[0], good}}, now, seconds(5)));
    group.hosts.clear();
    CHECK_FALSE(is_complete(group, {}, now, seconds(5)));
}

// Guards against waiting for a host although a spare or another domain is
// quicker, against a replacement inside a drained zone, and against dissolving
// a group when nothing else could use its hosts.
TEST_CASE("the action on host loss follows the expected cost", "[group]") {
    using a = host_loss_action;
    struct row {
        const char* name;
        host_loss_input loss;
        a action;
    };
    const std::vector<row> rows{
        {"spare", {.hosts = 8, .missing = 1, .spares = 1}, a::replace},
        {"too few spares", {.hosts = 8, .missing = 2, .spares = 1}, a::wait},
        {"drained zone", {.hosts = 8, .missing = 1, .spares = 1, .zone_drained = true}, a::wait},
        {"elsewhere", {.hosts = 8, .missing = 1, .fits_elsewhere = true}, a::dissolve},
        {"spare before elsewhere",
         {.hosts = 8, .missing = 1, .spares = 1, .fits_elsewhere = true},
         a::replace},
        {"nothing free", {.hosts = 8, .missing = 1}, a::wait},
        {"survivors complete other groups",
         {.hosts = 8, .missing = 2, .repairable_groups = 2, .time_since_loss = seconds(3600)},
         a::dissolve},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        CHECK(decide_host_loss(row.loss, {}).action == row.action);
    }
    // Waiting is the cheapest action when loading elsewhere takes longer than the outage.
    host_loss_settings slow;
    slow.outages.failures_per_day = 0.0;
    slow.outages.mean_restart = seconds(20);
    slow.reform_overhead = seconds(120);
    CHECK(decide_host_loss({.hosts = 8, .missing = 1, .fits_elsewhere = true}, slow).action ==
          a::wait);
    // The expected time to return grows with the time away and stays finite.
    CHECK(expected_time_to_return({}, seconds(1200)) > expected_time_to_return({}, seconds(0)));
    CHECK(expected_time_to_return({}, std::chrono::hours(24 * 365)) <= std::chrono::hours(4));
}

// Guards against a group that spans domains or is placed in a drained zone, against
// placing all groups in one zone, and against taking the last spare of a domain while
// another domain has more.
TEST_CASE("placement respects fabric domains, drained zones and spares", "[group]") {
    const auto hosts = [](const std::string& zone, const std::string& domain, int count) {
        std::vector<free_host> made;
        for (int i = 0; i < count; ++i) {
            made.push_back({state::host_id(domain + std::to_string(i)),
                            state::availability_zone_id(zone), state::fabric_domain_id(domain)});
        }
        return made;
    };
    placement_request request;
    for (const auto& [zone, domain, count] :
         {std::tuple("a", "a1", 16), std::tuple("a", "a2", 17), std::tuple("b", "b1", 20),
          std::tuple("c", "c1", 32)}) {
        const auto more = hosts(zone, domain, count);
        request.free_hosts.insert(request.free_hosts.end(), more.begin(), more.end());
    }
    request.drained_zones = {state::availability_zone_id("c")};
    request.spares_per_domain = 1;
    request.group_sizes = {4, 16, 16, 16, 17, 0};
    const auto planned = plan_groups(request);
    REQUIRE(planned.size() == 4);
    std::set<state::host_id> taken;
    for (const auto& group : planned) {
        CHECK(group.availability_zone != state::availability_zone_id("c"));
        for (const auto& host : group.hosts) {
            CHECK(taken.insert(host).second);
            CHECK(host.value().starts_with(group.fabric_domain.value()));
        }
    }
    // Among the groups of 16 hosts, the domain without a spare host is used last.
    CHECK(planned[0].fabric_domain.value() == "a2");
    CHECK(planned[1].fabric_domain.value() == "b1");
    CHECK(planned[2].fabric_domain.value() == "a1");
    CHECK(planned[3].fabric_domain.value() == "b1");
}
