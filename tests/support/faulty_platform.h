// Defines a platform that injects faults: calls fail, a reply is lost after the
// transaction took effect, a transaction is applied later than it was sent, or a
// callback runs before or after a transaction.
#pragma once

#include "savoryrelay/state/platform/memory_platform.h"

#include <functional>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// Wraps a `memory_platform` and injects faults into its hooks.
class faulty_platform {
public:
    bool store_down = false;         ///< table and host list calls fail without effect
    bool object_store_down = false;  ///< object store calls fail without effect
    int lose_next_replies = 0;       ///< number of transactions that take effect, then fail
    int fail_next_transactions = 0;  ///< number of transactions that fail without effect
    std::size_t transactions = 0;    ///< number of transactions that reached the store
    std::size_t reads = 0;           ///< number of reads that reached the store
    int delay_next_transactions = 0; ///< transactions that fail, but may be applied later
    std::vector<state::table_transaction> delayed; ///< not applied yet
    std::function<void()> before_transact;         ///< runs before each transaction, for races
    std::function<void()> after_transact;          ///< runs before the reply to a transaction

    /// Returns the store without the faults.
    state::memory_platform& store() { return m_store; }

    /// Returns hooks that inject the faults. This object must outlive them.
    state::platform_hooks hooks() {
        auto inner = m_store.hooks();
        state::platform_hooks outer;
        outer.transact = [this, inner](const state::table_transaction& transaction)
            -> state::result<state::transaction_result> {
            // A callback may replace itself.
            if (const auto callback = before_transact) {
                callback();
            }
            if (store_down || fail_next_transactions > 0) {
                fail_next_transactions -= fail_next_transactions > 0 ? 1 : 0;
                return unavailable();
            }
            ++transactions;
            if (delay_next_transactions > 0) {
                --delay_next_transactions;
                delayed.push_back(transaction);
                return state::fail(state::failure_kind::store_result_unknown, "no reply");
            }
            BOOST_LEAF_AUTO(outcome, inner.transact(transaction));
            if (const auto callback = after_transact) {
                callback();
            }
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

    /// Applies the delayed transactions in the order in which they were sent, if their conditions
    /// still hold.
    void apply_delayed() {
        for (const auto& transaction : std::exchange(delayed, {})) {
            static_cast<void>(state::collect([&] { return m_store.transact(transaction); }));
        }
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
