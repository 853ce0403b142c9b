// Defines a platform that injects faults: calls fail, a reply is lost after the
// transaction took effect, or a callback runs before a transaction.
#pragma once

#include "savoryrelay/state/platform/memory_platform.h"

#include <functional>
#include <utility>

namespace savoryrelay::tests {

/// Wraps a `memory_platform` and injects faults into its hooks.
class faulty_platform {
public:
    bool store_down = false;               ///< table and host list calls fail without effect
    bool object_store_down = false;        ///< object store calls fail without effect
    int lose_next_replies = 0;             ///< number of transactions that take effect, then fail
    int fail_next_transactions = 0;        ///< number of transactions that fail without effect
    std::size_t transactions = 0;          ///< number of transactions that reached the store
    std::size_t reads = 0;                 ///< number of reads that reached the store
    std::function<void()> before_transact; ///< runs before each transaction, for races

    /// Returns the store without the faults.
    state::memory_platform& store() { return m_store; }

    /// Returns hooks that inject the faults. This object must outlive them.
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
        outer.read_write_result = with_store_faults(inner.read_write_result);
        outer.read_row = with_store_faults(inner.read_row);
        outer.scan_rows = with_store_faults(inner.scan_rows);
        outer.list_hosts = with_store_faults(inner.list_hosts);
        outer.put_object = with_object_store_faults(inner.put_object);
        outer.get_object = with_object_store_faults(inner.get_object);
        outer.list_objects = with_object_store_faults(inner.list_objects);
        outer.delete_object = with_object_store_faults(inner.delete_object);
        return outer;
    }

private:
    static boost::leaf::error_id unavailable() {
        return state::fail(state::failure_kind::store_unavailable, "store is down");
    }

    template <typename Result, typename... Arguments>
    std::function<Result(Arguments...)>
    with_store_faults(std::function<Result(Arguments...)> inner) {
        return [this, inner = std::move(inner)](Arguments... arguments) -> Result {
            if (store_down) {
                return unavailable();
            }
            ++reads;
            return inner(arguments...);
        };
    }

    template <typename Result, typename... Arguments>
    std::function<Result(Arguments...)>
    with_object_store_faults(std::function<Result(Arguments...)> inner) {
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
