// Defines the interface to the platform's transactional table, object store and
// host list: rows, conditional transactions and the hooks that execute the calls.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// A row of the table. `version` increases with each write; 0 means that the row is
/// absent.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t era = 0; ///< of the store that answered; see `store_version`
};

/// A condition of a transaction: the row must have the version `version`, or be
/// absent if it is 0.
struct row_check {
    std::string key;
    std::uint64_t version = 0;
};

/// A row that a transaction writes.
struct row_put {
    std::string key;
    std::string value;
};

/// A conditional transaction, which is applied as a whole or not at all. The
/// platform keeps its result under `write_key`, so that the result can be read
/// after a lost reply. A second transaction with the same key is not applied.
struct table_transaction {
    std::string write_key;
    std::vector<row_check> checks;
    std::vector<row_put> puts;
    std::vector<std::string> deletes;
};

/// The result of a transaction that the platform has committed or refused.
struct transaction_result {
    bool committed = false;
    std::uint64_t version = 0;          ///< version of the written rows if committed
    std::vector<std::string> conflicts; ///< keys whose check failed
    std::uint64_t era = 0;              ///< of the store that answered; see `store_version`
};

/// A host on the platform's list. The list may be out of date.
struct platform_host {
    host_id id;
    availability_zone_id availability_zone;
    fabric_domain_id fabric_domain;
    std::uint32_t accelerators = 0;
    bool entry_host = false; ///< runs savoryrelayd rather than a model engine
    bool leaving = false;
};

/// The platform's services. Each call blocks. It fails with `store_unavailable`
/// when it had no effect, and with `store_result_unknown` when it may have had one.
struct platform_hooks {
    std::function<result<transaction_result>(const table_transaction&)> transact;
    /// Returns the result kept under a write key, or nothing when the platform never
    /// received the key.
    std::function<result<std::optional<transaction_result>>(const std::string& write_key)>
        read_write_result;
    std::function<result<table_row>(const std::string& key)> read_row;
    std::function<result<std::vector<table_row>>(const std::string& prefix)> scan_rows;
    /// Stores an object. Fails with `store_conflict` when the object exists with other
    /// content; an object is never replaced.
    std::function<result<void>(const std::string& name, const std::string& content)> put_object;
    std::function<result<std::string>(const std::string& name)> get_object;
    std::function<result<std::vector<std::string>>(const std::string& prefix)> list_objects;
    std::function<result<std::vector<platform_host>>()> list_hosts;
    /// Removes an object. Succeeds also when the object is absent. Only the erasure
    /// of a customer's recorded content uses it.
    std::function<result<void>(const std::string& name)> delete_object;
};

} // namespace savoryrelay::state
