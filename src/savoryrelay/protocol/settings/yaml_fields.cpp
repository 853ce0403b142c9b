// Reads YAML strictly and suggests the nearest known name for a misspelt field.
#include "savoryrelay/protocol/settings/yaml_fields.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <set>

namespace savoryrelay::protocol {
namespace {

// Larger texts cannot be settings and are refused before parsing.
constexpr std::size_t max_yaml_bytes = 4 * 1024 * 1024;

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row[b.size()];
}

std::string nearest_name(std::string_view name, const std::vector<std::string>& known) {
    const auto closest = std::min_element(
        known.begin(), known.end(), [&](const std::string& left, const std::string& right) {
            return edit_distance(name, left) < edit_distance(name, right);
        });
    return closest == known.end() ? std::string{} : *closest;
}

} // namespace

state::result<YAML::Node> parse_yaml(const std::string& text, state::failure_kind kind) {
    if (text.size() > max_yaml_bytes) {
        return state::fail(kind, "the text has " + std::to_string(text.size()) +
                                     " bytes, but may have at most " +
                                     std::to_string(max_yaml_bytes));
    }
    try {
        YAML::Node node = YAML::Load(text);
        if (!node.IsMap()) {
            return state::fail(kind, "the text is not a YAML mapping");
        }
        return node;
    } catch (const YAML::Exception& error) {
        return state::fail(kind, std::string("not valid YAML: ") + error.what());
    }
}

yaml_fields::yaml_fields(YAML::Node node, std::string path, state::failure_kind kind)
    : m_node(std::move(node)), m_path(std::move(path)), m_kind(kind) {
    if (m_node && !m_node.IsNull() && !m_node.IsMap()) {
        add_problem("'" + m_path + "' must be a mapping");
        m_node = YAML::Node();
    }
}

std::string yaml_fields::path_of(std::string_view name) const {
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void yaml_fields::add_problem(std::string problem) {
    m_problems.push_back(std::move(problem));
}

YAML::Node yaml_fields::find(std::string_view name) {
    m_known_names.emplace_back(name);
    if (!m_node || !m_node.IsMap()) {
        return {};
    }
    for (const auto& entry : m_node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == name) {
            return entry.second;
        }
    }
    return {};
}

std::string yaml_fields::text(std::string_view name, std::string fallback) {
    const auto value = find(name);
    if (!value || value.IsNull()) {
        return fallback;
    }
    if (!value.IsScalar()) {
        add_problem("'" + path_of(name) + "' must be a single value");
        return fallback;
    }
    return value.Scalar();
}

std::string yaml_fields::required_text(std::string_view name) {
    auto value = text(name, {});
    if (value.empty()) {
        add_problem("'" + path_of(name) + "' is required");
    }
    return value;
}

std::uint64_t yaml_fields::number(std::string_view name, std::uint64_t fallback, std::uint64_t low,
                                  std::uint64_t high) {
    const auto scalar = text(name, std::to_string(fallback));
    std::uint64_t value = 0;
    const auto* end = scalar.data() + scalar.size();
    const auto parsed = std::from_chars(scalar.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < low || value > high) {
        add_problem("'" + path_of(name) + "' is '" + scalar +
                    "', but must be a whole number from " + std::to_string(low) + " to " +
                    std::to_string(high));
        return fallback;
    }
    return value;
}

double yaml_fields::real(std::string_view name, double fallback, double low, double high) {
    const auto value = find(name);
    if (!value || value.IsNull()) {
        return fallback;
    }
    double parsed = 0;
    if (!value.IsScalar() || !YAML::convert<double>::decode(value, parsed) ||
        !(parsed >= low && parsed <= high)) {
        add_problem("'" + path_of(name) + "' must be a number from " + std::to_string(low) +
                    " to " + std::to_string(high));
        return fallback;
    }
    return parsed;
}

bool yaml_fields::flag(std::string_view name, bool fallback) {
    const auto scalar = text(name, fallback ? "true" : "false");
    if (scalar != "true" && scalar != "false") {
        add_problem("'" + path_of(name) + "' is '" + scalar + "', but must be true or false");
        return fallback;
    }
    return scalar == "true";
}

std::vector<std::string> yaml_fields::text_list(std::string_view name) {
    const auto value = find(name);
    std::vector<std::string> list;
    if (!value || value.IsNull()) {
        return list;
    }
    if (!value.IsSequence()) {
        add_problem("'" + path_of(name) + "' must be a list");
        return list;
    }
    for (const auto& item : value) {
        if (item.IsScalar()) {
            list.push_back(item.Scalar());
        } else {
            add_problem("'" + path_of(name) + "' must contain only single values");
        }
    }
    return list;
}

yaml_fields yaml_fields::mapping(std::string_view name) {
    return {find(name), path_of(name), m_kind};
}

std::vector<yaml_fields> yaml_fields::mappings(std::string_view name) {
    const auto value = find(name);
    std::vector<yaml_fields> list;
    if (!value || value.IsNull()) {
        return list;
    }
    if (!value.IsSequence()) {
        add_problem("'" + path_of(name) + "' must be a list of mappings");
        return list;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        list.emplace_back(value[i], path_of(name) + "[" + std::to_string(i) + "]", m_kind);
    }
    return list;
}

state::result<void> yaml_fields::finish() const {
    if (!m_problems.empty()) {
        return state::fail(m_kind, m_problems.front());
    }
    if (!m_node || !m_node.IsMap()) {
        return {};
    }
    std::set<std::string> seen;
    for (const auto& entry : m_node) {
        if (!entry.first.IsScalar()) {
            return state::fail(m_kind, "'" + m_path + "' has a key that is not a single value");
        }
        const auto& key = entry.first.Scalar();
        if (std::find(m_known_names.begin(), m_known_names.end(), key) == m_known_names.end()) {
            return state::fail(m_kind, "'" + path_of(key) +
                                           "' is unknown; the nearest known name is '" +
                                           nearest_name(key, m_known_names) + "'");
        }
        if (!seen.insert(key).second) {
            return state::fail(m_kind, "'" + path_of(key) + "' is given twice");
        }
    }
    return {};
}

} // namespace savoryrelay::protocol
