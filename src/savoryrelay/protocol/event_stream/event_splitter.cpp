// Finds the boundaries, the token numbers and the final event of an event stream.
#include "savoryrelay/protocol/event_stream/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace savoryrelay::protocol {
namespace {

constexpr std::string_view boundary = "\n\n";
constexpr std::string_view id_field = "id: ";
constexpr std::string_view data_field = "data";
constexpr std::string_view final_event = "data: [DONE]";

// Returns whether a line of the event begins with the name of the data field.
bool has_data(std::string_view event) {
    for (auto at = event.find(data_field); at != std::string_view::npos;
         at = event.find(data_field, at + 1)) {
        if (at == 0 || event[at - 1] == '\n') {
            return true;
        }
    }
    return false;
}

// Returns whether each line of the event is empty or a comment.
bool is_comment(std::string_view event) {
    while (!event.empty()) {
        if (event.front() != ':' && event.front() != '\n') {
            return false;
        }
        event.remove_prefix(std::min(event.find('\n'), event.size() - 1) + 1);
    }
    return true;
}

std::optional<std::uint64_t> token_number(std::string_view event) {
    // Other fields of the event may come before its number.
    while (!event.starts_with(id_field)) {
        const auto line_end = event.find('\n');
        if (line_end == std::string_view::npos || line_end + 1 >= event.size()) {
            return std::nullopt;
        }
        event.remove_prefix(line_end + 1);
    }
    event.remove_prefix(id_field.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(event.data(), event.data() + event.size(), number);
    if (parsed.ec != std::errc{} || number > event_splitter::max_token) {
        return std::nullopt;
    }
    return number;
}

} // namespace

state::result<void> event_splitter::append(std::string_view bytes) {
    m_ready.erase(0, m_taken_size);
    m_events_size -= std::min(m_events_size, m_taken_size);
    m_taken_size = 0;
    m_pending.append(bytes);

    // Process every complete event and keep the rest for the next call.
    std::size_t begin = 0;
    for (auto end = m_pending.find(boundary); end != std::string::npos;
         end = m_pending.find(boundary, begin)) {
        const auto next = end + boundary.size();
        process_event(std::string_view(m_pending).substr(begin, next - begin));
        begin = next;
    }
    m_pending.erase(0, begin);
    if (m_ready.size() - m_events_size + m_pending.size() > max_event_bytes) {
        return state::fail(state::failure_kind::message_damaged,
                           "more than " + std::to_string(max_event_bytes) +
                               " bytes of the stream hold no event");
    }
    return {};
}

void event_splitter::process_event(std::string_view event) {
    if (m_finished) {
        return;
    }
    if (const auto number = token_number(event)) {
        if (*number < m_next_token) {
            return;
        }
        m_next_token = *number + 1;
        ++m_tokens;
    } else if (has_data(event)) {
        m_finished = event.starts_with(final_event);
    } else {
        m_comments += is_comment(event) ? 1 : 0;
        m_ready.append(event);
        return;
    }
    ++m_new_events;
    m_ready.append(event);
    m_events_size = m_ready.size();
}

std::string_view event_splitter::take() {
    m_taken_size = m_events_size;
    return std::string_view(m_ready).substr(0, m_events_size);
}

std::string_view event_splitter::take_rest() {
    const auto begin = m_taken_size;
    m_taken_size = m_ready.size();
    return std::string_view(m_ready).substr(begin);
}

void event_splitter::resume() {
    m_pending.clear();
    m_ready.clear();
    m_taken_size = 0;
    m_events_size = 0;
}

} // namespace savoryrelay::protocol
