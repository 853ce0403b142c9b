// Tests the cold allowance at the lease holder and at the routers.
#include "savoryrelay/coordination/warmup/permit_allocator.h"
#include "savoryrelay/coordination/warmup/router_permits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

namespace {

const state::endpoint_id cold{"cold"};
const state::time_point start{1h};
constexpr auto lease = 1s;

warmup_settings short_settings() {
    warmup_settings settings;
    settings.term = 2s;
    settings.longest_request = 4s;
    settings.margin = 0ms;
    settings.growth_per_completion = 0;
    return settings;
}

/// Simulates routers, a lease holder and a network that loses, delays and reorders
/// messages. Each request runs for `longest_request` unless the router ends it.
class fleet {
public:
    fleet(warmup_hooks hooks, double growth, std::uint64_t seed)
        : m_hooks(std::move(hooks)), m_random(seed) {
        m_settings.growth_per_completion = growth;
        m_settings.capacity = 8;
        m_allocator = std::make_unique<permit_allocator>(m_settings, m_hooks, m_now, false);
        for (int i = 0; i < 4; ++i) {
            join();
        }
    }

    /// Makes one random step. Returns the number of concurrent requests at the
    /// endpoint.
    std::size_t step() {
        m_now += state::milliseconds(pick(80));
        std::erase_if(m_running, [&](const run& r) { return m_now >= r.until; });
        // Only the last four routers act, so that the others stay silent.
        const auto router_index = m_routers.size() - 1 - pick(4);
        auto& router = *m_routers[router_index];
        switch (pick(9)) {
        case 0: // a router requests permits; the request may be lost
        case 4:
            m_requests.push_back({router_index, router.request_permits(cold, 2, m_now)});
            if (m_requests.size() > 3) {
                m_requests.pop_front(); // lost
            }
            break;
        case 1: // the holder reads a request, which may stay queued and be read again
        case 2:
            if (!m_requests.empty()) {
                const auto message = m_requests.front();
                if (pick(4) != 0) {
                    m_requests.pop_front();
                }
                const auto reply = m_allocator->grant(message.second, m_now + lease, m_now);
                if (reply.granted > 0) {
                    m_replies.push_back({message.first, reply});
                }
            }
            break;
        case 3: // a router reads a reply, which may be late
            if (!m_replies.empty() && pick(2) == 0) {
                const auto at =
                    m_replies.begin() + static_cast<std::ptrdiff_t>(pick(m_replies.size()));
                m_routers[at->first]->receive(at->second, m_now);
                m_replies.erase(at);
            }
            break;
        case 5:
        case 6:
            while (const auto number = router.start(cold, m_now)) {
                m_running.push_back({router_index, *number, m_now + m_settings.longest_request});
            }
            break;
        case 7: // a request ends early; the usage report may be lost
            for (auto r = m_running.begin(); r != m_running.end(); ++r) {
                if (r->router == router_index) {
                    router.finish(cold, r->number, true);
                    m_running.erase(r);
                    break;
                }
            }
            for (const auto& usage : router.report_usage(cold, true, m_now)) {
                if (pick(2) == 0) {
                    m_allocator->settle(usage, m_now);
                }
            }
            break;
        default: // the holder changes after the old lease, time passes, or a router joins
            if (pick(8) == 0) {
                m_now += lease;
                m_predecessor_allowance = allowed();
                m_predecessor_until = m_now + m_settings.term + m_settings.longest_request;
                m_allocator = std::make_unique<permit_allocator>(m_settings, m_hooks, m_now);
            } else if (pick(8) == 0) {
                m_now += 5s; // all processes pause, so messages are late
            } else if (pick(8) == 0) {
                join();
            }
        }
        std::erase_if(m_running, [&](const run& r) { return m_now >= r.until; });
        return m_running.size();
    }

    /// Returns the holder's allowance, or its predecessor's if that is higher and
    /// requests under the predecessor's permits may still run.
    [[nodiscard]] std::size_t allowed() const {
        const std::size_t present = m_allocator->allowance(cold);
        return m_now < m_predecessor_until ? std::max(present, m_predecessor_allowance) : present;
    }
    [[nodiscard]] bool has_grown() const {
        return m_allocator->allowance(cold) > m_settings.cold_allowance;
    }

private:
    struct run {
        std::size_t router;
        std::uint64_t number;
        state::time_point until;
    };
    std::size_t pick(std::size_t count) { return m_random() % count; }
    void join() {
        m_routers.push_back(std::make_unique<router_permits>(
            m_settings, m_hooks, state::member_id("r" + std::to_string(m_routers.size())), 1));
    }

