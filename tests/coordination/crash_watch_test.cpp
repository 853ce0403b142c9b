// Tests the quarantine of prompt parts and calls that crash endpoints, across hosts.
#include "support/crash_simulation.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;
using tests::crash_simulation;
using tests::crash_simulation_settings;

namespace {

constexpr std::uint64_t seeds = 50;
// The users' target: after five crashes and three seconds, at most three calls with the part
// reach endpoints.
constexpr std::size_t counted_crashes = 5;
constexpr std::size_t max_late_calls = 3;
constexpr int notice_rounds = 30;
constexpr int day_rounds = 220;
// The users' time within which hosts in touch know of each other's news.
constexpr auto contact_time = 3s;

// Returns how many crashing calls reach endpoints after the time for notice.
std::size_t late_calls(crash_simulation& simulation) {
    int round = 0;
    while (round < day_rounds && simulation.crashes < counted_crashes) {
        simulation.play(1);
        ++round;
    }
    simulation.play(notice_rounds);
    const auto before = simulation.crashing_calls_sent;
    simulation.play(std::max(0, day_rounds - round - notice_rounds));
    return simulation.crashing_calls_sent - before;
}

// Lets each host send its notices to all others.
void exchange_notices(std::vector<std::unique_ptr<crash_watch>>& hosts, state::time_point now) {
    for (auto& from : hosts) {
        for (const auto& notice : from->due_notices(now)) {
            for (auto& to : hosts) {
                if (&to != &from) {
                    to->apply(notice, now);
                }
            }
        }
    }
}

// Records crashes `first` to `last` against the fingerprints, 200 ms apart.
void record_crashes(crash_watch& host, std::uint64_t first, std::uint64_t last,
                    const std::vector<request_fingerprint>& fingerprints, state::time_point& now) {
    for (auto number = first; number <= last; ++number) {
        now += 200ms;
        host.record_crash(state::endpoint_id("e"), number, fingerprints, now);
    }
}

// Drops the notices of the host until those of its crashes are no longer sent.
void wait_until_crashes_are_not_sent(crash_watch& host, state::time_point& now) {
    now += crash_notice_schedule::repeated_for;
    static_cast<void>(host.due_notices(now));
    now += crash_watch::refresh_interval;
}

std::vector<std::unique_ptr<crash_watch>> make_hosts(std::size_t count) {
    std::vector<std::unique_ptr<crash_watch>> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back(
            std::make_unique<crash_watch>(entry_host_crash_settings(), default_crash_hooks()));
    }
    return hosts;
}

} // namespace

TEST_CASE("crash watch: a prompt part that crashes endpoints is refused by all hosts") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        INFO("seed " << seed);
        crash_simulation simulation(seed, {});
        CHECK(late_calls(simulation) <= max_late_calls);
        CHECK(simulation.crashing_calls_refused > 0);
        CHECK(simulation.sound_calls_refused == 0);
    }

    // Naive variants: no quarantine, and hosts that share nothing.
    crash_simulation_settings never;
    never.hooks.is_quarantined = [](const auto&, const auto&) { return false; };
    crash_simulation without_quarantine(1, never);
    CHECK(late_calls(without_quarantine) > max_late_calls);
    crash_simulation_settings alone;
    alone.shares_notices = false;
    crash_simulation without_notices(1, alone);
    CHECK(late_calls(without_notices) > max_late_calls);
}

TEST_CASE("crash watch: a quarantine at the first crash refuses sound calls") {
    crash_simulation_settings hasty;
    hasty.hooks.is_quarantined = [](const auto&, const auto&) { return true; };
    crash_simulation simulation(1, hasty);
    simulation.play(day_rounds);
    CHECK(simulation.sound_calls_refused > 0);
}

