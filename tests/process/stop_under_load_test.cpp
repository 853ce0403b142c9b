// End-to-end test of planned stops under load: callers on kept connections while the
// configuration changes and hosts get SIGHUP and SIGTERM, one after another and at once.
#include "edge_fixture.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>

using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace {

using clock_type = std::chrono::steady_clock;

constexpr unsigned seed = 20261204;
// Time after the last byte of a request in which it may cross the close of its connection.
constexpr auto crossing_time = 1s;
// Shortest time-out of the routes.
constexpr auto route_timeout = 3s;

enum class call_kind { booking, look_up, stream };

/// What the caller saw of one request that it sent completely.
struct call_record {
    std::string id;
    call_kind kind = call_kind::booking;
    unsigned status = 0;      ///< 0 if no complete header arrived
    bool is_complete = false; ///< the end of the body arrived
    bool is_whole = true;     ///< the body is the runner's whole body, if the status is 200
    clock_type::duration duration{};
    std::string error; ///< why the connection ended early
};

// A caller that keeps its connection until the host announces its close or closes it.
class kept_caller {
public:
    kept_caller(std::string port, call_kind kind, unsigned number)
        : m_port(std::move(port)), m_kind(kind), m_number(number), m_random(seed + number) {}

    /// Sends a request, on a new connection if there is none. Returns false if the host
    /// refuses the connection.
    bool call() {
        if (!m_socket && !connect()) {
            return false;
        }
        exchange();
        return true;
    }
    /// Sends requests until the host refuses a connection.
    void run() {
        while (call()) {
            if (m_random() % 4 == 0) {
                m_socket.reset(); // the next request uses a new connection
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 20));
        }
    }
    [[nodiscard]] const std::vector<call_record>& records() const { return m_records; }

private:
    bool connect() {
        m_socket.emplace(m_context);
        m_buffer.clear();
        boost::system::error_code failed;
        m_socket->connect({boost::asio::ip::make_address("127.0.0.1"),
                           static_cast<std::uint16_t>(std::stoi(m_port))},
                          failed);
        return !failed;
    }

    http::request<http::string_body> make_request(const std::string& id) const {
        const bool is_look_up = m_kind == call_kind::look_up;
        http::request<http::string_body> request(is_look_up ? http::verb::get : http::verb::post,
                                                 m_kind == call_kind::booking ? "/book/1"
                                                 : is_look_up                 ? "/look/1"
                                                                              : "/ask/1",
                                                 11);
        for (const auto& [name, value] : edge_fixture::headers(id, m_kind == call_kind::stream)) {
            request.set(name, value);
        }
        if (!is_look_up) {
            request.body() = "request";
        }
        request.prepare_payload();
        return request;
    }

    void exchange() {
        const auto id = "c" + std::to_string(m_number) + "-" + std::to_string(m_next++);
        boost::system::error_code failed;
        http::write(*m_socket, make_request(id), failed);
        if (failed) {
            m_socket.reset(); // the host did not get the whole request
            return;
        }
        const auto sent_at = clock_type::now();
        http::response_parser<http::string_body> parser;
        http::read(*m_socket, m_buffer, parser, failed);
        call_record record;
        record.id = id;
        record.kind = m_kind;
        record.status = parser.is_header_done() ? parser.get().result_int() : 0;
        record.is_complete = !failed;
        record.is_whole = record.status != 200 || is_whole(parser.get().body());
        record.duration = clock_type::now() - sent_at;
        record.error = failed ? failed.message() : "";
        m_records.push_back(record);
        if (failed || !parser.get().keep_alive()) {
            m_socket.reset();
        }
    }

    [[nodiscard]] bool is_whole(const std::string& body) const {
        if (m_kind != call_kind::stream) {
            return body == "ran by p1 for workshop";
        }
        constexpr int events = 8;
        std::size_t at = 0;
        for (int i = 0; i < events; ++i) {
            at = body.find("id: " + std::to_string(i) + "\n", at);
            if (at == std::string::npos) {
                return false;
            }
        }
        return true;
    }

    boost::asio::io_context m_context;
    std::string m_port;
    call_kind m_kind;
    unsigned m_number; // unique among the callers of a test
    std::mt19937 m_random;
    unsigned m_next = 0;
    std::optional<boost::asio::ip::tcp::socket> m_socket; // empty if there is no connection
    boost::beast::flat_buffer m_buffer;
    std::vector<call_record> m_records;
};

// The callers of one host: one that keeps an idle connection, and busy ones, each on a
// thread of its own.
struct host_load {
    std::vector<std::unique_ptr<kept_caller>> callers;
    kept_caller idle_caller;
    std::vector<std::thread> threads;

