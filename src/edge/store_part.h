// Keeps the local copies of the platform's tables up to date and applies their contents.
#pragma once

#include "shared_state.h"

#include "platform/store_client.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::edge {

/// Follows the operators' table and the runners' entries. Its coroutines run
/// on the control context.
class store_part {
public:
    store_part(transport::io_threads& threads, platform::store_client& store, shared_state& shared,
               std::function<state::time_point()> now);

    /// Starts to follow the tables.
    void start();

    /// Apply changed rows of the tables, which come from the store or from a peer.
    void apply_operators(const std::vector<state::mirrored_row>& changed);
    void apply_runners(const std::vector<state::mirrored_row>& changed);

private:
    struct feed_times {
        state::milliseconds wait{};  ///< duration of a call without a change
        state::milliseconds pause{}; ///< pause before the next call
    };
    using apply_rows_hook = void (store_part::*)(const std::vector<state::mirrored_row>&);

    boost::asio::awaitable<void> follow(std::string table, state::table_mirror& mirror,
                                        std::function<feed_times()> times,
                                        apply_rows_hook apply_rows);
    void note_store_call(bool succeeded, const std::string& detail);

    transport::io_threads& m_threads;
    platform::store_client& m_store;
    shared_state& m_shared;
    std::function<state::time_point()> m_now;
    std::optional<state::time_point> m_failing_since; // control context only
    state::time_point m_recovered_at{};               // control context only
};

} // namespace savoryrelay::edge
