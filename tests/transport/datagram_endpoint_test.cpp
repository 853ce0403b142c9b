// Tests datagram_endpoint with loopback sockets.
#include "savoryrelay/transport/datagram/datagram_endpoint.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <vector>

using namespace savoryrelay;

namespace {

/// Stores received datagrams and waits until a given number has arrived.
class inbox {
public:
    transport::datagram_hooks hooks() {
        return {[this](std::string_view datagram) {
            const std::scoped_lock lock(m_mutex);
            m_datagrams.emplace_back(datagram);
            m_arrived.notify_all();
        }};
    }
    std::vector<std::string> wait_for(std::size_t count) {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, std::chrono::seconds(10),
                           [&] { return m_datagrams.size() >= count; });
        return m_datagrams;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::vector<std::string> m_datagrams; // guarded by m_mutex
};

} // namespace

// Guards against an endpoint that reaches only the last peer, delivers a datagram
// above the size limit, fails on a port without a process, or does not stop.
TEST_CASE("an endpoint exchanges datagrams with several peers and stops", "[datagram]") {
    const state::member_address first{"127.0.0.1", 39'411};
    const state::member_address second{"127.0.0.1", 39'412};
    const state::member_address absent{"127.0.0.1", 39'413};
    inbox at_first;
    inbox at_second;
    {
        transport::datagram_endpoint one(first, at_first.hooks());
        transport::datagram_endpoint two(second, at_second.hooks());
        for (int i = 0; i < 3; ++i) {
            [[maybe_unused]] const bool refused = one.send(absent, "lost");
        }
        CHECK(one.send(second, std::string(state::max_datagram_bytes + 1, 'x')));
        CHECK(one.send(second, "to two"));
        CHECK(two.send(first, "to one"));
        CHECK(at_second.wait_for(1) == std::vector<std::string>{"to two"});
        CHECK(at_first.wait_for(1) == std::vector<std::string>{"to one"});
        one.retain([](const auto&) { return false; });
        CHECK(one.send(second, "again"));
        CHECK(at_second.wait_for(2).size() == 2);
    }
    // The address can be bound again after the endpoint has stopped.
    const transport::datagram_endpoint again(first, at_first.hooks());
}
