// Tests that the calls of all hosts keep to the rate that a runner names, counted at the runner.
#include "edge_fixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr auto poll_interval = 5ms;
constexpr int limit_per_s = 5;
constexpr auto* name_limit = R"({"call_limit":"5"})";
constexpr auto* name_no_limit = R"({"call_limit":""})";
// The calls that the platform's rule allows in each window, from the grace time after the limit
// was first named.
constexpr auto rule_window = 4s;
constexpr auto rule_grace = 3s;
// Well before the deadline of the calls, which is 5 s.
constexpr auto refusal_limit = 2s;
constexpr int allowed_in_window = 3 * limit_per_s * 4 / 2 + 5;

void wait_until(const std::function<bool()>& condition) {
    const auto limit = test_clock::now() + 10s;
    while (!condition()) {
        REQUIRE(test_clock::now() < limit);
        std::this_thread::sleep_for(poll_interval);
    }
}

int requests(const standin_process& runner) {
    return std::stoi(fetch(runner.port, http::verb::get, "/requests").body);
}

// Hosts before one runner without an engine, and others if a test adds them.
struct limited_runner_fixture : edge_fixture {
    explicit limited_runner_fixture(std::size_t host_count) : edge_fixture(host_count, 0) {
        wait_until_listed(1);
    }

    void wait_until_listed(int runners) const {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            wait_until([&] { return metric(i, "savoryrelay_runners_listed ") == runners; });
        }
    }

    /// Returns the value of a metric of a host; 0 if it has none.
    [[nodiscard]] int metric(std::size_t host, const std::string& name) const {
        const auto text = fetch(hosts.at(host)->metrics, http::verb::get, "/metrics").body;
        const auto at = text.find('\n' + name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + 1 + name.size()));
    }

    [[nodiscard]] test_answer look(std::size_t host, const std::string& id) const {
        return fetch(hosts.at(host)->callers, http::verb::get, "/look/1", {}, headers(id));
    }

    /// Sends calls through `host` until one is answered.
    void look_until_served(std::size_t host) const {
        int last_call = 0;
        wait_until([&] {
            return look(host, "s" + std::to_string(host) + "-" + std::to_string(++last_call))
                       .status == 200;
        });
    }
};

struct sent_call {
    std::string id;
    test_answer answer;
    test_clock::duration took{};
};

// A caller at each host that sends calls without pause.
class steady_callers {
public:
    explicit steady_callers(const limited_runner_fixture& fixture) {
        for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
            m_callers.emplace_back([this, &fixture, host] {
                for (int i = 0; !m_is_over; ++i) {
                    sent_call call;
                    call.id = "c" + std::to_string(host) + "-" + std::to_string(i);
                    const auto sent_at = test_clock::now();
                    call.answer = fixture.look(host, call.id);
                    call.took = test_clock::now() - sent_at;
                    const std::scoped_lock lock(m_mutex);
                    m_calls.push_back(std::move(call));
                }
            });
        }
    }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;
    ~steady_callers() { end(); }

    /// Ends the callers and returns what they have sent.
    const std::vector<sent_call>& end() {
        m_is_over = true;
        for (auto& caller : m_callers) {
            caller.join();
        }
        m_callers.clear();
        return m_calls;
    }

private:
    std::atomic<bool> m_is_over{false};
    std::mutex m_mutex; // guards m_calls while callers run
    std::vector<sent_call> m_calls;
    std::vector<std::thread> m_callers;
};

// A count of requests that was read between two times.
struct request_count {
    test_clock::time_point asked_at;
    test_clock::time_point read_at;
    int requests = 0;
};

std::vector<request_count> count_requests(const standin_process& runner,
                                          test_clock::duration span) {
    std::vector<request_count> counts;
    for (const auto end = test_clock::now() + span; test_clock::now() < end;) {
        request_count count;
        count.asked_at = test_clock::now();
        count.requests = requests(runner);
        count.read_at = test_clock::now();
        counts.push_back(count);
        std::this_thread::sleep_for(poll_interval);
    }
    return counts;
}

// Returns the most requests that certainly came within one window.
int most_in_window(const std::vector<request_count>& counts) {
    int most = 0;
    std::size_t first = 0;
    for (const auto& last : counts) {
        while (last.read_at - counts[first].asked_at > rule_window) {
            ++first;
        }
        most = std::max(most, last.requests - counts[first].requests);
    }
    return most;
}

} // namespace

