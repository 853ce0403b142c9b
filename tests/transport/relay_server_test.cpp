// Tests the opening of tunnels between hosts: requests, refusals and limits.
#include "support/relay_fixture.h"

#include "savoryrelay/coordination/memory/memory_account.h"

#include <netinet/in.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>
#include <list>
#include <tuple>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

/// Returns the number of open descriptors of the process.
std::size_t open_descriptors() {
    const std::filesystem::directory_iterator files("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Listens, and leaves connects without an answer, as an endpoint that can't be reached.
class silent_address {
public:
    silent_address() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 0) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = ntohs(address.sin_port);
        // The kernel drops the requests of connections for which the backlog has no room.
        constexpr int fillers = 4;
        for (int i = 0; i < fillers; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(socket, reinterpret_cast<sockaddr*>(&address), size));
            m_sockets.push_back(socket);
        }
    }
    silent_address(const silent_address&) = delete;
    silent_address& operator=(const silent_address&) = delete;
    ~silent_address() {
        for (const int socket : m_sockets) {
            ::close(socket);
        }
        ::close(m_listener);
    }

    std::uint16_t port = 0;

private:
    int m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    std::vector<int> m_sockets;
};

} // namespace

TEST_CASE("a tunnel carries bytes both ways", "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    CHECK(fixture.server.open_tunnels() == 1);
    REQUIRE(fixture.connects().size() == 1);
    CHECK_FALSE(fixture.connects().front());
    for (const std::string text : {"first", "second", "relay 1 i-1 5\n"}) {
        asking.send(text);
        CHECK(reached.receive(text.size()) == text);
        reached.send(text + text);
        CHECK(asking.receive(2 * text.size()) == text + text);
    }
    asking.close();
    CHECK(reached.receive_all().empty());
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a request in single bytes opens a tunnel", "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    asking.socket().set_option(boost::asio::ip::tcp::no_delay(true));
    for (const char byte : fixture.line) {
        asking.send(std::string(1, byte));
    }
    CHECK(asking.receive(fixture.connected.size()) == fixture.connected);
}

