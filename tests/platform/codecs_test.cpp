// Tests the codecs of the platform's rows, reports, orders and header fields.
#include "platform/call_headers.h"
#include "platform/configuration_codec.h"
#include "platform/json_fields.h"
#include "platform/runner_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::platform;
using namespace std::chrono_literals;

namespace {

const std::string configuration = R"({"version":7,
 "routes":[{"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming",
  "timeout_ms":8000,"latency_target_ms":500,"priority":1,
  "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,
  "public":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":300},
  {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"brand_new","service":"s2"}],
 "services":[{"name":"s1","health_path":"/health","max_connections":474,"cold_start_s":3.0,
  "cold_per_s":38.0,"engine":{"slots":26,"stride":5,"step_ms":6.07,"per_seq_ms":0.241,
  "read_per_s":46000.0,"chunk":2048,"loads_per_s":4.0,"loads_at_once":6,
  "usual":{"prompt":1076,"answer":116},"models":[{"name":"m0","size":4,"share":0.67,"pace":1.0,
  "load_s":16.0,"warmup_s":1.6}]}},{"name":"s2"}],
 "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],"a_new_field":{"x":1}})";

const std::string entry = R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","version":"v1",
 "slots":26,"state":"ready","cold_remaining_ms":1200.5,"models":[{"name":"m0","version":1}],
 "sequence":4,"domain":"d0","staged":["m0"],"born":1777699062468,
 "group":{"name":"g1","epoch":3,"rank":1,"state":"joining"}})";

transport::http_request make_request() {
    transport::http_request request{boost::beast::http::verb::post, "/x/1?q=2", 11};
    request.set("Host", "a.example");
    request.set("Attempt-Id", "id1");
    request.set("Deadline-Ms", "8000");
    request.set("Key", "k1");
    request.set("Tenant", "forged");
    request.set("Expect-Instance", "forged");
    request.set("Model", "m0");
    request.set("Token-Counts", "1460,80");
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Other", "2");
    request.body() = "body";
    request.prepare_payload();
    return request;
}

} // namespace

TEST_CASE("a configuration is decoded, and calls of a route of unknown kind are not retried") {
    const auto read = state::collect([] { return decode_configuration(configuration); });
    REQUIRE(read);
    const auto& value = read.value();
    CHECK(value.version == 7);
    const auto* route = value.find_route("a.example", "/x/1");
    REQUIRE(route != nullptr);
    CHECK(route->may_run_again());
    CHECK(route->timeout == 8s);
    CHECK(route->services.size() == 2);
    CHECK_FALSE(value.find_route("a.example", "/y/1")->may_run_again());
    const auto& engine = *value.services.at("s1").engine;
    CHECK(engine.prompt_tokens_per_ms == Approx(46));
    CHECK(engine.models.front().warm_up_time == 1600ms);
    CHECK_FALSE(value.services.at("s2").engine);
    CHECK(value.find_customer("k2")->id.value() == "t1");
}

TEST_CASE("a configuration with a list of customers requires keys, also if the list is empty") {
    const auto requires_keys = [](const std::string& customers) {
        const auto read = state::collect([&] {
            return decode_configuration(R"({"version":1,"routes":[],"services":[])" + customers +
                                        "}");
        });
        REQUIRE(read);
        return read.value().requires_keys;
    };
    CHECK(requires_keys(R"(,"tenants":[{"name":"t1","api_keys":["k1"]}])"));
    CHECK(requires_keys(R"(,"tenants":[])"));
    CHECK_FALSE(requires_keys(""));
}

TEST_CASE("the sequence of a runner's entry is not read as its count of orders") {
    const auto read =
        state::collect([] { return decode_runner_entry(state::endpoint_id("i-1"), entry); });
    REQUIRE(read);
    const auto& record = read.value();
    CHECK(record.address == "10.1.0.9");
    CHECK(record.port == 8080);
    // The `sequence` of an entry counts writes of the entry, not orders.
    CHECK(record.sequence == 0);
    CHECK(record.started_ms == 1777699062468);
    CHECK(record.membership->state == state::membership_state::joining);
    CHECK(record.has_staged("m0"));
}

