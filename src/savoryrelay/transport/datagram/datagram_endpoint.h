// Sends and receives UDP datagrams between members with cxxtools sockets.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/member/member.h"

#include <cxxtools/net/udp.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace savoryrelay::transport {

/// Hooks that the endpoint calls on the receiving thread. One that throws is logged as
/// `datagram_failed`.
struct datagram_hooks {
    std::function<void(std::string_view datagram)> on_datagram;
};

/// Receives on one address and sends to any address. Replies go to the address that
/// the membership has for the peer, never to the source address of a datagram, so a
/// forged source address cannot direct traffic at a third party.
class datagram_endpoint {
public:
    /// Binds `local` and starts the receiving thread. Throws
    /// `std::runtime_error` when the address cannot be bound. cxxtools sets
    /// SO_REUSEADDR, so a second process at the same address is not refused.
    datagram_endpoint(const state::member_address& local, datagram_hooks hooks);
    /// Stops the receiving thread and waits for it.
    ~datagram_endpoint();
    datagram_endpoint(const datagram_endpoint&) = delete;
    datagram_endpoint& operator=(const datagram_endpoint&) = delete;

    /// Sends a datagram. Returns false if the socket refused it. Returning true does
    /// not mean that the peer received it; the membership's probes detect lost peers.
    bool send(const state::member_address& to, const std::string& datagram);

    /// Closes the sockets of all addresses for which `is_known` returns false.
    void retain(const std::function<bool(const std::string& ip_and_port)>& is_known);

    /// Returns the text that `retain` passes to `is_known` for `address`.
    [[nodiscard]] static std::string key_of(const state::member_address& address);

private:
    void receive_loop();
    std::size_t receive_once(std::span<char> buffer);
    void deliver(std::string_view datagram);

    const datagram_hooks m_hooks;
    cxxtools::net::UdpReceiver m_receiver;
    // One connected sender per peer: a cxxtools sender is bound to one address.
    state::sharded_map<std::string, std::shared_ptr<const cxxtools::net::UdpSender>> m_senders;
    std::mutex m_mutex;
    std::condition_variable m_stop_requested;
    bool m_stopping = false;       // guarded by m_mutex
    bool m_receive_failed = false; // last receive failed; used by the receiving thread only
    std::thread m_thread;          // declared last, because it uses the variables above
};

} // namespace savoryrelay::transport