    state::time_point m_now = start;
    warmup_settings m_settings = short_settings();
    warmup_hooks m_hooks;
    std::mt19937_64 m_random;
    std::unique_ptr<permit_allocator> m_allocator;
    std::vector<std::unique_ptr<router_permits>> m_routers;
    std::deque<std::pair<std::size_t, permit_request>> m_requests;
    std::deque<std::pair<std::size_t, permit_reply>> m_replies;
    std::vector<run> m_running;
    std::size_t m_predecessor_allowance = 0;
    state::time_point m_predecessor_until = start;
};

bool exceeds_allowance(const warmup_hooks& hooks, bool& has_grown) {
    const double growth = *rc::gen::element(0.0, 1.0);
    fleet routers(hooks, growth, *rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 2'000; ++i) {
        const auto running = routers.step();
        has_grown = has_grown || routers.has_grown();
        if (running > routers.allowed()) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against more concurrent requests at a cold endpoint than its allowance
// (P3).
TEST_CASE("requests at a cold endpoint never exceed its allowance", "[warmup][property]") {
    bool has_grown = false;
    CHECK(
        rc::check([&] { RC_ASSERT_FALSE(exceeds_allowance(default_warmup_hooks(), has_grown)); }));
    CHECK(has_grown); // some schedules must raise the allowance
    struct naive_variant {
        std::string_view name;
        std::function<void(warmup_hooks&)> apply;
    };
    const std::array variants{
        naive_variant{"successor grants at once",
                      [](warmup_hooks& hooks) {
                          hooks.successor_grants_from = [](const auto&, auto t) { return t; };
                      }},
        naive_variant{"holder counts the term alone",
                      [](warmup_hooks& hooks) {
                          hooks.counted_until = [](const warmup_settings& settings, auto t) {
                              return t + settings.term;
                          };
                      }},
        naive_variant{"router counts the term from the reply",
                      [](warmup_hooks& hooks) {
                          hooks.usable_until = [](const warmup_settings& settings, auto, auto t) {
                              return t + settings.term;
                          };
                      }},
    };
    for (const auto& variant : variants) {
        INFO(variant.name);
        auto hooks = default_warmup_hooks();
        variant.apply(hooks);
        bool violated = false;
        rc::check([&] { violated = violated || exceeds_allowance(hooks, has_grown); });
        CHECK(violated);
    }
}

// Guards against an allowance that never grows or that is kept after a restart.
TEST_CASE("the allowance grows with completed requests and falls on a restart", "[warmup]") {
    auto settings = short_settings();
    settings.growth_per_completion = 1;
    settings.capacity = 4;
    const auto hooks = default_warmup_hooks();
    permit_allocator allocator(settings, hooks, start, false);
    router_permits permits(settings, hooks, state::member_id("r"), 1);
    permits.receive(allocator.grant(permits.request_permits(cold, 9, start), start + lease, start),
                    start);
    CHECK(permits.usable(cold, start) == 2);
    for (int i = 0; i < 2; ++i) {
        permits.finish(cold, permits.start(cold, start).value(), true);
    }
    CHECK_FALSE(allocator.is_warm(cold));
    const auto reports = permits.report_usage(cold, false, start);
    REQUIRE(reports.size() == 1);
    allocator.settle(reports[0], start);
    allocator.settle(reports[0], start); // a repeated report counts once
    CHECK(allocator.allowance(cold) == 4);
    CHECK(allocator.is_warm(cold));
    allocator.reset_allowance(cold);
    permits.discard_unused(cold);
    CHECK(allocator.allowance(cold) == 2);
    CHECK(permits.usable(cold, start) == 0);
}

// Guards against a holder that grants permits without the lease, and against a
// successor that grants after an idle report while permits of its predecessor can
// still start requests.
TEST_CASE("a grant needs the lease and the end of the predecessor's permits", "[warmup]") {
    const auto settings = short_settings();
    permit_allocator allocator(settings, default_warmup_hooks(), start);
    const permit_request request{state::member_id("r"), 1, 1, cold, 1};
    CHECK(allocator.grant(request, start, start).granted == 0);
    allocator.report_running(cold, 0, start + 1s);
    CHECK(allocator.grant(request, start + 2 * lease, start + 1s).granted == 0);
    allocator.report_running(cold, 0, start + settings.term);
    const auto later = start + settings.term;
    CHECK(allocator.grant(request, later + lease, later).granted == 1);
}
