// Tests a host whose tables are replaced all the time while it reads them.
#include "edge_fixture.h"
#include "support/kept_connection.h"
#include "support/scripted_endpoint.h"

#include "savoryrelay/protocol/placement/placement_messages.h"

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;

namespace {

// Runners of a service that nobody calls. The snapshot of all runners is so large that freeing it
// unmaps it, as the memory limit of the settings makes the host do.
constexpr int other_runners = 400;
constexpr int caller_count = 6;
constexpr int calls_each = 1'500;
constexpr int streams = 100;

// The end of the connection ends the answer, so that each call needs a new connection.
std::string answer_without_length(const std::string& head) {
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: " + field_of(head, "Attempt-Id") +
           "\r\nServer-Seal: s1\r\n\r\nbooked";
}

std::string placement_target() {
    savoryrelay::state::serving_call call;
    call.host = "a.example";
    call.path = "/look/1";
    call.key = "k1";
    return savoryrelay::protocol::encode_placement_query(call);
}

// Returns early if the host's process has ended and refuses connections.
void run_unless_refused(const std::function<void()>& steps) {
    try {
        steps();
    } catch (const boost::system::system_error&) {
    }
}

struct replaced_snapshot_fixture : edge_fixture {
    replaced_snapshot_fixture() : edge_fixture(0) {
        extra_settings = "limits: {memory_mb: 400}\n";
        for (std::size_t i = 0; i < endpoints.size(); ++i) {
            write_entry("p" + std::to_string(i), "orders", endpoints.at(i).port, "");
        }
        for (int i = 0; i < other_runners; ++i) {
            write_other(i, "ready");
        }
        add_host("edge-0");
        kept_connection caller(hosts[0]->callers);
        while (look(caller, "first").status != 200) {
        }
        ask_until_served();
    }

    void write_other(int number, const std::string& state) const {
        write_entry("other-" + std::to_string(number), "other", endpoints[0].port, "", state);
    }

    [[nodiscard]] static kept_answer look(kept_connection& caller, const std::string& id) {
        return caller.fetch(http::verb::get, "/look/1", "", headers(id));
    }

    std::array<scripted_endpoint, 4> endpoints{
        scripted_endpoint(answer_without_length), scripted_endpoint(answer_without_length),
        scripted_endpoint(answer_without_length), scripted_endpoint(answer_without_length)};
};

} // namespace

// Guards against crashes of hosts that read a table after its snapshot was freed: the requests
// that such a host has accepted get no answer.
TEST_CASE("edge: a host whose tables are replaced while it reads them answers every call") {
    replaced_snapshot_fixture fixture;
    const auto& host = *fixture.hosts[0];
    std::atomic<int> running_callers{caller_count + 1};
    std::atomic<int> answered{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int number = 0; number < caller_count; ++number) {
        threads.emplace_back([&, number] {
            run_unless_refused([&] {
                kept_connection caller(host.callers);
                for (int i = 0; i < calls_each; ++i) {
                    const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
                    const auto answer = replaced_snapshot_fixture::look(caller, id);
                    answered += answer.is_complete ? 1 : 0;
                    served += answer.is_complete && answer.status == 200 ? 1 : 0;
                }
            });
            --running_callers;
        });
    }
    threads.emplace_back([&] {
        run_unless_refused([&] {
            for (int i = 0; i < streams; ++i) {
                answered += fixture.ask("s" + std::to_string(i)).is_complete ? 1 : 0;
            }
        });
        --running_callers;
    });
    for (const auto& target : {std::string("/metrics"), placement_target()}) {
        threads.emplace_back([&, target] {
            run_unless_refused([&] {
                while (running_callers > 0) {
                    fetch(host.metrics, http::verb::get, target);
                }
            });
        });
    }
    for (int i = 0; running_callers > 0; ++i) {
        const bool is_ready = i / other_runners % 2 == 1;
        fixture.write_other(i % other_runners, is_ready ? "ready" : "draining");
        fixture.write_configuration(2 + i);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(answered == caller_count * calls_each + streams);
    CHECK(served > 0);
    CHECK_FALSE(host.process->has_ended());
    host.process->send(SIGTERM);
    CHECK(host.process->wait() == 0);
}
