// Look-ups in the configuration document.
#include "savoryrelay/state/configuration/configuration.h"

#include <algorithm>

namespace savoryrelay::state {
namespace {

template <typename Rows, typename Predicate>
const typename Rows::value_type* find_row(const Rows& rows, Predicate matches) {
    const auto found = std::find_if(rows.begin(), rows.end(), matches);
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

const deployment_config* configuration::find_deployment(const deployment_id& id) const {
    return find_row(deployments, [&](const auto& row) { return row.id == id; });
}

const deployment_config* configuration::find_deployment_by_model(const std::string& model) const {
    return find_row(deployments, [&](const auto& row) {
        return row.kind == deployment_kind::model && row.model == model;
    });
}

const customer_config* configuration::find_customer(const std::string& token_digest) const {
    return find_row(customers, [&](const auto& row) { return row.token_digest == token_digest; });
}

bool configuration::is_drained(const availability_zone_id& zone) const {
    const auto* row = find_row(availability_zones, [&](const auto& z) { return z.id == zone; });
    return row != nullptr && row->drained;
}

} // namespace savoryrelay::state
