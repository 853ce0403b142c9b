// Stand-in for the platform: table service, object store and host list over
// HTTP, kept in memory.
#pragma once

#include "standin_server.h"

#include "savoryrelay/state/platform/memory_platform.h"

#include <string>

namespace savoryrelay::standin {

/// Serves the platform's HTTP interface from a `memory_platform`.
class platform_standin {
public:
    explicit platform_standin(control_switches& switches) : m_switches(switches) {}

    /// Returns the store behind the interface.
    state::memory_platform& store() { return m_store; }

    /// Answers one request to the table service, the object store or the host list.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    struct answer {
        unsigned status = 200;
        std::string body;
        bool is_write = false;
    };

    [[nodiscard]] answer answer_request(const transport::http_request& request);
    [[nodiscard]] answer answer_object(const transport::http_request& request,
                                       const std::string& name);

    control_switches& m_switches;
    state::memory_platform m_store;
};

} // namespace savoryrelay::standin
