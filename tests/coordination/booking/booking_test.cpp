// Single steps of bookings, and every fault at every step of the row.
#include "coordination/booking/booking_world.h"
#include "support/fault_matrix.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay;
using state::booking_state;
using state::execution_outcome;
using state::failure_kind;
using tests::booking_world;
using tests::service_offer;

namespace {

constexpr state::milliseconds minute(60'000);

const state::failure& error_of(const booking_world& world, std::size_t number) {
    REQUIRE(world.calls[number].answer.has_value());
    REQUIRE_FALSE(world.calls[number].answer->has_value());
    return world.calls[number].answer->error();
}

} // namespace

// Guards against a repeat that runs again or gets another answer after the
// host that ran the first call is gone.
TEST_CASE("a repeated key gets the first answer from any host", "[booking]") {
    booking_world world(service_offer::nothing);
    world.run_at_dispatch = true;
    const auto first = world.submit(0, "k");
    world.flush(0);
    world.reply(0);
    world.flush(0);
    world.restart(0);
    const auto repeat = world.submit(1, "k");
    world.flush(1);
    REQUIRE(world.calls[repeat].answer.has_value());
    CHECK(world.calls[repeat].answer->value() == world.calls[first].answer->value());

    const auto other_body = world.submit(2, "k", "another digest");
    world.flush(2);
    CHECK(error_of(world, other_body).kind == failure_kind::idempotency_key_reused);
    CHECK(world.runs("k") == 1);
}

// Guards against a repeat that runs, or is refused, while the first call runs.
TEST_CASE("a repeat waits for the running call", "[booking]") {
    booking_world world(service_offer::nothing);
    world.submit(0, "k", "d", minute);
    world.flush(0);
    const auto same_host = world.submit(0, "k", "d", minute);
    const auto other_host = world.submit(1, "k", "d", minute);
    const auto other_body = world.submit(0, "k", "another digest", minute);
    CHECK(error_of(world, other_body).kind == failure_kind::idempotency_key_reused);
    world.flush(1);
    world.recover(1);
    CHECK(world.calls[other_host].completions == 0);
    world.deliver(0);
    world.reply(0);
    world.flush(0);
    world.now += state::milliseconds(1'000);
    world.recover(1);
    CHECK(world.calls[same_host].answer->has_value());
    CHECK(world.calls[other_host].answer->has_value());
    CHECK(world.runs("k") == 1);
}

// Guards against "not run" for a booking whose owner died after sending it.
TEST_CASE("a booking of a dead owner is unknown unless the service tells", "[booking]") {
    const auto repeat_after_death = [](service_offer offer, bool arrives) {
        booking_world world(offer);
        world.submit(0, "k");
        world.flush(0);
        if (arrives) {
            world.deliver(0);
        }
        world.restart(0);
        const auto repeat = world.submit(1, "k");
        world.flush(1);
        world.recover(1);
        world.flush(1);
        CHECK(world.violations.empty());
        return *world.calls[repeat].answer;
    };
    const auto blind = repeat_after_death(service_offer::nothing, true);
    CHECK(blind.error().kind == failure_kind::booking_unknown);
    CHECK(repeat_after_death(service_offer::read_back, true).has_value());
    const auto may_arrive = repeat_after_death(service_offer::read_back, false);
    CHECK(may_arrive.error().reported_outcome() == execution_outcome::unknown);
    const auto closed = repeat_after_death(service_offer::read_back_and_close, false);
    CHECK(closed.error().reported_outcome() == execution_outcome::not_run);
}

// Guards against a call that waits or runs while its intent cannot be written.
TEST_CASE("a store that is down refuses bookings as not run", "[booking]") {
    booking_world world(service_offer::nothing);
    world.platform.store_down = true;
    const auto number = world.submit(0, "k");
    world.flush(0);
    CHECK(error_of(world, number).kind == failure_kind::store_unavailable);
    CHECK(error_of(world, number).reported_outcome() == execution_outcome::not_run);
    CHECK(world.in_network() == 0);
}

// Guards against a lost reply that is taken for success or for failure.
TEST_CASE("a lost reply is read back by its write key", "[booking]") {
    booking_world world(service_offer::nothing);
    world.platform.lose_next_replies = 1;
    world.submit(0, "k");
    world.flush(0);
    CHECK(world.in_network() == 1);
    CHECK(world.platform.transactions == 1);
}

// Guards against one conflicting row that fails the others of its transaction.
TEST_CASE("group commit writes all rows but the conflicting one", "[booking]") {
    tests::faulty_platform platform;
    state::metrics metrics;
    coordination::group_commit commits({}, platform.hooks(), "t", metrics);
    std::map<std::string, coordination::commit_verdict> verdicts;
    const auto add = [&](const std::string& key) {
        commits.submit({key, 0, "v", [&verdicts, key](const auto& commit, auto) {
                            verdicts[key] = commit.verdict;
                        }});
    };
    add("taken");
    commits.flush({});
    for (const auto* key : {"a", "taken", "b", "c"}) {
        add(key);
    }
    commits.flush({});
    CHECK(platform.transactions == 3);
    CHECK(verdicts["taken"] == coordination::commit_verdict::conflict);
    for (const auto* key : {"a", "b", "c"}) {
        CHECK(verdicts[key] == coordination::commit_verdict::committed);
    }
}

// Guards against an undecided write that is reported, doubled or forgotten.
TEST_CASE("a write stays undecided until its result can be read", "[booking]") {
    tests::faulty_platform platform;
    state::metrics metrics;
    auto hooks = platform.hooks();
    bool readable = false;
    hooks.read_write_result =
        [&, inner = hooks.read_write_result](
            const std::string& key) -> state::result<std::optional<state::transaction_result>> {
        if (!readable) {
            return state::fail(failure_kind::store_unavailable, "down");
        }
        return inner(key);
    };
    coordination::group_commit commits({}, hooks, "t", metrics);
    int completions = 0;
    commits.submit({"a", 0, "v", [&](const auto& commit, auto) {
                        ++completions;
                        CHECK(commit.verdict == coordination::commit_verdict::committed);
                    }});
    platform.lose_next_replies = 1;
    commits.flush({});
    commits.flush({});
    CHECK(completions == 0);
    CHECK(commits.undecided() == 1);
    readable = true;
    commits.flush({});
    CHECK(completions == 1);
    CHECK(commits.undecided() == 0);
    CHECK(platform.transactions == 1);
}

// Guards against lost wake-ups and against races between callers, the flushing
// thread, the recovering thread and reports: a key that runs twice, or a call
// without an answer.
TEST_CASE("many threads book the same keys", "[booking][threads]") {
    constexpr int threads = 4;
    constexpr int keys = 200;
    constexpr auto forever = state::time_point::max();
    tests::faulty_platform platform;
    state::metrics metrics;
    std::array<std::atomic<int>, keys> runs{};
    std::atomic<int> answered{0};
    std::atomic<int> completed{0};
    const state::booking_codec codec{
        .encode = [](const auto& row) { return row.id.key + "/" + row.answer.body; },
        .decode = [](const std::string& text) -> state::result<state::booking_row> {
            state::booking_row row;
            row.id = {state::customer_id("c"), text.substr(0, text.find('/'))};
            row.answer.body = text.substr(text.find('/') + 1);
            row.state = row.answer.body.empty() ? booking_state::intent : booking_state::ran;
            row.owner = {state::member_id("m"), 1};
            return row;
        }};
    coordination::booking_coordinator bookings(
        {}, {state::member_id("m"), 1},
        {platform.store().hooks(), codec, {}, {[](const auto&) { return false; }, {}}, {}},
        metrics);
    std::vector<std::thread> workers;
    workers.emplace_back([&] {
        while (bookings.wait_for_work(minute, state::milliseconds(0))) {
            bookings.flush({});
        }
    });
    workers.emplace_back([&] {
        for (int round = 0; round < 50; ++round) {
            bookings.recover(state::time_point(state::milliseconds(10'000 * round)));
        }
    });
    for (int t = 0; t < threads; ++t) {
        workers.emplace_back([&] {
            for (int key = 0; key < keys; ++key) {
                const state::booking_id id{state::customer_id("c"), std::to_string(key)};
                const auto dispatch = [&, id, key] {
                    ++runs[static_cast<std::size_t>(key)];
                    bookings.report(id, {execution_outcome::ran, {200, "", "a"}});
                };
                const auto complete = [&](const auto& answer) {
                    answered += answer ? 1 : 0;
                    if (++completed == threads * keys) {
                        bookings.stop();
                    }
                };
                bookings.submit({id, {}, "", forever}, {dispatch, complete}, {});
            }
        });
    }
    for (auto& each : workers) {
        each.join();
    }
    CHECK(answered == threads * keys);
    CHECK(std::all_of(runs.begin(), runs.end(), [](const auto& count) { return count == 1; }));
    CHECK(bookings.active() == 0);
}

namespace {

// Brings a booking to the step `from` -> `to`; `fault` strikes just before it.
void drive(booking_world& world, booking_state from, booking_state to,
           const std::function<void(std::size_t actor)>& fault) {
    const auto settle = [&](std::size_t host) {
        for (int round = 0; round < 3; ++round) {
            world.recover(host);
            world.flush(host);
        }
    };
    world.submit(0, "k", "d", minute);
    world.flush(0);
    if (from == booking_state::unknown) {
        world.time_out(0);
        world.flush(0);
    } else if (from == booking_state::not_run) {
        world.refuse(0);
        world.flush(0);
        world.submit(1, "k", "d", minute);
        fault(1);
        settle(1);
        return;
    }
    if (to == booking_state::ran) {
        world.deliver(0);
        world.reply(0);
        fault(0);
        settle(0);
    } else if (to == booking_state::not_run) {
        world.refuse(0);
        fault(0);
        settle(0);
    } else {
        world.restart(0);
        world.submit(1, "k", "d", minute);
        world.flush(1);
        fault(1);
        settle(1);
    }
}

tests::cell_outcome run_cell(booking_state from, booking_state to, tests::fault injected,
                             std::size_t store_calls) {
    using tests::fault;
    booking_world world(to == booking_state::closed ? service_offer::read_back_and_close
                                                    : service_offer::nothing);
    std::function<void(std::size_t)> strike;
    const auto slow = [&](std::size_t) {
        world.platform.before_transact = [&] { world.now += state::milliseconds(20'000); };
    };
    switch (injected) {
    case fault::process_killed:
        strike = [&](std::size_t actor) { world.kill_after_store_calls(actor, store_calls); };
        break;
    case fault::process_paused:
        strike = [&](std::size_t actor) {
            world.believed_dead.insert(actor);
            world.now += minute;
            world.submit(2, "k");
            world.flush(2);
            world.recover(2);
            world.flush(2);
        };
        break;
    case fault::straggler:
    case fault::store_slow:
        strike = slow;
        break;
    case fault::partition:
        strike = [&](std::size_t actor) {
            world.cut_off.insert(actor);
            world.believed_dead.insert(actor);
        };
        break;
    case fault::store_down:
        strike = [&](std::size_t) { world.platform.store_down = true; };
        break;
    case fault::one_way_partition:
    case fault::store_reply_lost:
        strike = [&](std::size_t) { world.platform.lose_next_replies = 2; };
        break;
    case fault::connection_silent:
    case fault::answer_late:
        strike = [&](std::size_t) {
            if (world.in_network() > 0) {
                world.time_out(0);
            }
        };
        break;
    default:
        return tests::cell_outcome::unaffected;
    }
    drive(world, from, to, strike);
    world.now += minute;
    for (std::size_t host = 0; host < booking_world::host_count; ++host) {
        world.recover(host);
        world.flush(host);
    }
    world.quiesce();
    for (const auto& violation : world.violations) {
        UNSCOPED_INFO(violation);
    }
    return world.violations.empty() ? tests::cell_outcome::held : tests::cell_outcome::violated;
}

} // namespace

// Guards against a matrix whose cells do not reach the step they name.
TEST_CASE("each step of the booking table is reached without a fault", "[booking][matrix]") {
    for (const auto& step : state::transition_table<booking_state>::rows) {
        booking_world world(step.to == booking_state::closed ? service_offer::read_back_and_close
                                                             : service_offer::nothing);
        drive(world, step.from, step.to, [](std::size_t) {});
        INFO(state::to_name(step.from) << " -> " << state::to_name(step.to));
        CHECK(world.steps.contains({step.from, step.to}));
    }
}

// Guards against a fault at one step that breaks a promise.
TEST_CASE("bookings survive each fault at each step", "[booking][matrix]") {
    // A process that is killed ends before each of its next calls to the store in turn.
    for (std::size_t store_calls = 0; store_calls < 4; ++store_calls) {
        tests::run_fault_matrix<booking_state>("booking", [=](auto from, auto to, auto injected) {
            return run_cell(from, to, injected, store_calls);
        });
    }
}
