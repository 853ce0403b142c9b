// Applies, counts and logs the signals in answers of runners.
#include "runner_signals.h"

#include "savoryrelay/transport/process/log.h"

namespace savoryrelay::edge {

using coordination::exclusion_reason;
using coordination::exclusion_source;

void runner_signals::note_answer(const state::runner_record& runner,
                                 const state::answer_head& answer) {
    if (answer.is_leaving) {
        note_leaving(runner.id, runner.started_ms, exclusion_source::answer, m_now());
    }
}

void runner_signals::note_peer_notices(const std::vector<state::leaving_runner>& runners) {
    for (const auto& runner : runners) {
        note_leaving(runner.id, runner.started_ms, exclusion_source::peer, m_now());
    }
}

void runner_signals::note_leaving(const state::endpoint_id& runner, std::uint64_t started_ms,
                                  exclusion_source source, state::time_point now) {
    if (!m_shared.fleet.note_leaving(runner, started_ms, source, now)) {
        return;
    }
    const std::string source_name(state::to_name(source));
    m_shared.metrics.counter_of("savoryrelay_runners_leaving_total", {{"source", source_name}})
        .add();
    transport::log_info("runner_excluded",
                        {{"runner", runner.value()},
                         {"reason", std::string(state::to_name(exclusion_reason::leaving))},
                         {"source", source_name},
                         {"started_ms", std::to_string(started_ms)},
                         {"for_ms", ""}});
}

} // namespace savoryrelay::edge
