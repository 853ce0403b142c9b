// Tests requests that crash the endpoints that run them: the hosts refuse these requests
// after few crashes, and no others.
#include "edge_fixture.h"
#include "support/scripted_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <optional>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr std::size_t host_count = 3;
constexpr std::size_t model_count = 8;
// Time after a crash within which every host that is in touch has to know of it.
constexpr auto contact_time = 3s;
// Time for which a crashed runner is down.
constexpr auto restart_delay = 1s;
constexpr auto poll_interval = 10ms;
// Time for which a notice of a crash is sent.
constexpr auto notice_time = 1'200ms;
// Calls that may reach runners once all hosts have to know of the crashes.
constexpr int max_late_runs = 3;
constexpr int late_calls = 30;

const std::string common_part = "c0ffee";
const std::string crashing_part = "dead01";

bool is_quarantined(const test_answer& answer) {
    return answer.status == 503 && answer.body.find("request_quarantined") != std::string::npos;
}

// Hosts and model runners that crash on some calls and are started again.
struct crash_fixture : edge_fixture {
    explicit crash_fixture(std::string runner_switches, std::size_t models_wanted = model_count)
        : edge_fixture(host_count, models_wanted), switches(std::move(runner_switches)),
          m_down_since(models_wanted) {
        for (const auto& model : models) {
            model->control(switches);
        }
        for (std::size_t host = 0; host < host_count; ++host) {
            hosts[host]->wait_until_ready();
            wait_until_served(host);
        }
    }

    /// Sends a model call whose prompt has the common part, `middle_part` and a part of its
    /// own. No two calls have the same id, body or last part. Thread-safe.
    test_answer ask_with_part(std::size_t host, const std::string& middle_part) {
        const auto number = std::to_string(m_next_call++);
        auto call_headers = headers("a" + number, true);
        call_headers.emplace_back("Prompt-Prefix",
                                  common_part + ":40," + middle_part + ":40,f" + number + ":20");
        return fetch(hosts[host]->callers, http::verb::post, "/ask/1", "prompt " + number,
                     call_headers);
    }

    /// Sends a model call without a list of prompt parts.
    test_answer ask_with_body(std::size_t host, const std::string& body) {
        return fetch(hosts[host]->callers, http::verb::post, "/ask/1", body,
                     headers("a" + std::to_string(m_next_call++), true));
    }

    /// Sends sound calls through `host` until one is served.
    void wait_until_served(std::size_t host) {
        const auto limit = test_clock::now() + 10s;
        while (ask_with_part(host, "0a").status != 200) {
            REQUIRE(test_clock::now() < limit);
            supervise();
        }
    }

    /// Counts the runners that have crashed and starts them again when `restart_delay` is over.
    void supervise() {
        const auto now = test_clock::now();
        for (std::size_t i = 0; i < models.size(); ++i) {
            auto& down_since = m_down_since[i];
            if (!down_since && models[i]->process.has_ended()) {
                down_since = now;
                crash_times.push_back(now);
            } else if (down_since && now - *down_since >= restart_delay) {
                restart_model(i, switches);
                down_since.reset();
            }
        }
    }

    void supervise_until(test_clock::time_point end) {
        while (test_clock::now() < end) {
            supervise();
            std::this_thread::sleep_for(poll_interval);
        }
    }

    /// Waits until each runner has either answered or ended, and counts the crashes.
    std::size_t count_crashes() {
        for (std::size_t i = 0; i < models.size(); ++i) {
            if (!m_down_since[i] && !answers(*models[i])) {
                models[i]->process.wait();
            }
        }
        supervise();
        return crash_times.size();
    }

    const std::string switches;
    std::vector<test_clock::time_point> crash_times;

private:
    static bool answers(const standin_process& runner) {
        try {
            return fetch(runner.port, http::verb::get, "/report").status == 200;
        } catch (const boost::system::system_error&) {
            return false; // the connection was refused
        }
    }

    std::vector<std::optional<test_clock::time_point>> m_down_since; // set while a runner is down
    std::atomic<int> m_next_call{0};
};

using send_hook = std::function<test_answer(std::size_t host)>;

