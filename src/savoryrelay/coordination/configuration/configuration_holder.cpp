// Submission, polling and installation of configurations.
#include "savoryrelay/coordination/configuration/configuration_holder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace savoryrelay::coordination {

using state::failure_kind;
using state::time_point;

namespace {

constexpr auto current_key = "config/current";

std::string history_key(std::uint64_t revision) {
    return "config/history/" + std::to_string(revision);
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
    Number number = 0;
    const auto* end = text.data() + text.size();
    const auto [at, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && at == end ? std::optional(number) : std::nullopt;
}

/// Removes the first line from `text` and returns it.
std::string_view take_line(std::string_view& text) {
    const auto end = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

/// Returns the revision in the row `config/current`, or 0 when the row is absent.
state::result<std::uint64_t> revision_of(const state::table_row& row) {
    if (row.version == 0) {
        return std::uint64_t{0};
    }
    if (const auto revision = parse_number<std::uint64_t>(row.value)) {
        return *revision;
    }
    return state::fail(failure_kind::internal,
                       "the value of row config/current is not a revision number");
}

/// Returns the value of a history row: operator, submission time in ms since the Unix epoch, and
/// document, separated by line breaks.
std::string to_history_row(const configuration_submission& submission) {
    return submission.operator_name + '\n' +
           std::to_string(submission.submitted_at.time_since_epoch().count()) + '\n' +
           submission.document;
}

} // namespace

state::result<void> check_settings(const configuration_settings& settings) {
    using namespace std::chrono_literals;
    constexpr auto in_force_limit = 6'000ms;
    const auto& eligibility = settings.eligibility;
    const auto outside = [](const char* field) {
        return state::fail(failure_kind::invalid_settings,
                           std::string(field) + " is outside its range");
    };
    if (settings.poll_period <= 0ms || settings.poll_period > 2'000ms) {
        return outside("poll_period");
    }
    if (settings.behind_poll_period < 100ms || settings.behind_poll_period > settings.poll_period) {
        return outside("behind_poll_period");
    }
    if (eligibility.behind_limit <= settings.behind_poll_period) {
        return outside("behind_limit");
    }
    if (eligibility.isolation_limit <= settings.poll_period ||
        eligibility.isolation_limit + eligibility.behind_limit > in_force_limit) {
        return outside("isolation_limit");
    }
    if (settings.announcement_wait <= 0ms ||
        eligibility.announcement_expiry <= settings.announcement_wait) {
        return outside("announcement_wait");
    }
    return {};
}

configuration_holder::configuration_holder(std::string writer, configuration_settings settings,
                                           configuration_hooks hooks)
    : m_writer(std::move(writer)), m_settings(settings), m_hooks(std::move(hooks)) {}

state::peer_state configuration_holder::make_peer_state() const {
    const std::scoped_lock lock(m_mutex);
    return {{}, {m_document_revision, m_latest_known, m_announced}, m_document};
}

state::revision_view configuration_holder::revisions() const {
    const std::scoped_lock lock(m_mutex);
    return {m_document_revision, m_latest_known, m_announced};
}

state::result<std::uint64_t>
configuration_holder::announce(const configuration_submission& submission, time_point now) {
    const auto& name = submission.operator_name;
    if (name.empty() || name.find('\n') != std::string::npos) {
        return state::fail(failure_kind::invalid_request,
                           "the operator's name must be one line and not empty");
    }
    const auto next = submission.expected_revision + 1;
    BOOST_LEAF_CHECK(m_hooks.parse(submission.document, next));
    BOOST_LEAF_CHECK(check_current_revision(submission.expected_revision));

    const std::scoped_lock lock(m_mutex);
    const auto announced_before = state::announced_revision(m_announced) == next;
    const auto attempt = announced_before ? (m_announced & 0xFFFFU) + 1 : 0;
    m_announced = std::max(m_announced, state::make_announcement(next, attempt));
    m_facts.announced_at = now;
    m_own_announcement = m_announced;
    m_own_announced_at = now;
    return m_announced;
}

state::result<std::uint64_t>
configuration_holder::submit(const configuration_submission& submission, std::uint64_t announcement,
                             time_point now) {
    {
        const std::scoped_lock lock(m_mutex);
        if (announcement != m_own_announcement ||
            now - m_own_announced_at > m_settings.announcement_wait) {
            return state::fail(
                failure_kind::deadline_exceeded,
                "the announcement of this submission is too old or was replaced by another",
                state::execution_outcome::not_run);
        }
    }
    const auto listed = m_hooks.listed_count();
    const auto acknowledged = m_hooks.count_acknowledgements(announcement);
    if (!m_settings.eligibility.single_entry_host &&
        acknowledged < acknowledgements_needed(listed)) {
        return state::fail(
            failure_kind::isolated,
            "only " + std::to_string(acknowledged) + " of " + std::to_string(listed) +
                " entry hosts have acknowledged the announcement of the configuration");
    }
    BOOST_LEAF_AUTO(row, check_current_revision(submission.expected_revision));

    const auto next = submission.expected_revision + 1;
    state::table_transaction transaction;
    {
        const std::scoped_lock lock(m_mutex);
        transaction.write_key = "config/" + m_writer + "/" + std::to_string(++m_writes);
    }
    transaction.checks = {{current_key, row.version}, {history_key(next), 0}};
    transaction.puts = {{current_key, std::to_string(next)},
                        {history_key(next), to_history_row(submission)}};
    BOOST_LEAF_AUTO(outcome, transact(transaction));
    if (!outcome.committed) {
        return make_conflict(submission.expected_revision, next);
    }
    [[maybe_unused]] const bool installed = install(submission.document, next, now);
    return next;
}

/// Runs the transaction. When the reply is lost, reads the result back by the write key. Sending
/// the transaction again would also be safe, because a write key is applied only once.
state::result<state::transaction_result>
configuration_holder::transact(const state::table_transaction& transaction) const {
    auto outcome = state::collect([&] { return m_hooks.platform.transact(transaction); });
    for (std::uint32_t i = 0; i < m_settings.read_back_attempts && !outcome; ++i) {
        if (outcome.error().kind != failure_kind::store_result_unknown) {
            break;
        }
        const auto stored = state::collect(
            [&] { return m_hooks.platform.read_write_result(transaction.write_key); });
        if (stored && stored.value()) {
            outcome = *stored.value();
        }
    }
    if (outcome) {
        return outcome.value();
    }
    auto error = outcome.error();
    if (error.kind == failure_kind::store_result_unknown) {
        error.detail = "the result of write " + transaction.write_key + " could not be read back";
    }
    return state::fail(std::move(error));
}

state::result<state::table_row>
configuration_holder::check_current_revision(std::uint64_t expected) const {
    BOOST_LEAF_AUTO(row, m_hooks.platform.read_row(current_key));
    BOOST_LEAF_AUTO(current, revision_of(row));
    if (current != expected) {
        return make_conflict(expected, current);
    }
    return row;
}

/// Returns the failure of a submission that replaces revision `expected` when revision `current`
/// has already been accepted. The text names the operator of `current`.
boost::leaf::error_id configuration_holder::make_conflict(std::uint64_t expected,
                                                          std::uint64_t current) const {
    const auto winner = state::collect([&] { return read_history(current); });
    const auto by = winner ? " by operator '" + winner.value().operator_name + "'" : std::string();
    return state::fail(failure_kind::revision_conflict,
                       "the submission replaces revision " + std::to_string(expected) +
                           ", but revision " + std::to_string(current) + by +
                           " has already been accepted");
}

state::result<configuration_history>
configuration_holder::read_history(std::uint64_t revision) const {
    BOOST_LEAF_AUTO(row, m_hooks.platform.read_row(history_key(revision)));
    if (row.version == 0) {
        return state::fail(failure_kind::not_found,
                           "revision " + std::to_string(revision) + " does not exist");
    }
    std::string_view text = row.value;
    configuration_history history;
    history.revision = revision;
    history.operator_name = take_line(text);
    const auto at = parse_number<std::int64_t>(take_line(text));
    history.submitted_at = state::wall_time(state::milliseconds(at.value_or(0)));
    history.document = text;
    return history;
}

void configuration_holder::poll(time_point now) {
    // The table is read first, because only the table has every accepted revision.
    const auto current = state::collect([&]() -> state::result<std::uint64_t> {
        BOOST_LEAF_AUTO(row, m_hooks.platform.read_row(current_key));
        return revision_of(row);
    });
    std::uint64_t missing_revision = 0;
    {
        const std::scoped_lock lock(m_mutex);
        if (current) {
            m_facts.store_read_at = now;
            m_latest_known = std::max(m_latest_known, current.value());
        }
        update_behind_since(now);
        missing_revision = m_latest_known > m_document_revision ? m_latest_known : 0;
    }

    // Fetch the missing document from the table, or from a peer when the table does not return it.
    if (missing_revision != 0) {
        const auto row = state::collect([&] { return read_history(missing_revision); });
        if (!row || !install(row.value().document, missing_revision, now)) {
            const auto peer =
                state::collect([&] { return m_hooks.fetch_from_peer(missing_revision); });
            if (peer) {
                merge_peer_state(peer.value(), now);
            }
        }
    }
    const std::scoped_lock lock(m_mutex);
    if (current && m_document_revision >= m_latest_known) {
        m_facts.caught_up = true;
        if (m_facts.announced_at &&
            now - *m_facts.announced_at > m_settings.eligibility.announcement_expiry) {
            m_facts.announced_at.reset(); // the announced revision was not written
        }
    }
}

state::milliseconds configuration_holder::poll_wait() const {
    const std::scoped_lock lock(m_mutex);
    return m_latest_known > m_document_revision ? m_settings.behind_poll_period
                                                : m_settings.poll_period;
}

bool configuration_holder::is_caught_up() const {
    const std::scoped_lock lock(m_mutex);
    return m_facts.caught_up;
}

bool configuration_holder::merge_revisions(const state::revision_view& revisions, time_point now) {
    [[maybe_unused]] const auto before = service(now); // records an isolation that lasted until now
    const std::scoped_lock lock(m_mutex);
    m_latest_known = std::max({m_latest_known, revisions.latest_known, revisions.held});
    if (revisions.announced > m_announced) {
        m_announced = revisions.announced;
        m_facts.announced_at = now;
    }
    update_behind_since(now);
    return m_latest_known > m_document_revision;
}

void configuration_holder::merge_peer_state(const state::peer_state& peer, time_point now) {
    if (peer.revisions.held > 0) {
        [[maybe_unused]] const bool installed =
            install(peer.configuration, peer.revisions.held, now);
    }
    [[maybe_unused]] const bool is_behind = merge_revisions(peer.revisions, now);
    const auto listed = m_hooks.listed_count();
    const auto others = std::max<std::size_t>(listed, 1) - 1;

    // Before a restart, this member may have acknowledged an announcement that it no longer knows,
    // so it does not count itself. A majority without it includes another member that acknowledged
    // the announcement.
    const auto majority_contact_at = m_hooks.last_contact_with(majority_needed(listed) + 1, now);
    const bool has_majority_contact =
        majority_contact_at && now - *majority_contact_at <= m_settings.eligibility.isolation_limit;
    const std::scoped_lock lock(m_mutex);
    ++m_peer_replies;
    const auto needed = std::min<std::size_t>(m_settings.required_peer_replies, others);
    if (has_majority_contact && m_peer_replies >= needed && m_document_revision > 0 &&
        m_document_revision >= m_latest_known) {
        m_facts.caught_up = true;
    }
}

/// Puts a document in force if its revision is newer than the one in force. Returns false when the
/// document cannot be parsed.
bool configuration_holder::install(const std::string& document, std::uint64_t revision,
                                   time_point now) {
    const auto parsed = state::collect([&] { return m_hooks.parse(document, revision); });
    if (!parsed) {
        return false;
    }
    const bool replaced =
        m_current.replace_if(parsed.value(), [this](const auto& held, const auto& candidate) {
            return m_hooks.is_newer(held.revision, candidate.revision);
        });
    const std::scoped_lock lock(m_mutex);
    // Two threads may reach this point in either order, so the document is replaced only by a newer
    // one.
    if (replaced && m_hooks.is_newer(m_document_revision, revision)) {
        m_document = document;
        m_document_revision = revision;
    }
    m_latest_known = std::max(m_latest_known, revision);
    update_behind_since(now);
    return true;
}

/// Sets `behind_since` while a newer revision is known but not held, and resets it otherwise.
/// Resets `announced_at` once the announced revision is held. The caller holds m_mutex.
void configuration_holder::update_behind_since(time_point now) {
    if (m_document_revision >= m_latest_known) {
        m_facts.behind_since.reset();
    } else if (!m_facts.behind_since) {
        m_facts.behind_since = now;
    }
    if (state::announced_revision(m_announced) <= m_document_revision) {
        m_facts.announced_at.reset();
    }
}

service_state configuration_holder::service(time_point now) {
    const auto majority_contact_at =
        m_hooks.last_contact_with(majority_needed(m_hooks.listed_count()), now);
    eligibility_facts facts;
    {
        const std::scoped_lock lock(m_mutex);
        facts = m_facts;
    }
    facts.majority_contact_at = majority_contact_at;
    const auto service = m_hooks.rule(facts, m_settings.eligibility, now);
    const std::scoped_lock lock(m_mutex);
    if (service == service_state::isolated) {
        m_facts.was_isolated = true;
    } else if (service == service_state::serving) {
        m_facts.was_isolated = false;
    }
    return service;
}

} // namespace savoryrelay::coordination
