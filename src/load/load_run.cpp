// Runs the concurrent streams and measures them.
#include "load_run.h"

#include "savoryrelay/protocol/event_stream/event_splitter.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/transport/http/endpoint_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <mutex>
#include <vector>

namespace savoryrelay::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr state::milliseconds io_timeout{30'000};
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr int http_version = 11;

/// Counters and samples that all streams of a run update.
struct run_state {
    std::atomic<std::uint64_t> complete{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> tokens{0};
    std::mutex mutex;
    std::vector<double> first_token_ms; // guarded by mutex
};

transport::http_request make_request(const load_settings& settings) {
    transport::http_request request{http::verb::post, "/v1/completions", http_version};
    request.set(http::field::host, settings.address);
    request.set(http::field::authorization, "Bearer " + settings.bearer_token);
    request.body() = R"({"stream":true,"prompt":"load","model":")" + settings.model +
                     R"(","max_tokens":)" + std::to_string(settings.tokens) + "}";
    request.prepare_payload();
    return request;
}

/// Reads one streamed answer. Returns whether it arrived completely.
asio::awaitable<bool> read_stream(transport::endpoint_connection& connection,
                                  clock_type::time_point sent_at, run_state& run) {
    protocol::event_splitter events;
    std::vector<char> buffer(read_buffer_bytes);
    while (true) {
        const auto [error, size] = co_await connection.read_some(asio::buffer(buffer), io_timeout);
        if (error) {
            co_return false;
        }
        if (size == 0) {
            co_return events.finished();
        }
        const bool awaits_first_token = events.tokens() == 0;
        const std::string_view bytes(buffer.data(), size);
        const auto appended = state::collect([&] { return events.append(bytes); });
        if (!appended) {
            co_return false;
        }
        [[maybe_unused]] const auto events_taken = events.take();
        if (awaits_first_token && events.tokens() > 0) {
            const std::chrono::duration<double, std::milli> waited = clock_type::now() - sent_at;
            const std::scoped_lock lock(run.mutex);
            run.first_token_ms.push_back(waited.count());
        }
        run.tokens += events.finished() ? events.tokens() : 0;
    }
}

/// Sends the requests of one stream sequentially over one connection.
asio::awaitable<void> run_stream(asio::io_context& context, const load_settings& settings,
                                 run_state& run) {
    transport::endpoint_connection connection(context);
    if (co_await connection.connect(settings.address, settings.port, io_timeout)) {
        run.failed += settings.requests_per_stream;
        co_return;
    }
    const auto request = make_request(settings);
    for (std::uint32_t i = 0; i < settings.requests_per_stream; ++i) {
        const auto sent_at = clock_type::now();
        auto error = co_await connection.send(request, io_timeout);
        if (!error) {
            error = co_await connection.read_header(io_timeout);
        }
        bool is_complete = false;
        if (!error) {
            is_complete = co_await read_stream(connection, sent_at, run);
        }
        if (!is_complete) {
            run.failed += settings.requests_per_stream - i;
            co_return;
        }
        ++run.complete;
    }
}

double quantile(std::vector<double>& values, double probability) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * probability)];
}

} // namespace

load_result run_load(transport::io_threads& threads, const load_settings& settings) {
    run_state run;
    std::vector<std::future<void>> streams;
    const auto started_at = clock_type::now();
    for (std::uint32_t i = 0; i < settings.streams; ++i) {
        auto& context = threads.next();
        streams.push_back(
            asio::co_spawn(context, run_stream(context, settings, run), asio::use_future));
    }
    for (auto& stream : streams) {
        stream.get();
    }
    const std::chrono::duration<double> elapsed = clock_type::now() - started_at;
    return {run.complete,
            run.failed,
            run.tokens,
            elapsed.count(),
            quantile(run.first_token_ms, 0.5),
            quantile(run.first_token_ms, 0.95)};
}

} // namespace savoryrelay::load
