// Runs the fault matrix: injects every fault at every transition of a state
// machine. The transitions come from the machine's transition table, so that a new
// transition is tested without a change of the test.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/transition_table.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

namespace savoryrelay::tests {

/// The faults that the system must tolerate.
enum class fault {
    process_killed,
    process_paused,
    straggler,
    fabric_domain_dark,
    partition,
    one_way_partition,
    cold_again,
    store_down,
    store_slow,
    store_reply_lost,
    object_store_down,
    operators_race,
    connection_silent,
    answer_late,
    answer_crossed,
};

} // namespace savoryrelay::tests

template <>
struct savoryrelay::state::enum_table<savoryrelay::tests::fault> {
    using f = savoryrelay::tests::fault;
    static constexpr std::array rows{
        enum_name<f>{f::process_killed, "process_killed"},
        enum_name<f>{f::process_paused, "process_paused"},
        enum_name<f>{f::straggler, "straggler"},
        enum_name<f>{f::fabric_domain_dark, "fabric_domain_dark"},
        enum_name<f>{f::partition, "partition"},
        enum_name<f>{f::one_way_partition, "one_way_partition"},
        enum_name<f>{f::cold_again, "cold_again"},
        enum_name<f>{f::store_down, "store_down"},
        enum_name<f>{f::store_slow, "store_slow"},
        enum_name<f>{f::store_reply_lost, "store_reply_lost"},
        enum_name<f>{f::object_store_down, "object_store_down"},
        enum_name<f>{f::operators_race, "operators_race"},
        enum_name<f>{f::connection_silent, "connection_silent"},
        enum_name<f>{f::answer_late, "answer_late"},
        enum_name<f>{f::answer_crossed, "answer_crossed"},
    };
};

namespace savoryrelay::tests {

/// The outcome of one cell of the matrix, a fault at a transition.
enum class cell_outcome {
    held,       ///< the fault was injected and the invariant held
    violated,   ///< the fault was injected and the invariant was violated
    unaffected, ///< the state machine's interface has no way to inject the fault
};

/// Runs `run_cell(from, to, fault)` for each fault at each transition of `Enum`,
/// prints the number of cells by outcome, and checks that no cell is violated and
/// at least one is held.
template <typename Enum>
void run_fault_matrix(std::string_view machine,
                      const std::function<cell_outcome(Enum, Enum, fault)>& run_cell) {
    std::size_t held = 0;
    std::size_t violated = 0;
    std::size_t unaffected = 0;
    for (const auto& step : state::transition_table<Enum>::rows) {
        for (const auto& row : state::enum_table<fault>::rows) {
            const auto outcome = run_cell(step.from, step.to, row.value);
            held += outcome == cell_outcome::held ? 1 : 0;
            unaffected += outcome == cell_outcome::unaffected ? 1 : 0;
            if (outcome == cell_outcome::violated) {
                ++violated;
                std::cout << "fault matrix " << machine << ": violated at "
                          << state::to_name(step.from) << " -> " << state::to_name(step.to)
                          << " under " << row.name << '\n';
            }
        }
    }
    std::cout << "fault matrix " << machine << ": " << held + violated << " cells run, " << held
              << " held, " << violated << " violated, " << unaffected
              << " without an interface for the fault\n";
    CHECK(violated == 0);
    CHECK(held > 0);
}

} // namespace savoryrelay::tests
