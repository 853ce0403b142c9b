// Implements the endpoint directory with one copy of the rows for each thread
// that makes decisions.
#include "savoryrelay/coordination/routing/endpoint_directory.h"

#include <algorithm>
#include <array>
#include <optional>

namespace savoryrelay::coordination {
namespace {

using state::endpoint_phase;

// Weight of a new observation in the moving average of the token interval. A
// slow endpoint raises it after about ten tokens, and one slow token changes the
// average by a tenth of the difference.
constexpr double interval_smoothing = 0.1;

// Of the requests whose whole prefix is already in the table for the chosen slot,
// one in this many renews its position in the LRU order. Renewing each time
// makes the threads contend for the table's cache lines.
constexpr std::uint64_t prefix_renewal_period = 32;

// Number of slots whose counts are exchanged while a lane's lock is held once.
// It bounds the time that a decision waits for a refresh to a few microseconds.
constexpr std::size_t exchange_batch = 128;

bool needs_permit(const route_row& row) {
    const auto phase = row.state.phase;
    return row.cold_permits && (phase == endpoint_phase::cold || phase == endpoint_phase::warming);
}

std::uint32_t to_count(std::int64_t value) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(value, 0));
}

} // namespace

endpoint_directory::endpoint_directory(const std::vector<route_row>& rows, route_weights weights,
                                       std::size_t lanes, std::size_t digests_per_slot)
    : m_count(rows.size()), m_weights(weights), m_prefixes(digests_per_slot) {
    for (std::size_t i = 0; i < std::max<std::size_t>(lanes, 1); ++i) {
        m_lanes.push_back(std::make_unique<lane_type>());
        m_lanes.back()->rows = rows;
        m_lanes.back()->counts.resize(rows.size());
    }
    for (std::uint32_t slot = 0; slot < rows.size(); ++slot) {
        if (rows[slot].cold_permits) {
            m_permits.insert(slot, *rows[slot].cold_permits);
        }
    }
    refresh();
}

route_row endpoint_directory::read(std::uint32_t slot, std::size_t lane) const {
    const auto& own_lane = lane_of(lane);
    const std::scoped_lock lock(own_lane.mutex);
    return own_lane.rows.at(slot);
}

bool endpoint_directory::try_begin(lane_type& lane, std::uint32_t slot, const route_needs& needs,
                                   state::time_point now) {
    // Takes the permit first, because the permits' shard must not be locked while
    // the lane is locked.
    bool permit_required = false;
    {
        const std::scoped_lock lock(lane.mutex);
        permit_required = needs_permit(lane.rows[slot]);
    }
    if (permit_required) {
        bool taken = false;
        m_permits.update_existing(slot, [&](std::uint32_t& permits) {
            taken = permits > 0;
            permits -= taken ? 1 : 0;
        });
        if (!taken) {
            return false;
        }
    }

    // The row may have changed since the decision read it. A permit taken for
    // an endpoint that has become unusable is lost, which is safe: the endpoint
    // gets fewer requests, never more.
    const std::scoped_lock lock(lane.mutex);
    auto& row = lane.rows[slot];
    if (!can_accept(row, needs, m_weights, now) || needs_permit(row) != permit_required) {
        return false;
    }
    if (permit_required) {
        --*row.cold_permits;
    }
    ++row.state.in_flight;
    ++row.state.sent_since_report;
    ++lane.counts[slot].in_flight;
    ++lane.counts[slot].sent;
    return true;
}

state::result<std::uint32_t> endpoint_directory::begin(const slot_request& request,
                                                       state::time_point now, random_source& random,
                                                       std::size_t lane) {
    const auto hooks = view(lane);
    BOOST_LEAF_AUTO(slot, choose_slot(hooks, request, m_weights, now, random));
    if (!try_begin(lane_of(lane), slot, request.needs, now)) {
        // Rare: the row changed since the decision read it.
        auto without_slot = request;
        without_slot.excluded.push_back(slot);
        return begin(without_slot, now, random, lane);
    }
    if (!request.prefix.empty() && m_weights.prefix_bonus > 0 &&
        (!m_prefixes.holds(slot, request.prefix.back()) || random() % prefix_renewal_period == 0)) {
        m_prefixes.learn(slot, request.prefix);
    }
    return slot;
}

void endpoint_directory::end(std::uint32_t slot, std::size_t lane) {
    auto& own_lane = lane_of(lane);
    const std::scoped_lock lock(own_lane.mutex);
    auto& known_state = own_lane.rows[slot].state;
    known_state.in_flight -= known_state.in_flight > 0 ? 1 : 0;
    ++known_state.ended_since_report;
    --own_lane.counts[slot].in_flight;
    ++own_lane.counts[slot].ended;
}

template <typename Change>
void endpoint_directory::change_all_lanes(std::uint32_t slot, Change change) {
    for (const auto& lane : m_lanes) {
        const std::scoped_lock lock(lane->mutex);
        change(lane->rows[slot], lane->counts[slot]);
    }
}

void endpoint_directory::report(std::uint32_t slot, const state::load_report& report) {
    change_all_lanes(slot, [&](route_row& row, lane_counts& counts) {
        row.state.report = report;
        row.state.sent_since_report = 0;
        row.state.ended_since_report = 0;
        counts.sent = 0;
        counts.ended = 0;
    });
}

