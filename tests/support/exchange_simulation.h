// Simulates the exchange between entry hosts in rounds: digests may be lost, doubled and
// late, hosts end, restart and are cut off, and tables are copied from peers.
#pragma once

#include "savoryrelay/coordination/exchange/crash_notice_schedule.h"
#include "savoryrelay/coordination/exchange/digest_exchange.h"
#include "savoryrelay/coordination/exchange/store_outage_detector.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/state/serving/table_mirror.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// Probabilities of the faults of one datagram.
struct datagram_faults {
    double lost = 0;
    double doubled = 0;
    double late = 0; ///< arrives up to three rounds later
};

class exchange_simulation {
public:
    static constexpr state::milliseconds round{100};
    static constexpr state::milliseconds restore_grace{2'200};

    struct host {
        state::host_entry entry;
        std::uint64_t incarnation = 1;
        bool is_up = true;
        bool is_cut_off = false;
        bool is_refused = false; ///< by the store
        /// While the store does not answer, the calls of this host fail at once; else they wait
        /// for an answer until they time out.
        bool fails_at_once = true;
        std::optional<state::time_point> unanswered_since; ///< call to the store
        state::time_point lost_until{};                    ///< after a call that failed
        state::time_point answer_due{};                    ///< of the call without a change
        std::unique_ptr<coordination::store_outage_detector> outages;
        int found_outages = 0;
        std::unique_ptr<coordination::host_directory> directory;
        std::unique_ptr<coordination::load_tracker> loads;
        std::unique_ptr<coordination::digest_exchange> exchange;
        std::unique_ptr<state::table_mirror> rows;
        std::uint64_t configuration_version = 0;
        std::uint64_t known_era = 0;
        std::optional<state::time_point> confirm_at; // set while a restore is recent
        std::unique_ptr<coordination::crash_notice_schedule> notices;
        /// Kind, fingerprint and crash of the notices that the host made or received.
        std::set<std::tuple<state::crash_notice_kind, state::request_fingerprint, std::uint64_t>>
            known_notices;
        std::uint64_t sent_bytes_entries = 0; // entries of all lists sent in the last round
        std::uint64_t sent_datagrams = 0;     // in the last round
        std::size_t most_notices = 0;         // in one digest of the last round
    };

    exchange_simulation(std::uint64_t seed, datagram_faults faults, std::size_t zones,
                        std::size_t hosts_per_zone)
        : m_random(seed), m_faults(faults) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            for (std::size_t i = 0; i < hosts_per_zone; ++i) {
                host value;
                value.entry.name = "edge-" + std::to_string(zone) + "-" + std::to_string(i);
                value.entry.address = {"10." + std::to_string(zone) + ".0." + std::to_string(i),
                                       7340};
                value.entry.availability_zone =
                    state::availability_zone_id("zone-" + std::to_string(zone));
                value.entry.processor_share = i < 3 ? 0.5 : 0.12;
                hosts.push_back(std::move(value));
            }
        }
        for (auto& each : hosts) {
            m_by_address[coordination::to_text(each.entry.address)] = &each;
            start(each);
        }
    }

    /// Starts a host's process with the table of hosts and nothing else.
    void start(host& each) {
        each.directory = std::make_unique<coordination::host_directory>(each.entry);
        each.loads = std::make_unique<coordination::load_tracker>();
        each.rows = std::make_unique<state::table_mirror>();
        each.notices = std::make_unique<coordination::crash_notice_schedule>();
        each.outages = std::make_unique<coordination::store_outage_detector>();
        each.unanswered_since.reset();
        each.lost_until = {};
        each.known_notices.clear();
        each.is_up = true;
        each.exchange = std::make_unique<coordination::digest_exchange>(
            *each.directory,
            coordination::digest_sources{
                .describe =
                    [this, &each](state::peer_digest& digest, state::time_point at) {
                        digest.host = each.entry;
                        digest.incarnation = each.incarnation;
                        digest.has_lost_store = each.is_refused || has_lost_store(each);
                        each.outages->describe(digest, at);
                        digest.operators_version = each.rows->newest_row_version();
                        digest.configuration_version = each.configuration_version;
                    },
                .loads = [&each](state::digest_scope scope,
                                 state::time_point at) { return each.loads->report(scope, at); },
                .work = [](state::digest_scope,
                           state::time_point) { return std::vector<state::model_work>{}; },
                .observations =
                    [](state::time_point) { return std::vector<state::runner_observation>{}; },
                .runners_to_confirm = [] { return std::vector<state::endpoint_id>{}; },
                .leaving_runners =
                    [](state::time_point) { return std::vector<state::leaving_runner>{}; },
                .call_rates =
                    [](state::time_point) { return std::vector<state::call_rate_notice>{}; },
                .crash_notices = [&each](state::time_point at) { return each.notices->due(at); }});
        for (const auto& other : hosts) {
            each.directory->add(other.entry);
        }
    }

    void restart(host& each) {
        ++each.incarnation;
        start(each);
    }

    /// Records a notice that a host made or received, and passes on a new one.
    void note(host& each, const state::crash_notice& notice) {
        if (each.known_notices.emplace(notice.kind, notice.fingerprint, notice.crash).second) {
            each.notices->add(notice, now);
        }
    }

    /// Replaces the store by a copy of its rows up to version `number`, in the next era.
    void restore_store(std::uint64_t number) {
        auto copy = store->image();
        const state::store_version last(copy.version.era, number);
        std::erase_if(copy.rows, [&](const auto& row) { return row.version > last; });
        ++copy.version.era;
        copy.version.number = number;
        for (auto& row : copy.rows) {
            ++row.version.era;
        }
        store = std::make_unique<state::table_mirror>();
        store->apply_image(copy);
    }

    /// Plays one round: hosts that read the store see `store`, the others copy from peers.
    void advance() {
        now += round;
        deliver_late();
        for (auto& each : hosts) {
            each.sent_datagrams = 0;
            each.sent_bytes_entries = 0;
            each.most_notices = 0;
            if (each.is_up) {
                send_round(each);
            }
        }
        for (auto& each : hosts) {
            if (each.is_up) {
                copy_rows(each);
                call_store(each);
            }
        }
    }
    void advance(int rounds) {
        for (int i = 0; i < rounds; ++i) {
            advance();
        }
    }

    [[nodiscard]] std::size_t store_readers() const {
        std::size_t count = 0;
        for (const auto& each : hosts) {
            count += each.is_up && each.exchange->is_store_reader() ? 1 : 0;
        }
        return count;
    }

    state::time_point now{std::chrono::hours(1)};
    std::vector<host> hosts;
    /// The operators' table as the store holds it.
    std::unique_ptr<state::table_mirror> store = std::make_unique<state::table_mirror>();
    bool is_store_away = false;  ///< the store answers nobody
    std::uint64_t went_back = 0; ///< times that a host's copy lost a version

