// Enumerates the choices of a deterministic run for stateless model checking: the run
// is repeated, and each repetition takes another path through its choices.
#pragma once

#include <cstddef>
#include <vector>

namespace savoryrelay::tests {

/// The choices of the current run. Option 0 of a choice is the usual course of events; any
/// other option is a fault.
///
/// Invariant: the current path has at most `max_faults` choices other than 0.
class choice_path {
public:
    explicit choice_path(std::size_t max_faults) : m_max_faults(max_faults) {}

    /// Returns the option that the current run takes at its next choice, less than
    /// `options`.
    std::size_t choose(std::size_t options) {
        if (m_position == m_choices.size()) {
            m_choices.push_back({0, options});
        }
        return m_choices[m_position++].taken;
    }

    /// Selects the path of the next run. Returns false when all paths have been taken.
    bool advance() {
        m_position = 0;
        while (!m_choices.empty()) {
            auto& last = m_choices.back();
            const bool may_differ = last.taken > 0 || faults() < m_max_faults;
            if (may_differ && last.taken + 1 < last.options) {
                ++last.taken;
                return true;
            }
            m_choices.pop_back();
        }
        return false;
    }

private:
    struct choice {
        std::size_t taken = 0;
        std::size_t options = 1;
    };

    [[nodiscard]] std::size_t faults() const {
        std::size_t count = 0;
        for (const auto& each : m_choices) {
            count += each.taken > 0 ? 1 : 0;
        }
        return count;
    }

    const std::size_t m_max_faults;
    std::size_t m_position = 0;
    std::vector<choice> m_choices;
};

} // namespace savoryrelay::tests