TEST_CASE("crash watch: connections that break all at once quarantine nothing") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        INFO("seed " << seed);
        crash_simulation_settings settings;
        settings.crashing_calls_per_round = 0;
        crash_simulation simulation(seed, settings);
        // The first calls of all hosts wait, so no part has been answered yet.
        simulation.play(1);
        simulation.break_connections();
        simulation.play(day_rounds);
        CHECK(simulation.sound_calls_refused == 0);
    }
}

TEST_CASE("crash watch: a host that starts later refuses the parts that others refuse") {
    crash_simulation simulation(1, {});
    simulation.play(day_rounds);
    const auto call = crash_simulation::call_with("crashing part");
    REQUIRE(simulation.is_refused(0, call, "new body"));
    simulation.start_host(0);
    CHECK_FALSE(simulation.is_refused(0, call, "new body"));
    simulation.play(15);
    CHECK(simulation.is_refused(0, call, "new body"));
}

TEST_CASE("crash watch: a call that crashes endpoints is refused, others of its customer are not") {
    const state::time_point start{1h};
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    const auto call = crash_simulation::call_with("part");
    const auto crashing = fingerprints_of(call, "customer", "crashing body");
    const auto sound = fingerprints_of(call, "customer", "sound body");
    auto now = start;
    for (std::uint64_t crash = 0; crash < entry_host_crash_settings().max_crashes; ++crash) {
        CHECK_FALSE(watch.time_quarantined(crashing, now));
        watch.record_answer(sound, now);
        watch.record_crash(state::endpoint_id("e"), crash, crashing, now);
        // The same crash on another connection.
        watch.record_crash(state::endpoint_id("e"), crash, crashing, now);
        now += 1s;
    }
    const auto left = watch.time_quarantined(crashing, now);
    REQUIRE(left);
    CHECK(*left == entry_host_crash_settings().retention - 1s);
    CHECK_FALSE(watch.time_quarantined(sound, now));
    CHECK_FALSE(watch.time_quarantined(crashing, now + entry_host_crash_settings().retention));
}

TEST_CASE("crash watch: a part that only ran beside a crashing part is not quarantined") {
    const state::time_point start{1h};
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    const std::vector<request_fingerprint> crashing{1};
    const std::vector<request_fingerprint> beside{2};
    auto now = start;
    const auto crash = [&](std::uint64_t number, const std::vector<request_fingerprint>& each) {
        now += 200ms;
        watch.record_crash(state::endpoint_id("e"), number, each, now);
    };
    for (std::uint64_t number = 1; number <= 4; ++number) {
        crash(number, crashing);
    }
    for (std::uint64_t number = 2; number <= 4; ++number) {
        crash(number, beside);
    }
    CHECK(watch.time_quarantined(crashing, now));
    CHECK_FALSE(watch.time_quarantined(beside, now));

    // With its own crashes it is quarantined, and released once the other explains them.
    for (std::uint64_t number = 11; number <= 13; ++number) {
        crash(number, beside);
    }
    CHECK(watch.time_quarantined(beside, now));
    for (std::uint64_t number = 11; number <= 13; ++number) {
        crash(number, crashing);
    }
    CHECK_FALSE(watch.time_quarantined(beside, now));
}

TEST_CASE("crash watch: a part of all prompts is not quarantined by calls that crash in a row") {
    const state::time_point start{1h};
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    const std::vector<request_fingerprint> common{1};
    watch.record_answer(common, start);
    auto now = start + 1min;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += 1s;
        watch.record_crash(state::endpoint_id("e"), number, {1, 2}, now);
    }
    CHECK(watch.time_quarantined({2}, now));
    CHECK_FALSE(watch.time_quarantined(common, now));

    // A part that begins to crash endpoints after answers is quarantined too.
    for (std::uint64_t number = 4; number <= entry_host_crash_settings().max_crashes_after_answer;
         ++number) {
        now += 1s;
        watch.record_crash(state::endpoint_id("e"), number, common, now);
    }
    CHECK(watch.time_quarantined(common, now));
}

