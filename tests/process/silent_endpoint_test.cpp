// Tests calls whose endpoint is silent for too long while another endpoint could take them over:
// the call keeps the silent endpoint until the other one has begun to answer.
#include "edge_fixture.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr auto poll_interval = 5ms;
// The rules allow this time until endpoints no longer work for a caller that has gone.
constexpr auto caller_gone_limit = 500ms;
constexpr const char* all_ids = "01234567";

void wait_until(const std::function<bool()>& condition) {
    const auto limit = test_clock::now() + 10s;
    while (!condition()) {
        REQUIRE(test_clock::now() < limit);
        std::this_thread::sleep_for(poll_interval);
    }
}

// Returns the ids of the events in a stream, in their order.
std::string ids_of(const std::string& body) {
    std::string ids;
    for (auto at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ids += body[at + 4];
    }
    return ids;
}

// Two groups and a spare. The event gap limit of the route is 600 ms, the limit of its first
// event about 900 ms.
struct two_group_fixture : edge_fixture {
    explicit two_group_fixture() : edge_fixture(1, 5) {
        wait_until(
            [&] { return metric(R"(savoryrelay_groups{model="gold",state="open"} )") == 2; });
        for (std::size_t i = 0; i < models.size(); ++i) {
            m_runs_before.push_back(runs_of(*models[i]));
            if (fetch(models[i]->port, http::verb::get, "/report").body.find(R"("open")") !=
                std::string::npos) {
                m_heads.push_back(i);
            }
        }
        REQUIRE(m_heads.size() == 2);
    }

    /// Returns the value of a metric of the host; 0 if it has none.
    [[nodiscard]] int metric(const std::string& name) const {
        const auto text = fetch(hosts[0]->metrics, http::verb::get, "/metrics").body;
        const auto at = text.find('\n' + name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + 1 + name.size()));
    }

    [[nodiscard]] int failed_attempts(const std::string& outcome) const {
        return metric(R"(savoryrelay_attempts_failed_total{endpoint="model",outcome=")" + outcome +
                      R"("} )");
    }

    void control_all(const std::string& switches) const {
        for (const auto& model : models) {
            model->control(switches);
        }
    }

    [[nodiscard]] bool has_run(std::size_t index) const {
        return runs_of(*models[index]) > m_runs_before[index];
    }

    /// Waits until a runner has begun to run a call, and returns its index.
    [[nodiscard]] std::size_t await_first_run() const {
        std::optional<std::size_t> found;
        wait_until([&] {
            for (std::size_t i = 0; i < models.size() && !found; ++i) {
                if (has_run(i)) {
                    found = i;
                }
            }
            return found.has_value();
        });
        return *found;
    }

    /// Returns the head of the other group.
    [[nodiscard]] std::size_t other_head(std::size_t head) const {
        return m_heads[0] == head ? m_heads[1] : m_heads[0];
    }

    /// Returns the number of streams at all runners whose caller is connected.
    [[nodiscard]] int open_streams() const {
        int sum = 0;
        for (const auto& model : models) {
            sum += std::stoi(fetch(model->port, http::verb::get, "/streams").body);
        }
        return sum;
    }

    [[nodiscard]] int run_count() const {
        int count = 0;
        for (std::size_t i = 0; i < models.size(); ++i) {
            count += runs_of(*models[i]) - m_runs_before[i];
        }
        return count;
    }

    /// Waits until the host counts no call as load of an endpoint.
    void wait_until_no_load() const {
        wait_until([&] {
            return metric("savoryrelay_calls_waiting ") == 0 &&
                   metric("savoryrelay_calls_writing ") == 0;
        });
    }

    [[nodiscard]] test_exchange start_call() const {
        return {hosts[0]->callers, http::verb::post, "/ask/1", "prompt", headers("slow", true)};
    }

private:
    [[nodiscard]] int runs_of(const standin_process& runner) const {
        return std::stoi(runs(runner));
    }

    std::vector<int> m_runs_before;
    std::vector<std::size_t> m_heads; // of the two groups
};

} // namespace

