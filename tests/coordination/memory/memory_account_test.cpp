// Tests what the account of clients' memory grants and which connections it closes.
#include "savoryrelay/coordination/memory/memory_account.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point start{1h};
constexpr std::uint64_t kilobyte = 1024;
constexpr std::uint64_t megabyte = 1024 * kilobyte;

holder_state holder_of(std::uint64_t bytes, holder_phase phase, state::milliseconds age) {
    return {bytes, phase, start - age, false};
}

/// An account of 4 MiB and two connections of callers that records which ones it closes.
struct recording_account {
    memory_account subject{{4 * megabyte, {2, 1, 1, 1}}};
    std::vector<int> closed;

    memory_account::holder_id add(int name, state::time_point at,
                                  listener from = listener::callers) {
        return subject.add(
            from, [this, name] { closed.push_back(name); }, at);
    }
};

} // namespace

TEST_CASE("memory is claimed from what holds most for longest, never from served requests") {
    const std::vector<holder_state> holders{
        holder_of(4 * megabyte, holder_phase::serving, 60s),
        holder_of(2 * megabyte, holder_phase::receiving, 999ms),
        holder_of(1 * megabyte, holder_phase::receiving, 2s),
        holder_of(1 * megabyte, holder_phase::sending, 3s),
        holder_of(16 * kilobyte, holder_phase::idle, 20s),
    };
    CHECK(choose_for_memory(holders, 1, start) == std::vector<std::size_t>{3});
    CHECK(choose_for_memory(holders, megabyte + 1, start) == std::vector<std::size_t>{3, 2});
    CHECK(choose_for_memory(holders, 10 * megabyte, start) == std::vector<std::size_t>{3, 2, 4});
}

TEST_CASE("descriptors are claimed from the connection that is idle for longest") {
    const std::vector<holder_state> holders{
        holder_of(0, holder_phase::serving, 60s), holder_of(0, holder_phase::idle, 1s),
        holder_of(0, holder_phase::receiving, 3s), holder_of(0, holder_phase::idle, 2s),
        holder_of(0, holder_phase::sending, 60s)};
    CHECK(choose_for_descriptors(holders, 2) == std::vector<std::size_t>{2, 3});
    CHECK(choose_for_descriptors(holders, 9) == std::vector<std::size_t>{2, 3, 1});
}

TEST_CASE("large requests leave memory to small ones, and callers to other interfaces") {
    recording_account account;
    const auto large = account.add(1, start);
    const auto small = account.add(2, start);
    const auto probe = account.add(3, start, listener::readiness);
    CHECK(account.subject.hold(large, 3 * megabyte, start) == loan::granted);
    CHECK(account.subject.hold(small, 129 * kilobyte, start) == loan::must_wait);
    CHECK(account.subject.hold(small, 128 * kilobyte, start) == loan::granted);
    CHECK(account.subject.hold(large, 3 * megabyte + 1, start) == loan::must_wait);
    CHECK(account.subject.hold(large, 1, start) == loan::granted);
    CHECK(account.subject.held_bytes() == 128 * kilobyte + 1);
    CHECK(account.subject.hold(probe, kilobyte, start) == loan::granted);
    account.subject.remove(small);
    CHECK(account.subject.held_bytes() == kilobyte + 1);
    CHECK(account.closed.empty());
}

TEST_CASE("a connection that stalls is closed for one that needs memory, and gets no more") {
    recording_account account;
    const auto stalled = account.add(1, start);
    const auto next = account.add(2, start);
    CHECK(account.subject.enter(stalled, holder_phase::receiving, start));
    CHECK(account.subject.hold(stalled, 3 * megabyte, start) == loan::granted);
    CHECK(account.subject.hold(next, megabyte, start + 500ms) == loan::must_wait);
    CHECK(account.closed.empty());
    CHECK(account.subject.hold(next, megabyte, start + 1s) == loan::must_wait);
    CHECK(account.closed == std::vector<int>{1});
    CHECK(account.subject.hold(stalled, 4 * megabyte, start + 1s) == loan::refused);
    CHECK_FALSE(account.subject.enter(stalled, holder_phase::serving, start + 1s));
    account.subject.remove(stalled);
    CHECK(account.subject.hold(next, megabyte, start + 1s) == loan::granted);
    CHECK(account.subject.evicted_for_memory() == 1);
    CHECK(account.subject.connections(listener::callers) == 1);
}

TEST_CASE("a listener with all its connections closes one of its own") {
    recording_account account;
    account.add(1, start, listener::peers);
    account.add(2, start);
    const auto second = account.add(3, start + 1ms);
    account.add(4, start + 2ms);
    CHECK(account.closed == std::vector<int>{2});
    CHECK(account.subject.enter(second, holder_phase::serving, start + 3ms));
    account.add(5, start + 4ms);
    CHECK(account.closed == std::vector<int>{2, 4});
    CHECK(account.subject.connections(listener::callers) == 2);
    CHECK(account.subject.evicted_for_descriptors() == 2);
}

TEST_CASE("the limits of a machine leave memory and descriptors to the process") {
    const auto none = limits_of_machine(0, 0);
    CHECK(none.budget_bytes == 0);
    CHECK(none.connections == std::array<std::size_t, listener_count>{});
    CHECK(limits_of_machine(96, 0).budget_bytes == 32'000'000);
    CHECK(limits_of_machine(260, 0).budget_bytes == 156'000'000);
    const auto limits = limits_of_machine(0, 4'100).connections;
    CHECK(limits == std::array<std::size_t, listener_count>{2'437, 121, 121, 243});
}

TEST_CASE("an account without limits grants everything and counts it") {
    memory_account account{{}};
    const auto id = account.add(
        listener::callers, [] {}, start);
    CHECK(account.hold(id, 1'000 * megabyte, start) == loan::granted);
    CHECK(account.held_bytes() == 1'000 * megabyte);
}
