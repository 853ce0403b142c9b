// Tests which finding the verifier reports for each kind of damage to segments.
#include "support/record_chain.h"

#include "savoryrelay/protocol/record/record_export.h"
#include "savoryrelay/protocol/record/record_json.h"

#include <rapidcheck.h>

#include <functional>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using protocol::record_damage;

namespace {

using segments_type = std::vector<named_segment>;

// The bytes of a segment, split into header, entries and trailer. Each entry begins
// with its tag.
struct segment_parts {
    std::string header;
    std::vector<std::string> entries;
    std::string trailer;

    [[nodiscard]] std::string join() const {
        std::string bytes = header;
        for (const auto& entry : entries) {
            bytes += entry;
        }
        return bytes + trailer;
    }
};

segment_parts split(const std::string& bytes) {
    protocol::segment_reader reader(protocol::memory_source(bytes));
    state::segment_header header;
    REQUIRE(reader.read_header(header));
    constexpr std::size_t link_bytes = 32;
    segment_parts parts{bytes.substr(0, reader.header_bytes().size() + link_bytes), {}, {}};
    auto offset = parts.header.size();
    protocol::encoded_entry item;
    while (reader.next(item)) {
        parts.entries.push_back(bytes.substr(offset, item.frame.size() + link_bytes));
        offset += parts.entries.back().size();
    }
    parts.trailer = bytes.substr(offset);
    return parts;
}

void edit(named_segment& segment, const std::function<void(segment_parts&)>& change) {
    auto parts = split(segment.sealed.bytes);
    change(parts);
    segment.sealed.bytes = parts.join();
}

protocol::verifier_hooks without_link_check() {
    protocol::verifier_hooks hooks;
    hooks.link_matches = [](const auto&, const auto&) { return true; };
    return hooks;
}

} // namespace

// Guards against a byte that no digest and no signature covers.
TEST_CASE("any single-byte change of a segment is found", "[record]") {
    const auto key = make_key("k1");
    const protocol::verifier_inputs inputs{{key.public_key()}, std::nullopt};

    SECTION("at each offset of one segment") {
        chain_builder chain("c1", {key});
        const auto valid = chain.add_many(1, 3);
        REQUIRE(verify(valid, inputs).empty());
        std::size_t missed = 0;
        for (std::size_t at = 0; at < valid[0].sealed.bytes.size(); ++at) {
            auto changed = valid;
            changed[0].sealed.bytes[at] = static_cast<char>(changed[0].sealed.bytes[at] ^ 1);
            missed += verify(changed, inputs).empty() ? 1 : 0;
        }
        CHECK(missed == 0);
    }
    SECTION("for random segments, offsets and values") {
        CHECK(rc::check("single-byte change", [&] {
            chain_builder chain("c" + std::to_string(*rc::gen::inRange(1, 99)), {key});
            auto segments = chain.add_many(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 9));
            const auto which = *rc::gen::inRange<std::size_t>(0, segments.size());
            auto& bytes = segments[which].sealed.bytes;
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            const auto flip = *rc::gen::inRange(1, 256);
            bytes[at] = static_cast<char>(bytes[at] ^ flip);
            RC_ASSERT(!verify(segments, inputs).empty());
        }));
    }
    SECTION("the link check and the signature check are both necessary") {
        chain_builder chain("c1", {key});
        const auto valid = chain.add_many(1, 3);
        auto in_body = valid;
        auto& bytes = in_body[0].sealed.bytes;
        bytes[bytes.rfind("vane-chat")] = 'V';
        CHECK(verify(in_body, inputs, without_link_check()).empty());
        CHECK(verify(in_body, inputs).size() == 1);

        auto in_signature = valid;
        in_signature[0].sealed.bytes.back() ^= 1;
        protocol::verifier_hooks hooks;
        hooks.signature_valid = [](const auto&, auto, auto) { return true; };
        CHECK(verify(in_signature, inputs, hooks).empty());
        CHECK(verify(in_signature, inputs).at(0).damage == record_damage::signature_invalid);
    }
}

