// Tests crowds of clients that don't behave: bodies that stop short of their end, heads of many
// fields, unread answers, idle connections. The process lives, its memory and descriptors stay
// under the limits of its machine, and an ordinary call is answered beside the crowd.
#include "edge_fixture.h"
#include "support/client_crowd.h"

#include <atomic>
#include <list>
#include <thread>

using namespace savoryrelay::tests;

namespace {

constexpr int machine_memory_mb = 96;
constexpr double max_peak_mb = 90;
constexpr std::size_t max_descriptors = 300;
constexpr std::size_t max_body_bytes = 1024 * 1024;
constexpr std::size_t body_crowd = 160; // of `max_body_bytes` each
constexpr std::size_t head_crowd = 600;
constexpr std::size_t answer_crowd = 60;
constexpr std::size_t answer_bytes = 4 * 1024 * 1024;
constexpr std::size_t piece_bytes = 16 * 1024;

/// An endpoint that answers each request with `answer_bytes`.
class large_answer_endpoint {
public:
    large_answer_endpoint() {
        m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 256) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = std::to_string(ntohs(address.sin_port));
        m_acceptor = std::thread([this] {
            for (int connection = 0; connection >= 0;) {
                connection = ::accept(m_listener, nullptr, nullptr);
                if (connection >= 0) {
                    m_open.push_back(connection);
                    m_threads.emplace_back([connection] { answer(connection); });
                }
            }
        });
    }
    large_answer_endpoint(const large_answer_endpoint&) = delete;
    large_answer_endpoint& operator=(const large_answer_endpoint&) = delete;
    ~large_answer_endpoint() {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (const int connection : m_open) {
            ::shutdown(connection, SHUT_RDWR);
        }
        for (auto& thread : m_threads) {
            thread.join();
        }
        for (const int connection : m_open) {
            ::close(connection);
        }
        ::close(m_listener);
    }

    std::string port;

private:
    static void answer(int connection) {
        std::string request;
        char byte = 0;
        while (::recv(connection, &byte, 1, 0) == 1) {
            request += byte;
            if (!request.ends_with("\r\n\r\n")) {
                continue;
            }
            const auto id_at = request.find("Attempt-Id: ") + 12;
            const auto text = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: " +
                              request.substr(id_at, request.find("\r\n", id_at) - id_at) +
                              "\r\nContent-Length: " + std::to_string(answer_bytes) + "\r\n\r\n" +
                              std::string(answer_bytes, 'x');
            request.clear();
            for (std::size_t sent = 0; sent < text.size();) {
                const auto size =
                    ::send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
                if (size <= 0) {
                    return;
                }
                sent += static_cast<std::size_t>(size);
            }
        }
    }

    int m_listener = -1;
    std::vector<int> m_open;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Where a crowd sends its requests.
struct crowd_target {
    std::string name; ///< "callers", "readiness", "metrics" or "peers"
    std::string path;
    std::string key = "k1";
};

const std::vector<crowd_target> all_targets{
    {"callers", "/look/1"},      {"callers", "/none/1"},  {"callers", "/look/1", "unknown"},
    {"readiness", "/readiness"}, {"metrics", "/metrics"}, {"peers", "/table"}};

/// An entry host on a small machine.
struct crowd_fixture : edge_fixture {
    explicit crowd_fixture(const std::string& limits) : edge_fixture(0, 0) {
        configuration_limits = R"({"max_body_bytes":)" + std::to_string(max_body_bytes) + "}";
        extra_settings = "limits: {" + limits + "}\n";
        write_configuration(2);
        add_host("edge-0");
        hosts[0]->wait_until_ready();
        check_ordinary_call(); // the host knows the endpoint
    }

    [[nodiscard]] client_crowd crowd_at(const crowd_target& target, std::size_t count) const {
        const auto& host = *hosts[0];
        return target.name == "callers"     ? client_crowd("127.0.0.1", host.callers, count)
               : target.name == "readiness" ? client_crowd("127.0.0.1", host.readiness, count)
               : target.name == "metrics"   ? client_crowd("127.0.0.1", host.metrics, count)
                                            : client_crowd(host.peer_address, peer_port, count);
    }

    /// Sends calls until one is answered, and checks readiness.
    void check_ordinary_call() {
        unsigned status = 0;
        for (int i = 0; i < 2'000 && status != 200; ++i) {
            status = fetch(hosts[0]->callers, http::verb::get, "/look/1", "",
                           headers("o" + std::to_string(m_calls++)))
                         .status;
        }
        CHECK(status == 200);
        CHECK(fetch(hosts[0]->readiness, http::verb::get, "/readiness").status == 200);
    }

