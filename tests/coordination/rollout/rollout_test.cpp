// Table tests of the roll-out evaluator and of its settings.
#include "savoryrelay/coordination/rollout/rollout.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using std::chrono::seconds;
using group_state = state::group_state;
using rollout_state = state::rollout_state;

namespace {

const state::time_point now{std::chrono::hours(2)};

/// Builds a view with one group per letter, upper case for the new version: s serving and
/// complete, i serving but incomplete, l loading, x loading for too long, d draining.
rollout_view make_view(const std::string& letters, rollout_state state = rollout_state::progressing,
                       std::uint32_t failed = 0) {
    rollout_view view{{state::deployment_id("d"), "v1", "v2", state, failed}, {}, now};
    for (const char letter : letters) {
        const auto lower = static_cast<char>(std::tolower(letter));
        const auto state_of_group = lower == 'd'                   ? group_state::draining
                                    : lower == 'l' || lower == 'x' ? group_state::loading
                                                                   : group_state::serving;
        const auto since = lower == 'x' ? now - std::chrono::hours(1) : now;
        view.groups.push_back({state::group_id("g" + std::to_string(view.groups.size())),
                               letter == lower ? "v1" : "v2", state_of_group, lower == 's', since});
    }
    return view;
}

/// Returns the changes as text, such as "form 1 v2, drain g0".
std::string to_text(const std::vector<rollout_change>& changes) {
    std::string text;
    for (const auto& change : changes) {
        text += (text.empty() ? "" : ", ") + std::string(state::to_name(change.kind));
        text += change.kind == rollout_change_kind::form
                    ? " " + std::to_string(change.count) + " " + change.model_version
                : change.next ? " " + std::string(state::to_name(*change.next))
                              : " " + change.group.value();
        text += change.counts_as_failure ? " failed" : "";
    }
    return text;
}

} // namespace

// Guards against drains beyond the budget, old groups that are drained only after all new
// ones have loaded, incomplete groups that count as available, and a roll-out that cannot
// roll back.
TEST_CASE("the roll-out evaluator returns the expected changes", "[rollout]") {
    using r = rollout_state;
    struct row {
        const char* groups;
        std::uint32_t surge, unavailable;
        rollout_state state;
        std::uint32_t failed;
        const char* changes;
    };
    const std::vector<row> rows{
        {"sss", 1, 0, r::progressing, 0, "form 1 v2"},
        {"sssL", 1, 0, r::progressing, 0, ""},
        {"sssS", 1, 0, r::progressing, 0, "drain g0"},
        {"sss", 0, 1, r::progressing, 0, "drain g0"},
        {"dss", 0, 1, r::progressing, 0, ""},
        {"ss", 0, 1, r::progressing, 0, "form 1 v2"},
        {"sssLS", 2, 0, r::progressing, 0, "drain g0"}, // drains while another group loads
        {"sssI", 1, 0, r::progressing, 0, ""},
        {"ssiS", 1, 0, r::progressing, 0, "abandon g2"},
        {"iii", 1, 0, r::progressing, 0,
         "form 1 v2"}, // the member may have lost contact with all engines
        {"sssX", 1, 0, r::progressing, 0, "abandon g3 failed"},
        {"sss", 1, 0, r::progressing, 2, "turn rolling_back"},
        {"sssL", 1, 0, r::rolling_back, 2, "abandon g3"},
        {"sdSS", 1, 1, r::rolling_back, 2, "drain g2"},
        {"sss", 1, 0, r::rolling_back, 2, "turn rolled_back"},
        {"SSS", 1, 0, r::progressing, 0, "turn completed"},
        {"SSSd", 1, 0, r::progressing, 0, ""},
        {"SSSS", 1, 0, r::completed, 0, "drain g3"},
        {"SS", 1, 0, r::completed, 0, "form 1 v2"},
    };
    for (const auto& row : rows) {
        INFO(row.groups);
        const rollout_settings settings{.desired = 3,
                                        .max_surge = row.surge,
                                        .max_unavailable = row.unavailable,
                                        .max_failures = 2};
        CHECK(to_text(evaluate_rollout(make_view(row.groups, row.state, row.failed), settings,
                                       now)) == row.changes);
    }
    auto stuck = make_view("sss");
    stuck.last_progress = now - std::chrono::hours(2);
    CHECK(to_text(evaluate_rollout(stuck, {.desired = 3}, now)) == "turn rolling_back");
}

// Guards against settings under which a roll-out never progresses or always rolls back.
TEST_CASE("roll-out settings that prevent progress are rejected", "[rollout]") {
    const auto rejected = [](const rollout_settings& settings) {
        const auto checked = state::collect([&] { return check_rollout_settings(settings); });
        return checked ? std::string() : checked.error().detail;
    };
    CHECK(rejected({.desired = 3, .max_surge = 0, .max_unavailable = 1}).empty());
    CHECK(rejected({.desired = 0}).empty());
    using Catch::Matchers::Contains;
    CHECK_THAT(rejected({.desired = 3, .max_surge = 0}), Contains("set one of them to at least 1"));
    CHECK_THAT(rejected({.desired = 1, .max_unavailable = 2}), Contains("at most 1"));
    CHECK_THAT(rejected({.max_failures = 0}), Contains("max_failures"));
    CHECK_THAT(rejected({.load_deadline = seconds(0)}), Contains("load_deadline_ms"));
    CHECK_THAT(rejected({.progress_deadline = seconds(1)}), Contains("progress_deadline_ms"));
}

// Guards against a roll-back to a version whose roll-out was never completed.
TEST_CASE("the previous version is the last one whose roll-out completed", "[rollout]") {
    state::rollout_row row;
    row = submit_version(row, "v1");
    CHECK(row.previous_version.empty());
    row.state = rollout_state::completed;
    row = submit_version(row, "v2");
    row.failed_groups = 2;
    row.state = rollout_state::rolled_back;
    row = submit_version(row, "v3");
    CHECK(row.previous_version == "v1");
    CHECK(row.failed_groups == 0);
}
