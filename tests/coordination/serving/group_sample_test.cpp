// Tests the placing of calls when loads reach the other hosts late: plays the calls of a
// large fleet in simulated time and checks what callers get.
#include "savoryrelay/coordination/serving/group_choice.h"
#include "savoryrelay/coordination/serving/group_sample.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>

using namespace savoryrelay;
using namespace savoryrelay::coordination;

namespace {

constexpr double target_ms = 400;
constexpr double report_delay_ms = 200; // until all hosts know of a call

state::engine_rule make_engine() {
    state::engine_rule engine;
    engine.slots = 22;
    engine.step_ms = 6.07;
    engine.step_per_request_ms = 0.241;
    engine.prompt_tokens_per_ms = 46;
    engine.pairs_ms_per_million = 0.7;
    engine.chunk_tokens = 2048;
    engine.steps_per_pass = 8;
    engine.usual_prompt_tokens = 900;
    engine.usual_answer_tokens = 145;
    engine.models = {{"large", 16, 0.5, 1.0, {}, {}}};
    return engine;
}

// What the callers of one run got.
struct outcome {
    double in_target = 0;             // share of the calls
    std::size_t used_connections = 0; // pairs of a host and a group
};

struct load_case {
    std::size_t hosts = 295;
    std::size_t groups = 60;
    double calls_per_s = 800;
    bool is_sampled = true;
};

// Plays 20 s. A call counts as in time if the group that gets it would send the first event
// within the target, by the calls that it really has.
outcome play(const load_case& load, std::uint64_t seed) {
    const auto engine = make_engine();
    const auto& model = engine.models.front();
    std::mt19937_64 random(seed);
    std::vector<runner_view> runners(load.groups);
    std::map<state::endpoint_id, std::size_t> index_of;
    for (std::size_t i = 0; i < load.groups; ++i) {
        runners[i].record.id = state::endpoint_id("i-" + std::to_string(i));
        runners[i].record.availability_zone =
            state::availability_zone_id("z" + std::to_string(i % 5));
        index_of[runners[i].record.id] = i;
    }
    std::vector<const runner_view*> heads;
    for (const auto& runner : runners) {
        heads.push_back(&runner);
    }
    struct change {
        double at = 0;
        std::size_t group = 0;
        int calls = 0;
        bool operator<(const change& other) const { return at > other.at; }
    };
    std::vector<int> in_flight(load.groups, 0); // as the groups have them
    std::vector<int> reported(load.groups, 0);  // as the hosts know them
    std::priority_queue<change> ends;
    std::priority_queue<change> reports;
    std::set<std::pair<std::size_t, std::size_t>> connections;
    std::exponential_distribution<> arrival(load.calls_per_s / 1'000);
    std::lognormal_distribution<> prompt(std::log(700.0), 0.7);
    std::exponential_distribution<> answer(1.0 / 145);
    double calls = 0;
    double in_target = 0;
    const auto apply = [](std::priority_queue<change>& queue, std::vector<int>& counts,
                          double now) {
        while (!queue.empty() && queue.top().at <= now) {
            counts[queue.top().group] += queue.top().calls;
            queue.pop();
        }
    };
    for (double now = 0; now < 20'000; now += arrival(random)) {
        apply(ends, in_flight, now);
        apply(reports, reported, now);
        state::serving_call call;
        call.prompt_tokens = prompt(random);
        const auto host = random() % load.hosts;
        const auto candidates =
            load.is_sampled
                ? sample_heads(heads, "edge-" + std::to_string(host),
                               state::availability_zone_id("z" + std::to_string(host % 5)),
                               load.hosts, [&] { return random(); })
                : heads;
        std::vector<group_candidate> known;
        for (const auto* head : candidates) {
            group_candidate candidate;
            candidate.head = head->record.id;
            candidate.load.writing =
                static_cast<std::uint32_t>(std::max(0, reported[index_of[head->record.id]]));
            known.push_back(std::move(candidate));
        }
        const auto choice = choose_group(engine, model, known, call);
        calls += 1;
        if (!choice) {
            continue;
        }
        const auto group = index_of[choice->head];
        connections.insert({host, group});
        group_candidate actual;
        actual.load.writing = static_cast<std::uint32_t>(in_flight[group]);
        in_target += predict(engine, model, actual, call).first_event_ms <= target_ms ? 1 : 0;
        const double streams = std::min(in_flight[group] + 1, 22);
        const double duration =
            answer(random) * (engine.step_ms + streams * engine.step_per_request_ms);
        ++in_flight[group];
        ends.push({now + duration, group, -1});
        reports.push({now + report_delay_ms, group, 1});
        reports.push({now + duration + report_delay_ms, group, -1});
    }
    return {in_target / calls, connections.size()};
}

} // namespace

TEST_CASE("placing: with late loads, random few groups serve more calls in time than the best") {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const auto best_of_all = play({.is_sampled = false}, seed);
        const auto sampled = play({.is_sampled = true}, seed);
        INFO("in target: best of all " << best_of_all.in_target << ", sampled " << sampled.in_target
                                       << "; connections " << best_of_all.used_connections << ", "
                                       << sampled.used_connections);
        CHECK(sampled.in_target > best_of_all.in_target);
        CHECK(sampled.used_connections < best_of_all.used_connections);
    }
}

TEST_CASE("placing: a host's groups change little, cover all groups and prefer its zone") {
    std::vector<runner_view> runners(60);
    std::vector<const runner_view*> heads;
    for (std::size_t i = 0; i < runners.size(); ++i) {
        runners[i].record.id = state::endpoint_id("i-" + std::to_string(i));
        runners[i].record.availability_zone =
            state::availability_zone_id("z" + std::to_string(i % 5));
        heads.push_back(&runners[i]);
    }
    std::mt19937_64 random(1);
    const auto used_by = [&](std::size_t host, const std::vector<const runner_view*>& all) {
        std::set<state::endpoint_id> used;
        for (int i = 0; i < 200; ++i) {
            for (const auto* head :
                 sample_heads(all, "edge-" + std::to_string(host),
                              state::availability_zone_id("z" + std::to_string(host % 5)), 295,
                              [&] { return random(); })) {
                used.insert(head->record.id);
            }
        }
        return used;
    };
    std::set<state::endpoint_id> covered;
    for (std::size_t host = 0; host < 60; ++host) {
        const auto used = used_by(host, heads);
        CHECK(used.size() == groups_per_host);
        covered.insert(used.begin(), used.end());
    }
    CHECK(covered.size() == heads.size());

    const auto before = used_by(7, heads);
    auto fewer = heads;
    std::erase_if(fewer, [&](const auto* head) { return head->record.id == *before.begin(); });
    const auto after = used_by(7, fewer);
    std::size_t kept = 0;
    for (const auto& id : after) {
        kept += before.contains(id) ? 1 : 0;
    }
    CHECK(kept == groups_per_host - 1);
    CHECK(sample_heads(heads, "edge-1", {}, max_unsampled_hosts, [] { return 0U; }).size() ==
          heads.size());
}
