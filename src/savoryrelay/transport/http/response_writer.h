// Writes the answer to one HTTP request, either at once or as a stream of chunks.
#pragma once

#include "savoryrelay/transport/http/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace savoryrelay::transport {

/// Sends all buffers or returns an error. Fails if the peer takes nothing for the
/// connection's write timeout.
using send_buffers_hook = std::function<boost::asio::awaitable<boost::system::error_code>(
    std::array<boost::asio::const_buffer, 3>)>;

/// Accounts for an answer of this size in bytes. Returns false if there is no memory for it.
using borrow_bytes_hook = std::function<boost::asio::awaitable<bool>(std::size_t)>;

/// Writes the answer to one request. Call exactly one of `send` and `start`, once.
class response_writer {
public:
    /// `keep_alive` is true if the connection may carry another request. `has_body` is false
    /// for an answer to HEAD, of which only the header is sent.
    response_writer(send_buffers_hook send_buffers, bool keep_alive, bool has_body);

    /// Sends a complete answer.
    boost::asio::awaitable<boost::system::error_code> send(unsigned status, http_fields fields,
                                                           std::string_view body);
    /// Sends the header of a chunked answer.
    boost::asio::awaitable<boost::system::error_code> start(unsigned status, http_fields fields);
    /// Sends one chunk. `bytes` must stay valid until the coroutine completes.
    boost::asio::awaitable<boost::system::error_code> write(std::string_view bytes);
    /// Ends a chunked answer.
    boost::asio::awaitable<boost::system::error_code> finish();
    /// Sets a hook that is called once, on the connection's thread, if the caller
    /// closes the connection before the answer is complete.
    void on_caller_gone(std::function<void()> gone) { m_caller_gone = std::move(gone); }
    /// Called by the connection when it detects that the caller has closed it.
    void notify_caller_gone() {
        m_is_caller_gone = true;
        if (auto gone = std::exchange(m_caller_gone, nullptr)) {
            gone();
        }
    }

    /// Sets the hook of `borrow`.
    void set_borrow_hook(borrow_bytes_hook borrow) { m_borrow = std::move(borrow); }
    /// Waits until the process has memory for an answer of `bytes` bytes. Returns false if it has
    /// none in time.
    boost::asio::awaitable<bool> borrow(std::size_t bytes);

    /// Makes the connection close after the answer. If the last chunk of a chunked
    /// answer is missing, the caller recognises the answer as incomplete.
    void abandon() { m_keep_alive = false; }

    /// Returns true once `send` or `start` has been called.
    [[nodiscard]] bool started() const { return m_started; }
    /// Returns true once the whole answer was handed to the connection.
    [[nodiscard]] bool complete() const { return m_complete; }
    /// Returns true if the caller has closed the connection.
    [[nodiscard]] bool is_caller_gone() const { return m_is_caller_gone; }
    /// Returns true while the connection may carry another request.
    [[nodiscard]] bool keep_alive() const { return m_keep_alive; }

private:
    [[nodiscard]] std::string header_text(unsigned status, const http_fields& fields,
                                          const std::string& framing) const;

    send_buffers_hook m_send_buffers;
    borrow_bytes_hook m_borrow; // empty: memory is not accounted for
    bool m_keep_alive;
    const bool m_has_body; // if false, nothing is sent after the header
    bool m_started = false;
    bool m_complete = false; // implies m_started
    bool m_is_caller_gone = false;
    std::function<void()> m_caller_gone;
};

} // namespace savoryrelay::transport