// Guards against damage that is reported as the wrong kind or at the wrong place.
TEST_CASE("each kind of damage has its own finding", "[record]") {
    const auto key = make_key("k1");
    const auto second = make_key("k2");
    chain_builder chain("c1", {key});
    const auto valid = chain.add_many(4, 4);
    chain_builder other_chain("c2", {key});
    const auto other = other_chain.add_many(4, 4);
    chain_builder re_signed_chain("c1", {second});
    const auto re_signed = re_signed_chain.add_many(4, 4);
    chain_builder forged_chain("c1", {make_key("k1")});
    const auto forged = forged_chain.add_many(4, 4);
    const protocol::verifier_inputs inputs{{key.public_key(), second.public_key()},
                                           {{chain.anchor()}}};
    REQUIRE(verify(valid, inputs).empty());

    struct row {
        record_damage damage;
        std::uint64_t segment;
        std::uint64_t entry;
        std::function<void(segments_type&)> change;
    };
    const std::vector<row> rows{
        {record_damage::damaged_entry, 2, 6,
         [](auto& s) { edit(s[1], [](segment_parts& f) { f.entries[1].back() ^= 1; }); }},
        {record_damage::damaged_entry, 2, 6,
         [](auto& s) {
             // Changes the lowest byte of the 8-byte sequence, which follows 5 bytes of tag
             // and length and 1 byte of kind.
             edit(s[1], [](segment_parts& f) { f.entries[1][5 + 8] ^= 1; });
         }},
        {record_damage::reordered_entry, 2, 6,
         [](auto& s) {
             edit(s[1], [](segment_parts& f) { std::swap(f.entries[1], f.entries[2]); });
         }},
        {record_damage::duplicated_entry, 2, 6,
         [](auto& s) { edit(s[1], [](segment_parts& f) { f.entries[2] = f.entries[1]; }); }},
        {record_damage::missing_entry, 2, 6,
         [](auto& s) {
             edit(s[1], [](segment_parts& f) { f.entries.erase(f.entries.begin() + 1); });
         }},
        {record_damage::damaged_segment, 2, 0, [](auto& s) { s[1].sealed.bytes += "x"; }},
        {record_damage::damaged_segment, 2, 0, [](auto& s) { s[1].sealed.bytes[0] = 'x'; }},
        {record_damage::damaged_segment, 2, 0, [](auto& s) { s[1].sealed.bytes[20] ^= 1; }},
        {record_damage::truncated_segment, 2, 0, [](auto& s) { s[1].sealed.bytes.pop_back(); }},
        {record_damage::truncated_segment, 2, 0, [](auto& s) { s[1].sealed.bytes.clear(); }},
        {record_damage::unsupported_version, 2, 0, [](auto& s) { s[1].sealed.bytes[9] = 2; }},
        {record_damage::reordered_segment, 2, 0,
         [](auto& s) { std::swap(s[1].sealed, s[2].sealed); }},
        {record_damage::reordered_segment, 2, 0, [](auto& s) { std::swap(s[1], s[2]); }},
        {record_damage::duplicated_segment, 3, 0, [](auto& s) { s[2].sealed = s[1].sealed; }},
        {record_damage::duplicated_segment, 2, 0, [](auto& s) { s.insert(s.begin() + 2, s[1]); }},
        {record_damage::missing_segment, 2, 0, [](auto& s) { s.erase(s.begin() + 1); }},
        {record_damage::missing_segment, 4, 0, [](auto& s) { s.pop_back(); }},
        {record_damage::missing_chain, 0, 0, [](auto& s) { s.clear(); }},
        {record_damage::foreign_segment, 2, 0, [&](auto& s) { s[1].sealed = other[1].sealed; }},
        {record_damage::re_signed_segment, 1, 0, [&](auto& s) { s[0] = re_signed[0]; }},
        {record_damage::re_signed_segment, 4, 0,
         [&](auto& s) {
             // Replaces the last segment with one that follows the same segments and is signed
             // with the same key, but has other entries.
             chain_builder again("c1", {key});
             static_cast<void>(again.add_many(3, 4));
             std::vector<state::record_entry> forged_entries(4, make_entry(1));
             forged_entries[0].result = "forged";
             s[3] = again.add(std::move(forged_entries));
         }},
        {record_damage::signature_invalid, 2, 0, [&](auto& s) { s[1] = forged[1]; }},
    };
    for (const auto& row : rows) {
        auto changed = valid;
        row.change(changed);
        const auto findings = verify(changed, inputs);
        const bool is_reported =
            std::any_of(findings.begin(), findings.end(), [&](const auto& finding) {
                return finding.damage == row.damage && finding.segment == row.segment &&
                       finding.entry == row.entry && finding.chain == "c1" &&
                       !protocol::remedy_of(finding.damage).empty();
            });
        INFO("expected " << state::to_name(row.damage) << ", first finding: "
                         << (findings.empty() ? "none" : findings[0].message()));
        CHECK(is_reported);
    }
}

