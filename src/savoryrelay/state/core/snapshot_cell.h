// Defines a holder of an immutable snapshot, such as the configuration, that is
// read often and replaced rarely.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace savoryrelay::state {

/// Holds a shared pointer to an immutable value. A reader's snapshot stays valid
/// and unchanged when the value is replaced.
template <typename Value>
class snapshot_cell {
public:
    explicit snapshot_cell(Value initial)
        : m_value(std::make_shared<const Value>(std::move(initial))) {}

    /// Returns the current snapshot, which is never null.
    [[nodiscard]] std::shared_ptr<const Value> load() const {
        const std::scoped_lock lock(m_mutex);
        return m_value;
    }

    /// Replaces the snapshot when `is_newer(current, candidate)` is true.
    /// Returns whether it was replaced.
    template <typename IsNewer>
    bool replace_if(Value candidate, IsNewer is_newer) {
        auto next = std::make_shared<const Value>(std::move(candidate));
        const std::scoped_lock lock(m_mutex);
        if (!is_newer(*m_value, *next)) {
            return false;
        }
        m_value = std::move(next);
        return true;
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Value> m_value; // guarded by m_mutex, never null
};

} // namespace savoryrelay::state
