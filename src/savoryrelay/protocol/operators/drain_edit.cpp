// Sets a drain flag in the YAML of a configuration document.
#include "savoryrelay/protocol/operators/drain_edit.h"

#include "savoryrelay/protocol/settings/yaml_fields.h"

namespace savoryrelay::protocol {

state::result<std::string> with_drain_flag(const std::string& document,
                                           const drain_request& request, bool drained) {
    const std::string section =
        request.target == drain_target::endpoint ? "endpoints" : "availability_zones";
    BOOST_LEAF_AUTO(root, parse_yaml(document, state::failure_kind::invalid_configuration));
    try {
        for (auto entry : root[section]) {
            if (entry["id"] && entry["id"].Scalar() == request.id) {
                entry["drained"] = drained;
                return YAML::Dump(root) + "\n";
            }
        }
    } catch (const YAML::Exception& error) {
        return state::fail(state::failure_kind::invalid_configuration, error.what());
    }
    return state::fail(state::failure_kind::not_found,
                       section + " has no entry with the id '" + request.id + "'");
}

} // namespace savoryrelay::protocol
