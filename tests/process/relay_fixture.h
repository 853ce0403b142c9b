// Test fixture: runs a daemon and stand-ins for its engines and its service as
// separate processes. The helpers are shared by the other process tests.
#pragma once

#include "support/child_process.h"
#include "support/test_http_client.h"

#include "savoryrelay/state/digest/digest.h"

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace savoryrelay::tests {

/// A running stand-in process and the port that it listens on.
struct standin_process {
    child_process process;
    std::string port;

    explicit standin_process(std::vector<std::string> arguments)
        : process("savoryrelay_standin", std::move(arguments)),
          port(process.read_port("listening ")) {}

    /// Changes the behaviour of the stand-in, for example its simulated faults.
    void control(const std::string& json) const {
        REQUIRE(fetch(port, http::verb::post, "/control", json).status == 200);
    }
};

/// A temporary folder for the files of one test. The destructor deletes it.
class test_folder {
public:
    test_folder() {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "savoryrelay-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        m_path = pattern;
    }
    test_folder(const test_folder&) = delete;
    test_folder& operator=(const test_folder&) = delete;
    ~test_folder() { std::filesystem::remove_all(m_path); }

    /// Writes a file and returns its path.
    [[nodiscard]] std::string write(const std::string& name, const std::string& text) const {
        const auto path = (m_path / name).string();
        std::ofstream(path) << text;
        return path;
    }

private:
    std::filesystem::path m_path;
};

/// Waits until the daemon at `port` has a configuration. The log cannot be used for
/// this, since the line about the configuration may come before or after the line
/// with the port.
inline void wait_until_ready(const std::string& port) {
    unsigned status = 0;
    while (status != 200) {
        status = fetch(port, http::verb::get, "/readyz").status;
        REQUIRE(status != 0);
    }
}

/// Runs two engines, a service and a daemon on an embedded platform.
struct relay_fixture {
    test_folder folder;
    standin_process engine_1{{"engine", "--token-ms=1"}};
    standin_process engine_2{{"engine", "--token-ms=1"}};
    standin_process service{{"service"}};
    child_process daemon{"savoryrelayd", {"--settings=" + write_settings()}};
    std::string port{daemon.read_port("event=listening")};

    relay_fixture() { wait_until_ready(port); }

    /// Requests a stream of `tokens` tokens and returns the complete answer.
    [[nodiscard]] test_answer stream(int tokens, const test_headers& headers = {}) const {
        return fetch(port, http::verb::post, "/v1/chat/completions", stream_body(tokens), headers);
    }

    /// Sends a booking with `key` and returns the answer.
    [[nodiscard]] test_answer book(const std::string& key, const std::string& body = "{}") const {
        return fetch(port, http::verb::post, "/v1/services/orders/book", body,
                     {{"Idempotency-Key", key}});
    }

    static std::string stream_body(int tokens) {
        return R"({"model":"gilding","stream":true,"prompt":"p","max_tokens":)" +
               std::to_string(tokens) + "}";
    }

private:
    [[nodiscard]] std::string endpoint_row(const std::string& id, const std::string& deployment,
                                           const std::string& endpoint_port) const {
        return "  - {id: " + id + ", deployment: " + deployment +
               ", availability_zone: zone-a, address: 127.0.0.1, port: " + endpoint_port + "}\n";
    }

    [[nodiscard]] std::string write_settings() const {
        const auto configuration =
            folder.write("configuration.yaml",
                         "availability_zones: [{id: zone-a}]\n"
                         "customers: [{id: workshop, token_digest: " +
                             state::sha256_hex("demo-token") +
                             "}]\n"
                             "deployments:\n"
                             "  - {id: model, model: gilding, first_token_timeout_ms: 500, "
                             "token_timeout_ms: 500}\n"
                             "  - {id: orders, kind: service, repeat: at_most_once, "
                             "first_token_timeout_ms: 500}\n"
                             "endpoints:\n" +
                             endpoint_row("engine-1", "model", engine_1.port) +
                             endpoint_row("engine-2", "model", engine_2.port) +
                             endpoint_row("orders-1", "orders", service.port));
        return folder.write("settings.yaml", "member: {id: m1, availability_zone: zone-a}\n"
                                             "single_entry_host: true\n"
                                             "configuration_file: " +
                                                 configuration + "\n");
    }
};

} // namespace savoryrelay::tests
