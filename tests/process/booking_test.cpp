// Tests bookings with two daemons that share one remote platform; all run as
// separate processes.
#include "relay_fixture.h"

#include "savoryrelay/protocol/platform/platform_messages.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace savoryrelay;
using namespace savoryrelay::tests;

namespace {

/// Kills the given processes after a time limit. Every blocking read of a test
/// reads from one of them, so the test fails instead of hanging.
class test_watchdog {
public:
    explicit test_watchdog(std::vector<const child_process*> processes)
        : m_processes(std::move(processes)), m_watchdog_thread([this] { kill_after_limit(); }) {}
    test_watchdog(const test_watchdog&) = delete;
    test_watchdog& operator=(const test_watchdog&) = delete;
    ~test_watchdog() {
        {
            const std::scoped_lock lock(m_mutex);
            m_ended = true;
        }
        m_ended_changed.notify_all();
        m_watchdog_thread.join();
    }

private:
    static constexpr std::chrono::seconds limit{25};

    void kill_after_limit() {
        std::unique_lock lock(m_mutex);
        if (m_ended_changed.wait_for(lock, limit, [this] { return m_ended; })) {
            return;
        }
        for (const auto* process : m_processes) {
            process->send(SIGKILL);
        }
    }

    std::vector<const child_process*> m_processes;
    std::mutex m_mutex;
    std::condition_variable m_ended_changed;
    bool m_ended = false; // guarded by m_mutex
    std::thread m_watchdog_thread;
};

/// Runs two daemons with one platform, one engine and one service.
struct booking_fixture {
    test_folder folder;
    standin_process platform{{"platform"}};
    standin_process engine{{"engine", "--token-ms=5"}};
    standin_process service{{"service"}};
    bool configured = submit_configuration();
    child_process first{"savoryrelayd", {"--settings=" + write_settings("m1")}};
    child_process second{"savoryrelayd", {"--settings=" + write_settings("m2")}};
    test_watchdog watchdog{{&first, &second, &platform.process, &engine.process, &service.process}};
    std::string first_port{first.read_port("event=listening")};
    std::string second_port{second.read_port("event=listening")};

    booking_fixture() {
        wait_until_ready(first_port);
        wait_until_ready(second_port);
    }

    /// Sends a booking with `key` and waits for its answer.
    [[nodiscard]] static test_answer book(const std::string& port, const std::string& key,
                                          const std::string& deadline_ms = "5000") {
        return begin(port, key, deadline_ms).finish();
    }

    /// Sends a booking without waiting for its answer.
    [[nodiscard]] static test_exchange begin(const std::string& port, const std::string& key,
                                             const std::string& deadline_ms = "5000") {
        return {port,
                http::verb::post,
                "/v1/services/orders/book",
                "{}",
                {{"Idempotency-Key", key}, {"Savoryrelay-Deadline-Ms", deadline_ms}}};
    }

    /// Waits until the daemon at `port` has dispatched `count` bookings.
    static void wait_until_dispatched(const std::string& port, int count) {
        const auto line = "\nsavoryrelay_booking_dispatched_total " + std::to_string(count) + "\n";
        test_answer metrics;
        do {
            metrics = fetch(port, http::verb::get, "/metrics");
            REQUIRE(metrics.status == 200);
        } while (("\n" + metrics.body).find(line) == std::string::npos);
    }

    /// Returns the number of runs for each key, as the service counted them.
    [[nodiscard]] std::string runs() const {
        return fetch(service.port, http::verb::get, "/runs").body;
    }

private:
    [[nodiscard]] bool submit_configuration() const {
        const auto endpoint = [](const std::string& id, const std::string& deployment,
                                 const std::string& port) {
            return "  - {id: " + id + ", deployment: " + deployment +
                   ", availability_zone: zone-a, address: 127.0.0.1, port: " + port + "}\n";
        };
        const auto document = "availability_zones: [{id: zone-a}]\n"
                              "customers: [{id: workshop, token_digest: " +
                              state::sha256_hex("demo-token") +
                              "}]\n"
                              "deployments:\n"
                              "  - {id: model, model: gilding}\n"
                              "  - {id: orders, kind: service, repeat: at_most_once}\n"
                              "endpoints:\n" +
                              endpoint("engine-1", "model", engine.port) +
                              endpoint("orders-1", "orders", service.port);
        const state::table_transaction revision{
            "test",
            {},
            {{"config/current", "1"}, {"config/history/1", "test\n0\n" + document}},
            {}};
        const auto written = fetch(platform.port, http::verb::post, "/v1/table/transact",
                                   protocol::encode_transaction(revision));
        REQUIRE(written.status == 200);
        return true;
    }

    [[nodiscard]] std::string write_settings(const std::string& member) const {
        return folder.write(member + ".yaml",
                            "member: {id: " + member +
                                ", availability_zone: zone-a}\n"
                                "single_entry_host: true\n"
                                "poll_interval_ms: 100\n"
                                "platform: {mode: remote, address: 127.0.0.1, timeout_ms: 1000, "
                                "port: " +
                                platform.port + "}\n");
    }
};

} // namespace

