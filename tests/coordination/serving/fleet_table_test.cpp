// Tests the merging of entries, reports and observations that lag behind each other,
// and the counting of loads and work.
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/coordination/serving/runner_observations.h"
#include "savoryrelay/coordination/serving/work_meter.h"

#include <catch2/catch.hpp>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
const state::endpoint_id id("r1");

state::runner_record entry(std::uint64_t started_ms) {
    state::runner_record record;
    record.id = id;
    record.service = "model";
    record.started_ms = started_ms;
    return record;
}

state::runner_report report(std::uint64_t started_ms, std::uint64_t sequence, const char* group) {
    state::runner_report value;
    value.started_ms = started_ms;
    value.sequence = sequence;
    if (*group != '\0') {
        value.membership = state::group_membership{group, 1, 0, state::membership_state::open};
    }
    return value;
}

state::runner_order order(state::runner_order_kind kind, std::uint64_t sequence) {
    state::runner_order value;
    value.runner = id;
    value.kind = kind;
    value.expected_sequence = sequence;
    return value;
}

state::time_point backoff_end(const fleet_table& fleet, state::time_point now) {
    const auto backoff = fleet.find(id)->exclusions.find(exclusion_reason::not_serving, now);
    REQUIRE(backoff);
    return backoff->until;
}

} // namespace

TEST_CASE(
    "only a report or a long silence without an entry shows that a runner dropped its calls") {
    fleet_table fleet;
    const auto has_dropped = [&](state::time_point now) {
        return fleet.find(id)->has_dropped_calls(5, true, now);
    };
    fleet.apply_entry(entry(5), start);
    fleet.apply_report(id, report(5, 1, "g"), start);
    CHECK_FALSE(has_dropped(start + 1s));
    // An entry without the group, later than any report.
    fleet.apply_entry(entry(5), start + 5s);
    REQUIRE_FALSE(fleet.find(id)->record.is_head());
    CHECK_FALSE(has_dropped(start + 5s));
    // The entry goes while the runner is silent.
    fleet.note_silence(id, 5, start + 6s);
    fleet.apply_removal(id, start + 6s);
    CHECK_FALSE(has_dropped(start + 7s));
    CHECK(has_dropped(start + 8s));
    // Its report shows that it has left the group, or its incarnation has ended.
    fleet.apply_report(id, report(5, 2, ""), start + 9s);
    CHECK(has_dropped(start + 9s));
    fleet.apply_entry(entry(6), start + 10s);
    CHECK(has_dropped(start + 10s));
}

TEST_CASE("no observation pairs the sequence of a join with the state before the join") {
    fleet_table controller;
    fleet_table successor;
    for (auto* fleet : {&controller, &successor}) {
        fleet->apply_entry(entry(5), start);
        auto in_group = report(5, 1, "g");
        in_group.model = "gold";
        fleet->apply_report(id, in_group, start);
        fleet->apply_report(id, report(5, 2, ""), start);
    }
    const auto tell = [&](state::time_point now) {
        controller.refresh(now);
        const auto runners = controller.snapshot();
        for (const auto& runner : *runners) {
            if (const auto told = observe_as_controller(runner, true, now)) {
                successor.apply_observation(*told, now);
            }
        }
    };
    tell(start + 10ms);
    controller.note_order_accepted(order(state::runner_order_kind::join, 2), start + 20ms);
    tell(start + 30ms);
    CHECK(successor.find(id)->record.sequence == 2);
    CHECK_FALSE(successor.find(id)->record.membership);

    controller.apply_report(id, report(5, 3, "h"), start + 120ms);
    tell(start + 130ms);
    CHECK(successor.find(id)->record.sequence == 3);
    CHECK(successor.find(id)->record.membership->group == "h");
}

