// Grows the body in steps, each of which is lent before the bytes are read.
#include "savoryrelay/transport/http/body_reader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace savoryrelay::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

// Size of a stored field beside its name and value, with its share of the allocator.
constexpr std::uint64_t field_bytes = 96;
// A larger head does not wait for memory.
constexpr std::uint64_t max_waiting_head_bytes = 16 * 1024;
// First size of a body of unknown length.
constexpr std::size_t first_body_bytes = 1024;

std::uint64_t stored_bytes(const http::fields& fields) {
    std::uint64_t bytes = 0;
    for (const auto& field : fields) {
        bytes += field_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

} // namespace

std::size_t body_reader::next_size(std::size_t filled) const {
    const auto doubled = std::max(first_body_bytes, 2 * filled);
    const auto remaining = m_parser.content_length_remaining();
    if (!remaining) {
        return doubled;
    }
    const auto whole = filled + static_cast<std::size_t>(*remaining);
    return std::min(whole, std::max(max_unasked_body_bytes, doubled));
}

asio::awaitable<bool> body_reader::grow(std::string& body, std::size_t filled, std::size_t size) {
    const auto other_bytes = m_head_bytes + m_buffer.capacity();
    // Both the old and the new body exist while the old one is copied.
    const auto needed = other_bytes + body.capacity() + size;
    if (!m_memory.hold(needed)) {
        const bool is_lent = co_await m_memory.borrow(needed);
        if (!is_lent) {
            co_return false;
        }
    }
    std::string larger;
    larger.reserve(size);
    larger.append(body, 0, filled);
    larger.resize(size);
    body = std::move(larger);
    m_memory.hold(other_bytes + body.capacity());
    co_return true;
}

asio::awaitable<body_result> body_reader::read(std::string& body,
                                               std::function<asio::awaitable<bool>()> answer_head) {
    m_head_bytes = stored_bytes(m_parser.get().base());
    const auto head_bytes = m_head_bytes + m_buffer.capacity();
    if (!m_memory.hold(head_bytes)) {
        // The fields are stored already; many heads that wait would take what is not lent.
        bool is_lent = head_bytes <= max_waiting_head_bytes;
        if (is_lent) {
            is_lent = co_await m_memory.borrow(head_bytes);
        }
        if (!is_lent) {
            co_return body_result{body_end::no_memory, {}};
        }
    }
    std::size_t filled = 0;
    bool is_asked = false;
    while (!m_parser.is_done()) {
        if (filled == body.size()) {
            const auto size = next_size(filled);
            if (size > max_unasked_body_bytes && !std::exchange(is_asked, true)) {
                const bool is_answered = co_await answer_head();
                if (is_answered) {
                    co_return body_result{body_end::answered, {}};
                }
            }
            const bool has_room = co_await grow(body, filled, size);
            if (!has_room) {
                co_return body_result{body_end::no_memory, {}};
            }
        }
        auto& target = m_parser.get().body();
        target.data = body.data() + filled;
        target.size = body.size() - filled;
        target.more = true;
        auto [failed, size] =
            co_await http::async_read_some(m_stream, m_buffer, m_parser, use_tuple);
        filled = body.size() - target.size;
        if (failed && failed != http::error::need_buffer) {
            co_return body_result{m_memory.is_evicted() ? body_end::no_memory : body_end::failed,
                                  m_memory.is_evicted() ? boost::system::error_code{} : failed};
        }
    }
    body.resize(filled);
    // The request to the endpoint has a copy of the body.
    const auto needed = m_head_bytes + m_buffer.capacity() + body.capacity() + body.size();
    bool is_held = m_memory.hold(needed);
    if (!is_held) {
        is_held = co_await m_memory.borrow(needed);
    }
    const bool may_serve = is_held && m_memory.enter(coordination::holder_phase::serving);
    co_return body_result{may_serve ? body_end::complete : body_end::no_memory, {}};
}

} // namespace savoryrelay::transport
