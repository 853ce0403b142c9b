// Soak of the promise that a refused call has not run. Runners refuse calls and send copies of
// their refusals later, and come back under new ids, while hosts stop, pause and end.
// SAVORYRELAY_SOAK_SEED sets the seed, SAVORYRELAY_SOAK_SECONDS the length.
#include "edge_fixture.h"
#include "support/kept_connection.h"
#include "support/persistent_endpoint.h"
#include "support/soak.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr std::size_t host_count = 3;
constexpr std::size_t runner_count = 3;
constexpr std::size_t clients_per_host = 4;
// Bounds each wait for a process, so that a hanging one fails the test.
constexpr auto longest_wait = 20s;

constexpr std::array refusal_statuses{408U, 421U, 429U, 503U};

bool is_refusal(unsigned status) {
    return std::find(refusal_statuses.begin(), refusal_statuses.end(), status) !=
           refusal_statuses.end();
}

// What the runners did with each request.
class run_ledger {
public:
    void note(const endpoint_request& request, const std::string& runner, const std::string& what) {
        const std::scoped_lock lock(m_mutex);
        m_notes[request.id] += " " + runner +
                               (request.instance == runner ? "" : " for " + request.instance) +
                               ": " + what + ";";
    }
    void note_run(const endpoint_request& request, const std::string& runner) {
        note(request, runner, "ran");
        const std::scoped_lock lock(m_mutex);
        ++m_runs[request.id];
        ++m_runs_by_path[request.path];
    }
    [[nodiscard]] int runs(const std::string& id) const { return count_in(m_runs, id); }
    [[nodiscard]] int runs_of_path(const std::string& path) const {
        return count_in(m_runs_by_path, path);
    }
    [[nodiscard]] std::string notes(const std::string& id) const {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_notes.find(id);
        return found == m_notes.end() ? " no runner got it" : found->second;
    }

private:
    [[nodiscard]] int count_in(const std::map<std::string, int>& counts,
                               const std::string& key) const {
        const std::scoped_lock lock(m_mutex);
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;         // by request id
    std::map<std::string, int> m_runs_by_path; // the path names the order
    std::map<std::string, std::string> m_notes;
};

// What the runners sent.
struct sent_counts {
    std::atomic<int> refusals{0};
    std::atomic<int> refusals_without_id{0};
    std::atomic<int> copies_before_answers{0}; ///< of refusals
    std::atomic<int> copies_behind_refusals{0};
    std::atomic<int> copies_on_idle{0};
    std::atomic<int> copies_of_successes{0};
};

// What all threads of a soak share.
struct soak_state {
    explicit soak_state(unsigned seed) : random(seed) {}

    shared_random random;
    run_ledger ledger;
    sent_counts sent;
    std::atomic<bool> is_calm{false}; ///< runners refuse nothing and send no copies
    std::atomic<bool> is_over{false}; ///< clients send no more calls
};

// A runner at one address that comes back there under new ids.
class soak_runner {
public:
    soak_runner(soak_state& state, std::size_t number)
        : m_state(state), m_name("r" + std::to_string(number)) {
        m_endpoint.set(
            [this](const auto& request) { return answer(request); },
            [this](const auto& previous, const auto& own) { return deliver(previous, own); });
        m_endpoint.set_delay(
            [this] { return m_state.random.one_in(4) ? m_state.random.time_between(0, 8) : 0ms; });
    }

