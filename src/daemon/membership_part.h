// Runs membership and configuration of one daemon: owns the datagram endpoint, the
// membership, the configuration holder and their threads.
#pragma once

#include "savoryrelay/coordination/configuration/configuration_holder.h"
#include "savoryrelay/coordination/membership/membership.h"
#include "savoryrelay/protocol/peer/message_authentication.h"
#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/platform_hooks.h"
#include "savoryrelay/transport/datagram/datagram_endpoint.h"
#include "savoryrelay/transport/process/worker_thread.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::daemon {

/// Owns membership and configuration. One thread runs the periodic tick and sends
/// datagrams. A second thread calls the platform, because a tick that waits 2 s for
/// the platform would count as a pause of the process. The endpoint's own thread
/// receives datagrams.
class membership_part {
public:
    /// Stores each configuration that comes into force in `in_force`. The references
    /// must outlive this object. `writer` makes write keys unique to this process.
    membership_part(const protocol::daemon_settings& settings, const std::string& writer,
                    state::platform_hooks platform, state::metrics& metrics,
                    state::snapshot_cell<state::configuration>& in_force);
    ~membership_part();
    membership_part(const membership_part&) = delete;
    membership_part& operator=(const membership_part&) = delete;

    /// Reads the key file, binds the endpoint and starts the threads. Without a port
    /// in `peers` no endpoint is opened, and the settings must not have seeds. Fails
    /// with `invalid_settings`.
    [[nodiscard]] state::result<void> start();
    /// Tells the other members that this one leaves, and stops the threads. Later
    /// calls do nothing.
    void stop();

    /// Fails with `isolated` (the call has not run) if this member may not accept new
    /// calls.
    [[nodiscard]] state::result<void> check_eligibility(state::time_point now);
    /// Returns true if `check_eligibility` would succeed.
    [[nodiscard]] bool ready(state::time_point now);

    /// Replaces `expected_revision` with `document` and returns the new revision.
    /// Announces the submission first and waits up to 1.5 s until at least half of the listed
    /// entry hosts have acknowledged it. Blocks, so it must not be called on a socket
    /// thread. Fails as `configuration_holder::announce` and `submit` do.
    [[nodiscard]] state::result<std::uint64_t> submit(const std::string& document,
                                                      std::uint64_t expected_revision,
                                                      const std::string& operator_name,
                                                      state::time_point now);

    /// Returns this member and every other member that it knows.
    [[nodiscard]] std::vector<state::member_update> members() const;

    /// Returns the number of entry hosts on the platform's last list.
    [[nodiscard]] std::size_t listed_count() const { return m_membership.listed_count(); }

    /// Returns the incarnation number of this member, which identifies the owner of
    /// booking rows.
    [[nodiscard]] std::uint64_t incarnation() const;
    /// Returns true if this member knows that `incarnation` of `member` has ended: the
    /// member is dead or has left, or a later incarnation has replaced it. Returns
    /// false if the member is unknown.
    [[nodiscard]] bool is_gone(const state::member_id& member, std::uint64_t incarnation) const;

    [[nodiscard]] const coordination::configuration_holder& configuration() const {
        return m_holder;
    }

private:
    [[nodiscard]] coordination::configuration_hooks make_configuration_hooks();
    [[nodiscard]] state::result<void> open_endpoint();
    void receive(std::string_view datagram);
    void send(const std::vector<coordination::outgoing_message>& messages);
    void tick();
    void poll_when_due(state::time_point now);
    void request_poll();
    void poll();
    void read_hosts();
    void publish();
    void log_service_state_change(state::time_point now);

    const protocol::daemon_settings m_settings;
    const coordination::configuration_settings m_configuration_settings;
    const state::platform_hooks m_platform;
    state::metrics& m_metrics;
    state::snapshot_cell<state::configuration>& m_in_force;
    protocol::peer_keys m_keys; // does not change after start() has returned

    coordination::membership m_membership;
    coordination::configuration_holder m_holder;

    std::mt19937_64 m_tick_random{std::random_device{}()};    // used by the tick thread only
    std::mt19937_64 m_receive_random{std::random_device{}()}; // used by the receiving thread only
    std::optional<state::time_point> m_hosts_read_at;         // used by the polling thread only
    coordination::service_state m_logged_service_state =
        coordination::service_state::starting; // used by the tick thread only

    // Allows one submission at a time, because the holder keeps only one announcement.
    std::mutex m_submit_mutex;
    std::mutex m_mutex; // guards the variables declared below, up to m_next_poll
    std::condition_variable m_datagram_received; // notified after each received datagram
    /// True once m_endpoint and m_keys are set. Datagrams that arrive earlier are dropped.
    bool m_accepts_datagrams = false;
    bool m_poll_requested = false;
    std::optional<state::time_point> m_next_poll;

    std::unique_ptr<transport::datagram_endpoint> m_endpoint;
    transport::worker_thread m_poll_worker;
    transport::worker_thread m_tick_worker;
};

} // namespace savoryrelay::daemon
