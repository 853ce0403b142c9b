// Soak of hosts that are cut off from all runners, one or some or all at a time and in
// different ways, beside hosts that are paused, stopped and killed and runners that end, return
// and leave. SAVORYRELAY_SOAK_SEED sets the seed, SAVORYRELAY_SOAK_SECONDS the length.
#include "cut_off_clients.h"
#include "cut_off_fixture.h"

#include "support/soak.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;
using instant = test_clock::time_point;

constexpr std::size_t host_count = 5;
constexpr std::size_t model_count = 6;
constexpr int all_runners = 8; // and two without an engine
// The rules hold from this time after a cut or another disturbance on.
constexpr auto contact_time = 3'000ms;
constexpr auto call_deadline = 1'500ms;
// By which a call may end after its deadline.
constexpr auto deadline_slack = 1'000ms;
constexpr auto renewal_interval = 700ms;
// First tries at a cut-off host are served at least this often as those at the others.
constexpr double least_share = 2.0 / 3;
constexpr std::array<path_state, 3> ways{path_state::held, path_state::reset,
                                         path_state::refuses_new};

struct time_span {
    instant begin;
    instant end = instant::max();
};

// Returns whether the time from `begin` to `end` meets one of the spans.
bool meets(const std::vector<time_span>& spans, instant begin, instant end) {
    return std::any_of(spans.begin(), spans.end(),
                       [&](const auto& span) { return span.begin <= end && begin <= span.end; });
}

struct soak_fixture : cut_off_fixture {
    explicit soak_fixture(unsigned seed) : cut_off_fixture(host_count, model_count), random(seed) {
        add_paths_to(leaver->port);
        write_leaver("ready");
        for (std::size_t host = 0; host < host_count; ++host) {
            wait_until([&] { return gauge(host, "savoryrelay_runners_listed") == all_runners; });
            wait_until([&] { return is_serving(host, call_kind::ask); });
        }
    }

    [[nodiscard]] bool is_serving(std::size_t host, call_kind kind) {
        const auto* entry = std::find_if(call_kinds.begin(), call_kinds.end(),
                                         [&](const auto& known) { return known.kind == kind; });
        const auto id = "s" + std::to_string(++last_check);
        return call(host, entry->method, std::string(entry->target), id).status == 200;
    }

    void write_leaver(const std::string& state) const {
        write_entry("p2", "orders", leaver->port, "", state, leaver_born);
    }

    void after(std::chrono::milliseconds delay, const std::function<void()>& action) {
        actions.emplace(test_clock::now() + delay, action);
    }

    // Repeats an action in intervals until the end of the run.
    void repeat(unsigned least_ms, unsigned most_ms, const std::function<void()>& action) {
        after(random.time_between(least_ms, most_ms), [=, this] {
            if (test_clock::now() < ends_at) {
                action();
                repeat(least_ms, most_ms, action);
            }
        });
    }

    void run(std::chrono::seconds length) {
        ends_at = test_clock::now() + length;
        begin_minority_phase();
        repeat(2'000, 6'000, [this] { disturb_model(); });
        repeat(4'000, 8'000, [this] { disturb_leaver(); });
        repeat(renewal_interval.count(), renewal_interval.count(), [this] { renew_all(); });
        while (!actions.empty()) {
            const auto next = actions.begin();
            std::this_thread::sleep_until(next->first);
            const auto action = next->second;
            actions.erase(next);
            action();
        }
        renew_all();
    }

    void renew_all() {
        for (std::size_t host = 0; host < host_count; ++host) {
            if (!disturbed_hosts.contains(host) && hosts[host]->process->has_ended()) {
                ++failed_hosts;
            }
        }
        renew_entries();
        if (is_leaver_listed) {
            write_leaver("ready");
        }
    }