TEST_CASE("crash watch: a part that precedes the crashing part in all calls is not quarantined") {
    // Nothing has been answered yet, and the first two parts are in the same calls.
    auto hosts = make_hosts(3);
    state::time_point now{1h};
    for (std::uint64_t number = 1; number <= 4; ++number) {
        hosts[number % 2]->record_crash(state::endpoint_id("e"), number, {1, 2, 100 + number}, now);
        if (number == 2) {
            // An endpoint crashes for another reason with a call that has only the first part.
            hosts[0]->record_crash(state::endpoint_id("other"), number, {1, 200}, now);
        }
        now += 200ms;
        exchange_notices(hosts, now);
    }
    for (const auto& host : hosts) {
        CHECK(host->time_quarantined({2}, now));
        CHECK_FALSE(host->time_quarantined({1}, now));
    }
}

TEST_CASE("crash watch: a crashing part is found although others follow it") {
    // Each of the parts that follow is in as many calls as a quarantine needs.
    auto hosts = make_hosts(2);
    state::time_point now{1h};
    std::uint64_t number = 0;
    for (std::uint64_t following = 2; following <= 3; ++following) {
        for (std::size_t i = 0; i < entry_host_crash_settings().max_crashes; ++i) {
            ++number;
            hosts[number % 2]->record_crash(state::endpoint_id("e"), number,
                                            {1, following, 100 + number}, now);
            now += 200ms;
            exchange_notices(hosts, now);
        }
    }
    for (const auto& host : hosts) {
        CHECK(host->time_quarantined({1}, now));
    }
}

TEST_CASE("crash watch: calls that crash from the start do not stop calls with their first part") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        INFO("seed " << seed);
        crash_simulation_settings settings;
        settings.sound_calls_per_round = 1;
        settings.first_sound_round = 30;
        settings.crashing_calls_per_round = 0.6;
        crash_simulation simulation(seed, settings);
        CHECK(late_calls(simulation) <= max_late_calls);
        CHECK(simulation.crashing_calls_refused > 0);
        CHECK(simulation.sound_calls_refused == 0);
    }
}

TEST_CASE("crash watch: an answer ends the quarantine on all hosts") {
    const state::time_point start{1h};
    auto hosts = make_hosts(2);
    auto& first = *hosts[0];
    auto& second = *hosts[1];
    const auto fingerprints =
        fingerprints_of(crash_simulation::call_with("part"), "customer", "body");
    for (std::uint64_t crash = 0; crash < entry_host_crash_settings().max_crashes; ++crash) {
        first.record_crash(state::endpoint_id("e"), crash, fingerprints,
                           start + crash * entry_host_crash_settings().min_span);
    }
    auto now = start + 1s;
    exchange_notices(hosts, now);
    REQUIRE(second.time_quarantined(fingerprints, now));

    // A stream that was sent before the quarantine begins to arrive.
    second.record_answer(fingerprints, now);
    CHECK_FALSE(second.time_quarantined(fingerprints, now));
    now += 100ms;
    exchange_notices(hosts, now);
    CHECK_FALSE(first.time_quarantined(fingerprints, now));
    now += 2s;
    exchange_notices(hosts, now);
    CHECK_FALSE(first.time_quarantined(fingerprints, now));
    CHECK_FALSE(second.time_quarantined(fingerprints, now));
}

TEST_CASE("crash watch: hosts without answers do not quarantine a part that others answered") {
    auto hosts = make_hosts(3);
    const std::vector<request_fingerprint> common{1};
    state::time_point now{1h};
    hosts[0]->record_answer(common, now);
    hosts[1]->record_answer(common, now);
    now += entry_host_crash_settings().answer_validity + 1s;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        hosts[0]->record_crash(state::endpoint_id("e"), number, {1, 2}, now);
        now += 200ms;
        exchange_notices(hosts, now);
    }
    for (int round = 0; round < 30; ++round) {
        now += 100ms;
        exchange_notices(hosts, now);
    }
    for (const auto& host : hosts) {
        CHECK_FALSE(host->time_quarantined(common, now));
        CHECK(host->time_quarantined({2}, now));
    }
}

