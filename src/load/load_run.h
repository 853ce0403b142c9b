// One run of concurrent streams against one address, and what was measured.
#pragma once

#include "savoryrelay/state/metrics/metrics.h"
#include "savoryrelay/transport/process/io_threads.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace savoryrelay::load {

/// What a run asks for.
struct load_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string bearer_token;
    std::string model;
    std::uint32_t streams = 1;       ///< concurrent streams
    std::uint32_t requests_each = 1; ///< one after the other, per stream
    std::uint32_t tokens = 16;       ///< per request
};

/// What a run measured.
struct load_figures {
    std::uint64_t whole = 0;  ///< answers that arrived whole
    std::uint64_t failed = 0; ///< answers that did not
    std::uint64_t tokens = 0;
    double seconds = 0; ///< of the whole run
    double first_token_p50_ms = 0;
    double first_token_p95_ms = 0;
};

/// Runs the streams on `threads` and waits until all have ended.
[[nodiscard]] load_figures run_load(transport::io_threads& threads, const load_settings& settings);

} // namespace savoryrelay::load
