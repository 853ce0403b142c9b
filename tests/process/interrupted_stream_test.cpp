// Tests streams whose endpoint breaks off while no other one can take them over at once.
#include "edge_fixture.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t model_count = 5; // two groups and a spare

void wait_until(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + 10s;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        std::this_thread::sleep_for(5ms);
    }
}

} // namespace

TEST_CASE("edge: a stream is not cut when the processes of two of its endpoints end") {
    edge_fixture fixture(1, model_count);
    const auto open_groups = [&] {
        const auto metrics = fetch(fixture.hosts[0]->metrics, http::verb::get, "/metrics").body;
        return metrics.find(R"(savoryrelay_groups{model="gold",state="open"} 2)") !=
               std::string::npos;
    };
    // Ends the process of the runner that serves the stream.
    std::vector<const standin_process*> ended;
    const auto end_head = [&] {
        const standin_process* head = nullptr;
        wait_until([&] {
            for (const auto& model : fixture.models) {
                if (std::find(ended.begin(), ended.end(), model.get()) == ended.end() &&
                    fetch(model->port, http::verb::get, "/streams").body == "1") {
                    head = model.get();
                }
            }
            return head != nullptr;
        });
        ended.push_back(head);
        fetch(head->port, http::verb::post, "/control", R"({"die":true})"); // gets no answer
    };
    wait_until(open_groups);
    for (const auto& model : fixture.models) {
        model->control(R"({"token_ms":400})");
    }
    test_exchange stream(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("s", true));
    REQUIRE(stream.read_until("id: 0"));
    end_head();
    REQUIRE(stream.read_until("id: 2"));
    // The survivor of the first group forms another one with the spare.
    wait_until(open_groups);
    end_head();
    const auto answer = stream.finish();
    CHECK(answer.is_complete);
    for (int i = 0; i < 8; ++i) {
        CHECK(answer.body.find("id: " + std::to_string(i) + "\n") != std::string::npos);
    }
}

TEST_CASE("edge: a stream that breaks off is not cut while the other group refuses it") {
    edge_fixture fixture(1, model_count);
    const auto metric = [&](const std::string& line) {
        return fetch(fixture.hosts[0]->metrics, http::verb::get, "/metrics").body.find(line) !=
               std::string::npos;
    };
    wait_until([&] { return metric(R"(savoryrelay_groups{model="gold",state="open"} 2)"); });
    std::vector<standin_process*> heads;
    for (const auto& model : fixture.models) {
        if (fetch(model->port, http::verb::get, "/report").body.find(R"("open")") !=
            std::string::npos) {
            heads.push_back(model.get());
        }
    }
    REQUIRE(heads.size() == 2);
    heads[0]->control(R"({"break_after_tokens":3})");
    heads[1]->control(R"({"refuse_calls":true})");

    test_exchange stream(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("s", true));
    const std::string failed = R"(savoryrelay_attempts_failed_total{endpoint="model",outcome=")";
    wait_until([&] { return metric(failed + R"(lost"} 1)") && metric(failed + R"(not_run"} )"); });
    // Longer than a call whose answer has not begun waits for an endpoint.
    std::this_thread::sleep_for(400ms);
    heads[1]->control(R"({"refuse_calls":false})");
    const auto answer = stream.finish();
    CHECK(answer.is_complete);
    for (int i = 0; i < 8; ++i) {
        const auto id = "id: " + std::to_string(i) + "\n";
        CHECK(answer.body.find(id) != std::string::npos);
        CHECK(answer.body.find(id) == answer.body.rfind(id));
    }
}
