// Compares group commit with a separate transaction for each state of a row: counts
// the transactions and rows per booking at several booking rates. Time is simulated:
// each rate runs for one simulated minute, with one flush per commit interval.
#include "savoryrelay/coordination/booking/booking_coordinator.h"
#include "savoryrelay/protocol/booking/booking_text.h"
#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/state/platform/memory_platform.h"

#include <chrono>
#include <cstdio>
#include <deque>
#include <string>

namespace {

using namespace savoryrelay;

constexpr int simulated_seconds = 60;
constexpr state::milliseconds service_time{40}; // of a call to the simulated service
constexpr std::size_t answer_bytes = 512;

struct run_result {
    std::size_t bookings = 0;
    std::size_t answered = 0;
    std::size_t transactions = 0;
    std::size_t rows = 0;
    std::size_t row_bytes = 0;
    double wait_ms = 0; ///< mean simulated time from submission to answer
    double wall_us = 0; ///< wall time per booking, with the store in memory
};

run_result run(int bookings_per_second, state::milliseconds interval, std::size_t max_rows) {
    run_result total;
    state::memory_platform store;
    auto platform = store.hooks();
    platform.transact = [&, inner = platform.transact](const auto& transaction) {
        ++total.transactions;
        total.rows += transaction.puts.size();
        for (const auto& put : transaction.puts) {
            total.row_bytes += put.value.size();
        }
        return inner(transaction);
    };
    coordination::booking_settings settings;
    settings.commit.max_rows = max_rows;
    state::metrics metrics;
    coordination::booking_coordinator bookings(
        settings, {state::member_id("m"), 1},
        {platform, protocol::booking_text_codec(), {}, {[](const auto&) { return false; }, {}}, {}},
        metrics);

    struct service_call {
        state::booking_id id;
        state::time_point done_at;
    };
    std::deque<service_call> service_calls;
    const state::booking_answer answer{200, "application/json", std::string(answer_bytes, 'a')};
    const auto digest = state::sha256_hex("body");
    const auto gap = std::chrono::microseconds(1'000'000 / bookings_per_second);
    const state::time_point start{};
    auto now = start;
    auto next_submit = std::chrono::microseconds(0);
    auto next_flush = now + interval;

    // Each iteration is one simulated millisecond. Two seconds without new bookings
    // follow, in which the open calls end.
    const auto began = std::chrono::steady_clock::now();
    const auto submit_end = start + std::chrono::seconds(simulated_seconds);
    for (; now < submit_end + std::chrono::seconds(2); now += state::milliseconds(1)) {
        for (; now < submit_end && next_submit <= now - start; next_submit += gap) {
            const state::booking_id id{state::customer_id("c"), std::to_string(total.bookings++)};
            bookings.submit(
                {id, state::deployment_id("orders"), digest, now + std::chrono::seconds(10)},
                {[&, id] {
                     service_calls.push_back({id, now + service_time});
                 },
                 [&, submitted = now](const auto& reply) {
                     total.answered += reply ? 1 : 0;
                     total.wait_ms +=
                         std::chrono::duration<double, std::milli>(now - submitted).count();
                 }},
                now);
        }
        for (; !service_calls.empty() && service_calls.front().done_at <= now;
             service_calls.pop_front()) {
            bookings.report(service_calls.front().id, {state::execution_outcome::ran, answer});
        }
        if (now >= next_flush) {
            bookings.flush(now);
            next_flush = now + interval;
        }
    }
    const auto took = std::chrono::steady_clock::now() - began;
    const auto count = static_cast<double>(total.bookings);
    total.wait_ms /= count;
    total.wall_us = std::chrono::duration<double, std::micro>(took).count() / count;
    return total;
}

void print(int rate, const char* mode, const run_result& result) {
    const auto count = static_cast<double>(result.bookings);
    std::printf("%4d %-28s %8zu %8zu %12.3f %10.3f %10.1f %11.1f %10.1f\n", rate, mode,
                result.bookings, result.answered, static_cast<double>(result.transactions) / count,
                static_cast<double>(result.rows) / count,
                static_cast<double>(result.transactions) / simulated_seconds, result.wait_ms,
                result.wall_us);
}

} // namespace

int main() {
    std::printf("%4s %-28s %8s %8s %12s %10s %10s %11s %10s\n", "rate", "mode", "bookings",
                "answered", "tx/booking", "rows/book", "tx/s", "wait_ms", "real_us");
    bool complete = true;
    for (const int rate : {5, 50, 330}) {
        const auto single = run(rate, state::milliseconds(1), 1);
        print(rate, "one transaction per state", single);
        for (const int interval : {10, 100}) {
            const auto grouped = run(rate, state::milliseconds(interval), 256);
            const auto mode = "group commit, " + std::to_string(interval) + " ms";
            print(rate, mode.c_str(), grouped);
            std::printf("     ratio to one per state: transactions %.3f, rows %.3f, bytes %.3f, "
                        "wait %.2f\n",
                        static_cast<double>(grouped.transactions) /
                            static_cast<double>(single.transactions),
                        static_cast<double>(grouped.rows) / static_cast<double>(single.rows),
                        static_cast<double>(grouped.row_bytes) /
                            static_cast<double>(single.row_bytes),
                        grouped.wait_ms / single.wait_ms);
            complete = complete && grouped.answered == grouped.bookings;
        }
        complete = complete && single.answered == single.bookings;
    }
    std::printf("%s\n", complete ? "each booking was answered" : "some bookings had no answer");
    return complete ? 0 : 1;
}
