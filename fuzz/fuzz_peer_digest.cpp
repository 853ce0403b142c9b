// Fuzzes the decoders of the digests, tables and host rows that entry hosts exchange.
// Applies each accepted digest to the state that a host keeps of its peers, and checks that
// what the host would send next can be encoded.
#include "savoryrelay/coordination/exchange/digest_exchange.h"
#include "savoryrelay/coordination/retry/crash_watch.h"
#include "savoryrelay/coordination/serving/fleet_table.h"
#include "savoryrelay/coordination/serving/load_tracker.h"
#include "savoryrelay/coordination/serving/model_balance.h"
#include "savoryrelay/coordination/serving/work_meter.h"
#include "savoryrelay/protocol/serving/peer_digest_codec.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace savoryrelay;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

// The state of one host that exchanges digests.
struct host_state {
    state::host_entry own{
        "edge-0", {"127.0.0.1", 7000}, state::availability_zone_id("zone-a"), 0.25};
    coordination::host_directory directory{own};
    coordination::load_tracker loads;
    coordination::work_meter work;
    coordination::fleet_table fleet;
    coordination::crash_watch crashes{coordination::entry_host_crash_settings(),
                                      coordination::default_crash_hooks()};
    coordination::digest_exchange exchange{
        directory,
        {.describe = [this](state::peer_digest& digest, state::time_point) { digest.host = own; },
         .loads = [this](state::digest_scope scope,
                         state::time_point now) { return loads.report(scope, now); },
         .work = [this](state::digest_scope scope,
                        state::time_point now) { return work.report(scope, now); },
         .observations = [](state::time_point) { return std::vector<state::runner_observation>(); },
         .runners_to_confirm = [] { return std::vector<state::endpoint_id>(); },
         .crash_notices = [this](state::time_point now) { return crashes.due_notices(now); }}};

    void apply(const state::peer_digest& digest, state::time_point now) {
        const auto received = exchange.receive(digest, now);
        for (const auto& notice : digest.crash_notices) {
            crashes.apply(notice, now);
            static_cast<void>(crashes.time_quarantined({notice.fingerprint}, now));
        }
        for (const auto& observation : digest.observations) {
            state::runner_record entry;
            entry.id = observation.id;
            fleet.apply_entry(entry, now);
            fleet.apply_observation(observation, now);
        }
        fleet.refresh(now);
        if (received.is_accepted) {
            loads.apply_peer(digest.host.name, digest.scope, digest.loads, now);
            work.apply_peer(digest.host.name, digest.scope, digest.work, now);
        }
    }

    void check_sums(state::time_point now) const {
        for (const auto& [id, load] : loads.all(now)) {
            require(std::isfinite(load.waiting_prompt_tokens) && load.waiting_prompt_tokens >= 0);
        }
        for (const auto& [model, groups] : work.all(now)) {
            require(std::isfinite(groups) && groups >= 0);
        }
        const auto runners = fleet.snapshot();
        for (const auto& runner : *runners) {
            require(std::isfinite(runner.time_factor));
        }
        state::model_rule model;
        model.name = "gold";
        const coordination::model_balance balance(work.all(now));
        require(std::isfinite(balance.with_measured_shares({model}).front().share));
    }

    void send_round(state::time_point now) {
        for (const auto& [digest, receivers] : exchange.next_round(now)) {
            for (const auto& part : protocol::split_digest(digest)) {
                const auto text = state::collect([&] { return protocol::encode_digest(part); });
                require(text.has_value());
                require(state::collect([&] {
                            return protocol::decode_digest(text.value());
                        }).has_value());
            }
        }
    }
};

void check_digest(const std::string& bytes) {
    const auto digest = state::collect([&] { return protocol::decode_digest(bytes); });
    if (!digest) {
        return;
    }
    const auto text = state::collect([&] { return protocol::encode_digest(digest.value()); });
    require(text.has_value());
    const auto again = state::collect([&] { return protocol::decode_digest(text.value()); });
    require(again.has_value());
    require(again.value().crash_notices == digest.value().crash_notices);
    require(again.value().observations == digest.value().observations);

    host_state host;
    const state::time_point start{std::chrono::hours(1)};
    for (int round = 0; round < 3; ++round) {
        const auto now = start + round * state::milliseconds(500);
        host.apply(digest.value(), now);
        host.check_sums(now);
        host.send_round(now);
    }
}

void check_table(const std::string& bytes) {
    const auto image = state::collect([&] { return protocol::decode_table(bytes); });
    if (!image) {
        return;
    }
    state::table_mirror mirror;
    mirror.apply_image(image.value());
    mirror.apply_changes(image.value().rows, image.value().version);
    const auto copy = protocol::encode_table(mirror.changes_since(image.value().after));
    require(state::collect([&] { return protocol::decode_table(copy); }).has_value());
}

void check_host_row(const std::string& text) {
    const auto host = state::collect([&] { return protocol::decode_host_row("edge-1", text); });
    if (!host) {
        return;
    }
    const auto row = protocol::encode_host_row(host.value());
    const auto again = state::collect([&] { return protocol::decode_host_row("edge-1", row); });
    require(again.has_value());
    require(again.value().address == host.value().address);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    // The first byte selects the decoder.
    const std::string bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0]) {
    case 't':
        check_table(bytes);
        break;
    case 'h':
        check_host_row(bytes);
        break;
    default:
        check_digest(bytes);
        break;
    }
    return 0;
}
