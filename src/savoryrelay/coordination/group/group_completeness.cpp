// Checks the engines' reports against the row of their group.
#include "savoryrelay/coordination/group/group_completeness.h"

#include <algorithm>

namespace savoryrelay::coordination {

bool is_complete(const state::group_row& group, const engine_reports& reports,
                 state::time_point now, state::milliseconds max_age) {
    return !group.hosts.empty() &&
           std::all_of(group.hosts.begin(), group.hosts.end(), [&](const auto& host) {
               const auto found = reports.find(host);
               return found != reports.end() && now - found->second.received_at <= max_age &&
                      found->second.group == group.id &&
                      found->second.generation == group.generation && found->second.loaded;
           });
}

bool is_eligible(const state::group_row& group, const engine_reports& reports,
                 state::time_point now, state::milliseconds max_age) {
    return group.state == state::group_state::serving && is_complete(group, reports, now, max_age);
}

} // namespace savoryrelay::coordination
