// Runs concurrent streams against one address and measures them.
#pragma once

#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace savoryrelay::load {

/// Target and load of a run.
struct load_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string bearer_token;
    std::string model;
    std::uint32_t streams = 1;             ///< concurrent streams
    std::uint32_t requests_per_stream = 1; ///< sequential requests per stream
    std::uint32_t tokens = 16;             ///< tokens per request
};

/// Measurements of a run.
struct load_result {
    std::uint64_t complete = 0; ///< answers that arrived completely
    std::uint64_t failed = 0;   ///< requests without a complete answer
    std::uint64_t tokens = 0;
    double seconds = 0; ///< duration of the run
    double first_token_p50_ms = 0;
    double first_token_p95_ms = 0;
};

/// Runs the streams on `threads`, waits until all have ended and returns the
/// measurements.
[[nodiscard]] load_result run_load(transport::io_threads& threads, const load_settings& settings);

} // namespace savoryrelay::load
