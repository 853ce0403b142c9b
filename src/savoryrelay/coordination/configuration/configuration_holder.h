// Holds the configuration in force at one member. The revision in force only increases, whether a
// configuration comes from the table, a peer or an operator.
#pragma once

#include "savoryrelay/coordination/configuration/service_eligibility.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/snapshot_cell.h"
#include "savoryrelay/state/member/member.h"
#include "savoryrelay/state/platform/platform_hooks.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace savoryrelay::coordination {

/// A configuration document that an operator submits.
struct configuration_submission {
    std::string document;
    std::string operator_name; ///< one line, not empty
    state::wall_time submitted_at;
    std::uint64_t expected_revision = 0; ///< the revision that the document replaces
};

/// An accepted revision, as stored in the row `config/history/<revision>`.
struct configuration_history {
    std::uint64_t revision = 0;
    std::string operator_name;
    state::wall_time submitted_at;
    std::string document;
};

/// Functions of other parts that the holder calls. Only `is_newer` may run under its lock.
struct configuration_hooks {
    state::platform_hooks platform;
    /// Parses a document. It is a hook because the codec belongs to another layer.
    std::function<state::result<state::configuration>(const std::string&, std::uint64_t revision)>
        parse;
    /// Fetches the state of a peer, preferably one that holds `revision` or a higher one.
    std::function<state::result<state::peer_state>(std::uint64_t revision)> fetch_from_peer;
    /// Returns the time of the last contact with `count` listed entry hosts, see
    /// `membership::last_contact_with`.
    std::function<std::optional<state::time_point>(std::size_t count, state::time_point now)>
        last_contact_with;
    /// Returns the number of entry hosts on the platform's list.
    std::function<std::size_t()> listed_count;
    /// Returns the number of listed members that acknowledged an announcement, see
    /// `membership::count_acknowledgements`.
    std::function<std::size_t(std::uint64_t announcement)> count_acknowledgements;
    /// Decides whether the member takes new work. Tests replace it.
    eligibility_rule rule = decide_service;
    /// Returns whether a revision replaces the one in force. Tests replace it.
    std::function<bool(std::uint64_t held, std::uint64_t candidate)> is_newer =
        [](std::uint64_t held, std::uint64_t candidate) { return candidate > held; };
};

/// Settings of a `configuration_holder`.
struct configuration_settings {
    eligibility_settings eligibility;
    /// Maximum time from the announcement to the transaction. Together with the timeout of the
    /// platform client, it is far below `announcement_expiry`.
    state::milliseconds announcement_wait{2'000};
    state::milliseconds poll_period{2'000};
    state::milliseconds behind_poll_period{500}; ///< while a newer revision is known but not held
    std::uint32_t read_back_attempts = 3;
    std::uint32_t required_peer_replies = 3; ///< replies needed to start without the store
};

/// Checks that with `settings` every serving member holds an accepted configuration within 6 s.
/// Fails with `invalid_settings` and the name of the field.
[[nodiscard]] state::result<void> check_settings(const configuration_settings& settings);

/// Holds the configuration in force. Thread-safe.
class configuration_holder {
public:
    /// `writer` consists of the member's identifier and incarnation and makes write keys unique.
    configuration_holder(std::string writer, configuration_settings settings,
                         configuration_hooks hooks);

    /// Returns the configuration in force.
    [[nodiscard]] state::snapshot<state::configuration> current() const { return m_current.load(); }
    /// Returns the document in force and the known revisions, for a peer that fetches them.
    [[nodiscard]] state::peer_state make_peer_state() const;
    /// Returns the revisions that this member publishes through the membership.
    [[nodiscard]] state::revision_view revisions() const;

    /// First step of a submission: checks the document and the revision in the table, and returns
    /// the announcement that the membership must send to every member. Fails with
    /// `invalid_request`, `invalid_configuration`, `revision_conflict` or `store_unavailable`.
    /// Writes nothing to the table.
    [[nodiscard]] state::result<std::uint64_t> announce(const configuration_submission& submission,
                                                        state::time_point now);

    /// Second step, after enough members have acknowledged the announcement: writes the revision if
    /// the table still holds the expected one, and returns the new revision. Fails with
    /// `deadline_exceeded` when the announcement is too old or is not the last one of this member,
    /// `isolated` when fewer than half of the listed entry hosts acknowledged it,
    /// `revision_conflict` with the operator whose submission was accepted, or
    /// `store_result_unknown` with the write key.
    [[nodiscard]] state::result<std::uint64_t> submit(const configuration_submission& submission,
                                                      std::uint64_t announcement,
                                                      state::time_point now);

    /// Reads the revision from the table. Fetches a newer document from the table, or from a peer
    /// when the table is unavailable. `now` is the time before the call.
    void poll(state::time_point now);

    /// Returns the time until the next `poll`.
    [[nodiscard]] state::milliseconds poll_wait() const;

    /// Returns whether this member, at some time since its start, held the newest revision that it
    /// knew of. The caller then calls `membership::set_caught_up`.
    [[nodiscard]] bool is_caught_up() const;

    /// Merges revisions that another member published. Returns true when a revision above the one
    /// in force is known; the caller then calls `poll`.
    bool merge_revisions(const state::revision_view& revisions, state::time_point now);

    /// Merges the state that a peer returned.
    void merge_peer_state(const state::peer_state& peer, state::time_point now);

    /// Returns whether this member takes new work at `now`. Call it at every tick too, so that an
    /// isolation is recorded even when no request arrives.
    [[nodiscard]] service_state service(state::time_point now);

    /// Returns an accepted revision with its operator and time. Fails with `not_found`.
    [[nodiscard]] state::result<configuration_history> read_history(std::uint64_t revision) const;

private:
    [[nodiscard]] bool install(const std::string& document, std::uint64_t revision,
                               state::time_point now);
    [[nodiscard]] state::result<state::transaction_result>
    transact(const state::table_transaction& transaction) const;
    [[nodiscard]] state::result<state::table_row>
    check_current_revision(std::uint64_t expected) const;
    [[nodiscard]] boost::leaf::error_id make_conflict(std::uint64_t expected,
                                                      std::uint64_t current) const;
    void update_behind_since(state::time_point now);

    const std::string m_writer;
    const configuration_settings m_settings;
    const configuration_hooks m_hooks;
    state::snapshot_cell<state::configuration> m_current{state::configuration{}};

    mutable std::mutex m_mutex; // guards the fields below
    std::string m_document;     // document of m_document_revision
    std::uint64_t m_document_revision = 0;
    std::uint64_t m_latest_known = 0; // highest known accepted revision, >= m_document_revision
    std::uint64_t m_announced = 0;    // never decreases
    std::uint64_t m_writes = 0;
    std::uint64_t m_own_announcement = 0;
    state::time_point m_own_announced_at;
    std::uint32_t m_peer_replies = 0;
    eligibility_facts m_facts; // service() fills in majority_contact_at in its copy
};

} // namespace savoryrelay::coordination