TEST_CASE("an entry that does not describe a usable runner is refused") {
    for (
        const auto* text :
        {"", "{}", "[1]", "\xff\xfe",
         R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","state":"asleep"})",
         R"({"service":"s1","address":"10.1.0.9","zone":"a","state":"ready"})",
         R"({"service":"s1","address":"nowhere:80","zone":"a","state":"ready"})",
         R"({"service":7,"address":"10.1.0.9:8080","zone":"a","state":"ready"})",
         R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","state":"ready","slots":"6"})",
         R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","state":"ready","group":{"name":"g","state":"?"}})"}) {
        CHECK_FALSE(
            state::collect([&] { return decode_runner_entry(state::endpoint_id("i-1"), text); }));
    }
}

TEST_CASE("an entry or report whose names exceed the store's limit is refused") {
    const auto entry_is_read = [](const std::string& id, const std::string& model,
                                  const std::string& group) {
        const auto text =
            R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","state":"ready","models":[")" +
            model + R"("],"group":{"name":")" + group + R"(","state":"open"}})";
        return state::collect([&] { return decode_runner_entry(state::endpoint_id(id), text); })
            .has_value();
    };
    const auto report_is_read = [](const std::string& model, const std::string& group) {
        const auto text =
            R"({"models":[")" + model + R"("],"group":{"name":")" + group + R"(","state":"open"}})";
        return state::collect([&] { return decode_report(text); }).has_value();
    };
    const std::string longest(200, 'n');
    const std::string too_long(201, 'n');
    CHECK(entry_is_read(longest, longest, longest));
    CHECK_FALSE(entry_is_read(too_long, "m", "g"));
    CHECK_FALSE(entry_is_read("i", too_long, "g"));
    CHECK_FALSE(entry_is_read("i", "m", too_long));
    CHECK(report_is_read(longest, longest));
    CHECK_FALSE(report_is_read(too_long, "g"));
    CHECK_FALSE(report_is_read("m", too_long));
}

TEST_CASE("a configuration whose model has a name above the store's limit is refused") {
    const auto is_read = [](const std::string& model) {
        const auto text = R"({"version":1,"services":[{"name":"s","engine":{"models":[{"name":")" +
                          model + R"("}]}}]})";
        return state::collect([&] { return decode_configuration(text); }).has_value();
    };
    CHECK(is_read(std::string(200, 'n')));
    CHECK_FALSE(is_read(std::string(201, 'n')));
}

TEST_CASE("a number outside the range of durations is refused") {
    const auto is_read = [](const std::string& number) {
        const auto limits = R"({"version":1,"limits":{"idle_timeout_ms":)" + number + "}}";
        const auto service =
            R"({"version":1,"services":[{"name":"s","cold_start_s":)" + number + "}]}";
        const auto report = R"({"cold_remaining_ms":)" + number + "}";
        const auto reads_configuration = [](const std::string& text) {
            return state::collect([&] { return decode_configuration(text); }).has_value();
        };
        const bool first = reads_configuration(limits);
        CHECK(reads_configuration(service) == first);
        CHECK(state::collect([&] { return decode_report(report); }).has_value() == first);
        return first;
    };
    CHECK(is_read("15000"));
    CHECK(is_read("0"));
    CHECK_FALSE(is_read("1e18"));
    CHECK_FALSE(is_read("1e300"));
    CHECK_FALSE(is_read("-1e300"));
    CHECK_FALSE(is_read("1e999"));
}

TEST_CASE("a caller's deadline outside the range of times is limited") {
    auto request = make_request();
    request.set("Deadline-Ms", "9223372036854775807");
    CHECK(*decode_call(request).deadline == state::max_duration);
    request.set("Deadline-Ms", "-9223372036854775807");
    CHECK(*decode_call(request).deadline == 0ms);
}

TEST_CASE("decoding a damaged entry, report or configuration does not crash") {
    CHECK(rc::check("damaged text does not crash the decoders", [] {
        const auto damage = [](std::string text) {
            const auto count = *rc::gen::inRange(0, 4);
            for (int i = 0; i < count; ++i) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
            }
            return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
        };
        const auto row = damage(entry);
        static_cast<void>(
            state::collect([&] { return decode_runner_entry(state::endpoint_id("i"), row); }));
        static_cast<void>(state::collect([&] { return decode_report(row); }));
        const auto document = damage(configuration);
        static_cast<void>(state::collect([&] { return decode_configuration(document); }));
    }));
}

