// The TCP paths of one host to several processes, which a test cuts together as a partition
// does: established and new connections hang or are reset, or only new ones are refused.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

enum class path_state {
    open,
    held,        ///< established connections pass nothing, new ones are not established
    reset,       ///< established connections are reset, new ones refused
    refuses_new, ///< established connections live on, new ones are refused
};

inline constexpr std::array<std::pair<path_state, std::string_view>, 4> path_state_names{{
    {path_state::open, "open"},
    {path_state::held, "held"},
    {path_state::reset, "reset"},
    {path_state::refuses_new, "refuses_new"},
}};

inline std::string to_text(path_state state) {
    const auto* found = std::find_if(path_state_names.begin(), path_state_names.end(),
                                     [&](const auto& entry) { return entry.first == state; });
    return std::string(found->second);
}

/// Listens on one port of 127.0.0.1 for each target port there, and forwards connections to it.
/// Processes started by the test inherit none of its sockets, which would keep them open.
class cuttable_paths {
public:
    cuttable_paths() : m_wake_up(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
        m_forwarder = std::thread([this] { forward(); });
    }
    cuttable_paths(const cuttable_paths&) = delete;
    cuttable_paths& operator=(const cuttable_paths&) = delete;
    ~cuttable_paths() {
        change([this] { m_has_ended = true; });
        m_forwarder.join();
        for (auto& path : m_paths) {
            close_fillers(path);
            ::close(path.listener);
        }
        for (const auto& connection : m_connections) {
            close_both(connection, false);
        }
        ::close(m_wake_up);
    }

    /// Adds a path to a target port. Returns the port that leads to it.
    std::string add(const std::string& target_port) {
        target_path added;
        added.target_port = static_cast<std::uint16_t>(std::stoi(target_port));
        added.listener = bound_socket(0);
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        ::getsockname(added.listener, reinterpret_cast<sockaddr*>(&address), &size);
        added.port = ntohs(address.sin_port);
        change([&] {
            m_paths.push_back(added);
            apply(m_paths.size() - 1);
        });
        return std::to_string(added.port);
    }

    /// Sets the state of all paths. The new state holds when the call returns.
    void set(path_state state) {
        change([&] {
            m_state = state;
            for (std::size_t i = 0; i < m_paths.size(); ++i) {
                apply(i);
            }
        });
    }

    /// Sets whether the process at a target port has ended. A path to an ended process refuses
    /// new connections, as the process's own port would.
    void set_ended(const std::string& target_port, bool has_ended) {
        change([&] {
            for (std::size_t i = 0; i < m_paths.size(); ++i) {
                if (std::to_string(m_paths[i].target_port) == target_port) {
                    m_paths[i].has_target_ended = has_ended;
                    apply(i);
                }
            }
        });
    }

private:
    struct target_path {
        int listener = -1; ///< bound to `port` at all times, also while it does not listen
        std::uint16_t port = 0;
        std::uint16_t target_port = 0;
        bool has_target_ended = false;
        bool is_listening = false;
        std::vector<int> fillers; ///< connections that keep the queue of new ones full
    };
    /// The two ends of a forwarded connection: the host's and the target's.
    struct forwarded_connection {
        std::size_t path = 0;
        std::array<int, 2> ends{-1, -1};
        std::array<std::string, 2> unsent; ///< bytes received at an end, for the other one
        bool is_over = false;              ///< both ends are closed
    };
    static constexpr int usual_backlog = 64;

