// Fuzzes the splitter of event streams. Checks that the relayed events do not depend on how
// the bytes arrive, and that token numbers never go back.
#include "savoryrelay/protocol/event_stream/event_splitter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace savoryrelay;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

// Feeds `bytes` in pieces of `piece` bytes. Returns the relayed events.
std::string relay(protocol::event_splitter& events, std::string_view bytes, std::size_t piece) {
    std::string relayed;
    while (!bytes.empty()) {
        const auto next_before = events.next_token();
        const auto part = bytes.substr(0, piece);
        bytes.remove_prefix(part.size());
        require(state::collect([&] { return events.append(part); }).has_value());
        const auto ready = events.take();
        require(ready.empty() || ready.ends_with("\n\n"));
        require(events.next_token() >= next_before);
        relayed += ready;
    }
    return relayed;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size < 2) {
        return 0;
    }
    const std::size_t piece = 1 + data[0];
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);

    protocol::event_splitter in_pieces;
    const auto relayed = relay(in_pieces, bytes, piece);
    protocol::event_splitter at_once;
    require(relay(at_once, bytes, bytes.size()) == relayed);
    require(at_once.tokens() == in_pieces.tokens());
    require(at_once.finished() == in_pieces.finished());

    // Another connection that sends the same events again adds no numbered event.
    in_pieces.resume();
    const auto tokens = in_pieces.tokens();
    const auto next = in_pieces.next_token();
    relay(in_pieces, bytes, piece);
    require(in_pieces.tokens() == tokens);
    require(in_pieces.next_token() == next);
    return 0;
}