TEST_CASE("a request that the host refuses ends with the reply", "[transport][relay]") {
    relay_fixture fixture;
    CHECK(fixture.answer_to("relay 1 i-2 5\n") == "unknown_endpoint\n");
    CHECK(fixture.answer_to("relay 1 i-1 6\n") == "unknown_endpoint\n");
    fixture.set_route(protocol::relay_reply::cut_off);
    CHECK(fixture.answer_to(fixture.line) == "cut_off\n");
    CHECK(fixture.connects().empty());
    CHECK_FALSE(fixture.endpoint.has_connection());
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a request that is malformed or too long is refused", "[transport][relay]") {
    relay_fixture fixture;
    for (const std::string& text :
         {std::string("\n"), std::string("GET / HTTP/1.1\r\n\r\n"), std::string("relay 2 i-1 5\n"),
          fixture.line + "x", std::string(protocol::max_relay_line_bytes, 'x'),
          std::string(100'000, 'x')}) {
        CHECK(fixture.answer_to(text) == "malformed\n");
    }
    CHECK(fixture.connects().empty());
    CHECK_FALSE(fixture.endpoint.has_connection());
    CHECK(fixture.becomes_empty());
}

TEST_CASE("an endpoint that refuses the connect or does not answer it is unreachable",
          "[transport][relay]") {
    auto limits = patient_limits();
    limits.connect_timeout = 250ms;
    relay_fixture fixture(limits);
    std::uint16_t closed_port = 0;
    {
        const raw_listener ended;
        closed_port = ended.port();
    }
    fixture.route_to(closed_port);
    CHECK(fixture.answer_to(fixture.line) == "unreachable\n");
    REQUIRE(fixture.connects().size() == 1);
    CHECK(fixture.connects().back() == boost::asio::error::connection_refused);

    const silent_address silent;
    fixture.route_to(silent.port);
    CHECK(fixture.answer_to(fixture.line) == "unreachable\n");
    REQUIRE(fixture.connects().size() == 2);
    CHECK(fixture.connects().back() == boost::asio::error::operation_aborted);

    fixture.set_route(state::member_address{"no address", 1});
    CHECK(fixture.answer_to(fixture.line) == "unreachable\n");
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a connection without a line ends after its time limit", "[transport][relay]") {
    auto limits = patient_limits();
    limits.line_timeout = 50ms;
    relay_fixture fixture(limits);
    for (const std::string part : {"", "relay 1 i-"}) {
        CHECK(fixture.answer_to(part).empty());
    }
    CHECK(fixture.connects().empty());
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a request whose host has gone opens no tunnel", "[transport][relay]") {
    relay_fixture fixture;
    fixture.block();
    {
        raw_socket asking(fixture.server.port());
        asking.send(fixture.line);
    }
    fixture.unblock();
    CHECK(fixture.answer_to("\n") == "malformed\n"); // accepted after the other
    CHECK(fixture.becomes_empty());
    if (fixture.endpoint.has_connection()) {
        raw_socket reached;
        fixture.endpoint.accept(reached);
        CHECK(reached.receive_all().empty());
    }
}

TEST_CASE("many tunnels are apart, and give back their descriptors", "[transport][relay]") {
    constexpr int count = 100;
    relay_fixture fixture(patient_limits(), nullptr, 2);
    // The threads open descriptors of their own with their first sockets.
    for (int i = 0; i < 2; ++i) {
        raw_socket asking(fixture.server.port());
        raw_socket reached;
        fixture.open(asking, reached);
    }
    CHECK(fixture.becomes_empty());
    const auto descriptors_before = open_descriptors();
    std::list<std::pair<raw_socket, raw_socket>> tunnels;
    for (int i = 0; i < count; ++i) {
        auto& [asking, reached] = tunnels.emplace_back(std::piecewise_construct,
                                                       std::forward_as_tuple(fixture.server.port()),
                                                       std::forward_as_tuple());
        fixture.open(asking, reached);
    }
    CHECK(fixture.server.open_tunnels() == count);
    int number = 0;
    for (auto& [asking, reached] : tunnels) {
        asking.send("request " + std::to_string(number));
        reached.send("answer " + std::to_string(number++));
    }
    number = 0;
    for (auto& [asking, reached] : tunnels) {
        const auto request = "request " + std::to_string(number);
        const auto answer = "answer " + std::to_string(number++);
        CHECK(reached.receive(request.size()) == request);
        CHECK(asking.receive(answer.size()) == answer);
    }
    tunnels.clear();
    CHECK(fixture.becomes_empty());
    eventually([&] { return open_descriptors() <= descriptors_before; });
    CHECK(open_descriptors() <= descriptors_before);
}

TEST_CASE("a host with as many tunnels as it may have refuses further ones", "[transport][relay]") {
    auto limits = patient_limits();
    limits.max_tunnels = 2;
    relay_fixture fixture(limits);
    raw_socket first(fixture.server.port());
    raw_socket second(fixture.server.port());
    raw_socket reached_first;
    raw_socket reached_second;
    fixture.open(first, reached_first);
    fixture.open(second, reached_second);
    CHECK(fixture.answer_to(fixture.line) == "overloaded\n");
    CHECK(fixture.connects().size() == 2);

    first.close();
    CHECK(eventually([&] {
        raw_socket third(fixture.server.port());
        third.send(fixture.line);
        return third.receive(fixture.connected.size()) == fixture.connected;
    }));
}

TEST_CASE("a host without memory refuses tunnels until others have ended", "[transport][relay]") {
    coordination::account_limits memory;
    memory.budget_bytes = 60'000; // enough for one tunnel
    coordination::memory_account account(memory);
    relay_fixture fixture(patient_limits(), &account);
    {
        raw_socket asking(fixture.server.port());
        raw_socket reached;
        fixture.open(asking, reached);
        CHECK(account.connections(coordination::listener::peers) == 1);
        CHECK(fixture.answer_to(fixture.line) == "overloaded\n");
        asking.send("still open");
        CHECK(reached.receive(10) == "still open");
    }
    CHECK(fixture.becomes_empty());
    CHECK(eventually([&] { return account.held_bytes() == 0; }));
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
}

TEST_CASE("a server that stops keeps open tunnels and ends the others", "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    raw_socket waiting(fixture.server.port());
    CHECK(eventually([&] { return fixture.server.open_tunnels() == 2; }));

    fixture.server.stop_accepting();
    CHECK(waiting.receive_all().empty());
    CHECK(waiting.end() == stream_end::end);
    CHECK(eventually([&] { return fixture.server.open_tunnels() == 1; }));
    asking.send("request");
    CHECK(reached.receive(7) == "request");
    reached.send("answer");
    CHECK(asking.receive(6) == "answer");
    CHECK_THROWS(raw_socket(fixture.server.port()));
    asking.close();
    CHECK(fixture.becomes_empty());
}

TEST_CASE("as many tunnels as descriptors are lent for open, and the next are refused",
          "[transport][relay]") {
    // Guards against tunnels that are closed without a reply.
    constexpr std::size_t max_tunnels = 8;
    constexpr std::size_t max_connections = 10;
    coordination::account_limits machine;
    machine.connections.at(static_cast<std::size_t>(coordination::listener::peers)) =
        max_connections;
    coordination::memory_account account(machine);
    auto limits = patient_limits();
    limits.max_tunnels = max_tunnels;
    relay_fixture fixture(limits, &account);
    std::vector<std::unique_ptr<raw_socket>> open;
    for (std::size_t i = 0; i < max_tunnels; ++i) {
        open.push_back(std::make_unique<raw_socket>(fixture.server.port()));
        open.back()->send(fixture.line);
        CHECK(open.back()->receive(fixture.connected.size()) == fixture.connected);
    }
    CHECK(fixture.answer_to(fixture.line) == "overloaded\n");
    open.front()->send("still open");
}

TEST_CASE("a relay explains a connect that failed", "[transport][relay]") {
    // Guards against the fault of a relay that is cut off itself, taken for the endpoint's.
    for (const auto reply : {protocol::relay_reply::cut_off, protocol::relay_reply::unreachable}) {
        transport::io_threads threads{1};
        std::uint16_t closed_port = 0;
        {
            const raw_listener ended;
            closed_port = ended.port();
        }
        transport::relay_hooks hooks;
        hooks.find_route = [&](const state::endpoint_id&, std::uint64_t) {
            return transport::relay_route(state::member_address{"127.0.0.1", closed_port});
        };
        hooks.explain_failure =
            [reply](const state::endpoint_id&) -> boost::asio::awaitable<protocol::relay_reply> {
            co_return reply;
        };
        transport::relay_server server(threads, "127.0.0.1", 0, std::move(hooks), nullptr);
        raw_socket asking(server.port());
        asking.send("relay 1 i-1 5\n");
        CHECK(asking.receive_all() == protocol::encode_relay_reply(reply));
        server.stop_accepting();
        threads.stop();
    }
}