    // One or two hosts are cut off for longer than the contact time, and at times another one
    // is disturbed.
    void begin_minority_phase() {
        if (test_clock::now() >= ends_at) {
            return;
        }
        const auto time = random.time_between(4'500, 6'000);
        begin_cut(1 + random.below(2), time);
        if (random.one_in(3)) {
            after(random.time_between(0, 4'000), [this] { disturb_host(); });
        }
        after(time + random.time_between(0, 500), [this] { begin_mixed_phase(); });
    }

    // Cuts of some hosts and of all overlap with each other and with disturbances of hosts.
    void begin_mixed_phase() {
        if (test_clock::now() >= ends_at) {
            return;
        }
        const auto cut_count = 2 + random.below(3);
        for (unsigned i = 0; i < cut_count; ++i) {
            after(random.time_between(0, 2'500), [this] {
                const auto wanted = random.one_in(3) ? host_count : 1 + random.below(3);
                begin_cut(wanted, random.time_between(1'000, 4'000));
            });
        }
        const auto disturbances_wanted = 1 + random.below(3);
        for (unsigned i = 0; i < disturbances_wanted; ++i) {
            after(random.time_between(0, 2'500), [this] { disturb_host(); });
        }
        after(random.time_between(3'500, 5'000), [this] { begin_minority_phase(); });
    }

    void begin_cut(std::size_t wanted, std::chrono::milliseconds time) {
        std::set<std::size_t> which;
        while (which.size() < wanted) {
            which.insert(random.below(host_count));
        }
        const auto way = ways.at(random.below(ways.size()));
        for (const auto host : which) {
            if (cut_hosts.insert(host).second) {
                cuts[host].push_back({test_clock::now()});
                cut(host, way);
                after(time, [this, host] {
                    reopen(host);
                    cuts[host].back().end = test_clock::now();
                    cut_hosts.erase(host);
                });
            }
        }
    }

    void disturb_host() {
        const auto host = random.below(host_count);
        if (!disturbed_hosts.insert(host).second) {
            return;
        }
        disturbances[host].push_back({test_clock::now()});
        auto& process = *hosts[host]->process;
        const auto kind = random.below(3);
        if (kind == 0) {
            process.pause();
            after(random.time_between(300, 3'000), [this, host] {
                hosts[host]->process->send(SIGCONT);
                end_disturbance(host);
            });
            return;
        }
        const bool is_killed = kind == 1;
        process.send(is_killed ? SIGKILL : SIGTERM);
        restart_when_ended(host, is_killed);
    }

    void restart_when_ended(std::size_t host, bool is_killed) {
        after(100ms, [this, host, is_killed] {
            if (!hosts[host]->process->has_ended()) {
                restart_when_ended(host, is_killed);
                return;
            }
            failed_hosts += is_killed || hosts[host]->process->wait() == 0 ? 0 : 1;
            restart_host(host);
            end_disturbance(host);
        });
    }

    void end_disturbance(std::size_t host) {
        disturbances[host].back().end = test_clock::now();
        disturbed_hosts.erase(host);
    }

    void disturb_model() {
        const auto model = random.below(model_count);
        if (!ended_models.insert(model).second) {
            return;
        }
        add_runs(models[model]->port, earlier_runs);
        end_model(model, random.one_in(2));
        after(random.time_between(500, 2'000), [this, model] {
            return_model(model);
            ended_models.erase(model);
        });
    }

    // The second plain runner is killed, or drains and ends, and returns.
    void disturb_leaver() {
        if (!is_leaver_listed) {
            return;
        }
        is_leaver_listed = false;
        const bool drains = random.one_in(2);
        if (drains) {
            leaver->control(R"({"leaving":true})");
            write_leaver("draining");
        }
        after(drains ? 2'500ms : 0ms, [this] {
            add_runs(leaver->port, earlier_runs);
            set_ended(leaver->port, true);
            leaver->process.send(SIGKILL);
            leaver->process.wait();
            write_row("servers", "p2", "null");
        });
        after(4'000ms, [this] {
            const auto port = leaver->port;
            leaver = std::make_unique<standin_process>(std::vector<std::string>{
                "runner", "--id=p2", "--port=" + port, "--born=" + std::to_string(++leaver_born)});
            set_ended(port, false);
            is_leaver_listed = true;
            write_leaver("ready");
        });
    }

    /// Returns whether the rules hold for a host in touch with the runners at the time of a call.
    [[nodiscard]] bool is_undisturbed(std::size_t host, const seen_call& call) const {
        return !meets(disturbances[host], call.sent_at - contact_time, call.ended_at);
    }
    [[nodiscard]] bool was_in_touch(std::size_t host, const seen_call& call) const {
        return is_undisturbed(host, call) &&
               !meets(cuts[host], call.sent_at - contact_time, call.ended_at);
    }
    /// Returns whether a host was cut off for long enough for the rule at the time of a call.
    [[nodiscard]] bool was_cut_off(std::size_t host, const seen_call& call) const {
        return is_undisturbed(host, call) &&
               std::any_of(cuts[host].begin(), cuts[host].end(), [&](const auto& span) {
                   return span.begin + contact_time < call.sent_at && call.ended_at < span.end;
               });
    }
    /// Returns whether most hosts were in touch with the runners at the time of a call.
    [[nodiscard]] bool were_most_in_touch(const seen_call& call) const {
        std::size_t count = 0;
        for (std::size_t host = 0; host < host_count; ++host) {
            count += was_in_touch(host, call) ? 1 : 0;
        }
        return count > host_count / 2;
    }

    shared_random random;
    std::unique_ptr<standin_process> leaver =
        std::make_unique<standin_process>(std::vector<std::string>{"runner", "--id=p2"});
    std::uint64_t leaver_born = 1;
    bool is_leaver_listed = true;
    int last_check = 0;
    instant ends_at;
    std::multimap<instant, std::function<void()>> actions;
    std::set<std::size_t> cut_hosts;
    std::set<std::size_t> disturbed_hosts;
    std::set<std::size_t> ended_models;
    std::array<std::vector<time_span>, host_count> cuts;
    std::array<std::vector<time_span>, host_count> disturbances;
    int failed_hosts = 0; // that ended without a signal, or not with success after SIGTERM
    // Calls that ended runners had begun when they were asked last, just before their end.
    std::map<std::string, int> earlier_runs;
};

} // namespace

TEST_CASE("edge: hosts that lose and regain the runners serve their callers beside restarts") {
    constexpr unsigned usual_seed = 20261207;
    constexpr unsigned usual_seconds = 20;
    const auto seed = number_from_environment("SAVORYRELAY_SOAK_SEED", usual_seed);
    const std::chrono::seconds length(
        number_from_environment("SAVORYRELAY_SOAK_SECONDS", usual_seconds));
    CAPTURE(seed);
    soak_fixture fixture(seed);
    cut_off_clients clients(fixture, {1, call_deadline, 10ms, {}});
    fixture.run(length);

    int silent_hosts = 0;
    for (std::size_t host = 0; host < host_count; ++host) {
        for (const auto& kind : call_kinds) {
            const bool serves = soak_fixture::is_reached_within(
                contact_time, [&] { return fixture.is_serving(host, kind.kind); });
            CAPTURE(host, kind.name);
            CHECK(serves);
            silent_hosts += serves ? 0 : 1;
        }
        CHECK(fixture.is_ready(host));
    }
    const bool have_all_ended = clients.request_stop(call_deadline + deadline_slack);
    CHECK(have_all_ended);
    if (!have_all_ended) {
        for (const auto& host : fixture.hosts) {
            host->process->send(SIGKILL);
        }
    }
    clients.stop();
    auto run_counts = fixture.run_counts();
    soak_fixture::add_runs(fixture.leaver->port, run_counts);
    for (const auto& [id, count] : fixture.earlier_runs) {
        run_counts[id] += count;
    }

    served_share cut_off;
    served_share others;
    std::map<std::string, int> counts;
    std::map<unsigned, int> cut_off_statuses;
    for (const auto& [id, call] : clients.calls()) {
        const auto run = run_counts.find(id);
        const int runs = run == run_counts.end() ? 0 : run->second;
        const bool was_disturbed =
            meets(fixture.disturbances[call.host], call.sent_at, call.ended_at);
        const bool is_late = call.ended_at - call.sent_at > call_deadline + deadline_slack;
        if (call.kind == call_kind::book && runs > 1) {
            ++counts["run_twice"];
        }
        if (call.is_refused() && runs > 0) {
            ++counts["refused_but_run"];
        }
        if (is_late && !was_disturbed) {
            ++counts["held"];
        }
        if (!call.is_in_order || (call.is_served() && !call.has_all_events)) {
            ++counts["damaged_streams"];
        }
        if (!call.has_connected && !was_disturbed) {
            ++counts["not_accepted"];
        }
        if (!fixture.were_most_in_touch(call)) {
            continue;
        }
        if (fixture.was_cut_off(call.host, call)) {
            cut_off.note(call);
            ++cut_off_statuses[call.status];
        } else if (fixture.was_in_touch(call.host, call)) {
            others.note(call);
        }
    }
    for (const auto* name :
         {"run_twice", "refused_but_run", "held", "damaged_streams", "not_accepted"}) {
        CAPTURE(name);
        CHECK(counts[name] == 0);
    }
    CHECK(fixture.failed_hosts == 0);
    CHECK(others.served > 0);
    CHECK((cut_off.sent == 0 || cut_off.share() >= least_share * others.share()));
    std::ostringstream summary;
    summary << "soak seed " << seed << ": " << clients.calls().size() << " calls; cut off "
            << cut_off.served << " of " << cut_off.sent << " served, others " << others.served
            << " of " << others.sent << "; silent " << silent_hosts;
    for (const auto& [name, count] : counts) {
        summary << ", " << name << ' ' << count;
    }
    summary << "; statuses at cut-off hosts:";
    for (const auto& [status, count] : cut_off_statuses) {
        summary << ' ' << status << 'x' << count;
    }
    WARN(summary.str());
}
