// Keeps the local copies of the platform's tables up to date and applies their contents.
#pragma once

#include "shared_state.h"

#include "platform/store_client.h"
#include "savoryrelay/coordination/exchange/store_outage_detector.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::edge {

/// Follows the operators' table and the runners' entries. One host of each zone reads them
/// from the store; the other hosts do so only while the copies that they get from their hub
/// are outdated. Its coroutines run on the control context.
class store_part {
public:
    store_part(transport::io_threads& threads, platform::store_client& store, shared_state& shared,
               std::function<state::time_point()> now);

    /// Starts to follow the tables.
    void start();

    /// Apply changed rows of the tables, which come from the store or from a peer.
    void apply_operators(const std::vector<state::mirrored_row>& changed);
    void apply_runners(const std::vector<state::mirrored_row>& changed);

    /// Returns whether this host reads the tables from the store.
    [[nodiscard]] bool follows_store() const;
    /// Returns whether this host needs no copies from peers: it follows the store, which
    /// has answered recently.
    [[nodiscard]] bool is_in_contact(state::time_point now) const;
    /// Returns whether the store has refused a recent call of this host or leaves one without an
    /// answer. Another host of the zone then reads it.
    [[nodiscard]] bool has_lost_store(state::time_point now) const;
    /// Records that the copies were current at `at`, according to a peer.
    void note_current(state::time_point at);
    /// Records what a peer states of the store's answers to it.
    void note_peer_contact(const state::peer_digest& digest, state::time_point now);
    /// Reports that rows of a later era than those of the copy were read, from the store or a
    /// peer, and lets entries return. Called before the rows are applied.
    void note_restore(const std::string& table, state::store_version held,
                      state::store_version read);
    /// Fills in what this host knows of the store's answers.
    void describe_contact(state::peer_digest& digest, state::time_point now) const;
    /// Returns the time since the copies were known to be current.
    [[nodiscard]] state::milliseconds age(state::time_point now) const;

private:
    struct feed_times {
        state::milliseconds wait{};  ///< duration of a call without a change
        state::milliseconds pause{}; ///< pause before the next call
    };
    using apply_rows_hook = void (store_part::*)(const std::vector<state::mirrored_row>&);

    boost::asio::awaitable<void> follow(std::string table, state::table_mirror& mirror,
                                        feed_times times, apply_rows_hook apply_rows);
    /// States losses to the detector. A hub asks the store when a peer's loss puts it in doubt,
    /// because it passes the doubt on to its members.
    boost::asio::awaitable<void> check_contact();
    /// Asks the store for changes without a wait, and applies them.
    boost::asio::awaitable<void> ask_store();
    void note_store_call(bool succeeded, const std::string& detail);
    /// Records a loss if this host is a hub. The store readers hear of the losses of hubs and ask
    /// the store themselves; nobody would refute those of a member.
    void note_own_loss(state::time_point now);
    void log_outage(std::optional<state::milliseconds> outage);
    /// Returns how much later than the readers this host confirms the rows of a restored store.
    [[nodiscard]] state::milliseconds confirm_delay() const;
    [[nodiscard]] state::milliseconds milliseconds_until(state::time_point at) const;

    transport::io_threads& m_threads;
    platform::store_client& m_store;
    shared_state& m_shared;
    std::function<state::time_point()> m_now;
    coordination::store_outage_detector m_outages;
    std::optional<state::time_point> m_failing_since; // control context only
    /// Longest age of the copies of a host that does not follow the store. Differs between
    /// hosts, so that they do not all turn to the store at once.
    const state::milliseconds m_max_age;
    // Written by the control context and by the thread that receives digests.
    std::atomic<state::time_point> m_current_at{state::time_point{}};
    std::atomic<state::time_point> m_contact_at{state::time_point{}}; // last answer of the store
    std::atomic<state::time_point> m_call_began_at{state::time_point{}};
    std::atomic<int> m_pending_calls{0};
    std::atomic<state::time_point> m_store_lost_until{state::time_point{}};
};

} // namespace savoryrelay::edge
