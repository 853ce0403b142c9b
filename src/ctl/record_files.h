// Reads records from disk: a folder of segment files, or an export file.
#pragma once

#include "savoryrelay/protocol/record/record_export.h"
#include "savoryrelay/protocol/record/record_verifier.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::ctl {

/// A segment or content object. `source` is valid only during the call of the hook.
struct record_file {
    protocol::export_kind kind = protocol::export_kind::segment;
    std::string name; ///< "<chain>/<number>..."
    std::uint64_t size = 0;
    protocol::byte_source source;
};

/// Called for each file. The segments of a chain come in order, each before its content.
using record_file_hook = std::function<state::result<void>(const record_file&)>;

/// Calls `visit` for each segment and content object in the folder or export file
/// `path`. Only one file is open at a time. Fails with `not_found` or `record_damaged`.
[[nodiscard]] state::result<void> visit_record(const std::string& path,
                                               const record_file_hook& visit);

/// Reads the public keys and anchors from the given files, or else from
/// `public-keys.json` and `anchors.json` in the folder `path`, or from the export
/// file `path`. `keys` or `anchors` is empty when none is found.
[[nodiscard]] state::result<protocol::verifier_inputs>
read_verifier_inputs(const std::string& path, const std::optional<std::string>& keys_file,
                     const std::optional<std::string>& anchors_file);

} // namespace savoryrelay::ctl
