// Records on disk: a folder of segment files, or an export file.
#pragma once

#include "savoryrelay/protocol/record/record_export.h"
#include "savoryrelay/protocol/record/record_verifier.h"

#include <functional>
#include <optional>
#include <string>

namespace savoryrelay::ctl {

/// A segment or content object. Its source is valid during the call only.
struct record_file {
    protocol::export_kind kind = protocol::export_kind::segment;
    std::string name; ///< "<chain>/<number>..."
    std::uint64_t size = 0;
    protocol::byte_source source;
};

/// Called for each file; segments of a chain in order, each before its content.
using record_file_hook = std::function<state::result<void>(const record_file&)>;

/// Calls `visit` for each file of the folder or export file `path`, one file
/// open at a time. Fails with `not_found` or `record_damaged`.
[[nodiscard]] state::result<void> visit_record(const std::string& path,
                                               const record_file_hook& visit);

/// Public material: from the given files, or else from `public-keys.json` and
/// `anchors.json` in the folder, or from the export file. Without a key list
/// `keys` is empty; without anchors `anchors` is.
[[nodiscard]] state::result<protocol::verifier_material>
read_material(const std::string& path, const std::optional<std::string>& keys_file,
              const std::optional<std::string>& anchors_file);

} // namespace savoryrelay::ctl
