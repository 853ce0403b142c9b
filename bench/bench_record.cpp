// Compares the throughput of the record with plain SHA-256 of the same bytes, and
// measures the time and memory of verification by number of segments.
#include "savoryrelay/coordination/record/record_writer.h"
#include "savoryrelay/protocol/record/record_json.h"
#include "savoryrelay/protocol/record/record_verifier.h"
#include "savoryrelay/protocol/record/segment_encoder.h"
#include "savoryrelay/protocol/record/sha256_stream.h"
#include "savoryrelay/state/platform/memory_platform.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

using namespace savoryrelay;

namespace {

constexpr std::size_t entry_count = 200'000;
constexpr std::size_t segment_entries = 4'000;
constexpr std::size_t segment_bytes = std::size_t{1} << 20U;
constexpr int repetitions = 7;

state::record_entry make_entry(std::size_t index) {
    state::record_entry entry;
    entry.kind =
        index % 2 == 0 ? state::record_kind::request_accepted : state::record_kind::request_ended;
    entry.sequence = index + 1;
    entry.actor = "gilded-vane-orders";
    entry.customer = state::customer_id("gilded-vane-orders");
    entry.deployment = state::deployment_id("vane-chat-70b");
    entry.request = state::request_id("01JE8Q2V7N0000" + std::to_string(index));
    entry.action = "/v1/chat/completions";
    entry.subject = "endpoint vane-chat-17";
    entry.result = "ok";
    entry.outcome = state::execution_outcome::ran;
    return entry;
}

state::wall_time time_at(std::int64_t ms) {
    return state::wall_time(state::milliseconds(ms));
}

double timed_seconds(const std::function<void()>& work) {
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

double median(std::vector<double> times) {
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

// Returns the median duration of `work` in seconds. `prepare` runs before each
// repetition and is not timed.
double median_seconds(const std::function<void()>& prepare, const std::function<void()>& work) {
    std::vector<double> times;
    for (int i = 0; i < repetitions; ++i) {
        prepare();
        times.push_back(timed_seconds(work));
    }
    return median(std::move(times));
}

// Returns the median durations of `first` and `second` in seconds. Each repetition
// runs `prepare`, which is not timed, then `first`, then `second`.
std::pair<double, double> median_pair(const std::function<void()>& prepare,
                                      const std::function<void()>& first,
                                      const std::function<void()>& second) {
    std::vector<double> firsts;
    std::vector<double> seconds;
    for (int i = 0; i < repetitions; ++i) {
        prepare();
        firsts.push_back(timed_seconds(first));
        seconds.push_back(timed_seconds(second));
    }
    return {median(std::move(firsts)), median(std::move(seconds))};
}

std::size_t resident_kib() {
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

state::sealed_segment seal(state::segment_draft& draft, const protocol::record_key_ring& keys) {
    auto sealed = state::collect(
        [&] { return protocol::seal_segment(draft, keys, protocol::openssl_random_bytes); });
    if (!sealed) {
        std::fprintf(stderr, "%s\n", sealed.error().message().c_str());
        std::exit(1);
    }
    return std::move(sealed.value());
}

std::vector<state::segment_draft> make_drafts() {
    std::vector<state::segment_draft> drafts;
    for (std::size_t i = 0; i < entry_count; ++i) {
        if (i % segment_entries == 0) {
            drafts.emplace_back();
            drafts.back().header = {"entry-1.1", drafts.size(), i + 1, {}, {}, time_at(1)};
        }
        drafts.back().entries.push_back(make_entry(i));
    }
    return drafts;
}

void measure_writing(const protocol::record_key_ring& keys) {
    // The two baselines hash the encoded entries one by one and in one buffer.
    std::vector<std::string> bodies;
    std::string all;
    for (std::size_t i = 0; i < entry_count; ++i) {
        bodies.push_back(protocol::encode_entry(make_entry(i)));
        all += bodies.back();
    }
    protocol::sha256_stream hash;
    unsigned checksum = 0;
    std::vector<state::segment_draft> drafts;
    // Baseline and sealing alternate, so that load from other processes on the
    // machine affects both equally.
    const auto [by_entry, sealing] = median_pair([&] { drafts = make_drafts(); },
                                                 [&] {
                                                     for (const auto& body : bodies) {
                                                         hash.add(body);
                                                         checksum += hash.finish()[0];
                                                     }
                                                 },
                                                 [&] {
                                                     for (auto& draft : drafts) {
                                                         checksum += seal(draft, keys).digest[0];
                                                     }
                                                 });
    const auto one_buffer = median_seconds([] {},
                                           [&] {
                                               hash.add(all);
                                               checksum += hash.finish()[0];
                                           });

    // In a daemon, callers append while one thread flushes. Here, appending and
    // flushing alternate on one core.
    state::metrics metrics;
    std::vector<state::record_entry> entries;
    double flush_seconds = 0;
    const auto flush = [&](coordination::record_writer& writer) {
        const auto begin = std::chrono::steady_clock::now();
        static_cast<void>(state::collect([&] { return writer.flush(time_at(1)); }));
        flush_seconds +=
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    };
    const auto append_and_flush = median_seconds(
        [&] {
            entries.clear();
            flush_seconds = 0;
            for (std::size_t i = 0; i < entry_count; ++i) {
                entries.push_back(make_entry(i));
            }
        },
        [&] {
            state::memory_platform platform;
            coordination::record_writer writer(
                {"entry-1.1", std::size_t{1} << 30U, segment_bytes, segment_entries},
                {[&](state::segment_draft& draft) {
                     return protocol::seal_segment(draft, keys, protocol::openssl_random_bytes);
                 },
                 protocol::encode_anchor, platform.hooks()},
                metrics);
            // Flushes when a full segment is queued, as the flushing thread of a daemon does.
            for (auto& entry : entries) {
                static_cast<void>(
                    state::collect([&] { return writer.append(std::move(entry), time_at(1)); }));
                if (writer.queued_bytes() >= segment_bytes) {
                    flush(writer);
                }
            }
            flush(writer);
        });

    const auto rate = [](double seconds) { return static_cast<double>(entry_count) / seconds; };
    std::printf("\nentries: %zu of %zu bytes on average (checksum %u)\n", entry_count,
                all.size() / entry_count, checksum);
    std::printf("plain SHA-256, entry by entry: %.0f entries/s\n", rate(by_entry));
    std::printf("plain SHA-256, one buffer:     %.0f entries/s\n", rate(one_buffer));
    std::printf("sealed segments:               %.0f entries/s, ratio %.2f to entry by entry, "
                "%.2f to one buffer\n",
                rate(sealing), by_entry / sealing, one_buffer / sealing);
    std::printf("append and flush in turn:      %.0f entries/s, ratio %.2f to entry by entry\n",
                rate(append_and_flush), by_entry / append_and_flush);
    std::printf("the flushing thread alone:     %.0f entries/s, ratio %.2f to entry by entry\n",
                rate(flush_seconds), by_entry / flush_seconds);
}

void measure_verifying(const protocol::record_signing_key& key) {
    const protocol::record_key_ring keys({key});
    // Builds, verifies and frees one sealed segment at a time, so that the memory of
    // the process grows only by what the verifier holds.
    std::printf("verification (one chain, segments of %zu entries)\n", segment_entries);
    std::vector<std::pair<double, double>> points;
    for (const std::size_t segments : {25U, 50U, 100U, 200U}) {
        std::uint64_t findings = 0;
        double seconds = 0;
        protocol::record_verifier verifier({{key.public_key()}, std::nullopt},
                                           [&](const auto&) { ++findings; });
        const auto before = resident_kib();
        state::sha256_digest previous{};
        std::uint64_t bytes = 0;
        for (std::size_t number = 1; number <= segments; ++number) {
            state::segment_draft draft;
            const auto first = (number - 1) * segment_entries;
            draft.header = {"entry-1.1", number, first + 1, previous, {}, time_at(1)};
            for (std::size_t i = 0; i < segment_entries; ++i) {
                draft.entries.push_back(make_entry(first + i));
            }
            const auto sealed = seal(draft, keys);
            previous = sealed.digest;
            bytes += sealed.bytes.size();
            const auto begin = std::chrono::steady_clock::now();
            verifier.verify_segment(state::segment_object("entry-1.1", number),
                                    protocol::memory_source(sealed.bytes));
            seconds +=
                std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        }
        static_cast<void>(verifier.finish());
        points.emplace_back(static_cast<double>(segments), seconds);
        std::printf("%4zu segments, %6.1f MB: %.3f s, %.0f entries/s, resident %zu KiB "
                    "(%+zd), %llu findings\n",
                    segments, static_cast<double>(bytes) / 1e6, seconds,
                    static_cast<double>(segments * segment_entries) / seconds, resident_kib(),
                    static_cast<std::ptrdiff_t>(resident_kib()) -
                        static_cast<std::ptrdiff_t>(before),
                    static_cast<unsigned long long>(findings));
    }

    // Fits a line to the seconds by number of segments (least squares).
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& [x, y] : points) {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const auto n = static_cast<double>(points.size());
    const auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const auto per_entry = slope / static_cast<double>(segment_entries);
    // The record has two entries per request. The load of the present users is taken
    // as 100 requests per second.
    constexpr double year_seconds = 365.0 * 86'400.0;
    const auto year_entries = [&](double requests_per_second) {
        return requests_per_second * 2 * year_seconds;
    };
    std::printf("slope: %.3f ms a segment, %.0f ns an entry, intercept %.3f ms\n", slope * 1e3,
                per_entry * 1e9, (sy - slope * sx) / n * 1e3);
    std::printf("extrapolated, a year on one core: %.1f h at 100 requests/s, %.0f h at 6,600 "
                "requests/s\n",
                year_entries(100) * per_entry / 3600, year_entries(6'600) * per_entry / 3600);
}

} // namespace

int main() {
    const auto key = state::collect([] {
        return protocol::record_signing_key::generate("bench", time_at(0), time_at(1'000'000));
    });
    if (!key) {
        return 1;
    }
    // Verification runs first. After measure_writing it would reuse the memory that
    // was freed there, which would hide the verifier's growth.
    measure_verifying(key.value());
    measure_writing(protocol::record_key_ring({key.value()}));
    return 0;
}
