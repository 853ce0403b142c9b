// Tests which requests the serving front sends: none by a decision that a pause of the process
// between the choice of an endpoint and the request has outlasted, none to an endpoint that wants
// none, and what it does with calls whose prompt part is quarantined.
#include "savoryrelay/transport/serving/serving_front.h"

#include "savoryrelay/transport/http/http_server.h"
#include "support/test_http_client.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

const std::string request_id_name = "Id";
const std::string part_name = "Part";
const std::string time_left_name = "Time-Left";

state::serving_call decode_call(const transport::http_request& request) {
    state::serving_call call;
    call.id = state::request_id(transport::header_of(request, request_id_name));
    call.host = "a.example";
    call.path = std::string(request.target());
    call.model = "gold";
    call.shared_prompt_parts = {transport::header_of(request, part_name)};
    return call;
}

transport::http_request make_endpoint_request(const transport::http_request& request,
                                              const transport::endpoint_request_values& values) {
    auto forwarded = request;
    forwarded.set(time_left_name, std::to_string(values.time_left->count()));
    return forwarded;
}

state::answer_head decode_answer(unsigned status, const transport::http_fields& fields) {
    state::answer_head head;
    head.status = status;
    head.is_not_run = status == 503;
    head.has_receipt = true;
    for (const auto& field : fields) {
        if (field.name == request_id_name) {
            head.request_id = field.value;
        }
    }
    return head;
}

// An endpoint without an engine. It refuses the first `refusals` requests and runs the others.
struct test_endpoint {
    explicit test_endpoint(transport::io_threads& threads)
        : server(threads, "127.0.0.1", 0, {},
                 [this](transport::http_request request,
                        transport::response_writer& writer) -> asio::awaitable<void> {
                     const auto time_left =
                         std::stoi(transport::header_of(request, time_left_name));
                     least_time_left = std::min(least_time_left.load(), time_left);
                     const unsigned status = refusals-- > 0 ? 503 : 200;
                     runs += status == 200 ? 1 : 0;
                     if (cuts_answers) {
                         auto head = transport::content_type_field("text/plain");
                         co_await writer.start(status, std::move(head));
                         co_await writer.write("part");
                         writer.abandon();
                         co_return;
                     }
                     transport::http_fields fields;
                     fields.push_back(
                         {request_id_name, transport::header_of(request, request_id_name)});
                     co_await writer.send(status, std::move(fields), "answer");
                 }) {}

    std::atomic<bool> cuts_answers{false};
    std::atomic<int> refusals{0};
    std::atomic<int> runs{0};
    std::atomic<int> least_time_left{1'000'000};
    transport::http_server server;
};

// A front before endpoints, with a clock that a test moves on at the choice of an endpoint.
struct front_fixture {
    static constexpr state::milliseconds timeout{3'000};

    explicit front_fixture(std::size_t endpoint_count = 1, double burst = 100,
                           double cold_calls_per_s = 0) {
        state::serving_configuration next;
        next.version = 1;
        state::route_rule route;
        route.host = "a.example";
        route.path_prefix = "/";
        route.timeout = timeout;
        route.first_answer_target = 200ms;
        route.is_public = true;
        route.services.push_back({"orders", 1});
        next.routes.push_back(route);
        next.services["orders"].name = "orders";
        next.services["orders"].cold_calls_per_s = cold_calls_per_s;
        route.path_prefix = "/ask";
        route.services = {{"model", 1}};
        next.routes.push_back(route);
        next.services["model"].name = "model";
        next.services["model"].engine.emplace().models.push_back({"gold"});
        next.index();
        configuration = state::make_snapshot(std::move(next));

        repeats = std::make_unique<coordination::repeat_window>(
            coordination::repeat_limit{0, burst / coordination::repeat_window::usable_share, 1s});
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            endpoints.emplace_back(threads);
            state::runner_record record;
            record.id = state::endpoint_id("e" + std::to_string(i));
            record.service = "orders";
            record.address = "127.0.0.1";
            record.port = endpoints.back().server.port();
            record.slots = 8;
            record.cold_remaining = 1min;
            fleet.apply_entry(record, now());
        }
        fleet.refresh(now());
        front = std::make_unique<transport::serving_front>(transport::serving_dependencies{
            fleet,
            loads,
            *selector,
            correction,
            *repeats,
            crashes,
            connector,
            metrics,
            {decode_call, make_endpoint_request, decode_answer,
             [](const transport::http_fields&) { return transport::http_fields(); },
             [](state::milliseconds span) {
                 return transport::http_field{"Retry-After", std::to_string(span.count())};
             },
             [](const state::request_id& id) {
                 return transport::http_field{request_id_name, id.value()};
             }},
            [this] { return configuration; },
            [this](const std::string&, state::call_urgency, double) { ++calls_in_work; },
            [](const state::endpoint_id&) {},
            [this](const state::runner_record&, const state::answer_head&) { ++answers; },
            [](const state::runner_record&, const state::answer_head&, state::time_point) {},
            [this] { return now(); }});
        callers = std::make_unique<transport::http_server>(
            threads, "127.0.0.1", 0, transport::http_limits{},
            [this](transport::http_request request, transport::response_writer& writer) {
                return front->handle(std::move(request), writer);
            });
    }
    front_fixture(const front_fixture&) = delete;
    front_fixture& operator=(const front_fixture&) = delete;
    ~front_fixture() { threads.stop(); }

