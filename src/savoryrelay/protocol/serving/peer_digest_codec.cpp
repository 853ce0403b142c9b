// Encodes and decodes digests and tables field by field, with a limit on each size.
#include "savoryrelay/protocol/serving/peer_digest_codec.h"

#include "savoryrelay/protocol/peer/bounded_archive.h"
#include "savoryrelay/state/core/name_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>

namespace savoryrelay::protocol {
namespace {

using state::failure_kind;

constexpr std::size_t max_text_bytes = state::max_name_bytes;
constexpr std::size_t max_rows = 20'000;
constexpr std::size_t max_value_bytes = 8 * 1024 * 1024;
constexpr std::uint32_t max_counter = std::numeric_limits<std::uint16_t>::max();

// Amounts are finite and not negative. One that is not finite would remain in the sums and
// averages of its receivers.
void write_amount(bounded_writer& out, double amount) {
    constexpr double largest = std::numeric_limits<float>::max();
    out.number(static_cast<float>(std::clamp(amount, 0.0, largest)));
}

double read_amount(bounded_reader& in) {
    const auto amount = in.number<float>();
    if (!std::isfinite(amount) || amount < 0) {
        throw cereal::Exception("an amount is not finite or is negative");
    }
    return amount;
}

void write_load(bounded_writer& out, const state::endpoint_load_entry& entry) {
    out.text(entry.endpoint.value(), max_text_bytes);
    out.number(static_cast<std::uint16_t>(std::min(entry.load.writing, max_counter)));
    out.number(static_cast<std::uint16_t>(std::min(entry.load.waiting, max_counter)));
    write_amount(out, entry.load.waiting_prompt_tokens);
    write_amount(out, entry.load.wanted_calls_per_s);
    write_amount(out, entry.load.sent_calls_per_s);
}

state::endpoint_load_entry read_load(bounded_reader& in) {
    state::endpoint_load_entry entry;
    entry.endpoint = state::endpoint_id(in.text(max_text_bytes));
    entry.load.writing = in.number<std::uint16_t>();
    entry.load.waiting = in.number<std::uint16_t>();
    entry.load.waiting_prompt_tokens = read_amount(in);
    entry.load.wanted_calls_per_s = read_amount(in);
    entry.load.sent_calls_per_s = read_amount(in);
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
    write_amount(out, observation.time_factor);
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
    observation.time_factor = read_amount(in);
    return observation;
}

void write_host(bounded_writer& out, const state::host_entry& host) {
    out.text(host.name, max_text_bytes);
    out.text(host.address.ip, max_text_bytes);
    out.number(host.address.port);
    out.text(host.availability_zone.value(), max_text_bytes);
    write_amount(out, host.processor_share);
}

state::host_entry read_host(bounded_reader& in) {
    state::host_entry host;
    host.name = in.text(max_text_bytes);
    host.address.ip = in.text(max_text_bytes);
    host.address.port = in.number<std::uint16_t>();
    host.availability_zone = state::availability_zone_id(in.text(max_text_bytes));
    host.processor_share = read_amount(in);
    return host;
}

void write_version(bounded_writer& out, const state::store_version& version) {
    out.number(version.era);
    out.number(version.number);
}

state::store_version read_version(bounded_reader& in) {
    const auto era = in.number<std::uint64_t>();
    return {era, in.number<std::uint64_t>()};
}

// Times travel as milliseconds; longer ones mean the same as the longest.
void write_time(bounded_writer& out, state::milliseconds time) {
    const auto longest = static_cast<std::int64_t>(max_counter);
    out.number(static_cast<std::uint16_t>(std::clamp<std::int64_t>(time.count(), 0, longest)));
}

state::milliseconds read_time(bounded_reader& in) {
    return state::milliseconds(in.number<std::uint16_t>());
}

// The rate keeps its precision, so that hosts which pass it on agree on it.
void write_call_rate(bounded_writer& out, const state::call_rate_notice& notice) {
    out.text(notice.id.value(), max_text_bytes);
    out.number(notice.started_ms);
    out.number(static_cast<std::uint8_t>(notice.calls_per_s.has_value()));
    out.number(notice.calls_per_s.value_or(0));
    write_time(out, notice.age);
}

state::call_rate_notice read_call_rate(bounded_reader& in) {
    state::call_rate_notice notice;
    notice.id = state::endpoint_id(in.text(max_text_bytes));
    notice.started_ms = in.number<std::uint64_t>();
    const bool has_rate = in.number<std::uint8_t>() != 0;
    const auto rate = in.number<double>();
    if (!std::isfinite(rate) || rate < 0) {
        throw cereal::Exception("a rate is not finite or is negative");
    }
    if (has_rate) {
        notice.calls_per_s = rate;
    }
    notice.age = read_time(in);
    return notice;
}

// The age has a field of 32 bits, because a quarantine lasts longer than the longest time of
// `write_time`.
void write_notice(bounded_writer& out, const state::crash_notice& notice) {
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    out.enum_value(notice.kind);
    out.number(notice.fingerprint);
    out.number(notice.crash);
    out.number(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(notice.age.count(), 0, longest)));
    out.number(notice.position);
}

state::crash_notice read_notice(bounded_reader& in) {
    state::crash_notice notice;
    notice.kind = in.enum_value<state::crash_notice_kind>();
    notice.fingerprint = in.number<state::request_fingerprint>();
    notice.crash = in.number<std::uint64_t>();
    notice.age = state::milliseconds(in.number<std::uint32_t>());
    notice.position = in.number<std::uint8_t>();
    return notice;
}

void write_digest(bounded_writer& out, const state::peer_digest& digest) {
    write_host(out, digest.host);
    out.number(digest.incarnation);
    out.number(digest.part);
    out.enum_value(digest.scope);
    write_version(out, digest.operators_version);
    write_version(out, digest.runners_version);
    out.number(digest.configuration_version);
    write_time(out, digest.store_answer_age);
    write_time(out, digest.hub_answer_age);
    out.number(static_cast<std::uint8_t>(digest.is_store_in_doubt));
    out.number(static_cast<std::uint8_t>(digest.has_lost_store));
    out.number(static_cast<std::uint8_t>(digest.is_controller));
    write_time(out, digest.controller_age);
    out.number(digest.host_count);
    out.number(digest.heard_hosts);
    out.count(digest.peers.size(), max_digest_entries);
    for (const auto& peer : digest.peers) {
        write_host(out, peer);
    }
    out.count(digest.loads.size(), max_digest_loads);
    for (const auto& entry : digest.loads) {
        write_load(out, entry);
    }
    out.count(digest.work.size(), max_digest_entries);
    for (const auto& entry : digest.work) {
        out.text(entry.model, max_text_bytes);
        write_amount(out, entry.groups);
        for (const double amount : entry.demand) {
            write_amount(out, amount);
        }
    }
    out.count(digest.observations.size(), max_digest_entries);
    for (const auto& observation : digest.observations) {
        write_observation(out, observation);
    }
    out.count(digest.runners_to_confirm.size(), max_digest_entries);
    for (const auto& id : digest.runners_to_confirm) {
        out.text(id.value(), max_text_bytes);
    }
    out.count(digest.leaving_runners.size(), max_digest_leaving);
    for (const auto& runner : digest.leaving_runners) {
        out.text(runner.id.value(), max_text_bytes);
        out.number(runner.started_ms);
    }
    out.count(digest.call_rates.size(), max_digest_call_rates);
    for (const auto& notice : digest.call_rates) {
        write_call_rate(out, notice);
    }
    out.count(digest.crash_notices.size(), max_digest_notices);
    for (const auto& notice : digest.crash_notices) {
        write_notice(out, notice);
    }
}

template <typename Entry>
std::vector<Entry> entries_of_part(const std::vector<Entry>& all, std::size_t part,
                                   std::size_t limit = max_digest_entries) {
    const auto begin = std::min(all.size(), part * limit);
    const auto end = std::min(all.size(), begin + limit);
    return {all.begin() + static_cast<std::ptrdiff_t>(begin),
            all.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::size_t part_count(std::size_t entries, std::size_t limit = max_digest_entries) {
    return (entries + limit - 1) / limit;
}

// Returns a digest like `digest` with empty lists.
state::peer_digest without_lists(const state::peer_digest& digest, std::uint8_t part) {
    auto header = digest;
    header.part = part;
    header.peers.clear();
    header.loads.clear();
    header.work.clear();
    header.observations.clear();
    header.runners_to_confirm.clear();
    header.leaving_runners.clear();
    header.call_rates.clear();
    header.crash_notices.clear();
    return header;
}

} // namespace

std::vector<state::peer_digest> split_digest(const state::peer_digest& digest) {
    // An empty part 0 would replace the loads and the work of the sender's ordinary digest.
    const auto parts =
        digest.is_excerpt()
            ? 0
            : std::max({std::size_t{1}, part_count(digest.loads.size(), max_digest_loads),
                        part_count(digest.peers.size()), part_count(digest.work.size()),
                        part_count(digest.runners_to_confirm.size())});
    std::vector<state::peer_digest> all;
    for (std::size_t i = 0; i < parts; ++i) {
        auto part = without_lists(digest, static_cast<std::uint8_t>(i));
        part.loads = entries_of_part(digest.loads, i, max_digest_loads);
        part.peers = entries_of_part(digest.peers, i);
        part.work = entries_of_part(digest.work, i);
        part.runners_to_confirm = entries_of_part(digest.runners_to_confirm, i);
        all.push_back(std::move(part));
    }
    for (std::size_t i = 0; i < part_count(digest.observations.size()); ++i) {
        auto part = without_lists(digest, state::peer_digest::observations_only);
        part.observations = entries_of_part(digest.observations, i);
        all.push_back(std::move(part));
    }
    const auto notice_parts =
        std::max(part_count(digest.crash_notices.size(), max_digest_notices),
                 part_count(digest.leaving_runners.size(), max_digest_leaving));
    for (std::size_t i = 0; i < notice_parts; ++i) {
        auto part = without_lists(digest, state::peer_digest::notices_only);
        part.leaving_runners = entries_of_part(digest.leaving_runners, i, max_digest_leaving);
        part.crash_notices = entries_of_part(digest.crash_notices, i, max_digest_notices);
        all.push_back(std::move(part));
    }
    for (std::size_t i = 0; i < part_count(digest.call_rates.size(), max_digest_call_rates); ++i) {
        auto part = without_lists(digest, state::peer_digest::notices_only);
        part.call_rates = entries_of_part(digest.call_rates, i, max_digest_call_rates);
        all.push_back(std::move(part));
    }
    return all;
}

state::result<std::string> encode_digest(const state::peer_digest& digest) {
    try {
        bounded_writer out;
        write_digest(out, digest);
        auto text = out.take();
        if (text.size() > state::max_datagram_bytes) {
            return state::fail(failure_kind::request_too_large,
                               "digest of " + std::to_string(text.size()) + " bytes");
        }
        return text;
    } catch (const cereal::Exception& error) {
        return state::fail(failure_kind::request_too_large, error.what());
    }
}

state::result<state::peer_digest> decode_digest(std::string_view bytes) {
    try {
        bounded_reader in(bytes);
        state::peer_digest digest;
        digest.host = read_host(in);
        digest.incarnation = in.number<std::uint64_t>();
        digest.part = in.number<std::uint8_t>();
        digest.scope = in.enum_value<state::digest_scope>();
        digest.operators_version = read_version(in);
        digest.runners_version = read_version(in);
        digest.configuration_version = in.number<std::uint64_t>();
        digest.store_answer_age = read_time(in);
        digest.hub_answer_age = read_time(in);
        digest.is_store_in_doubt = in.number<std::uint8_t>() != 0;
        digest.has_lost_store = in.number<std::uint8_t>() != 0;
        digest.is_controller = in.number<std::uint8_t>() != 0;
        digest.controller_age = read_time(in);
        digest.host_count = in.number<std::uint32_t>();
        digest.heard_hosts = in.number<std::uint32_t>();
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.peers.push_back(read_host(in));
        }
        for (auto remaining = in.count(max_digest_loads); remaining > 0; --remaining) {
            digest.loads.push_back(read_load(in));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            state::model_work entry;
            entry.model = in.text(max_text_bytes);
            entry.groups = read_amount(in);
            for (double& amount : entry.demand) {
                amount = read_amount(in);
            }
            digest.work.push_back(std::move(entry));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.observations.push_back(read_observation(in));
        }
        for (auto remaining = in.count(max_digest_entries); remaining > 0; --remaining) {
            digest.runners_to_confirm.emplace_back(in.text(max_text_bytes));
        }
        for (auto remaining = in.count(max_digest_leaving); remaining > 0; --remaining) {
            state::endpoint_id id(in.text(max_text_bytes));
            digest.leaving_runners.push_back({std::move(id), in.number<std::uint64_t>()});
        }
        for (auto remaining = in.count(max_digest_call_rates); remaining > 0; --remaining) {
            digest.call_rates.push_back(read_call_rate(in));
        }
        for (auto remaining = in.count(max_digest_notices); remaining > 0; --remaining) {
            digest.crash_notices.push_back(read_notice(in));
        }
        in.finish();
        return digest;
    } catch (const cereal::Exception& error) {
        return state::fail(failure_kind::message_damaged, error.what());
    }
}

std::string encode_host_row(const state::host_entry& host) {
    std::ostringstream text;
    text << host.address.ip << ':' << host.address.port << ' ' << host.availability_zone.value()
         << ' ' << host.processor_share;
    return text.str();
}

state::result<state::host_entry> decode_host_row(const std::string& name, const std::string& text) {
    std::istringstream in(text);
    std::string address;
    std::string zone;
    state::host_entry host;
    in >> address >> zone >> host.processor_share;
    const auto colon = address.rfind(':');
    if (in.fail() || colon == std::string::npos || name.size() > max_text_bytes ||
        address.size() > max_text_bytes || zone.size() > max_text_bytes) {
        return state::fail(failure_kind::message_damaged, "row of host '" + name + "'");
    }
    const auto* end = address.data() + address.size();
    const auto port = std::from_chars(address.data() + colon + 1, end, host.address.port);
    if (port.ec != std::errc{} || port.ptr != end || host.address.port == 0) {
        return state::fail(failure_kind::message_damaged, "port of host '" + name + "'");
    }
    host.name = name;
    host.address.ip = address.substr(0, colon);
    host.availability_zone = state::availability_zone_id(zone);
    return host;
}

std::string encode_table(const state::table_image& image) {
    bounded_writer out;
    write_version(out, image.version);
    write_version(out, image.after);
    out.number(static_cast<std::uint8_t>(image.is_confirmed));
    out.count<std::uint32_t>(image.rows.size(), max_rows);
    for (const auto& row : image.rows) {
        out.text(row.key, max_text_bytes);
        write_version(out, row.version);
        out.number(static_cast<std::uint8_t>(row.is_removed));
        out.text<std::uint32_t>(row.value, max_value_bytes);
    }
    return out.take();
}

state::result<state::table_image> decode_table(std::string_view bytes) {
    try {
        bounded_reader in(bytes);
        state::table_image image;
        image.version = read_version(in);
        image.after = read_version(in);
        image.is_confirmed = in.number<std::uint8_t>() != 0;
        for (auto remaining = in.count<std::uint32_t>(max_rows); remaining > 0; --remaining) {
            state::mirrored_row row;
            row.key = in.text(max_text_bytes);
            row.version = read_version(in);
            row.is_removed = in.number<std::uint8_t>() != 0;
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
