// Decides whether this host has lost its own path to all endpoints, so that it opens
// connections through another host.
#pragma once

#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace savoryrelay::coordination {

/// Knows whether this host can open connections to endpoints.
///
/// A host takes itself to be cut off when it could open a connection to none of several endpoints
/// in a row. Connections that were opened before are no evidence, because they may live on behind
/// a partition. Neither is the failure of a call, because endpoints fail and fall silent without
/// a partition; it only raises a doubt, upon which the host probes other endpoints.
///
/// A host that is wrong about it connects through others until its next probes, which costs some
/// milliseconds for each connection, so few failures suffice.
///
/// Thread-safe.
class endpoint_reach {
public:
    /// Endpoints out of reach, with none in reach in between, that make a host cut off. Fewer
    /// suffice where it knows no more.
    static constexpr std::size_t min_unreached = 3;
    /// Endpoints reached within `evidence_age` after which a host that was cut off connects by
    /// itself again. A partition may end in steps. Fewer suffice as above.
    static constexpr std::size_t min_reached = 2;
    /// A failure or a doubt is forgotten after this time.
    static constexpr state::milliseconds evidence_age{3'000};
    /// Interval of the probes of a host that is cut off, and of one that is in doubt.
    static constexpr state::milliseconds probe_interval{250};
    /// A doubt is ignored for this long after an endpoint was reached. Endpoints under load are
    /// silent often, and each probe is a new connection.
    static constexpr state::milliseconds trust_time{1'000};
    /// Endpoints that are probed at once after the first one was not reached, and by a host that
    /// is cut off.
    static constexpr std::size_t probes_in_doubt = 3;
    static constexpr std::size_t probes_when_cut_off = 2;

    explicit endpoint_reach(std::function<std::uint64_t()> random);

    /// Records that this host has opened a connection to `endpoint` by itself. `known` is the
    /// number of endpoints that the host may probe.
    void note_reached(const state::endpoint_id& endpoint, std::size_t known, state::time_point now);
    /// Records that a probe of `endpoint` failed.
    void note_unreached(const state::endpoint_id& endpoint, std::size_t known,
                        state::time_point now);
    /// Records that a call could not connect, lost its connection or got no answer.
    void note_doubt(state::time_point now);

    /// Returns up to `min_unreached` endpoints among `candidates`, in random order. If none of
    /// them is reached, the host is cut off.
    [[nodiscard]] std::vector<state::endpoint_id>
    choose(std::vector<state::endpoint_id> candidates) const;

    /// Returns whether the host has lost its own path to all endpoints.
    [[nodiscard]] bool is_cut_off() const;
    /// Returns whether the host is cut off, or has not reached an endpoint since its last doubt.
    [[nodiscard]] bool is_in_doubt(state::time_point now) const;
    /// Returns whether `due_probes` would choose an endpoint.
    [[nodiscard]] bool has_due_probes(state::time_point now) const;
    /// Returns the endpoints among `candidates` to which the host opens a connection now, to
    /// find out whether it reaches them. Returns none unless the host is in doubt or cut off.
    [[nodiscard]] std::vector<state::endpoint_id>
    due_probes(std::vector<state::endpoint_id> candidates, state::time_point now);

private:
    struct tried_endpoint {
        state::endpoint_id id;
        state::time_point at;
    };

    // These three require m_mutex.
    void forget_old_evidence(state::time_point now);
    static bool contains(const std::vector<tried_endpoint>& tried, const state::endpoint_id& id);
    [[nodiscard]] bool is_probe_due(state::time_point now) const;
    /// Reduces `candidates` to at most `count` random ones.
    void pick(std::vector<state::endpoint_id>& candidates, std::size_t count) const;

    std::function<std::uint64_t()> m_random;
    mutable std::mutex m_mutex; // guards the members below
    /// Endpoints that could not be reached since the last one that was, each once and none older
    /// than `evidence_age`.
    std::vector<tried_endpoint> m_unreached;
    /// While cut off: endpoints that were reached, each once and none longer than `evidence_age`
    /// ago. Empty otherwise.
    std::vector<tried_endpoint> m_reached;
    bool m_is_cut_off = false;
    std::optional<state::time_point> m_doubt_at; // the last doubt, unless ended by a connection
    std::optional<state::time_point> m_reached_at;
    std::optional<state::time_point> m_probed_at; // empty: the next probes are due at once
};

} // namespace savoryrelay::coordination