void endpoint_directory::observe_token_interval(std::uint32_t slot, double interval_ms) {
    change_all_lanes(slot, [&](route_row& row, lane_counts&) {
        auto& smoothed = row.state.token_interval_ms;
        smoothed =
            smoothed > 0 ? smoothed + interval_smoothing * (interval_ms - smoothed) : interval_ms;
    });
}

bool endpoint_directory::set_phase(std::uint32_t slot, endpoint_phase phase) {
    const bool resets_endpoint = phase == endpoint_phase::cold || phase == endpoint_phase::down;
    if (resets_endpoint && state::is_allowed(read(slot).state.phase, phase)) {
        m_permits.update_existing(slot, [](std::uint32_t& permits) { permits = 0; });
    }
    bool changed = false;
    change_all_lanes(slot, [&](route_row& row, lane_counts&) {
        if (!state::is_allowed(row.state.phase, phase)) {
            return;
        }
        row.state.phase = phase;
        if (resets_endpoint && row.cold_permits) {
            row.cold_permits = 0;
        }
        changed = true;
    });
    if (changed && resets_endpoint) {
        m_prefixes.forget(slot);
    }
    return changed;
}

void endpoint_directory::set_down(std::uint32_t slot, state::time_point retry_at) {
    change_all_lanes(slot, [&](route_row& row, lane_counts&) { row.state.retry_at = retry_at; });
    set_phase(slot, endpoint_phase::down);
}

void endpoint_directory::set_drained(std::uint32_t slot, bool drained) {
    change_all_lanes(slot, [&](route_row& row, lane_counts&) { row.drained = drained; });
}

void endpoint_directory::set_cold_permits(std::uint32_t slot, std::uint32_t permits) {
    m_permits.update(slot, [&](std::uint32_t& value) { value = permits; });
    change_all_lanes(slot, [&](route_row& row, lane_counts&) { row.cold_permits = permits; });
}

void endpoint_directory::set_zone_drained(std::uint32_t zone, bool drained, state::time_point now) {
    for (std::uint32_t slot = 0; slot < m_count; ++slot) {
        bool returned = false;
        change_all_lanes(slot, [&](route_row& row, lane_counts&) {
            if (row.zone != zone || row.zone_drained == drained) {
                return;
            }
            row.zone_drained = drained;
            row.zone_returned_at = drained ? std::nullopt : std::optional(now);
            returned = !drained;
        });
        if (returned) {
            set_phase(slot, endpoint_phase::cold);
        }
    }
}

void endpoint_directory::exchange_counts(std::size_t from, std::size_t to) {
    // The first pass reads the counts of each lane and adds them up.
    std::vector<std::array<lane_counts, exchange_batch>> first_pass(m_lanes.size());
    std::array<lane_counts, exchange_batch> sums{};
    for (std::size_t lane = 0; lane < m_lanes.size(); ++lane) {
        const std::scoped_lock lock(m_lanes[lane]->mutex);
        for (std::size_t slot = from; slot < to; ++slot) {
            const auto& counts = m_lanes[lane]->counts[slot];
            first_pass[lane].at(slot - from) = counts;
            auto& sum = sums.at(slot - from);
            sum.sent += counts.sent;
            sum.ended += counts.ended;
            sum.in_flight += counts.in_flight;
        }
    }

    // The second pass sets each lane's rows to the other lanes' counts from the
    // first pass plus the lane's own current counts.
    for (std::size_t lane = 0; lane < m_lanes.size(); ++lane) {
        const std::scoped_lock lock(m_lanes[lane]->mutex);
        for (std::size_t slot = from; slot < to; ++slot) {
            const auto& current = m_lanes[lane]->counts[slot];
            const auto& earlier = first_pass[lane].at(slot - from);
            const auto& sum = sums.at(slot - from);
            auto& known_state = m_lanes[lane]->rows[slot].state;
            known_state.sent_since_report = to_count(sum.sent - earlier.sent + current.sent);
            known_state.ended_since_report = to_count(sum.ended - earlier.ended + current.ended);
            known_state.in_flight = to_count(sum.in_flight - earlier.in_flight + current.in_flight);
        }
    }
}

void endpoint_directory::refresh() {
    if (m_lanes.size() > 1) {
        for (std::size_t from = 0; from < m_count; from += exchange_batch) {
            exchange_counts(from, std::min(from + exchange_batch, m_count));
        }
    }

    // Computes the aggregates from the rows of the first lane.
    double load = 0;
    std::vector<double> intervals;
    for (std::uint32_t slot = 0; slot < m_count; ++slot) {
        const auto row = read(slot);
        load += estimated_load(row, m_weights, route_priority::normal) /
                static_cast<double>(row.capacity);
        if (row.state.token_interval_ms > 0) {
            intervals.push_back(row.state.token_interval_ms);
        }
    }
    m_mean_load = m_count == 0 ? 0 : load / static_cast<double>(m_count);
    if (!intervals.empty()) {
        const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
        std::nth_element(intervals.begin(), middle, intervals.end());
        m_median_token_interval_ms = *middle;
    }
}

route_view endpoint_directory::view(std::size_t lane) const {
    route_view hooks;
    hooks.count = m_count;
    hooks.read = [this, lane](std::uint32_t slot) { return read(slot, lane); };
    hooks.find_prefix = [this](const std::vector<std::uint64_t>& prefix) {
        return m_prefixes.find(prefix);
    };
    hooks.summary = {m_mean_load.load(), m_median_token_interval_ms.load()};
    return hooks;
}

} // namespace savoryrelay::coordination