TEST_CASE("edge: a call stays with a silent endpoint if the other one refuses it") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":2500})");
    auto slow = fixture.start_call();
    const auto silent = fixture.await_first_run();
    fixture.models[fixture.other_head(silent)]->control(R"({"refuse_calls":true})");
    wait_until([&] { return fixture.failed_attempts("not_run") >= 1; });
    fixture.control_all(R"({"token_ms":5})"); // after the first event
    const auto answer = slow.finish();
    CAPTURE(answer.body, answer.error);
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == all_ids);
    CHECK(fixture.run_count() == 1);
    CHECK(fixture.failed_attempts("not_run") >= 1);
    CHECK(fixture.failed_attempts("lost") == 0);
    fixture.wait_until_no_load();
}

TEST_CASE("edge: a begun stream stays with a silent endpoint if the other one refuses it") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":300})");
    auto slow = fixture.start_call();
    REQUIRE(slow.read_until("id: 0"));
    const auto silent = fixture.await_first_run();
    fixture.models[silent]->control(R"({"token_ms":2500})");
    fixture.models[fixture.other_head(silent)]->control(R"({"refuse_calls":true})");
    wait_until([&] { return fixture.failed_attempts("not_run") >= 1; });
    fixture.control_all(R"({"token_ms":5})"); // after the next event
    const auto answer = slow.finish();
    CAPTURE(answer.body, answer.error);
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == all_ids);
    CHECK(fixture.run_count() == 1);
    CHECK(fixture.failed_attempts("not_run") >= 1);
    CHECK(fixture.failed_attempts("lost") == 0);
    fixture.wait_until_no_load();
}

TEST_CASE("edge: a call stays with a silent endpoint if the other one breaks off before an event") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":2500})");
    auto slow = fixture.start_call();
    const auto silent = fixture.await_first_run();
    fixture.models[fixture.other_head(silent)]->control(
        R"({"crash_on_body":"prompt","token_ms":5})");
    wait_until([&] { return fixture.failed_attempts("lost") >= 1; });
    fixture.models[silent]->control(R"({"token_ms":5})"); // after the first event
    const auto answer = slow.finish();
    CAPTURE(answer.body, answer.error);
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == all_ids);
    CHECK(fixture.failed_attempts("lost") == 1);
    fixture.wait_until_no_load();
}

TEST_CASE("edge: the answer of a silent endpoint is relayed if it comes before the other one's") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":2500})");
    auto slow = fixture.start_call();
    const auto silent = fixture.await_first_run();
    fixture.models[fixture.other_head(silent)]->control(R"({"token_ms":20000})");
    fixture.models[silent]->control(R"({"token_ms":5})"); // after the first event
    const auto answer = slow.finish();
    CAPTURE(answer.body, answer.error);
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == all_ids);
    CHECK(fixture.run_count() == 2);
    wait_until([&] { return fixture.open_streams() == 0; });
    fixture.wait_until_no_load();
}

TEST_CASE("edge: a stream that another endpoint takes over has each event once and leaves none") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":300})");
    auto slow = fixture.start_call();
    REQUIRE(slow.read_until("id: 0"));
    const auto silent = fixture.await_first_run();
    fixture.models[silent]->control(R"({"token_ms":20000})");
    const auto other = fixture.other_head(silent);
    fixture.models[other]->control(R"({"token_ms":50})");
    REQUIRE(slow.read_until("data: m" + std::to_string(other)));
    // The silent endpoint's connection is closed as soon as the other one has sent an event.
    const auto taken_over_at = test_clock::now();
    wait_until([&] { return fixture.open_streams() <= 1; });
    CHECK(test_clock::now() - taken_over_at < caller_gone_limit);
    const auto answer = slow.finish();
    CAPTURE(answer.body, answer.error);
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == all_ids);
    CHECK(fixture.run_count() == 2);
    CHECK(fixture.failed_attempts("lost") == 1);
    wait_until([&] { return fixture.open_streams() == 0; });
    fixture.wait_until_no_load();
}

TEST_CASE("edge: no endpoint works for a caller that goes while a silent endpoint is kept") {
    const two_group_fixture fixture;
    fixture.control_all(R"({"token_ms":20000})");
    {
        const auto slow = fixture.start_call();
        wait_until([&] { return fixture.run_count() == 2; });
        REQUIRE(fixture.open_streams() == 2);
    }
    const auto gone_at = test_clock::now();
    wait_until([&] { return fixture.open_streams() == 0; });
    CHECK(test_clock::now() - gone_at < caller_gone_limit);
    fixture.wait_until_no_load();
}
