// Editing of the YAML document.
#include "savoryrelay/protocol/operators/drain_edit.h"

#include "savoryrelay/protocol/settings/yaml_fields.h"

namespace savoryrelay::protocol {

state::result<std::string> with_drain_flag(const std::string& document,
                                           const drain_request& request, bool drained) {
    const std::string list =
        request.target == drain_target::endpoint ? "endpoints" : "availability_zones";
    BOOST_LEAF_AUTO(root, parse_yaml(document, state::failure_kind::invalid_configuration));
    try {
        for (auto row : root[list]) {
            if (row["id"] && row["id"].Scalar() == request.id) {
                row["drained"] = drained;
                return YAML::Dump(root) + "\n";
            }
        }
    } catch (const YAML::Exception& error) {
        return state::fail(state::failure_kind::invalid_configuration, error.what());
    }
    return state::fail(state::failure_kind::not_found,
                       list + " has no row with the id '" + request.id + "'");
}

} // namespace savoryrelay::protocol
