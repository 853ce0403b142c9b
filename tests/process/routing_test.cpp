// Load on a daemon whose engines are cold, restart or crash, as separate processes.
#include "relay_fixture.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;

namespace {

/// A daemon in front of engines with a cold allowance of 2.
struct cold_fixture {
    test_folder folder;
    std::vector<std::unique_ptr<standin_process>> engines;
    std::unique_ptr<child_process> daemon;
    std::string port;

    explicit cold_fixture(std::size_t engine_count) {
        std::string endpoints;
        for (std::size_t i = 0; i < engine_count; ++i) {
            engines.push_back(std::make_unique<standin_process>(
                std::vector<std::string>{"engine", "--token-ms=20"}));
            endpoints += "  - {id: engine-" + std::to_string(i) +
                         ", deployment: model, availability_zone: zone-a, address: 127.0.0.1, "
                         "port: " +
                         engines.back()->port + "}\n";
        }
        const auto configuration = folder.write(
            "configuration.yaml",
            "availability_zones: [{id: zone-a}]\ncustomers: [{id: workshop, token_digest: " +
                savoryrelay::state::sha256_hex("demo-token") +
                "}]\ndeployments:\n  - {id: model, model: gilding, cold_allowance: 2}\n"
                "endpoints:\n" +
                endpoints);
        const auto settings =
            folder.write("settings.yaml", "member: {id: m1, availability_zone: zone-a}\n"
                                          "single_entry_host: true\nconfiguration_file: " +
                                              configuration + "\n");
        daemon = std::make_unique<child_process>(
            "savoryrelayd", std::vector<std::string>{"--settings=" + settings});
        port = daemon->read_port("event=listening");
        daemon->read_until("event=configuration_in_force");
    }

    /// Sends `count` calls of 10 tokens at once and returns their answers.
    [[nodiscard]] std::vector<test_answer> burst(std::size_t count) const {
        std::vector<test_answer> answers(count);
        std::vector<std::thread> callers;
        for (auto& answer : answers) {
            callers.emplace_back([this, &answer] {
                answer = fetch(port, http::verb::post, "/v1/chat/completions",
                               relay_fixture::stream_body(10));
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        return answers;
    }

    [[nodiscard]] std::int64_t load(std::size_t engine, const std::string& field) const {
        const auto answer = fetch(engines.at(engine)->port, http::verb::get, "/engine/load");
        return boost::json::parse(answer.body).at(field).to_number<std::int64_t>();
    }
};

bool is_whole(const test_answer& answer) {
    return answer.status == 200 && answer.whole &&
           answer.body.find("data: [DONE]") != std::string::npos;
}

} // namespace

// Guards against a cold engine that gets more than its allowance (P3), and
// against a call that ends in neither an answer nor a truthful refusal.
TEST_CASE("a burst of calls keeps cold engines within their allowance", "[process]") {
    const cold_fixture relay(2);
    const auto answers = relay.burst(40);
    std::int64_t whole = 0;
    for (const auto& answer : answers) {
        CAPTURE(answer.status, answer.body, answer.failed);
        if (is_whole(answer)) {
            ++whole;
        } else {
            CHECK(answer.status == 503);
            CHECK(answer.outcome == "not-run");
        }
    }
    // The engines saw the answered calls and no others.
    CHECK(whole > 0);
    std::int64_t completed = 0;
    for (std::size_t engine = 0; engine < 2; ++engine) {
        CHECK(relay.load(engine, "peak_running_cold") <= 2);
        completed += relay.load(engine, "completed");
    }
    CHECK(completed == whole);
}

// Guards against an engine that reports that it is warm and is still held at
// its cold allowance.
TEST_CASE("an engine is loaded by its own report of being warm", "[process]") {
    cold_fixture relay(1);
    while (relay.load(0, "completed") < 4) {
        REQUIRE(is_whole(relay.burst(1).front()));
    }
    CHECK_FALSE(
        boost::json::parse(fetch(relay.engines[0]->port, http::verb::get, "/engine/load").body)
            .at("cold")
            .as_bool());

    // The daemon learns of it with its next poll: each burst takes 200 ms or
    // more, and 20 bursts are more than three polls.
    const auto all_whole = [&] {
        const auto answers = relay.burst(8);
        return std::all_of(answers.begin(), answers.end(), is_whole);
    };
    bool is_loaded = false;
    for (int i = 0; i < 20 && !is_loaded; ++i) {
        is_loaded = all_whole();
    }
    CHECK(is_loaded);
}
