// The endpoints of one deployment as a router sees them, for decisions that
// read only a few of them. Rows stand in shards, each under its own lock.
#pragma once

#include "savoryrelay/coordination/routing/prefix_table.h"
#include "savoryrelay/coordination/routing/router.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

namespace savoryrelay::coordination {

/// Rows of a fixed set of endpoints; a configuration with another set gets a
/// new directory. Slots follow the order of the configuration, so that all
/// routers agree on the slot that a prefix hashes to. Thread-safe.
class endpoint_directory {
public:
    /// `digests_per_slot` bounds the prefix table: about 150 bytes a digest.
    endpoint_directory(std::vector<route_row> rows, route_weights weights,
                       std::size_t digests_per_slot = 256);

    [[nodiscard]] std::size_t size() const { return m_count; }
    [[nodiscard]] route_row read(std::uint32_t slot) const;

    /// Chooses a slot and counts the request as sent there. A cold endpoint's
    /// permit is taken in the same step; a slot whose last permit was taken
    /// meanwhile is excluded and the choice repeated.
    [[nodiscard]] state::result<std::uint32_t> begin(slot_request request, state::time_point now,
                                                     random_source& random);
    /// Counts the end of a request at `slot`.
    void end(std::uint32_t slot);

    /// Takes over a load report and starts its corrections from zero.
    void report(std::uint32_t slot, const state::load_report& report);
    /// Smooths an observed interval between tokens into the row.
    void observe_token_interval(std::uint32_t slot, double interval_ms);
    /// Sets the phase when the transition table allows it. Returns whether it
    /// did. A cold or down endpoint's prefixes are forgotten.
    bool set_phase(std::uint32_t slot, state::endpoint_phase phase);
    /// Sets the unused permits of this router at a cold endpoint.
    void set_cold_permits(std::uint32_t slot, std::uint32_t permits);
    /// Takes a zone out of service, or returns it at `now` with its ramp and
    /// with its endpoints cold until they report otherwise.
    void set_zone_drained(std::uint32_t zone, bool drained, state::time_point now);

    /// Recomputes the mean load and the median token interval; called by a tick,
    /// since it walks all rows.
    void refresh();

    /// The hooks of a decision. The directory must outlive them.
    [[nodiscard]] route_view view() const;

private:
    static constexpr std::size_t shard_count = 128;
    struct alignas(64) shard_type {
        mutable std::mutex mutex;
        std::vector<route_row> rows; // guarded by mutex; slot = index * shard_count + shard
    };

    template <typename Change>
    decltype(auto) change_row(std::uint32_t slot, Change change) {
        auto& shard = m_shards.at(slot % shard_count);
        const std::scoped_lock lock(shard.mutex);
        return change(shard.rows.at(slot / shard_count));
    }

    std::size_t m_count;
    route_weights m_weights;
    std::array<shard_type, shard_count> m_shards;
    prefix_table m_prefixes;
    // Aggregates of the last refresh. A decision may read one old and one new value.
    std::atomic<double> m_mean_load{0};
    std::atomic<double> m_median_token_interval_ms{0};
};

} // namespace savoryrelay::coordination