TEST_CASE("crash watch: crashes that a part without answers explains do not quarantine another") {
    auto hosts = make_hosts(2);
    const std::vector<request_fingerprint> common{1};
    state::time_point now{1h};
    hosts[0]->record_answer(common, now);
    now += entry_host_crash_settings().answer_validity + 1s;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        hosts[0]->record_crash(state::endpoint_id("e"), number, {1, 2}, now);
        now += 200ms;
        exchange_notices(hosts, now);
    }
    for (const auto& host : hosts) {
        CHECK_FALSE(host->time_quarantined(common, now));
        CHECK(host->time_quarantined({2}, now));
    }
}

TEST_CASE("crash watch: notices of crashes in reverse order quarantine too") {
    const state::time_point now{1h};
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        watch.apply({state::crash_notice_kind::crashed, 7, crash, crash * 900ms, 1}, now);
    }
    CHECK(watch.time_quarantined({7}, now));
}

TEST_CASE("crash watch: one crash after a quarantine refuses the part again") {
    const auto settings = entry_host_crash_settings();
    crash_watch watch(settings, default_crash_hooks());
    state::time_point now{1h};
    std::uint64_t crash = 0;
    for (; crash < counted_crashes; ++crash) {
        now += 200ms;
        watch.record_crash(state::endpoint_id("e"), crash, {7}, now);
    }
    const auto end = now + 3 * settings.retention + 30s;
    std::size_t late_crashes = 0;
    for (now += 3s; now < end; now += 1s) {
        static_cast<void>(watch.due_notices(now));
        if (!watch.time_quarantined({7}, now)) {
            watch.record_crash(state::endpoint_id("e"), ++crash, {7}, now);
            ++late_crashes;
        }
    }
    CHECK(late_crashes == 3); // one after each quarantine
}

namespace {

// Hosts that get calls with a crashing part after its quarantine.
struct late_calls_settings {
    bool is_staggered = true;
    std::function<bool(crash_watch&, const std::vector<request_fingerprint>&, state::time_point)>
        accepts = [](crash_watch& host, const auto& fingerprints, state::time_point now) {
            return !host.accept(fingerprints, now);
        };
};

// Returns the number of calls that reach endpoints around the end of the first quarantine.
std::size_t calls_after_quarantine(std::uint64_t seed, const late_calls_settings& late) {
    constexpr std::size_t host_count = 9;
    constexpr double calls_per_round = 0.5;
    constexpr auto time_to_crash = 1'500ms;
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<crash_watch>> hosts;
    for (std::size_t i = 0; i < host_count; ++i) {
        auto settings = entry_host_crash_settings();
        if (late.is_staggered) {
            settings.end_delay = quarantine_end_delay("host-" + std::to_string(seed + i));
        }
        hosts.push_back(std::make_unique<crash_watch>(settings, default_crash_hooks()));
    }
    state::time_point now{1h};
    for (std::uint64_t crash = 1; crash <= counted_crashes; ++crash) {
        record_crashes(*hosts[0], crash, crash, {7}, now);
        exchange_notices(hosts, now);
    }
    struct running_call {
        state::time_point crashes_at;
        std::size_t host = 0;
    };
    std::vector<running_call> running;
    std::size_t calls = 0;
    const auto quarantine_end = now + entry_host_crash_settings().retention;
    const auto end = quarantine_end + 10min;
    for (now = quarantine_end - 10s; now < end; now += crash_simulation::round) {
        std::erase_if(running, [&](const running_call& each) {
            const bool crashes_now = each.crashes_at <= now;
            if (crashes_now) {
                hosts[each.host]->record_crash(state::endpoint_id("e"), 100 + calls, {7}, now);
            }
            return crashes_now;
        });
        const auto host = std::uniform_int_distribution<std::size_t>(0, host_count - 1)(random);
        if (std::bernoulli_distribution(calls_per_round)(random) &&
            late.accepts(*hosts[host], {7}, now)) {
            ++calls;
            running.push_back({now + time_to_crash, host});
        }
        exchange_notices(hosts, now);
    }
    return calls;
}

} // namespace

