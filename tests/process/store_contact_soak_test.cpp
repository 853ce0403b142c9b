// Soak of the rule that a runner gets no calls once it has left, beside hosts that are cut off
// from the store, held up and paused, and beside outages of the store in which entries lapse.
// SAVORYRELAY_SOAK_SEED sets the seed, SAVORYRELAY_SOAK_SECONDS the length.
#include "paused_fixture.h"

#include "support/cuttable_link.h"
#include "support/kept_connection.h"
#include "support/soak.h"

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;
using path = cuttable_link::path;
using instant = test_clock::time_point;

constexpr std::size_t host_count = 3;
constexpr std::size_t runner_count = 4;
constexpr std::size_t clients_per_host = 2;
// A runner that leaves serves for this long after the store has accepted it.
constexpr auto leave_limit = 2'000ms;
// The rules hold for a host that was not disturbed for this long, with a store that was not away.
constexpr auto contact_time = 3'000ms;
constexpr auto call_interval = 3ms;
// Entries that lapsed return within two seconds.
constexpr unsigned latest_return_ms = 1'600;

struct time_span {
    instant begin;
    instant end;
};

// A call as its client saw it.
struct seen_call {
    std::size_t host = 0;
    instant sent_at;
    unsigned status = 0;
};

// A time in which a runner had no entry.
struct absence {
    std::size_t runner = 0;
    instant removed_at;
    instant listed_at = instant::max();
};

