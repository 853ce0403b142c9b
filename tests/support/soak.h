// What soaks share: settings from the environment, and numbers from one seed.
#pragma once

#include <chrono>
#include <cstdlib>
#include <mutex>
#include <random>
#include <string>

namespace savoryrelay::tests {

/// Returns the number in an environment variable, or `usual` if it is not set.
inline unsigned number_from_environment(const char* name, unsigned usual) {
    const char* text = std::getenv(name);
    return text == nullptr ? usual : static_cast<unsigned>(std::stoul(text));
}

/// Numbers from one seed, for all threads. Their order depends on threads that run side by side.
class shared_random {
public:
    explicit shared_random(unsigned seed) : m_numbers(seed) {}

    /// Returns a number from 0 to `limit` - 1.
    unsigned below(unsigned limit) {
        const std::scoped_lock lock(m_mutex);
        return static_cast<unsigned>(m_numbers() % limit);
    }
    bool one_in(unsigned count) { return below(count) == 0; }
    std::chrono::milliseconds time_between(unsigned least_ms, unsigned most_ms) {
        return std::chrono::milliseconds(least_ms + below(most_ms - least_ms + 1));
    }

private:
    std::mutex m_mutex;
    std::mt19937 m_numbers;
};

} // namespace savoryrelay::tests