// Guards against a second run of a key through another daemon, and against losing
// the answer when the daemon that received the booking ends.
TEST_CASE("a repeated key gets the first answer through another daemon too", "[process][booking]") {
    booking_fixture relay;
    const auto booked = relay.book(relay.first_port, "k 1");
    REQUIRE(booked.status == 200);
    CHECK(booked.outcome == "ran");

    const auto repeated = relay.book(relay.second_port, "k 1");
    CHECK(repeated.status == 200);
    CHECK(repeated.body == booked.body);
    CHECK(repeated.outcome == "ran");

    relay.first.send(SIGKILL);
    relay.first.wait();
    CHECK(relay.book(relay.second_port, "k 1").body == booked.body);
    CHECK(relay.runs() == R"({"workshop:k%201":1})");
}

// Guards against a second run when the daemon is killed between the dispatch and
// the outcome, and against "not-run" for a call that may have run.
TEST_CASE("a killed daemon's booking never runs twice", "[process][booking]") {
    booking_fixture relay;
    relay.service.control(R"({"delay_ms": 1500})");
    auto open = relay.begin(relay.first_port, "k");
    relay.wait_until_dispatched(relay.first_port, 1);
    relay.first.send(SIGKILL);
    relay.first.wait();
    CHECK_FALSE(open.finish().is_complete);

    // The key is repeated before and after the delayed call has run at the service.
    // The request for the runs has the same delay as the call, so the service
    // answers it after the call.
    for (int i = 0; i < 2; ++i) {
        const auto repeated = relay.book(relay.second_port, "k", "700");
        const bool truthful = repeated.outcome == "unknown" || repeated.outcome == "ran";
        CHECK(truthful);
        const auto runs = relay.runs();
        const bool at_most_once = runs == "{}" || runs == R"({"workshop:k":1})";
        CHECK(at_most_once);
    }
}

// Guards against a booking that stays unknown although the service knows its
// outcome, and against a second run instead of asking the service.
TEST_CASE("a repeat after a lost answer gets the answer from the service", "[process][booking]") {
    booking_fixture relay;
    relay.service.control(R"({"lose_replies": 1})");
    const auto lost = relay.book(relay.first_port, "a/b?c");
    CHECK(lost.outcome == "unknown");
    CHECK(lost.body.find("booking_unknown") != std::string::npos);

    const auto repeated = relay.book(relay.second_port, "a/b?c");
    CHECK(repeated.status == 200);
    CHECK(repeated.outcome == "ran");
    CHECK(repeated.body == R"({"booking":"workshop:a%2fb%3fc","run":1})");
    CHECK(relay.runs() == R"({"workshop:a%2fb%3fc":1})");
}

// Guards against a call that is sent without a durable intent, and against model
// streams that stop because the table is unavailable.
TEST_CASE("without the platform bookings are refused and streams continue", "[process][booking]") {
    booking_fixture relay;
    test_exchange stream(relay.first_port, http::verb::post, "/v1/chat/completions",
                         relay_fixture::stream_body(200), {});
    REQUIRE(stream.read_until("\"t0 \""));
    relay.platform.process.send(SIGKILL);
    relay.platform.process.wait();

    const auto refused = relay.book(relay.first_port, "k");
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not-run");
    CHECK(refused.body.find("store_unavailable") != std::string::npos);
    CHECK(relay.runs() == "{}");

    const auto streamed = stream.finish();
    CHECK(streamed.is_complete);
    CHECK(streamed.body.find("data: [DONE]") != std::string::npos);
    const auto next = fetch(relay.first_port, http::verb::post, "/v1/chat/completions",
                            relay_fixture::stream_body(5));
    CHECK(next.status == 200);
    CHECK(next.is_complete);
}

// Guards against a booking that is sent again, or refused, because the
// platform's reply to its intent or its outcome was lost.
TEST_CASE("a booking runs once although a reply of the platform is lost", "[process][booking]") {
    booking_fixture relay;
    relay.platform.control(R"({"lose_replies": 2})");
    const auto booked = relay.book(relay.first_port, "k");
    CHECK(booked.status == 200);
    CHECK(booked.outcome == "ran");
    CHECK(relay.book(relay.second_port, "k").body == booked.body);
    CHECK(relay.runs() == R"({"workshop:k":1})");
}

// Guards against a graceful stop that breaks an open booking or loses its outcome.
TEST_CASE("a graceful stop finishes the open booking and writes its outcome",
          "[process][booking]") {
    booking_fixture relay;
    relay.service.control(R"({"delay_ms": 500})");
    auto open = relay.begin(relay.first_port, "k");
    relay.wait_until_dispatched(relay.first_port, 1);
    relay.first.send(SIGTERM);
    const auto booked = open.finish();
    CHECK(booked.status == 200);
    CHECK(relay.first.wait() == 0);
    CHECK(relay.book(relay.second_port, "k").body == booked.body);
    CHECK(relay.runs() == R"({"workshop:k":1})");
}