struct soak_fixture : paused_fixture {
    explicit soak_fixture(unsigned seed) : paused_fixture(0, 0), random(seed) {
        remove("p1");
        for (std::size_t i = 0; i < runner_count; ++i) {
            runners.push_back(std::make_unique<standin_process>(
                std::vector<std::string>{"runner", "--id=" + id_of(i)}));
            list(i);
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            links.push_back(std::make_unique<cuttable_link>(store.port));
            store_port = links.back()->port;
            add_host("edge-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            wait_until([&] { return gauge(i, "savoryrelay_runners_listed") == runner_count; });
        }
        std::this_thread::sleep_for(contact_time);
        for (std::size_t i = 0; i < host_count * clients_per_host; ++i) {
            clients.emplace_back([this, i] { run_client(i % host_count, i); });
        }
    }
    soak_fixture(const soak_fixture&) = delete;
    soak_fixture& operator=(const soak_fixture&) = delete;
    ~soak_fixture() { stop_clients(); }

    void stop_clients() {
        is_over = true;
        for (auto& client : clients) {
            client.join();
        }
        clients.clear();
    }

    static std::string id_of(std::size_t runner) { return "r" + std::to_string(runner); }
    // Several threads write entries, so they only count what the store has not accepted.
    void write(const std::string& id, const std::string& json) {
        const auto answer =
            fetch(store.port, http::verb::post, "/operator",
                  R"({"table":"servers","key":")" + id + R"(","value":)" + json + "}");
        unaccepted += answer.status == 200 ? 0 : 1;
    }
    void list(std::size_t runner) {
        write(id_of(runner),
              R"({"service":"orders","address":"127.0.0.1:)" + runners[runner]->port +
                  R"(","zone":"zone-a","slots":8,"state":"ready","born":1,)" + R"("sequence":1})");
    }
    void remove(const std::string& id) { write(id, "null"); }

    // Sends call after call on a connection that it keeps.
    void run_client(std::size_t host, std::size_t number) {
        kept_connection connection(hosts[host]->callers);
        for (int count = 0; !is_over; ++count) {
            const auto id = "c" + std::to_string(number) + "-" + std::to_string(count);
            const auto sent_at = test_clock::now();
            const auto answer = connection.fetch(http::verb::get, "/look/1", "", headers(id));
            {
                const std::scoped_lock lock(mutex);
                calls[id] = {host, sent_at, answer.status};
            }
            std::this_thread::sleep_for(call_interval);
        }
    }

    // Sets the paths of hosts to the store for a while.
    void disturb_paths(const std::vector<std::size_t>& which, std::chrono::milliseconds time) {
        const auto begin = test_clock::now();
        for (const auto host : which) {
            links[host]->set(random.below(2) == 0 ? path::cut : path::held);
        }
        std::this_thread::sleep_for(time);
        for (const auto host : which) {
            links[host]->set(path::open);
            disturbed[host].push_back({begin, test_clock::now()});
        }
    }

    void pause_one(std::size_t host) {
        const auto begin = test_clock::now();
        hosts[host]->process->pause();
        std::this_thread::sleep_for(random.time_between(300, 3'000));
        hosts[host]->process->send(SIGCONT);
        disturbed[host].push_back({begin, test_clock::now()});
    }

    // The store is away from all hosts, and the entries of all runners lapse meanwhile.
    void store_away() {
        std::this_thread::sleep_for(contact_time);
        const auto begin = test_clock::now();
        for (auto& link : links) {
            link->set(random.below(2) == 0 ? path::cut : path::held);
        }
        links[random.below(host_count)]->set(path::cut);
        std::this_thread::sleep_for(random.time_between(1'500, 4'000));
        for (std::size_t i = 0; i < runner_count; ++i) {
            remove(id_of(i));
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            links[i]->set(path::open);
            disturbed[i].push_back({begin, test_clock::now()});
        }
        const auto returned_at = test_clock::now();
        std::this_thread::sleep_for(random.time_between(0, latest_return_ms));
        for (std::size_t i = 0; i < runner_count; ++i) {
            list(i);
        }
        lapses.push_back({returned_at, test_clock::now()});
        std::this_thread::sleep_for(contact_time);
    }

    // A runner leaves, and is back under its id after a while.
    void replace_one() {
        const auto runner = random.below(runner_count);
        remove(id_of(runner));
        absence left{runner, test_clock::now()};
        std::this_thread::sleep_for(leave_limit + random.time_between(500, 1'500));
        left.listed_at = test_clock::now();
        list(runner);
        absences.push_back(left);
    }

    void run(std::chrono::seconds length) {
        const auto end = test_clock::now() + length;
        while (test_clock::now() < end) {
            if (random.below(5) == 0) {
                store_away();
                continue;
            }
            // A runner leaves while hosts are cut off, or as they reach the store again.
            const auto cut_time = random.time_between(300, 4'000);
            const auto leaves_after = random.below(3) == 0 ? random.time_between(0, 4'000)
                                                           : cut_time + random.time_between(0, 300);
            const bool is_one_paused = random.below(3) == 0;
            std::thread leaving([this, leaves_after] {
                std::this_thread::sleep_for(leaves_after);
                replace_one();
            });
            const auto first = random.below(host_count);
            if (is_one_paused) {
                pause_one((first + 2) % host_count);
            }
            random.below(3) == 0 ? disturb_paths({first, (first + 1) % host_count}, cut_time)
                                 : disturb_paths({first}, cut_time);
            leaving.join();
        }
    }

    [[nodiscard]] bool was_in_touch(std::size_t host, instant at) const {
        for (const auto& span : disturbed[host]) {
            if (span.begin < at && at < span.end + contact_time) {
                return false;
            }
        }
        return true;
    }

    shared_random random;
    std::vector<std::unique_ptr<standin_process>> runners;
    std::vector<std::unique_ptr<cuttable_link>> links;
    std::array<std::vector<time_span>, host_count> disturbed;
    std::vector<time_span> lapses; // from the store's return until the entries are back
    std::vector<absence> absences;
    std::mutex mutex;
    std::map<std::string, seen_call> calls; // guarded by `mutex`
    std::atomic<int> unaccepted{0};
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
};

} // namespace

TEST_CASE("edge: runners that left get no calls beside hosts that lose and regain the store") {
    constexpr unsigned usual_seed = 20261206;
    constexpr unsigned usual_seconds = 20;
    const auto seed = number_from_environment("SAVORYRELAY_SOAK_SEED", usual_seed);
    const std::chrono::seconds length(
        number_from_environment("SAVORYRELAY_SOAK_SECONDS", usual_seconds));
    CAPTURE(seed);
    soak_fixture fixture(seed);
    fixture.run(length);
    fixture.stop_clients();

    // Calls that hosts in touch sent to a runner too late.
    int late = 0;
    for (std::size_t runner = 0; runner < runner_count; ++runner) {
        std::istringstream ids(
            fetch(fixture.runners[runner]->port, http::verb::get, "/run_ids").body);
        for (std::string id; std::getline(ids, id);) {
            const auto found = fixture.calls.find(id);
            if (found == fixture.calls.end()) {
                continue;
            }
            const auto& call = found->second;
            for (const auto& left : fixture.absences) {
                if (left.runner == runner && call.sent_at > left.removed_at + leave_limit &&
                    call.sent_at < left.listed_at &&
                    fixture.was_in_touch(call.host, call.sent_at)) {
                    ++late;
                }
            }
        }
    }
    CHECK(late == 0);

    // Calls that were refused although the only runners might be back.
    int refused = 0;
    int ended = 0;
    for (const auto& [id, call] : fixture.calls) {
        ended += call.status == 200 ? 1 : 0;
        for (const auto& lapse : fixture.lapses) {
            refused += call.status != 200 && call.sent_at > lapse.begin && call.sent_at < lapse.end
                           ? 1
                           : 0;
        }
    }
    CHECK(refused == 0);
    std::ostringstream summary;
    summary << "soak seed " << seed << ": " << fixture.calls.size() << " calls, " << ended
            << " answered, " << fixture.absences.size() << " runners left, "
            << fixture.lapses.size() << " outages, " << late << " late, " << refused << " refused";
    WARN(summary.str());
    CHECK(ended > 0);
    CHECK(fixture.unaccepted == 0);
    CHECK(fixture.absences.size() + fixture.lapses.size() > 0);
}