    void check_process() {
        check_ordinary_call();
        REQUIRE_FALSE(hosts[0]->process->has_ended());
        CHECK(peak_memory_mb(hosts[0]->process->id()) < max_peak_mb);
    }

private:
    int m_calls = 0;
};

const std::string memory_limit = "memory_mb: " + std::to_string(machine_memory_mb);
const std::string descriptor_limit = "max_fds: " + std::to_string(max_descriptors);

std::string head_of(const crowd_target& target, const std::string& fields) {
    return "POST " + target.path +
           " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: c1\r\nKey: " + target.key +
           "\r\nDeadline-Ms: 5000\r\n" + fields + "\r\n";
}

/// A body of legal size in one piece, without its last byte.
std::string unfinished_body(const crowd_target& target) {
    return head_of(target, "Content-Length: " + std::to_string(max_body_bytes) + "\r\n") +
           std::string(max_body_bytes - 1, 'x');
}

void check_body_crowd(const std::function<std::string(const crowd_target&)>& bytes_for,
                      std::size_t piece, std::size_t count = body_crowd) {
    for (const auto& target : all_targets) {
        INFO(target.name << " " << target.path << " key " << target.key);
        crowd_fixture fixture(memory_limit);
        auto crowd = fixture.crowd_at(target, count);
        crowd.send(bytes_for(target), piece);
        fixture.check_process();
    }
}

std::string chunk_of(std::size_t size) {
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return text.str();
}

} // namespace

TEST_CASE("edge: bodies in one piece that stop short of their end") {
    check_body_crowd(unfinished_body, std::string::npos);
}

TEST_CASE("edge: bodies in small pieces that stop short of their end") {
    check_body_crowd(unfinished_body, piece_bytes);
}

TEST_CASE("edge: bodies in chunks that stop short of their end") {
    check_body_crowd(
        [](const crowd_target& target) {
            constexpr std::size_t small_chunks = 100'000;
            std::string bytes = head_of(target, "Transfer-Encoding: chunked\r\n");
            for (std::size_t i = 0; i < small_chunks; ++i) {
                bytes += chunk_of(1);
            }
            return bytes + chunk_of(max_body_bytes - small_chunks - 1);
        },
        piece_bytes);
}

TEST_CASE("edge: bodies that come slowly and stop half-way") {
    for (const auto& target : all_targets) {
        INFO(target.name << " " << target.path << " key " << target.key);
        crowd_fixture fixture(memory_limit);
        auto crowd = fixture.crowd_at(target, 2 * body_crowd);
        crowd.send(unfinished_body(target).substr(0, max_body_bytes / 2), piece_bytes);
        for (int i = 0; i < 20; ++i) {
            crowd.send("x", 1);
        }
        fixture.check_process();
    }
}

TEST_CASE("edge: bodies far over the limit") {
    check_body_crowd(
        [](const crowd_target& target) {
            constexpr std::size_t size = 4 * max_body_bytes;
            return head_of(target, "Content-Length: " + std::to_string(size) + "\r\n") +
                   std::string(size, 'x');
        },
        piece_bytes);
}

TEST_CASE("edge: bodies in chunks far over the limit") {
    check_body_crowd(
        [](const crowd_target& target) {
            std::string bytes = head_of(target, "Transfer-Encoding: chunked\r\n");
            for (std::size_t i = 0; i < 64; ++i) {
                bytes += chunk_of(4 * max_body_bytes / 64);
            }
            return bytes;
        },
        piece_bytes);
}

TEST_CASE("edge: heads of very many short fields") {
    check_body_crowd(
        [](const crowd_target& target) {
            std::string fields;
            for (int i = 0; i < 2'500; ++i) {
                fields += "a:b\r\n";
            }
            return head_of(target, fields + "Content-Length: 10\r\n") + "x";
        },
        piece_bytes, head_crowd);
}

TEST_CASE("edge: requests sent ahead whose answers stay unread") {
    large_answer_endpoint endpoint;
    crowd_fixture fixture(memory_limit);
    fixture.write_entry("p2", "orders", endpoint.port, "");
    fixture.write_entry("p1", "orders", fixture.plain.port, "", "gone");
    std::size_t received = 0;
    for (int i = 0; i < 2'000 && received != answer_bytes; ++i) {
        received = fetch(fixture.hosts[0]->callers, http::verb::get, "/look/1", "",
                         edge_fixture::headers("l" + std::to_string(i)))
                       .body.size();
    }
    REQUIRE(received == answer_bytes);
    auto crowd = fixture.crowd_at(all_targets[0], answer_crowd);
    std::string requests;
    for (int i = 0; i < 16; ++i) {
        requests += head_of(all_targets[0], "Content-Length: 0\r\n");
    }
    crowd.send(requests, requests.size());
    fixture.check_process();
}

TEST_CASE("edge: idle connections and unfinished heads leave descriptors") {
    for (const auto& target : all_targets) {
        for (const std::string bytes : {"", "POST /look/1 HTTP/1.1\r\nHost: a.ex"}) {
            INFO(target.name << " " << target.path << " with '" << bytes << "'");
            crowd_fixture fixture(descriptor_limit);
            auto crowd = fixture.crowd_at(target, head_crowd);
            crowd.send(bytes, piece_bytes);
            fixture.check_ordinary_call();
            REQUIRE_FALSE(fixture.hosts[0]->process->has_ended());
            CHECK(open_descriptors(fixture.hosts[0]->process->id()) < max_descriptors);
        }
    }
}