// Guards against a faulty writer that signs entries with wrong sequence numbers.
TEST_CASE("the verifier finds a wrong sequence in an entry with a valid link", "[record]") {
    const auto key = make_key("k1");
    state::segment_draft draft;
    draft.header = {"c1", 1, 1, {}, {}, hour(1)};
    draft.entries = {make_entry(1), make_entry(3)};
    const protocol::record_key_ring ring({key});
    const auto sealed = state::collect(
        [&] { return protocol::seal_segment(draft, ring, protocol::openssl_random_bytes); });
    REQUIRE(sealed.has_value());
    const auto findings = verify({{"", sealed.value()}}, {{key.public_key()}, {}});
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].damage == record_damage::missing_entry);
    CHECK(findings[0].entry == 2);
}

// Guards against a verifier that checks each segment by itself.
TEST_CASE("only the checks across segments find a dropped or replaced segment", "[record]") {
    const auto key = make_key("k1");
    chain_builder chain("c1", {key});
    auto dropped = chain.add_many(3, 2);
    const protocol::verifier_inputs inputs{{key.public_key()}, {{chain.anchor()}}};
    auto replaced = dropped;
    dropped.erase(dropped.begin() + 1);
    chain_builder again("c1", {key});
    std::vector<state::record_entry> forged(2, make_entry(1));
    forged[0].result = "forged";
    replaced[0] = again.add(std::move(forged));

    protocol::verifier_hooks hooks;
    hooks.number_matches = [](auto, auto) { return true; };
    hooks.previous_digest_matches = [](const auto&, const auto&) { return true; };
    CHECK(verify(dropped, inputs, hooks).empty());
    CHECK(verify(replaced, inputs, hooks).empty());
    CHECK(verify(dropped, inputs).at(0).damage == record_damage::missing_segment);
    CHECK(verify(replaced, inputs).at(0).damage == record_damage::re_signed_segment);

    // The last segment has no successor, so only the anchor reveals a replacement.
    chain_builder last("c1", {key});
    auto replaced_last = last.add_many(2, 2);
    std::vector<state::record_entry> other(2, make_entry(1));
    other[0].result = "forged";
    replaced_last.push_back(last.add(std::move(other)));
    const protocol::verifier_inputs anchored{{key.public_key()},
                                             {{{"c1", 3, state::sha256("the original"), false}}}};
    hooks = {};
    hooks.anchor_matches = [](const auto&, const auto&) { return true; };
    CHECK(verify(replaced_last, anchored, hooks).empty());
    CHECK(verify(replaced_last, anchored).at(0).damage == record_damage::re_signed_segment);
}

// Guards against segments that pass although their key was not valid when they were
// written.
TEST_CASE("a chain continues across a key rotation", "[record]") {
    const auto old_key = make_key("2026", 0, 10);
    const auto new_key = make_key("2027", 8, 20);
    chain_builder chain("c1", {old_key, new_key});
    const segments_type segments{chain.add({make_entry(1)}, hour(1)),
                                 chain.add({make_entry(1)}, hour(9)),
                                 chain.add({make_entry(1)}, hour(15))};
    CHECK(verify(segments, {{old_key.public_key(), new_key.public_key()}, {}}).empty());
    CHECK(verify(segments, {{old_key.public_key()}, {}}).at(0).damage ==
          record_damage::unknown_key);
    auto shortened = new_key.public_key();
    shortened.valid_until = hour(12);
    const auto findings = verify(segments, {{old_key.public_key(), shortened}, {}});
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].damage == record_damage::key_not_valid);
    CHECK(findings[0].segment == 3);
}

