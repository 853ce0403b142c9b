// Tests the decisions of the call path through the functions that front ends call.
#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/state/digest/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using state::execution_outcome;
using state::failure_kind;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
const state::deployment_id model_id{"model"};
const state::deployment_id service_id{"service"};

state::endpoint_config endpoint(const std::string& id, const state::deployment_id& deployment,
                                const std::string& zone) {
    state::endpoint_config row;
    row.id = state::endpoint_id(id);
    row.deployment = deployment;
    row.availability_zone = state::availability_zone_id(zone);
    row.address = "127.0.0.1";
    row.port = 1;
    return row;
}

// A configuration with two zones, a model and an at-most-once service. Each
// deployment has one endpoint in each zone.
state::configuration two_zones() {
    state::configuration configuration;
    configuration.revision = 1;
    configuration.availability_zones = {{state::availability_zone_id("a"), "r", false},
                                        {state::availability_zone_id("b"), "r", false}};
    configuration.customers = {{state::customer_id("c"), state::sha256_hex("token"), 1.0}};
    state::deployment_config model;
    model.id = model_id;
    model.model = "m";
    state::deployment_config service;
    service.id = service_id;
    service.kind = state::deployment_kind::service;
    service.repeat = state::repeat_rule::at_most_once;
    configuration.deployments = {model, service};
    configuration.endpoints = {endpoint("m-a", model_id, "a"), endpoint("m-b", model_id, "b"),
                               endpoint("s-a", service_id, "a"), endpoint("s-b", service_id, "b")};
    return configuration;
}

struct fixture {
    explicit fixture(state::configuration first = two_zones()) {
        put(std::move(first), start);
        for (const auto& routes : catalog.all()) {
            for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
                catalog.apply_report(*routes, slot, {{}, false});
            }
        }
    }

    void put(state::configuration next, state::time_point now) {
        catalog.rebuild(next, now);
        configuration.replace_if(std::move(next), [](const auto&, const auto&) { return true; });
    }
    void set_cold() {
        for (const auto& routes : catalog.all()) {
            for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
                catalog.apply_report(*routes, slot, {{}, true});
            }
        }
    }

    std::shared_ptr<call> accept(bool at_most_once, const std::string& body = "body",
                                 std::optional<state::milliseconds> deadline = std::nullopt) {
        call_request request;
        request.bearer_token = "token";
        request.body = body;
        request.deadline = deadline;
        if (at_most_once) {
            request.service = service_id;
            request.idempotency_key = "key";
        } else {
            request.model = "m";
            request.max_tokens = 100;
        }
        return state::collect([&] { return coordinator.accept(request, start); }).value();
    }
    state::attempt<call_route> next(call& accepted, state::time_point now = start) {
        return state::collect([&] { return coordinator.next_route(accepted, now, random); });
    }
    state::attempt<state::done> ended(call& accepted, const call_route& route, exchange_end end,
                                      state::time_point now = start) {
        return state::collect(
            [&] { return coordinator.attempt_ended(accepted, route, end, {}, now); });
    }

    state::snapshot_cell<state::configuration> configuration{state::configuration{}};
    state::metrics metrics;
    random_source random{20261204};
    endpoint_catalog catalog{
        {.local_zone = state::availability_zone_id("a"), .lanes = 2, .weights = {}}};
    call_queue queue{{}, [](const auto&, const auto& settings) { return settings.quantum; }};
    retry_budget budget{{}};
    crash_suspects suspects{{}, default_crash_hooks()};
    broken_attempts broken{3s};
    call_coordinator coordinator{
        {.id_prefix = "t", .retries = {}},
        configuration,
        {catalog, queue, budget, suspects, broken},
        metrics,
        {.check_eligibility = [](state::time_point) { return state::result<void>{}; },
         .admit = [](const call&, state::time_point) { return state::result<void>{}; },
         .may_use_endpoint = [](const auto&, const auto&, state::time_point) { return true; },
         .finished = [](const call&, execution_outcome, state::time_point) {}}};
};

bool can_have_run(exchange_end end) {
    return end != exchange_end::not_sent && end != exchange_end::refused;
}

} // namespace

