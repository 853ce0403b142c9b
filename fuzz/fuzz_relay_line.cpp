// Fuzzes the decoders of the lines that open a tunnel between hosts. Checks that an accepted
// line is the one spelling of what was read.
#include "savoryrelay/protocol/relay/relay_messages.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace savoryrelay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view line(reinterpret_cast<const char*>(data), size);
    if (const auto request = protocol::decode_relay_request(line);
        request && protocol::encode_relay_request(*request) != line) {
        std::abort();
    }
    if (const auto reply = protocol::decode_relay_reply(line);
        reply && protocol::encode_relay_reply(*reply) != line) {
        std::abort();
    }
    return 0;
}