TEST_CASE("a request with a method outside HTTP's list is forwarded with its method unchanged") {
    auto request = make_request();
    request.method_string("BREW");
    const auto forwarded = make_endpoint_request(request, {});
    CHECK(forwarded.method_string() == "BREW");
    CHECK(forwarded.target() == "/x/1?q=2");
    CHECK(forwarded.body() == "body");
    CHECK(transport::header_of(forwarded, "Content-Length") == "4");
}

TEST_CASE(
    "a forwarded request keeps all fields except hop-by-hop fields and those the system sets") {
    const auto call = decode_call(make_request());
    CHECK(call.id.value() == "id1");
    CHECK(call.prompt_tokens == 1460);
    CHECK(call.max_answer_tokens == 80);
    CHECK(*call.deadline == 8s);

    transport::endpoint_request_values values;
    values.endpoint = state::endpoint_id("i-1");
    values.customer = "t1";
    values.time_left = 7'500ms;
    values.last_event = 12;
    const auto request = make_endpoint_request(make_request(), values);
    CHECK(request.target() == "/x/1?q=2");
    CHECK(request.body() == "body");
    CHECK(transport::header_of(request, "Host") == "a.example");
    CHECK(transport::header_of(request, "Attempt-Id") == "id1");
    CHECK(transport::header_of(request, "Tenant") == "t1");
    CHECK(transport::header_of(request, "Expect-Instance") == "i-1");
    CHECK(transport::header_of(request, "Deadline-Ms") == "7500");
    CHECK(transport::header_of(request, "Last-Event-Id") == "12");
    CHECK(transport::header_of(request, "X-Other") == "2");
    CHECK(transport::header_of(request, "Key").empty());
    CHECK(transport::header_of(request, "X-Hop").empty());
    CHECK(transport::header_of(request, "Connection").empty());

    values.customer.clear();
    CHECK(transport::header_of(make_endpoint_request(make_request(), values), "Tenant").empty());
}

TEST_CASE("the rank of a forwarded request is the system's, and falls with its urgency") {
    auto request = make_request();
    request.set("Request-Urgency", "0");
    const auto rank_of = [&](std::optional<state::call_urgency> urgency) {
        transport::endpoint_request_values values;
        values.urgency = urgency;
        return transport::header_of(make_endpoint_request(request, values), "Request-Urgency");
    };
    CHECK(rank_of(std::nullopt).empty());
    std::string before;
    for (const auto& row : state::enum_table<state::call_urgency>::rows) {
        const auto rank = rank_of(row.value);
        CHECK(rank.size() == 1);
        CHECK(rank > before);
        before = rank;
    }
}

TEST_CASE("the parts of a prompt are read in order, without the last one") {
    const auto parts_of = [](const std::string& value) {
        transport::http_request request{boost::beast::http::verb::post, "/ask/1", 11};
        request.set("Prompt-Prefix", value);
        return decode_call(request).shared_prompt_parts;
    };
    CHECK(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
          std::vector<std::string>{"5c1e07a2", "91bd3f06"});
    CHECK(parts_of("e4402b7d:250").empty());
    CHECK(parts_of("").empty());
    CHECK(parts_of("a,b").size() == 1);
}

TEST_CASE("the status and header fields of an answer tell whether the request was executed") {
    transport::http_fields fields;
    fields.push_back({"Attempt-Id", "id1"});
    fields.push_back({"Not-Executed", "1"});
    fields.push_back({"Content-Length", "3"});
    CHECK(decode_answer(503, fields).is_not_run);
    CHECK(decode_answer(421, {}).is_not_run);
    CHECK_FALSE(decode_answer(500, {}).is_not_run);
    CHECK(select_caller_fields(fields).size() == 2);
    CHECK(retry_after_field(250ms).value == "0.25");
}

TEST_CASE("an answer with any status tells that its runner leaves") {
    const auto is_leaving = [](unsigned status, const std::string& name, const std::string& value) {
        transport::http_fields fields;
        fields.push_back({name, value});
        return decode_answer(status, fields).is_leaving;
    };
    for (const unsigned status : {200U, 202U, 421U, 429U, 500U, 503U}) {
        CHECK(is_leaving(status, "Server-Leaving", "1"));
    }
    CHECK(is_leaving(200, "server-leaving", "1"));
    for (const auto* value : {"0", "", "11", "yes"}) {
        CHECK_FALSE(is_leaving(200, "Server-Leaving", value));
    }
    CHECK_FALSE(decode_answer(200, {}).is_leaving);
    CHECK(decode_answer(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).is_leaving);
}

