// Tests the operators' interface and the record with separate processes: a daemon
// on a stand-in for the remote platform, and savoryrelayctl as its client.
#include "relay_fixture.h"

#include "savoryrelay/protocol/platform/platform_messages.h"
#include "savoryrelay/protocol/record/record_json.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

using namespace savoryrelay;
using namespace savoryrelay::tests;

namespace {

constexpr int exit_success = 0;
constexpr int exit_refused = 1;
constexpr int exit_unreachable = 3;
constexpr int exit_conflict = 4;

// Returns a TCP port that was free when the function checked it.
std::string free_port() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return std::to_string(acceptor.local_endpoint().port());
}

std::string make_private_key() {
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
        EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), &EVP_PKEY_free);
    const std::unique_ptr<BIO, decltype(&BIO_free)> memory(BIO_new(BIO_s_mem()), &BIO_free);
    REQUIRE(PEM_write_bio_PrivateKey(memory.get(), key.get(), nullptr, nullptr, 0, nullptr,
                                     nullptr) == 1);
    char* text = nullptr;
    const auto size = BIO_get_mem_data(memory.get(), &text);
    return {text, static_cast<std::size_t>(size)};
}

// Runs a daemon that writes a record, with stand-ins for the platform, two engines
// and a service.
struct operators_fixture {
    test_folder folder;
    standin_process platform{{"platform"}};
    standin_process engine_1{{"engine", "--token-ms=1"}};
    standin_process engine_2{{"engine", "--token-ms=1"}};
    standin_process service{{"service"}};
    std::string private_key = make_private_key();
    std::string operators_port = free_port();
    child_process daemon{"savoryrelayd", {"--settings=" + write_settings()}};
    std::string port{daemon.read_port("event=listening")};

    operators_fixture() { daemon.read_until("operators=127.0.0.1:" + operators_port); }

    /// Starts savoryrelayctl against the daemon.
    [[nodiscard]] std::unique_ptr<child_process>
    start_ctl(std::vector<std::string> arguments) const {
        arguments.push_back("--daemon=127.0.0.1:" + operators_port);
        return std::make_unique<child_process>("savoryrelayctl", std::move(arguments));
    }
    [[nodiscard]] int ctl(std::vector<std::string> arguments) const {
        return start_ctl(std::move(arguments))->wait();
    }
    [[nodiscard]] int submit(std::uint64_t expected) const {
        return ctl({"configuration", "submit", write_configuration(),
                    "--expected=" + std::to_string(expected), "--operator=alice"});
    }
    /// Runs a command that changes the configuration, waits until its revision
    /// is in force, and returns the revision.
    std::uint64_t change(std::vector<std::string> arguments) {
        arguments.emplace_back("--json");
        arguments.emplace_back("--operator=alice");
        const auto command = start_ctl(std::move(arguments));
        const auto answer = boost::json::parse(command->read_until("{"));
        REQUIRE(command->wait() == exit_success);
        const auto revision = answer.at("revision").to_number<std::uint64_t>();
        daemon.read_until("event=configuration_in_force revision=" + std::to_string(revision));
        return revision;
    }
    [[nodiscard]] unsigned complete() const {
        return fetch(port, http::verb::post, "/v1/chat/completions", relay_fixture::stream_body(2))
            .status;
    }
    [[nodiscard]] static std::uint64_t completed_by(const standin_process& engine) {
        return boost::json::parse(fetch(engine.port, http::verb::get, "/engine/load").body)
            .at("completed")
            .to_number<std::uint64_t>();
    }

