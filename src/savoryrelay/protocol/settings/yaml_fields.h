// Strict access to the fields of a YAML mapping. yaml-cpp accepts unknown and
// duplicate keys silently, so this class reports both, with the nearest known
// name.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// The fields of one YAML mapping. Each read names the field; `finish` then
/// reports fields that nobody read. Failures have the kind given at construction.
class yaml_fields {
public:
    /// `path` names the mapping in messages, for example "callers".
    yaml_fields(YAML::Node node, std::string path, state::failure_kind kind);

    /// The text of field `name`, or `fallback` when it is absent.
    std::string text(std::string_view name, std::string fallback);
    /// The text of field `name`; its absence is an error.
    std::string required_text(std::string_view name);
    /// A whole number within [low, high].
    std::uint64_t number(std::string_view name, std::uint64_t fallback, std::uint64_t low,
                         std::uint64_t high);
    /// A real number within [low, high].
    double real(std::string_view name, double fallback, double low, double high);
    bool flag(std::string_view name, bool fallback);
    std::vector<std::string> text_list(std::string_view name);
    /// A mapping below this one. Absent: an empty mapping.
    yaml_fields mapping(std::string_view name);
    /// The mappings of a sequence. Absent: none.
    std::vector<yaml_fields> mappings(std::string_view name);

    /// A value of an enumeration by its table of names.
    template <typename Enum>
    Enum choice(std::string_view name, Enum fallback) {
        const auto written = text(name, std::string(state::to_name(fallback)));
        const auto value = state::from_name<Enum>(written);
        if (value) {
            return *value;
        }
        std::string known;
        for (const auto& row : state::enum_table<Enum>::rows) {
            known += (known.empty() ? "" : ", ") + std::string(row.name);
        }
        note("'" + path_of(name) + "' is '" + written + "', but must be one of " + known);
        return fallback;
    }

    /// Adds a problem found by the caller.
    void note(std::string problem);
    /// The path of field `name` in messages.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Fails with the first problem of this mapping, an unknown or a duplicate
    /// field included. Call it on each mapping after its fields are read.
    [[nodiscard]] state::result<void> finish() const;

private:
    YAML::Node find(std::string_view name);

    YAML::Node m_node;
    std::string m_path;
    state::failure_kind m_kind;
    std::vector<std::string> m_known;
    // Problems of this mapping alone; each mapping below it has a `finish` of its own.
    std::vector<std::string> m_problems;
};

/// Parses `text` as YAML. Fails with `kind` when it is not a mapping.
[[nodiscard]] state::result<YAML::Node> parse_yaml(const std::string& text,
                                                   state::failure_kind kind);

} // namespace savoryrelay::protocol
