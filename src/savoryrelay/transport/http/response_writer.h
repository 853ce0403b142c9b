// Writes the answer to one HTTP request, whole or as a stream of chunks.
#pragma once

#include "savoryrelay/transport/http/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace savoryrelay::transport {

/// Sends the buffers completely or reports why not. Fails when the peer does
/// not read within the connection's write timeout.
using send_buffers_hook = std::function<boost::asio::awaitable<boost::system::error_code>(
    std::array<boost::asio::const_buffer, 3>)>;

/// The answer to one request. Exactly one of `send` and `start` may be called.
class response_writer {
public:
    /// `keep_alive` tells whether the connection may carry another request.
    response_writer(send_buffers_hook send_buffers, bool keep_alive);

    /// Sends a whole answer.
    boost::asio::awaitable<boost::system::error_code> send(unsigned status, http_fields fields,
                                                           std::string_view body);
    /// Sends the header of a chunked answer.
    boost::asio::awaitable<boost::system::error_code> start(unsigned status, http_fields fields);
    /// Sends one chunk. `bytes` must stay valid until the call ends.
    boost::asio::awaitable<boost::system::error_code> write(std::string_view bytes);
    /// Ends a chunked answer.
    boost::asio::awaitable<boost::system::error_code> finish();
    /// Calls `gone` once, on the connection's thread, when the caller closes the
    /// connection before the answer has ended.
    void on_caller_gone(std::function<void()> gone) { m_caller_gone = std::move(gone); }
    /// Called by the connection when it sees that the caller has closed it.
    void note_caller_gone() {
        if (auto gone = std::exchange(m_caller_gone, nullptr)) {
            gone();
        }
    }

    /// Lets the connection close without the end mark of a chunked answer, so
    /// that the caller sees that the answer is not whole.
    void abandon() { m_keep_alive = false; }

    /// True once a header has been sent.
    [[nodiscard]] bool started() const { return m_started; }
    /// True while the connection may carry another request.
    [[nodiscard]] bool keep_alive() const { return m_keep_alive; }

private:
    [[nodiscard]] std::string header_text(unsigned status, const http_fields& fields,
                                          const std::string& framing) const;

    send_buffers_hook m_send_buffers;
    bool m_keep_alive;
    bool m_started = false;
    std::function<void()> m_caller_gone;
};

} // namespace savoryrelay::transport
