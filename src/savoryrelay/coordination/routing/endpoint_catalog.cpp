// Implements the endpoint catalog: rebuilds the directories for a new
// configuration and counts attempts at their endpoints.
#include "savoryrelay/coordination/routing/endpoint_catalog.h"

#include <algorithm>
#include <utility>

namespace savoryrelay::coordination {
namespace {

using state::endpoint_phase;

// Index of a zone that the configuration does not list.
constexpr std::uint32_t unknown_zone = ~0U;

std::uint32_t zone_index(const state::configuration& configuration,
                         const state::availability_zone_id& zone) {
    const auto& zones = configuration.availability_zones;
    const auto found =
        std::find_if(zones.begin(), zones.end(), [&](const auto& row) { return row.id == zone; });
    return found == zones.end() ? unknown_zone : static_cast<std::uint32_t>(found - zones.begin());
}

bool is_same_endpoint(const state::endpoint_config& a, const state::endpoint_config& b) {
    return a.id == b.id && a.address == b.address && a.port == b.port && a.capacity == b.capacity &&
           a.availability_zone == b.availability_zone;
}

/// Makes the allocator of one entry host's local permits. The end of every local
/// attempt is reported, so a grant has no expiry: it counts until it is
/// settled. The allowance does not grow; the engine reports when it is warm.
std::shared_ptr<permit_allocator> make_permit_allocator(const state::deployment_config& deployment,
                                                        state::time_point now) {
    warmup_settings settings;
    settings.cold_allowance = std::max(deployment.cold_allowance, 1U);
    settings.capacity = settings.cold_allowance;
    settings.growth_per_completion = 0;
    auto hooks = default_warmup_hooks();
    hooks.counted_until = [](const warmup_settings&, state::time_point) {
        return state::time_point::max();
    };
    return std::make_shared<permit_allocator>(settings, std::move(hooks), now, false);
}

void set_warm(endpoint_directory& directory, std::uint32_t slot) {
    if (directory.read(slot).state.phase == endpoint_phase::down) {
        directory.set_phase(slot, endpoint_phase::cold);
    }
    directory.set_phase(slot, endpoint_phase::warming);
    directory.set_phase(slot, endpoint_phase::warm);
}

} // namespace

endpoint_catalog::endpoint_catalog(catalog_settings settings) : m_settings(std::move(settings)) {}

std::shared_ptr<const deployment_routes>
endpoint_catalog::make_routes(const state::configuration& configuration,
                              const state::deployment_config& deployment,
                              const deployment_routes* previous, state::time_point now) const {
    auto routes = std::make_shared<deployment_routes>();
    routes->deployment = deployment;
    routes->local_zone = zone_index(configuration, m_settings.local_zone);
    for (const auto& endpoint : configuration.endpoints) {
        if (endpoint.deployment == deployment.id) {
            routes->endpoints.push_back(endpoint);
            routes->zones.push_back(zone_index(configuration, endpoint.availability_zone));
        }
    }
    const bool is_model = deployment.kind == state::deployment_kind::model;
    if (is_model) {
        routes->allocator = previous != nullptr && previous->allocator &&
                                    previous->deployment.cold_allowance == deployment.cold_allowance
                                ? previous->allocator
                                : make_permit_allocator(deployment, now);
    }

    // Unchanged endpoints in unchanged zones keep the directory and its counts.
    if (previous != nullptr && previous->zones == routes->zones &&
        std::equal(previous->endpoints.begin(), previous->endpoints.end(),
                   routes->endpoints.begin(), routes->endpoints.end(), is_same_endpoint)) {
        routes->directory = previous->directory;
        return routes;
    }

    // The ends of requests in flight are counted in the old directory, so the new
    // one copies only the state of the endpoints, without request counts.
    std::vector<route_row> rows;
    for (std::size_t slot = 0; slot < routes->endpoints.size(); ++slot) {
        const auto& endpoint = routes->endpoints[slot];
        route_row row;
        row.capacity = std::max(endpoint.capacity, 1U);
        row.zone = routes->zones[slot];
        row.state.phase = is_model ? endpoint_phase::cold : endpoint_phase::warm;
        if (previous != nullptr) {
            for (std::uint32_t old = 0; old < previous->endpoints.size(); ++old) {
                if (previous->endpoints[old].id == endpoint.id &&
                    previous->endpoints[old].address == endpoint.address &&
                    previous->endpoints[old].port == endpoint.port) {
                    const auto known = previous->directory->read(old);
                    row.state.phase = known.state.phase;
                    row.state.report = known.state.report;
                    row.state.retry_at = known.state.retry_at;
                    row.state.token_interval_ms = known.state.token_interval_ms;
                    row.zone_returned_at = known.zone_returned_at;
                    row.zone_drained = known.zone_drained;
                }
            }
        }
        row.drained = endpoint.drained;
        rows.push_back(row);
    }
    routes->directory =
        std::make_shared<endpoint_directory>(rows, m_settings.weights, m_settings.lanes);
    return routes;
}

void endpoint_catalog::rebuild(const state::configuration& configuration, state::time_point now) {
    const auto previous = m_routes.load();
    routes_by_id next;
    for (const auto& deployment : configuration.deployments) {
        const auto found = previous->find(deployment.id);
        const auto routes =
            make_routes(configuration, deployment,
                        found == previous->end() ? nullptr : found->second.get(), now);

        // A directory that was kept must also receive changed drains.
        for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
            routes->directory->set_drained(slot, routes->endpoints[slot].drained);
        }
        for (std::uint32_t zone = 0; zone < configuration.availability_zones.size(); ++zone) {
            routes->directory->set_zone_drained(
                zone, configuration.availability_zones[zone].drained, now);
        }
        if (deployment.kind == state::deployment_kind::service) {
            for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
                if (routes->directory->read(slot).state.phase == endpoint_phase::cold) {
                    set_warm(*routes->directory, slot);
                }
            }
        }
        next.emplace(deployment.id, routes);
    }
    m_routes.replace_if(std::move(next), [](const auto&, const auto&) { return true; });
}