// Guards against a failure that reports "not run" although an endpoint may have
// run the request, and against running an at-most-once call twice.
TEST_CASE("calls: not run is reported only if no endpoint can have run the call, and at-most-once "
          "calls run once") {
    rc::check([] {
        fixture f;
        const bool at_most_once = *rc::gen::arbitrary<bool>();
        const auto accepted = f.accept(at_most_once);
        bool may_have_run = false;
        auto now = start;
        // The attempt limit of 3 ends each call, so the test fails if a call is still
        // open after five rounds.
        for (int round = 0; round < 5; ++round) {
            const auto route = f.next(*accepted, now);
            if (!route) {
                RC_ASSERT(!may_have_run ||
                          route.error().reported_outcome() != execution_outcome::not_run);
                return;
            }
            RC_ASSERT(!(at_most_once && may_have_run));
            const auto end = *rc::gen::element(
                exchange_end::completed, exchange_end::not_sent, exchange_end::refused,
                exchange_end::no_answer, exchange_end::interrupted, exchange_end::mismatched_answer,
                exchange_end::caller_gone);
            may_have_run = may_have_run || can_have_run(end);
            now += 2s;
            const auto result = f.ended(*accepted, route.value(), end, now);
            if (end == exchange_end::completed) {
                RC_ASSERT(result.has_value());
                return;
            }
            if (!result) {
                RC_ASSERT((result.error().reported_outcome() == execution_outcome::not_run) ==
                          !may_have_run);
                return;
            }
            RC_ASSERT(!(at_most_once && may_have_run));
        }
        RC_FAIL("the call did not end");
    });
}

// Guards against new work for a drained zone or endpoint, both when the catalog
// keeps its set of endpoints and when it builds a new one.
TEST_CASE("calls: drained zones and endpoints are never chosen") {
    rc::check([] {
        fixture f;
        auto now = start;
        for (int step = 0; step < 20; ++step) {
            auto next = two_zones();
            next.availability_zones[0].drained = *rc::gen::arbitrary<bool>();
            next.availability_zones[1].drained = *rc::gen::arbitrary<bool>();
            next.endpoints[0].drained = *rc::gen::arbitrary<bool>();
            next.endpoints[1].drained = *rc::gen::arbitrary<bool>();
            // A changed port makes the catalog build a new set of endpoints.
            next.endpoints[0].port = *rc::gen::element<std::uint16_t>(1, 2);
            now += 100s;
            f.put(next, now);

            const auto accepted = f.accept(false, "body", 1h);
            const auto route = f.next(*accepted, now);
            if (!route) {
                RC_ASSERT(route.error().reported_outcome() == execution_outcome::not_run);
                continue;
            }
            const auto& chosen = route.value().counted.endpoint();
            RC_ASSERT(!chosen.drained);
            RC_ASSERT(!next.is_drained(chosen.availability_zone));
            RC_ASSERT(route.value().port == chosen.port);
            (void)f.ended(*accepted, route.value(), exchange_end::completed, now);
        }
    });
}

// Guards against attempts after the deadline, and against reporting "not run" at
// the deadline although an earlier attempt may have run the call.
TEST_CASE("calls: no attempt begins after the deadline") {
    fixture f;
    const auto accepted = f.accept(false, "body", 1s);
    const auto late = f.next(*accepted, start + 1s);
    REQUIRE_FALSE(late);
    CHECK(late.error().kind == failure_kind::deadline_exceeded);
    CHECK(late.error().reported_outcome() == execution_outcome::not_run);

    const auto other = f.accept(false, "other", 1s);
    const auto route = f.next(*other);
    REQUIRE(route);
    const auto result = f.ended(*other, route.value(), exchange_end::no_answer, start + 999ms);
    REQUIRE_FALSE(result);
    CHECK(result.error().reported_outcome() == execution_outcome::unknown);
}

// Guards against a wait that never completes. A queued call either starts or is
// refused at its deadline, and its completion is called exactly once.
TEST_CASE("calls: a waiting call starts when another ends and is refused at its deadline") {
    fixture f;
    f.queue.set_capacity(model_id, 100, start);
    std::vector<std::optional<state::attempt<state::done>>> outcomes(3);
    std::vector<std::shared_ptr<call>> calls;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        calls.push_back(f.accept(false, std::to_string(i), 10s));
        f.coordinator.wait_for_start(*calls.back(), start, [&outcomes, i](auto outcome) {
            REQUIRE_FALSE(outcomes[i].has_value());
            outcomes[i] = outcome;
        });
    }
    REQUIRE(outcomes[0]);
    CHECK(outcomes[0]->has_value());
    REQUIRE_FALSE(outcomes[1]);

    f.coordinator.finish(*calls[0], execution_outcome::ran, start + 1s);
    REQUIRE(outcomes[1]);
    CHECK(outcomes[1]->has_value());
    REQUIRE_FALSE(outcomes[2]);

    f.queue.expire(model_id, start + 11s);
    REQUIRE(outcomes[2]);
    REQUIRE_FALSE(outcomes[2]->has_value());
    CHECK(outcomes[2]->error().kind == failure_kind::deadline_exceeded);
    CHECK(outcomes[2]->error().reported_outcome() == execution_outcome::not_run);
}

