// Tests hosts that were paused while others went on: a former lease holder gives no order
// that a runner accepts, and a host applies the configuration that it missed and runs no
// request whose caller has gone.
#include "paused_fixture.h"
#include "support/kept_connection.h"

#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

// Time after its pause from which a host counts as in touch.
constexpr auto contact_time = 3s;
constexpr auto poll_interval = 10ms;

test_headers headers_with_key(const std::string& id, const std::string& key) {
    auto all = edge_fixture::headers(id);
    all[2].second = key;
    return all;
}

// Pauses the lease holder at a moment that `begin_work` chooses, until another host has
// re-formed the groups. After the pause more groups must be re-formed, while both run.
void check_paused_controller(const std::function<void(paused_fixture&)>& begin_work) {
    constexpr std::size_t host_count = 3;
    constexpr std::size_t model_count = 8; // three groups, a spare and one that is left
    paused_fixture fixture(host_count, model_count);
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    fixture.wait_until_open(3);
    const auto former = fixture.controller();
    REQUIRE(former);

    begin_work(fixture);
    fixture.pause(*former);
    const auto former_number = fixture.newest_fencing_number();
    fixture.wait_until([&] { return fixture.controller().has_value(); });
    fixture.wait_until([&] { return fixture.newest_fencing_number() > former_number; });
    fixture.wait_until_open(3);

    const auto counts = fixture.order_counts();
    const auto newest_before = fixture.newest_fencing_number();
    // The answer to a renewal, which tells the former holder of its successor, takes longer.
    fixture.store.control(R"({"delay_ms":300})");
    fixture.resume();
    fixture.kill_model(fixture.open_heads().front());
    fixture.wait_until([&] { return fixture.gauge(*former, "savoryrelay_controller") == 0; });
    fixture.wait_until_open(2);
    // The other member of the killed head's group is ordered to leave it.
    const auto all_counts = [&] {
        auto now = fixture.order_counts();
        std::size_t added = 0;
        for (std::size_t i = 0; i < now.size(); ++i) {
            added += now[i] > counts[i] ? now[i] - counts[i] : 0;
        }
        return added;
    };
    fixture.wait_until([&] { return all_counts() > 0; });

    std::size_t refused = 0;
    for (std::size_t i = 0; i < model_count; ++i) {
        const auto orders = fixture.orders(i);
        std::uint64_t newest = 0;
        for (std::size_t n = 0; n < orders.size(); ++n) {
            const auto& order = orders[n];
            INFO("m" << i << " order " << n << ": " << order.text);
            if (!order.is_accepted) {
                refused += order.fencing_number < newest_before ? 1 : 0;
                continue;
            }
            // An accepted order is never older than the one before it.
            CHECK(order.fencing_number >= newest);
            newest = order.fencing_number;
            if (n >= counts[i]) {
                CHECK(order.fencing_number >= newest_before);
            }
        }
    }
    CAPTURE(former_number, newest_before, refused);
    CHECK(newest_before > former_number);
    CHECK(fixture.ask_until_served(*former).is_complete);
}

} // namespace

TEST_CASE("edge: a lease holder paused when a runner ends gives no order that is accepted") {
    check_paused_controller(
        [](paused_fixture& fixture) { fixture.kill_model(fixture.open_heads().front()); });
}

TEST_CASE("edge: a lease holder paused between its orders gives no order that is accepted") {
    check_paused_controller([](paused_fixture& fixture) {
        const auto sum = [&] {
            std::size_t all = 0;
            for (const auto count : fixture.order_counts()) {
                all += count;
            }
            return all;
        };
        const auto head = fixture.open_heads().front();
        const auto own = fixture.orders(head).size();
        const auto before = sum() - own;
        fixture.kill_model(head);
        fixture.wait_until([&] { return sum() > before; });
    });
}

TEST_CASE("edge: a host that was paused applies the configuration that it missed") {
    constexpr std::size_t host_count = 2;
    paused_fixture fixture(host_count, 0);
    const auto& paused = *fixture.hosts[0];
    kept_connection kept(paused.callers);
    const auto ask = [&](kept_connection& connection, const std::string& path,
                         const std::string& key) {
        return connection.fetch(http::verb::get, path, "", headers_with_key("c", key)).status;
    };
    for (const auto& host : fixture.hosts) {
        host->wait_until_ready();
    }
    fixture.wait_until([&] { return ask(kept, "/v1/1", "k1") == 200; });

    fixture.pause(0);
    fixture.write_configuration(2, "k2");
    fixture.wait_until([&] { return fixture.gauge(1, "savoryrelay_configuration_version") == 2; });
    fixture.wait_until([&] { return fixture.controller() == 1; });

    // From the end of the contact time on, what the new version dropped is refused. Before,
    // the host may apply the older version, but not again after the newer one.
    const auto resumed_at = test_clock::now();
    fixture.resume();
    bool has_applied = false;
    for (int i = 0; i < 5 || test_clock::now() < resumed_at + contact_time + 200ms; ++i) {
        kept_connection fresh(paused.callers);
        const bool is_in_touch = test_clock::now() >= resumed_at + contact_time;
        for (auto* connection : {&kept, &fresh}) {
            const auto dropped_key = ask(*connection, "/look/1", "k1");
            const auto dropped_route = ask(*connection, "/v1/1", "k2");
            const auto added_route = ask(*connection, "/v2/1", "k2");
            CAPTURE(i, is_in_touch, has_applied, dropped_key, dropped_route, added_route);
            for (const auto status : {dropped_key, dropped_route, added_route}) {
                CHECK((status == 200 || status == 401 || status == 404 || status == 503));
            }
            if (is_in_touch || has_applied) {
                CHECK((dropped_key == 401 || dropped_key == 503));
                CHECK((dropped_route == 404 || dropped_route == 503));
                CHECK(added_route != 401);
                CHECK(added_route != 404);
            }
            if (is_in_touch) {
                CHECK(added_route == 200);
            }
            has_applied = has_applied || added_route == 200;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

TEST_CASE("edge: a host that was paused runs no request whose caller has gone meanwhile") {
    constexpr int caller_count = 8;
    paused_fixture fixture(1, 0);
    const auto& host = *fixture.hosts.front();
    host.wait_until_ready();
    const auto send = [&](kept_connection& connection) {
        connection.send(http::verb::get, "/look/1", "", edge_fixture::headers("c"));
    };
    fixture.wait_until([&] {
        kept_connection first(host.callers);
        send(first);
        return first.finish().status == 200;
    });
    // Calls at the same time leave the host with several idle connections to the endpoint.
    std::vector<std::unique_ptr<kept_connection>> callers;
    for (int i = 0; i < caller_count; ++i) {
        callers.push_back(std::make_unique<kept_connection>(host.callers));
        send(*callers.back());
    }
    for (const auto& caller : callers) {
        REQUIRE(caller->finish().status == 200);
    }

    const auto runs_before = std::stoi(fixture.runs(fixture.plain));
    fixture.pause(0);
    for (const auto& caller : callers) {
        send(*caller);
    }
    for (int i = 0; i < caller_count; ++i) {
        callers.push_back(std::make_unique<kept_connection>(host.callers));
        send(*callers.back());
    }
    callers.clear(); // closes the connections
    std::this_thread::sleep_for(500ms);
    fixture.resume();
    kept_connection last(host.callers);
    send(last);
    CHECK(last.finish().status == 200);
    std::this_thread::sleep_for(200ms);
    CHECK(std::stoi(fixture.runs(fixture.plain)) - runs_before == 1);
}
