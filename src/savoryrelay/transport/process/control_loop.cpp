// Implements the restart of control loops.
#include "savoryrelay/transport/process/control_loop.h"

#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace savoryrelay::transport {

namespace asio = boost::asio;

namespace {

constexpr state::milliseconds restart_pause{200};

asio::awaitable<void> run_until_return(std::string name,
                                       std::function<asio::awaitable<void>()> loop) {
    while (true) {
        std::string detail;
        try {
            co_await loop();
            co_return;
        } catch (const std::exception& error) {
            detail = error.what();
        }
        log_warning("control_loop_failed", {{"loop", name}, {"detail", detail}});
        co_await pause_for(restart_pause);
    }
}

} // namespace

void start_control_loop(asio::io_context& context, std::string name,
                        std::function<asio::awaitable<void>()> loop) {
    asio::co_spawn(context, run_until_return(std::move(name), std::move(loop)), asio::detached);
}

} // namespace savoryrelay::transport