    [[nodiscard]] state::time_point now() const {
        return std::chrono::steady_clock::now() + state::milliseconds(skipped_ms.load());
    }

    /// The process is paused for `span` when an endpoint has been chosen for the `choice`-th
    /// time from now on. `during` runs meanwhile.
    void pause_after_choice(
        state::milliseconds span, int choice = 1, std::function<void()> during = [] {}) {
        const std::scoped_lock lock(mutex);
        at_choice = [this, span, choice, during = std::move(during)]() mutable {
            if (--choice == 0) {
                during();
                skipped_ms += span.count();
            }
        };
    }

    /// Runs `run` once, after an endpoint has been chosen and before the request is sent.
    void after_next_choice(std::function<void()> run) {
        const std::scoped_lock lock(mutex);
        at_cold_check = std::move(run);
    }

    test_answer ask(const std::string& id, const std::string& path = "/book") {
        return fetch(std::to_string(callers->port()), http::verb::post, path, "x",
                     {{request_id_name, id}, {part_name, "dead01"}});
    }

    /// Quarantines the part of all calls.
    void quarantine_part() {
        state::serving_call call;
        call.shared_prompt_parts = {"dead01"};
        const auto part = coordination::fingerprints_of(call, "", "").front();
        crashes.apply({state::crash_notice_kind::quarantined, part, 3, 0ms, 1}, now());
    }

    [[nodiscard]] int runs() const {
        int sum = 0;
        for (const auto& endpoint : endpoints) {
            sum += endpoint.runs;
        }
        return sum;
    }

    std::atomic<int> calls_in_work{0};
    std::atomic<std::int64_t> skipped_ms{0};
    std::mutex mutex;
    std::function<void()> at_choice = [] {};     // guarded by `mutex`
    std::function<void()> at_cold_check = [] {}; // guarded by `mutex`
    std::atomic<int> answers{0};                 // heads that were reported
    state::snapshot<state::serving_configuration> configuration;
    coordination::fleet_table fleet;
    coordination::load_tracker loads;
    coordination::prediction_correction correction;
    std::unique_ptr<coordination::repeat_window> repeats;
    coordination::crash_watch crashes{coordination::entry_host_crash_settings(),
                                      coordination::default_crash_hooks()};
    coordination::endpoint_reach reach{[] { return std::uint64_t{0}; }};
    coordination::relay_choice relays{state::availability_zone_id(""),
                                      [] { return std::uint64_t{0}; }};
    transport::endpoint_connector connector{
        reach,
        relays,
        {.hosts = [](auto) { return std::vector<state::host_entry>(); },
         .endpoints = [](auto) { return std::vector<state::runner_record>(); },
         .now = [this] { return now(); }}};
    state::metrics metrics;
    std::unique_ptr<coordination::endpoint_selector> selector =
        std::make_unique<coordination::endpoint_selector>(
            fleet, loads, correction,
            state::host_entry{"edge-0", {}, state::availability_zone_id(""), 1},
            coordination::selector_hooks{.zones_out_of_service =
                                             [this] {
                                                 const std::scoped_lock lock(mutex);
                                                 at_choice();
                                                 return state::make_snapshot(
                                                     std::set<state::availability_zone_id>());
                                             },
                                         .host_count = [] { return std::size_t{1}; },
                                         .host_hashes =
                                             [this] {
                                                 const std::scoped_lock lock(mutex);
                                                 std::exchange(at_cold_check, [] {})();
                                                 return std::vector<std::uint64_t>{1};
                                             },
                                         .random = [] { return std::uint64_t{0}; }});
    transport::io_threads threads{1};
    std::deque<test_endpoint> endpoints;
    std::unique_ptr<transport::serving_front> front;
    std::unique_ptr<transport::http_server> callers;
};

} // namespace

TEST_CASE("a call whose deadline passed after its endpoint was chosen does not reach it") {
    front_fixture fixture;
    REQUIRE(fixture.ask("before").status == 200);
    fixture.pause_after_choice(front_fixture::timeout + 100ms);
    CHECK(fixture.ask("late").status == 503);
    CHECK(fixture.runs() == 1);
    CHECK(fixture.endpoints.front().least_time_left > 0);
    CHECK(fixture.ask("after").status == 200);
}

