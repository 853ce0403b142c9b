// Builds signed record chains for tests.
#pragma once

#include "savoryrelay/protocol/record/record_verifier.h"
#include "savoryrelay/protocol/record/segment_encoder.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace savoryrelay::tests {

inline state::wall_time hour(int count) {
    return state::wall_time(std::chrono::hours(count));
}

inline protocol::record_signing_key make_key(const std::string& id, int from = 0, int until = 100) {
    const auto made = state::collect(
        [&] { return protocol::record_signing_key::generate(id, hour(from), hour(until)); });
    REQUIRE(made.has_value());
    return made.value();
}

inline state::record_entry make_entry(std::uint64_t sequence, const std::string& content = {},
                                      state::record_rule rule = state::record_rule::none) {
    state::record_entry entry;
    entry.sequence = sequence;
    entry.actor = "gilded-vane";
    entry.customer = state::customer_id("gilded-vane");
    entry.deployment = state::deployment_id("vane-chat");
    entry.request = state::request_id("r" + std::to_string(sequence));
    entry.action = "/v1/chat/completions";
    entry.result = "ok";
    entry.outcome = state::execution_outcome::ran;
    entry.content = content;
    entry.rule = rule;
    return entry;
}

/// A sealed segment and its object name.
struct named_segment {
    std::string name;
    state::sealed_segment sealed;
};

/// Builds the consecutive segments of a chain.
class chain_builder {
public:
    chain_builder(std::string chain, std::vector<protocol::record_signing_key> keys)
        : m_chain(std::move(chain)), m_ring(std::move(keys)) {}

    named_segment add(std::vector<state::record_entry> entries, state::wall_time at = hour(1)) {
        state::segment_draft draft;
        draft.header = {m_chain, m_number, m_sequence, m_previous, {}, at};
        for (auto& entry : entries) {
            entry.sequence = m_sequence++;
        }
        draft.entries = std::move(entries);
        auto sealed = state::collect(
            [&] { return protocol::seal_segment(draft, m_ring, protocol::openssl_random_bytes); });
        REQUIRE(sealed.has_value());
        m_previous = sealed.value().digest;
        return {state::segment_object(m_chain, m_number++), std::move(sealed.value())};
    }
    /// Adds `count` segments with `entries_each` entries each.
    std::vector<named_segment> add_many(int count, int entries_each) {
        std::vector<named_segment> segments;
        for (int i = 0; i < count; ++i) {
            std::vector<state::record_entry> entries;
            for (int j = 0; j < entries_each; ++j) {
                entries.push_back(make_entry(1));
            }
            segments.push_back(add(std::move(entries)));
        }
        return segments;
    }
    [[nodiscard]] state::record_anchor anchor() const {
        return {m_chain, m_number - 1, m_previous, false};
    }

private:
    std::string m_chain;
    protocol::record_key_ring m_ring;
    std::uint64_t m_number = 1;
    std::uint64_t m_sequence = 1;
    state::sha256_digest m_previous{};
};

/// Verifies `segments` in the given order and returns the findings.
inline std::vector<protocol::record_finding> verify(const std::vector<named_segment>& segments,
                                                    protocol::verifier_inputs inputs,
                                                    protocol::verifier_hooks hooks = {}) {
    std::vector<protocol::record_finding> findings;
    protocol::record_verifier verifier(
        std::move(inputs), [&](const auto& finding) { findings.push_back(finding); }, {},
        std::move(hooks));
    for (const auto& segment : segments) {
        verifier.verify_segment(segment.name, protocol::memory_source(segment.sealed.bytes));
        for (const auto& content : segment.sealed.contents) {
            verifier.verify_content("content", protocol::memory_source(content.bytes));
        }
    }
    static_cast<void>(verifier.finish());
    return findings;
}

} // namespace savoryrelay::tests
