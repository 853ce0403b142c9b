// Tests what callers get for answers of an endpoint that must not reach them: refusals of calls
// that have run, and successes without a receipt or with another body.
#include "edge_fixture.h"
#include "support/kept_connection.h"
#include "support/scripted_endpoint.h"

#include <algorithm>
#include <map>
#include <string>

using namespace savoryrelay::tests;

namespace {

// Header fields in place of the receipt, by the end of the path.
const std::map<std::string, std::string> spoilt_heads{
    {"none", ""},
    {"spoilt", "Server-Seam: s1\r\n"},
    {"empty", "Server-Seal: \r\n"},
    {"two", "Server-Seal: s1\r\nServer-Seal: s2\r\n"},
    {"encoded", "Server-Seal: s1\r\nContent-Encoding: gzip\r\n"},
};

// Answers each call by its path: "/look/<status>" with a receipt, "/look/<status>/not-run" also
// with the statement that the call did not run, and others with what `spoilt_heads` lists.
std::string scripted_answer(const std::string& head) {
    const auto path_at = head.find("/", head.find("/", head.find(' ')) + 1) + 1;
    const auto path = head.substr(path_at, head.find(' ', path_at) - path_at);
    std::string answer = "HTTP/1.1 " + path.substr(0, 3) + " X\r\nConnection: close\r\n";
    answer += "Attempt-Id: " + field_of(head, "Attempt-Id") + "\r\n";
    const auto spoilt = spoilt_heads.find(path.substr(std::min<std::size_t>(path.size(), 4)));
    answer += spoilt == spoilt_heads.end() ? "Server-Seal: s1\r\n" : spoilt->second;
    if (path.ends_with("/not-run")) {
        answer += "Not-Executed: 1\r\n";
    }
    if (path.starts_with("204")) {
        return answer + "\r\n"; // RFC 9110 section 8.6 forbids a length
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

    kept_answer call(const std::string& path, http::verb method = http::verb::post) {
        kept_connection caller(hosts[0]->callers);
        return caller.fetch(method, path, method == http::verb::post ? "booking" : "",
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

TEST_CASE("edge: a success without the endpoint's receipt or body does not reach the caller") {
    // Guards against a success that does not count, after which no caller asks again.
    scripted_fixture fixture;
    for (const auto& [name, fields] : spoilt_heads) {
        for (const std::string path : {"/book/200/", "/look/200/", "/look/201/", "/feed/200/"}) {
            CAPTURE(path, name);
            const auto answer = fixture.call(path + name);
            CHECK(answer.status == 502);
            CHECK(answer.seal.empty());
        }
        CAPTURE(name);
        CHECK(fixture.call("/look/200/" + name, http::verb::get).status == 502);
        CHECK(fixture.call("/look/204/" + name, http::verb::head).status == 502);
    }
}
