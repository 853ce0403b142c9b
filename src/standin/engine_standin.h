// Stand-in for a model engine: streams numbered tokens, resumes streams, accepts
// orders, optionally enforcing fencing numbers, and reports its load.
#pragma once

#include "standin_server.h"

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace savoryrelay::standin {

/// Settings of one engine.
struct engine_settings {
    state::fencing_rule fencing = state::fencing_rule::ignored;
    std::uint32_t cold_allowance = 2; ///< concurrent requests that a cold engine supports
    std::uint32_t warm_after = 4;     ///< completed requests after which it is warm
};

/// Answers the requests of one engine and holds its state.
class engine_standin {
public:
    engine_standin(engine_settings settings, control_switches& switches);

    /// Answers one completion, load query or order.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    boost::asio::awaitable<void> complete(const transport::http_request& request,
                                          transport::response_writer& writer);
    boost::asio::awaitable<void> stream_tokens(const transport::http_request& request,
                                               std::uint64_t from, std::uint64_t tokens,
                                               transport::response_writer& writer);
    boost::asio::awaitable<void> apply_order(const transport::http_request& request,
                                             transport::response_writer& writer);
    [[nodiscard]] std::string load_report() const;

    engine_settings m_settings;
    control_switches& m_switches;
    std::atomic<std::uint32_t> m_running{0};
    std::atomic<std::uint32_t> m_peak_running_cold{0};
    std::atomic<std::uint64_t> m_completed{0};
    std::atomic<std::uint64_t> m_tokens{0};

    mutable std::mutex m_order_mutex;
    std::uint64_t m_fencing_number = 0; // guarded by m_order_mutex
    std::string m_target = "{}";        // guarded by m_order_mutex, target of the last order
    std::string m_order_key;            // guarded by m_order_mutex
};

} // namespace savoryrelay::standin