    /// Returns the number of completed requests once it is `count`, or after a time limit. The
    /// engine counts a request after it has sent the last event, which ends the call.
    [[nodiscard]] static std::uint64_t wait_for_completed(const standin_process& engine,
                                                          std::uint64_t count) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        auto completed = completed_by(engine);
        while (completed < count && std::chrono::steady_clock::now() < limit) {
            completed = completed_by(engine);
        }
        return completed;
    }

    [[nodiscard]] std::string write_configuration() const {
        const auto endpoint_row = [](const std::string& id, const std::string& deployment,
                                     const std::string& endpoint_port) {
            return "  - {id: " + id + ", deployment: " + deployment +
                   ", availability_zone: zone-a, address: 127.0.0.1, port: " + endpoint_port +
                   "}\n";
        };
        return folder.write(
            "configuration.yaml",
            "availability_zones: [{id: zone-a}]\ncustomers: [{id: workshop, token_digest: " +
                state::sha256_hex("demo-token") +
                "}]\ndeployments:\n  - {id: model, model: gilding}\n"
                "  - {id: orders, kind: service, repeat: at_most_once}\nendpoints:\n" +
                endpoint_row("engine-1", "model", engine_1.port) +
                endpoint_row("engine-2", "model", engine_2.port) +
                endpoint_row("orders-1", "orders", service.port));
    }

    /// Copies the record and the anchors from the platform stand-in into a folder, adds
    /// the public key, and returns the folder's path.
    [[nodiscard]] std::string copy_record() const {
        const auto key = state::collect([&] {
            return protocol::record_signing_key::from_pem(
                private_key, "k1", state::wall_time{},
                state::wall_time(std::chrono::sys_days(std::chrono::year(2100) / 1 / 1)));
        });
        REQUIRE(key);
        const auto root = std::filesystem::path(folder.write(
            "public-keys.json", protocol::encode_public_keys({key.value().public_key()})));
        const auto rows = state::collect([&] {
            return protocol::decode_rows(
                fetch(platform.port, http::verb::get, "/v1/table/scan?prefix=anchor%2F").body);
        });
        REQUIRE(rows);
        REQUIRE(rows.value().size() == 1);
        const auto anchor =
            state::collect([&] { return protocol::decode_anchor(rows.value()[0].value); });
        REQUIRE(anchor);
        (void)folder.write("anchors.json", protocol::encode_anchors({anchor.value()}));

        const auto names = state::collect([&] {
            return protocol::decode_object_names(
                fetch(platform.port, http::verb::get, "/v1/objects?prefix=record%2F").body);
        });
        REQUIRE(names);
        REQUIRE_FALSE(names.value().empty());
        for (const auto& name : names.value()) {
            auto encoded = name;
            for (auto at = encoded.find('/'); at != std::string::npos; at = encoded.find('/')) {
                encoded.replace(at, 1, "%2F");
            }
            const auto object = fetch(platform.port, http::verb::get, "/v1/objects/" + encoded);
            REQUIRE(object.status == 200);
            std::filesystem::create_directories((root.parent_path() / name).parent_path());
            (void)folder.write(name, object.body);
        }
        return root.parent_path().string();
    }

private:
    [[nodiscard]] std::string write_settings() const {
        return folder.write("settings.yaml",
                            "member: {id: m1, availability_zone: zone-a}\n"
                            "single_entry_host: true\npoll_interval_ms: 100\n"
                            "operators: {port: " +
                                operators_port + "}\nplatform: {mode: remote, port: " +
                                platform.port + "}\nrecord: {key_id: k1, flush_interval_ms: 50, " +
                                "key_file: " + folder.write("record.pem", private_key) + "}\n");
    }
};

} // namespace