// Guards against a call that fails although its only endpoint works again.
TEST_CASE("calls: an excluded endpoint is tried again when no other is left") {
    auto one = two_zones();
    one.endpoints.erase(one.endpoints.begin() + 1);
    fixture f(one);
    const auto accepted = f.accept(false);
    const auto first = f.next(*accepted);
    REQUIRE(first);
    REQUIRE(f.ended(*accepted, first.value(), exchange_end::no_answer));
    const auto second = f.next(*accepted);
    REQUIRE(second);
    CHECK(second.value().endpoint == first.value().endpoint);
    CHECK(second.value().fresh_connection);
}

// Guards against two suspects at one endpoint. If it crashed, both requests would
// be blamed.
TEST_CASE("calls: an endpoint that runs a suspect takes no other suspect") {
    auto one = two_zones();
    one.endpoints.erase(one.endpoints.begin() + 1);
    fixture f(one);
    const auto a = f.accept(false, "a");
    const auto b = f.accept(false, "b");
    f.suspects.record_crash({one.endpoints[0].id, 1, {a->crash_fingerprint, b->crash_fingerprint}},
                            start);
    const auto first = f.next(*a);
    REQUIRE(first);
    const auto refused = f.next(*b);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reported_outcome() == execution_outcome::not_run);
    REQUIRE(f.ended(*a, first.value(), exchange_end::completed));
    CHECK(f.next(*b));
}

// Guards against more attempts at a cold endpoint than its allowance of permits,
// and against permits that are not returned when attempts end.
TEST_CASE("calls: attempts at cold endpoints stay within the allowance") {
    rc::check([] {
        fixture f;
        f.set_cold();
        std::vector<std::pair<std::shared_ptr<call>, call_route>> open;
        for (int step = 0; step < 100; ++step) {
            if (open.empty() || *rc::gen::arbitrary<bool>()) {
                const auto accepted = f.accept(false, std::to_string(step));
                const auto route = f.next(*accepted);
                // Each of the two endpoints accepts two requests.
                RC_ASSERT(route.has_value() == (open.size() < 4));
                if (route) {
                    open.emplace_back(accepted, route.value());
                }
            } else {
                auto& [accepted, route] = open.back();
                (void)f.ended(*accepted, route, exchange_end::completed);
                open.pop_back();
            }
            for (const auto& id : {"m-a", "m-b"}) {
                RC_ASSERT(std::count_if(open.begin(), open.end(), [&](const auto& entry) {
                              return entry.second.endpoint.value() == id;
                          }) <= 2);
            }
        }
    });
}

// Guards against running a request that crashes endpoints again and again.
TEST_CASE("calls: a request that was running at two endpoint crashes is refused") {
    fixture f;
    for (int crash = 0; crash < 2; ++crash) {
        const auto crashing = f.accept(false, "crash");
        const auto route = f.next(*crashing, start + crash * 1s);
        REQUIRE(route);
        (void)f.ended(*crashing, route.value(), exchange_end::no_answer, start + crash * 1s);
        // The crash is confirmed, as when another call finds that nothing listens on
        // the endpoint's port.
        const auto seen = f.broken.take_crash(route.value().endpoint, start + crash * 1s);
        REQUIRE(seen);
        f.suspects.record_crash(*seen, start + crash * 1s);
    }
    call_request again;
    again.bearer_token = "token";
    again.model = "m";
    again.body = "crash";
    const auto refused = state::collect([&] { return f.coordinator.accept(again, start + 3s); });
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == failure_kind::request_quarantined);
}