// Sends crashing calls through all hosts but the last one until `crash_count` runners have
// crashed, and then, after the contact time, through all hosts. The last host has no crash
// of its own.
void check_refused_after(crash_fixture& fixture, std::size_t crash_count, const send_hook& send) {
    constexpr int max_refusals = 20;
    int refusals = 0;
    const auto limit = test_clock::now() + 8s;
    for (std::size_t i = 0; fixture.crash_times.size() < crash_count && refusals < max_refusals &&
                            test_clock::now() < limit;
         ++i) {
        refusals += is_quarantined(send(i % (host_count - 1))) ? 1 : 0;
        fixture.supervise();
    }
    REQUIRE(!fixture.crash_times.empty());
    fixture.supervise_until(fixture.crash_times.back() + contact_time);
    for (std::size_t host = 0; host < host_count; ++host) {
        fixture.wait_until_served(host);
    }

    const auto crashes_before = fixture.count_crashes();
    std::array<int, host_count> quarantined{};
    for (std::size_t i = 0; i < late_calls; ++i) {
        const auto answer = send(i % host_count);
        if (is_quarantined(answer)) {
            ++quarantined[i % host_count];
            CHECK_FALSE(answer.retry_after.empty());
        }
        fixture.supervise_until(test_clock::now() + 50ms);
    }
    const auto late_crashes = fixture.count_crashes() - crashes_before;
    CAPTURE(crashes_before, late_crashes, quarantined);
    CHECK(late_crashes <= max_late_runs);
    CHECK(quarantined[0] + quarantined[1] + quarantined[2] >= late_calls - max_late_runs);
}

// Callers that send sound calls through all hosts, each with a middle part that it shares
// with other calls.
class sound_callers {
public:
    explicit sound_callers(crash_fixture& fixture) {
        constexpr std::size_t callers_per_host = 2;
        for (std::size_t i = 0; i < host_count * callers_per_host; ++i) {
            m_threads.emplace_back([this, &fixture, i](const std::stop_token& stop) {
                constexpr std::size_t middle_parts = 16;
                for (std::size_t call = i; !stop.stop_requested(); ++call) {
                    const auto answer = fixture.ask_with_part(
                        i % host_count, "b" + std::to_string(call % middle_parts));
                    ++m_sent;
                    m_begun += answer.status == 200 ? 1 : 0;
                    m_quarantined += is_quarantined(answer) ? 1 : 0;
                }
            });
        }
    }

    /// Returns the share of the calls during `span` that began at their first attempt.
    double begun_share(crash_fixture& fixture, test_clock::duration span) {
        m_sent = 0;
        m_begun = 0;
        fixture.supervise_until(test_clock::now() + span);
        const int sent = m_sent;
        return sent == 0 ? 0.0 : static_cast<double>(m_begun) / sent;
    }

    [[nodiscard]] int quarantined() const { return m_quarantined; }

private:
    std::atomic<int> m_sent{0};
    std::atomic<int> m_begun{0};
    std::atomic<int> m_quarantined{0};
    std::vector<std::jthread> m_threads; // destroyed first, because they use the counts
};

// Fills the receive buffer of a paused host, so that it misses the datagrams of its peers.
void fill_receive_buffer(const edge_process& host, const std::string& port) {
    using boost::asio::ip::udp;
    constexpr int datagrams = 2'000;
    boost::asio::io_context context;
    udp::socket socket(context, udp::v4());
    const udp::endpoint to(boost::asio::ip::make_address(host.peer_address),
                           static_cast<std::uint16_t>(std::stoi(port)));
    const std::string damaged(1'000, 'x');
    for (int i = 0; i < datagrams; ++i) {
        socket.send_to(boost::asio::buffer(damaged), to);
    }
}

// Pauses the last host while the others quarantine a prompt part, and sends calls with the
// part through it once it has been in touch again for the contact time.
void check_refused_after_pause(bool misses_notices) {
    constexpr std::size_t paused = host_count - 1;
    crash_fixture fixture(R"({"crash_on_part":"dead01"})");
    const auto& process = *fixture.hosts[paused]->process;
    process.pause();
    if (misses_notices) {
        fill_receive_buffer(*fixture.hosts[paused], fixture.peer_port);
    }
    const auto limit = test_clock::now() + 15s;
    for (std::size_t host = 0; host < paused; ++host) {
        while (!is_quarantined(fixture.ask_with_part(host, crashing_part))) {
            REQUIRE(test_clock::now() < limit);
            fixture.supervise();
        }
    }
    fixture.supervise_until(test_clock::now() + 2 * notice_time);

    process.send(SIGCONT);
    fixture.supervise_until(test_clock::now() + contact_time);
    fixture.wait_until_served(paused);
    const auto crashes_before = fixture.count_crashes();
    int quarantined = 0;
    for (int i = 0; i < late_calls; ++i) {
        quarantined += is_quarantined(fixture.ask_with_part(paused, crashing_part)) ? 1 : 0;
        fixture.supervise_until(test_clock::now() + 50ms);
    }
    const auto late_crashes = fixture.count_crashes() - crashes_before;
    CAPTURE(crashes_before, late_crashes, quarantined);
    CHECK(late_crashes <= max_late_runs);
    CHECK(quarantined >= late_calls - max_late_runs);
    CHECK(fixture.ask_with_part(paused, "0a").status == 200);
}

} // namespace

