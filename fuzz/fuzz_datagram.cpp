// Fuzzes the decoder of peer datagrams with the bodies that a holder of the key could
// send. Passes each accepted message to a membership, and checks that the message and
// the answers to it can be encoded.
#include "savoryrelay/coordination/membership/membership.h"
#include "savoryrelay/protocol/peer/peer_codec.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace savoryrelay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    const protocol::peer_keys keys{{1, std::string(32, 'k')}, std::nullopt};

    // A datagram without a valid signature must be refused.
    if (state::collect([&] { return protocol::decode_datagram(body, keys); })) {
        std::abort();
    }
    if (size > state::max_datagram_bytes - protocol::frame_header_bytes) {
        return 0;
    }
    const auto message = state::collect([&] { return protocol::decode_datagram_body(body); });
    if (!message) {
        return 0;
    }
    if (!state::collect([&] { return protocol::encode_datagram(message.value(), keys); })) {
        std::abort();
    }

    std::mt19937_64 random(1);
    coordination::membership receiver({state::member_id("self"), {"127.0.0.1", 7000}, 1, {}}, {},
                                      {}, {});
    auto answers = receiver.receive(message.value(), state::time_point{}, random);
    const auto tick_messages = receiver.tick(state::time_point{}, random);
    answers.insert(answers.end(), tick_messages.begin(), tick_messages.end());
    for (const auto& answer : answers) {
        if (!state::collect([&] { return protocol::encode_datagram(answer.message, keys); })) {
            std::abort();
        }
    }
    return 0;
}
