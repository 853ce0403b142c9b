// Encodes and decodes the JSON messages of the platform's table service, object store
// and host list. Each decoder fails with `message_damaged`.
#pragma once

#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/platform/platform_hooks.h"

#include <optional>
#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// Encodes the body of POST /v1/table/transact:
/// {write_key, checks: [{key, version}], puts: [{key, value}], deletes: [key]}.
[[nodiscard]] std::string encode_transaction(const state::table_transaction& transaction);
/// Decodes the output of `encode_transaction`.
[[nodiscard]] state::result<state::table_transaction> decode_transaction(const std::string& text);

/// Encodes the answer of POST /v1/table/transact and of GET /v1/table/writes/KEY:
/// {known, committed, version, conflicts: [key]}.
[[nodiscard]] std::string
encode_transaction_result(const std::optional<state::transaction_result>& result);
/// Decodes the output of `encode_transaction_result`. The result is `nullopt` when the
/// platform does not know the write key.
[[nodiscard]] state::result<std::optional<state::transaction_result>>
decode_transaction_result(const std::string& text);

/// Encodes the answer of GET /v1/table/rows and /v1/table/scan:
/// {rows: [{key, value, version}]}.
[[nodiscard]] std::string encode_rows(const std::vector<state::table_row>& rows);
/// Decodes the output of `encode_rows`.
[[nodiscard]] state::result<std::vector<state::table_row>> decode_rows(const std::string& text);

/// Encodes the answer of GET /v1/objects: {names: [name]}.
[[nodiscard]] std::string encode_object_names(const std::vector<std::string>& names);
/// Decodes the output of `encode_object_names`.
[[nodiscard]] state::result<std::vector<std::string>> decode_object_names(const std::string& text);

/// Encodes the answer of GET /v1/hosts:
/// {hosts: [{id, availability_zone, fabric_domain, accelerators, entry_host, leaving}]}.
[[nodiscard]] std::string encode_hosts(const std::vector<state::platform_host>& hosts);
/// Decodes the output of `encode_hosts`.
[[nodiscard]] state::result<std::vector<state::platform_host>>
decode_hosts(const std::string& text);

} // namespace savoryrelay::protocol