TEST_CASE("crash watch: few calls run at the end of a quarantine before all hosts refuse again") {
    late_calls_settings at_once;
    at_once.is_staggered = false;
    at_once.accepts = [](crash_watch& host, const auto& fingerprints, state::time_point now) {
        return !host.time_quarantined(fingerprints, now);
    };
    std::size_t most_at_once = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        INFO("seed " << seed);
        const auto calls = calls_after_quarantine(seed, {});
        CHECK(calls > 0);
        CHECK(calls <= max_late_calls);
        most_at_once = std::max(most_at_once, calls_after_quarantine(seed, at_once));
    }
    CHECK(most_at_once > max_late_calls);
}

TEST_CASE("crash watch: after a quarantine an answer to the first call admits all others") {
    const auto settings = entry_host_crash_settings();
    auto hosts = make_hosts(2);
    state::time_point now{1h};
    record_crashes(*hosts[0], 1, counted_crashes, {7}, now);
    exchange_notices(hosts, now);
    now += settings.retention + 1s;
    CHECK_FALSE(hosts[0]->accept({7}, now));
    const auto time_left = hosts[0]->accept({7}, now);
    REQUIRE(time_left);
    CHECK(*time_left == settings.trial_interval);
    CHECK(hosts[0]->time_quarantined({7}, now));
    // A call without an answer does not stop the others for good.
    CHECK_FALSE(hosts[0]->accept({7}, now + settings.trial_interval));

    now += settings.trial_interval + 1s;
    hosts[0]->record_answer({7}, now);
    exchange_notices(hosts, now);
    for (int call = 0; call < 3; ++call) {
        CHECK_FALSE(hosts[0]->accept({7}, now));
        CHECK_FALSE(hosts[1]->accept({7}, now));
    }
}

TEST_CASE("crash watch: a host that missed the crashes of an answered part refuses it too") {
    const auto settings = entry_host_crash_settings();
    auto hosts = make_hosts(2);
    state::time_point now{1h};
    for (auto& host : hosts) {
        host->record_answer({7}, now);
    }
    now += settings.answer_validity + 1s;
    for (std::uint64_t crash = 0; crash < settings.max_crashes_after_answer; ++crash) {
        now += 200ms;
        hosts[0]->record_crash(state::endpoint_id("e"), crash, {7}, now);
    }
    REQUIRE(hosts[0]->time_quarantined({7}, now));
    // The second host is out of contact until notices of crashes are no longer sent.
    for (int round = 0; round < notice_rounds; ++round) {
        now += 100ms;
        static_cast<void>(hosts[0]->due_notices(now));
    }
    now += crash_watch::refresh_interval;
    exchange_notices(hosts, now);
    CHECK(hosts[0]->time_quarantined({7}, now));
    CHECK(hosts[1]->time_quarantined({7}, now));
}

TEST_CASE("crash watch: notices that travel for long do not prolong a quarantine") {
    auto hosts = make_hosts(2);
    struct late_notice {
        state::time_point arrives;
        std::size_t to = 0;
        state::crash_notice notice;
    };
    std::vector<late_notice> late;
    state::time_point now{1h};
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += 200ms;
        hosts[0]->record_crash(state::endpoint_id("e"), number, {2}, now);
    }
    const auto last_crash = now;
    while (now < last_crash + entry_host_crash_settings().retention + 5s) {
        now += 100ms;
        std::erase_if(late, [&](const late_notice& each) {
            if (each.arrives <= now) {
                hosts[each.to]->apply(each.notice, now);
            }
            return each.arrives <= now;
        });
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            for (const auto& notice : hosts[from]->due_notices(now)) {
                late.push_back({now + 1s, 1 - from, notice});
            }
        }
    }
    CHECK_FALSE(hosts[0]->time_quarantined({2}, now));
    CHECK_FALSE(hosts[1]->time_quarantined({2}, now));
}

