// Transactions and rows per booking with group commit, against one transaction
// per row state, at several rates of bookings. Time is simulated: each rate
// runs for a simulated minute, and a flush happens once per commit interval.
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
constexpr state::milliseconds service_time{40}; // of the simulated service
constexpr std::size_t answer_bytes = 512;

struct outcome {
    std::size_t bookings = 0;
    std::size_t answered = 0;
    std::size_t transactions = 0;
    std::size_t rows = 0;
    std::size_t row_bytes = 0;
    double wait_ms = 0; ///< mean simulated time from submission to answer
    double cpu_us = 0;  ///< real time per booking, with the store in memory
};

outcome run(int bookings_per_second, state::milliseconds interval, std::size_t max_rows) {
    outcome total;
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

    struct running {
        state::booking_id id;
        state::time_point done_at;
    };
    std::deque<running> at_service;
    const state::booking_answer answer{200, "application/json", std::string(answer_bytes, 'a')};
    const auto digest = state::sha256_hex("body");
    const auto gap = std::chrono::microseconds(1'000'000 / bookings_per_second);
    const state::time_point start{};
    auto now = start;
    auto next_submit = std::chrono::microseconds(0);
    auto next_flush = now + interval;

    // One simulated millisecond at a time; the last seconds let calls end.
    const auto began = std::chrono::steady_clock::now();
    const auto last = start + std::chrono::seconds(simulated_seconds);
    for (; now < last + std::chrono::seconds(2); now += state::milliseconds(1)) {
        for (; now < last && next_submit <= now - start; next_submit += gap) {
            const state::booking_id id{state::customer_id("c"), std::to_string(total.bookings++)};
            bookings.submit(
                {id, state::deployment_id("orders"), digest, now + std::chrono::seconds(10)},
                {[&, id] {
                     at_service.push_back({id, now + service_time});
                 },
                 [&, submitted = now](const auto& given) {
                     total.answered += given ? 1 : 0;
                     total.wait_ms +=
                         std::chrono::duration<double, std::milli>(now - submitted).count();
                 }},
                now);
        }
        for (; !at_service.empty() && at_service.front().done_at <= now; at_service.pop_front()) {
            bookings.report(at_service.front().id, {state::execution_outcome::ran, answer});
        }
        if (now >= next_flush) {
            bookings.flush(now);
            next_flush = now + interval;
        }
    }
    const auto took = std::chrono::steady_clock::now() - began;
    const auto count = static_cast<double>(total.bookings);
    total.wait_ms /= count;
    total.cpu_us = std::chrono::duration<double, std::micro>(took).count() / count;
    return total;
}

void print(int rate, const char* mode, const outcome& each) {
    const auto count = static_cast<double>(each.bookings);
    std::printf("%4d %-28s %8zu %8zu %12.3f %10.3f %10.1f %11.1f %10.1f\n", rate, mode,
                each.bookings, each.answered, static_cast<double>(each.transactions) / count,
                static_cast<double>(each.rows) / count,
                static_cast<double>(each.transactions) / simulated_seconds, each.wait_ms,
                each.cpu_us);
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