TEST_CASE("a report made before an accepted order does not undo the order") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.apply_report(id, report(5, 2, "g"), start);
    fleet.note_order_accepted(order(state::runner_order_kind::leave, 2), start + 10ms);
    CHECK_FALSE(fleet.find(id)->record.membership);

    fleet.apply_report(id, report(5, 2, "g"), start + 100ms);
    CHECK_FALSE(fleet.find(id)->record.membership);
    CHECK(fleet.find(id)->record.sequence == 3);

    // After the longest lag the report is applied: the order had no effect.
    fleet.apply_report(id, report(5, 2, "g"), start + 2s);
    CHECK(fleet.find(id)->record.membership);
    CHECK(fleet.find(id)->record.sequence == 2);
}

TEST_CASE("an answer that arrives after a newer report or observation does not change the state") {
    // A host that stood still handles the answer to its last order after the observations of
    // the next lease holder, which has joined the runner to another group.
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.apply_report(id, report(5, 2, "g"), start);
    state::runner_observation observation;
    observation.id = id;
    observation.started_ms = 5;
    observation.sequence = 4;
    observation.membership = {"h", 2, 0, state::membership_state::open};
    fleet.apply_observation(observation, start + 1s);
    fleet.note_order_accepted(order(state::runner_order_kind::leave, 2), start + 1s);
    REQUIRE(fleet.find(id)->record.membership);
    CHECK(fleet.find(id)->record.membership->group == "h");
    CHECK(fleet.find(id)->record.sequence == 4);
    CHECK_FALSE(fleet.find(id)->has_unconfirmed_order());
}

TEST_CASE("a report of another incarnation at the same address is rejected") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.apply_report(id, report(5, 1, "g"), start));
    CHECK_FALSE(fleet.apply_report(id, report(9, 7, "other"), start));
    CHECK(fleet.find(id)->record.membership->group == "g");

    // The entry of the new incarnation resets the state of the old one.
    fleet.apply_entry(entry(9), start);
    CHECK_FALSE(fleet.find(id)->record.membership);
    CHECK(fleet.find(id)->record.sequence == 0);
    CHECK(fleet.apply_report(id, report(9, 0, ""), start));
}

TEST_CASE(
    "a removed entry is valid until its grace period ends, a draining runner stays draining") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.apply_removal(id, start + 2s);
    CHECK(fleet.find(id)->may_take_calls(start + 1s));
    CHECK_FALSE(fleet.find(id)->may_take_calls(start + 2s));
    fleet.apply_entry(entry(5), start + 3s);
    CHECK(fleet.find(id)->may_take_calls(start + 3s));

    auto draining = entry(5);
    draining.is_draining = true;
    fleet.apply_entry(draining, start + 4s);
    fleet.apply_entry(entry(5), start + 5s);
    CHECK_FALSE(fleet.find(id)->may_take_calls(start + 5s));
}

TEST_CASE("an answer ends a silence reported by another host") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    state::runner_observation observation;
    observation.id = id;
    observation.started_ms = 5;
    observation.is_silent = true;
    fleet.apply_observation(observation, start);
    CHECK_FALSE(fleet.find(id)->may_take_calls(start));
    fleet.apply_report(id, report(5, 0, ""), start);
    CHECK(fleet.find(id)->may_take_calls(start));
}

TEST_CASE("a runner that has neither an entry nor answers is removed after a time") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.apply_removal(id, start);
    fleet.refresh(start + fleet_table::forget_after);
    const auto kept = fleet.snapshot();
    CHECK(kept->size() == 1);
    fleet.refresh(start + fleet_table::forget_after + 1ms);
    const auto forgotten = fleet.snapshot();
    CHECK(forgotten->empty());
}

TEST_CASE("loads of all hosts are summed, except those of silent hosts") {
    load_tracker tracker;
    tracker.begin_call(id, 100);
    tracker.begin_call(id, 50);
    tracker.note_first_event(id, 50);
    tracker.apply_peer("h2", state::digest_scope::hub, {{id, {3, 1, 400}}}, start);
    const auto load = tracker.all(start + 100ms).at(id);
    CHECK(load.writing == 4);
    CHECK(load.waiting == 2);
    CHECK(load.waiting_prompt_tokens == Approx(500));
    CHECK(tracker.all(start + load_tracker::peer_load_age + 1ms).at(id).writing == 1);
    tracker.end_call(id, 50, true);
    tracker.end_call(id, 100, false);
    CHECK(tracker.own(start).empty());
}

