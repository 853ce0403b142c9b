// End-to-end tests of entry hosts on the platform: forming groups, calls, configuration,
// the loss of a runner, of the store and of a host, and the graceful stop.
#include "edge_fixture.h"
#include "support/kept_connection.h"

#include <chrono>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

std::string complete_stream_ids() {
    std::string ids;
    for (int i = 0; i < 8; ++i) {
        ids += std::to_string(i);
    }
    return ids;
}

// Returns the ids of the events in a stream, in their order.
std::string ids_of(const std::string& body) {
    std::string ids;
    for (auto at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ids += body[at + 4];
    }
    return ids;
}

} // namespace

TEST_CASE("edge: a group forms from free runners and each host relays a complete stream") {
    edge_fixture fixture(2);
    for (std::size_t host = 0; host < 2; ++host) {
        fixture.hosts[host]->wait_until_ready();
        const auto answer = fixture.ask_until_served(host);
        CHECK(answer.is_complete);
        CHECK(ids_of(answer.body) == complete_stream_ids());
    }
}

TEST_CASE("edge: a call needs a known route and key and runs for its customer") {
    edge_fixture fixture;
    const auto& port = fixture.hosts[0]->callers;
    fixture.hosts[0]->wait_until_ready();
    test_answer booked;
    while (booked.status != 200) {
        booked = fetch(port, http::verb::post, "/book/1", "x", edge_fixture::headers("b1"));
    }
    CHECK(booked.body == "ran by p1 for workshop");

    auto wrong_key = edge_fixture::headers("b2");
    wrong_key[2].second = "nobody";
    CHECK(fetch(port, http::verb::post, "/book/1", "x", wrong_key).status == 401);
    CHECK(fetch(port, http::verb::get, "/none/1", "", edge_fixture::headers("b3")).status == 404);
}

TEST_CASE("edge: a call with an unknown method is served and does not end the host") {
    edge_fixture fixture;
    const auto& port = fixture.hosts[0]->callers;
    fixture.hosts[0]->wait_until_ready();
    while (fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("l")).status != 200) {
    }
    const auto answer =
        test_exchange(port, "BREW", "/look/1", "pot", edge_fixture::headers("m")).finish();
    CHECK(answer.status == 200);
    CHECK(answer.body == "ran by p1 for workshop");
    CHECK(fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("n")).status == 200);
}

TEST_CASE("edge: an answer to HEAD is relayed at once, and the next answer is the right one") {
    edge_fixture fixture;
    fixture.hosts[0]->wait_until_ready();
    const auto& port = fixture.hosts[0]->callers;
    while (fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("l")).status != 200) {
    }
    kept_connection caller(port);
    const auto ask = [&](http::verb method, const std::string& path, const std::string& id) {
        const auto started = std::chrono::steady_clock::now();
        auto answer = caller.fetch(method, path, "", edge_fixture::headers(id));
        CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(1));
        CHECK(answer.request_id == id);
        return answer;
    };
    const std::string body = "ran by p1 for workshop";
    const auto head = ask(http::verb::head, "/look/1", "h1");
    CHECK(head.status == 200);
    CHECK(head.content_length == std::to_string(body.size()));
    CHECK(ask(http::verb::get, "/look/1", "h2").body == body);
    CHECK(ask(http::verb::head, "/none/1", "h3").status == 404);
    CHECK(ask(http::verb::get, "/look/1", "h4").body == body);
}

TEST_CASE("edge: the entry of a runner with an overlong group name does not end a host") {
    edge_fixture fixture(2);
    // Nothing listens at the runner's address, so the lease holder reports it as silent.
    fixture.write_row(
        "servers", "m9",
        R"({"service":"model","address":"127.0.0.1:)" + free_port() +
            R"(","zone":"zone-a","slots":8,"state":"ready","born":1,"group":{"name":")" +
            std::string(250, 'g') + R"(","epoch":1,"rank":0,"state":"open"}})");
    CHECK(fixture.ask_until_served(0).is_complete);
    CHECK(fixture.ask_until_served(1).is_complete);
    for (const auto& host : fixture.hosts) {
        host->process->read_until("event=runner_entry_unreadable");
    }
}

TEST_CASE("edge: the row of a host with an overlong zone does not end another host") {
    edge_fixture fixture(0);
    fixture.write_row("savoryrelay_hosts", "far",
                      '"' + std::string("127.0.0.9:9 ") + std::string(250, 'z') + " 1" + '"');
    for (const auto* name : {"edge-0", "edge-1"}) {
        fixture.add_host(name);
    }
    CHECK(fixture.ask_until_served(0).is_complete);
    CHECK(fixture.ask_until_served(1).is_complete);
}

