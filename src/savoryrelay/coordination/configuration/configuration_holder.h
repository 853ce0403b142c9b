// The configuration of one member: it only moves to higher revisions, whether
// they come from the table, from a peer or from an operator.
#pragma once

#include "savoryrelay/coordination/configuration/service_eligibility.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/member/member.h"
#include "savoryrelay/state/platform/table_row.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace savoryrelay::coordination {

/// A submission: the document, who submits it, when, and on which revision.
struct configuration_submission {
    std::string document;
    std::string operator_name; ///< one line, not empty
    state::wall_time submitted_at;
    std::uint64_t expected_revision = 0; ///< the revision that the document replaces
};

/// An accepted revision, as `config/history/<revision>` keeps it.
struct configuration_history {
    std::uint64_t revision = 0;
    std::string operator_name;
    state::wall_time submitted_at;
    std::string document;
};

/// What the holder needs from other parts. No hook runs under its lock.
struct configuration_hooks {
    state::platform_hooks platform;
    /// Reads a document; the encoder is not part of this layer.
    std::function<state::result<state::configuration>(const std::string&, std::uint64_t revision)>
        parse;
    /// Gets the state of a peer that holds `revision` or a higher one.
    std::function<state::result<state::peer_state>(std::uint64_t revision)> fetch_from_peer;
    /// Last proof of `count` listed entry hosts, see `membership::heard_since`.
    std::function<std::optional<state::time_point>(std::size_t count, state::time_point now)>
        heard_since;
    std::function<std::size_t()> listed_count;
    /// Listed members that repeated an announcement, see `membership::count_informed_of`.
    std::function<std::size_t(std::uint64_t announcement)> count_informed_of;
    service_rule rule = decide_service;
    /// Whether a revision replaces the one held. Tests replace it.
    std::function<bool(std::uint64_t held, std::uint64_t candidate)> is_newer =
        [](std::uint64_t held, std::uint64_t candidate) { return candidate > held; };
};

/// Settings of the holder.
struct configuration_settings {
    eligibility_settings eligibility;
    /// Longest time from the announcement to the transaction. With the time
    /// limit of the platform client it stays far below the announcement's term.
    state::milliseconds announcement_wait{2'000};
    state::milliseconds poll_period{2'000};
    state::milliseconds behind_poll_period{500}; ///< while a newer revision is known
    std::uint32_t read_back_attempts = 3;
    std::uint32_t starting_peers = 3; ///< peers that a start without the store asks
};

/// Fails with `invalid_settings`, naming the field, when the settings cannot
/// keep the 6 s of an accepted configuration.
[[nodiscard]] state::result<void> check_settings(const configuration_settings& settings);

/// Holds the configuration. Safe for use by several threads.
class configuration_holder {
public:
    /// `writer` makes write keys unique: the member's identifier and incarnation.
    configuration_holder(std::string writer, configuration_settings settings,
                         configuration_hooks hooks);

    /// The configuration in force.
    [[nodiscard]] std::shared_ptr<const state::configuration> current() const {
        return m_current.load();
    }
    /// The document in force, for peers that fetch it.
    [[nodiscard]] state::peer_state peer_view() const;
    /// What this member publishes by the membership.
    [[nodiscard]] state::revision_view revisions() const;

    /// First step of a submission: checks the document and the revision in the
    /// table, and returns the announcement that the membership must send to
    /// every member. Fails with `invalid_configuration`, `revision_conflict`
    /// or `store_unavailable`, all before anything is written.
    [[nodiscard]] state::result<std::uint64_t> announce(const configuration_submission& submission,
                                                        state::time_point now);

    /// Second step, once enough members have repeated the announcement: writes
    /// the revision on condition that the table still holds the expected one.
    /// Returns the new revision. Fails with `deadline_exceeded` when the
    /// announcement is too old, `isolated` when fewer than half of
    /// the listed entry hosts repeated the announcement, `revision_conflict`
    /// naming the winner, or `store_result_unknown` with the write key.
    [[nodiscard]] state::result<std::uint64_t> submit(const configuration_submission& submission,
                                                      std::uint64_t announcement,
                                                      state::time_point now);

    /// Reads the revision from the table and fetches a newer document, from a
    /// peer when the table is away. `now` is the time before the call.
    void poll(state::time_point now);

    /// Time until the next `poll`.
    [[nodiscard]] state::milliseconds poll_wait() const;

    /// True once this member knows the revisions that matter; it is then
    /// reported by `membership::set_informed`.
    [[nodiscard]] bool is_started() const;

    /// Takes over what another member published. Call `poll` when it returns
    /// true: a higher revision than the one held is known.
    bool note_revisions(const state::revision_view& revisions, state::time_point now);

    /// Answer of a peer that was asked at the start.
    void note_peer_state(const state::peer_state& peer, state::time_point now);

    /// Whether this member takes new work at `now`. Call it with every tick
    /// too, so that a time of isolation without requests is noticed.
    [[nodiscard]] service_state service(state::time_point now);

    /// The accepted revision with its audit details. Fails with `not_found`.
    [[nodiscard]] state::result<configuration_history> read_history(std::uint64_t revision) const;

private:
    [[nodiscard]] bool install(const std::string& document, std::uint64_t revision,
                               state::time_point now);
    [[nodiscard]] state::result<state::transaction_result>
    transact(const state::table_transaction& transaction) const;
    [[nodiscard]] state::result<state::table_row> check_current(std::uint64_t expected) const;
    [[nodiscard]] boost::leaf::error_id conflict(std::uint64_t expected,
                                                 std::uint64_t present) const;
    void update_behind(state::time_point now);

    const std::string m_writer;
    const configuration_settings m_settings;
    const configuration_hooks m_hooks;
    state::snapshot_cell<state::configuration> m_current{state::configuration{}};

    mutable std::mutex m_mutex; // guards what follows
    std::string m_document;     // of the highest revision installed
    std::uint64_t m_document_revision = 0;
    std::uint64_t m_heard = 0;     // never below the revision held
    std::uint64_t m_announced = 0; // never decreases
    std::uint64_t m_writes = 0;
    std::uint64_t m_own_announcement = 0;
    state::time_point m_own_announced_at;
    std::uint32_t m_peer_replies = 0;
    eligibility_facts m_facts; // majority_heard_at is filled in by service()
};

} // namespace savoryrelay::coordination