TEST_CASE("the measured work of a constant stream of calls equals its rate") {
    work_meter meter;
    CHECK(meter.all(start).empty());
    auto now = start;
    for (int i = 0; i < 2'000; ++i) {
        now += 20ms;
        meter.note("m", state::call_urgency::normal, 10, now); // keeps half a group busy
    }
    meter.apply_peer("h2", state::digest_scope::hub, {{"m", 1.5}}, now);
    CHECK(meter.all(now).at("m") == Approx(2.0).epsilon(0.05));
    CHECK(meter.all(now + work_meter::peer_work_age + 1ms).at("m") < 0.5);
}

TEST_CASE("the demand by urgency follows a burst within a second") {
    // Guards admission against the average by which groups are divided, which lags by seconds.
    work_meter meter;
    auto now = start;
    const auto send_for = [&](std::chrono::milliseconds span, state::call_urgency urgency) {
        for (const auto end = now + span; now < end; now += 10ms) {
            meter.note("m", urgency, 20, now); // keeps two groups busy
        }
    };
    send_for(5s, state::call_urgency::normal);
    send_for(2 * work_meter::demand_half_life, state::call_urgency::late);
    const auto own = meter.demand("m", now);
    CHECK(state::amount_of(own, state::call_urgency::late) == Approx(1.5).epsilon(0.05));
    CHECK(state::amount_of(own, state::call_urgency::normal) == Approx(0.5).epsilon(0.05));
    CHECK(meter.demand("other", now) == state::urgency_amounts{});

    meter.apply_peer("h2", state::digest_scope::hub, {{"m", 1, {3, 0, 0, 0}}}, now);
    CHECK(state::amount_of(meter.demand("m", now), state::call_urgency::urgent) == Approx(3));
    CHECK(meter.report(state::digest_scope::fleet, now).front().demand.front() == Approx(3));
    CHECK(meter.report(state::digest_scope::member, now).front().demand.front() == Approx(0));
}

TEST_CASE("the backoff of a runner grows with each refusal") {
    // Guards against repeated calls to heads that have left their groups; there were
    // 1,285 of them on tadyang-relay scale-1.
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    const auto backoff_after = [&](state::time_point at) {
        fleet.note_refusal(id, at);
        return backoff_end(fleet, at) - at;
    };
    CHECK(backoff_after(start) == fleet_table::min_refusal_backoff);
    // A refusal during the backoff does not extend it: the call was sent before it began.
    fleet.note_refusal(id, start + 10ms);
    CHECK(backoff_end(fleet, start + 10ms) == start + fleet_table::min_refusal_backoff);
    CHECK(backoff_after(start + 1s) == 2 * fleet_table::min_refusal_backoff);
    CHECK(backoff_after(start + 10s) == 4 * fleet_table::min_refusal_backoff);
    for (int i = 2; i < 10; ++i) {
        CHECK(backoff_after(start + i * 10s) <= fleet_table::max_refusal_backoff);
    }
    // An answer to a call resets the backoff.
    fleet.note_answer(id, start + 200s);
    CHECK(backoff_after(start + 201s) == fleet_table::min_refusal_backoff);
}

TEST_CASE("a head that has left its group is reported for some time") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.apply_report(id, report(5, 2, "g"), start);
    fleet.refresh(start);
    CHECK(fleet.find(id)->was_recently_head(start));
    fleet.note_order_accepted(order(state::runner_order_kind::leave, 2), start + 10ms);
    fleet.refresh(start + 50ms);
    CHECK_FALSE(fleet.find(id)->record.is_head());
    CHECK(fleet.find(id)->was_recently_head(start + 50ms));
    CHECK_FALSE(fleet.find(id)->was_recently_head(start + runner_view::former_head_retention));
}