TEST_CASE("the pause that a runner asks for is read within bounds") {
    using state::pause_reading;
    struct pause_case {
        std::vector<std::string> values;
        pause_reading reading;
        state::milliseconds pause;
    };
    const std::string many_digits(400, '9');
    const std::vector<pause_case> cases{
        {{}, pause_reading::absent, 0ms},
        {{"2"}, pause_reading::valid, 2s},
        {{"0"}, pause_reading::valid, 0ms},
        {{"0.25"}, pause_reading::valid, 250ms},
        {{"0.0001"}, pause_reading::valid, 1ms},
        {{"2", "2"}, pause_reading::valid, 2s},
        {{"300"}, pause_reading::valid, 5min},
        {{"300.1"}, pause_reading::too_long, 5min},
        {{"86400"}, pause_reading::too_long, 5min},
        {{many_digits}, pause_reading::too_long, 5min},
        {{"1", "3", "2"}, pause_reading::conflicting, 3s},
        {{"soon", "3"}, pause_reading::conflicting, 3s},
        {{"1", "86400"}, pause_reading::conflicting, 5min},
        {{""}, pause_reading::unreadable, 0ms},
        {{"-1"}, pause_reading::unreadable, 0ms},
        {{"-0"}, pause_reading::unreadable, 0ms},
        {{"soon"}, pause_reading::unreadable, 0ms},
        {{"2s"}, pause_reading::unreadable, 0ms},
        {{"1, 2"}, pause_reading::unreadable, 0ms},
        {{"1e3"}, pause_reading::unreadable, 0ms},
        {{"inf"}, pause_reading::unreadable, 0ms},
        {{"nan"}, pause_reading::unreadable, 0ms},
        {{"Fri, 04 Dec 2026 10:00:00 GMT"}, pause_reading::unreadable, 0ms},
    };
    for (const auto& each : cases) {
        transport::http_fields fields;
        for (const auto& value : each.values) {
            fields.push_back({"Retry-After", value});
        }
        CAPTURE(each.values);
        const auto head = decode_answer(503, fields);
        CHECK(head.pause_field == each.reading);
        CHECK(head.pause == each.pause);
        // Only a refusal with this status asks for a pause.
        for (const unsigned status : {200U, 429U, 500U}) {
            CHECK(decode_answer(status, fields).pause_field == pause_reading::absent);
            CHECK(decode_answer(status, fields).pause == 0ms);
        }
    }
}

