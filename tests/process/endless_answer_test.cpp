// Tests answers without a length: those of a faulty endpoint that never end (heads and
// bodies without end, streams that make no progress), and those that end with the
// connection. The caller gets a truthful end in time.
#include "edge_fixture.h"
#include "support/kept_connection.h"

#include <atomic>
#include <chrono>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// An endpoint whose answer depends on the last part of the path. Writes until the relay
// closes the connection.
class faulty_endpoint {
public:
    faulty_endpoint() {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 16) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] { serve(); });
    }
    faulty_endpoint(const faulty_endpoint&) = delete;
    faulty_endpoint& operator=(const faulty_endpoint&) = delete;
    ~faulty_endpoint() {
        m_is_stopping = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    std::string port;
    std::atomic<int> closed_by_relay{0};

private:
    void serve() {
        while (!m_is_stopping) {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            if (connection >= 0) {
                answer(connection);
                ::close(connection);
            }
        }
    }

    static bool send_text(int connection, const std::string& text) {
        return ::send(connection, text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
    }

    static bool is_closed(int connection) {
        char byte = 0;
        return ::recv(connection, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    void answer(int connection) {
        std::string request;
        char byte = 0;
        while (request.find("\r\n\r\n") == std::string::npos) {
            if (::recv(connection, &byte, 1, 0) != 1) {
                return;
            }
            request += byte;
        }
        const auto has = [&](const std::string& text) {
            return request.find(text) != std::string::npos;
        };
        const auto id_at = request.find("Attempt-Id: ") + 12;
        const auto id = request.substr(id_at, request.find("\r\n", id_at) - id_at);
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n";
        const std::string stream_head = head + "Content-Type: text/event-stream\r\n\r\n";
        std::string first = head;
        std::string filler = "X-Filler: 0123456789\r\n";
        auto pause = 0ms;
        if (request.starts_with("HEAD ")) {
            first = head + "Content-Length: 100\r\n\r\n";
            filler = "";
            pause = 10ms;
        } else if (has("/body ")) {
            first = head + "\r\n";
            filler = std::string(64 * 1024, 'x');
        } else if (has("/trickle ")) {
            first = stream_head + "id: 0\ndata: x\n\n";
            filler = ":";
            pause = 100ms;
        } else if (has("/slow-trickle ")) {
            first = stream_head + "id: 0\ndata: x\n\n";
            filler = ":";
            pause = 250ms;
        } else if (has("/repeats ")) {
            first = stream_head;
            filler = "id: 0\ndata: x\n\n";
            pause = 1ms;
        } else if (has("/paragraphs ")) {
            first = stream_head;
            filler.clear();
            for (int line = 0; line < 1'000; ++line) {
                filler += "a line of a log file\n\n";
            }
        } else if (has("/late-paragraphs ")) {
            first = stream_head + "id: 0\ndata: x\n\n";
            filler = "a line of a log file\n\n";
        } else if (has("/data ")) {
            first = stream_head;
            filler.clear();
            for (int event = 0; event < 1'000; ++event) {
                filler += "data: x\n\n";
            }
        } else if (has("/comments ")) {
            first = stream_head + "id: 0\ndata: x\n\n";
            filler = ": alive\n\n";
            pause = 20ms;
        } else if (has("/unframed ")) {
            send_text(connection, stream_head + "id: 0\ndata: x\n\nid: 1\ndata: y\n\n");
            return;
        } else if (has("/halves ")) {
            send_text(connection, stream_head + "id: 0\ndata: x\n\n");
            std::this_thread::sleep_for(700ms);
            send_text(connection, "id: 1\nda");
            std::this_thread::sleep_for(50ms);
            send_text(connection, "ta: y\n\n");
            return;
        } else if (has("/pieces ")) {
            send_text(connection, stream_head + "id: 0\ndata: x\n\n");
            std::this_thread::sleep_for(50ms);
            send_text(connection, "id: 1\nda");
            std::this_thread::sleep_for(900ms);
            send_text(connection, "ta: ");
            std::this_thread::sleep_for(50ms);
            send_text(connection, "y\n\n");
            return;
        } else if (has("/torn ")) {
            send_text(connection, stream_head + "id: 0\ndata: x\n\nid: 1\nda");
            return;
        } else if (has("/unframed-body ")) {
            send_text(connection, head + "\r\nthe whole body");
            return;
        } else if (has("/slow-body ")) {
            first = head + "\r\n";
            filler = "x";
            pause = 20ms;
        }
        bool is_open = send_text(connection, first);
        while (is_open && !m_is_stopping) {
            std::this_thread::sleep_for(pause);
            is_open = send_text(connection, filler) && !is_closed(connection);
        }
        closed_by_relay += is_open ? 0 : 1;
    }

    int m_listener = -1;
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
};

struct faulty_fixture : edge_fixture {
    faulty_fixture() {
        write_entry("p1", "orders", faulty.port, "");
        hosts[0]->wait_until_ready();
    }

    /// Sends a call until the faulty endpoint has got it, and returns the time that the
    /// answer took.
    test_clock::duration call(const std::string& path, test_answer& answer) {
        const auto closed_before = faulty.closed_by_relay.load();
        while (true) {
            const auto started = test_clock::now();
            auto headers = edge_fixture::headers("e" + std::to_string(m_calls++));
            headers[3].second = "2000";
            answer = fetch(hosts[0]->callers, http::verb::get, path, "", headers);
            const auto took = test_clock::now() - started;
            // 503: the host does not know the endpoint yet, or avoids it.
            if (answer.status != 503) {
                // The endpoint notices the close with one of its next writes.
                const auto limit = test_clock::now() + 1s;
                while (faulty.closed_by_relay == closed_before && test_clock::now() < limit) {
                    std::this_thread::sleep_for(5ms);
                }
                CHECK(faulty.closed_by_relay > closed_before);
                return took;
            }
        }
    }

    faulty_endpoint faulty;

private:
    int m_calls = 0;
};

} // namespace

TEST_CASE("edge: an answer whose head or body has no end is refused in time") {
    faulty_fixture fixture;
    test_answer answer;
    for (const std::string path : {"/look/head", "/look/body", "/look/slow-body"}) {
        INFO(path);
        CHECK(fixture.call(path, answer) < 2'500ms);
        CHECK((answer.status == 502 || answer.status == 504));
    }
}

TEST_CASE("edge: a stream that makes no progress ends before its deadline") {
    faulty_fixture fixture;
    test_answer answer;
    // One event, then a byte now and then that completes no event.
    CHECK(fixture.call("/feed/trickle", answer) < 1'500ms);
    CHECK_FALSE(answer.is_complete);
    // Bytes with silences between them end the stream at its deadline.
    CHECK(fixture.call("/feed/slow-trickle", answer) < 2'500ms);
    CHECK_FALSE(answer.is_complete);
    // The same event again and again.
    CHECK(fixture.call("/feed/repeats", answer) < 1'500ms);
    CHECK_FALSE(answer.is_complete);
}

TEST_CASE("edge: a stream of bytes without end ends in time and reaches no caller") {
    // Guards against blank lines that are taken for events, and events that hide the deadline.
    faulty_fixture fixture;
    test_answer answer;
    CHECK(fixture.call("/feed/paragraphs", answer) < 1'500ms);
    CHECK(answer.status == 502);
    CHECK(fixture.call("/feed/late-paragraphs", answer) < 1'500ms);
    CHECK_FALSE(answer.is_complete);
    CHECK(answer.body == "id: 0\ndata: x\n\n");
    // Events, or comments that keep the connection alive, last until the deadline.
    CHECK(fixture.call("/feed/data", answer) < 2'500ms);
    CHECK_FALSE(answer.is_complete);
    CHECK(fixture.call("/feed/comments", answer) < 2'500ms);
    CHECK_FALSE(answer.is_complete);
}

TEST_CASE("edge: an answer to HEAD is not awaited until its deadline for a body") {
    faulty_fixture fixture;
    for (const std::string path : {"/look/1", "/feed/1"}) {
        INFO(path);
        kept_connection caller(fixture.hosts[0]->callers);
        kept_answer answer;
        auto started = test_clock::now();
        int number = 0;
        while (answer.status == 0 || answer.status == 503) { // the endpoint is not known yet
            started = test_clock::now();
            answer = caller.fetch(http::verb::head, path, "",
                                  edge_fixture::headers("h" + std::to_string(number++)));
        }
        CHECK(test_clock::now() - started < 1s);
        CHECK(answer.status == 200);
        CHECK(answer.is_complete);
    }
}

TEST_CASE("edge: an answer that ends with its connection is complete, a torn event is not") {
    faulty_fixture fixture;
    int number = 0;
    const auto ask = [&](const std::string& path) {
        test_answer answer;
        answer.status = 503;
        while (answer.status == 503) { // the host does not know the endpoint yet, or avoids it
            answer = fetch(fixture.hosts[0]->callers, http::verb::get, path, "",
                           edge_fixture::headers("u" + std::to_string(number++)));
        }
        return answer;
    };
    const auto body = ask("/look/unframed-body");
    CHECK(body.is_complete);
    CHECK(body.body == "the whole body");
    const auto stream = ask("/feed/unframed");
    CHECK(stream.is_complete);
    CHECK(stream.body == "id: 0\ndata: x\n\nid: 1\ndata: y\n\n");
    // The second event arrives in two halves, after a pause beyond the limit of the route.
    const auto halves = ask("/feed/halves");
    CHECK(halves.is_complete);
    CHECK(halves.body == stream.body);
    const auto torn = ask("/feed/torn");
    CHECK_FALSE(torn.is_complete);
    CHECK(torn.body == "id: 0\ndata: x\n\n");
}

TEST_CASE(
    "edge: a stream that falls silent within an event is not cut when the rest comes in pieces") {
    faulty_fixture fixture;
    test_answer answer;
    answer.status = 503;
    for (int number = 0; answer.status == 503; ++number) { // the host does not know the endpoint
        answer = fetch(fixture.hosts[0]->callers, http::verb::get, "/feed/pieces", "",
                       edge_fixture::headers("p" + std::to_string(number)));
    }
    CHECK(answer.is_complete);
    CHECK(answer.body == "id: 0\ndata: x\n\nid: 1\ndata: y\n\n");
}