TEST_CASE("edge: a booking whose answer is lost runs once and is answered with 502 or 504") {
    edge_fixture fixture;
    const auto& port = fixture.hosts[0]->callers;
    fixture.hosts[0]->wait_until_ready();
    while (fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("l")).status != 200) {
    }
    const auto before = std::stoi(fixture.runs(fixture.plain));
    fixture.plain.control(R"({"lose_replies":1})");
    const auto lost = fetch(port, http::verb::post, "/book/1", "x", edge_fixture::headers("b"));
    CHECK((lost.status == 502 || lost.status == 504));
    CHECK(std::stoi(fixture.runs(fixture.plain)) == before + 1);

    // An idempotent call succeeds once the endpoint is used again.
    fixture.plain.control(R"({"lose_replies":0})");
    test_answer looked;
    while (looked.status != 200) {
        looked = fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("l2"));
    }
}

TEST_CASE("edge: a stream that breaks off is resumed by a second call without a missing event") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"break_after_tokens":3})");
    }
    // There is only one group, so no other one can resume the stream, and the answer must
    // not look complete.
    const auto broken = fixture.ask("s1");
    CHECK_FALSE(broken.is_complete);
    CHECK(ids_of(broken.body) == "012");

    // The caller resumes the stream after its last event.
    auto headers = edge_fixture::headers("s2", true);
    headers.emplace_back("Last-Event-Id", "2");
    test_answer rest;
    while (rest.status != 200) {
        rest = fetch(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt", headers);
    }
    CHECK(rest.is_complete);
    CHECK(ids_of(rest.body) == "34567");
}

TEST_CASE("edge: a stream that pauses is not cut while no other group can take it over") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":700})");
    }
    test_exchange paused(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("p1", true));
    REQUIRE(paused.read_until("id: 1"));
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":5})");
    }
    const auto answer = paused.finish();
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == complete_stream_ids());
}

TEST_CASE("edge: a stream is not cut because its runner answers no reports") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":2500,"drop_reports_and_orders":true})");
    }
    test_exchange paused(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("p1", true));
    fixture.hosts[0]->process->read_until("event=runner_silent");
    // Ends the pauses after the first event.
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":5})");
    }
    const auto answer = paused.finish();
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == complete_stream_ids());
}

TEST_CASE("edge: a stream is not cut when its runner falls silent while its entry is missing") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":2000,"drop_reports_and_orders":true})");
    }
    test_exchange paused(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("p1", true));
    fixture.hosts[0]->process->read_until("event=runner_silent");
    for (const auto* id : {"m0", "m1", "m2"}) {
        fixture.write_row("servers", id, "null");
    }
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":5})");
    }
    const auto answer = paused.finish();
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == complete_stream_ids());
}

TEST_CASE("edge: a silent stream is not cut because of an entry that names no group") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":3500,"drop_reports_and_orders":true})");
    }
    test_exchange paused(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                         edge_fixture::headers("p1", true));
    // Entries give way to a recent report.
    std::this_thread::sleep_for(1'700ms);
    for (std::size_t i = 0; i < fixture.models.size(); ++i) {
        fixture.write_entry("m" + std::to_string(i), "model", fixture.models[i]->port, "d0");
    }
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":5})");
    }
    const auto answer = paused.finish();
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == complete_stream_ids());
}

TEST_CASE("edge: a stream ends when its runner answers no reports and has lost its entry") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":20000,"drop_reports_and_orders":true})");
    }
    test_exchange stalled(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                          edge_fixture::headers("p1", true));
    fixture.hosts[0]->process->read_until("event=runner_silent");
    for (const auto* id : {"m0", "m1", "m2"}) {
        fixture.write_row("servers", id, "null");
    }
    const auto answer = stalled.finish();
    CHECK(answer.status == 502);
}

TEST_CASE("edge: a new configuration takes effect, and an older one does not replace it") {
    edge_fixture fixture;
    const auto& port = fixture.hosts[0]->callers;
    fixture.hosts[0]->wait_until_ready();
    fixture.write_configuration(5, "k1");
    while (fetch(port, http::verb::get, "/v5/1", "", edge_fixture::headers("c")).status != 200) {
    }
    CHECK(fetch(port, http::verb::get, "/v1/1", "", edge_fixture::headers("c2")).status == 404);
    fixture.write_configuration(4, "k1");
    fixture.write_configuration(6, "k2");
    unsigned status = 0;
    while (status != 401) {
        status = fetch(port, http::verb::get, "/look/1", "", edge_fixture::headers("c3")).status;
        CHECK(status != 404);
        REQUIRE(status != 0);
    }
}

