// Fixture of entry hosts, runners and the platform's store as separate processes.
#pragma once

#include "relay_fixture.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// Returns a port that was free when this function checked it.
inline std::string free_port() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(descriptor);
    return std::to_string(ntohs(address.sin_port));
}

/// An entry host process and its ports.
struct edge_process {
    std::string callers = free_port();
    std::string readiness = free_port();
    std::string metrics = free_port();
    std::string peer_address; ///< each host has its own loopback address
    std::unique_ptr<child_process> process;

    /// Waits until the host reports that it is ready for calls.
    void wait_until_ready() const {
        unsigned status = 0;
        while (status != 200) {
            status = fetch(readiness, http::verb::get, "/readiness").status;
            REQUIRE(status != 0);
        }
    }
};

/// A store, model runners in one domain, a runner without an engine and entry hosts.
struct edge_fixture {
    test_folder folder;
    standin_process store{{"store"}};
    std::vector<std::unique_ptr<standin_process>> models;
    standin_process plain{{"runner", "--id=p1"}};
    std::vector<std::unique_ptr<edge_process>> hosts;
    std::string peer_port = free_port();     ///< the same on all hosts
    std::string configuration_limits = "{}"; ///< JSON, of the configurations written later
    std::string extra_settings;              ///< YAML, of the hosts started later
    std::string extra_peer_settings;         ///< further fields of `peers`, each after a comma
    std::string store_port = store.port;     ///< at which the hosts started later call the store

    explicit edge_fixture(std::size_t host_count = 1, std::size_t model_count = 3) {
        for (std::size_t i = 0; i < model_count; ++i) {
            const auto id = "m" + std::to_string(i);
            models.push_back(std::make_unique<standin_process>(
                std::vector<std::string>{"runner", "--id=" + id, "--token-ms=5"}));
            write_entry(id, "model", models.back()->port, "d0");
        }
        write_entry("p1", "orders", plain.port, "");
        write_configuration(1);
        for (std::size_t i = 0; i < host_count; ++i) {
            add_host("edge-" + std::to_string(i));
        }
    }

    edge_process& add_host(const std::string& name) {
        auto host = std::make_unique<edge_process>();
        start(*host, name);
        hosts.push_back(std::move(host));
        return *hosts.back();
    }

    /// Starts a host, or starts it again on its ports after its process has ended.
    void start(edge_process& host, const std::string& name) {
        // The settings replace the port of a seed by the port of `peers`.
        std::string seeds;
        for (const auto& other : hosts) {
            if (other.get() != &host) {
                seeds += (seeds.empty() ? "" : ",") + (other->peer_address + ":1");
            }
        }
        if (host.peer_address.empty()) {
            constexpr std::size_t first_address = 10;
            host.peer_address = "127.0.0." + std::to_string(first_address + hosts.size());
        }
        const auto path = folder.write(
            name + ".yaml",
            "host: " + name + "\navailability_zone: zone-a\ncallers: 127.0.0.1:" + host.callers +
                "\nreadiness: 127.0.0.1:" + host.readiness +
                "\nmetrics: 127.0.0.1:" + host.metrics + "\nstore: 127.0.0.1:" + store_port +
                "\npeers: {address: " + host.peer_address + ", port: " + peer_port + ", seeds: '" +
                seeds + "'" + extra_peer_settings + "}\n" + extra_settings);
        host.process = std::make_unique<child_process>(
            "savoryrelay_edge", std::vector<std::string>{"--settings=" + path});
        host.process->read_until("event=started");
    }

    /// Starts an ended model runner again on its port, with the switches in `control`. Its
    /// entry gets the start time of the new process.
    void restart_model(std::size_t index, const std::string& control) {
        const auto id = "m" + std::to_string(index);
        const auto port = models[index]->port;
        const auto born = ++m_last_born;
        models[index] = std::make_unique<standin_process>(std::vector<std::string>{
            "runner", "--id=" + id, "--port=" + port, "--born=" + std::to_string(born)});
        models[index]->control(control);
        write_entry(id, "model", port, "d0", "ready", born);
    }

    void write_row(const std::string& table, const std::string& key,
                   const std::string& json) const {
        REQUIRE(fetch(store.port, http::verb::post, "/operator",
                      R"({"table":")" + table + R"(","key":")" + key + R"(","value":)" + json + "}")
                    .status == 200);
    }

    void write_entry(const std::string& id, const std::string& service, const std::string& port,
                     const std::string& domain, const std::string& state = "ready",
                     std::uint64_t born = 1) const {
        write_row("servers", id,
                  R"({"service":")" + service + R"(","address":"127.0.0.1:)" + port +
                      R"(","zone":"zone-a","slots":8,"state":")" + state + R"(","domain":")" +
                      domain + R"(","born":)" + std::to_string(born) + R"(,"sequence":1})");
    }

    void write_configuration(int version, const std::string& key = "k1") const {
        const std::string number = std::to_string(version);
        write_row("op", "config",
                  R"({"version":)" + number + R"(,"routes":[
 {"name":"ask","host":"a.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":5000,
  "latency_target_ms":500,"gap_target_ms":300,"max_attempts":2,"session_affinity":true,
  "stream_resume":true,"service":"model"},
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"non_idempotent",
  "timeout_ms":3000,"latency_target_ms":200,"max_attempts":1,"service":"orders"},
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent",
  "timeout_ms":3000,"latency_target_ms":200,"max_attempts":2,"service":"orders"},
 {"name":"feed","host":"a.example","path_prefix":"/feed/","kind":"streaming",
  "timeout_ms":3000,"latency_target_ms":200,"gap_target_ms":200,"max_attempts":1,
  "service":"orders"},
 {"name":"v)" + number +
                      R"(","host":"a.example","path_prefix":"/v)" + number +
                      R"(/","kind":"idempotent","service":"orders"}],
 "services":[{"name":"model","engine":{"slots":8,"step_ms":5,"read_per_s":46000,"chunk":2048,
  "stride":5,"loads_per_s":50,"loads_at_once":6,"usual":{"prompt":100,"answer":8},
  "models":[{"name":"gold","size":2,"share":1,"pace":1,"load_s":1,"warmup_s":1}]}},
  {"name":"orders"}],"limits":)" +
                      configuration_limits + R"(,"tenants":[{"name":"workshop","api_keys":[")" +
                      key + R"("]}]})");
    }

    [[nodiscard]] static test_headers headers(const std::string& id, bool is_model = false) {
        test_headers all{
            {"Host", "a.example"}, {"Attempt-Id", id}, {"Key", "k1"}, {"Deadline-Ms", "5000"}};
        if (is_model) {
            all.insert(all.end(), {{"Model", "gold"}, {"Token-Counts", "100,8"}});
        }
        return all;
    }

    [[nodiscard]] test_answer ask(const std::string& id, std::size_t host = 0) const {
        return fetch(hosts.at(host)->callers, http::verb::post, "/ask/1", "prompt",
                     headers(id, true));
    }

    /// Repeats a model call until a group serves it.
    test_answer ask_until_served(std::size_t host = 0) const {
        constexpr int max_attempts = 2'000;
        for (int i = 0; i < max_attempts; ++i) {
            auto answer = ask("w" + std::to_string(i), host);
            if (answer.status == 200) {
                return answer;
            }
        }
        FAIL("no group served");
        return {};
    }

    [[nodiscard]] std::string runs(const standin_process& runner) const {
        return fetch(runner.port, http::verb::get, "/runs").body;
    }

private:
    std::uint64_t m_last_born = 1; // start time of the newest model runner
};

} // namespace savoryrelay::tests
