// Tests how a tunnel between hosts passes on bytes, ends and resets, and what it drops.
#include "support/relay_fixture.h"

#include "savoryrelay/transport/relay/pause_detector.h"

#include <random>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t more_than_buffers = 64 * 1024 * 1024; // of the sockets and the tunnel

/// Returns bytes that differ from place to place.
std::string make_bytes(std::size_t size, std::uint32_t seed) {
    std::minstd_rand random(seed);
    std::string bytes(size, '\0');
    std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
    return bytes;
}

/// Sends until the connection has taken no bytes for a while. Returns their number.
std::size_t send_until_blocked(raw_socket& socket, const std::string& bytes) {
    std::size_t sent = 0;
    auto progress_at = std::chrono::steady_clock::now();
    while (sent < bytes.size() && std::chrono::steady_clock::now() - progress_at < 300ms) {
        if (const auto size = socket.send_some(bytes.substr(sent, 64 * 1024)); size > 0) {
            sent += size;
            progress_at = std::chrono::steady_clock::now();
        } else {
            std::this_thread::sleep_for(1ms);
        }
    }
    return sent;
}

} // namespace

TEST_CASE("an end of the endpoint comes after all its bytes", "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    const auto answer = make_bytes(1'000'000, 1);
    std::thread sender([&] {
        reached.send(answer);
        reached.close();
    });
    CHECK(asking.receive_all() == answer);
    CHECK(asking.end() == stream_end::end);
    sender.join();
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a reset of the endpoint is passed on as a reset", "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    asking.send("request");
    CHECK(reached.receive(7) == "request");
    reached.send("part");
    CHECK(asking.receive(4) == "part");
    reached.reset();
    CHECK(asking.receive_all().empty());
    CHECK(asking.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

// Guards against answers without a length that end as whole although their endpoint has reset the
// connection: a write of the tunnel may be the first to see the reset.
TEST_CASE("a reset that a write to the endpoint has seen is passed on as a reset",
          "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    asking.send("request");
    CHECK(reached.receive(7) == "request");
    reached.send("part");
    CHECK(asking.receive(4) == "part");
    // The tunnel finds the bytes and the reset at once, and the bytes first.
    constexpr auto arrival = 50ms; // longer than bytes and resets take on the loopback
    fixture.block();
    asking.send("more");
    std::this_thread::sleep_for(arrival);
    reached.reset();
    std::this_thread::sleep_for(arrival);
    fixture.unblock();
    CHECK(asking.receive_all().empty());
    CHECK(asking.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("an endpoint that closes without reading the request resets the tunnel",
          "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    asking.send("request");
    CHECK(eventually([&] { return reached.socket().available() == 7; }));
    reached.close();
    CHECK(asking.receive_all().empty());
    CHECK(asking.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("the end of the asking host reaches the endpoint within the bound for callers that go",
          "[transport][relay]") {
    constexpr auto bound = 500ms; // rule GONE
    const bool resets = GENERATE(false, true);
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    asking.send("request");
    CHECK(reached.receive(7) == "request");
    const auto gone_at = std::chrono::steady_clock::now();
    if (resets) {
        asking.reset();
    } else {
        asking.close();
    }
    CHECK(reached.receive_all().empty());
    CHECK(reached.end() != stream_end::none);
    CHECK(std::chrono::steady_clock::now() - gone_at < bound);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a request that was given up while the tunnel did not run is dropped",
          "[transport][relay]") {
    const std::size_t size = GENERATE(std::size_t{20}, std::size_t{16 * 1024}, std::size_t{40'000});
    const bool resets = GENERATE(false, true);
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    fixture.block();
    asking.send(std::string(size, 'x'));
    if (resets) {
        asking.reset();
    } else {
        asking.close();
    }
    fixture.unblock();
    CHECK(reached.receive_all().empty());
    CHECK(reached.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("a request that arrives while the process is paused is dropped", "[transport][relay]") {
    auto limits = patient_limits();
    limits.max_thread_gap = 200ms;
    relay_fixture fixture(limits);
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    fixture.block();
    asking.send("request");
    std::this_thread::sleep_for(2 * limits.max_thread_gap); // the length of the pause
    fixture.unblock();
    CHECK(reached.receive_all().empty());
    CHECK(reached.end() == stream_end::reset);
    CHECK(asking.receive_all().empty());
    // An end without a reset would complete an answer that has no length.
    CHECK(asking.end() == stream_end::reset);
    CHECK(fixture.becomes_empty());
}

TEST_CASE("bytes may be late from a pause until the sockets have been read", "[transport][relay]") {
    const state::time_point start{1h};
    transport::pause_detector pauses(500ms, start);
    CHECK_FALSE(pauses.may_be_late(start));
    pauses.tick(start + 100ms);
    CHECK_FALSE(pauses.may_be_late(start + 600ms));
    // A read comes before the tick that is overdue.
    CHECK(pauses.may_be_late(start + 601ms));
    pauses.tick(start + 601ms);
    CHECK(pauses.may_be_late(start + 602ms));
    CHECK(pauses.may_be_late(start + 700ms));
    CHECK_FALSE(pauses.may_be_late(start + 701ms));
    // The tick comes first.
    pauses.tick(start + 5s);
    CHECK(pauses.may_be_late(start + 5s + 1ms));
    CHECK_FALSE(pauses.may_be_late(start + 5s + 100ms));
}

TEST_CASE("an endpoint that does not read holds up the asking host, which may still go",
          "[transport][relay]") {
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    const auto sent = send_until_blocked(asking, std::string(more_than_buffers, 'x'));
    CHECK(sent < more_than_buffers);

    // As a host closes a connection whose bytes have not all been acknowledged.
    asking.reset();
    CHECK(fixture.becomes_empty());
    CHECK(reached.receive_all().size() < sent);
    CHECK(reached.end() == stream_end::reset);
}

TEST_CASE("a slow reader gets all bytes in order", "[transport][relay]") {
    constexpr std::uint32_t seed = 20261207;
    relay_fixture fixture;
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    const auto bytes = make_bytes(more_than_buffers, seed);
    const auto sent = send_until_blocked(reached, bytes);
    CHECK(sent < more_than_buffers);
    std::thread sender([&] {
        reached.send(bytes.substr(sent));
        reached.close();
    });
    std::minstd_rand random(seed);
    std::size_t received = 0;
    bool is_equal = true;
    while (received < bytes.size() && asking.end() == stream_end::none) {
        const auto part = asking.receive(1 + random() % 200'000);
        is_equal = is_equal && bytes.compare(received, part.size(), part) == 0;
        received += part.size();
    }
    sender.join();
    CHECK(received == bytes.size());
    CHECK(is_equal);
    CHECK(asking.receive_all().empty());
    CHECK(asking.end() == stream_end::end);
}

TEST_CASE("a write without progress ends the tunnel", "[transport][relay]") {
    auto limits = patient_limits();
    limits.write_timeout = 200ms;
    relay_fixture fixture(limits);
    raw_socket asking(fixture.server.port());
    raw_socket reached;
    fixture.open(asking, reached);
    const bool endpoint_reads = GENERATE(false, true);
    send_until_blocked(endpoint_reads ? reached : asking, std::string(more_than_buffers, 'x'));
    CHECK(fixture.becomes_empty());
    CHECK(reached.receive_all().size() < more_than_buffers);
    CHECK(reached.end() == stream_end::reset);
    CHECK(asking.receive_all().size() < more_than_buffers);
    CHECK(asking.end() != stream_end::none);
}
