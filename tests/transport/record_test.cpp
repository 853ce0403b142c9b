// Tests the record's writer, segment format and verifier together.
#include "support/faulty_platform.h"
#include "support/record_chain.h"

#include "savoryrelay/coordination/record/content_erasure.h"
#include "savoryrelay/protocol/record/record_json.h"

#include <memory>

using namespace savoryrelay;
using state::collect;

namespace {

struct daemon_record {
    daemon_record(const state::platform_hooks& platform, const protocol::record_signing_key& key,
                  const std::string& chain)
        : ring({key}),
          writer({chain, 1024 * 1024, 64 * 1024, 64},
                 {[this](state::segment_draft& draft) {
                      return protocol::seal_segment(draft, ring, protocol::openssl_random_bytes);
                  },
                  protocol::encode_anchor, platform},
                 metrics) {}

    void append(const std::string& content, coordination::durable_hook hook = {}) {
        auto entry = tests::make_entry(0, content, state::record_rule::content);
        REQUIRE(collect([&] {
                    return writer.append(std::move(entry), tests::hour(1), std::move(hook));
                }).has_value());
    }
    bool flush() {
        return collect([&] { return writer.flush(tests::hour(1)); }).has_value();
    }

    state::metrics metrics;
    protocol::record_key_ring ring;
    coordination::record_writer writer;
};

struct verification {
    std::vector<protocol::record_finding> findings;
    protocol::record_summary summary;
    std::vector<std::string> requests;
};

verification verify_store(const state::memory_platform& store,
                          const protocol::record_signing_key& key) {
    verification result;
    std::vector<state::record_anchor> anchors;
    const auto rows = collect([&] { return store.scan_rows("anchor/"); });
    for (const auto& row : rows.value()) {
        anchors.push_back(collect([&] { return protocol::decode_anchor(row.value); }).value());
    }
    protocol::record_verifier verifier(
        {{key.public_key()}, anchors},
        [&](const auto& finding) { result.findings.push_back(finding); },
        [&](const auto&, const auto& entry) { result.requests.push_back(entry.request.value()); });
    const auto names = collect([&] { return store.list_objects("record/"); }).value();
    for (const auto& name : names) {
        if (!name.ends_with(".segment")) {
            continue;
        }
        const auto bytes = collect([&] { return store.get_object(name); }).value();
        verifier.verify_segment(name, protocol::memory_source(bytes));
        const auto stem = name.substr(0, name.size() - std::string(".segment").size()) + ".";
        for (const auto& other : names) {
            if (other.starts_with(stem) && other.ends_with(".content")) {
                const auto content = collect([&] { return store.get_object(other); }).value();
                verifier.verify_content(other, protocol::memory_source(content));
            }
        }
    }
    result.summary = verifier.finish();
    return result;
}

} // namespace

// Guards against a kill that loses an entry whose `on_durable` hook has already been called.
// The run with `use_faulty_variant` loses such an entry, and the verifier must report it.
TEST_CASE("a kill loses only entries whose on_durable hook was not called", "[record]") {
    const auto key = tests::make_key("k1");
    const auto run = [&](bool use_faulty_variant) {
        tests::faulty_platform platform;
        auto hooks = platform.hooks();
        if (use_faulty_variant) {
            // Reports success without storing the object.
            hooks.put_object = [](const auto&, const auto&) -> state::result<void> { return {}; };
        }
        std::size_t hooks_called = 0;
        {
            daemon_record first(hooks, key, "entry-1.1");
            first.append("a", [&] { ++hooks_called; });
            REQUIRE(first.flush());
            first.append("b", [&] { ++hooks_called; });
        } // killed: no close
        daemon_record second(hooks, key, "entry-1.2");
        second.append("c");
        REQUIRE(collect([&] { return second.writer.close(tests::hour(2)); }).has_value());
        REQUIRE(hooks_called == 1);
        return verify_store(platform.store(), key);
    };
    const auto correct = run(false);
    CHECK(correct.findings.empty());
    CHECK(correct.summary.chains == 2);
    CHECK(correct.summary.open_chains == 1);
    CHECK(correct.summary.entries == 3);
    CHECK_FALSE(run(true).findings.empty());
}

// Guards against reporting a segment as damaged because a kill came after it was
// stored and before its anchor was.
TEST_CASE("a kill between segment and anchor leaves a chain that verifies", "[record]") {
    const auto key = tests::make_key("k1");
    tests::faulty_platform platform;
    {
        daemon_record first(platform.hooks(), key, "entry-1.1");
        first.append("a");
        REQUIRE(first.flush());
        platform.store_down = true;
        first.append("b");
        CHECK_FALSE(first.flush());
    }
    const auto found = verify_store(platform.store(), key);
    CHECK(found.findings.empty());
    CHECK(found.summary.unanchored_segments == 1);
}

// Guards against content that remains readable after its erasure, and against an
// erasure that breaks the chain. The run with `use_faulty_variant` stores the content
// where it is never erased, and the test must find that content.
TEST_CASE("erased content is gone and the chain verifies", "[record]") {
    const auto key = tests::make_key("k1");
    const auto run = [&](bool use_faulty_variant) {
        tests::faulty_platform platform;
        daemon_record record(platform.hooks(), key, "entry-1.1");
        if (use_faulty_variant) {
            // Stores the content inside the chained entry, which is never erased.
            auto entry = tests::make_entry(0);
            entry.subject = "ten gilded vanes";
            REQUIRE(
                collect([&] { return record.writer.append(entry, tests::hour(1)); }).has_value());
        } else {
            record.append("ten gilded vanes");
        }
        REQUIRE(record.flush());
        const auto erased = collect([&] {
            return coordination::erase_customer_content(platform.hooks(), record.writer,
                                                        state::customer_id("gilded-vane"),
                                                        "operator-1", tests::hour(2));
        });
        REQUIRE(erased.has_value());
        REQUIRE(collect([&] { return record.writer.close(tests::hour(2)); }).has_value());
        const auto found = verify_store(platform.store(), key);
        CHECK(found.findings.empty());
        CHECK(found.summary.entries == 4);
        bool content_remains = false;
        const auto names = collect([&] { return platform.store().list_objects("record/"); });
        for (const auto& name : names.value()) {
            const auto bytes = collect([&] { return platform.store().get_object(name); }).value();
            content_remains = content_remains || bytes.find("gilded vanes") != std::string::npos;
        }
        return content_remains;
    };
    CHECK_FALSE(run(false));
    CHECK(run(true));
}

// Guards against the deletion of a chain, or of its last segment, that the verifier
// does not detect.
TEST_CASE("a deleted chain and a deleted last segment are found by the anchors", "[record]") {
    const auto key = tests::make_key("k1");
    tests::faulty_platform platform;
    daemon_record record(platform.hooks(), key, "entry-1.1");
    record.append("a");
    REQUIRE(record.flush());
    record.append("b");
    REQUIRE(record.flush());
    auto& store = platform.store();
    const auto remove = [&](std::uint64_t number) {
        return collect(
                   [&] { return store.delete_object(state::segment_object("entry-1.1", number)); })
            .has_value();
    };
    REQUIRE(remove(2));
    CHECK(verify_store(store, key).findings.at(0).damage ==
          protocol::record_damage::missing_segment);
    REQUIRE(remove(1));
    CHECK(verify_store(store, key).findings.at(0).damage == protocol::record_damage::missing_chain);
}
