// Defines a holder of an immutable value, such as the configuration, that is
// read often and replaced rarely, and the snapshots that its readers get.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace savoryrelay::state {

/// Shares the ownership of an immutable value, or of none. Only a named snapshot gives access
/// to its value: `for (const auto& each : *cell.load())` and `const auto& field =
/// cell.load()->field` would destroy a temporary one, and perhaps the value, before they read it.
template <typename Value>
class snapshot {
public:
    snapshot() = default;
    explicit snapshot(std::shared_ptr<const Value> value) : m_value(std::move(value)) {}

    /// Access to the value. The snapshot must have one.
    [[nodiscard]] const Value& operator*() const& { return *m_value; }
    [[nodiscard]] const Value* operator->() const& { return m_value.get(); }
    const Value& operator*() const&& = delete;
    const Value* operator->() const&& = delete;

    /// Returns whether the snapshot has a value.
    [[nodiscard]] explicit operator bool() const { return m_value != nullptr; }

private:
    std::shared_ptr<const Value> m_value;
};

/// Returns a snapshot of `value`.
template <typename Value>
[[nodiscard]] snapshot<Value> make_snapshot(Value value) {
    return snapshot<Value>(std::make_shared<const Value>(std::move(value)));
}

/// Holds an immutable value. A reader's snapshot stays valid and unchanged when the value is
/// replaced.
template <typename Value>
class snapshot_cell {
public:
    explicit snapshot_cell(Value initial)
        : m_value(std::make_shared<const Value>(std::move(initial))) {}

    /// Returns the current snapshot, which always has a value.
    [[nodiscard]] snapshot<Value> load() const {
        const std::scoped_lock lock(m_mutex);
        return snapshot<Value>(m_value);
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