    host_load(const std::string& port, unsigned first_number)
        : idle_caller(port, call_kind::look_up, first_number) {
        REQUIRE(idle_caller.call());
        constexpr unsigned callers_per_kind = 3;
        for (unsigned i = 0; i < callers_per_kind; ++i) {
            for (const auto kind : {call_kind::booking, call_kind::look_up, call_kind::stream}) {
                callers.push_back(std::make_unique<kept_caller>(
                    port, kind, first_number + 1 + static_cast<unsigned>(callers.size())));
            }
        }
        for (auto& each : callers) {
            threads.emplace_back([caller = each.get()] { caller->run(); });
        }
    }
    host_load(const host_load&) = delete;
    host_load& operator=(const host_load&) = delete;
    ~host_load() { join(); }

    void join() {
        for (auto& thread : threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }
};

// Returns the ids of all calls that began to run at a runner.
std::set<std::string> run_ids(const edge_fixture& fixture) {
    std::set<std::string> ids;
    const auto add = [&](const standin_process& runner) {
        std::istringstream lines(fetch(runner.port, http::verb::get, "/run_ids").body);
        for (std::string id; std::getline(lines, id);) {
            ids.insert(id);
        }
    };
    add(fixture.plain);
    for (const auto& model : fixture.models) {
        add(*model);
    }
    return ids;
}

// Returns why `record` breaks a promise to its caller, or an empty text.
std::string broken_promise(const call_record& record, bool has_run) {
    if (record.is_complete) {
        const bool is_refusal = record.status == 503 || record.status == 429;
        if (is_refusal && has_run && record.kind == call_kind::booking) {
            return "it was refused, but it ran";
        }
        return record.is_whole ? "" : "the answer is not the runner's whole body";
    }
    if (record.duration >= route_timeout) {
        return "";
    }
    if (record.status != 0) {
        return "the answer was cut";
    }
    if (has_run) {
        return "it ran and got no answer";
    }
    return record.duration > crossing_time ? "it was read and got no answer" : "";
}

} // namespace

TEST_CASE("edge: hosts that stop under load answer or refuse each request that they read") {
    constexpr std::size_t host_count = 3;
    edge_fixture fixture(host_count);
    for (std::size_t host = 0; host < host_count; ++host) {
        fixture.ask_until_served(host);
    }
    for (auto& runner : fixture.models) {
        runner->control(R"({"token_ms":60})");
    }
    fixture.plain.control(R"({"delay_ms":60})");
    std::vector<std::unique_ptr<host_load>> loads;
    for (const auto& host : fixture.hosts) {
        constexpr unsigned numbers_per_host = 100;
        loads.push_back(std::make_unique<host_load>(
            host->callers, static_cast<unsigned>(loads.size()) * numbers_per_host));
    }

    std::mt19937 random(seed);
    int version = 1;
    const auto change_configuration = [&](int count) {
        for (int i = 0; i < count; ++i) {
            version += 1 + static_cast<int>(random() % 3);
            fixture.write_configuration(version);
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 40));
        }
    };
    // Sends the signals in a random order, with changes of the configuration between them.
    const auto stop = [&](std::size_t host) {
        const auto& process = *fixture.hosts[host]->process;
        for (const auto signal : random() % 2 == 0 ? std::vector{SIGHUP, SIGTERM}
                                                   : std::vector{SIGTERM, SIGHUP, SIGTERM}) {
            process.send(signal);
            change_configuration(1);
        }
    };
    const auto wait_for_end = [&](std::size_t host) {
        // Time for the balancer to notice the stop, and for one call. Idle connections
        // don't prolong a stop.
        constexpr auto stop_time = 3s + route_timeout;
        const auto end = clock_type::now() + stop_time;
        auto& process = *fixture.hosts[host]->process;
        while (!process.has_ended() && clock_type::now() < end) {
            change_configuration(1);
        }
        CHECK(process.has_ended());
        process.send(SIGKILL);
        CHECK(process.wait() == 0);
        loads[host]->join();
    };
    change_configuration(10);
    stop(0); // alone
    wait_for_end(0);
    change_configuration(10);
    stop(1); // at once with host 2
    stop(2);
    wait_for_end(1);
    wait_for_end(2);

    const auto ran = run_ids(fixture);
    std::map<call_kind, std::size_t> served;
    std::size_t unanswered = 0;
    for (const auto& load : loads) {
        for (const auto& caller : load->callers) {
            for (const auto& record : caller->records()) {
                served[record.kind] += record.status == 200 && record.is_complete ? 1 : 0;
                unanswered += record.is_complete ? 0 : 1;
                INFO(record.id << " status " << record.status << " after "
                               << std::chrono::duration<double>(record.duration).count()
                               << " s: " << record.error);
                CHECK_THAT(broken_promise(record, ran.count(record.id) > 0), Catch::Equals(""));
            }
        }
    }
    // The load reached the runners.
    constexpr std::size_t least_served = 20;
    CHECK(served[call_kind::booking] > least_served);
    CHECK(served[call_kind::look_up] > least_served);
    CHECK(served[call_kind::stream] > least_served);
    // Each caller may cross the close of its kept connection and that of the listener.
    CHECK(unanswered <= 2 * loads.front()->callers.size() * host_count);
}
