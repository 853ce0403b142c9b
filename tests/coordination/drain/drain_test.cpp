// Tests of the drain of endpoints and zones, and of the planned stop of the daemon.
#include "savoryrelay/coordination/drain/drain.h"

#include "support/fault_matrix.h"

#include <rapidcheck.h>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using std::chrono::seconds;
using d = state::drain_state;
using s = state::stop_state;
using tests::cell_outcome;
using tests::fault;

namespace {

const state::time_point start{std::chrono::hours(1)};

/// Runs a history of (operation, number) and returns the violated invariants. The
/// member receives the current configuration at once, unless it is cut off.
std::set<std::string> run_drain(const std::vector<std::pair<int, int>>& history,
                                const step_drain_hook& step) {
    std::set<std::string> violations;
    const drain_settings settings;
    drain_progress progress;
    drain_input current_input{1, false, 0};
    std::vector<drain_input> past_inputs{current_input};
    auto now = start;
    auto last_connected = now;
    auto known_input = current_input;
    bool is_cut_off = false;
    for (const auto& [operation, number] : history) {
        const auto before = progress;
        auto received_input = current_input;
        switch (operation) {
        case 0:
            current_input.drained = !current_input.drained;
            ++current_input.revision;
            past_inputs.push_back(current_input);
            break;
        case 1:
            current_input.in_flight = static_cast<std::uint32_t>(number % 3);
            break;
        case 2:
            is_cut_off = !is_cut_off;
            break;
        case 3: // an older configuration arrives after newer ones
            received_input = past_inputs[static_cast<std::size_t>(number) % past_inputs.size()];
            break;
        case 4: // the process is killed; the new one has no state yet
            progress = {};
            known_input = {};
            last_connected = start - std::chrono::hours(1);
            break;
        default:
            now += seconds(number);
            break;
        }
        last_connected = is_cut_off ? last_connected : now;
        known_input = is_cut_off ? known_input : current_input;
        received_input = operation == 3 ? received_input : known_input;
        received_input.in_flight = current_input.in_flight;
        progress = step(progress, received_input, settings, now);
        if (progress.state != before.state && operation != 4 &&
            !state::is_allowed(before.state, progress.state)) {
            violations.insert("transition outside the table");
        }
        const double share = new_work_share(progress, settings, last_connected, now);
        const bool must_refuse_work = !is_cut_off || now - last_connected > settings.isolation;
        if (current_input.drained && must_refuse_work && share > 0.0) {
            violations.insert("new work while drained");
        }
        if (progress.state == d::drained && before.state == d::draining &&
            current_input.in_flight > 0) {
            violations.insert("request interrupted");
        }
    }
    return violations;
}

} // namespace

// Guards against new work in a drained zone after a delayed configuration, a partition
// or a restart, and against a drain that ends with requests in flight.
TEST_CASE("a drain assigns no new work and interrupts no request", "[drain][property]") {
    CHECK(rc::check("drain", [] {
        const auto history = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 90)));
        RC_ASSERT(run_drain(history, step_drain).empty());
    }));
}

// Guards against a property that cannot fail: each variant disables one mechanism, the
// check of the revision or the wait for requests in flight.
TEST_CASE("each drain invariant is violated without its mechanism", "[drain][naive]") {
    const std::vector<std::pair<int, int>> history{{0, 0}, {3, 0}, {5, 60}, {5, 60}, {0, 0},
                                                   {1, 2}, {0, 0}, {5, 60}, {5, 60}};
    CHECK(run_drain(history, step_drain).empty());
    const auto without_revision_check = [](const drain_progress& progress, const drain_input& input,
                                           const drain_settings& settings, state::time_point now) {
        auto newest = input;
        newest.revision = progress.revision + (input.drained ? 0 : 1);
        return step_drain(progress, newest, settings, now);
    };
    CHECK(run_drain(history, without_revision_check).contains("new work while drained"));
    const auto without_wait = [](const drain_progress& progress, drain_input input,
                                 const drain_settings& settings, state::time_point now) {
        input.in_flight = 0;
        return step_drain(progress, input, settings, now);
    };
    CHECK(run_drain(history, without_wait).contains("request interrupted"));
}

