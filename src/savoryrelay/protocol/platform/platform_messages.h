// JSON messages of the platform's table service, object store and host list.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/platform/table_row.h"

#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// POST /v1/table/transact: {write_key, checks: [{key, version}], puts: [{key, value}], deletes:
/// [key]}.
[[nodiscard]] std::string write_transaction(const state::table_transaction& transaction);
[[nodiscard]] state::result<state::table_transaction> read_transaction(const std::string& text);

/// Its answer, and GET /v1/table/writes/KEY: {known, committed, version, conflicts: [key]}.
[[nodiscard]] std::string
write_transaction_result(const std::optional<state::transaction_result>& outcome);
/// Nothing when the platform does not know the write key.
[[nodiscard]] state::result<std::optional<state::transaction_result>>
read_transaction_result(const std::string& text);

/// GET /v1/table/rows and /v1/table/scan: {rows: [{key, value, version}]}.
[[nodiscard]] std::string write_rows(const std::vector<state::table_row>& rows);
[[nodiscard]] state::result<std::vector<state::table_row>> read_rows(const std::string& text);

/// GET /v1/objects: {names: [name]}.
[[nodiscard]] std::string write_names(const std::vector<std::string>& names);
[[nodiscard]] state::result<std::vector<std::string>> read_names(const std::string& text);

/// GET /v1/hosts: {hosts: [{id, availability_zone, fabric_domain, accelerators, entry_host,
/// leaving}]}.
[[nodiscard]] std::string write_hosts(const std::vector<state::platform_host>& hosts);
[[nodiscard]] state::result<std::vector<state::platform_host>> read_hosts(const std::string& text);

} // namespace savoryrelay::protocol