TEST_CASE("no text makes a pause negative or longer than its bound") {
    CHECK(rc::check("pauses are bounded", [] {
        transport::http_fields fields;
        const auto count = *rc::gen::inRange(0, 4);
        for (int i = 0; i < count; ++i) {
            const auto text = *rc::gen::oneOf(
                rc::gen::arbitrary<std::string>(),
                rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123456789.-+e"))));
            fields.push_back({"Retry-After", text});
        }
        const auto head = decode_answer(503, fields);
        RC_ASSERT(head.pause >= 0ms);
        RC_ASSERT(head.pause <= 5min);
    }));
}

TEST_CASE("the rate of calls that a runner names is read from answers with any status") {
    using state::call_rate_reading;
    struct rate_case {
        std::vector<std::string> values;
        call_rate_reading reading;
        std::optional<double> calls_per_s;
    };
    const std::string many_digits(400, '9');
    const std::vector<rate_case> cases{
        {{}, call_rate_reading::absent, std::nullopt},
        {{"6"}, call_rate_reading::valid, 6},
        {{"6.2"}, call_rate_reading::valid, 6.2},
        {{"0.25"}, call_rate_reading::valid, 0.25},
        {{"0"}, call_rate_reading::valid, 0},
        {{"0.0"}, call_rate_reading::valid, 0},
        {{"6.2", "6.2"}, call_rate_reading::valid, 6.2},
        {{many_digits}, call_rate_reading::valid, std::numeric_limits<double>::max()},
        {{"0." + std::string(400, '0') + "1"}, call_rate_reading::valid, 0},
        {{"7", "3.5", "5"}, call_rate_reading::conflicting, 3.5},
        {{"7", "0"}, call_rate_reading::conflicting, 0},
        {{"many", "3"}, call_rate_reading::conflicting, 3},
        {{"3", "-1"}, call_rate_reading::conflicting, 3},
        {{""}, call_rate_reading::unreadable, std::nullopt},
        {{"-1"}, call_rate_reading::unreadable, std::nullopt},
        {{"-0"}, call_rate_reading::unreadable, std::nullopt},
        {{"+6"}, call_rate_reading::unreadable, std::nullopt},
        {{"many"}, call_rate_reading::unreadable, std::nullopt},
        {{"6/s"}, call_rate_reading::unreadable, std::nullopt},
        {{"6, 7"}, call_rate_reading::unreadable, std::nullopt},
        {{"6e1"}, call_rate_reading::unreadable, std::nullopt},
        {{"inf"}, call_rate_reading::unreadable, std::nullopt},
        {{"nan"}, call_rate_reading::unreadable, std::nullopt},
        {{"many", "nan"}, call_rate_reading::unreadable, std::nullopt},
    };
    for (const auto& each : cases) {
        transport::http_fields fields;
        for (const auto& value : each.values) {
            fields.push_back({"Server-Limit", value});
        }
        for (const unsigned status : {200U, 202U, 421U, 429U, 500U, 503U}) {
            CAPTURE(each.values, status);
            const auto head = decode_answer(status, fields);
            CHECK(head.call_rate_field == each.reading);
            CHECK(head.call_rate_limit == each.calls_per_s);
        }
    }
    CHECK(decode_answer(200, {{"server-limit", "2"}}).call_rate_limit == 2);
}

TEST_CASE("no text makes a rate of calls negative or infinite") {
    CHECK(rc::check("rates of calls are bounded", [] {
        transport::http_fields fields;
        const auto count = *rc::gen::inRange(0, 4);
        for (int i = 0; i < count; ++i) {
            const auto text = *rc::gen::oneOf(
                rc::gen::arbitrary<std::string>(),
                rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123456789.-+e"))));
            fields.push_back({"Server-Limit", text});
        }
        const auto head = decode_answer(200, fields);
        RC_ASSERT(!head.call_rate_limit ||
                  (std::isfinite(*head.call_rate_limit) && *head.call_rate_limit >= 0));
    }));
}

TEST_CASE("orders carry the expected sequence, so a late copy has no effect") {
    state::runner_order order;
    order.kind = state::runner_order_kind::join;
    order.expected_sequence = 4;
    order.fencing_number = 9;
    order.group = "g";
    order.epoch = 9;
    order.model = "m0";
    order.members = {state::endpoint_id("i-1"), state::endpoint_id("i-2")};
    CHECK(
        encode_order(order) ==
        R"({"expected_rev":4,"fencing_token":9,"operation":"join","model":"m0","members":["i-1","i-2"],"group":"g","epoch":9})");
    order.kind = state::runner_order_kind::close_now;
    CHECK_THAT(encode_order(order), Catch::Contains(R"("mode":"abort")"));
    CHECK(decode_order_status(202) == state::runner_order_result::accepted);
    CHECK(decode_order_status(412) == state::runner_order_result::outdated);
    CHECK(decode_order_status(400) == state::runner_order_result::does_not_fit);
}

namespace {

state::mirrored_row row_of(const std::string& key, const std::string& value) {
    return {key, value, {}, false};
}

state::mirrored_row removed(state::mirrored_row row) {
    row.is_removed = true;
    return row;
}

} // namespace

TEST_CASE("configurations of different eras are ordered by the operators' version") {
    const auto version = [](const std::string& number) {
        return row_of("config", R"({"version":)" + number + R"(,"routes":[]})");
    };
    CHECK(compare_operator_rows(version("16"), version("16")) == std::partial_ordering::equivalent);
    CHECK(compare_operator_rows(version("13"), version("16")) == std::partial_ordering::less);
    CHECK(compare_operator_rows(version("100"), version("16")) == std::partial_ordering::greater);
    CHECK(compare_operator_rows(removed(version("17")), version("16")) ==
          std::partial_ordering::less);
    for (const auto* text : {"", "{}", "[1]", "\xff", R"({"version":"17"})", R"({"version":-1})"}) {
        INFO(text);
        CHECK(compare_operator_rows(row_of("config", text), version("16")) ==
              std::partial_ordering::less);
        CHECK(compare_operator_rows(version("16"), row_of("config", text)) ==
              std::partial_ordering::greater);
    }
}

TEST_CASE("rows of the operators other than the configuration state no order") {
    const auto evacuation = row_of("evacuate/zone-a", R"({"version":1})");
    CHECK(compare_operator_rows(evacuation, evacuation) == std::partial_ordering::unordered);
    CHECK(compare_operator_rows(evacuation, removed(evacuation)) ==
          std::partial_ordering::unordered);
}

TEST_CASE("entries of a runner's incarnation are ordered by its count of writes") {
    const auto written = [](const std::string& sequence, const std::string& state = "ready",
                            const std::string& born = "1777699062468") {
        return row_of("i-1", R"({"service":"s1","state":")" + state + R"(","born":)" + born +
                                 R"(,"sequence":)" + sequence + "}");
    };
    CHECK(compare_runner_entries(written("7"), written("7")) == std::partial_ordering::equivalent);
    CHECK(compare_runner_entries(written("5"), written("7", "draining")) ==
          std::partial_ordering::less);
    CHECK(compare_runner_entries(written("10"), written("7")) == std::partial_ordering::greater);

    // A removal follows the write that it removed and precedes the next one.
    CHECK(compare_runner_entries(written("7"), removed(written("7"))) ==
          std::partial_ordering::less);
    CHECK(compare_runner_entries(removed(written("7")), written("7")) ==
          std::partial_ordering::greater);
    CHECK(compare_runner_entries(written("8"), removed(written("7"))) ==
          std::partial_ordering::greater);
    CHECK(compare_runner_entries(removed(written("7")), written("8")) ==
          std::partial_ordering::less);
}

TEST_CASE("entries that name no incarnation or different ones state no order") {
    const auto known = row_of("i-1", R"({"born":2000,"sequence":7})");
    for (const auto* text : {"", "{}", "[1]", "\xff", R"({"sequence":9})",
                             R"({"born":"2000","sequence":9})", R"({"born":0,"sequence":9})",
                             R"({"born":1999,"sequence":9})", R"({"born":2001,"sequence":1})"}) {
        INFO(text);
        const auto other = row_of("i-1", text);
        CHECK(compare_runner_entries(other, known) == std::partial_ordering::unordered);
        CHECK(compare_runner_entries(known, other) == std::partial_ordering::unordered);
        CHECK(compare_runner_entries(removed(known), other) == std::partial_ordering::unordered);
    }
    const auto nameless = row_of("i-1", R"({"sequence":7})");
    CHECK(compare_runner_entries(nameless, nameless) == std::partial_ordering::unordered);
}

TEST_CASE("an answer has a receipt if one reaches the caller") {
    const auto head_of = [](const transport::http_fields& fields) {
        return decode_answer(200, fields);
    };
    CHECK(head_of({{"server-seal", "s1"}}).has_receipt);
    CHECK(head_of({{"Server-Seal", "s1"}, {"Server-Seal", "s1"}}).has_receipt);
    CHECK_FALSE(head_of({}).has_receipt);
    CHECK_FALSE(head_of({{"Server-Seam", "s1"}}).has_receipt);
    CHECK_FALSE(head_of({{"Server-Seal", ""}}).has_receipt);
    CHECK_FALSE(head_of({{"Server-Seal", "s1"}, {"Server-Seal", "s2"}}).has_receipt);
    const transport::http_fields listed{
        {"Connection", "Server-Seal, X-Hop"}, {"Server-Seal", "s1"}, {"X-Hop", "1"}};
    CHECK(head_of(listed).has_receipt);
    const auto kept = select_caller_fields(listed);
    REQUIRE(kept.size() == 1);
    CHECK(kept.front().name == "Server-Seal");
    CHECK(head_of({{"Content-Encoding", "identity"}}).is_encoded);
    CHECK_FALSE(head_of({{"Content-Type", "text/plain"}}).is_encoded);
}