TEST_CASE("crash watch: a host that only heard of a quarantine ends it with its origin") {
    auto hosts = make_hosts(3);
    state::time_point now{1h};
    record_crashes(*hosts[0], 1, 3, {2}, now);
    wait_until_crashes_are_not_sent(*hosts[0], now);
    exchange_notices(hosts, now);
    REQUIRE(hosts[1]->time_quarantined({2}, now));
    REQUIRE(hosts[2]->time_quarantined({2}, now));

    // Another part ran at these crashes too and at further ones.
    record_crashes(*hosts[0], 1, 4, {1}, now);
    for (const auto end = now + contact_time; now < end; now += 100ms) {
        exchange_notices(hosts, now);
    }
    for (const auto& host : hosts) {
        CHECK(host->time_quarantined({1}, now));
        CHECK_FALSE(host->time_quarantined({2}, now));
    }
}

TEST_CASE("crash watch: a peer that missed crashes does not end the quarantine that they caused") {
    auto hosts = make_hosts(2);
    state::time_point now{1h};
    // The first host misses three of the crashes.
    record_crashes(*hosts[1], 1, 3, {2}, now);
    wait_until_crashes_are_not_sent(*hosts[1], now);
    record_crashes(*hosts[0], 11, 13, {2}, now);
    record_crashes(*hosts[0], 11, 14, {1}, now);
    REQUIRE_FALSE(hosts[0]->time_quarantined({2}, now));
    for (const auto end = now + contact_time; now < end; now += 100ms) {
        exchange_notices(hosts, now);
    }
    CHECK(hosts[1]->time_quarantined({2}, now));
}

TEST_CASE("crash watch: a released part that goes on to crash endpoints is refused again") {
    auto hosts = make_hosts(3);
    state::time_point now{1h};
    record_crashes(*hosts[0], 1, 3, {2}, now);
    record_crashes(*hosts[0], 1, 4, {1}, now);
    wait_until_crashes_are_not_sent(*hosts[0], now);
    exchange_notices(hosts, now);
    REQUIRE_FALSE(hosts[0]->time_quarantined({2}, now));

    now += 10s;
    record_crashes(*hosts[1], 21, 23, {2}, now);
    wait_until_crashes_are_not_sent(*hosts[1], now);
    now += crash_watch::refresh_interval;
    exchange_notices(hosts, now);
    exchange_notices(hosts, now);
    CHECK(hosts[1]->time_quarantined({2}, now));
    CHECK(hosts[2]->time_quarantined({2}, now));
}