state::result<counted_attempt> endpoint_catalog::begin(const catalog_request& request,
                                                       state::time_point now,
                                                       random_source& random) {
    const auto all_routes = m_routes.load();
    const auto found = all_routes->find(request.deployment);
    if (found == all_routes->end()) {
        return state::fail(state::failure_kind::no_endpoint,
                           "the deployment is no longer configured",
                           state::execution_outcome::not_run);
    }
    const auto& routes = found->second;

    // A thread gets a lane at its first attempt and keeps it for all later ones.
    static std::atomic<std::size_t> next_lane{0};
    thread_local const std::size_t lane = next_lane.fetch_add(1, std::memory_order_relaxed);

    slot_request wanted;
    wanted.prefix = request.prefix;
    wanted.needs.priority = request.priority;
    wanted.needs.zone = routes->local_zone;
    // Maps the excluded endpoints to slots. Only a retry has excluded endpoints,
    // so the first attempt of a request does not walk the whole list.
    for (std::uint32_t slot = 0; !request.excluded.empty() && slot < routes->endpoints.size();
         ++slot) {
        if (std::find(request.excluded.begin(), request.excluded.end(),
                      routes->endpoints[slot].id) != request.excluded.end()) {
            wanted.excluded.push_back(slot);
        }
    }

    // Each iteration excludes one more slot, so the loop terminates.
    while (true) {
        BOOST_LEAF_AUTO(slot, routes->directory->begin(wanted, now, random, lane));
        counted_attempt attempt{routes, slot, lane, std::nullopt};
        const auto known_state = routes->directory->read(slot, lane).state;
        bool usable = !request.may_use || request.may_use(attempt.endpoint(), known_state);
        if (usable && routes->allocator && known_state.phase != endpoint_phase::warm) {
            // Any phase but warm needs a permit: an endpoint that was down may
            // have restarted and be cold.
            permit_request permit;
            permit.number = m_next_permit.fetch_add(1, std::memory_order_relaxed);
            permit.endpoint = attempt.endpoint().id;
            usable = routes->allocator->grant(permit, state::time_point::max(), now).granted > 0;
            attempt.permit = permit;
        }
        if (usable) {
            return attempt;
        }
        routes->directory->end(slot, lane);
        wanted.excluded.push_back(slot);
    }
}

void endpoint_catalog::end(const counted_attempt& attempt, bool completed, state::time_point now) {
    const auto& routes = *attempt.routes;
    routes.directory->end(attempt.slot, attempt.lane);
    if (attempt.permit) {
        routes.allocator->settle({*attempt.permit, 0, completed ? 1U : 0U}, now);
    }
    if (completed && routes.directory->read(attempt.slot).state.phase == endpoint_phase::down) {
        routes.directory->set_phase(attempt.slot, endpoint_phase::cold);
        if (!routes.allocator) {
            set_warm(*routes.directory, attempt.slot);
        }
    }
}

void endpoint_catalog::mark_unreachable(const deployment_routes& routes, std::uint32_t slot,
                                        state::time_point now) {
    routes.directory->set_down(slot, now + m_settings.down_interval);
}

void endpoint_catalog::apply_report(const deployment_routes& routes, std::uint32_t slot,
                                    const engine_load_report& report) {
    routes.directory->report(slot, report.load);
    if (report.is_cold) {
        routes.directory->set_phase(slot, endpoint_phase::cold);
    } else {
        set_warm(*routes.directory, slot);
    }
}

void endpoint_catalog::refresh() {
    for (const auto& routes : all()) {
        routes->directory->refresh();
    }
}

std::vector<std::shared_ptr<const deployment_routes>> endpoint_catalog::all() const {
    std::vector<std::shared_ptr<const deployment_routes>> rows;
    const auto current = m_routes.load();
    for (const auto& entry : *current) {
        rows.push_back(entry.second);
    }
    return rows;
}

} // namespace savoryrelay::coordination
