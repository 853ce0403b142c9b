// Fuzzes the decoders of segments, content objects and export files.
#include "savoryrelay/protocol/record/record_export.h"
#include "savoryrelay/protocol/record/record_verifier.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace savoryrelay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    protocol::record_verifier verifier({{}, std::nullopt}, [](const auto&) {});
    verifier.verify_segment("record/chain/0000000001.segment", protocol::memory_source(bytes));
    static_cast<void>(verifier.finish());

    protocol::content_reader contents(protocol::memory_source(bytes));
    std::string chain;
    std::uint64_t number = 0;
    state::customer_id customer;
    protocol::content_part part;
    if (contents.read_header(chain, number, customer)) {
        while (contents.next(part)) {
        }
    }

    protocol::export_reader frames(protocol::memory_source(bytes));
    protocol::export_frame_header frame;
    if (frames.read_start()) {
        while (frames.next(frame)) {
        }
    }
    return 0;
}
