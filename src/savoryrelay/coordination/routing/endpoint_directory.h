// Holds the state of one deployment's endpoints as a router sees it. A routing
// decision reads only a few of the rows. Each thread that makes decisions has a
// lane: a shard with its own copy of all rows under its own lock. When the
// threads shared the rows, 8 threads made only 1.8 times as many decisions as 1,
// because the cache line of each lock moved between cores.
#pragma once

#include "savoryrelay/coordination/routing/prefix_table.h"
#include "savoryrelay/coordination/routing/router.h"
#include "savoryrelay/state/core/sharded_map.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace savoryrelay::coordination {

/// Rows of a fixed set of endpoints; a change of the set needs a new directory.
/// Slots follow the order of the configuration, so that all routers agree on the
/// slot that a prefix hashes to. Thread-safe. A lane sees the requests of other
/// lanes as of the last `refresh`; reports, phases, drains and permits are
/// written to all lanes immediately.
class endpoint_directory {
public:
    /// `lanes` is the number of threads that make decisions. `digests_per_slot`
    /// bounds the prefix table, which takes an estimated 150 bytes per digest.
    endpoint_directory(const std::vector<route_row>& rows, route_weights weights,
                       std::size_t lanes = 1, std::size_t digests_per_slot = 64);

    [[nodiscard]] std::size_t size() const { return m_count; }
    /// Returns the row as `lane` sees it. Lane numbers wrap around at the number
    /// of lanes.
    [[nodiscard]] route_row read(std::uint32_t slot, std::size_t lane = 0) const;

    /// Chooses a slot and counts the request as sent there. For a cold endpoint
    /// it also takes a permit. If the slot can no longer accept the request, for
    /// example because another thread took the last permit, it is excluded and
    /// the choice is repeated.
    [[nodiscard]] state::result<std::uint32_t> begin(const slot_request& request,
                                                     state::time_point now, random_source& random,
                                                     std::size_t lane = 0);
    /// Counts the end of a request that `lane` sent to `slot`.
    void end(std::uint32_t slot, std::size_t lane = 0);

    /// Stores a load report and resets the counts of requests since the report.
    void report(std::uint32_t slot, const state::load_report& report);
    /// Adds an observed interval between tokens to the moving average of the row.
    void observe_token_interval(std::uint32_t slot, double interval_ms);
    /// Sets the phase when the transition table allows it. Returns whether it
    /// was set. The phases cold and down also remove the endpoint's prefixes and
    /// its unused permits.
    bool set_phase(std::uint32_t slot, state::endpoint_phase phase);
    /// Marks the endpoint as down; it is not chosen before `retry_at`.
    void set_down(std::uint32_t slot, state::time_point retry_at);
    /// Takes an endpoint out of service or returns it.
    void set_drained(std::uint32_t slot, bool drained);
    /// Sets the number of unused permits that this router has for a cold endpoint.
    void set_cold_permits(std::uint32_t slot, std::uint32_t permits);
    /// Takes a zone out of service, or returns it to service at `now`. The
    /// returned zone's share ramps up, and its endpoints count as cold until
    /// they report otherwise.
    void set_zone_drained(std::uint32_t zone, bool drained, state::time_point now);

    /// Recomputes the mean load and the median token interval, and gives each
    /// lane the request counts of the others. It walks all rows, so it is called
    /// periodically, about every 20 ms, and not for each request.
    void refresh();

    /// Returns the hooks for a decision in `lane`. The directory must outlive them.
    [[nodiscard]] route_view view(std::size_t lane = 0) const;

private:
    // Requests that one lane counted at one slot. The counts are signed because
    // a request sent before a report may end after it.
    struct lane_counts {
        std::int64_t sent = 0;
        std::int64_t ended = 0;
        std::int64_t in_flight = 0;
    };
    struct alignas(64) lane_type {
        mutable std::mutex mutex;
        std::vector<route_row> rows;     // guarded by mutex; request counts of all lanes
        std::vector<lane_counts> counts; // guarded by mutex; request counts of this lane
    };

    [[nodiscard]] lane_type& lane_of(std::size_t lane) const {
        return *m_lanes[lane % m_lanes.size()];
    }
    template <typename Change>
    void change_all_lanes(std::uint32_t slot, Change change);
    // Counts a request as sent to `slot` if the row still accepts it and a needed
    // permit is left. Returns whether it was counted.
    [[nodiscard]] bool try_begin(lane_type& lane, std::uint32_t slot, const route_needs& needs,
                                 state::time_point now);
    void exchange_counts(std::size_t from, std::size_t to);

    std::size_t m_count;
    route_weights m_weights;
    std::vector<std::unique_ptr<lane_type>> m_lanes; // never empty
    // Unused permits by slot. The copies in the rows may be too high.
    state::sharded_map<std::uint32_t, std::uint32_t> m_permits;
    prefix_table m_prefixes;
    // Aggregates of the last refresh. They are stored one after the other, so a
    // decision may read one old and one new value.
    std::atomic<double> m_mean_load{0};
    std::atomic<double> m_median_token_interval_ms{0};
};

} // namespace savoryrelay::coordination
