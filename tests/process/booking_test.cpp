// Bookings of two daemons on one remote platform, as separate processes.
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
/// is from one of them, so the test then fails instead of hanging.
class read_deadline {
public:
    explicit read_deadline(std::vector<const child_process*> processes)
        : m_processes(std::move(processes)), m_watch([this] { watch(); }) {}
    read_deadline(const read_deadline&) = delete;
    read_deadline& operator=(const read_deadline&) = delete;
    ~read_deadline() {
        {
            const std::scoped_lock lock(m_mutex);
            m_ended = true;
        }
        m_changed.notify_all();
        m_watch.join();
    }

private:
    static constexpr std::chrono::seconds limit{25};

    void watch() {
        std::unique_lock lock(m_mutex);
        if (m_changed.wait_for(lock, limit, [this] { return m_ended; })) {
            return;
        }
        for (const auto* process : m_processes) {
            process->send(SIGKILL);
        }
    }

    std::vector<const child_process*> m_processes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_ended = false; // guarded by m_mutex
    std::thread m_watch;
};

/// Two daemons with one platform, one engine and one service.
struct booking_fixture {
    test_folder folder;
    standin_process platform{{"platform"}};
    standin_process engine{{"engine", "--token-ms=5"}};
    standin_process service{{"service"}};
    bool configured = submit_configuration();
    child_process first{"savoryrelayd", {"--settings=" + write_settings("m1")}};
    child_process second{"savoryrelayd", {"--settings=" + write_settings("m2")}};
    read_deadline deadline{{&first, &second, &platform.process, &engine.process, &service.process}};
    std::string first_port{first.read_port("event=listening")};
    std::string second_port{second.read_port("event=listening")};

    booking_fixture() {
        wait_until_ready(first_port);
        wait_until_ready(second_port);
    }

    /// Books under `key`, for at most 5 s.
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

    /// Waits until the daemon at `port` has handed `count` bookings to its sockets.
    static void wait_until_dispatched(const std::string& port, int count) {
        const auto line = "\nsavoryrelay_booking_dispatched_total " + std::to_string(count) + "\n";
        test_answer metrics;
        do {
            metrics = fetch(port, http::verb::get, "/metrics");
            REQUIRE(metrics.status == 200);
        } while (("\n" + metrics.body).find(line) == std::string::npos);
    }

    /// Runs by key, as the service counted them.
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
                                   protocol::write_transaction(revision));
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

// Guards against a second run of a key at another daemon, and against an
// answer that is lost with the daemon that booked.
TEST_CASE("a repeated key gets the first answer from another daemon", "[process][booking]") {
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

// Guards against a second run when the daemon dies between the dispatch and
// the outcome, and against "not-run" for a call that may have run.
TEST_CASE("a killed daemon's booking never runs twice", "[process][booking]") {
    booking_fixture relay;
    relay.service.control(R"({"delay_ms": 1500})");
    auto open = relay.begin(relay.first_port, "k");
    relay.wait_until_dispatched(relay.first_port, 1);
    relay.first.send(SIGKILL);
    relay.first.wait();
    CHECK_FALSE(open.finish().whole);

    // Before and after the late call has run at the service. The reading of
    // the runs has the same delay as the call, so it is answered after it.
    for (int i = 0; i < 2; ++i) {
        const auto repeated = relay.book(relay.second_port, "k", "700");
        const bool truthful = repeated.outcome == "unknown" || repeated.outcome == "ran";
        CHECK(truthful);
        const auto runs = relay.runs();
        const bool at_most_once = runs == "{}" || runs == R"({"workshop:k":1})";
        CHECK(at_most_once);
    }
}

// Guards against a booking that stays unknown although the service can tell,
// and against a second run in place of the question.
TEST_CASE("a repeat after a lost answer gets it from the service", "[process][booking]") {
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

// Guards against a call that is sent without a durable intent, and against an
// outage of the table that stops model streams.
TEST_CASE("without the platform bookings are refused and streams go on", "[process][booking]") {
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

    const auto whole = stream.finish();
    CHECK(whole.whole);
    CHECK(whole.body.find("data: [DONE]") != std::string::npos);
    const auto next = fetch(relay.first_port, http::verb::post, "/v1/chat/completions",
                            relay_fixture::stream_body(5));
    CHECK(next.status == 200);
    CHECK(next.whole);
}

// Guards against a booking that is sent again, or refused, because the
// platform's reply to its intent or its outcome was lost.
TEST_CASE("a lost reply of the platform does not double a booking", "[process][booking]") {
    booking_fixture relay;
    relay.platform.control(R"({"lose_replies": 2})");
    const auto booked = relay.book(relay.first_port, "k");
    CHECK(booked.status == 200);
    CHECK(booked.outcome == "ran");
    CHECK(relay.book(relay.second_port, "k").body == booked.body);
    CHECK(relay.runs() == R"({"workshop:k":1})");
}

// Guards against a planned stop that breaks an open booking or loses its outcome.
TEST_CASE("a stop finishes the open booking and its outcome", "[process][booking]") {
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