    [[nodiscard]] const std::string& port() const { return m_endpoint.port; }
    [[nodiscard]] std::string id() const {
        const std::scoped_lock lock(m_mutex);
        return m_name + "-" + std::to_string(m_generation);
    }
    /// Returns the id after the next replacement.
    [[nodiscard]] std::string next_id() const {
        const std::scoped_lock lock(m_mutex);
        return m_name + "-" + std::to_string(m_generation + 1);
    }
    void replace() {
        const std::scoped_lock lock(m_mutex);
        ++m_generation;
    }
    void close_connections() { m_endpoint.close_connections(); }
    void send_copies_on_idle() {
        m_endpoint.send_on_idle([this](const auto& last) {
            if (!m_state.random.one_in(2)) {
                return std::string{};
            }
            ++m_state.sent.copies_on_idle;
            return last;
        });
    }

private:
    std::string answer(const endpoint_request& request) {
        auto& random = m_state.random;
        const auto own_id = id();
        if (!request.instance.empty() && request.instance != own_id) {
            return refuse(request, own_id, "421 Misdirected Request");
        }
        if (!m_state.is_calm && random.one_in(6)) {
            return refuse(request, own_id,
                          random.one_in(6) ? "421 Misdirected Request" : "503 Full");
        }
        m_state.ledger.note_run(request, own_id);
        return plain_answer("200 OK", request.id);
    }

    std::string refuse(const endpoint_request& request, const std::string& own_id,
                       const std::string& status) {
        ++m_state.sent.refusals;
        const bool has_id = !m_state.random.one_in(8);
        m_state.ledger.note(request, own_id, status + (has_id ? "" : " without an id"));
        if (has_id) {
            return rejection(status, request.id);
        }
        ++m_state.sent.refusals_without_id;
        return "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    std::string deliver(const std::string& previous, const std::string& own) {
        auto& random = m_state.random;
        if (m_state.is_calm) {
            return own;
        }
        if (is_rejection(previous) && !random.one_in(4)) {
            ++m_state.sent.copies_before_answers;
            return previous + own;
        }
        if (is_rejection(own) && random.one_in(20)) {
            ++m_state.sent.copies_behind_refusals;
            return own + own;
        }
        if (!previous.empty() && !is_rejection(previous) && random.one_in(20)) {
            ++m_state.sent.copies_of_successes;
            return previous + own;
        }
        return own;
    }

    soak_state& m_state;
    std::string m_name;
    mutable std::mutex m_mutex;
    int m_generation = 0;
    persistent_endpoint m_endpoint{
        [](const auto& request) { return plain_answer("200 OK", request.id); }};
};

struct call_record {
    std::string id;
    std::string path;
    std::size_t host = 0;
    bool is_order = false; ///< the call may run at most once
    kept_answer answer;
};

// A client with an open connection to each host. It repeats an order only after a refusal.
class soak_client {
public:
    soak_client(soak_state& state, const edge_fixture& fixture, std::size_t number)
        : m_state(state), m_fixture(fixture), m_number(number) {}

    void run() {
        while (!m_state.is_over) {
            const auto name = std::to_string(m_number) + "-" + std::to_string(m_next++);
            if (m_state.random.one_in(3)) {
                call("/look/" + name, "l" + name, m_number % host_count);
            } else {
                order(name);
            }
            std::this_thread::sleep_for(m_state.random.time_between(0, 15));
        }
    }
    [[nodiscard]] const std::vector<call_record>& records() const { return m_records; }

private:
    void order(const std::string& name) {
        constexpr int max_calls = 6;
        auto host = m_number % host_count;
        for (int i = 0; i < max_calls; ++i) {
            const auto status = call("/book/" + name, "b" + name + "-" + std::to_string(i), host);
            if (!is_refusal(status)) {
                return;
            }
            if (m_state.random.one_in(2)) {
                host = m_state.random.below(host_count);
            }
            std::this_thread::sleep_for(m_state.random.time_between(0, 30));
        }
    }

