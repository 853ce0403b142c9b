// Tests the bounded queue, the batches and the anchors of the record writer.
#include "support/faulty_platform.h"

#include "savoryrelay/coordination/record/record_writer.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace savoryrelay;
using coordination::record_writer;
using state::collect;
using state::failure_kind;

namespace {

// Encodes a segment as the list of its sequences, so that tests can check the
// order.
state::result<state::sealed_segment> list_sequences(state::segment_draft& draft) {
    state::sealed_segment sealed;
    for (const auto& entry : draft.entries) {
        sealed.bytes += std::to_string(entry.sequence) + " ";
    }
    sealed.digest = state::sha256(sealed.bytes);
    return sealed;
}

struct fixture {
    tests::faulty_platform platform;
    state::metrics metrics;
    coordination::record_settings settings{"c1", 64 * 1024, 4 * 1024, 16};

    record_writer make() {
        return {settings,
                {list_sequences, [](const auto& anchor) { return std::to_string(anchor.segment); },
                 platform.hooks()},
                metrics};
    }
    std::string anchor() {
        return collect([&] { return platform.store().read_row("anchor/c1"); }).value().value;
    }
    std::size_t segments() {
        return collect([&] { return platform.store().list_objects("record/c1/"); }).value().size();
    }
};

state::record_entry entry_of(state::record_kind kind, std::string request = "r1") {
    state::record_entry entry;
    entry.kind = kind;
    entry.request = state::request_id(std::move(request));
    return entry;
}

bool append(record_writer& writer, state::record_kind kind, coordination::durable_hook hook = {}) {
    return collect([&] { return writer.append(entry_of(kind), {}, std::move(hook)); }).has_value();
}

bool flush(record_writer& writer) {
    return collect([&] { return writer.flush({}); }).has_value();
}

std::size_t fill(record_writer& writer, state::record_kind kind) {
    std::size_t count = 0;
    while (count < 10'000 && append(writer, kind)) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against a queue that grows without limit while the object store is
// unavailable.
TEST_CASE("memory stays within its limit while the object store is unavailable", "[record]") {
    fixture f;
    f.platform.object_store_down = true;
    auto writer = f.make();
    CHECK(fill(writer, state::record_kind::request_accepted) < 10'000);
    CHECK(writer.queued_bytes() <= f.settings.memory_limit_bytes * 9 / 10);
    CHECK_FALSE(flush(writer));

    // Above 90% of the limit, outcomes of accepted work are still queued.
    CHECK(append(writer, state::record_kind::request_ended));
    fill(writer, state::record_kind::request_ended);
    CHECK(writer.queued_bytes() <= f.settings.memory_limit_bytes);
    const auto refused = collect([&] { return writer.accepts_new_work(); });
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == failure_kind::record_unavailable);
    CHECK(refused.error().reported_outcome() == state::execution_outcome::not_run);

    // No queued entry is lost once the store is available again.
    f.platform.object_store_down = false;
    CHECK(flush(writer));
    CHECK(writer.queued_bytes() == 0);
    CHECK(collect([&] { return writer.accepts_new_work(); }).has_value());

    // Without a limit the same load exceeds it.
    fixture unbounded;
    unbounded.settings.memory_limit_bytes = std::size_t{1} << 40U;
    unbounded.platform.object_store_down = true;
    auto unbounded_writer = unbounded.make();
    fill(unbounded_writer, state::record_kind::request_accepted);
    CHECK(unbounded_writer.queued_bytes() > f.settings.memory_limit_bytes);
}

// Guards against gaps and duplicates in the sequences under concurrent appends.
TEST_CASE("concurrent appends form one sequence without gaps", "[record]") {
    fixture f;
    f.settings.memory_limit_bytes = 64 * 1024 * 1024;
    auto writer = f.make();
    constexpr int threads = 4;
    constexpr int each = 500;
    std::vector<std::thread> appenders;
    for (int i = 0; i < threads; ++i) {
        appenders.emplace_back([&writer, i] {
            for (int j = 0; j < each; ++j) {
                auto entry = entry_of(state::record_kind::booking,
                                      std::to_string(i) + "-" + std::to_string(j));
                static_cast<void>(collect([&] { return writer.append(std::move(entry), {}); }));
            }
        });
    }
    for (int i = 0; i < 20; ++i) {
        CHECK(flush(writer));
    }
    for (auto& thread : appenders) {
        thread.join();
    }
    CHECK(flush(writer));
    std::string found;
    const auto names = collect([&] { return f.platform.store().list_objects("record/c1/"); });
    for (const auto& name : names.value()) {
        found += collect([&] { return f.platform.store().get_object(name); }).value();
    }
    std::string expected;
    for (int i = 1; i <= threads * each; ++i) {
        expected += std::to_string(i) + " ";
    }
    CHECK(found == expected);
}

// Guards against confirming a booking to the caller while a kill can still lose
// its entry.
TEST_CASE("the on_durable hook runs after the entry is stored and anchored", "[record]") {
    fixture f;
    auto writer = f.make();
    bool durable = false;
    REQUIRE(append(writer, state::record_kind::booking, [&] { durable = true; }));
    f.platform.object_store_down = true;
    CHECK_FALSE(flush(writer));
    CHECK_FALSE(durable);
    f.platform.object_store_down = false;
    f.platform.store_down = true;
    CHECK_FALSE(flush(writer));
    CHECK_FALSE(durable);
    CHECK(f.segments() == 1);
    f.platform.store_down = false;
    CHECK(flush(writer));
    CHECK(durable);
    CHECK(f.anchor() == "1");
}

// Guards against anchoring that never succeeds again after a lost reply.
TEST_CASE("an anchor write with a lost reply is repeated with its write key", "[record]") {
    const auto run = [](bool new_write_keys) {
        fixture f;
        auto hooks = f.platform.hooks();
        int attempts = 0;
        if (new_write_keys) {
            hooks.transact = [&, inner = hooks.transact](auto transaction) {
                transaction.write_key += std::to_string(++attempts);
                return inner(transaction);
            };
        }
        record_writer writer(f.settings,
                             {list_sequences,
                              [](const auto& anchor) { return std::to_string(anchor.segment); },
                              hooks},
                             f.metrics);
        f.platform.lose_next_replies = 1;
        append(writer, state::record_kind::booking);
        CHECK_FALSE(flush(writer));
        append(writer, state::record_kind::booking);
        const bool recovered = flush(writer);
        return recovered && f.anchor() == "2";
    };
    CHECK(run(false));
    CHECK_FALSE(run(true));
}

// Guards against two processes that write the same chain.
TEST_CASE("an anchor that another process wrote is a conflict", "[record]") {
    fixture f;
    auto writer = f.make();
    static_cast<void>(collect([&] {
        return f.platform.store().transact({"other", {}, {{"anchor/c1", "9"}}, {}});
    }));
    append(writer, state::record_kind::booking);
    const auto refused = collect([&] { return writer.flush({}); });
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == failure_kind::store_conflict);
}

// Guards against a graceful stop that drops entries which the store refused at
// first.
TEST_CASE("close can be repeated until everything is written", "[record]") {
    fixture f;
    f.platform.object_store_down = true;
    auto writer = f.make();
    fill(writer, state::record_kind::request_ended);
    CHECK_FALSE(collect([&] { return writer.close({}); }).has_value());
    f.platform.object_store_down = false;
    CHECK(collect([&] { return writer.close({}); }).has_value());
    CHECK(writer.queued_bytes() == 0);
    CHECK_FALSE(append(writer, state::record_kind::request_ended));
}

// Guards against a flushing thread that is not woken for an urgent entry, and
// against one that calls a failing store once for each entry.
TEST_CASE("an urgent entry ends the wait unless the last flush failed", "[record]") {
    fixture f;
    auto writer = f.make();
    append(writer, state::record_kind::booking);
    CHECK_FALSE(writer.wait(std::chrono::milliseconds(1)));
    append(writer, state::record_kind::booking, [] {});
    CHECK(writer.wait(std::chrono::minutes(1)));

    f.platform.object_store_down = true;
    CHECK_FALSE(flush(writer));
    append(writer, state::record_kind::booking, [] {});
    CHECK_FALSE(writer.wait(std::chrono::milliseconds(1)));
    f.platform.object_store_down = false;
    CHECK(flush(writer));
    append(writer, state::record_kind::booking, [] {});
    CHECK(writer.wait(std::chrono::minutes(1)));
}

// Guards against a text field whose length the format cannot encode.
TEST_CASE("an entry with an oversized text field is refused", "[record]") {
    fixture f;
    auto writer = f.make();
    auto entry = entry_of(state::record_kind::operator_change);
    entry.subject.assign(5'000, 'x');
    const auto refused = collect([&] { return writer.append(std::move(entry), {}); });
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == failure_kind::request_too_large);
}
