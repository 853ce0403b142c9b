// JSON forms of public keys, anchors, entries and findings.
#pragma once

#include "savoryrelay/protocol/record/record_verifier.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace savoryrelay::protocol {

/// Formats `time` as UTC, for example "2026-12-04T08:30:00.000Z".
[[nodiscard]] std::string to_utc_text(state::wall_time time);
/// Parses "2026-12-04" or "2026-12-04T08:30:00[.mmm]Z". Fails with `invalid_request`.
[[nodiscard]] state::result<state::wall_time> from_utc_text(const std::string& text);

/// Encodes the value of an anchor row: {"chain", "segment", "digest", "closed"}.
[[nodiscard]] std::string encode_anchor(const state::record_anchor& anchor);
/// Decodes the value of an anchor row. Fails with `record_damaged`.
[[nodiscard]] state::result<state::record_anchor> decode_anchor(const std::string& text);

/// Encodes {"anchors": [...]}, which allows verification without access to the
/// platform's table.
[[nodiscard]] std::string encode_anchors(const std::vector<state::record_anchor>& anchors);
[[nodiscard]] state::result<std::vector<state::record_anchor>>
decode_anchors(const std::string& text);

/// Encodes {"keys": [{"id", "public_key", "valid_from", "valid_until"}]}.
[[nodiscard]] std::string encode_public_keys(const std::vector<record_public_key>& keys);
[[nodiscard]] state::result<std::vector<record_public_key>>
decode_public_keys(const std::string& text);

[[nodiscard]] boost::json::object entry_to_json(const state::segment_header& header,
                                                const state::record_entry& entry);
[[nodiscard]] boost::json::object finding_to_json(const record_finding& finding);
[[nodiscard]] boost::json::object summary_to_json(const record_summary& summary);

} // namespace savoryrelay::protocol
