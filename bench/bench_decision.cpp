// Measures the time of a routing decision with 600 and 6,000 endpoints, and the
// rate of decisions on 1 and 8 threads with a sharded directory and, as the
// baseline, under one global lock. Prints CSV.
#include "savoryrelay/coordination/routing/endpoint_directory.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <iostream>
#include <mutex>
#include <numeric>
#include <string_view>
#include <thread>
#include <time.h>
#include <vector>

namespace {

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using clock_type = std::chrono::steady_clock;

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t zones = 8;
constexpr std::size_t prefix_groups = 2'000;
constexpr std::size_t prefix_blocks = 6;
constexpr int decisions = 50'000; // per thread
constexpr int repetitions = 8;
constexpr unsigned max_threads = 8;

std::vector<route_row> make_rows(std::size_t count, random_source& random) {
    std::uniform_int_distribution<std::uint32_t> load(40, 110);
    std::vector<route_row> rows(count);
    for (std::size_t i = 0; i < count; ++i) {
        rows[i].state.phase = state::endpoint_phase::warm;
        rows[i].state.report.running = load(random);
        rows[i].state.token_interval_ms = 40;
        rows[i].capacity = 128;
        rows[i].zone = static_cast<std::uint32_t>(i % zones);
    }
    return rows;
}

std::vector<slot_request> make_requests(random_source& random) {
    std::vector<slot_request> requests(prefix_groups);
    for (auto& request : requests) {
        request.needs.zone = static_cast<std::uint32_t>(random() % zones);
        for (std::size_t block = 0; block < prefix_blocks; ++block) {
            request.prefix.push_back(random());
        }
    }
    return requests;
}

/// Makes one routing decision and updates the directory's counts. `thread` is the
/// index of the calling thread.
using decide_hook = std::function<void(const slot_request&, random_source&, std::size_t thread)>;

// Returns the CPU time of the calling thread in microseconds.
double thread_cpu_us() {
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e6 + static_cast<double>(spent.tv_nsec) / 1e3;
}

struct timing {
    double mean_us = 0; ///< wall time of all threads / decisions of one thread
    double p99_us = 0;  ///< over batches of 100 decisions
    double per_second = 0;
    double cpu_us = 0; ///< CPU time of a decision, without time spent waiting
};

timing run_threads(unsigned threads, const std::vector<slot_request>& requests,
                   const decide_hook& decide) {
    constexpr int batch = 100;
    std::vector<std::vector<double>> batch_us(threads);
    std::vector<double> cpu_us(threads);
    const auto begin = clock_type::now();
    std::vector<std::thread> pool;
    for (unsigned t = 0; t < threads; ++t) {
        pool.emplace_back([&, t] {
            random_source random(seed + t);
            const double cpu_begin = thread_cpu_us();
            for (int i = 0; i < decisions; i += batch) {
                const auto batch_begin = clock_type::now();
                for (int j = 0; j < batch; ++j) {
                    decide(requests[random() % requests.size()], random, t);
                }
                const std::chrono::duration<double, std::micro> spent =
                    clock_type::now() - batch_begin;
                batch_us[t].push_back(spent.count() / batch);
            }
            cpu_us[t] = thread_cpu_us() - cpu_begin;
        });
    }
    for (auto& thread : pool) {
        thread.join();
    }
    const std::chrono::duration<double> wall = clock_type::now() - begin;
    std::vector<double> all;
    for (const auto& thread_batches : batch_us) {
        all.insert(all.end(), thread_batches.begin(), thread_batches.end());
    }
    std::sort(all.begin(), all.end());
    return {wall.count() * 1e6 / decisions, all[all.size() * 99 / 100],
            static_cast<double>(threads) * decisions / wall.count(),
            std::accumulate(cpu_us.begin(), cpu_us.end(), 0.0) / (threads * decisions)};
}

} // namespace

int main() {
    std::cout << "variant,endpoints,threads,mean_us,p99_us,decisions_per_second,cpu_us\n";
    double mean_600 = 0;
    for (const std::size_t count : {std::size_t{600}, std::size_t{6'000}}) {
        random_source random(seed);
        const auto requests = make_requests(random);
        endpoint_directory directory(make_rows(count, random), {}, max_threads);
        const auto now = state::time_point(std::chrono::hours(1));
        const decide_hook sharded = [&](const slot_request& request, random_source& source,
                                        std::size_t thread) {
            const auto slot =
                state::collect([&] { return directory.begin(request, now, source, thread); });
            directory.end(slot.value(), thread);
        };
        std::mutex global;
        const decide_hook locked = [&](const slot_request& request, random_source& source,
                                       std::size_t) {
            const std::scoped_lock lock(global);
            sharded(request, source, 0);
        };

        // Refreshes the directory, which exchanges the lanes' counts, during the decisions.
        std::jthread ticker([&](const std::stop_token& stop) {
            std::mutex mutex;
            std::condition_variable_any tick;
            std::unique_lock lock(mutex);
            while (!stop.stop_requested()) {
                directory.refresh();
                tick.wait_for(lock, stop, std::chrono::milliseconds(20), [] { return false; });
            }
        });

        // Keeps the best of several runs, which alternate between the variants, since
        // other programs share the machine.
        struct variant {
            std::string_view name;
            unsigned threads;
            const decide_hook& hook;
            timing best;
        };
        std::array variants{
            variant{"sharded", 1, sharded, {}}, variant{"sharded", max_threads, sharded, {}},
            variant{"global_lock", 1, locked, {}}, variant{"global_lock", max_threads, locked, {}}};
        for (int i = 0; i < repetitions; ++i) {
            for (auto& row : variants) {
                const auto run = run_threads(row.threads, requests, row.hook);
                if (run.per_second > row.best.per_second) {
                    row.best = run;
                }
            }
        }
        for (const auto& row : variants) {
            std::cout << row.name << ',' << count << ',' << row.threads << ',' << row.best.mean_us
                      << ',' << row.best.p99_us << ',' << row.best.per_second << ','
                      << row.best.cpu_us << '\n';
        }
        const auto& one = variants[0].best;
        std::cout << "# seed=" << seed << " endpoints=" << count
                  << " ratio 8 threads to 1: sharded="
                  << variants[1].best.per_second / one.per_second << " sharded_by_processor_time="
                  << max_threads * one.cpu_us / variants[1].best.cpu_us
                  << " global_lock=" << variants[3].best.per_second / variants[2].best.per_second
                  << '\n';
        if (count == 600) {
            mean_600 = one.mean_us;
        } else {
            std::cout << "# ratio of decision time at 6000 to 600: " << one.mean_us / mean_600
                      << '\n';
        }
    }
    return 0;
}
