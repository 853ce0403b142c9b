// Tests the record's settings: defaults, ranges and the key's validity period.
#include "savoryrelay/protocol/settings/daemon_settings.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace savoryrelay;

namespace {

// The settings are held by pointer, because g++ 12 falsely warns of uninitialized
// members when it inlines their copy into the failure handling.
using settings_pointer = std::shared_ptr<const protocol::daemon_settings>;

state::attempt<settings_pointer> read(const std::string& record) {
    return state::collect([&]() -> state::result<settings_pointer> {
        BOOST_LEAF_AUTO(settings, protocol::read_daemon_settings(
                                      "member: {id: m1, availability_zone: zone-a}\nrecord: {" +
                                      record + "}\n"));
        return std::make_shared<const protocol::daemon_settings>(std::move(settings));
    });
}

} // namespace

TEST_CASE("record settings outside their ranges are refused", "[settings]") {
    // Guards against a memory limit or a flush interval with which the record could
    // not work.
    const auto defaults = read("");
    REQUIRE(defaults);
    CHECK(defaults.value()->record.key_file.empty());
    CHECK(defaults.value()->record.memory_limit_bytes == 16U * 1024 * 1024);
    CHECK(defaults.value()->record.flush_interval == state::milliseconds(1'000));
    CHECK(read("memory_limit_bytes: 1048576, segment_bytes: 65536, flush_interval_ms: 10"));
    CHECK(read("key_valid_from: 2026-01-01, key_valid_until: 2027-01-01"));
    for (const auto* invalid :
         {"memory_limit_bytes: 1048575", "memory_limit_bytes: 4294967297", "segment_bytes: 65535",
          "segment_bytes: 67108865", "flush_interval_ms: 9", "flush_interval_ms: 60001",
          "retention_days: 0", "retention_days: 36501", "key_id: ''", "key_valid_from: soon",
          "key_valid_from: 2027-01-01, key_valid_until: 2027-01-01", "key_fil: x"}) {
        INFO(invalid);
        const auto refused = read(invalid);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == state::failure_kind::invalid_settings);
        CHECK(refused.error().detail.find("record.") != std::string::npos);
    }
}
