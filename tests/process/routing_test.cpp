// Tests routing to cold engines with a daemon and engines as separate processes.
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

/// Runs a daemon and engines with a cold allowance of 2.
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

    /// Sends `count` concurrent calls of 10 tokens each and returns their answers.
    [[nodiscard]] std::vector<test_answer> send_burst(std::size_t count) const {
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

bool is_complete_stream(const test_answer& answer) {
    return answer.status == 200 && answer.is_complete &&
           answer.body.find("data: [DONE]") != std::string::npos;
}

} // namespace

// Guards against a cold engine that gets more calls than its allowance, and
// against a call that gets neither an answer nor a correct refusal.
TEST_CASE("a burst of calls keeps cold engines within their allowance", "[process]") {
    const cold_fixture relay(2);
    const auto answers = relay.send_burst(40);
    std::int64_t answered = 0;
    for (const auto& answer : answers) {
        CAPTURE(answer.status, answer.body, answer.error);
        if (is_complete_stream(answer)) {
            ++answered;
        } else {
            CHECK(answer.status == 503);
            CHECK(answer.outcome == "not-run");
        }
    }
    // The engines ran the answered calls and no others.
    CHECK(answered > 0);
    std::int64_t completed = 0;
    for (std::size_t engine = 0; engine < 2; ++engine) {
        CHECK(relay.load(engine, "peak_running_cold") <= 2);
        completed += relay.load(engine, "completed");
    }
    CHECK(completed == answered);
}

// Guards against an engine that is still limited to its cold allowance after it has
// reported that it is warm.
TEST_CASE("an engine gets more calls than its cold allowance once it reports that it is warm",
          "[process]") {
    cold_fixture relay(1);
    while (relay.load(0, "completed") < 4) {
        REQUIRE(is_complete_stream(relay.send_burst(1).front()));
    }
    CHECK_FALSE(
        boost::json::parse(fetch(relay.engines[0]->port, http::verb::get, "/engine/load").body)
            .at("cold")
            .as_bool());

    // The daemon reads the report with its next poll. Each burst takes 200 ms or
    // more, so 20 bursts last longer than three polls.
    const auto all_complete = [&] {
        const auto answers = relay.send_burst(8);
        return std::all_of(answers.begin(), answers.end(), is_complete_stream);
    };
    bool is_above_allowance = false;
    for (int i = 0; i < 20 && !is_above_allowance; ++i) {
        is_above_allowance = all_complete();
    }
    CHECK(is_above_allowance);
}
