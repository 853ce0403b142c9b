// Tests what callers get for answers that an endpoint may send though they promise or prove
// something that is not true: refusals of calls that have run.
#include "edge_fixture.h"
#include "support/kept_connection.h"
#include "support/scripted_endpoint.h"

#include <string>

using namespace savoryrelay::tests;

namespace {

// Answers each call with the head lines in its path: "/look/<status>" with a receipt, and
// "/look/<status>/not-run" with the statement that the call did not run.
std::string scripted_answer(const std::string& head) {
    const auto path_at = head.find("/", head.find("/", head.find(' ')) + 1) + 1;
    const auto path = head.substr(path_at, head.find(' ', path_at) - path_at);
    std::string answer = "HTTP/1.1 " + path.substr(0, 3) + " X\r\nConnection: close\r\n";
    answer += "Attempt-Id: " + field_of(head, "Attempt-Id") + "\r\nServer-Seal: s1\r\n";
    if (path.ends_with("/not-run")) {
        answer += "Not-Executed: 1\r\n";
    }
    const std::string body = "made by the endpoint";
    return answer + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct scripted_fixture : edge_fixture {
    scripted_fixture() {
        write_entry("p1", "orders", endpoint.port, "");
        hosts[0]->wait_until_ready();
        while (call("/look/200").status != 200) { // the host does not know the endpoint yet
        }
    }

    kept_answer call(const std::string& path) {
        kept_connection caller(hosts[0]->callers);
        return caller.fetch(http::verb::post, path, "booking",
                            headers("s" + std::to_string(m_calls++)));
    }

    scripted_endpoint endpoint{scripted_answer};

private:
    int m_calls = 0;
};

} // namespace

TEST_CASE("edge: a call that an endpoint has run is not answered as one that has not run") {
    // Guards against an endpoint's own 503 after a booking, upon which the caller books again.
    scripted_fixture fixture;
    for (const std::string status : {"408", "429", "503"}) {
        for (const std::string route : {"/book/", "/look/", "/feed/"}) {
            CAPTURE(route, status);
            const auto runs_before = fixture.endpoint.requests.load();
            const auto answer = fixture.call(route + status);
            CHECK(fixture.endpoint.requests == runs_before + 1);
            CHECK(answer.status == 502);
            CHECK(answer.seal.empty());
            CHECK(answer.retry_after.empty());
        }
    }
}

TEST_CASE("edge: other failures of an endpoint and its refusals reach the caller as they are") {
    scripted_fixture fixture;
    for (const std::string status : {"404", "500", "504"}) {
        CAPTURE(status);
        const auto answer = fixture.call("/book/" + status);
        CHECK(std::to_string(answer.status) == status);
        CHECK(answer.seal == "s1");
        CHECK(answer.body == "made by the endpoint");
    }
    for (const std::string status : {"400", "421", "429", "503"}) {
        CAPTURE(status);
        const auto answer = fixture.call("/book/" + status + "/not-run");
        CHECK(answer.status == 503);
        CHECK(answer.seal.empty());
        CHECK_FALSE(answer.retry_after.empty());
    }
}
