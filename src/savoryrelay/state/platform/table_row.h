// The platform's transactional table and object store, as the decisions see
// them: typed rows, conditional transactions and the hooks that carry them.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A row of the table. `version` grows with each write; 0 means that the row is absent.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// A condition of a transaction: the row's version must be `version` (0: absent).
struct row_check {
    std::string key;
    std::uint64_t version = 0;
};

/// A row to be written by a transaction.
struct row_put {
    std::string key;
    std::string value;
};

/// A conditional transaction. It is applied as a whole or not at all. The
/// platform keeps the result under `write_key`, so that it can be read back
/// after a lost reply; the same key never applies twice.
struct table_transaction {
    std::string write_key;
    std::vector<row_check> checks;
    std::vector<row_put> puts;
    std::vector<std::string> deletes;
};

/// The result of a transaction that the platform decided.
struct transaction_result {
    bool committed = false;
    std::uint64_t version = 0;          ///< version of the written rows when committed
    std::vector<std::string> conflicts; ///< keys whose check failed
};

/// A host on the platform's list, which lags behind reality.
struct platform_host {
    host_id id;
    availability_zone_id availability_zone;
    fabric_domain_id fabric_domain;
    std::uint32_t accelerators = 0;
    bool entry_host = false; ///< runs savoryrelayd rather than a model engine
    bool leaving = false;
};

/// The platform's services. Each call blocks and fails with `store_unavailable`
/// when it certainly had no effect, or `store_result_unknown` when it may have had.
struct platform_hooks {
    std::function<result<transaction_result>(const table_transaction&)> transact;
    /// The result kept under a write key; nothing when the platform never saw it.
    std::function<result<std::optional<transaction_result>>(const std::string& write_key)>
        read_write_result;
    std::function<result<table_row>(const std::string& key)> read_row;
    std::function<result<std::vector<table_row>>(const std::string& prefix)> scan_rows;
    /// Stores an object; an object that exists is never replaced (`store_conflict`).
    std::function<result<void>(const std::string& name, const std::string& content)> put_object;
    std::function<result<std::string>(const std::string& name)> get_object;
    std::function<result<std::vector<std::string>>(const std::string& prefix)> list_objects;
    std::function<result<std::vector<platform_host>>()> list_hosts;
    /// Removes an object; succeeds when it is already absent. Only the erasure
    /// of a customer's recorded content uses it.
    std::function<result<void>(const std::string& name)> delete_object;
};

} // namespace savoryrelay::state
