// Tests what callers get from hosts that are cut off from all runners, while the clients, the
// store and the other hosts still reach them.
#include "cut_off_clients.h"
#include "cut_off_fixture.h"

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// The rules hold from this time after a cut on.
constexpr auto contact_time = 3'000ms;
// A host that can reach no runner refuses calls within this time.
constexpr auto refusal_time = 1'000ms;
// First tries at a cut-off host are served at least this often as those at the others.
constexpr double least_share = 2.0 / 3;

template <typename Action>
void in_parallel(std::size_t count, const Action& action) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < count; ++i) {
        threads.emplace_back([&action, i] { action(i); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

bool is_served(const cut_off_fixture& fixture, std::size_t host) {
    static std::atomic<int> last{0};
    const auto id = "s" + std::to_string(++last);
    return fixture.call(host, http::verb::get, "/look/1", id).status == 200 &&
           fixture.call(host, http::verb::post, "/ask/1", id).status == 200;
}

void wait_until_all_served(cut_off_fixture& fixture) {
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        fixture.wait_until([&] { return is_served(fixture, host); });
    }
}

} // namespace

// Guards against first tries that fail for as long as the host at which they arrive is cut off.
TEST_CASE("edge: callers of a host that is cut off from all runners are served through its peers") {
    const auto way = GENERATE(path_state::held, path_state::reset, path_state::refuses_new);
    const auto way_name = to_text(way);
    CAPTURE(way_name);
    cut_off_fixture fixture(3);
    wait_until_all_served(fixture);
    cut_off_clients clients(fixture, {1, 1s, 20ms, "a"});
    std::this_thread::sleep_for(500ms);
    fixture.cut(0, way);
    const auto cut_at = test_clock::now();
    // Connections that live on are not enough for the calls during the cut.
    cut_off_clients more_clients(fixture, {5, 1s, 20ms, "b"});
    std::this_thread::sleep_for(contact_time + 3s);
    const auto reopened_at = test_clock::now();
    fixture.reopen(0);
    std::this_thread::sleep_for(1s);
    clients.stop();
    more_clients.stop();

    auto calls = clients.calls();
    calls.merge(more_clients.calls());
    std::map<call_kind, std::array<served_share, 2>> shares; // at the cut-off host, at the others
    const auto runs = fixture.run_counts();
    int refused_but_run = 0;
    int run_twice = 0;
    for (const auto& [id, call] : calls) {
        if (call.sent_at > cut_at + contact_time && call.sent_at < reopened_at) {
            shares[call.kind][call.host == 0 ? 0 : 1].note(call);
        }
        refused_but_run += call.is_refused() && runs.contains(id) ? 1 : 0;
        run_twice += call.kind == call_kind::book && runs.contains(id) && runs.at(id) > 1 ? 1 : 0;
    }
    CHECK(run_twice == 0);
    CHECK(refused_but_run == 0);
    for (const auto& kind : call_kinds) {
        const auto& [cut_off, others] = shares[kind.kind];
        CAPTURE(kind.name, cut_off.sent, cut_off.served, others.sent, others.served);
        CHECK(cut_off.sent > 0);
        CHECK(others.served > 0);
        CHECK(cut_off.share() >= least_share * others.share());
    }
}

// Guards against a second run of a booking that the runner had begun when its tunnel broke.
TEST_CASE("edge: a booking whose tunnel breaks is not sent a second time") {
    const bool is_peer_killed = GENERATE(false, true);
    CAPTURE(is_peer_killed);
    cut_off_fixture fixture(3);
    wait_until_all_served(fixture);
    fixture.cut(0, path_state::reset);
    REQUIRE(fixture.is_reached_within(2 * contact_time, [&] { return is_served(fixture, 0); }));

    // The runner reads the bookings and runs them after a while.
    constexpr std::size_t bookings = 12;
    fixture.plain.control(R"({"delay_ms":1000})");
    std::map<std::string, unsigned> statuses;
    std::mutex mutex;
    std::thread sending([&] {
        in_parallel(bookings, [&](std::size_t i) {
            const auto id = "b" + std::to_string(i);
            const auto status = fixture.call(0, http::verb::post, "/book/1", id, 3s).status;
            const std::scoped_lock lock(mutex);
            statuses[id] = status;
        });
    });
    std::this_thread::sleep_for(500ms);
    // One peer after the other loses the runners, so that another one could take a booking.
    for (std::size_t peer = 1; peer < fixture.hosts.size(); ++peer) {
        if (is_peer_killed) {
            fixture.hosts[peer]->process->send(SIGKILL);
            fixture.hosts[peer]->process->wait();
            fixture.restart_host(peer);
        } else {
            fixture.cut(peer, path_state::reset);
            std::this_thread::sleep_for(100ms);
            fixture.reopen(peer);
        }
    }
    sending.join();
    fixture.plain.control(R"({"delay_ms":0})");
    std::this_thread::sleep_for(2s);

    const auto runs = fixture.run_counts();
    std::size_t begun = 0;
    for (const auto& [id, status] : statuses) {
        const auto found = runs.find(id);
        const int count = found == runs.end() ? 0 : found->second;
        begun += count > 0 ? 1 : 0;
        CAPTURE(id, status, count);
        CHECK(count <= 1);
        CHECK_FALSE((count > 0 && (status == 503 || status == 429)));
    }
    CHECK(begun > 0);
}

// Guards against calls that are kept until their deadline although no runner can be reached.
TEST_CASE("edge: a cut-off host with no peer in touch refuses at once and isn't ready") {
    const auto way = GENERATE(path_state::held, path_state::reset);
    const auto way_name = to_text(way);
    CAPTURE(way_name);
    cut_off_fixture fixture(2);
    wait_until_all_served(fixture);
    const auto all_hosts = [&](const std::function<bool(std::size_t)>& condition) {
        for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
            if (!condition(host)) {
                return false;
            }
        }
        return true;
    };
    cut_off_clients clients(fixture, {2, 3s, 20ms, {}});
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        fixture.cut(host, way);
    }
    const auto cut_at = test_clock::now();
    CHECK(fixture.is_reached_within(contact_time, [&] {
        return all_hosts([&](std::size_t host) { return !fixture.is_ready(host); });
    }));
    std::this_thread::sleep_until(cut_at + contact_time + 3s);
    const auto reopened_at = test_clock::now();
    const bool is_ready_while_cut =
        !all_hosts([&](std::size_t host) { return !fixture.is_ready(host); });
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        fixture.reopen(host);
    }
    CHECK_FALSE(is_ready_while_cut);
    CHECK(fixture.is_reached_within(
        2s, [&] { return all_hosts([&](std::size_t host) { return fixture.is_ready(host); }); }));
    CHECK(fixture.is_reached_within(
        2s, [&] { return all_hosts([&](std::size_t host) { return is_served(fixture, host); }); }));
    clients.stop();

    int sent = 0;
    int refused = 0;
    int refused_late = 0;
    int refused_without_pause = 0;
    for (const auto& [id, call] : clients.calls()) {
        if (call.sent_at < cut_at + contact_time || call.sent_at > reopened_at - refusal_time) {
            continue;
        }
        ++sent;
        refused += call.status == 503 ? 1 : 0;
        refused_late += call.ended_at - call.sent_at > refusal_time ? 1 : 0;
        refused_without_pause += call.status == 503 && call.retry_after.empty() ? 1 : 0;
    }
    CAPTURE(sent, refused);
    CHECK(sent > 0);
    CHECK(refused == sent);
    CHECK(refused_late == 0);
    CHECK(refused_without_pause == 0);
}

