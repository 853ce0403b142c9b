// Tests the fair shares, queues, deadlines and refusals of admission control.
#include "savoryrelay/coordination/admission/admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using state::failure_kind;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
const state::deployment_id deployment{"d"};

using quantum_hook = std::function<double(const state::customer_id&, const admission_settings&)>;

double equal_quantum(const state::customer_id&, const admission_settings& settings) {
    return settings.quantum;
}

/// Runs an admission and records its decisions.
struct recording_admission {
    explicit recording_admission(const admission_settings& settings,
                                 quantum_hook quantum = equal_quantum)
        : subject(settings, {[this](std::uint64_t ticket) { started.push_back(ticket); },
                             [this](const auto& refusal) { refused.push_back(refusal); },
                             std::move(quantum)}) {}

    std::uint64_t submit(const std::string& customer, double cost,
                         route_priority priority = route_priority::normal,
                         state::time_point deadline = start + 1h) {
        subject.submit(
            {++last_ticket, deployment, state::customer_id(customer), cost, priority, deadline},
            start);
        return last_ticket;
    }

    std::vector<std::uint64_t> started;
    std::vector<admission_refusal> refused;
    std::uint64_t last_ticket = 0;
    admission subject;
};

// Runs customers that always have requests waiting, with random costs. Returns the
// smallest ratio of a customer's served cost to its fair share.
double smallest_share(const quantum_hook& quantum) {
    const int customers = *rc::gen::inRange(2, 6);
    recording_admission run({100, 10, 10'000, 1'000}, quantum);
    std::map<std::uint64_t, int> owner;
    std::map<int, double> cost_of;
    const auto refill = [&](int customer) {
        const double cost = *rc::gen::inRange(1, 60);
        cost_of[static_cast<int>(run.last_ticket) + 1] = cost;
        owner[run.last_ticket + 1] = customer;
        run.submit("c" + std::to_string(customer), cost);
    };
    for (int i = 0; i < 10; ++i) {
        for (int customer = 0; customer < customers; ++customer) {
            refill(customer);
        }
    }
    std::map<int, double> served;
    double total = 0;
    for (std::size_t next = 0; next < 600 && next < run.started.size(); ++next) {
        const auto ticket = run.started[next];
        served[owner[ticket]] += cost_of[static_cast<int>(ticket)];
        total += cost_of[static_cast<int>(ticket)];
        refill(owner[ticket]);
        run.subject.finish(deployment, ticket, start);
    }
    double smallest = total;
    for (int customer = 0; customer < customers; ++customer) {
        smallest = std::min(smallest, served[customer]);
    }
    return smallest * customers / total;
}

} // namespace

// Guards against a customer that is starved by the queue of another.
TEST_CASE("each waiting customer gets its share", "[admission][property]") {
    CHECK(rc::check([] { RC_ASSERT(smallest_share(equal_quantum) > 0.8); }));
    bool violated = false;
    rc::check([&] {
        // With a huge quantum a turn lasts as long as the customer has requests.
        violated = violated || smallest_share([](const auto&, const auto&) { return 1e12; }) < 0.2;
    });
    CHECK(violated);
}

// Guards against shares that ignore the weights, and against requests of one
// customer that start out of priority order.
TEST_CASE("shares follow weights, and priorities order the requests of a customer", "[admission]") {
    recording_admission run({10, 10, 1'000, 1'000}, [](const auto& customer, const auto& settings) {
        return customer.value() == "large" ? 3 * settings.quantum : settings.quantum;
    });
    run.submit("filler", 10);
    const auto batch = run.submit("small", 10, route_priority::batch);
    const auto interactive = run.submit("small", 10, route_priority::interactive);
    const auto normal = run.submit("small", 10);
    std::vector<std::uint64_t> large;
    for (int i = 0; i < 6; ++i) {
        large.push_back(run.submit("large", 10));
    }
    for (std::size_t i = 0; i < run.started.size(); ++i) {
        run.subject.finish(deployment, run.started[i], start);
    }
    const std::vector<std::uint64_t> expected{1,      interactive, large[0], large[1], large[2],
                                              normal, large[3],    large[4], large[5], batch};
    CHECK(run.started == expected);
    CHECK(run.subject.waiting(deployment) == 0);
    CHECK(run.subject.running_cost(deployment) == 0);
}

// Guards against unbounded queues, and against refusals without an outcome or a
// retry time.
TEST_CASE("queues are bounded and refusals report not run", "[admission]") {
    recording_admission run({10, 10, 5, 3});
    run.submit("a", 10);
    for (int i = 0; i < 4; ++i) {
        run.submit("a", 10);
    }
    REQUIRE(run.refused.size() == 1);
    CHECK(run.refused[0].failure.kind == failure_kind::customer_limit);
    for (int i = 0; i < 3; ++i) {
        run.submit("b", 10);
    }
    REQUIRE(run.refused.size() == 2);
    CHECK(run.refused[1].failure.kind == failure_kind::overloaded);
    for (const auto& refusal : run.refused) {
        CHECK(refusal.failure.reported_outcome() == state::execution_outcome::not_run);
        CHECK(refusal.retry_after >= 1s);
    }
}

// Guards against queueing a request that cannot meet its deadline.
TEST_CASE("a request that would be late is refused early", "[admission]") {
    recording_admission run({10, 10, 100, 100});
    auto now = start;
    for (int i = 0; i < 5; ++i) { // 10 tokens a second
        const auto ticket = run.submit("a", 10);
        now += 1s;
        run.subject.finish(deployment, ticket, now);
    }
    run.submit("a", 10);
    run.submit("a", 10);
    const auto late = run.submit("a", 10, route_priority::normal, start + 1s);
    REQUIRE(run.refused.size() == 1);
    CHECK(run.refused[0].ticket == late);
    CHECK(run.refused[0].retry_after > 1s);

    // A request whose deadline passes in the queue is refused once, by `expire`.
    run.subject.expire(deployment, start + 2h);
    run.subject.expire(deployment, start + 2h);
    CHECK(run.refused.size() == 2);
    CHECK(run.refused[1].failure.kind == failure_kind::deadline_exceeded);
    CHECK(run.refused[1].failure.reported_outcome() == state::execution_outcome::not_run);
}

// Guards against starting requests above a reduced capacity, and against starting
// a cancelled request.
TEST_CASE("no request starts while the reduced capacity is in use", "[admission]") {
    recording_admission run({40, 10, 100, 100});
    for (int i = 0; i < 6; ++i) {
        run.submit("a", 10);
    }
    CHECK(run.started.size() == 4);
    run.subject.set_capacity(deployment, 20, start);
    run.subject.finish(deployment, 1, start);
    run.subject.finish(deployment, 2, start);
    CHECK(run.started.size() == 4);
    CHECK(run.subject.cancel(deployment, 5));
    CHECK_FALSE(run.subject.cancel(deployment, 5));
    run.subject.finish(deployment, 3, start);
    CHECK(run.started.back() == 6);
    run.subject.set_capacity(deployment, 0, start);
    run.submit("b", 1);
    CHECK(run.started.back() == 6);
    run.subject.finish(deployment, 3, start); // a repeated `finish` has no effect
    CHECK(run.subject.running_cost(deployment) == 20);
}
