// Tests labelled counters and latency histograms in the Prometheus format.
#include "savoryrelay/state/metrics/metrics.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace savoryrelay::state;

namespace {

bool has_line(const std::string& text, const std::string& line) {
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("counters of one name share a TYPE line and are told apart by their labels") {
    metrics all;
    all.counter_of("calls_total", {{"kind", "streaming"}, {"outcome", "delivered"}}).add(2);
    all.counter_of("calls_total", {{"kind", "idempotent"}, {"outcome", "delivered"}}).add();
    all.counter_of("calls_total", {{"kind", "streaming"}, {"outcome", "delivered"}}).add();
    const auto text = all.to_prometheus();
    CHECK(has_line(text, "calls_total{kind=\"streaming\",outcome=\"delivered\"} 3"));
    CHECK(has_line(text, "calls_total{kind=\"idempotent\",outcome=\"delivered\"} 1"));
    CHECK(text.find("# TYPE calls_total counter") == text.rfind("# TYPE calls_total counter"));
}

TEST_CASE("quotes, backslashes and line breaks in a label's value are escaped or replaced") {
    metrics all;
    all.counter_of("calls_total", {{"reason", "a\"b\\c\nd"}}).add();
    CHECK(has_line(all.to_prometheus(), "calls_total{reason=\"a\\\"b\\\\c d\"} 1"));
}

TEST_CASE("the buckets of a latency histogram are cumulative") {
    metrics all;
    auto& latency = all.latency_of("first_seconds", {{"kind", "streaming"}});
    for (const double value : {0.01, 0.12, 0.12, 0.45, 60.0}) {
        latency.record(value);
    }
    const auto text = all.to_prometheus();
    CHECK(has_line(text, "first_seconds_bucket{le=\"0.025\",kind=\"streaming\"} 1"));
    CHECK(has_line(text, "first_seconds_bucket{le=\"0.15\",kind=\"streaming\"} 3"));
    CHECK(has_line(text, "first_seconds_bucket{le=\"8\",kind=\"streaming\"} 4"));
    CHECK(has_line(text, "first_seconds_bucket{le=\"+Inf\",kind=\"streaming\"} 5"));
    CHECK(has_line(text, "first_seconds_count{kind=\"streaming\"} 5"));
}

TEST_CASE("no value is lost when threads record concurrently") {
    histogram latency(latency_bounds_s);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 10'000; ++n) {
                latency.record(0.2);
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    CHECK(latency.read().count == 40'000);
}
