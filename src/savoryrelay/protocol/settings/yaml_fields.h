// Strict access to the fields of a YAML mapping. yaml-cpp silently accepts unknown and
// duplicate keys. This class reports both, and the nearest known name for an unknown
// key.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/failure.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// The fields of one YAML mapping. Each read makes its field known; `finish` then
/// reports the fields that were never read. All failures have the kind passed to the
/// constructor.
class yaml_fields {
public:
    /// `path` is the name of the mapping in messages, for example "callers".
    yaml_fields(YAML::Node node, std::string path, state::failure_kind kind);

    /// Returns the text of field `name`, or `fallback` if it is absent.
    std::string text(std::string_view name, std::string fallback);
    /// Returns the text of field `name`. A missing or empty field is a problem.
    std::string required_text(std::string_view name);
    /// Returns a whole number within [low, high], or `fallback` if the field is absent.
    std::uint64_t number(std::string_view name, std::uint64_t fallback, std::uint64_t low,
                         std::uint64_t high);
    /// Returns a real number within [low, high], or `fallback` if the field is absent.
    double real(std::string_view name, double fallback, double low, double high);
    bool flag(std::string_view name, bool fallback);
    std::vector<std::string> text_list(std::string_view name);
    /// Returns a nested mapping, which is empty if the field is absent.
    yaml_fields mapping(std::string_view name);
    /// Returns the mappings of a sequence, or none if the field is absent.
    std::vector<yaml_fields> mappings(std::string_view name);

    /// Returns an enumerator by its name in the table of names, or `fallback` if the
    /// field is absent.
    template <typename Enum>
    Enum choice(std::string_view name, Enum fallback) {
        const auto scalar = text(name, std::string(state::to_name(fallback)));
        const auto value = state::from_name<Enum>(scalar);
        if (value) {
            return *value;
        }
        std::string known;
        for (const auto& row : state::enum_table<Enum>::rows) {
            known += (known.empty() ? "" : ", ") + std::string(row.name);
        }
        add_problem("'" + path_of(name) + "' is '" + scalar + "', but must be one of " + known);
        return fallback;
    }

    /// Adds a problem that the caller found.
    void add_problem(std::string problem);
    /// Returns the path of field `name` for messages.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Fails with the first problem of this mapping. Unknown and duplicate fields are
    /// problems too. Call this on each mapping after its fields are read.
    [[nodiscard]] state::result<void> finish() const;

private:
    YAML::Node find(std::string_view name);

    YAML::Node m_node;
    std::string m_path;
    state::failure_kind m_kind;
    std::vector<std::string> m_known_names;
    // Problems of this mapping only. Each nested mapping has its own `finish`.
    std::vector<std::string> m_problems;
};

/// Parses `text` as YAML. Fails with `kind` if it is too long, not valid YAML or not a
/// mapping.
[[nodiscard]] state::result<YAML::Node> parse_yaml(const std::string& text,
                                                   state::failure_kind kind);

} // namespace savoryrelay::protocol
