// Clients of hosts that may be cut off from the runners: calls of each kind on kept connections,
// and what became of each call.
#pragma once

#include "cut_off_fixture.h"

#include "support/kept_connection.h"

#include <boost/system/system_error.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

enum class call_kind {
    ask,  ///< a resumable stream
    book, ///< not idempotent
    look, ///< idempotent
};

struct call_kind_entry {
    call_kind kind;
    std::string_view name;
    std::string_view target;
    http::verb method;
};

inline constexpr std::array<call_kind_entry, 3> call_kinds{{
    {call_kind::ask, "ask", "/ask/1", http::verb::post},
    {call_kind::book, "book", "/book/1", http::verb::post},
    {call_kind::look, "look", "/look/1", http::verb::get},
}};

/// A call as its client saw it.
struct seen_call {
    std::size_t host = 0;
    call_kind kind = call_kind::look;
    std::chrono::steady_clock::time_point sent_at;
    std::chrono::steady_clock::time_point ended_at;
    unsigned status = 0;        ///< 0 if no answer came
    bool has_connected = true;  ///< false if the host accepted no connection
    bool is_complete = false;   ///< the end of the answer arrived
    bool is_in_order = true;    ///< a stream had each event once, in order
    bool has_all_events = true; ///< of a stream
    std::string retry_after;

    [[nodiscard]] bool is_served() const { return status == 200 && is_complete; }
    [[nodiscard]] bool is_refused() const { return status == 503 || status == 429; }
};

using seen_calls = std::map<std::string, seen_call>; // by id

/// Threads that send one call after another until they are stopped. Each keeps its connection
/// for as long as the host does.
class cut_off_clients {
public:
    struct settings {
        std::size_t clients_per_kind = 2; ///< at each host
        std::chrono::milliseconds deadline{1'000};
        std::chrono::milliseconds pause{20}; ///< between the calls of a client
        std::string id_prefix;               ///< of the calls; differs between crowds
    };

    cut_off_clients(const edge_fixture& fixture, settings chosen) : m_settings(std::move(chosen)) {
        for (std::size_t host = 0; host < fixture.hosts.size(); ++host) {
            for (const auto& kind : call_kinds) {
                for (std::size_t i = 0; i < m_settings.clients_per_kind; ++i) {
                    const auto name = m_settings.id_prefix + std::string(kind.name) +
                                      std::to_string(host) + "-" + std::to_string(i) + "-";
                    const auto port = fixture.hosts[host]->callers;
                    ++m_running;
                    m_threads.emplace_back([this, host, kind, name, port] {
                        run(host, kind, name, port);
                        --m_running;
                    });
                }
            }
        }
    }
    cut_off_clients(const cut_off_clients&) = delete;
    cut_off_clients& operator=(const cut_off_clients&) = delete;
    ~cut_off_clients() { stop(); }

    /// Lets the clients end with their present calls. Returns false if some calls do not end.
    bool request_stop(std::chrono::milliseconds limit) {
        m_is_over = true;
        return paused_fixture::is_reached_within(limit, [&] { return m_running == 0; });
    }

    /// Waits for the end of all calls.
    void stop() {
        m_is_over = true;
        for (auto& thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    [[nodiscard]] seen_calls calls() const {
        const std::scoped_lock lock(m_mutex);
        return m_calls;
    }

private:
    void run(std::size_t host, const call_kind_entry& kind, const std::string& name,
             const std::string& port) {
        kept_connection connection(port);
        for (int count = 0; !m_is_over; ++count) {
            const auto id = name + std::to_string(count);
            auto seen = send(connection, kind, id);
            seen.host = host;
            const std::scoped_lock lock(m_mutex);
            m_calls[id] = seen;
        }
    }

    seen_call send(kept_connection& connection, const call_kind_entry& kind,
                   const std::string& id) const {
        seen_call seen;
        seen.kind = kind.kind;
        auto headers = edge_fixture::headers(id, kind.kind == call_kind::ask);
        cut_off_fixture::set_deadline(headers, m_settings.deadline);
        seen.sent_at = std::chrono::steady_clock::now();
        try {
            const auto answer =
                connection.fetch(kind.method, std::string(kind.target), {}, headers);
            seen.status = answer.status;
            seen.is_complete = answer.is_complete;
            seen.retry_after = answer.retry_after;
            if (kind.kind == call_kind::ask && answer.status == 200) {
                note_events(answer.body, seen);
            }
        } catch (const boost::system::system_error&) {
            seen.has_connected = false;
        }
        seen.ended_at = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(m_settings.pause);
        return seen;
    }

    static void note_events(const std::string& body, seen_call& seen) {
        constexpr int all_events = 8; // of a runner stand-in
        constexpr std::string_view prefix = "id: ";
        int expected = 0;
        for (auto at = body.find(prefix); at != std::string::npos;
             at = body.find(prefix, at + prefix.size())) {
            seen.is_in_order =
                seen.is_in_order && body[at + prefix.size()] == static_cast<char>('0' + expected);
            ++expected;
        }
        seen.has_all_events = expected == all_events;
    }

    const settings m_settings;
    std::atomic<bool> m_is_over{false};
    std::atomic<int> m_running{0};
    mutable std::mutex m_mutex;
    seen_calls m_calls; // guarded by m_mutex
    std::vector<std::thread> m_threads;
};

/// Calls of one kind that were sent to some hosts within a time, and how many were served.
struct served_share {
    int sent = 0;
    int served = 0;

    void note(const seen_call& call) {
        ++sent;
        served += call.is_served() ? 1 : 0;
    }
    [[nodiscard]] double share() const {
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }
};

} // namespace savoryrelay::tests