// Guards against a lost update: of two submissions based on the same revision,
// exactly one may be accepted, and the exit code must tell the other operator about
// the conflict.
TEST_CASE("of two concurrent submissions exactly one is accepted", "[process]") {
    const operators_fixture relay;
    REQUIRE(relay.submit(0) == exit_success);
    CHECK(relay.submit(0) == exit_conflict);

    // With a slow platform both submissions read revision 1 before either writes.
    relay.platform.control(R"({"delay_ms": 150})");
    const auto file = relay.write_configuration();
    const auto first =
        relay.start_ctl({"configuration", "submit", file, "--expected=1", "--operator=alice"});
    const auto second =
        relay.start_ctl({"configuration", "submit", file, "--expected=1", "--operator=bob"});
    std::vector<int> codes{first->wait(), second->wait()};
    relay.platform.control(R"({"delay_ms": 0})");
    std::sort(codes.begin(), codes.end());
    CHECK(codes == std::vector<int>{exit_success, exit_conflict});
    CHECK(relay.ctl({"configuration", "diff", file}) == exit_success);
    CHECK(relay.ctl({"configuration", "show", "--revision=1"}) == exit_success);
    CHECK(relay.ctl({"configuration", "show", "--revision=999"}) == exit_refused);
}

// Guards against calls that are sent to a drained endpoint, and against an endpoint
// that gets no calls after it was returned to service.
TEST_CASE("an endpoint receives no new calls once its drain is in force", "[process]") {
    operators_fixture relay;
    relay.change({"configuration", "submit", relay.write_configuration(), "--expected=0"});
    relay.change({"drain", "endpoint", "engine-1"});
    const auto before = operators_fixture::completed_by(relay.engine_1);
    for (int i = 0; i < 20; ++i) {
        CHECK(relay.complete() == 200);
    }
    CHECK(operators_fixture::completed_by(relay.engine_1) == before);
    CHECK(operators_fixture::wait_for_completed(relay.engine_2, 20) == 20);
    relay.start_ctl({"status"})->read_until("engine-1 model zone-a cold drained");

    relay.change({"drain", "availability_zone", "zone-a"});
    CHECK(relay.complete() != 200);
    CHECK(operators_fixture::completed_by(relay.engine_2) == 20);
    relay.change({"return", "availability_zone", "zone-a"});
    relay.change({"return", "endpoint", "engine-1"});
    relay.change({"drain", "endpoint", "engine-2"});
    CHECK(relay.complete() == 200);
    CHECK(operators_fixture::wait_for_completed(relay.engine_1, before + 1) == before + 1);
    CHECK(relay.ctl({"drain", "endpoint", "engine-9", "--operator=alice"}) == exit_refused);
}

// Guards against a record that lacks the last entries after a graceful stop, and
// against one that cannot be verified from copies of the stored data alone.
TEST_CASE("the record of a stopped daemon passes verification", "[process]") {
    operators_fixture relay;
    relay.change({"configuration", "submit", relay.write_configuration(), "--expected=0"});
    REQUIRE(relay.complete() == 200);
    REQUIRE(fetch(relay.port, http::verb::post, "/v1/services/orders/book", "{}",
                  {{"Idempotency-Key", "leaf-1"}})
                .status == 200);
    CHECK(relay.submit(0) == exit_conflict);
    relay.daemon.send(SIGTERM);
    CHECK(relay.daemon.wait() == 0);
    CHECK(relay.ctl({"status"}) == exit_unreachable);

    const auto record = relay.copy_record();
    CHECK(child_process("savoryrelayctl", {"audit", "verify", record}).wait() == exit_success);
    // The record has an accepted and an ended entry for each of the two calls, the
    // intent and the outcome of the booking, both submissions, and the entry that
    // closes the chain.
    child_process show("savoryrelayctl", {"audit", "show", record, "--json", "--quiet"});
    const auto read_entry = [&] { return boost::json::parse(show.read_until("{")); };
    std::map<std::string, int> counts;
    for (int i = 0; i < 9; ++i) {
        const auto entry = read_entry();
        ++counts[std::string(entry.at("kind").as_string())];
    }
    CHECK(show.wait() == exit_success);
    CHECK(counts == std::map<std::string, int>{{"request_accepted", 2},
                                               {"request_ended", 2},
                                               {"booking", 2},
                                               {"operator_change", 2},
                                               {"chain_closed", 1}});
}
