// Fixture of entry hosts whose paths to all runners can be cut one host at a time, while
// clients, the store and the other hosts still reach them.
#pragma once

#include "paused_fixture.h"

#include "support/cuttable_link.h"
#include "support/cuttable_paths.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// Whether hosts have the setting `peers.relay_port`.
inline constexpr bool hosts_have_relay_port = true;

/// Hosts that reach the store and the runners each through paths of its own. The store shows a
/// host the ports of its paths as those of the runners, so the runners' addresses differ
/// between hosts.
struct cut_off_fixture : paused_fixture {
    explicit cut_off_fixture(std::size_t host_count, std::size_t model_count = 4)
        : paused_fixture(0, model_count), born(model_count, 1), is_listed(model_count, true) {
        if (hosts_have_relay_port) {
            extra_peer_settings = ", relay_port: " + free_port();
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            store_links.push_back(std::make_unique<cuttable_link>(store.port));
            runner_paths.push_back(std::make_unique<cuttable_paths>());
            ports_by_target.emplace_back();
        }
        for (const auto& model : models) {
            add_paths_to(model->port);
        }
        add_paths_to(plain.port);
        for (std::size_t i = 0; i < host_count; ++i) {
            store_port = store_links[i]->port;
            add_host(name_of(i));
        }
        for (const auto& host : hosts) {
            host->wait_until_ready();
        }
        renew_entries();
        wait_until([&] { return count_hosts_that_list_all() == host_count; });
    }

    static std::string name_of(std::size_t host) { return "edge-" + std::to_string(host); }

    /// Starts an ended host again.
    void restart_host(std::size_t host) {
        store_port = store_links[host]->port;
        start(*hosts[host], name_of(host));
    }

    /// Adds paths from all hosts to a runner, and shows each host its own.
    void add_paths_to(const std::string& target_port) {
        for (std::size_t i = 0; i < runner_paths.size(); ++i) {
            ports_by_target[i][target_port] = runner_paths[i]->add(target_port);
            boost::json::object addresses;
            for (const auto& [target, port] : ports_by_target[i]) {
                addresses["127.0.0.1:" + target] = "127.0.0.1:" + port;
            }
            const boost::json::object view{{"caller", "127.0.0.1:" + store_links[i]->port},
                                           {"addresses", std::move(addresses)}};
            REQUIRE(
                fetch(store.port, http::verb::post, "/view", boost::json::serialize(view)).status ==
                200);
        }
    }

    /// Writes the entries of all runners again. A host that starts, or that was out of touch
    /// with the store, may have copied entries with the addresses of another host; the new rows
    /// replace them.
    void renew_entries() const {
        for (std::size_t i = 0; i < models.size(); ++i) {
            if (is_listed[i]) {
                write_entry("m" + std::to_string(i), "model", models[i]->port, "d0", "ready",
                            born[i]);
            }
        }
        write_entry("p1", "orders", plain.port, "");
    }

    /// Kills a model runner. Its entry goes at once or stays.
    void end_model(std::size_t index, bool keeps_entry) {
        set_ended(models[index]->port, true);
        models[index]->process.send(SIGKILL);
        models[index]->process.wait();
        is_listed[index] = keeps_entry;
        if (!keeps_entry) {
            write_row("servers", "m" + std::to_string(index), "null");
        }
    }

    /// Starts an ended model runner again on its port, as the next incarnation.
    void return_model(std::size_t index) {
        const auto port = models[index]->port;
        const auto id = "m" + std::to_string(index);
        models[index] = std::make_unique<standin_process>(std::vector<std::string>{
            "runner", "--id=" + id, "--port=" + port, "--born=" + std::to_string(++born[index])});
        set_ended(port, false);
        is_listed[index] = true;
        write_entry(id, "model", port, "d0", "ready", born[index]);
    }

    /// Sets at the paths of all hosts whether a runner has ended.
    void set_ended(const std::string& target_port, bool has_ended) {
        for (const auto& paths : runner_paths) {
            paths->set_ended(target_port, has_ended);
        }
    }

    void cut(std::size_t host, path_state state) { runner_paths[host]->set(state); }
    void reopen(std::size_t host) { runner_paths[host]->set(path_state::open); }

    /// Sends a call that is not to take longer than `deadline`.
    [[nodiscard]] test_answer
    call(std::size_t host, http::verb method, const std::string& target, const std::string& id,
         std::chrono::milliseconds deadline = std::chrono::seconds(1)) const {
        auto call_headers = headers(id, target.starts_with("/ask/"));
        set_deadline(call_headers, deadline);
        return fetch(hosts.at(host)->callers, method, target, {}, call_headers);
    }

    static void set_deadline(test_headers& of, std::chrono::milliseconds deadline) {
        for (auto& [name, value] : of) {
            if (name == "Deadline-Ms") {
                value = std::to_string(deadline.count());
            }
        }
    }

    [[nodiscard]] bool is_ready(std::size_t host) const {
        return fetch(hosts.at(host)->readiness, http::verb::get, "/readiness").status == 200;
    }

    /// Adds up how often a runner has begun each call.
    static void add_runs(const std::string& port, std::map<std::string, int>& counts) {
        std::istringstream ids(fetch(port, http::verb::get, "/run_ids").body);
        for (std::string id; std::getline(ids, id);) {
            ++counts[id];
        }
    }

    /// Returns how often runners have begun each call.
    [[nodiscard]] std::map<std::string, int> run_counts() const {
        std::map<std::string, int> counts;
        add_runs(plain.port, counts);
        for (const auto& model : models) {
            add_runs(model->port, counts);
        }
        return counts;
    }

    [[nodiscard]] std::size_t count_hosts_that_list_all() const {
        std::size_t count = 0;
        const auto runners = static_cast<int>(models.size() + 1);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            count += gauge(i, "savoryrelay_runners_listed") == runners ? 1 : 0;
        }
        return count;
    }

    std::vector<std::uint64_t> born; // start time of each model runner
    std::vector<bool> is_listed;     // whether each model runner has an entry
    std::vector<std::unique_ptr<cuttable_link>> store_links;   // by host
    std::vector<std::unique_ptr<cuttable_paths>> runner_paths; // by host
    /// The ports that a host is shown, by the runners' own.
    std::vector<std::map<std::string, std::string>> ports_by_target;
};

} // namespace savoryrelay::tests
