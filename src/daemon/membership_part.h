// Membership and configuration of one daemon: the datagram endpoint, the
// membership and the configuration holder, and the threads that run them.
#pragma once

#include "savoryrelay/coordination/configuration/configuration_holder.h"
#include "savoryrelay/coordination/membership/membership.h"
#include "savoryrelay/protocol/peer/message_authentication.h"
#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/table_row.h"
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

/// Owns membership and configuration. One thread ticks and sends; another one
/// makes the platform calls, since a tick that waits 2 s for the platform would
/// count as a pause of the process. The endpoint's thread receives.
class membership_part {
public:
    /// Each configuration in force is put into `in_force`. The references must
    /// outlive this object. `writer` makes write keys unique to this process.
    membership_part(const protocol::daemon_settings& settings, const std::string& writer,
                    state::platform_hooks platform, state::metrics& metrics,
                    state::snapshot_cell<state::configuration>& in_force);
    ~membership_part();
    membership_part(const membership_part&) = delete;
    membership_part& operator=(const membership_part&) = delete;

    /// Reads the key file, binds the endpoint and starts to tick and to poll.
    /// Without a port in `peers` there is no endpoint, which needs no seeds
    /// either. Fails with `invalid_settings`.
    [[nodiscard]] state::result<void> start();
    /// Announces the leave and ends the threads. Later calls do nothing.
    void stop();

    /// Fails with `isolated`, which means not run, unless new work may be taken.
    [[nodiscard]] state::result<void> check_eligibility(state::time_point now);
    [[nodiscard]] bool ready(state::time_point now);

    /// Submits `document` in place of `expected_revision` and returns the new
    /// revision. Announces it first and waits up to 1.5 s for half of the
    /// listed entry hosts. Blocks, so call it on no socket thread. Fails as
    /// `configuration_holder::announce` and `submit` do.
    [[nodiscard]] state::result<std::uint64_t> submit(const std::string& document,
                                                      std::uint64_t expected_revision,
                                                      const std::string& who,
                                                      state::time_point now);

    /// This member and every other one that it knows.
    [[nodiscard]] std::vector<state::member_update> members() const;

    /// Entry hosts on the platform's last list.
    [[nodiscard]] std::size_t listed_count() const { return m_membership.listed_count(); }

    /// Number of this run of the process, for the rows that it owns.
    [[nodiscard]] std::uint64_t incarnation() const;
    /// True when the run `incarnation` of `member` has ended as far as this
    /// member knows: it is dead or left, or a later run has replaced it. False
    /// for a member that is unknown here.
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
    void note_service(state::time_point now);

    const protocol::daemon_settings m_settings;
    const coordination::configuration_settings m_configuration_settings;
    const state::platform_hooks m_platform;
    state::metrics& m_metrics;
    state::snapshot_cell<state::configuration>& m_in_force;
    protocol::peer_keys m_keys; // constant once start() has returned

    coordination::membership m_membership;
    coordination::configuration_holder m_holder;

    std::mt19937_64 m_tick_random{std::random_device{}()};    // of the ticking thread
    std::mt19937_64 m_receive_random{std::random_device{}()}; // of the receiving thread
    std::optional<state::time_point> m_hosts_read_at;         // of the polling thread
    coordination::service_state m_service =
        coordination::service_state::starting; // of the ticking thread

    std::mutex m_submit_mutex; // one submission at a time; the holder keeps one announcement
    std::mutex m_mutex;        // guards what follows
    std::condition_variable m_informed; // a datagram was received
    bool m_open = false; // m_endpoint and m_keys are set; datagrams before that are dropped
    bool m_poll_requested = false;
    std::optional<state::time_point> m_next_poll;

    std::unique_ptr<transport::datagram_endpoint> m_endpoint;
    transport::worker_thread m_poll_worker;
    transport::worker_thread m_tick_worker;
};

} // namespace savoryrelay::daemon