TEST_CASE("the last model of a runner is that of the last group in which it was ready") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    auto joining = report(5, 1, "g");
    joining.model = "large";
    joining.membership->state = state::membership_state::joining;
    fleet.apply_report(id, joining, start);
    CHECK(fleet.find(id)->last_model.empty());
    auto open = joining;
    open.membership->state = state::membership_state::open;
    fleet.apply_report(id, open, start + 1s);
    CHECK(fleet.find(id)->last_model == "large");

    // It is kept when the runner leaves, and reset when the runner restarts.
    fleet.apply_report(id, report(5, 2, ""), start + 2s);
    CHECK(fleet.find(id)->last_model == "large");
    fleet.apply_entry(entry(6), start + 3s);
    CHECK(fleet.find(id)->last_model.empty());
}

TEST_CASE("other hosts learn the last model of a free runner") {
    // Without this, a new lease holder warms up all spares again, as seen on
    // tadyang-relay trouble-2.
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    state::runner_observation observation;
    observation.id = id;
    observation.started_ms = 5;
    observation.sequence = 2;
    observation.model = "small";
    fleet.apply_observation(observation, start + 1s);
    CHECK(fleet.find(id)->last_model == "small");
    CHECK_FALSE(fleet.find(id)->record.membership);
}

TEST_CASE("only a new incarnation takes calls after one that said that it leaves") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.note_leaving(id, 5, exclusion_source::answer, start));
    CHECK_FALSE(fleet.note_leaving(id, 5, exclusion_source::peer, start));
    CHECK_FALSE(fleet.find(id)->may_take_calls(start));
    CHECK(fleet.find(id)->is_leaving(start));

    // Neither an entry that says ready, nor a report, nor an observation undoes it.
    fleet.apply_entry(entry(5), start + 1s);
    fleet.apply_report(id, report(5, 1, "g"), start + 1s);
    state::runner_observation observation;
    observation.id = id;
    observation.started_ms = 5;
    observation.sequence = 2;
    fleet.apply_observation(observation, start + 1s);
    fleet.apply_removal(id, start + 2s);
    fleet.apply_entry(entry(5), start + 3s);
    CHECK_FALSE(fleet.find(id)->may_take_calls(start + 1h));

    fleet.apply_entry(entry(6), start + 4s);
    CHECK(fleet.find(id)->may_take_calls(start + 4s));
    // A late answer of the earlier incarnation says nothing of the new one.
    CHECK_FALSE(fleet.note_leaving(id, 5, exclusion_source::answer, start + 5s));
    CHECK(fleet.find(id)->may_take_calls(start + 5s));
}

TEST_CASE("an old copy of the store does not bring back a runner that left and was forgotten") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.note_leaving(id, 5, exclusion_source::answer, start);
    fleet.apply_removal(id, start);
    const auto forgotten = start + fleet_table::forget_after + 1ms;
    fleet.refresh(forgotten);
    REQUIRE_FALSE(fleet.find(id));

    fleet.apply_entry(entry(5), forgotten + 1s);
    CHECK_FALSE(fleet.find(id)->may_take_calls(forgotten + 1s));
    fleet.apply_entry(entry(6), forgotten + 2s);
    CHECK(fleet.find(id)->may_take_calls(forgotten + 2s));
}

TEST_CASE("departed runners do not stay in memory") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.note_leaving(id, 5, exclusion_source::answer, start);
    fleet.apply_removal(id, start);
    const auto forgotten = start + fleet_table::forget_after + 1ms;
    fleet.refresh(forgotten);
    fleet.refresh(forgotten + fleet_table::departure_retention);
    fleet.apply_entry(entry(5), forgotten + fleet_table::departure_retention);
    CHECK(fleet.find(id)->may_take_calls(forgotten + fleet_table::departure_retention));
}