TEST_CASE("calls: a silent endpoint is left only for another one that may take the call") {
    auto four = two_zones();
    four.endpoints.push_back(endpoint("m-c", model_id, "a"));
    four.endpoints.push_back(endpoint("m-d", model_id, "a"));
    fixture f(four);
    const auto step_of = [&](call& accepted, const call_route& route,
                             const answer_progress& progress = {}, state::time_point now = start) {
        return f.coordinator.handle_silence(accepted, route, progress, false, now, f.random);
    };

    SECTION("another endpoint is free") {
        const auto accepted = f.accept(false);
        const auto silent = f.next(*accepted).value();
        REQUIRE(step_of(*accepted, silent) == silence_step::hand_over);
        REQUIRE(f.ended(*accepted, silent, exchange_end::no_answer));
        const auto next = f.next(*accepted).value();
        CHECK(next.endpoint != silent.endpoint);
        CHECK(next.fresh_connection);
        CHECK(accepted->attempts == 2);
    }
    SECTION("there is no other endpoint") {
        auto one = two_zones();
        one.endpoints.erase(one.endpoints.begin() + 1);
        f.put(one, start);
        const auto accepted = f.accept(false);
        CHECK(step_of(*accepted, f.next(*accepted).value()) == silence_step::wait);
    }
    SECTION("the other endpoint has failed the call") {
        f.put(two_zones(), start);
        const auto accepted = f.accept(false);
        REQUIRE(f.ended(*accepted, f.next(*accepted).value(), exchange_end::refused));
        CHECK(step_of(*accepted, f.next(*accepted).value()) == silence_step::wait);
    }
    SECTION("no attempt is left") {
        const auto accepted = f.accept(false);
        REQUIRE(f.ended(*accepted, f.next(*accepted).value(), exchange_end::refused));
        REQUIRE(f.ended(*accepted, f.next(*accepted).value(), exchange_end::refused));
        CHECK(step_of(*accepted, f.next(*accepted).value()) == silence_step::wait);
    }
    SECTION("the retry budget is used up") {
        const auto accepted = f.accept(false);
        const auto silent = f.next(*accepted).value();
        while (f.budget.take(model_id)) {
        }
        CHECK(step_of(*accepted, silent) == silence_step::wait);
    }
    SECTION("the call may run once") {
        const auto accepted = f.accept(true);
        const auto silent = f.next(*accepted).value();
        CHECK(step_of(*accepted, silent) == silence_step::wait);
        CHECK(f.coordinator.handle_silence(*accepted, silent, {}, true, start, f.random) ==
              silence_step::wait);
    }
    SECTION("the engine cannot resume the stream") {
        const auto accepted = f.accept(false);
        const auto silent = f.next(*accepted).value();
        CHECK(step_of(*accepted, silent, {5, false}) == silence_step::wait);
        CHECK(step_of(*accepted, silent, {5, true}) == silence_step::hand_over);
    }
    SECTION("the request is quarantined") {
        const auto accepted = f.accept(false);
        const auto silent = f.next(*accepted).value();
        for (std::uint64_t crash = 1; crash <= 3; ++crash) {
            f.suspects.record_crash(
                {state::endpoint_id("m-d"), crash, {accepted->crash_fingerprint}},
                start + crash * 1s);
        }
        CHECK(step_of(*accepted, silent) == silence_step::wait);
    }
    SECTION("the call is over") {
        const auto accepted = f.accept(false, "body", 1s);
        const auto silent = f.next(*accepted).value();
        CHECK(f.coordinator.handle_silence(*accepted, silent, {}, true, start, f.random) ==
              silence_step::give_up);
        CHECK(step_of(*accepted, silent, {}, start + 999ms) == silence_step::wait);
        CHECK(step_of(*accepted, silent, {}, start + 1s) == silence_step::give_up);
    }
}

TEST_CASE("calls: the end of a call releases its open and its reserved attempt") {
    fixture f;
    f.set_cold(); // each of the two endpoints accepts two requests
    const auto accepted = f.accept(false);
    const auto silent = f.next(*accepted).value();
    REQUIRE(f.coordinator.handle_silence(*accepted, silent, {}, false, start, f.random) ==
            silence_step::hand_over);
    f.coordinator.finish(*accepted, execution_outcome::unknown, start);
    for (int i = 0; i < 4; ++i) {
        const auto next = f.accept(false, std::to_string(i));
        CHECK(f.next(*next));
    }
    CHECK(f.metrics.gauge_of("calls_open").value() == 4);
    f.coordinator.finish(*accepted, execution_outcome::unknown, start);
    CHECK(f.metrics.gauge_of("calls_open").value() == 4);
}

TEST_CASE("calls: a connection that the deadline cut short doesn't mark the endpoint down") {
    auto one = two_zones();
    one.endpoints.erase(one.endpoints.begin() + 1);
    fixture f(one);
    const auto hasty = f.accept(false, "hasty", 1ms);
    const auto route = f.next(*hasty);
    REQUIRE(route);
    (void)f.ended(*hasty, route.value(), exchange_end::not_sent, start + 1ms);
    const auto other = f.accept(false, "other", 1s);
    CHECK(f.next(*other, start + 2ms));
}
