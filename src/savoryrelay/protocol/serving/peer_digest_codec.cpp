// Encodes and decodes digests and tables field by field, with a limit on each size.
#include "savoryrelay/protocol/serving/peer_digest_codec.h"

#include "savoryrelay/protocol/peer/bounded_archive.h"

#include <algorithm>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;

constexpr std::size_t max_text_bytes = 200; // the store's limit for keys and names
constexpr std::size_t max_rows = 20'000;
constexpr std::size_t max_value_bytes = 8 * 1024 * 1024;

void write_load(bounded_writer& out, const state::endpoint_load_entry& entry) {
    out.text(entry.endpoint.value(), max_text_bytes);
    out.number(entry.load.writing);
    out.number(entry.load.waiting);
    out.number(static_cast<float>(entry.load.waiting_prompt_tokens));
}

state::endpoint_load_entry read_load(bounded_reader& in) {
    state::endpoint_load_entry entry;
    entry.endpoint = state::endpoint_id(in.text(max_text_bytes));
    entry.load.writing = in.number<std::uint32_t>();
    entry.load.waiting = in.number<std::uint32_t>();
    entry.load.waiting_prompt_tokens = in.number<float>();
    return entry;
}

void write_observation(bounded_writer& out, const state::runner_observation& observation) {
    out.text(observation.id.value(), max_text_bytes);
    out.number(observation.started_ms);
    out.number(observation.sequence);
    out.number(static_cast<std::uint8_t>(observation.is_silent));
    out.text(observation.model, max_text_bytes);
    out.text(observation.membership.group, max_text_bytes);
    out.number(observation.membership.epoch);
    out.number(observation.membership.rank);
    out.enum_value(observation.membership.state);
    out.number(static_cast<float>(observation.time_factor));
}

state::runner_observation read_observation(bounded_reader& in) {
    state::runner_observation observation;
    observation.id = state::endpoint_id(in.text(max_text_bytes));
    observation.started_ms = in.number<std::uint64_t>();
    observation.sequence = in.number<std::uint64_t>();
    observation.is_silent = in.number<std::uint8_t>() != 0;
    observation.model = in.text(max_text_bytes);
    observation.membership.group = in.text(max_text_bytes);
    observation.membership.epoch = in.number<std::uint64_t>();
    observation.membership.rank = in.number<std::uint32_t>();
    observation.membership.state = in.enum_value<state::membership_state>();
    observation.time_factor = in.number<float>();
    return observation;
}

