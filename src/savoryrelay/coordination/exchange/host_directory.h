// The entry hosts that this host knows: their addresses, when they were last heard, and
// how current their copies of the platform's tables are.
#pragma once

#include "savoryrelay/coordination/exchange/exchange_plan.h"
#include "savoryrelay/state/core/time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::coordination {

/// Receivers of the digests of one round.
struct digest_receivers {
    /// The host is a chosen hub, or members report to it that cannot reach a chosen one.
    bool is_hub = false;
    bool is_store_reader = false;               ///< the host follows the tables of the store
    std::vector<state::member_address> hubs;    ///< get the digest of this host
    std::vector<state::member_address> members; ///< report to this host; get the fleet's digest
    std::vector<state::member_address> silent;  ///< hosts that are probed from time to time
    /// Hosts that sent a probe, or that take this one for a hub although it is a member.
    std::vector<state::member_address> strangers;
    std::vector<state::member_address> chosen_hubs; ///< the chosen hubs of all zones
};

/// A peer from which this host can copy a table.
struct table_source {
    state::member_address address;
    state::store_version version;            ///< highest version of a row that the peer holds
    std::uint64_t configuration_version = 0; ///< the operators' own version at the peer
    state::time_point current_at{};          ///< when the peer's copies were known to be current
};

/// Table of the platform that hosts copy from each other.
enum class shared_table { operators, runners };

/// Keeps what is known of the other hosts. Thread-safe.
class host_directory {
public:
    /// A host that is awaited and sends nothing for this long is silent.
    static constexpr state::milliseconds silence{450};
    /// A host belongs to the members or hubs until this long after its last digest.
    static constexpr state::milliseconds role_duration{1'000};
    /// The limits of the whole fleet are divided among the hosts that were heard within
    /// this time.
    static constexpr state::milliseconds counted_age{30'000};

    /// Longest time for which the chosen hubs are kept while their hosts answer. Choosing
    /// ranks all known hosts.
    static constexpr state::milliseconds roles_duration{500};

    explicit host_directory(const state::host_entry& own);

    /// Adds a host, or completes what is known of it.
    void add(const state::host_entry& entry);
    /// Records whether this host has lost the store.
    void set_store_lost(bool is_lost);
    /// Records a digest. Returns false if it comes from this host or from an earlier
    /// process of its sender.
    bool apply(const state::peer_digest& digest, state::time_point now);
    /// Returns the receivers of the next digests, and starts to await answers from them.
    [[nodiscard]] digest_receivers next_receivers(state::time_point now);

    /// Returns the peer with the most current copy of `table` among those that were heard
    /// recently.
    [[nodiscard]] std::optional<table_source> best_source(shared_table table,
                                                          state::time_point now) const;
    /// Returns the peer with the newest configuration, by the operators' own version, among
    /// those that were heard recently.
    [[nodiscard]] std::optional<table_source> newest_configuration(state::time_point now) const;
    /// Returns up to `count` known hosts, other ones in each round.
    [[nodiscard]] std::vector<state::host_entry> sample(std::uint64_t round,
                                                        std::size_t count) const;
    /// Returns the known hosts, without this one and those that do not answer it.
    [[nodiscard]] std::vector<state::host_entry> answering_hosts(state::time_point now) const;
    /// Returns the number of hosts, this one included, as this host or a hub that it hears
    /// has counted them.
    [[nodiscard]] std::size_t host_count(state::time_point now) const;
    /// Returns the number of hosts, this one included, whose loads reach this host now, directly
    /// or through hubs.
    [[nodiscard]] std::size_t heard_hosts(state::time_point now) const;
    /// Returns the number of hosts that report to this one, which is included.
    [[nodiscard]] std::size_t member_count(state::time_point now) const;
    /// Returns the hashes of the names of all known hosts; the first is that of this host.
    [[nodiscard]] std::vector<std::uint64_t> name_hashes() const;
    /// Returns whether a hub has sent a digest within `role_duration`.
    [[nodiscard]] bool hears_hub(state::time_point now) const;

private:
    struct known_host {
        state::host_entry entry;
        std::uint64_t name_hash = 0;
        std::uint64_t incarnation = 0;
        std::optional<state::time_point> heard_at;
        std::optional<state::time_point> heard_as_hub_at;
        std::optional<state::time_point> heard_as_member_at;
        bool has_probed = false; // and was not answered yet
        /// When this host began to wait for a digest from it; empty while none is due.
        std::optional<state::time_point> awaited_since;
        state::store_version operators_version;
        state::store_version runners_version;
        std::uint64_t configuration_version = 0;
        state::time_point tables_current_at{};
        bool has_lost_store = false;
        state::digest_scope scope = state::digest_scope::member;
        std::size_t counted_hosts = 0; // by a hub, among the hosts of `scope`
        std::size_t heard_hosts = 0;   // by a hub, those of them whose loads it has
        bool sums_fleet = false;       // the last loads of a hub were those of the fleet
    };
    [[nodiscard]] static bool is_silent(const known_host& host, state::time_point now);
    static void set_name(known_host& host, const std::string& name);
    void update_roles(state::time_point now);
    void await(const std::vector<state::member_address>& addresses, state::time_point now);

    mutable std::mutex m_mutex; // guards the members below
    hub_candidate m_own;
    std::map<std::string, known_host> m_hosts; // by "address:port"
    exchange_roles m_roles;
    state::time_point m_roles_expire_at{};
};

/// Returns the text "address:port".
[[nodiscard]] std::string to_text(const state::member_address& address);

} // namespace savoryrelay::coordination

template <>
struct savoryrelay::state::enum_table<savoryrelay::coordination::shared_table> {
    using t = savoryrelay::coordination::shared_table;
    static constexpr std::array rows{
        enum_name<t>{t::operators, "operators"},
        enum_name<t>{t::runners, "runners"},
    };
};
