// Tests that answers which break the grammar or the framing rules of HTTP/1.1 reach no caller of
// an entry host, neither as they are nor in part.
#include "edge_fixture.h"
#include "support/scripted_endpoint.h"

#include <boost/asio/read.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace savoryrelay::tests;

namespace {

using test_clock = std::chrono::steady_clock;

// What no caller may receive: the body, and the value of a faulty field line.
const std::string endpoint_body = "made by the endpoint";
const std::string leak_mark = "leaked";

// A status line, and field lines in place of the length.
struct malformed_answer {
    std::string status;
    std::string lines;
};

const std::string length_line = "Content-Length: " + std::to_string(endpoint_body.size()) + "\r\n";
// The chunk that the codings below announce is the endpoint's body.
const std::string chunked_body = "14\r\n" + endpoint_body + "\r\n0\r\n\r\n";

using answer_table = std::map<std::string, malformed_answer>;

const answer_table impossible_statuses{
    {"status-000", {"000", length_line}},
    {"status-099", {"099", length_line}},
    {"status-600", {"600", length_line}},
    {"status-999", {"999", length_line}},
};

const answer_table malformed_lines{
    {"blank-in-name", {"200", "X Note: leaked\r\n" + length_line}},
    {"tab-in-name", {"200", "X\tNote: leaked\r\n" + length_line}},
    {"control-byte-in-name", {"200", "X\x01Note: leaked\r\n" + length_line}},
    {"blank-before-colon", {"200", "X-Note : leaked\r\n" + length_line}},
    {"folded-line", {"200", "X-Note: a\r\n leaked\r\n" + length_line}},
    {"control-byte-in-value", {"200", "X-Note: leaked\x01\r\n" + length_line}},
};

const answer_table contradictory_framings{
    {"unknown-coding", {"200", "Transfer-Encoding: br\r\n"}},
    {"chunked-not-last", {"200", "Transfer-Encoding: chunked, gzip\r\n"}},
    {"chunked-behind-another", {"200", "Transfer-Encoding: gzip, chunked\r\n"}},
    {"coding-and-length", {"200", "Transfer-Encoding: br\r\n" + length_line}},
    {"two-lengths", {"200", length_line + "Content-Length: 4\r\n"}},
    {"two-lengths-in-one", {"200", "Content-Length: 20, 4\r\n"}},
};

// Answers each call with the form that the last part of its path names, with a receipt.
std::string scripted_answer(const std::string& head) {
    const auto path = head.substr(0, head.find(" HTTP/"));
    const auto name = path.substr(path.rfind('/') + 1);
    malformed_answer form{"200", length_line};
    for (const auto* table : {&impossible_statuses, &malformed_lines, &contradictory_framings}) {
        const auto found = table->find(name);
        form = found == table->end() ? form : found->second;
    }
    const bool is_chunked = form.lines.find("chunked") != std::string::npos;
    return "HTTP/1.1 " + form.status +
           " X\r\nConnection: close\r\nAttempt-Id: " + field_of(head, "Attempt-Id") +
           "\r\nServer-Seal: s1\r\n" + form.lines + "\r\n" +
           (is_chunked ? chunked_body : endpoint_body);
}

// Sends a request and returns all bytes of its answer.
std::string fetch_bytes(const std::string& port, const std::string& path, const std::string& id) {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                 static_cast<std::uint16_t>(std::stoi(port))));
    std::string request = "POST " + path + " HTTP/1.1\r\nConnection: close\r\n";
    for (const auto& [name, value] : edge_fixture::headers(id)) {
        request += name + ": " + value + "\r\n";
    }
    request += "Content-Length: 7\r\n\r\nbooking";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
    return answer;
}

struct malformed_fixture : edge_fixture {
    malformed_fixture() : edge_fixture(1, 0) {
        write_entry("p1", "orders", endpoint.port, "");
        hosts[0]->wait_until_ready();
    }

    /// Calls until the endpoint has run the call. The host avoids the endpoint for some time
    /// after a failure, and does not know it at first.
    std::string call(const std::string& path) {
        const auto limit = test_clock::now() + std::chrono::seconds(10);
        const int runs_before = endpoint.requests;
        std::string answer;
        while (endpoint.requests == runs_before) {
            REQUIRE(test_clock::now() < limit);
            answer = fetch_bytes(hosts[0]->callers, path, "s" + std::to_string(m_calls++));
        }
        return answer;
    }

    /// Calls each form on each kind of route. Returns how many answers were not the host's own.
    int count_relayed(const answer_table& forms) {
        int relayed = 0;
        for (const auto& [name, form] : forms) {
            for (const std::string route : {"/book/", "/look/", "/feed/"}) {
                const auto answer = call(route + name);
                CAPTURE(route, name, answer);
                const auto holds = [&](const std::string& text) {
                    return answer.find(text) != std::string::npos;
                };
                const bool is_own = answer.starts_with("HTTP/1.1 502 ") && !holds(endpoint_body) &&
                                    !holds(leak_mark) && !holds("Server-Seal");
                CHECK(is_own);
                relayed += is_own ? 0 : 1;
            }
        }
        return relayed;
    }

    scripted_endpoint endpoint{scripted_answer};

private:
    int m_calls = 0;
};

} // namespace

TEST_CASE("edge: an answer with an impossible status does not reach the caller") {
    // Guards against a status such as 000, which no caller can interpret.
    malformed_fixture fixture;
    CHECK(fixture.count_relayed(impossible_statuses) == 0);
    const auto line = fixture.hosts[0]->process->read_until("event=attempt_failed");
    CHECK(line.find("outcome=lost") != std::string::npos);
    CHECK(line.find("no answer: status_out_of_range") != std::string::npos);
}

TEST_CASE("edge: an answer with a malformed field line does not reach the caller") {
    // Guards against a line that the caller's client reads as other fields or as a part of the
    // body.
    malformed_fixture fixture;
    CHECK(fixture.count_relayed(malformed_lines) == 0);
}

TEST_CASE("edge: an answer with contradictory framing does not reach the caller") {
    // Guards against a body that ends elsewhere than the endpoint's.
    malformed_fixture fixture;
    CHECK(fixture.count_relayed(contradictory_framings) == 0);
}

TEST_CASE("edge: an answer without a fault reaches the caller beside malformed ones") {
    malformed_fixture fixture;
    for (const std::string route : {"/book/", "/look/"}) {
        const auto answer = fixture.call(route + "sound");
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        CHECK(answer.ends_with(endpoint_body));
    }
}
