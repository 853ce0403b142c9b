// Holds the endpoint directory of each deployment in the current configuration
// and the entry host's own permits for cold endpoints.
#pragma once

#include "savoryrelay/coordination/routing/endpoint_directory.h"
#include "savoryrelay/coordination/warmup/permit_allocator.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// Settings of an endpoint catalog.
struct catalog_settings {
    state::availability_zone_id local_zone;
    std::size_t lanes = 1; ///< number of threads that choose endpoints
    route_weights weights;
    state::milliseconds down_interval{1'000}; ///< time before a failed endpoint is retried
};

/// The endpoints of one deployment. A slot is an endpoint's index in the
/// configuration's order.
struct deployment_routes {
    state::deployment_config deployment;
    std::vector<state::endpoint_config> endpoints; ///< indexed by slot
    std::vector<std::uint32_t> zones;              ///< zone index of each slot
    std::uint32_t local_zone = 0;                  ///< zone index of this entry host
    std::shared_ptr<endpoint_directory> directory;
    std::shared_ptr<permit_allocator> allocator; ///< null for a service, which has no cold phase
};

/// An attempt that the directory counts as in flight at its endpoint.
struct counted_attempt {
    std::shared_ptr<const deployment_routes> routes;
    std::uint32_t slot = 0;
    std::size_t lane = 0;
    std::optional<permit_request> permit; ///< set unless the endpoint was known to be warm

    [[nodiscard]] const state::endpoint_config& endpoint() const {
        return routes->endpoints.at(slot);
    }
};

/// The properties of a request that decide its endpoint.
struct catalog_request {
    state::deployment_id deployment;
    std::vector<std::uint64_t> prefix;
    std::vector<state::endpoint_id> excluded;
    route_priority priority = route_priority::normal;
    /// Optional further check, for conditions that the directory does not know:
    /// returns whether the endpoint may be used for the request.
    std::function<bool(const state::endpoint_config&, const state::endpoint_state&)> may_use;
};

/// An engine's report of its load.
struct engine_load_report {
    state::load_report load;
    bool is_cold = false;
};

/// Chooses endpoints and counts attempts there. Thread-safe.
class endpoint_catalog {
public:
    explicit endpoint_catalog(catalog_settings settings);

    /// Applies a newer configuration; only one thread may call it. A deployment
    /// whose endpoints changed gets a new directory, which keeps the phases of
    /// the endpoints already known.
    void rebuild(const state::configuration& configuration, state::time_point now);

    /// Chooses an endpoint, counts the attempt there and takes a permit when
    /// the endpoint is not known to be warm. Fails with `no_endpoint` when no
    /// endpoint can accept the request.
    [[nodiscard]] state::result<counted_attempt>
    begin(const catalog_request& request, state::time_point now, random_source& random);
    /// Counts the end of an attempt and releases its permit.
    void end(const counted_attempt& attempt, bool completed, state::time_point now);

    /// Marks an endpoint down after a failed connection; it is retried after
    /// `down_interval`.
    void mark_unreachable(const deployment_routes& routes, std::uint32_t slot,
                          state::time_point now);
    /// Applies an engine's report. A cold engine gets no more requests than its
    /// cold allowance.
    void apply_report(const deployment_routes& routes, std::uint32_t slot,
                      const engine_load_report& report);
    /// Refreshes the aggregates of all directories; called periodically.
    void refresh();

    /// Returns the routes of all deployments in the current configuration.
    [[nodiscard]] std::vector<std::shared_ptr<const deployment_routes>> all() const;

private:
    using routes_by_id =
        std::unordered_map<state::deployment_id, std::shared_ptr<const deployment_routes>>;

    [[nodiscard]] std::shared_ptr<const deployment_routes>
    make_routes(const state::configuration& configuration,
                const state::deployment_config& deployment, const deployment_routes* previous,
                state::time_point now) const;

    catalog_settings m_settings;
    state::snapshot_cell<routes_by_id> m_routes{routes_by_id{}};
    std::atomic<std::uint64_t> m_next_permit{1};
};

} // namespace savoryrelay::coordination