// Guards against a share that returns to its full value at once, and against an overdue
// drain that ends requests.
TEST_CASE("a returning share grows gradually and an overdue drain ends no request", "[drain]") {
    const drain_settings settings;
    const drain_progress returning{d::returning, 2, start};
    CHECK(new_work_share(returning, settings, start, start) == 0.0);
    const auto half = start + seconds(30);
    CHECK(new_work_share(returning, settings, half, half) == Approx(0.5));
    CHECK(new_work_share(returning, settings, half - seconds(5), half) == 0.0);
    const drain_progress draining{d::draining, 2, start};
    const auto late = start + seconds(601);
    CHECK(is_overdue(draining, settings, late));
    CHECK(step_drain(draining, {2, true, 1}, settings, late).state == d::draining);
}

// Guards against a fault that causes a transition outside the table, or new work during
// a drain.
TEST_CASE("fault matrix of a drain", "[drain][matrix]") {
    tests::run_fault_matrix<d>("drain", [](d from, d to, fault kind) {
        const drain_settings settings;
        const bool is_drain_wanted = to == d::draining || to == d::drained;
        const bool needs_new_revision =
            (from == d::in_service || from == d::returning) == is_drain_wanted;
        drain_progress progress{from, 5, start};
        drain_input input{needs_new_revision ? 6U : 5U, is_drain_wanted, 0};
        auto now = start + (to == d::in_service ? settings.ramp : seconds(1));
        auto last_connected = now;
        switch (kind) {
        case fault::process_killed:
            progress = {};
            input.revision = 6;
            break;
        case fault::process_paused:
            now += seconds(100);
            last_connected = now;
            break;
        case fault::partition:
        case fault::one_way_partition:
            last_connected = now - seconds(5);
            break;
        case fault::operators_race: // the losing operator's configuration has the older revision
        case fault::answer_late:
            progress = step_drain(progress, input, settings, now);
            input = {4, !is_drain_wanted, 0};
            break;
        case fault::connection_silent:
            input.in_flight = 1;
            break;
        default:
            return cell_outcome::unaffected;
        }
        for (int i = 0; i < 3; ++i) {
            const auto next = step_drain(progress, input, settings, now);
            const bool interrupts =
                next.state == d::drained && progress.state == d::draining && input.in_flight > 0;
            if (interrupts ||
                (next.state != progress.state && !state::is_allowed(progress.state, next.state))) {
                return cell_outcome::violated;
            }
            progress = next;
        }
        const double share = new_work_share(progress, settings, last_connected, now);
        const bool isolated = now - last_connected > settings.isolation;
        return share > 0.0 && (is_drain_wanted || isolated) ? cell_outcome::violated
                                                            : cell_outcome::held;
    });
}

// Guards against a planned stop that interrupts a request or accepts requests after
// announcing.
TEST_CASE("fault matrix of the planned stop", "[drain][matrix]") {
    tests::run_fault_matrix<s>("stop", [](s from, s to, fault kind) {
        stop_progress progress{from, start};
        std::uint32_t in_flight = 0;
        auto now = start + seconds(10);
        switch (kind) {
        case fault::process_paused:
            now += seconds(100);
            break;
        case fault::straggler:
        case fault::connection_silent:
            in_flight = 1;
            now += std::chrono::hours(2);
            break;
        case fault::operators_race:
            progress = step_stop(progress, true, 1, {}, now);
            break;
        default:
            return cell_outcome::unaffected;
        }
        const auto next = step_stop(progress, true, in_flight, {}, now);
        const bool is_legal =
            next.state == progress.state || state::is_allowed(progress.state, next.state);
        const bool interrupts = next.state == s::stopped && in_flight > 0;
        const bool reached = in_flight > 0 || kind == fault::operators_race || next.state == to;
        const bool accepts_after_announcing =
            accepts_requests(next) && (next.state == s::finishing || next.state == s::stopped);
        return is_legal && !interrupts && reached && !accepts_after_announcing
                   ? cell_outcome::held
                   : cell_outcome::violated;
    });
}