// Guards against a cut that is taken for runners that crash on what their calls share.
TEST_CASE("edge: a cut from the runners doesn't quarantine prompts") {
    cut_off_fixture fixture(3, 8);
    wait_until_all_served(fixture);
    fixture.wait_until_open(3);
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":300})");
    }
    const auto ask = [&](std::size_t host, const std::string& id) {
        auto headers = cut_off_fixture::headers(id, true);
        headers.emplace_back("Prompt-Prefix", "c0:40,5a:40,f" + id + ":20");
        return fetch(fixture.hosts[host]->callers, http::verb::post, "/ask/1", "prompt " + id,
                     headers);
    };
    const auto is_quarantined = [](const test_answer& answer) {
        return answer.status == 503 && answer.body.find("request_quarantined") != std::string::npos;
    };
    const auto open_streams = [&] {
        int sum = 0;
        for (const auto& model : fixture.models) {
            sum += std::stoi(fetch(model->port, http::verb::get, "/streams").body);
        }
        return sum;
    };
    constexpr std::size_t calls = 24;
    std::atomic<int> quarantined{0};
    // Sends calls to the first host, and resets the connections of some hosts in turn.
    const auto send_beside_resets = [&](const std::string& name,
                                        const std::vector<std::size_t>& resets) {
        std::thread sending([&] {
            in_parallel(calls, [&](std::size_t i) {
                quarantined += is_quarantined(ask(0, name + std::to_string(i))) ? 1 : 0;
            });
        });
        std::this_thread::sleep_for(300ms);
        const int streams = open_streams();
        for (const auto host : resets) {
            fixture.cut(host, path_state::reset);
            std::this_thread::sleep_for(200ms);
            fixture.reopen(host);
            std::this_thread::sleep_for(100ms);
        }
        sending.join();
        return streams;
    };
    CHECK(send_beside_resets("1", {0, 0, 0}) > 0);
    fixture.cut(0, path_state::reset);
    std::this_thread::sleep_for(contact_time);
    send_beside_resets("2", {1, 2, 1, 2});
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":5})");
    }
    for (std::size_t i = 0; i < calls; ++i) {
        quarantined += is_quarantined(ask(i % 3, "3" + std::to_string(i))) ? 1 : 0;
    }
    fixture.reopen(0);
    for (std::size_t i = 0; i < calls; ++i) {
        quarantined += is_quarantined(ask(i % 3, "4" + std::to_string(i))) ? 1 : 0;
    }
    CHECK(quarantined == 0);
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        CHECK(fixture.is_reached_within(
            2s, [&] { return ask(host, "5" + std::to_string(host)).status == 200; }));
    }
}

// Guards against groups that nobody replaces while the lease holder's orders reach no runner.
TEST_CASE(
    "edge: the groups stay under control while the lease holder is cut off from the runners") {
    const auto way = GENERATE(path_state::held, path_state::reset);
    const auto way_name = to_text(way);
    CAPTURE(way_name);
    // Two groups of two, a spare and one that is left.
    constexpr std::size_t models = 6;
    cut_off_fixture fixture(3, models);
    wait_until_all_served(fixture);
    fixture.wait_until_open(2);
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    const auto holder = *fixture.controller();
    fixture.cut(holder, way);
    std::this_thread::sleep_for(contact_time);
    const auto heads = fixture.open_heads();
    REQUIRE(heads.size() == 2);
    const auto lost = heads.front();
    fixture.end_model(lost, false);
    CHECK(fixture.is_reached_within(8s, [&] { return fixture.open_heads().size() == 2; }));
    const auto other = (holder + 1) % fixture.hosts.size();
    CHECK(fixture.is_reached_within(2s, [&] { return is_served(fixture, other); }));
}