TEST_CASE("edge: a host that was paused refuses a prompt part that the others quarantined") {
    check_refused_after_pause(false);
}

TEST_CASE("edge: a host that missed all notices in a pause refuses a quarantined prompt part") {
    check_refused_after_pause(true);
}

TEST_CASE("edge: a prompt part that crashes endpoints is refused by every host after few crashes") {
    crash_fixture fixture(R"({"crash_on_part":"dead01"})");
    constexpr std::size_t crash_count = 5;
    check_refused_after(fixture, crash_count, [&](std::size_t host) {
        return fixture.ask_with_part(host, crashing_part);
    });
}

TEST_CASE("edge: a part that crashes endpoints behind their first event is refused by every host") {
    // Guards against a first event that clears the part of suspicion.
    crash_fixture fixture(R"({"crash_on_part":"dead01","crash_after_events":1})");
    constexpr std::size_t crash_count = 5;
    check_refused_after(fixture, crash_count, [&](std::size_t host) {
        return fixture.ask_with_part(host, crashing_part);
    });
}

TEST_CASE("edge: a part that crashes endpoints within their streams is refused by every host") {
    // As above, with several events and connections that are closed, not reset.
    crash_fixture fixture(
        R"({"crash_on_part":"dead01","crash_after_events":5,"crash_closes":true})");
    constexpr std::size_t crash_count = 5;
    check_refused_after(fixture, crash_count, [&](std::size_t host) {
        return fixture.ask_with_part(host, crashing_part);
    });
}

TEST_CASE("edge: a part that ends endpoints with their answers is refused") {
    // Guards against an answer without a length that a crash ends, taken for a proof.
    edge_fixture fixture;
    fixture.hosts[0]->wait_until_ready();
    scripted_endpoint endpoint([](const std::string& head) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + field_of(head, "Attempt-Id") +
               "\r\nServer-Seal: s1\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n";
    });
    endpoint.ends_with_answer = true;
    constexpr int max_crashes = 5;
    int calls = 0;
    test_answer answer;
    for (int crash = 0; crash <= max_crashes && !is_quarantined(answer); ++crash) {
        fixture.write_entry("p1", "orders", endpoint.port, "", "ready",
                            static_cast<std::uint64_t>(crash) + 2);
        std::this_thread::sleep_for(200ms); // until the host knows the new start time
        const auto limit = test_clock::now() + 5s;
        while (endpoint.requests == crash && !is_quarantined(answer)) {
            REQUIRE(test_clock::now() < limit);
            auto headers = edge_fixture::headers("u" + std::to_string(++calls));
            headers.emplace_back("Prompt-Prefix", "c0ffee:40,dead01:40,f" + std::to_string(calls));
            answer = fetch(fixture.hosts[0]->callers, http::verb::post, "/feed/1", "x", headers);
        }
        if (endpoint.requests > crash) {
            // The host asks after the endpoint once it has the answer's end.
            std::this_thread::sleep_for(200ms);
            endpoint.restart();
        }
    }
    CHECK(is_quarantined(answer));
    CHECK(endpoint.requests <= max_crashes);
}

TEST_CASE("edge: a request that crashes the endpoints that run it is refused by every host") {
    crash_fixture fixture(R"({"crash_on_body":"poison"})");
    constexpr std::size_t crash_count = 3;
    check_refused_after(fixture, crash_count,
                        [&](std::size_t host) { return fixture.ask_with_body(host, "poison"); });
}