    static sockaddr_in loopback(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    // A socket that does not listen can hold the port while another one gives it up.
    static int bound_socket(std::uint16_t port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        constexpr int on = 1;
        const auto address = loopback(port);
        if (::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0 ||
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            throw std::runtime_error("the port of a path cannot be bound");
        }
        return descriptor;
    }

    static int begin_connection(std::uint16_t port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const int done =
            ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        if (done != 0 && errno != EINPROGRESS) {
            ::close(descriptor);
            return -1;
        }
        return descriptor;
    }

    static void close_with_reset(int descriptor) {
        constexpr linger at_once{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        ::close(descriptor);
    }

    static void close_both(const forwarded_connection& closed, bool with_reset) {
        for (const int end : closed.ends) {
            with_reset ? close_with_reset(end) : static_cast<void>(::close(end));
        }
    }

    static void close_fillers(target_path& of) {
        for (const int filler : of.fillers) {
            ::close(filler);
        }
        of.fillers.clear();
    }

    template <typename Action>
    void change(Action action) {
        const std::scoped_lock lock(m_mutex);
        action();
        ++m_changes;
        constexpr std::uint64_t one = 1;
        static_cast<void>(::write(m_wake_up, &one, sizeof(one)));
    }

    void apply(std::size_t index) {
        auto& changed = m_paths[index];
        const auto state = changed.has_target_ended ? path_state::refuses_new : m_state;
        close_fillers(changed);
        switch (state) {
        case path_state::open:
            listen(changed, usual_backlog);
            drop_reset_connections(index);
            break;
        case path_state::held: {
            listen(changed, usual_backlog);
            accept_all(index);
            // The kernel drops the SYN of a new connection while the queue is full. A queue of
            // length 0 holds one.
            listen(changed, 0);
            constexpr int fillers = 2;
            for (int i = 0; i < fillers; ++i) {
                if (const int filler = begin_connection(changed.port); filler >= 0) {
                    changed.fillers.push_back(filler);
                }
            }
            break;
        }
        case path_state::reset:
            stop_listening(changed);
            for (auto& open : m_connections) {
                if (open.path == index && !open.is_over) {
                    end(open, true);
                }
            }
            break;
        case path_state::refuses_new:
            stop_listening(changed);
            break;
        }
    }

    static void listen(target_path& on, int backlog) {
        ::listen(on.listener, backlog);
        on.is_listening = true;
    }

    static void stop_listening(target_path& on) {
        if (std::exchange(on.is_listening, false)) {
            const int next = bound_socket(on.port);
            ::close(on.listener);
            on.listener = next;
        }
    }

    // The bytes that a partition held are lost if their sender has reset the connection.
    void drop_reset_connections(std::size_t path) {
        for (auto& open : m_connections) {
            std::array<pollfd, 2> ends{{{open.ends[0], 0, 0}, {open.ends[1], 0, 0}}};
            if (open.path == path && !open.is_over && ::poll(ends.data(), ends.size(), 0) > 0 &&
                ((ends[0].revents | ends[1].revents) & POLLERR) != 0) {
                end(open, true);
            }
        }
    }

    static void end(forwarded_connection& ended, bool with_reset) {
        close_both(ended, with_reset);
        ended.is_over = true;
    }

    void forward() {
        std::unique_lock lock(m_mutex);
        while (!m_has_ended) {
            auto waiting = descriptors();
            const auto changes = m_changes;
            lock.unlock();
            ::poll(waiting.data(), waiting.size(), -1);
            lock.lock();
            std::uint64_t wake_ups = 0;
            static_cast<void>(::read(m_wake_up, &wake_ups, sizeof(wake_ups)));
            // After a change, the descriptors may be those of other sockets.
            if (changes == m_changes) {
                handle(waiting);
            }
        }
    }

    // Returns the descriptors to wait for: the wake-up, each listener, and both ends of each
    // connection. Those that must not be read are -1.
    std::vector<pollfd> descriptors() {
        m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                           [](const auto& open) { return open.is_over; }),
                            m_connections.end());
        std::vector<pollfd> all{{m_wake_up, POLLIN, 0}};
        const bool is_held = m_state == path_state::held;
        for (const auto& path : m_paths) {
            const bool accepts = path.is_listening && !is_held;
            all.push_back({accepts ? path.listener : -1, POLLIN, 0});
        }
        for (const auto& open : m_connections) {
            for (std::size_t i = 0; i < open.ends.size(); ++i) {
                const int events = (open.unsent[i].empty() ? POLLIN : 0) |
                                   (open.unsent[1 - i].empty() ? 0 : POLLOUT);
                all.push_back({is_held ? -1 : open.ends[i], static_cast<short>(events), 0});
            }
        }
        return all;
    }

    void handle(const std::vector<pollfd>& waiting) {
        const auto first_end = 1 + m_paths.size();
        const auto connections = m_connections.size(); // those that were waited for
        for (std::size_t i = 0; i < connections; ++i) {
            for (std::size_t side = 0; side < 2 && !m_connections[i].is_over; ++side) {
                if (const int events = waiting[first_end + 2 * i + side].revents; events != 0) {
                    pass_on(m_connections[i], side, (events & POLLERR) != 0);
                }
            }
        }
        for (std::size_t i = 0; i < m_paths.size(); ++i) {
            if (waiting[1 + i].revents != 0) {
                accept_all(i);
            }
        }
    }

    // Sends what waits for an end and what has arrived at it.
    static void pass_on(forwarded_connection& open, std::size_t side, bool has_failed) {
        send_unsent(open, 1 - side);
        if (open.is_over) {
            return;
        }
        if (!open.unsent[side].empty()) {
            if (has_failed) {
                end(open, true);
            }
            return;
        }
        std::array<char, 16384> bytes{};
        const auto count = ::recv(open.ends[side], bytes.data(), bytes.size(), 0);
        if (count > 0) {
            open.unsent[side].assign(bytes.data(), static_cast<std::size_t>(count));
            send_unsent(open, side);
        } else if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            end(open, count < 0);
        }
    }

    // Sends the bytes from an end to the other one.
    static void send_unsent(forwarded_connection& open, std::size_t from) {
        auto& bytes = open.unsent[from];
        if (bytes.empty()) {
            return;
        }
        const auto sent = ::send(open.ends[1 - from], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.erase(0, static_cast<std::size_t>(sent));
        } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN) {
            end(open, true);
        }
    }

    void accept_all(std::size_t index) {
        while (true) {
            sockaddr_in peer{};
            socklen_t size = sizeof(peer);
            const int near = ::accept4(m_paths[index].listener, reinterpret_cast<sockaddr*>(&peer),
                                       &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (near < 0) {
                return;
            }
            const int far = begin_connection(m_paths[index].target_port);
            if (far < 0) {
                close_with_reset(near);
                continue;
            }
            m_connections.push_back({index, {near, far}, {}, false});
        }
    }

    const int m_wake_up;
    std::mutex m_mutex;
    path_state m_state = path_state::open;           // guarded by m_mutex
    std::vector<target_path> m_paths;                // guarded by m_mutex
    std::vector<forwarded_connection> m_connections; // guarded by m_mutex
    std::uint64_t m_changes = 0;                     // guarded by m_mutex
    bool m_has_ended = false;                        // guarded by m_mutex
    std::thread m_forwarder;
};

} // namespace savoryrelay::tests