// Guards against hosts that each send as many calls as the runner takes from all of them.
TEST_CASE("edge: the calls of all hosts keep to the rate that a runner names") {
    limited_runner_fixture fixture(3);
    const standin_process other{{"runner", "--id=p2"}};
    fixture.write_entry("p2", "orders", other.port, "");
    fixture.wait_until_listed(2);
    fixture.plain.control(name_limit);
    const auto other_before = requests(other);
    const auto limited_before = requests(fixture.plain);
    steady_callers callers(fixture);
    wait_until([&] { return requests(fixture.plain) > limited_before; });
    std::this_thread::sleep_for(rule_grace);
    const auto counts = count_requests(fixture.plain, 9s);
    const auto& calls = callers.end();
    CAPTURE(calls.size(), counts.size());
    CHECK(most_in_window(counts) <= allowed_in_window);
    CHECK(counts.back().requests > counts.front().requests);
    CHECK(requests(other) - other_before > static_cast<int>(calls.size()) / 2);
    const auto unanswered = std::count_if(calls.begin(), calls.end(), [](const sent_call& call) {
        return call.answer.status != 200;
    });
    CHECK(unanswered == 0);
}

// Guards against calls that wait, or reach a runner, although all runners get what they take.
TEST_CASE("edge: calls beyond the rates of all runners are refused at once and do not run") {
    const limited_runner_fixture fixture(2);
    fixture.plain.control(name_limit);
    fixture.look_until_served(0);
    fixture.look_until_served(1);
    steady_callers callers(fixture);
    std::this_thread::sleep_for(6s);
    const auto& calls = callers.end();

    const auto run_ids = fetch(fixture.plain.port, http::verb::get, "/run_ids").body;
    std::set<std::string> run;
    for (std::size_t at = 0; at < run_ids.size();) {
        const auto end = run_ids.find('\n', at);
        run.insert(run_ids.substr(at, end - at));
        at = end + 1;
    }
    int served = 0;
    int refused = 0;
    for (const auto& call : calls) {
        if (call.answer.status == 200) {
            ++served;
            continue;
        }
        ++refused;
        CAPTURE(call.id, call.answer.body, call.answer.retry_after);
        REQUIRE(call.answer.status == 503);
        REQUIRE_THAT(call.answer.body, Catch::Contains("all_limited"));
        REQUIRE_FALSE(call.answer.retry_after.empty());
        REQUIRE(std::stod(call.answer.retry_after) > 0);
        REQUIRE(call.took < refusal_limit);
        REQUIRE(run.count(call.id) == 0);
    }
    CHECK(served > 0);
    CHECK(refused > 0);
}

// Guards against a limit that outlives its runner's word.
TEST_CASE("edge: calls flow freely again once a runner names its rate no longer") {
    const limited_runner_fixture fixture(2);
    fixture.plain.control(name_limit);
    fixture.look_until_served(0);
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        wait_until([&] { return fixture.metric(host, "savoryrelay_runners_limited ") == 1; });
    }
    int last_call = 0;
    wait_until([&] { return fixture.look(0, "l" + std::to_string(++last_call)).status == 503; });
    fixture.plain.control(name_no_limit);
    const auto ended_at = test_clock::now();
    constexpr int free_calls = 30;
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        int served_in_row = 0;
        wait_until([&] {
            const auto id = "f" + std::to_string(host) + "-" + std::to_string(++last_call);
            served_in_row = fixture.look(host, id).status == 200 ? served_in_row + 1 : 0;
            return served_in_row == free_calls;
        });
    }
    CHECK(test_clock::now() - ended_at < 4s);
    for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
        CHECK(fixture.metric(host, "savoryrelay_runners_limited ") == 0);
        for (int i = 0; i < free_calls; ++i) {
            CHECK(fixture.look(host, "g" + std::to_string(++last_call)).status == 200);
        }
    }
}

// Guards against hosts that each find the limit out by calls of their own.
TEST_CASE("edge: a host learns from another one which rate a runner names") {
    const limited_runner_fixture fixture(2);
    fixture.plain.control(name_limit);
    fixture.look_until_served(0);
    wait_until([&] { return fixture.metric(1, "savoryrelay_runners_limited ") == 1; });
    CHECK(fixture.metric(1, R"(savoryrelay_runner_call_rates_total{source="peer"} )") == 1);
    CHECK(fixture.metric(1, R"(savoryrelay_runner_call_rates_total{source="answer"} )") == 0);
}