TEST_CASE("edge: a group that loses its head is formed again with the spare") {
    edge_fixture fixture;
    const auto first = fixture.ask_until_served();
    const auto head = first.body.substr(first.body.find("data: ") + 6, 2);
    const auto index = static_cast<std::size_t>(head[1] - '0');
    fixture.models[index]->process.send(SIGKILL);
    fixture.write_row("servers", head, "null");
    const auto again = fixture.ask_until_served();
    CHECK(again.body.find("data: " + head) == std::string::npos);
    CHECK(ids_of(again.body) == complete_stream_ids());
}

TEST_CASE("edge: a host that starts while the store is down gets its tables from its peers") {
    edge_fixture fixture(1);
    fixture.ask_until_served();
    fixture.store.control(R"({"down":true})");
    auto& late = fixture.add_host("edge-late");
    late.wait_until_ready();
    const auto answer = fixture.ask_until_served(1);
    CHECK(ids_of(answer.body) == complete_stream_ids());
}

TEST_CASE("edge: a host without a configuration is not ready and refuses calls") {
    edge_fixture fixture(0);
    fixture.store.control(R"({"down":true})");
    auto& host = fixture.add_host("edge-alone");
    CHECK(fetch(host.readiness, http::verb::get, "/readiness").status == 503);
    CHECK(
        fetch(host.callers, http::verb::post, "/book/1", "x", edge_fixture::headers("b")).status ==
        503);
}

TEST_CASE("edge: the remaining host controls the groups after the other host is killed") {
    edge_fixture fixture(2);
    fixture.ask_until_served(0);
    fixture.ask_until_served(1);
    // Kills a host, which may be the lease holder, and then the head of a group.
    fixture.hosts[0]->process->send(SIGKILL);
    fixture.hosts[0]->process->wait();
    const auto first = fixture.ask_until_served(1);
    const auto head = first.body.substr(first.body.find("data: ") + 6, 2);
    const auto index = static_cast<std::size_t>(head[1] - '0');
    fixture.models[index]->process.send(SIGKILL);
    fixture.write_row("servers", head, "null");
    const auto again = fixture.ask_until_served(1);
    CHECK(again.body.find("data: " + head) == std::string::npos);
}

TEST_CASE("edge: a stopping host finishes the open stream and is not ready") {
    edge_fixture fixture;
    fixture.ask_until_served();
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":150})");
    }
    test_exchange open(fixture.hosts[0]->callers, http::verb::post, "/ask/1", "prompt",
                       edge_fixture::headers("s", true));
    REQUIRE(open.read_until("id: 0"));
    fixture.hosts[0]->process->send(SIGTERM);
    fixture.hosts[0]->process->read_until("event=stopping");
    CHECK(fetch(fixture.hosts[0]->readiness, http::verb::get, "/readiness").status == 503);
    const auto answer = open.finish();
    CHECK(answer.is_complete);
    CHECK(ids_of(answer.body) == complete_stream_ids());
    CHECK(fixture.hosts[0]->process->wait() == 0);
}

TEST_CASE("edge: a host continues to serve when nobody reads its log") {
    edge_fixture fixture;
    fixture.hosts[0]->wait_until_ready();
    const auto& port = fixture.hosts[0]->callers;
    // Several thousand lines, far more than the pipe and the log queue hold.
    constexpr int calls = 6'000;
    for (int i = 0; i < calls; ++i) {
        REQUIRE(fetch(port, http::verb::get, "/none/1", "", edge_fixture::headers("n")).status ==
                404);
    }
    // The last call is counted after its answer, by another thread than the one that answers
    // the request for the metrics.
    const std::string counted = "savoryrelay_calls_total{kind=\"none\",endpoint=\"none\","
                                "outcome=\"failed\",reason=\"no_route\"} 6000\n";
    std::string metrics;
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    do {
        metrics = fetch(fixture.hosts[0]->metrics, http::verb::get, "/metrics").body;
    } while (metrics.find(counted) == std::string::npos &&
             std::chrono::steady_clock::now() < limit);
    CHECK_THAT(metrics, Catch::Contains(counted));
}