private:
    struct late_digest {
        state::time_point at{};
        std::string receiver;
        state::peer_digest digest;
    };

    /// A call without a change is answered after this time.
    static constexpr state::milliseconds feed_wait{2'000};
    static constexpr state::milliseconds call_timeout{2'500};

    /// A host whose call has failed leaves the store to another host of its zone for this long.
    static constexpr state::milliseconds lost_duration{5'000};

    [[nodiscard]] bool has_lost_store(const host& each) const { return now < each.lost_until; }

    // A store reader always has a call at the store that waits for a change, and there is none.
    void call_store(host& each) {
        if (has_lost_store(each) && each.exchange->is_hub()) {
            each.outages->note_loss(now, coordination::contact_source::own);
        }
        const bool must_check =
            each.exchange->is_hub() && !has_lost_store(each) && each.outages->needs_check(now);
        if (!each.exchange->is_store_reader() && !must_check) {
            each.unanswered_since.reset();
            return;
        }
        if (each.is_refused || each.is_cut_off || is_store_away) {
            if (!each.unanswered_since) {
                each.unanswered_since = now;
            }
            if (each.fails_at_once || now - *each.unanswered_since >= call_timeout) {
                each.lost_until = now + lost_duration;
            }
            return;
        }
        const bool has_returned = each.unanswered_since.has_value();
        each.unanswered_since.reset();
        if (has_returned || now >= each.answer_due || must_check) {
            each.lost_until = {};
            each.found_outages +=
                each.outages->note_answer(now, coordination::contact_source::own) ? 1 : 0;
            each.answer_due = now + feed_wait;
        }
    }

    [[nodiscard]] bool happens(double chance) {
        return std::uniform_real_distribution<>(0, 1)(m_random) < chance;
    }

    void send_round(host& from) {
        for (const auto& [digest, receivers] : from.exchange->next_round(now)) {
            from.most_notices = std::max(from.most_notices, digest.crash_notices.size());
            for (const auto& receiver : receivers) {
                ++from.sent_datagrams;
                from.sent_bytes_entries += digest.loads.size() + digest.peers.size();
                if (happens(m_faults.lost)) {
                    continue;
                }
                const auto key = coordination::to_text(receiver);
                if (happens(m_faults.late)) {
                    const auto delay = round * std::uniform_int_distribution<>(1, 3)(m_random);
                    m_late.push_back({now + delay, key, digest});
                } else {
                    deliver(key, digest);
                }
                if (happens(m_faults.doubled)) {
                    deliver(key, digest);
                }
            }
        }
    }

    void deliver_late() {
        std::vector<late_digest> remaining;
        for (auto& each : std::exchange(m_late, {})) {
            if (each.at <= now) {
                deliver(each.receiver, each.digest);
            } else {
                remaining.push_back(std::move(each));
            }
        }
        m_late.insert(m_late.end(), remaining.begin(), remaining.end());
    }

    void deliver(const std::string& key, const state::peer_digest& digest) {
        const auto found = m_by_address.find(key);
        const auto* sender = m_by_address.at(coordination::to_text(digest.host.address));
        if (found == m_by_address.end() || !found->second->is_up || found->second->is_cut_off ||
            sender->is_cut_off) {
            return;
        }
        auto& receiver = *found->second;
        const auto received = receiver.exchange->receive(digest, now);
        if (received.is_accepted) {
            for (const auto& notice : digest.crash_notices) {
                note(receiver, notice);
            }
        }
        if (received.is_load_source) {
            receiver.found_outages += receiver.outages->apply(digest, now) ? 1 : 0;
            receiver.loads->apply_peer(digest.host.name + "/0", digest.scope, digest.loads, now);
        }
    }

    void copy_rows(host& each) {
        const auto before = each.rows->newest_row_version();
        if (each.is_cut_off) {
            return;
        }
        if (each.exchange->is_store_reader() && !each.is_refused) {
            each.rows->apply_image(store->changes_since(each.rows->synced_version()));
        }
        // Each host confirms its rows by a read of the store after the grace of a restore.
        const auto era = each.rows->synced_version().era;
        if (std::exchange(each.known_era, era) != era) {
            each.confirm_at = now + restore_grace;
        }
        if (each.confirm_at && now >= *each.confirm_at) {
            each.confirm_at.reset();
            each.rows->apply_image(store->image());
        }
        const auto source = each.directory->best_source(coordination::shared_table::operators, now);
        if (source && source->version > each.rows->synced_version()) {
            const auto* peer = m_by_address.at(coordination::to_text(source->address));
            if (peer->is_up && !peer->is_cut_off) {
                each.rows->apply_image(peer->rows->changes_since(each.rows->synced_version()));
            }
        }
        went_back += each.rows->newest_row_version() < before ? 1 : 0;
    }

    std::mt19937_64 m_random;
    datagram_faults m_faults;
    std::map<std::string, host*> m_by_address;
    std::vector<late_digest> m_late;
};

} // namespace savoryrelay::tests