    // Returns the status, or 0 if there was no answer.
    unsigned call(const std::string& path, const std::string& id, std::size_t host) {
        const bool is_order = path.rfind("/book/", 0) == 0;
        auto& connection = m_connections.at(host);
        if (!connection) {
            connection = std::make_unique<kept_connection>(m_fixture.hosts[host]->callers);
        }
        try {
            connection->open();
        } catch (const boost::system::system_error&) {
            connection.reset(); // the host is not there
            return 0;
        }
        // A quarantine of one call's content must not reach other calls.
        auto answer = connection->fetch(is_order ? http::verb::post : http::verb::get, path,
                                        is_order ? path : "", edge_fixture::headers(id));
        const auto status = answer.status;
        m_records.push_back({id, path, host, is_order, std::move(answer)});
        return status;
    }

    soak_state& m_state;
    const edge_fixture& m_fixture;
    std::size_t m_number;
    int m_next = 0;
    std::array<std::unique_ptr<kept_connection>, host_count> m_connections;
    std::vector<call_record> m_records;
};

enum class host_state { running, paused, stopping, killed };

// Stops, pauses and ends hosts, replaces runners and changes the configuration. Each
// disturbance enters its later steps in the agenda, so that disturbances overlap.
class disturbances {
public:
    disturbances(soak_state& state, edge_fixture& fixture,
                 std::vector<std::unique_ptr<soak_runner>>& runners)
        : m_state(state), m_fixture(fixture), m_runners(runners) {}