namespace {

// Sends sound calls beside crashing ones, whose endpoints have the switches `switches`.
void check_sound_calls_served(const std::string& switches) {
    constexpr std::size_t crash_count = 5;
    crash_fixture fixture(switches);
    sound_callers callers(fixture);
    const double share_before = callers.begun_share(fixture, 1'500ms);
    REQUIRE(share_before > 0);

    const std::jthread crashing_caller([&](const std::stop_token& stop) {
        for (std::size_t host = 0; !stop.stop_requested(); host = (host + 1) % host_count) {
            fixture.ask_with_part(host, crashing_part);
            std::this_thread::sleep_for(100ms);
        }
    });
    // The bound counts from the fifth crash, or from the last one if there are fewer.
    auto bound = test_clock::now() + 2 * contact_time;
    while (test_clock::now() < bound) {
        fixture.supervise_until(test_clock::now() + poll_interval);
        if (!fixture.crash_times.empty()) {
            const auto counted = std::min(fixture.crash_times.size(), crash_count);
            bound = fixture.crash_times[counted - 1] + 2 * contact_time;
        }
    }
    const double share_after = callers.begun_share(fixture, 2s);
    CAPTURE(fixture.crash_times.size(), share_before, share_after);
    CHECK_FALSE(fixture.crash_times.empty());
    CHECK(share_after >= share_before / 2);
    CHECK(callers.quarantined() == 0);
}

} // namespace

TEST_CASE("edge: calls that share a caller and parts with a crashing prompt are served") {
    check_sound_calls_served(R"({"crash_on_part":"dead01","token_ms":20})");
}

TEST_CASE("edge: calls beside a prompt that crashes endpoints behind the first event are served") {
    check_sound_calls_served(R"({"crash_on_part":"dead01","crash_after_events":1,"token_ms":20})");
}

TEST_CASE("edge: endpoints that reset connections again and again don't quarantine") {
    // Six groups and a spare. One after the other resets its calls before their first event.
    constexpr std::size_t many_models = 13;
    constexpr auto reset_interval = 150ms;
    const std::string sound_part = "5a";
    crash_fixture fixture("{}", many_models);
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":3000})");
    }
    std::atomic<int> quarantined{0};
    std::vector<std::jthread> callers;
    constexpr std::size_t callers_per_host = 4;
    for (std::size_t i = 0; i < host_count * callers_per_host; ++i) {
        callers.emplace_back([&, i](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                quarantined +=
                    is_quarantined(fixture.ask_with_part(i % host_count, sound_part)) ? 1 : 0;
            }
        });
    }
    for (const auto& model : fixture.models) {
        fixture.supervise_until(test_clock::now() + reset_interval);
        model->control(R"({"reset_connections":true})");
    }
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":5})");
    }
    callers.clear();
    int closed = 0;
    for (const auto& host : fixture.hosts) {
        const auto metrics = fetch(host->metrics, http::verb::get, "/metrics").body;
        const std::string name = R"(savoryrelay_calls_closed_by_endpoint_total{endpoint="model"} )";
        const auto found = metrics.find(name);
        closed += found == std::string::npos ? 0 : std::stoi(metrics.substr(found + name.size()));
    }
    CHECK(closed >= 3);
    CHECK(fixture.crash_times.empty());
    CHECK(quarantined == 0);
    for (std::size_t host = 0; host < host_count; ++host) {
        CHECK_FALSE(is_quarantined(fixture.ask_with_part(host, sound_part)));
    }
}

TEST_CASE("edge: connections reset all at once don't quarantine") {
    // Six groups and a spare.
    constexpr std::size_t many_models = 13;
    constexpr std::size_t group_count = 6;
    crash_fixture fixture("{}", many_models);
    const auto count_of = [&](const std::string& target, const std::string& text) {
        return static_cast<std::size_t>(
            std::count_if(fixture.models.begin(), fixture.models.end(), [&](const auto& model) {
                return fetch(model->port, http::verb::get, target).body.find(text) !=
                       std::string::npos;
            }));
    };
    const auto limit = test_clock::now() + 10s;
    while (count_of("/report", R"("state":"open")") < group_count) {
        REQUIRE(test_clock::now() < limit);
    }

    // Calls wait for their first event at the groups when all runners reset their connections.
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":400})");
    }
    const auto runs = [&] {
        int sum = 0;
        for (const auto& model : fixture.models) {
            sum += std::stoi(fixture.runs(*model));
        }
        return sum;
    };
    constexpr std::size_t open_calls = 24;
    const int runs_before = runs();
    std::atomic<int> quarantined{0};
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < open_calls; ++i) {
        callers.emplace_back([&, i] {
            quarantined +=
                is_quarantined(fixture.ask_with_part(i % host_count, crashing_part)) ? 1 : 0;
        });
    }
    while (runs() - runs_before < static_cast<int>(open_calls) && test_clock::now() < limit) {
    }
    const int open_runs = runs() - runs_before;
    for (const auto& model : fixture.models) {
        model->control(R"({"reset_connections":true,"token_ms":5})");
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(open_runs == static_cast<int>(open_calls));
    int lost = 0;
    for (const auto& host : fixture.hosts) {
        const auto metrics = fetch(host->metrics, http::verb::get, "/metrics").body;
        const std::string name =
            R"(savoryrelay_attempts_failed_total{endpoint="model",outcome="lost"} )";
        const auto at = metrics.find(name);
        lost += at == std::string::npos ? 0 : std::stoi(metrics.substr(at + name.size()));
    }
    CHECK(lost >= static_cast<int>(open_calls));

    // Hosts that exchange what they saw have done so within the contact time.
    int served = 0;
    int sent = 0;
    for (const auto end = test_clock::now() + contact_time; test_clock::now() < end; ++sent) {
        const auto answer =
            fixture.ask_with_part(static_cast<std::size_t>(sent) % host_count, crashing_part);
        served += answer.status == 200 ? 1 : 0;
        quarantined += is_quarantined(answer) ? 1 : 0;
    }
    CAPTURE(open_runs, sent, served);
    CHECK(quarantined == 0);
    CHECK(served * 2 >= sent);
}
