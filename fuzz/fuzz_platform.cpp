// Fuzzes the decoders of the platform's rows and reports. Applies what they accept to the
// state of an entry host, selects an endpoint, and checks that peers can be told of it.
#include "platform/configuration_codec.h"
#include "platform/json_fields.h"
#include "platform/runner_codec.h"
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/group_choice.h"
#include "savoryrelay/coordination/serving/group_layout.h"
#include "savoryrelay/protocol/serving/peer_digest_codec.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace savoryrelay;

namespace {

constexpr state::time_point now{std::chrono::hours(1)};

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void check_configuration(const std::string& text) {
    const auto decoded = state::collect([&] { return platform::decode_configuration(text); });
    if (!decoded) {
        return;
    }
    const auto& configuration = decoded.value();
    require(configuration.version > 0);
    for (const auto& route : configuration.routes) {
        require(!route.services.empty());
        static_cast<void>(configuration.find_route(route.host, route.path_prefix + "x"));
    }
    for (const auto& customer : configuration.customers) {
        for (const auto& key : customer.keys) {
            require(configuration.find_customer(key) != nullptr);
        }
    }
    for (const auto& [name, service] : configuration.services) {
        if (!service.engine) {
            continue;
        }
        static_cast<void>(coordination::plan_layout(
            service.engine->models,
            {{state::fabric_domain_id("d0"), 8}, {state::fabric_domain_id("d1"), 3}}));
        for (const auto& model : service.engine->models) {
            state::serving_call call;
            call.model = model.name;
            call.prompt_tokens = 100;
            static_cast<void>(coordination::choose_group(
                *service.engine, model,
                {{state::endpoint_id("i-1"), 1, 0, {}}, {state::endpoint_id("i-2"), 1, 8, {}}},
                call));
        }
    }
}

// Peers must be able to read the observation of a runner, since it shares a datagram with
// those of others.
void check_observation(const coordination::runner_view& runner) {
    state::peer_digest digest;
    digest.part = state::peer_digest::observations_only;
    const auto& record = runner.record;
    digest.observations.push_back(
        {record.id, record.started_ms, record.sequence, false, record.model,
         record.membership.value_or(state::group_membership{}), runner.time_factor});
    const auto text = state::collect([&] { return protocol::encode_digest(digest); });
    require(text.has_value());
    require(state::collect([&] { return protocol::decode_digest(text.value()); }).has_value());
}

void check_runner(const std::string& text) {
    const state::endpoint_id id("i-1");
    coordination::fleet_table fleet;
    const auto entry = state::collect([&] { return platform::decode_runner_entry(id, text); });
    if (entry) {
        require(entry.value().port != 0);
        fleet.apply_entry(entry.value(), now);
    } else {
        state::runner_record known;
        known.id = id;
        fleet.apply_entry(known, now);
    }
    if (const auto report = state::collect([&] { return platform::decode_report(text); })) {
        require(std::isfinite(report.value().time_factor));
        fleet.apply_report(id, report.value(), now);
    }
    fleet.refresh(now);
    check_observation(*fleet.find(id));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    check_configuration(text);
    check_runner(text);
    return 0;
}
