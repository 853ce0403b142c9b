// Tests of single booking operations, and of every fault at every transition of
// the row.
#include "coordination/booking/booking_simulation.h"
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
using tests::booking_simulation;
using tests::service_features;

namespace {

constexpr state::milliseconds minute(60'000);

const state::failure& error_of(const booking_simulation& simulation, std::size_t call_index) {
    REQUIRE(simulation.calls[call_index].answer.has_value());
    REQUIRE_FALSE(simulation.calls[call_index].answer->has_value());
    return simulation.calls[call_index].answer->error();
}

} // namespace

// Guards against a repeated call that runs again, or gets a different answer,
// after the host that sent the first call has restarted.
TEST_CASE("a repeated key gets the first answer from any host", "[booking]") {
    booking_simulation simulation(service_features::nothing);
    simulation.run_at_dispatch = true;
    const auto first = simulation.submit(0, "k");
    simulation.flush(0);
    simulation.reply(0);
    simulation.flush(0);
    simulation.restart(0);
    const auto repeat = simulation.submit(1, "k");
    simulation.flush(1);
    REQUIRE(simulation.calls[repeat].answer.has_value());
    CHECK(simulation.calls[repeat].answer->value() == simulation.calls[first].answer->value());

    const auto other_body = simulation.submit(2, "k", "another digest");
    simulation.flush(2);
    CHECK(error_of(simulation, other_body).kind == failure_kind::idempotency_key_reused);
    CHECK(simulation.runs("k") == 1);
}

// Guards against a repeated call that is sent or refused while the first call is
// running.
TEST_CASE("a repeated call waits for the running call", "[booking]") {
    booking_simulation simulation(service_features::nothing);
    simulation.submit(0, "k", "d", minute);
    simulation.flush(0);
    const auto same_host = simulation.submit(0, "k", "d", minute);
    const auto other_host = simulation.submit(1, "k", "d", minute);
    const auto other_body = simulation.submit(0, "k", "another digest", minute);
    CHECK(error_of(simulation, other_body).kind == failure_kind::idempotency_key_reused);
    simulation.flush(1);
    simulation.recover(1);
    CHECK(simulation.calls[other_host].completions == 0);
    simulation.deliver(0);
    simulation.reply(0);
    simulation.flush(0);
    simulation.now += state::milliseconds(1'000);
    simulation.recover(1);
    CHECK(simulation.calls[same_host].answer->has_value());
    CHECK(simulation.calls[other_host].answer->has_value());
    CHECK(simulation.runs("k") == 1);
}

// Guards against "not run" for a booking whose owner died after sending the call.
// Only a service that has closed the key makes this outcome certain.
TEST_CASE("a booking of a dead owner is unknown unless the service reports its status",
          "[booking]") {
    const auto repeat_after_death = [](service_features features, bool arrives) {
        booking_simulation simulation(features);
        simulation.submit(0, "k");
        simulation.flush(0);
        if (arrives) {
            simulation.deliver(0);
        }
        simulation.restart(0);
        const auto repeat = simulation.submit(1, "k");
        simulation.flush(1);
        simulation.recover(1);
        simulation.flush(1);
        CHECK(simulation.violations.empty());
        return *simulation.calls[repeat].answer;
    };
    const auto unreported = repeat_after_death(service_features::nothing, true);
    CHECK(unreported.error().kind == failure_kind::booking_unknown);
    CHECK(repeat_after_death(service_features::read_back, true).has_value());
    const auto may_arrive = repeat_after_death(service_features::read_back, false);
    CHECK(may_arrive.error().reported_outcome() == execution_outcome::unknown);
    const auto closed = repeat_after_death(service_features::read_back_and_close, false);
    CHECK(closed.error().reported_outcome() == execution_outcome::not_run);
}

// Guards against a call that waits or is sent although its intent cannot be
// written.
TEST_CASE("bookings are refused as not run while the store is down", "[booking]") {
    booking_simulation simulation(service_features::nothing);
    simulation.platform.store_down = true;
    const auto call_index = simulation.submit(0, "k");
    simulation.flush(0);
    CHECK(error_of(simulation, call_index).kind == failure_kind::store_unavailable);
    CHECK(error_of(simulation, call_index).reported_outcome() == execution_outcome::not_run);
    CHECK(simulation.calls_in_transit() == 0);
}

// Guards against treating a lost reply as a success or a failure.
TEST_CASE("after a lost reply the result is looked up with the write key", "[booking]") {
    booking_simulation simulation(service_features::nothing);
    simulation.platform.lose_next_replies = 1;
    simulation.submit(0, "k");
    simulation.flush(0);
    CHECK(simulation.calls_in_transit() == 1);
    CHECK(simulation.platform.transactions == 1);
}

// Guards against one conflicting row that makes the other rows of its transaction
// fail.
TEST_CASE("group commit writes all rows but the conflicting one", "[booking]") {
    tests::faulty_platform platform;
    state::metrics metrics;
    coordination::group_commit commits({}, platform.hooks(), "t", metrics);
    std::map<std::string, coordination::commit_status> statuses;
    const auto add = [&](const std::string& key) {
        commits.submit({key, 0, "v", [&statuses, key](const auto& write_result, auto) {
                            statuses[key] = write_result.status;
                        }});
    };
    add("taken");
    commits.flush({});
    for (const auto* key : {"a", "taken", "b", "c"}) {
        add(key);
    }
    commits.flush({});
    CHECK(platform.transactions == 3);
    CHECK(statuses["taken"] == coordination::commit_status::conflict);
    for (const auto* key : {"a", "b", "c"}) {
        CHECK(statuses[key] == coordination::commit_status::committed);
    }
}

// Guards against an undecided write that is completed early, repeated or
// forgotten.
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
    commits.submit({"a", 0, "v", [&](const auto& write_result, auto) {
                        ++completions;
                        CHECK(write_result.status == coordination::commit_status::committed);
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

// Guards against lost wake-ups, and against races between callers, the flushing
// thread, the recovering thread and reports. Such faults make a key run twice or
// leave a call without an answer.
TEST_CASE("many threads submit bookings with the same keys", "[booking][threads]") {
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

// Drives a booking through the transition `from` -> `to`. Calls `inject_fault` just
// before the transition, with the index of the host that writes it.
void drive_to_transition(booking_simulation& simulation, booking_state from, booking_state to,
                         const std::function<void(std::size_t actor)>& inject_fault) {
    const auto recover_and_flush = [&](std::size_t host) {
        for (int round = 0; round < 3; ++round) {
            simulation.recover(host);
            simulation.flush(host);
        }
    };
    simulation.submit(0, "k", "d", minute);
    simulation.flush(0);
    if (from == booking_state::unknown) {
        simulation.time_out(0);
        simulation.flush(0);
    } else if (from == booking_state::not_run) {
        simulation.refuse(0);
        simulation.flush(0);
        simulation.submit(1, "k", "d", minute);
        inject_fault(1);
        recover_and_flush(1);
        return;
    }
    if (to == booking_state::ran) {
        simulation.deliver(0);
        simulation.reply(0);
        inject_fault(0);
        recover_and_flush(0);
    } else if (to == booking_state::not_run) {
        simulation.refuse(0);
        inject_fault(0);
        recover_and_flush(0);
    } else {
        simulation.restart(0);
        simulation.submit(1, "k", "d", minute);
        simulation.flush(1);
        inject_fault(1);
        recover_and_flush(1);
    }
}

tests::cell_outcome run_cell(booking_state from, booking_state to, tests::fault injected,
                             std::size_t store_calls) {
    using tests::fault;
    booking_simulation simulation(to == booking_state::closed
                                      ? service_features::read_back_and_close
                                      : service_features::nothing);
    std::function<void(std::size_t)> inject;
    const auto slow = [&](std::size_t) {
        simulation.platform.before_transact = [&] {
            simulation.now += state::milliseconds(20'000);
        };
    };
    switch (injected) {
    case fault::process_killed:
        inject = [&](std::size_t actor) { simulation.kill_after_store_calls(actor, store_calls); };
        break;
    case fault::process_paused:
        inject = [&](std::size_t actor) {
            simulation.believed_dead.insert(actor);
            simulation.now += minute;
            simulation.submit(2, "k");
            simulation.flush(2);
            simulation.recover(2);
            simulation.flush(2);
        };
        break;
    case fault::straggler:
    case fault::store_slow:
        inject = slow;
        break;
    case fault::partition:
        inject = [&](std::size_t actor) {
            simulation.disconnected_from_store.insert(actor);
            simulation.believed_dead.insert(actor);
        };
        break;
    case fault::store_down:
        inject = [&](std::size_t) { simulation.platform.store_down = true; };
        break;
    case fault::one_way_partition:
    case fault::store_reply_lost:
        inject = [&](std::size_t) { simulation.platform.lose_next_replies = 2; };
        break;
    case fault::connection_silent:
    case fault::answer_late:
        inject = [&](std::size_t) {
            if (simulation.calls_in_transit() > 0) {
                simulation.time_out(0);
            }
        };
        break;
    default:
        return tests::cell_outcome::unaffected;
    }
    drive_to_transition(simulation, from, to, inject);
    simulation.now += minute;
    for (std::size_t host = 0; host < booking_simulation::host_count; ++host) {
        simulation.recover(host);
        simulation.flush(host);
    }
    simulation.quiesce();
    for (const auto& violation : simulation.violations) {
        UNSCOPED_INFO(violation);
    }
    return simulation.violations.empty() ? tests::cell_outcome::held
                                         : tests::cell_outcome::violated;
}

} // namespace

// Guards against a matrix cell that never reaches the transition it tests.
TEST_CASE("each transition of the booking table is reached without a fault", "[booking][matrix]") {
    for (const auto& transition : state::transition_table<booking_state>::rows) {
        booking_simulation simulation(transition.to == booking_state::closed
                                          ? service_features::read_back_and_close
                                          : service_features::nothing);
        drive_to_transition(simulation, transition.from, transition.to, [](std::size_t) {});
        INFO(state::to_name(transition.from) << " -> " << state::to_name(transition.to));
        CHECK(simulation.transitions_seen.contains({transition.from, transition.to}));
    }
}

// Guards against a guarantee that fails when a fault occurs at a transition.
TEST_CASE("bookings keep their guarantees under each fault at each transition",
          "[booking][matrix]") {
    // For the fault `process_killed`, each iteration lets one more store call succeed
    // before the process is killed.
    for (std::size_t store_calls = 0; store_calls < 4; ++store_calls) {
        tests::run_fault_matrix<booking_state>("booking", [=](auto from, auto to, auto injected) {
            return run_cell(from, to, injected, store_calls);
        });
    }
}
