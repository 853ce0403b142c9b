// Implements the endpoint. The receiving thread blocks in the kernel for a bounded
// time and then checks whether it has to stop.
#include "savoryrelay/transport/datagram/datagram_endpoint.h"

#include "savoryrelay/transport/process/log.h"

#include <cxxtools/ioerror.h>
#include <cxxtools/net/net.h>

#include <array>
#include <exception>

namespace savoryrelay::transport {
namespace {

/// Longest wait of the receiving thread, and so the longest time until it stops.
constexpr int receive_wait_ms = 200;
/// Wait after a socket error, so that the thread does not spin on a persistent error.
constexpr auto error_wait = std::chrono::milliseconds(50);
/// One byte more than the largest datagram, so that a longer one is detected.
constexpr std::size_t buffer_bytes = state::max_datagram_bytes + 1;

} // namespace

datagram_endpoint::datagram_endpoint(const state::member_address& local, datagram_hooks hooks)
    : m_hooks(std::move(hooks)), m_receiver(local.ip, local.port) {
    m_receiver.setTimeout(receive_wait_ms);
    m_thread = std::thread([this] { receive_loop(); });
}

datagram_endpoint::~datagram_endpoint() {
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_stop_requested.notify_all();
    m_thread.join();
}

bool datagram_endpoint::send(const state::member_address& to, const std::string& datagram) {
    const auto key = key_of(to);
    try {
        auto sender = m_senders.find(key).value_or(nullptr);
        if (!sender) {
            sender = std::make_shared<const cxxtools::net::UdpSender>(to.ip, to.port);
            m_senders.insert(key, sender);
        }
        return sender->send(datagram) == datagram.size();
    } catch (const std::exception&) {
        // No process listens on the port, or the route is gone. A new socket may work
        // later.
        m_senders.erase(key);
        return false;
    }
}

void datagram_endpoint::retain(
    const std::function<bool(const std::string& ip_and_port)>& is_known) {
    std::vector<std::string> keys;
    m_senders.for_each([&](const auto& key, const auto&) { keys.push_back(key); });
    for (const auto& key : keys) {
        if (!is_known(key)) {
            m_senders.erase(key);
        }
    }
}

std::string datagram_endpoint::key_of(const state::member_address& address) {
    return address.ip + " " + std::to_string(address.port);
}

void datagram_endpoint::receive_loop() {
    std::array<char, buffer_bytes> buffer{};
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const auto size = receive_once(buffer);
        if (size > 0 && size <= state::max_datagram_bytes) {
            deliver(std::string_view(buffer.data(), size));
        }
        lock.lock();
        if (m_receive_failed) {
            m_stop_requested.wait_for(lock, error_wait, [this] { return m_stopping; });
        }
    }
}

void datagram_endpoint::deliver(std::string_view datagram) {
    try {
        m_hooks.on_datagram(datagram);
    } catch (const std::exception& error) {
        log_warning("datagram_failed", {{"detail", error.what()}});
    }
}

std::size_t datagram_endpoint::receive_once(std::span<char> buffer) {
    m_receive_failed = false;
    try {
        return m_receiver.recv(buffer.data(), buffer.size());
    } catch (const cxxtools::IOTimeout&) {
        return 0;
    } catch (const std::exception&) {
        m_receive_failed = true;
        return 0;
    }
}

} // namespace savoryrelay::transport
