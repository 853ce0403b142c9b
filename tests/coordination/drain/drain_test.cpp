// Drains of endpoints and zones, and the planned stop of the daemon.
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

/// Runs a history of (operation, number) and returns the broken promises. The
/// present order is known to the member at once, unless it is cut off.
std::set<std::string> run_drain(const std::vector<std::pair<int, int>>& history,
                                const step_drain_hook& step) {
    std::set<std::string> violations;
    const drain_settings settings;
    drain_progress progress;
    drain_input order{1, false, 0};
    std::vector<drain_input> earlier{order};
    auto now = start;
    auto connected = now;
    auto known = order;
    bool cut_off = false;
    for (const auto& [operation, number] : history) {
        const auto before = progress;
        auto seen = order;
        switch (operation) {
        case 0:
            order.drained = !order.drained;
            ++order.revision;
            earlier.push_back(order);
            break;
        case 1:
            order.in_flight = static_cast<std::uint32_t>(number % 3);
            break;
        case 2:
            cut_off = !cut_off;
            break;
        case 3: // an older order arrives late
            seen = earlier[static_cast<std::size_t>(number) % earlier.size()];
            break;
        case 4: // the process is killed; its successor knows nothing yet
            progress = {};
            known = {};
            connected = start - std::chrono::hours(1);
            break;
        default:
            now += seconds(number);
            break;
        }
        connected = cut_off ? connected : now;
        known = cut_off ? known : order;
        seen = operation == 3 ? seen : known;
        seen.in_flight = order.in_flight;
        progress = step(progress, seen, settings, now);
        if (progress.state != before.state && operation != 4 &&
            !state::is_allowed(before.state, progress.state)) {
            violations.insert("step outside the table");
        }
        const double share = new_work_share(progress, settings, connected, now);
        const bool knows = !cut_off || now - connected > settings.isolation;
        if (order.drained && knows && share > 0.0) {
            violations.insert("new work while drained");
        }
        if (progress.state == d::drained && before.state == d::draining && order.in_flight > 0) {
            violations.insert("request cut");
        }
    }
    return violations;
}

} // namespace

// Guards against new work in a drained zone after a delayed order, a partition
// or a restart, and against a drain that ends with requests in flight.
TEST_CASE("a drain gives no new work and cuts nothing", "[drain][property]") {
    CHECK(rc::check("drain", [] {
        const auto history = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 90)));
        RC_ASSERT(run_drain(history, step_drain).empty());
    }));
}

// Guards against a property that cannot fail: the revision and the wait for
// requests in flight are disabled once each.
TEST_CASE("the promises of a drain break without their mechanism", "[drain][naive]") {
    const std::vector<std::pair<int, int>> history{{0, 0}, {3, 0}, {5, 60}, {5, 60}, {0, 0},
                                                   {1, 2}, {0, 0}, {5, 60}, {5, 60}};
    CHECK(run_drain(history, step_drain).empty());
    const auto by_last_order = [](const drain_progress& progress, const drain_input& input,
                                  const drain_settings& settings, state::time_point now) {
        auto newest = input;
        newest.revision = progress.revision + (input.drained ? 0 : 1);
        return step_drain(progress, newest, settings, now);
    };
    CHECK(run_drain(history, by_last_order).contains("new work while drained"));
    const auto by_deadline = [](const drain_progress& progress, drain_input input,
                                const drain_settings& settings, state::time_point now) {
        input.in_flight = 0;
        return step_drain(progress, input, settings, now);
    };
    CHECK(run_drain(history, by_deadline).contains("request cut"));
}

// Guards against a share that returns at once, and an overdue drain that ends requests.
TEST_CASE("a returning share grows and an overdue drain is only shown", "[drain]") {
    const drain_settings settings;
    const drain_progress back{d::returning, 2, start};
    CHECK(new_work_share(back, settings, start, start) == 0.0);
    const auto half = start + seconds(30);
    CHECK(new_work_share(back, settings, half, half) == Approx(0.5));
    CHECK(new_work_share(back, settings, half - seconds(5), half) == 0.0);
    const drain_progress draining{d::draining, 2, start};
    const auto late = start + seconds(601);
    CHECK(is_overdue(draining, settings, late));
    CHECK(step_drain(draining, {2, true, 1}, settings, late).state == d::draining);
}

// Guards against a fault that moves a drain outside its table or lets new work in.
TEST_CASE("fault matrix of a drain", "[drain][matrix]") {
    tests::run_fault_matrix<d>("drain", [](d from, d to, fault kind) {
        const drain_settings settings;
        const bool out = to == d::draining || to == d::drained;
        const bool by_order = (from == d::in_service || from == d::returning) == out;
        drain_progress progress{from, 5, start};
        drain_input input{by_order ? 6U : 5U, out, 0};
        auto now = start + (to == d::in_service ? settings.ramp : seconds(1));
        auto connected = now;
        switch (kind) {
        case fault::process_killed:
            progress = {};
            input.revision = 6;
            break;
        case fault::process_paused:
            now += seconds(100);
            connected = now;
            break;
        case fault::partition:
        case fault::one_way_partition:
            connected = now - seconds(5);
            break;
        case fault::operators_race: // the loser's order has the older revision
        case fault::answer_late:
            progress = step_drain(progress, input, settings, now);
            input = {4, !out, 0};
            break;
        case fault::connection_silent:
            input.in_flight = 1;
            break;
        default:
            return cell_outcome::unaffected;
        }
        for (int i = 0; i < 3; ++i) {
            const auto next = step_drain(progress, input, settings, now);
            const bool cut =
                next.state == d::drained && progress.state == d::draining && input.in_flight > 0;
            if (cut ||
                (next.state != progress.state && !state::is_allowed(progress.state, next.state))) {
                return cell_outcome::violated;
            }
            progress = next;
        }
        const double share = new_work_share(progress, settings, connected, now);
        const bool isolated = now - connected > settings.isolation;
        return share > 0.0 && (out || isolated) ? cell_outcome::violated : cell_outcome::held;
    });
}

// Guards against a planned stop that ends a request or accepts after announcing.
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
        const bool legal =
            next.state == progress.state || state::is_allowed(progress.state, next.state);
        const bool cut = next.state == s::stopped && in_flight > 0;
        const bool reached = in_flight > 0 || kind == fault::operators_race || next.state == to;
        const bool accepts =
            accepts_requests(next) && (next.state == s::finishing || next.state == s::stopped);
        return legal && !cut && reached && !accepts ? cell_outcome::held : cell_outcome::violated;
    });
}
