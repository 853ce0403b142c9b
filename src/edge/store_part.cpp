// Follows the change feeds of the store and applies the changed rows.
#include "store_part.h"

#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "platform/wire_names.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savoryrelay::edge {

namespace asio = boost::asio;
using state::milliseconds;
using transport::log_info;
using transport::log_warning;
using transport::pause_for;

namespace {

// Time that one call to the runners' feed waits for a change. A call that returns without
// a change shows that the connection works.
constexpr milliseconds runners_feed_wait{2'000};
constexpr milliseconds retry_pause{250};
// Entries that lapsed during an outage return within about two seconds of its end, as the
// platform specifies.
constexpr milliseconds return_grace{2'200};
// Entries do not lapse during an outage shorter than this.
constexpr milliseconds min_outage{1'000};

} // namespace

store_part::store_part(transport::io_threads& threads, platform::store_client& store,
                       shared_state& shared, std::function<state::time_point()> now)
    : m_threads(threads), m_store(store), m_shared(shared), m_now(std::move(now)) {}

void store_part::start() {
    asio::co_spawn(m_threads.context(0),
                   follow(
                       std::string(platform::wire::operators_table), m_shared.operators,
                       [this] {
                           return feed_times{m_shared.intervals().operators_feed_wait, {}};
                       },
                       &store_part::apply_operators),
                   asio::detached);
    asio::co_spawn(
        m_threads.context(0),
        follow(
            std::string(platform::wire::runners_table), m_shared.runners,
            [this] {
                return feed_times{runners_feed_wait, m_shared.intervals().runners_feed_pause};
            },
            &store_part::apply_runners),
        asio::detached);
}

void store_part::note_store_call(bool succeeded, const std::string& detail) {
    const auto now = m_now();
    m_shared.is_store_reachable = succeeded;
    if (!succeeded) {
        if (!m_failing_since) {
            m_failing_since = now;
            log_warning("store_lost", {{"detail", detail}});
        }
        return;
    }
    if (m_failing_since) {
        const auto outage = now - *m_failing_since;
        if (outage >= min_outage) {
            m_recovered_at = now;
        }
        log_info("store_regained",
                 {{"after_ms",
                   std::to_string(std::chrono::duration_cast<milliseconds>(outage).count())}});
        m_failing_since.reset();
    }
}

asio::awaitable<void> store_part::follow(std::string table, state::table_mirror& mirror,
                                         std::function<feed_times()> times,
                                         apply_rows_hook apply_rows) {
    bool must_read_all = true;
    while (true) {
        if (must_read_all) {
            const auto image = co_await m_store.read_table(table);
            note_store_call(image.has_value(), image ? "" : image.error().message());
            if (!image) {
                co_await pause_for(retry_pause);
                continue;
            }
            (this->*apply_rows)(mirror.apply_image(image.value()));
            must_read_all = false;
        }
        const auto [wait, pause] = times();
        const auto feed = co_await m_store.wait_for_changes(table, mirror.synced_version(), wait);
        note_store_call(feed.has_value(), feed ? "" : feed.error().message());
        if (!feed) {
            co_await pause_for(retry_pause);
            continue;
        }
        if (feed.value().history_expired) {
            must_read_all = true;
            log_info("feed_history_gone", {{"table", table}});
            continue;
        }
        (this->*apply_rows)(mirror.apply_changes(feed.value().changes, feed.value().version));
        if (pause.count() > 0) {
            co_await pause_for(pause);
        }
    }
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
    const auto grace_end = m_recovered_at + return_grace;
    for (const auto& row : changed) {
        const state::endpoint_id id(row.key);
        if (row.is_removed) {
            m_shared.fleet.apply_removal(id, std::max(now, grace_end));
            log_info("runner_unlisted", {{"runner", row.key}});
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
