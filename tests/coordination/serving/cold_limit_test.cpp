// Tests the call limit of a cold endpoint over the whole fleet, counted at the endpoint.
#include "savoryrelay/coordination/serving/cold_limit.h"
#include "savoryrelay/coordination/serving/endpoint_selector.h"
#include "savoryrelay/state/digest/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <random>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

namespace {

constexpr double cold_calls_per_s = 15;
// What the platform allows in any second: cold_over x cold_per_s + cold_slack.
constexpr std::size_t allowed_calls = 27;

// An entry host that sends calls to one cold endpoint whenever its selector lets it.
struct cold_host {
    explicit cold_host(const std::string& name)
        : selector(
              fleet, loads, correction, {name, {}, state::availability_zone_id("z"), 1},
              {.zones_out_of_service =
                   [] { return state::make_snapshot(std::set<state::availability_zone_id>()); },
               .host_count = [this] { return host_count; },
               .host_hashes = [this] { return hosts; },
               .random = [] { return std::uint64_t{0}; }}) {}

    std::size_t host_count = 1;
    std::vector<std::uint64_t> hosts;
    fleet_table fleet;
    load_tracker loads;
    prediction_correction correction;
    endpoint_selector selector;
};

class cold_fleet {
public:
    static constexpr state::milliseconds step{10};

    cold_fleet(std::uint64_t seed, std::size_t hosts) : m_random(seed) {
        m_service.name = "plain";
        m_service.cold_calls_per_s = cold_calls_per_s;
        for (std::size_t i = 0; i < hosts; ++i) {
            m_names.push_back("edge-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(make_host(i));
        }
    }

    /// A host whose process starts again, with the table of hosts as it is now.
    void restart(std::size_t index) { m_hosts[index] = make_host(index); }
    /// A host that joins. The others learn of it later.
    void join() {
        m_names.push_back("edge-" + std::to_string(m_names.size()));
        m_hosts.push_back(make_host(m_names.size() - 1));
    }
    /// A host that starts without the table of hosts, and knows a few peers only.
    void restart_cut_off(std::size_t index, std::size_t known) {
        auto host = make_host(index);
        host->hosts.resize(known);
        m_hosts[index] = std::move(host);
    }

    void advance() {
        now += step;
        for (auto& host : m_hosts) {
            const auto selected = host->selector.select(m_service, {}, {}, 1s, now);
            if (std::holds_alternative<selected_endpoint>(selected)) {
                const auto delay = std::uniform_int_distribution<>(0, 15)(m_random);
                m_arrivals.push_back(now + state::milliseconds(delay));
            }
        }
    }

    /// Returns the most arrivals within any second.
    [[nodiscard]] std::size_t most_in_a_second() {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_arrivals.size(); ++i) {
            while (m_arrivals[i] - m_arrivals[first] >= 1s) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t arrivals() const { return m_arrivals.size(); }
    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }

    state::time_point now{1h};

private:
    std::unique_ptr<cold_host> make_host(std::size_t index) {
        auto host = std::make_unique<cold_host>(m_names[index]);
        host->hosts.push_back(state::stable_hash(m_names[index]));
        for (std::size_t i = 0; i < m_names.size(); ++i) {
            if (i != index) {
                host->hosts.push_back(state::stable_hash(m_names[i]));
            }
        }
        host->host_count = m_names.size();
        state::runner_record record;
        record.id = state::endpoint_id("cold");
        record.service = "plain";
        record.availability_zone = state::availability_zone_id("z");
        record.slots = 1'000;
        record.cold_remaining = 1min;
        host->fleet.apply_entry(record, now);
        host->fleet.refresh(now);
        return host;
    }

    std::mt19937_64 m_random;
    state::service_rule m_service;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<cold_host>> m_hosts;
    std::vector<state::time_point> m_arrivals;
};

} // namespace

TEST_CASE("cold limit: the shares of all hosts add up to at most the limit") {
    for (const std::size_t hosts : {1U, 7U, 15U, 16U, 82U, 320U}) {
        cold_fleet fleet(1, hosts);
        for (int i = 0; i < 500; ++i) {
            fleet.advance();
        }
        INFO(hosts << " hosts");
        CHECK(fleet.most_in_a_second() <= static_cast<std::size_t>(cold_calls_per_s));
        CHECK(fleet.arrivals() > 0);
    }
}

TEST_CASE("cold limit: holds while hosts join, restart and are cut off") {
    CHECK(rc::check("cold limit under changes", [] {
        const auto hosts = *rc::gen::inRange<std::size_t>(20, 120);
        cold_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), hosts);
        for (int i = 0; i < 300; ++i) {
            fleet.advance();
            if (i % 30 == 0) {
                const auto index = *rc::gen::inRange<std::size_t>(0, fleet.size());
                switch (*rc::gen::inRange(0, 3)) {
                case 0:
                    fleet.join();
                    break;
                case 1:
                    fleet.restart(index);
                    break;
                default:
                    fleet.restart_cut_off(index, *rc::gen::inRange<std::size_t>(1, 4));
                    break;
                }
            }
        }
        RC_ASSERT(fleet.most_in_a_second() <= allowed_calls);
    }));
}

TEST_CASE("cold limit: a share is never rounded up") {
    std::vector<std::uint64_t> hosts;
    for (std::uint64_t i = 0; i < 82; ++i) {
        hosts.push_back(state::stable_hash(std::to_string(i)));
    }
    std::size_t sum = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        std::swap(hosts.front(), hosts[i]);
        sum += cold_call_share(hosts, 7, cold_calls_per_s);
        std::swap(hosts.front(), hosts[i]);
    }
    CHECK(sum == static_cast<std::size_t>(cold_calls_per_s));
    CHECK(cold_call_share(hosts, 7, 0.5) == 0);
    CHECK(is_host_list_complete(90, 100));
    CHECK_FALSE(is_host_list_complete(4, 100));
}