TEST_CASE("crash watch: late, lost and reordered notices do not bring a released quarantine back") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        INFO("seed " << seed);
        constexpr std::size_t host_count = 6;
        std::mt19937_64 random(seed);
        auto hosts = make_hosts(host_count);
        struct late_notice {
            state::time_point arrives;
            std::size_t to = 0;
            state::crash_notice notice;
        };
        std::vector<late_notice> late;
        state::time_point now{1h};
        const auto play = [&](state::milliseconds span) {
            for (const auto end = now + span; now < end; now += 100ms) {
                std::erase_if(late, [&](const late_notice& each) {
                    if (each.arrives <= now) {
                        hosts[each.to]->apply(each.notice, now);
                    }
                    return each.arrives <= now;
                });
                for (std::size_t from = 0; from < host_count; ++from) {
                    for (const auto& notice : hosts[from]->due_notices(now)) {
                        for (std::size_t to = 0; to < host_count; ++to) {
                            const bool is_lost = std::bernoulli_distribution(0.3)(random);
                            const auto delay = std::uniform_int_distribution<int>(0, 1'500)(random);
                            if (to != from && !is_lost) {
                                late.push_back({now + state::milliseconds(delay), to, notice});
                            }
                        }
                    }
                }
            }
        };
        record_crashes(*hosts[0], 1, 3, {2}, now);
        wait_until_crashes_are_not_sent(*hosts[0], now);
        play(3s);
        record_crashes(*hosts[0], 1, 4, {1}, now);
        play(3s);
        // A host that starts again learns from the others.
        hosts[1 + seed % (host_count - 1)] =
            std::make_unique<crash_watch>(entry_host_crash_settings(), default_crash_hooks());
        play(5s);
        for (int round = 0; round < 100; ++round) {
            play(100ms);
            for (const auto& host : hosts) {
                REQUIRE(host->time_quarantined({1}, now));
                REQUIRE_FALSE(host->time_quarantined({2}, now));
            }
        }
        // The quarantine of the other part ends on all hosts.
        play(entry_host_crash_settings().retention);
        for (const auto& host : hosts) {
            CHECK_FALSE(host->time_quarantined({1}, now));
        }
    }
}

TEST_CASE("crash watch: many answered calls do not displace the answers of shared parts") {
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    state::time_point now{1h};
    watch.record_answer({1}, now);
    watch.record_answer({1}, now);
    for (std::size_t i = 0; i <= entry_host_crash_settings().max_suspects; ++i) {
        watch.record_answer({1'000 + i}, now);
    }
    now += entry_host_crash_settings().answer_validity + 1s;
    CHECK(watch.due_notices(now).empty());
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += 200ms;
        watch.record_crash(state::endpoint_id("e"), number, {1, 2}, now);
    }
    CHECK_FALSE(watch.time_quarantined({1}, now));
    CHECK(watch.time_quarantined({2}, now));
}

TEST_CASE("crash watch: peers learn of a crashing part while many other calls are cut") {
    auto hosts = make_hosts(2);
    state::time_point now{1h};
    request_fingerprint next_call = 1'000;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        for (std::size_t i = 0; i <= crash_notice_schedule::max_notices; ++i) {
            hosts[0]->record_crash(state::endpoint_id("other"), number, {++next_call}, now);
        }
        hosts[0]->record_crash(state::endpoint_id("e"), number, {2, ++next_call}, now);
        now += 400ms;
        exchange_notices(hosts, now);
    }
    CHECK(hosts[1]->time_quarantined({2}, now));
}

TEST_CASE("crash watch: a part that crashes many endpoints explains the later crashes too") {
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    state::time_point now{1h};
    constexpr std::uint64_t crashes = 60;
    for (std::uint64_t number = 1; number <= crashes; ++number) {
        now += 100ms;
        watch.record_crash(state::endpoint_id("e"), number, {1, 100 + number}, now);
        if (number > crashes / 2) {
            watch.record_crash(state::endpoint_id("e"), number, {2, 200 + number}, now);
        }
    }
    CHECK(watch.time_quarantined({1}, now));
    CHECK_FALSE(watch.time_quarantined({2}, now));
}

TEST_CASE("crash watch: an outage with many open calls does not disable the quarantine") {
    crash_watch watch(entry_host_crash_settings(), default_crash_hooks());
    state::time_point now{1h};
    for (std::size_t i = 0; i <= entry_host_crash_settings().max_suspects; ++i) {
        watch.record_crash(state::endpoint_id("e"), 0, {1'000 + i}, now);
    }
    now += 1min;
    static_cast<void>(watch.due_notices(now));
    for (std::uint64_t number = 1; number <= 3; ++number) {
        now += 200ms;
        watch.record_crash(state::endpoint_id("e"), number, {2}, now);
    }
    CHECK(watch.time_quarantined({2}, now));
}