template <typename Entry>
std::vector<Entry> entries_of_part(const std::vector<Entry>& all, std::size_t part) {
    const auto begin = std::min(all.size(), part * max_digest_entries);
    const auto end = std::min(all.size(), begin + max_digest_entries);
    return {all.begin() + static_cast<std::ptrdiff_t>(begin),
            all.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::size_t part_count(std::size_t entries) {
    return (entries + max_digest_entries - 1) / max_digest_entries;
}

} // namespace

std::vector<state::peer_digest> split_digest(const state::peer_digest& digest) {
    const auto parts =
        std::max({std::size_t{1}, part_count(digest.loads.size()), part_count(digest.peers.size()),
                  part_count(digest.work.size()), part_count(digest.runners_to_confirm.size())});
    std::vector<state::peer_digest> all;
    for (std::size_t i = 0; i < parts; ++i) {
        auto part = digest;
        part.part = static_cast<std::uint8_t>(i);
        part.loads = entries_of_part(digest.loads, i);
        part.peers = entries_of_part(digest.peers, i);
        part.work = entries_of_part(digest.work, i);
        part.runners_to_confirm = entries_of_part(digest.runners_to_confirm, i);
        part.observations.clear();
        all.push_back(std::move(part));
    }
    for (std::size_t i = 0; i < part_count(digest.observations.size()); ++i) {
        auto part = digest;
        part.part = state::peer_digest::observations_only;
        part.loads.clear();
        part.peers.clear();
        part.work.clear();
        part.runners_to_confirm.clear();
        part.observations = entries_of_part(digest.observations, i);
        all.push_back(std::move(part));
    }
    return all;
}

std::string encode_digest(const state::peer_digest& digest) {
    bounded_writer out;
    out.text(digest.host, max_text_bytes);
    out.number(digest.incarnation);
    out.number(digest.part);
    out.text(digest.address, max_text_bytes);
    out.number(digest.port);
    out.text(digest.availability_zone.value(), max_text_bytes);
    out.number(digest.operators_version);
    out.number(digest.runners_version);
    out.number(static_cast<std::uint8_t>(digest.is_store_reachable));
    out.number(static_cast<std::uint8_t>(digest.is_controller));
    out.count(digest.peers.size(), max_digest_entries);
    for (const auto& peer : digest.peers) {
        out.text(peer, max_text_bytes);
    }
    out.count(digest.loads.size(), max_digest_entries);
    for (const auto& entry : digest.loads) {
        write_load(out, entry);
    }
    out.count(digest.work.size(), max_digest_entries);
    for (const auto& entry : digest.work) {
        out.text(entry.model, max_text_bytes);
        out.number(static_cast<float>(entry.groups));
    }
    out.count(digest.observations.size(), max_digest_entries);
    for (const auto& observation : digest.observations) {
        write_observation(out, observation);
    }
    out.count(digest.runners_to_confirm.size(), max_digest_entries);
    for (const auto& id : digest.runners_to_confirm) {
        out.text(id.value(), max_text_bytes);
    }
    return out.take();
}

state::result<state::peer_digest> decode_digest(std::string_view bytes) {
    try {
        bounded_reader in(bytes);
        state::peer_digest digest;
        digest.host = in.text(max_text_bytes);
        digest.incarnation = in.number<std::uint64_t>();
        digest.part = in.number<std::uint8_t>();
        digest.address = in.text(max_text_bytes);
        digest.port = in.number<std::uint16_t>();
        digest.availability_zone = state::availability_zone_id(in.text(max_text_bytes));
        digest.operators_version = in.number<std::uint64_t>();
        digest.runners_version = in.number<std::uint64_t>();
        digest.is_store_reachable = in.number<std::uint8_t>() != 0;
        digest.is_controller = in.number<std::uint8_t>() != 0;
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.peers.push_back(in.text(max_text_bytes));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.loads.push_back(read_load(in));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            auto model = in.text(max_text_bytes);
            digest.work.push_back({std::move(model), in.number<float>()});
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.observations.push_back(read_observation(in));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.runners_to_confirm.emplace_back(in.text(max_text_bytes));
        }
        in.finish();
        return digest;
    } catch (const cereal::Exception& error) {
        return state::fail(failure_kind::message_damaged, error.what());
    }
}

std::string encode_table(const state::table_image& image) {
    bounded_writer out;
    out.number(image.version);
    out.count<std::uint32_t>(image.rows.size(), max_rows);
    for (const auto& row : image.rows) {
        out.text(row.key, max_text_bytes);
        out.number(row.version);
        out.text<std::uint32_t>(row.value, max_value_bytes);
    }
    return out.take();
}

state::result<state::table_image> decode_table(std::string_view bytes) {
    try {
        bounded_reader in(bytes);
        state::table_image image;
        image.version = in.number<std::uint64_t>();
        for (auto remaining = in.count<std::uint32_t>(max_rows); remaining > 0; --remaining) {
            state::mirrored_row row;
            row.key = in.text(max_text_bytes);
            row.version = in.number<std::uint64_t>();
            row.value = in.text<std::uint32_t>(max_value_bytes);
            image.rows.push_back(std::move(row));
        }
        in.finish();
        return image;
    } catch (const cereal::Exception& error) {
        return state::fail(failure_kind::message_damaged, error.what());
    }
}

} // namespace savoryrelay::protocol
