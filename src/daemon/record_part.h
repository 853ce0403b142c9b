// Writes the daemon's record: owns the record writer and its flushing thread, and
// appends entries for calls, bookings and operators' changes.
#pragma once

#include "savoryrelay/coordination/call/call.h"
#include "savoryrelay/coordination/record/record_writer.h"
#include "savoryrelay/protocol/settings/daemon_settings.h"
#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/state/platform/platform_hooks.h"
#include "savoryrelay/transport/caller/booking_hooks.h"
#include "savoryrelay/transport/operators/operators_server.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace savoryrelay::daemon {

/// Writes the record of one daemon incarnation. Without a key file the record
/// is off and every entry is dropped. After `start`, all functions except `stop` and
/// `close` are thread-safe.
class record_part {
public:
    /// `platform` must outlive this object.
    record_part(const protocol::daemon_settings& settings, std::string chain,
                const state::platform_hooks& platform, state::metrics& metrics);
    /// Stops the flushing thread. Entries that `close` has not written are lost.
    ~record_part();
    record_part(const record_part&) = delete;
    record_part& operator=(const record_part&) = delete;

    /// Reads the key and starts the flushing thread. Fails with
    /// `invalid_settings` when the key file cannot be used.
    [[nodiscard]] state::result<void> start();

    /// Stops the flushing thread. The platform client's threads must still be running.
    void stop();

    /// Writes all queued entries and closes the chain. No entry may be appended
    /// during or after the call. Gives up if the store does not answer within
    /// `close_limit` (30 s).
    void close();

    /// Records an accepted call. Fails with `record_unavailable` when the
    /// queue is nearly full; the caller must then refuse the call.
    [[nodiscard]] state::result<void> call_accepted(const coordination::call& call);
    /// Records the outcome of an accepted call.
    void call_ended(const coordination::call& call, state::execution_outcome outcome);
    /// Records a change that an operator requested, whether it was accepted or not.
    void operator_changed(const transport::operator_change& change);
    /// Returns hooks that call `inner` and record the states of each booking.
    [[nodiscard]] transport::booking_hooks record_bookings(transport::booking_hooks inner);

private:
    void append(state::record_entry entry, bool urgent);
    void append_booking(const coordination::call& call, std::string_view booking_state,
                        const std::string& result);
    void flush_loop();

    const protocol::daemon_settings& m_settings;
    std::string m_chain;
    const state::platform_hooks& m_platform;
    state::metrics& m_metrics;
    std::unique_ptr<coordination::record_writer> m_writer; // null while the record is off
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace savoryrelay::daemon