    /// Begins new disturbances for `length` and returns after the last one has ended.
    void run(std::chrono::seconds length) {
        schedule(0ms, [this, end = clock_type::now() + length] { begin_next(end); });
        while (!m_agenda.empty()) {
            const auto next = m_agenda.begin();
            std::this_thread::sleep_until(next->first);
            const auto step = std::move(next->second);
            m_agenda.erase(next);
            step();
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] const std::map<std::string, int>& counts() const { return m_counts; }

private:
    using step_hook = std::function<void()>;

    void schedule(std::chrono::milliseconds delay, step_hook step) {
        m_agenda.emplace(clock_type::now() + delay, std::move(step));
    }

    void begin_next(clock_type::time_point end) {
        check_running_hosts();
        if (clock_type::now() >= end) {
            return;
        }
        const std::array<step_hook, 8> kinds{[this] { begin_series(); }, [this] { begin_series(); },
                                             [this] { send_copies(); },  [this] { send_copies(); },
                                             [this] { configure(); },    [this] { pause_host(); },
                                             [this] { stop_host(); },    [this] { kill_host(); }};
        kinds.at(m_state.random.below(static_cast<unsigned>(kinds.size())))();
        schedule(m_state.random.time_between(20, 250), [this, end] { begin_next(end); });
    }

    // Replaces runners several times at short intervals.
    void begin_series() {
        ++m_counts["series of replacements"];
        auto at = 0ms;
        const auto only = m_state.random.below(2 * runner_count); // may name no runner
        for (auto left = 1 + m_state.random.below(5); left > 0; --left) {
            const auto index = only < runner_count ? only : m_state.random.below(runner_count);
            schedule(at, [this, index] { replace_runner(index); });
            at += m_state.random.time_between(5, 150);
        }
    }

    void replace_runner(std::size_t index) {
        auto& runner = *m_runners[index];
        const auto former = runner.id();
        const bool is_listed_first = m_state.random.one_in(2);
        if (is_listed_first) {
            m_fixture.write_entry(runner.next_id(), "orders", runner.port(), "");
        }
        runner.replace();
        if (m_state.random.one_in(3)) {
            runner.close_connections();
        }
        if (!is_listed_first) {
            m_fixture.write_entry(runner.id(), "orders", runner.port(), "");
        }
        schedule(m_state.random.time_between(100, 3'000),
                 [this, former] { m_fixture.write_row("servers", former, "null"); });
        ++m_counts["replacements"];
    }

    void send_copies() {
        for (auto left = 1 + m_state.random.below(4); left > 0; --left) {
            schedule(m_state.random.time_between(0, 60), [this] {
                m_runners[m_state.random.below(runner_count)]->send_copies_on_idle();
            });
        }
    }

    void configure() {
        auto at = 0ms;
        for (auto left = 1 + m_state.random.below(3); left > 0; --left) {
            schedule(at, [this] { m_fixture.write_configuration(++m_version); });
            at += m_state.random.time_between(5, 80);
        }
        ++m_counts["series of configurations"];
    }

    // Returns a running host, unless it is the last one.
    std::optional<std::size_t> pick_host() {
        const auto running = std::count(m_states.begin(), m_states.end(), host_state::running);
        const std::size_t host = m_state.random.below(host_count);
        if (running < 2 || m_states.at(host) != host_state::running) {
            return std::nullopt;
        }
        return host;
    }

    void pause_host() {
        const auto host = pick_host();
        if (!host || m_fixture.hosts[*host]->process->has_ended()) {
            return;
        }
        ++m_counts["pauses"];
        m_states.at(*host) = host_state::paused;
        m_fixture.hosts[*host]->process->pause();
        const bool stops = m_state.random.one_in(4);
        if (stops) {
            send_stop(*host);
        }
        schedule(m_state.random.time_between(20, 1'500), [this, host = *host, stops] {
            m_fixture.hosts[host]->process->send(SIGCONT);
            if (!stops) {
                m_states.at(host) = host_state::running;
            }
        });
    }

    void stop_host() {
        if (const auto host = pick_host()) {
            send_stop(*host);
        }
    }

    void send_stop(std::size_t host) {
        ++m_counts["stops"];
        m_states.at(host) = host_state::stopping;
        m_fixture.hosts[host]->process->send(SIGTERM);
        start_after_end(host, clock_type::now() + longest_wait);
    }

    void kill_host() {
        const auto host = pick_host();
        if (!host) {
            return;
        }
        check_running_hosts();
        ++m_counts["kills"];
        m_states.at(*host) = host_state::killed;
        m_fixture.hosts[*host]->process->send(SIGKILL);
        start_after_end(*host, clock_type::now() + longest_wait);
    }

    void start_after_end(std::size_t host, clock_type::time_point limit) {
        auto& process = *m_fixture.hosts[host]->process;
        if (!process.has_ended() && clock_type::now() < limit) {
            schedule(20ms, [this, host, limit] { start_after_end(host, limit); });
            return;
        }
        if (!process.has_ended()) {
            m_violations.push_back("host " + std::to_string(host) + " does not stop");
            process.send(SIGKILL);
        }
        const bool was_killed = m_states.at(host) == host_state::killed;
        if (const int code = process.wait(); code != 0 && !was_killed) {
            m_violations.push_back("host " + std::to_string(host) + " ended with " +
                                   std::to_string(code));
        }
        m_fixture.start(*m_fixture.hosts[host], "edge-" + std::to_string(host));
        m_states.at(host) = host_state::running;
    }

    void check_running_hosts() {
        for (std::size_t host = 0; host < host_count; ++host) {
            const bool must_live =
                m_states.at(host) == host_state::running || m_states.at(host) == host_state::paused;
            if (must_live && m_fixture.hosts[host]->process->has_ended()) {
                m_violations.push_back("host " + std::to_string(host) + " has ended by itself");
                m_fixture.start(*m_fixture.hosts[host], "edge-" + std::to_string(host));
                m_states.at(host) = host_state::running;
            }
        }
    }

    soak_state& m_state;
    edge_fixture& m_fixture;
    std::vector<std::unique_ptr<soak_runner>>& m_runners;
    std::multimap<clock_type::time_point, step_hook> m_agenda;
    std::array<host_state, host_count> m_states{};
    std::map<std::string, int> m_counts;
    std::vector<std::string> m_violations;
    int m_version = 1;
};

// Returns a free port that no connection gets as its local port while a host is not there.
std::string port_below_local_ports() {
    static std::mt19937 numbers{std::random_device{}()};
    constexpr unsigned least = 20'000;
    constexpr unsigned count = 10'000;
    for (int i = 0; i < 100; ++i) {
        const auto port = least + static_cast<unsigned>(numbers() % count);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool is_free =
            ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (is_free) {
            return std::to_string(port);
        }
    }
    FAIL("no free port");
    return {};
}

// Returns how `record` breaks a promise to its client, or an empty text.
std::string broken_promise(const call_record& record, const run_ledger& ledger) {
    const auto& answer = record.answer;
    const int runs = ledger.runs(record.id);
    if (answer.status != 0) {
        if (!answer.request_id.empty() && answer.request_id != record.id) {
            return "the answer has the id of " + answer.request_id;
        }
        if (!answer.seal.empty() && answer.seal != "seal-" + record.id) {
            return "the answer has the seal " + answer.seal;
        }
        if (answer.body.rfind("ran ", 0) == 0 && answer.is_complete &&
            answer.body != "ran " + record.id) {
            return "the answer has the body " + answer.body;
        }
    }
    if (answer.status == 200) {
        if (answer.request_id != record.id || answer.seal.empty()) {
            return "a success without id or seal";
        }
        if (answer.is_complete && answer.body != "ran " + record.id) {
            return "a success with the body " + answer.body;
        }
        if (runs == 0) {
            return "a success that no runner ran";
        }
    }
    if (!record.is_order) {
        return "";
    }
    if (runs > 1) {
        return "the request ran " + std::to_string(runs) + " times";
    }
    if (is_refusal(answer.status) && runs > 0) {
        return "the request was refused and ran";
    }
    return "";
}

std::string describe(const call_record& record, const run_ledger& ledger) {
    return record.id + " at host " + std::to_string(record.host) + ", status " +
           std::to_string(record.answer.status) + ", " + record.answer.outcome + ":" +
           ledger.notes(record.id);
}

std::vector<std::string> broken_promises(const std::vector<call_record>& records,
                                         const run_ledger& ledger) {
    std::vector<std::string> broken;
    std::set<std::string> orders;
    for (const auto& record : records) {
        if (const auto what = broken_promise(record, ledger); !what.empty()) {
            broken.push_back(what + ": " + describe(record, ledger));
        }
        if (record.is_order && orders.insert(record.path).second &&
            ledger.runs_of_path(record.path) > 1) {
            broken.push_back("the order " + record.path + " ran " +
                             std::to_string(ledger.runs_of_path(record.path)) + " times");
        }
    }
    return broken;
}

// The hosts, the runners and the clients, with a thread for each client.
struct soak_fixture : edge_fixture {
    explicit soak_fixture(unsigned seed) : edge_fixture(0, 0), state(seed) {
        write_row("servers", "p1", "null");
        for (std::size_t i = 0; i < runner_count; ++i) {
            runners.push_back(std::make_unique<soak_runner>(state, i));
            write_entry(runners.back()->id(), "orders", runners.back()->port(), "");
        }
        peer_port = port_below_local_ports();
        for (std::size_t i = 0; i < host_count; ++i) {
            auto host = std::make_unique<edge_process>();
            host->callers = port_below_local_ports();
            host->readiness = port_below_local_ports();
            host->metrics = port_below_local_ports();
            start(*host, "edge-" + std::to_string(i));
            hosts.push_back(std::move(host));
        }
        for (const auto& host : hosts) {
            host->wait_until_ready();
        }
        for (std::size_t i = 0; i < host_count * clients_per_host; ++i) {
            clients.push_back(std::make_unique<soak_client>(state, *this, i));
            threads.emplace_back([client = clients.back().get()] { client->run(); });
        }
    }
    soak_fixture(const soak_fixture&) = delete;
    soak_fixture& operator=(const soak_fixture&) = delete;
    ~soak_fixture() {
        // A client may wait for a paused host.
        for (const auto& host : hosts) {
            host->process->send(SIGKILL);
        }
        stop_clients();
    }

    void stop_clients() {
        state.is_over = true;
        for (auto& thread : threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    /// Returns whether the host serves a call before the longest wait is over.
    bool serves(std::size_t host) {
        const auto limit = clock_type::now() + longest_wait;
        for (int i = 0; clock_type::now() < limit; ++i) {
            const auto id = "end-" + std::to_string(host) + "-" + std::to_string(i);
            if (fetch(hosts[host]->callers, http::verb::get, "/look/" + id, "", headers(id))
                    .status == 200) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// Ends the hosts. Nothing that a client sent runs later.
    void stop_hosts() {
        for (const auto& host : hosts) {
            host->process->send(SIGTERM);
        }
        for (const auto& host : hosts) {
            CHECK(host->process->wait() == 0);
        }
    }

    [[nodiscard]] std::vector<call_record> records() const {
        std::vector<call_record> all;
        for (const auto& client : clients) {
            all.insert(all.end(), client->records().begin(), client->records().end());
        }
        return all;
    }

    soak_state state;
    std::vector<std::unique_ptr<soak_runner>> runners;
    std::vector<std::unique_ptr<soak_client>> clients;
    std::vector<std::thread> threads;
};

// Returns a line with what happened, for the output of a run by hand.
std::string summary(const std::vector<call_record>& records, const sent_counts& sent,
                    const std::map<std::string, int>& disturbed) {
    std::map<unsigned, int> by_status;
    for (const auto& record : records) {
        ++by_status[record.answer.status];
    }
    std::ostringstream text;
    text << "calls " << records.size();
    for (const auto& [status, count] : by_status) {
        text << ", " << status << ": " << count;
    }
    text << "; refusals " << sent.refusals << " (" << sent.refusals_without_id
         << " without id), copies " << sent.copies_before_answers << " before answers, "
         << sent.copies_behind_refusals << " behind refusals, " << sent.copies_on_idle
         << " on idle connections, " << sent.copies_of_successes << " of successes";
    for (const auto& [name, count] : disturbed) {
        text << ", " << name << " " << count;
    }
    return text.str();
}

} // namespace

TEST_CASE("edge: no refused call runs although runners send copies of their refusals") {
    constexpr unsigned usual_seed = 20261206;
    constexpr unsigned usual_seconds = 15;
    const auto seed = number_from_environment("SAVORYRELAY_SOAK_SEED", usual_seed);
    const std::chrono::seconds length(
        number_from_environment("SAVORYRELAY_SOAK_SECONDS", usual_seconds));
    soak_fixture fixture(seed);
    disturbances disturbed(fixture.state, fixture, fixture.runners);
    disturbed.run(length);
    fixture.stop_clients();
    fixture.state.is_calm = true;
    for (std::size_t host = 0; host < host_count; ++host) {
        INFO("host " << host);
        CHECK_FALSE(fixture.hosts[host]->process->has_ended());
        CHECK(fixture.serves(host));
    }
    fixture.stop_hosts();

    const auto records = fixture.records();
    const auto& sent = fixture.state.sent;
    UNSCOPED_INFO("seed " << seed << ": " << summary(records, sent, disturbed.counts()));
    const auto broken = broken_promises(records, fixture.state.ledger);
    for (const auto& violation : disturbed.violations()) {
        FAIL_CHECK(violation);
    }
    for (const auto& violation : broken) {
        FAIL_CHECK(violation);
    }
    // The soak has played what it is for.
    CHECK(std::any_of(records.begin(), records.end(), [](const auto& record) {
        return record.is_order && record.answer.status == 200;
    }));
    CHECK(std::any_of(records.begin(), records.end(), [](const auto& record) {
        return record.is_order && is_refusal(record.answer.status);
    }));
    CHECK(sent.copies_before_answers > 0);
    CHECK(sent.copies_on_idle > 0);
    CHECK(disturbed.counts().count("replacements") == 1);
}
