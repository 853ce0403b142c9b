// A platform whose table can be down, lose a reply after the effect, or call
// back before a transaction, so that tests can place a fault at each step.
#pragma once

#include "savoryrelay/state/platform/memory_platform.h"

#include <functional>
#include <utility>

namespace savoryrelay::tests {

/// Wraps a `memory_platform` and injects faults into its hooks.
class faulty_platform {
public:
    bool store_down = false;               ///< each table call fails without effect
    bool object_store_down = false;        ///< each object call fails without effect
    int lose_next_replies = 0;             ///< so many transactions take effect and then fail
    int fail_next_transactions = 0;        ///< so many transactions fail without effect
    std::size_t transactions = 0;          ///< transactions that reached the store
    std::size_t reads = 0;                 ///< reads that reached the store
    std::function<void()> before_transact; ///< runs before each transaction, for races

    /// The store behind the faults.
    state::memory_platform& store() { return m_store; }

    /// Hooks with the faults; this object must outlive them.
    state::platform_hooks hooks() {
        auto inner = m_store.hooks();
        state::platform_hooks outer;
        outer.transact = [this, inner](const state::table_transaction& transaction)
            -> state::result<state::transaction_result> {
            if (before_transact) {
                before_transact();
            }
            if (store_down || fail_next_transactions > 0) {
                fail_next_transactions -= fail_next_transactions > 0 ? 1 : 0;
                return unavailable();
            }
            ++transactions;
            BOOST_LEAF_AUTO(outcome, inner.transact(transaction));
            if (lose_next_replies > 0) {
                --lose_next_replies;
                return state::fail(state::failure_kind::store_result_unknown, "reply lost");
            }
            return outcome;
        };
        outer.read_write_result = guard_read(inner.read_write_result);
        outer.read_row = guard_read(inner.read_row);
        outer.scan_rows = guard_read(inner.scan_rows);
        outer.list_hosts = guard_read(inner.list_hosts);
        outer.put_object = guard_object(inner.put_object);
        outer.get_object = guard_object(inner.get_object);
        outer.list_objects = guard_object(inner.list_objects);
        outer.delete_object = guard_object(inner.delete_object);
        return outer;
    }

private:
    static boost::leaf::error_id unavailable() {
        return state::fail(state::failure_kind::store_unavailable, "store is down");
    }

    template <typename Result, typename... Arguments>
    std::function<Result(Arguments...)> guard_read(std::function<Result(Arguments...)> inner) {
        return [this, inner = std::move(inner)](Arguments... arguments) -> Result {
            if (store_down) {
                return unavailable();
            }
            ++reads;
            return inner(arguments...);
        };
    }

    template <typename Result, typename... Arguments>
    std::function<Result(Arguments...)> guard_object(std::function<Result(Arguments...)> inner) {
        return [this, inner = std::move(inner)](Arguments... arguments) -> Result {
            if (object_store_down) {
                return unavailable();
            }
            return inner(arguments...);
        };
    }

    state::memory_platform m_store;
};

} // namespace savoryrelay::tests