TEST_CASE("a leaving runner is announced for a limited time") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.recently_leaving(start).empty());
    fleet.note_leaving(id, 5, exclusion_source::answer, start);
    // Hearing it again must not prolong the announcement, or hosts would repeat it for ever.
    fleet.note_leaving(id, 5, exclusion_source::peer, start + 1s);
    const std::vector<state::leaving_runner> announced{{id, 5}};
    CHECK(fleet.recently_leaving(start + 1s) == announced);
    CHECK(fleet.recently_leaving(start + fleet_table::leaving_announced_for).empty());
}

TEST_CASE("a requested pause ends calls until its end and is not shortened") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.note_pause(id, 5, start, start + 2s));
    CHECK_FALSE(fleet.note_pause(id, 5, start + 1s, start + 1500ms));
    CHECK_FALSE(fleet.note_pause(id, 4, start + 1s, start + 1h));
    CHECK_FALSE(fleet.find(id)->may_take_calls(start + 1999ms));
    CHECK(fleet.find(id)->paused_until(start) == start + 2s);
    CHECK(fleet.find(id)->may_take_calls(start + 2s));
    CHECK_FALSE(fleet.note_pause(id, 5, start + 3s, start + 3s)); // asked for no time
    CHECK(fleet.find(id)->may_take_calls(start + 3s));
    CHECK(fleet.note_pause(id, 5, start + 4s, start + 5s));
    fleet.apply_entry(entry(6), start + 4s);
    CHECK(fleet.find(id)->may_take_calls(start + 4s));
}

TEST_CASE("a refusal that asks for a pause does not lengthen the backoff") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    fleet.note_pause(id, 5, start, start + 100ms);
    fleet.note_refusal(id, start);
    CHECK(fleet.find(id)->may_take_calls(start + 100ms));
    fleet.note_refusal(id, start + 200ms);
    CHECK(backoff_end(fleet, start + 200ms) == start + 200ms + fleet_table::min_refusal_backoff);
}

TEST_CASE("one order may be sent in each pause") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.reserve_order(id, start));
    CHECK(fleet.reserve_order(id, start));
    fleet.note_pause(id, 5, start, start + 1s);
    CHECK(fleet.reserve_order(id, start));
    CHECK_FALSE(fleet.reserve_order(id, start + 999ms));
    CHECK(fleet.reserve_order(id, start + 1s));
    fleet.note_pause(id, 5, start + 2s, start + 3s);
    CHECK(fleet.reserve_order(id, start + 2s));
}

TEST_CASE("a runner is left out after two misdirected calls without an answer between them") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    const auto is_left_out = [&](state::time_point now) {
        return fleet.find(id)->exclusions.contains(exclusion_reason::not_serving, now);
    };
    fleet.note_misdirected(id, start);
    CHECK_FALSE(is_left_out(start));
    fleet.note_answer(id, start + 10ms);
    fleet.note_misdirected(id, start + 20ms);
    CHECK_FALSE(is_left_out(start + 20ms));
    fleet.note_misdirected(id, start + 30ms);
    CHECK(is_left_out(start + 30ms));
    fleet.apply_entry(entry(6), start + 40ms); // it has started again
    CHECK_FALSE(is_left_out(start + 40ms));
    fleet.note_misdirected(id, start + 40ms);
    CHECK_FALSE(is_left_out(start + 40ms));
}

