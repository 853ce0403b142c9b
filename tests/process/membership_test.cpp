// Tests membership and configuration with three daemons that share one remote
// platform; all run as separate processes.
#include "relay_fixture.h"

#include "savoryrelay/protocol/platform/platform_messages.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t member_count = 3;
/// A configuration must be in force, or an isolated member out of service, within
/// this time.
constexpr auto effect_time_limit = 6'000ms;
constexpr auto check_interval = 20ms;

using clock_type = std::chrono::steady_clock;

/// Checks `condition` at intervals until it is true. Returns false if it does not
/// become true within `limit`.
bool becomes_true(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
    const auto end = clock_type::now() + limit;
    while (clock_type::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return false;
}

/// Returns UDP ports that were free when the function checked them. The ports are
/// chosen in advance because each member's port is in the settings of the others.
std::array<std::string, member_count> free_ports() {
    using boost::asio::ip::udp;
    boost::asio::io_context context;
    std::vector<udp::socket> sockets;
    std::array<std::string, member_count> ports;
    for (auto& port : ports) {
        sockets.emplace_back(context, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        port = std::to_string(sockets.back().local_endpoint().port());
    }
    return ports;
}

std::string host_list() {
    std::vector<state::platform_host> hosts;
    for (std::size_t i = 0; i < member_count; ++i) {
        state::platform_host host;
        host.id = state::host_id("m" + std::to_string(i));
        host.entry_host = true;
        hosts.push_back(host);
    }
    return protocol::encode_hosts(hosts);
}

/// Runs three daemons, an engine and the platform.
struct members_fixture {
    test_folder folder;
    standin_process engine{{"engine", "--token-ms=1"}};
    standin_process platform{{"platform", "--hosts=" + folder.write("hosts.json", host_list())}};
    std::array<std::string, member_count> peer_ports = free_ports();
    std::vector<std::unique_ptr<child_process>> daemons;
    std::vector<std::string> ports;

    /// `secrets[i]` is the peer key of member i. Without secrets no key file is set.
    explicit members_fixture(std::vector<std::string> secrets = {})
        : m_secrets(std::move(secrets)) {
        for (std::size_t i = 0; i < member_count; ++i) {
            daemons.push_back(std::make_unique<child_process>(
                "savoryrelayd", std::vector<std::string>{"--settings=" + write_settings(i)}));
            ports.push_back(daemons.back()->read_port("event=listening"));
        }
    }

    /// Writes a revision to the table in the same way as a member.
    void write_revision(std::uint64_t revision, const std::string& model) const {
        const auto number = std::to_string(revision);
        const auto document = "availability_zones: [{id: zone-a}]\n"
                              "customers: [{id: workshop, token_digest: " +
                              state::sha256_hex("demo-token") +
                              "}]\n"
                              "deployments: [{id: model, model: " +
                              model +
                              "}]\n"
                              "endpoints: [{id: engine-1, deployment: model, availability_zone: "
                              "zone-a, address: 127.0.0.1, port: " +
                              engine.port + "}]\n";
        const state::table_transaction transaction{
            "test/" + number,
            {},
            {{"config/current", number}, {"config/history/" + number, "test\n0\n" + document}},
            {}};
        const auto answer = fetch(platform.port, http::verb::post, "/v1/table/transact",
                                  protocol::encode_transaction(transaction));
        REQUIRE(answer.status == 200);
    }

    [[nodiscard]] bool is_ready(std::size_t member) const {
        return fetch(ports[member], http::verb::get, "/readyz").status == 200;
    }
    [[nodiscard]] bool all_ready() const { return is_ready(0) && is_ready(1) && is_ready(2); }
    [[nodiscard]] test_answer complete(std::size_t member, const std::string& model) const {
        return fetch(ports[member], http::verb::post, "/v1/completions",
                     R"({"prompt":"p","max_tokens":3,"model":")" + model + "\"}");
    }
    [[nodiscard]] bool all_serve(const std::string& model) const {
        return complete(0, model).status == 200 && complete(1, model).status == 200 &&
               complete(2, model).status == 200;
    }

private:
    [[nodiscard]] std::string write_settings(std::size_t member) const {
        const auto name = "m" + std::to_string(member);
        const auto seed = peer_ports[(member + 1) % member_count];
        auto text = "member: {id: " + name + ", availability_zone: zone-a}\n";
        text += "peers: {port: " + peer_ports[member] + ", seeds: [\"127.0.0.1:" + seed + "\"]";
        if (!m_secrets.empty()) {
            text += ", key_file: " + folder.write(name + ".key", "1 " + m_secrets[member] + "\n");
        }
        text += "}\nplatform: {mode: remote, port: " + platform.port + "}\n";
        return folder.write(name + ".yaml", text);
    }

    std::vector<std::string> m_secrets;
};

} // namespace

// Guards against a revision that a member applies late or never.
TEST_CASE("a configuration in the table is in force on all members within 6 s",
          "[process][membership]") {
    const members_fixture members;
    CHECK_FALSE(members.is_ready(0));
    members.write_revision(1, "gilding");
    REQUIRE(becomes_true(effect_time_limit, [&] { return members.all_ready(); }));
    CHECK(members.all_serve("gilding"));
    members.write_revision(2, "burnishing");
    CHECK(becomes_true(effect_time_limit, [&] { return members.all_serve("burnishing"); }));
}

// Guards against members that stop serving during an outage of the platform
// although they reach each other, and against a member that serves although it may
// be isolated.
TEST_CASE("without the platform, members serve while they receive datagrams from a majority",
          "[process][membership]") {
    const members_fixture members;
    members.write_revision(1, "gilding");
    REQUIRE(becomes_true(effect_time_limit, [&] { return members.all_ready(); }));

    // All three members run without the platform for longer than the isolation limit
    // of 4 s.
    members.platform.control(R"({"down": true})");
    CHECK_FALSE(becomes_true(2 * effect_time_limit, [&] { return !members.all_serve("gilding"); }));
    CHECK(members.all_ready());

    // One of the three members is left, without the platform.
    members.daemons[1]->send(SIGKILL);
    members.daemons[2]->send(SIGKILL);
    CHECK(becomes_true(effect_time_limit, [&] { return !members.is_ready(0); }));
    const auto readiness = fetch(members.ports[0], http::verb::get, "/readyz");
    CHECK(readiness.status == 503);
    const auto refused = members.complete(0, "gilding");
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not-run");

    // The platform is available again.
    members.platform.control(R"({"down": false})");
    CHECK(becomes_true(effect_time_limit, [&] { return members.is_ready(0); }));
}

// Guards against datagrams that are accepted although their key is wrong, and
// against a key file that is not read.
TEST_CASE("datagrams of a member with another peer key are ignored", "[process][membership]") {
    const std::string secret(40, 's');
    const members_fixture members({secret, secret, std::string(40, 'x')});
    members.write_revision(1, "gilding");
    REQUIRE(becomes_true(effect_time_limit, [&] { return members.all_ready(); }));
    members.platform.control(R"({"down": true})");
    CHECK(becomes_true(effect_time_limit, [&] { return !members.is_ready(2); }));
    CHECK(members.is_ready(0));
    CHECK(members.is_ready(1));
}
