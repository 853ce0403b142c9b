// Follows the change feeds of the store and applies the changed rows.
#include "store_part.h"

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "platform/wire_names.h"
#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace savoryrelay::edge {

namespace asio = boost::asio;
using state::milliseconds;
using transport::log_info;
using transport::log_warning;
using transport::pause_for;

namespace {

// Time that one call to a feed waits for a change. A call that returns without a change
// shows that the connection works.
constexpr milliseconds operators_feed_wait{2'000};
constexpr milliseconds runners_feed_wait{2'000};
constexpr milliseconds retry_pause{250};
// A host whose copies come from its hub reads the store for itself when they are older
// than this, plus a part of `max_age_spread` by its name.
constexpr milliseconds max_copy_age{3'000};
constexpr milliseconds max_age_spread{2'000};
// Time until a host that has just started reads the store for itself, if no hub passes
// it the tables.
constexpr milliseconds first_read_delay{500};
// A host that is no hub pauses for this long after a failed call, because its hub tells
// it when the store is back.
constexpr milliseconds member_retry_pause{2'000};
constexpr milliseconds follow_check_interval{200};
constexpr milliseconds contact_check_interval{100};
// A call that only checks the contact doesn't wait for a change.
constexpr milliseconds contact_check_wait{1};
// A host that follows the store copies from peers after this time without an answer: a
// call that hangs fails only at its time-out.
constexpr milliseconds contact_duration{1'000};
// A host that the store has refused leaves reading it to another host of its zone for this long.
constexpr milliseconds lost_store_duration{5'000};
// A call to a feed is answered within its wait and this long.
constexpr milliseconds max_answer_delay{500};

/// Counts a call to the store while it waits for its answer.
class pending_call {
public:
    explicit pending_call(std::atomic<int>& count) : m_count(count) { ++m_count; }
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    ~pending_call() { --m_count; }

private:
    std::atomic<int>& m_count;
};

} // namespace

store_part::store_part(transport::io_threads& threads, platform::store_client& store,
                       shared_state& shared, std::function<state::time_point()> now)
    : m_threads(threads), m_store(store), m_shared(shared), m_now(std::move(now)),
      m_max_age(max_copy_age + milliseconds(static_cast<std::int64_t>(
                                   state::stable_hash(shared.own_host.name) %
                                   static_cast<std::uint64_t>(max_age_spread.count())))) {
    m_current_at = m_now() - max_copy_age + first_read_delay;
}

void store_part::start() {
    auto& context = m_threads.context(0);
    transport::start_control_loop(context, "operators_feed", [this] {
        return follow(std::string(platform::wire::operators_table), m_shared.operators,
                      {operators_feed_wait, {}}, &store_part::apply_operators);
    });
    transport::start_control_loop(context, "runners_feed", [this] {
        return follow(std::string(platform::wire::runners_table), m_shared.runners,
                      {runners_feed_wait, m_shared.entry_interval()}, &store_part::apply_runners);
    });
    transport::start_control_loop(context, "store_contact", [this] { return check_contact(); });
}

bool store_part::follows_store() const {
    return m_shared.is_store_reader || age(m_now()) > m_max_age;
}

bool store_part::is_in_contact(state::time_point now) const {
    return follows_store() && m_shared.is_store_reachable &&
           now - m_contact_at.load() < contact_duration;
}

bool store_part::has_lost_store(state::time_point now) const {
    const auto since = std::max(m_contact_at.load(), m_call_began_at.load());
    const bool is_unanswered =
        m_pending_calls > 0 && now - since > operators_feed_wait + max_answer_delay;
    return is_unanswered || now < m_store_lost_until.load();
}

void store_part::note_current(state::time_point at) {
    if (at > m_current_at.load()) {
        m_current_at = at;
    }
}

void store_part::note_peer_contact(const state::peer_digest& digest, state::time_point now) {
    log_outage(m_outages.apply(digest, now));
}

void store_part::describe_contact(state::peer_digest& digest, state::time_point now) const {
    digest.has_lost_store = has_lost_store(now);
    m_outages.describe(digest, now);
}

milliseconds store_part::age(state::time_point now) const {
    return std::max(milliseconds(0),
                    std::chrono::duration_cast<milliseconds>(now - m_current_at.load()));
}

void store_part::note_own_loss(state::time_point now) {
    if (m_shared.is_hub) {
        m_outages.note_loss(now, coordination::contact_source::own);
    }
}

void store_part::log_outage(std::optional<milliseconds> outage) {
    if (outage) {
        log_warning("store_outage", {{"unanswered_ms", std::to_string(outage->count())}});
        m_shared.metrics.counter_of("savoryrelay_store_outages_total").add();
    }
}

asio::awaitable<void> store_part::check_contact() {
    while (true) {
        co_await pause_for(contact_check_interval);
        const auto now = m_now();
        if (has_lost_store(now)) {
            note_own_loss(now);
        } else if (m_shared.is_hub && m_outages.needs_check(now)) {
            co_await ask_store();
        }
    }
}

asio::awaitable<void> store_part::ask_store() {
    const std::string table(platform::wire::runners_table);
    const auto held = m_shared.runners.synced_version();
    const auto feed = co_await m_store.wait_for_changes(table, held, contact_check_wait);
    if (!feed) {
        note_store_call(false, feed.error().message());
        co_return;
    }
    const auto& answer = feed.value();
    if (held.number == 0 || answer.history_expired || answer.version.era != held.era) {
        // The store has answered, but these rows do not make the copy current.
        log_outage(m_outages.note_answer(m_now(), coordination::contact_source::own));
        co_return;
    }
    note_store_call(true, "");
    apply_runners(m_shared.runners.apply_changes(answer.changes, answer.version));
}

void store_part::note_store_call(bool succeeded, const std::string& detail) {
    const auto now = m_now();
    m_shared.is_store_reachable = succeeded;
    if (!succeeded) {
        m_store_lost_until = now + lost_store_duration;
        note_own_loss(now);
        if (!m_failing_since) {
            m_failing_since = now;
            log_warning("store_lost", {{"detail", detail}});
        }
        return;
    }
    m_contact_at = now;
    m_current_at = now;
    m_store_lost_until = state::time_point{};
    log_outage(m_outages.note_answer(now, coordination::contact_source::own));
    if (m_failing_since) {
        const auto lost_for = std::chrono::duration_cast<milliseconds>(now - *m_failing_since);
        log_info("store_regained", {{"after_ms", std::to_string(lost_for.count())}});
        m_failing_since.reset();
    }
}

asio::awaitable<void> store_part::follow(std::string table, state::table_mirror& mirror,
                                         feed_times times, apply_rows_hook apply_rows) {
    bool must_read_all = true;
    auto known = mirror.synced_version();
    // When the rows that their writers have not written again since a restore are given up.
    std::optional<state::time_point> confirm_at;
    bool is_failing = false;  // the last call to the feed failed
    bool has_expired = false; // the last answer of the feed said that its history is gone
    const auto pause_after_failure = [this] {
        return m_shared.is_store_reader ? retry_pause : member_retry_pause;
    };
    while (true) {
        const auto held = mirror.synced_version();
        const auto before = std::exchange(known, held);
        // A reader that has just started may have read the copy of a restore.
        const bool may_be_copy = before.number > 0 || follows_store();
        if (may_be_copy && held.era > before.era) {
            confirm_at =
                m_now() + coordination::store_outage_detector::return_grace + confirm_delay();
        }
        // The hub's copy does not tell a host whether the hub knew the rows of before.
        const bool must_confirm = confirm_at && m_now() >= *confirm_at;
        if (!follows_store() && !must_confirm) {
            // The copies from the hub have all changes up to the mirror's version.
            must_read_all = held.number == 0;
            co_await pause_for(follow_check_interval);
            continue;
        }
        const pending_call pending(m_pending_calls);
        m_call_began_at = m_now();
        // The feed does not tell that the version it is asked for is one of an earlier era.
        if (must_read_all || must_confirm || m_store.era() > held.era) {
            auto image = co_await m_store.read_table(table);
            note_store_call(image.has_value(), image ? "" : image.error().message());
            if (!image) {
                co_await pause_for(pause_after_failure());
                continue;
            }
            const bool is_restored = held.number > 0 && image.value().version.era > held.era;
            if (is_restored) {
                note_restore(table, held, image.value().version);
            }
            const bool is_first = held.number == 0 && image.value().version.era > 0;
            image.value().is_confirmed = !is_restored && !is_first && (!confirm_at || must_confirm);
            (this->*apply_rows)(mirror.apply_image(image.value()));
            if (image.value().is_confirmed && image.value().version.era >= held.era) {
                confirm_at.reset();
            }
            must_read_all = false;
            if (image.value().version.era < m_store.era()) {
                co_await pause_for(retry_pause); // a late answer of the earlier era
            }
            continue;
        }
        // After a failure, the era shows in the next answer, which must not wait for a change.
        auto wait = is_failing ? milliseconds(1) : times.wait;
        if (confirm_at) {
            wait = std::clamp(milliseconds_until(*confirm_at), milliseconds(1), wait);
        }
        const auto feed = co_await m_store.wait_for_changes(table, held, wait);
        note_store_call(feed.has_value(), feed ? "" : feed.error().message());
        is_failing = !feed.has_value();
        if (!feed) {
            co_await pause_for(pause_after_failure());
            continue;
        }
        const bool had_expired = std::exchange(has_expired, feed.value().history_expired);
        if (feed.value().history_expired) {
            must_read_all = true;
            log_info("feed_history_gone", {{"table", table}});
            if (had_expired) {
                co_await pause_for(retry_pause); // the read before has not helped
            }
            continue;
        }
        if (feed.value().version.era != held.era) {
            must_read_all = true;
            co_await pause_for(feed.value().version.era < held.era ? retry_pause : milliseconds(0));
            continue;
        }
        (this->*apply_rows)(mirror.apply_changes(feed.value().changes, feed.value().version));
        if (times.pause.count() > 0) {
            co_await pause_for(times.pause);
        }
    }
}

milliseconds store_part::confirm_delay() const {
    return m_shared.is_store_reader ? milliseconds(0) : m_max_age - max_copy_age;
}

milliseconds store_part::milliseconds_until(state::time_point at) const {
    return std::chrono::duration_cast<milliseconds>(at - m_now());
}

void store_part::note_restore(const std::string& table, state::store_version held,
                              state::store_version read) {
    m_outages.note_restore(m_now());
    log_warning("store_restored", {{"table", table},
                                   {"era_before", std::to_string(held.era)},
                                   {"version_before", std::to_string(held.number)},
                                   {"era", std::to_string(read.era)},
                                   {"version", std::to_string(read.number)}});
    m_shared.metrics.counter_of("savoryrelay_store_restores_total", {{"table", table}}).add();
}

void store_part::apply_operators(const std::vector<state::mirrored_row>& changed) {
    if (changed.empty()) {
        return;
    }
    const auto image = m_shared.operators.image();
    auto zones = platform::evacuated_zones(image);
    std::string names;
    for (const auto& zone : zones) {
        names += (names.empty() ? "" : ",") + zone.value();
    }
    if (m_shared.zones_out_of_service.replace_if(
            std::move(zones),
            [](const auto& current, const auto& next) { return current != next; })) {
        log_info("zones_out_of_service", {{"zones", names}});
    }
    const auto text = platform::configuration_text(image);
    if (!text || std::none_of(changed.begin(), changed.end(), [](const auto& row) {
            return row.key == platform::wire::configuration_key;
        })) {
        return;
    }
    auto decoded = state::collect([&] { return platform::decode_configuration(*text); });
    if (!decoded) {
        log_warning("configuration_unreadable", {{"detail", decoded.error().message()}});
        return;
    }
    const auto version = decoded.value().version;
    const bool is_newer = m_shared.configuration.replace_if(
        std::move(decoded.value()),
        [](const auto& current, const auto& next) { return next.version > current.version; });
    log_info("configuration", {{"version", std::to_string(version)},
                               {"outcome", is_newer ? "in_force" : "not_newer"}});
}

void store_part::apply_runners(const std::vector<state::mirrored_row>& changed) {
    const auto now = m_now();
    const auto grace = m_outages.grace_left(now);
    for (const auto& row : changed) {
        const state::endpoint_id id(row.key);
        if (row.is_removed) {
            m_shared.fleet.apply_removal(id, now + grace);
            log_info("runner_unlisted",
                     {{"runner", row.key}, {"called_for_ms", std::to_string(grace.count())}});
            continue;
        }
        const auto entry =
            state::collect([&] { return platform::decode_runner_entry(id, row.value); });
        if (!entry) {
            m_shared.fleet.apply_removal(id, now);
            log_warning("runner_entry_unreadable",
                        {{"runner", row.key}, {"detail", entry.error().message()}});
            continue;
        }
        const auto known = m_shared.fleet.find(id);
        if (!known || !known->has_entry || known->record.started_ms != entry.value().started_ms ||
            known->record.is_draining != entry.value().is_draining) {
            log_info("runner_listed", {{"runner", row.key},
                                       {"service", entry.value().service},
                                       {"domain", entry.value().fabric_domain.value()},
                                       {"draining", entry.value().is_draining ? "yes" : "no"}});
        }
        m_shared.fleet.apply_entry(entry.value(), now);
    }
}

} // namespace savoryrelay::edge