// Guards against content stored inside the chain, where it could not be erased.
TEST_CASE("a chain verifies without its content, and damaged content is reported", "[record]") {
    const auto key = make_key("k1");
    const protocol::verifier_inputs inputs{{key.public_key()}, std::nullopt};
    chain_builder chain("c1", {key});
    segments_type segments{
        chain.add({make_entry(1, "quote for ten vanes", state::record_rule::content),
                   make_entry(2, "answer kept as digest", state::record_rule::digest)})};
    CHECK(verify(segments, inputs).empty());
    auto& content = segments[0].sealed.contents.at(0).bytes;
    CHECK(segments[0].sealed.bytes.find("ten vanes") == std::string::npos);
    CHECK(content.find("ten vanes") != std::string::npos);
    CHECK(content.find("kept as digest") == std::string::npos);

    auto damaged = segments;
    auto& bytes = damaged[0].sealed.contents[0].bytes;
    bytes[bytes.find("ten")] = 'T';
    const auto findings = verify(damaged, inputs);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].damage == record_damage::damaged_content);
    CHECK(findings[0].entry == 1);
    protocol::verifier_hooks hooks;
    hooks.content_matches = [](const auto&, const auto&) { return true; };
    CHECK(verify(damaged, inputs, hooks).empty());

    chain_builder other_chain("c2", {key});
    auto foreign = segments;
    foreign[0].sealed.contents =
        other_chain.add({make_entry(1, "x", state::record_rule::content)}).sealed.contents;
    CHECK(verify(foreign, inputs).at(0).damage == record_damage::foreign_content);

    segments[0].sealed.contents.clear();
    CHECK(verify(segments, inputs).empty());
}

// Guards against a decoder that reads out of bounds or does not terminate.
TEST_CASE("each reader refuses random bytes", "[record]") {
    const auto key = make_key("k1");
    CHECK(rc::check("random bytes", [&] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        RC_ASSERT(
            !verify({{"record/c1/1.segment", {bytes, {}, {}}}}, {{key.public_key()}, {}}).empty());
        protocol::export_reader reader(protocol::memory_source(bytes));
        RC_ASSERT(!reader.read_start());
    }));
}

// Guards against wrong frame lengths, after which the reader continues at a wrong offset.
TEST_CASE("an export file is read frame by frame", "[record]") {
    auto bytes = protocol::encode_export_start();
    bytes +=
        protocol::encode_export_frame_header({protocol::export_kind::segment, "a/1.segment", 5});
    bytes += "12345";
    bytes += protocol::encode_export_frame_header({protocol::export_kind::keys, "", 2}) + "{}";
    bytes += protocol::encode_export_end();
    protocol::export_reader reader(protocol::memory_source(bytes));
    REQUIRE(reader.read_start());
    protocol::export_frame_header frame;
    REQUIRE(reader.next(frame));
    CHECK(frame.name == "a/1.segment");
    REQUIRE(reader.next(frame));
    CHECK(frame.kind == protocol::export_kind::keys);
    CHECK_FALSE(reader.next(frame));
    CHECK(reader.complete());
}

// Guards against keys, anchors or times that change when they are encoded and decoded.
TEST_CASE("keys, anchors and times keep their values in JSON", "[record]") {
    const auto key = make_key("k1").public_key();
    const auto keys = state::collect(
        [&] { return protocol::decode_public_keys(protocol::encode_public_keys({key})); });
    REQUIRE(keys.has_value());
    CHECK(keys.value().at(0).key == key.key);
    CHECK(keys.value().at(0).valid_until == key.valid_until);
    const state::record_anchor anchor{"c1", 7, state::sha256("x"), true};
    const auto anchors = state::collect(
        [&] { return protocol::decode_anchors(protocol::encode_anchors({anchor})); });
    REQUIRE(anchors.has_value());
    CHECK(anchors.value().at(0).digest == anchor.digest);
    CHECK(anchors.value().at(0).segment == 7);
    const auto time =
        state::collect([] { return protocol::from_utc_text("2026-12-04T08:30:00Z"); });
    REQUIRE(time.has_value());
    CHECK(protocol::to_utc_text(time.value()) == "2026-12-04T08:30:00.000Z");
    CHECK_FALSE(state::collect([] { return protocol::from_utc_text("2026-13-04"); }).has_value());
}
