// Fuzzes the decoders of the platform's rows and reports, and of the digests and
// tables that entry hosts exchange.
#include "platform/configuration_codec.h"
#include "platform/runner_codec.h"
#include "savoryrelay/protocol/serving/peer_digest_codec.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace savoryrelay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    static_cast<void>(state::collect([&] { return platform::decode_configuration(text); }));
    static_cast<void>(state::collect(
        [&] { return platform::decode_runner_entry(state::endpoint_id("i-1"), text); }));
    static_cast<void>(state::collect([&] { return platform::decode_report(text); }));
    static_cast<void>(state::collect([&] { return protocol::decode_digest(text); }));
    static_cast<void>(state::collect([&] { return protocol::decode_table(text); }));
    return 0;
}