TEST_CASE("the rate of calls of a runner is that of its newest answer") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    const auto note = [&](std::optional<double> rate, state::time_point shown_at,
                          exclusion_source source = exclusion_source::answer) {
        return fleet.note_call_rate(id, 5, rate, source, shown_at, shown_at);
    };
    const auto known = [&] { return fleet.find(id)->call_rate; };
    CHECK_FALSE(known().calls_per_s);
    CHECK_FALSE(note(std::nullopt, start)); // no change
    CHECK(note(6.5, start + 1s));
    CHECK(known().calls_per_s == 6.5);
    CHECK(known().source == exclusion_source::answer);
    CHECK_FALSE(note(6.5, start + 2s));

    // An older answer, or one of the same time, changes nothing.
    CHECK_FALSE(note(std::nullopt, start + 1500ms));
    CHECK_FALSE(note(3, start + 2s));
    CHECK(known().calls_per_s == 6.5);
    CHECK(note(3, start + 3s, exclusion_source::peer));
    CHECK(known().calls_per_s == 3);
    CHECK(known().source == exclusion_source::peer);
    CHECK(note(std::nullopt, start + 4s));
    CHECK_FALSE(known().calls_per_s);
    CHECK_FALSE(note(3, start + 3500ms)); // a notice that was late
    CHECK_FALSE(known().calls_per_s);
    CHECK(note(0, start + 5s));
    CHECK(known().calls_per_s == 0);
}

TEST_CASE("the rate of calls belongs to the incarnation that named it") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    const auto note = [&](std::uint64_t started_ms, state::time_point now) {
        return fleet.note_call_rate(id, started_ms, 6.5, exclusion_source::peer, now, now);
    };
    CHECK_FALSE(note(4, start + 1s));
    CHECK_FALSE(note(6, start + 1s));
    CHECK_FALSE(fleet.find(id)->call_rate.calls_per_s);
    CHECK_FALSE(fleet.note_call_rate(state::endpoint_id("unknown"), 5, 6.5, exclusion_source::peer,
                                     start, start));
    CHECK(note(5, start + 1s));
    // An entry of the same incarnation leaves the rate; a new incarnation has named none.
    fleet.apply_entry(entry(5), start + 2s);
    CHECK(fleet.find(id)->call_rate.calls_per_s == 6.5);
    fleet.apply_entry(entry(6), start + 3s);
    CHECK_FALSE(fleet.find(id)->call_rate.calls_per_s);
    CHECK(fleet.recent_call_rates(start + 3s).empty());
    CHECK_FALSE(note(5, start + 4s));
    CHECK_FALSE(fleet.find(id)->call_rate.calls_per_s);
}

TEST_CASE("a change of the rate of calls is announced for a time, its end too") {
    fleet_table fleet;
    fleet.apply_entry(entry(5), start);
    CHECK(fleet.recent_call_rates(start).empty());
    const auto note = [&](std::optional<double> rate, state::time_point now) {
        return fleet.note_call_rate(id, 5, rate, exclusion_source::answer, now, now);
    };
    constexpr auto announced_for = fleet_table::call_rate_announced_for;
    const auto named_at = start + 1s;
    CHECK(note(6.5, named_at));
    CHECK(fleet.recent_call_rates(named_at + 100ms) ==
          std::vector{state::call_rate_notice{id, 5, 6.5, 100ms}});
    // A confirmation does not prolong the notice; its age is that of the newest answer.
    CHECK_FALSE(note(6.5, named_at + 500ms));
    CHECK(fleet.recent_call_rates(named_at + announced_for - 1ms) ==
          std::vector{state::call_rate_notice{id, 5, 6.5, announced_for - 1ms - 500ms}});
    CHECK(fleet.recent_call_rates(named_at + announced_for).empty());

    const auto ended_at = start + 10s;
    CHECK(note(std::nullopt, ended_at));
    CHECK(fleet.recent_call_rates(ended_at) ==
          std::vector{state::call_rate_notice{id, 5, std::nullopt, 0ms}});
    CHECK(fleet.recent_call_rates(ended_at + announced_for).empty());
}

TEST_CASE("the rates of calls that are announced at a time are bounded") {
    fleet_table fleet;
    for (std::size_t i = 0; i < 2 * fleet_table::max_call_rates_announced; ++i) {
        auto record = entry(5);
        record.id = state::endpoint_id("r" + std::to_string(i));
        fleet.apply_entry(record, start);
        CHECK(fleet.note_call_rate(record.id, 5, 1, exclusion_source::answer, start, start));
    }
    CHECK(fleet.recent_call_rates(start).size() == fleet_table::max_call_rates_announced);
}