TEST_CASE("a call quarantined after its endpoint was chosen does not reach it") {
    front_fixture fixture;
    fixture.pause_after_choice(100ms, 1, [&] { fixture.quarantine_part(); });
    const auto answer = fixture.ask("part");
    CHECK(answer.status == 503);
    CHECK(answer.body.find("request_quarantined") != std::string::npos);
    CHECK(fixture.runs() == 0);
}

TEST_CASE("the call that tries a part again after its quarantine reaches an endpoint") {
    front_fixture fixture;
    fixture.quarantine_part();
    REQUIRE(fixture.ask("refused").status == 503);
    const auto retention = coordination::entry_host_crash_settings().retention;
    fixture.skipped_ms += (retention + 1s).count();
    CHECK(fixture.ask("trial").status == 200);
    CHECK(fixture.runs() == 1);
}

TEST_CASE("calls before and after a pause exceed no limit of a cold endpoint together") {
    front_fixture fixture(1, 100, 1);
    fixture.pause_after_choice(1'300ms);
    CHECK(fixture.ask("paused").status == 200);
    CHECK(fixture.ask("next").status == 503);
    CHECK(fixture.runs() == 1);
}

TEST_CASE("repeats before and after a pause exceed no limit of a window together") {
    constexpr double repeats_per_window = 1.5;
    front_fixture fixture(2, repeats_per_window);
    fixture.endpoints.front().refusals = 1;
    fixture.pause_after_choice(1'100ms, 2);
    CHECK(fixture.ask("paused").status == 200);
    fixture.endpoints.front().refusals = 1;
    CHECK(fixture.ask("next").status == 503);
    CHECK(fixture.runs() == 1);
}

TEST_CASE("calls that are refused by the quarantine draw no groups to their model") {
    front_fixture fixture;
    CHECK(fixture.ask("without a group", "/ask").status == 503);
    CHECK(fixture.calls_in_work == 1);
    fixture.quarantine_part();
    CHECK(fixture.ask("refused", "/ask").status == 503);
    CHECK(fixture.calls_in_work == 1);
}

TEST_CASE("a request is not sent to an endpoint that says that it leaves after it was chosen") {
    front_fixture fixture(2, 0, 10); // no repeat is allowed
    fixture.after_next_choice([&] {
        fixture.fleet.note_leaving(state::endpoint_id("e0"), 0,
                                   coordination::exclusion_source::answer, fixture.now());
    });
    CHECK(fixture.ask("moved").status == 200);
    CHECK(fixture.endpoints[0].runs == 0);
    CHECK(fixture.endpoints[1].runs == 1);
    CHECK(fixture.answers == 1);
}

TEST_CASE("a request is not sent to an endpoint that asks for a pause after it was chosen") {
    front_fixture fixture(2, 0, 10); // no repeat is allowed
    fixture.after_next_choice([&] {
        const auto now = fixture.now();
        fixture.fleet.note_pause(state::endpoint_id("e0"), 0, now, now + 10s);
    });
    CHECK(fixture.ask("moved").status == 200);
    CHECK(fixture.endpoints[0].runs == 0);
    CHECK(fixture.endpoints[1].runs == 1);
}

TEST_CASE("a call is refused at once with the end of the pause if all endpoints have paused") {
    front_fixture fixture(2);
    const auto now = fixture.now();
    fixture.fleet.note_pause(state::endpoint_id("e0"), 0, now, now + 20s);
    fixture.fleet.note_pause(state::endpoint_id("e1"), 0, now, now + 10s);
    const auto answer = fixture.ask("refused");
    CHECK(fixture.now() - now < 60ms); // the route lets calls wait for longer
    CHECK(answer.status == 503);
    CHECK(answer.body.find("all_paused") != std::string::npos);
    const auto retry_after = std::stoi(answer.retry_after);
    CHECK(retry_after > 9'000);
    CHECK(retry_after <= 10'000);
    CHECK(fixture.runs() == 0);
}

TEST_CASE("a pause that ends while a call may wait does not refuse the call") {
    front_fixture fixture;
    const auto now = fixture.now();
    fixture.fleet.note_pause(state::endpoint_id("e0"), 0, now, now + 30ms);
    CHECK(fixture.ask("waits").status == 200);
}

TEST_CASE("the head of an endpoint's answer that is cut later is reported") {
    front_fixture fixture;
    fixture.endpoints.front().cuts_answers = true;
    CHECK(fixture.ask("cut").status == 502);
    CHECK(fixture.answers == 1);
}

TEST_CASE("an answer of a plain service's endpoint ends the backoff of its refusals") {
    front_fixture fixture;
    const state::endpoint_id id("e0");
    for (int i = 0; i < 5; ++i) {
        fixture.fleet.note_refusal(id, fixture.now());
        fixture.skipped_ms += coordination::fleet_table::max_refusal_backoff.count();
    }
    CHECK(fixture.fleet.find(id)->refusal_backoff ==
          coordination::fleet_table::max_refusal_backoff);
    CHECK(fixture.ask("served").status == 200);
    CHECK(fixture.fleet.find(id)->refusal_backoff == 0ms);
}
