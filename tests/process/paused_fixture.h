// Fixture of entry hosts that can be paused, with views of the lease holder, of the groups
// and of the orders that runners have received.
#pragma once

#include "edge_fixture.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace savoryrelay::tests {

struct received_order {
    std::uint64_t fencing_number = 0;
    std::string text;
    bool is_accepted = false;
};

struct paused_fixture : edge_fixture {
    using edge_fixture::edge_fixture;

    static void wait_until(const std::function<bool()>& condition) {
        constexpr auto longest = std::chrono::seconds(20);
        REQUIRE(is_reached_within(longest, condition));
    }

    /// Returns whether the condition holds at a moment within `time`.
    static bool is_reached_within(std::chrono::milliseconds time,
                                  const std::function<bool()>& condition) {
        constexpr auto poll_interval = std::chrono::milliseconds(10);
        const auto limit = std::chrono::steady_clock::now() + time;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= limit) {
                return false;
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return true;
    }

    void pause(std::size_t host) {
        paused = host;
        hosts[host]->process->pause();
    }

    void resume() {
        hosts[*paused]->process->send(SIGCONT);
        paused.reset();
    }

    [[nodiscard]] int gauge(std::size_t host, const std::string& name) const {
        const auto text = fetch(hosts[host]->metrics, http::verb::get, "/metrics").body;
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size() + 2));
    }

    /// Returns the host that holds the lease among those that are not paused.
    [[nodiscard]] std::optional<std::size_t> controller() const {
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            if (host != paused && gauge(host, "savoryrelay_controller") == 1) {
                return host;
            }
        }
        return std::nullopt;
    }

    /// Returns the heads of open groups.
    [[nodiscard]] std::vector<std::size_t> open_heads() {
        std::vector<std::size_t> heads;
        for (std::size_t i = 0; i < models.size(); ++i) {
            if (!models[i]->process.has_ended() &&
                fetch(models[i]->port, http::verb::get, "/report").body.find(R"("state":"open")") !=
                    std::string::npos) {
                heads.push_back(i);
            }
        }
        return heads;
    }

    void wait_until_open(std::size_t groups) {
        wait_until([&] { return open_heads().size() == groups; });
    }

    /// Returns the orders that the runner has received, oldest first; none if it has ended.
    [[nodiscard]] std::vector<received_order> orders(std::size_t model) {
        std::vector<received_order> all;
        if (models[model]->process.has_ended()) {
            return all;
        }
        const auto body = fetch(models[model]->port, http::verb::get, "/orders").body;
        const auto items = boost::json::parse(body);
        for (const auto& item : items.as_array()) {
            const auto& order = item.as_object();
            constexpr unsigned first_failure = 300;
            all.push_back({order.at("fencing_token").to_number<std::uint64_t>(),
                           boost::json::serialize(order),
                           order.at("status").to_number<unsigned>() < first_failure});
        }
        return all;
    }

    [[nodiscard]] std::vector<std::size_t> order_counts() {
        std::vector<std::size_t> counts;
        for (std::size_t i = 0; i < models.size(); ++i) {
            counts.push_back(orders(i).size());
        }
        return counts;
    }

    /// Returns the highest fencing number of an accepted order.
    [[nodiscard]] std::uint64_t newest_fencing_number() {
        std::uint64_t newest = 0;
        for (std::size_t i = 0; i < models.size(); ++i) {
            for (const auto& order : orders(i)) {
                newest = std::max(newest, order.is_accepted ? order.fencing_number : 0);
            }
        }
        return newest;
    }

    void kill_model(std::size_t index) {
        models[index]->process.send(SIGKILL);
        models[index]->process.wait();
        write_row("servers", "m" + std::to_string(index), "null");
    }

    std::optional<std::size_t> paused; // index of the paused host
};

} // namespace savoryrelay::tests
