// The endpoint directories of all deployments of the configuration in force,
// with the local permits of their cold endpoints.
#pragma once

#include "savoryrelay/coordination/routing/endpoint_directory.h"
#include "savoryrelay/coordination/warmup/allowance_ledger.h"
#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/snapshot_cell.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace savoryrelay::coordination {

/// Settings of a catalog.
struct catalog_settings {
    state::availability_zone_id local_zone;
    std::size_t lanes = 1; ///< deciding threads
    route_weights weights;
    state::milliseconds down_interval{1'000}; ///< a failed endpoint is not tried before
};

/// The endpoints of one deployment. Slots follow the configuration's order.
struct deployment_routes {
    state::deployment_config deployment;
    std::vector<state::endpoint_config> endpoints; ///< by slot
    std::vector<std::uint32_t> zones;              ///< index of the zone by slot
    std::uint32_t local_zone = 0;                  ///< index of the deciding member's zone
    std::shared_ptr<endpoint_directory> directory;
    std::shared_ptr<allowance_ledger> ledger; ///< null for a service, which has no cold phase
};

/// One attempt that is counted at its endpoint.
struct counted_attempt {
    std::shared_ptr<const deployment_routes> routes;
    std::uint32_t slot = 0;
    std::size_t lane = 0;
    std::optional<permit_request> permit; ///< of an endpoint that is not known to be warm

    [[nodiscard]] const state::endpoint_config& endpoint() const {
        return routes->endpoints.at(slot);
    }
};

/// What the catalog needs to know of a request.
struct catalog_request {
    state::deployment_id deployment;
    std::vector<std::uint64_t> prefix;
    std::vector<state::endpoint_id> excluded;
    route_priority priority = route_priority::normal;
    /// Whether the endpoint may take the request beyond what the directory
    /// knows. May be empty.
    std::function<bool(const state::endpoint_config&, const state::endpoint_state&)> may_use;
};

/// An engine's report of its load.
struct engine_report {
    state::load_report load;
    bool is_cold = false;
};

/// Chooses endpoints and counts attempts there. Thread-safe.
class endpoint_catalog {
public:
    explicit endpoint_catalog(catalog_settings settings);

    /// Takes over a newer configuration; called by one thread. A deployment
    /// whose set of endpoints changed gets a new directory with the known phases.
    void rebuild(const state::configuration& configuration, state::time_point now);

    /// Chooses an endpoint, counts the attempt there and takes a permit when
    /// the endpoint is not known to be warm. Fails with `no_endpoint`.
    [[nodiscard]] state::result<counted_attempt>
    begin(const catalog_request& request, state::time_point now, random_source& random);
    /// Counts the end of an attempt and returns its permit.
    void end(const counted_attempt& attempt, bool completed, state::time_point now);

    /// No connection could be made: the endpoint is not tried for a while.
    void note_unreachable(const deployment_routes& routes, std::uint32_t slot,
                          state::time_point now);
    /// Takes over an engine's report. A cold engine gets only its allowance.
    void note_report(const deployment_routes& routes, std::uint32_t slot,
                     const engine_report& report);
    /// Refreshes the aggregates of all directories; called by a tick.
    void refresh();

    /// All deployments' routes of the configuration in force.
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
