// Tests the strict reading of answers against the table of forms, at all splits, and against a
// plain reading of the grammar.
#include "savoryrelay/protocol/http_answer/answer_reader.h"

#include "support/answer_forms.h"
#include "support/plain_answer_grammar.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace savoryrelay;
using namespace savoryrelay::tests;
using protocol::answer_defect;
using protocol::reading_stage;

namespace {

// What a reader made of the bytes of a connection that then ended.
struct reading {
    answer_defect defect = answer_defect::none;
    bool has_head = false;
    unsigned status = 0;
    std::vector<std::string> fields;
    std::string body;
    bool is_kept = false;
    std::size_t consumed = 0; // 0 if there is a defect

    bool operator==(const reading&) const = default;
};

// Reads one piece, with a buffer for `room` body bytes. Returns how many bytes were taken.
std::size_t read_piece(protocol::answer_reader& reader, std::string_view piece, std::size_t room,
                       std::string& body) {
    std::size_t consumed = 0;
    std::string out(room, '\0');
    while (consumed < piece.size()) {
        const auto rest = piece.substr(consumed);
        if (reader.stage() == reading_stage::head) {
            consumed += reader.read_head(rest);
        } else if (reader.stage() == reading_stage::body) {
            const auto step = reader.read_body(rest, {out.data(), out.size()});
            REQUIRE(step.produced <= out.size());
            consumed += step.consumed;
            body += out.substr(0, step.produced);
        } else {
            break;
        }
    }
    return consumed;
}

// Reads `bytes` in pieces that end at the ascending offsets `splits`.
reading read_in_pieces(std::string_view bytes, protocol::request_kind request,
                       const std::vector<std::size_t>& splits, std::size_t room = 7) {
    protocol::answer_reader reader(request);
    reading result;
    std::size_t begin = 0;
    for (std::size_t i = 0; i <= splits.size(); ++i) {
        const auto end = i < splits.size() ? splits[i] : bytes.size();
        result.consumed += read_piece(reader, bytes.substr(begin, end - begin), room, result.body);
        begin = end;
    }
    reader.end_connection();
    result.defect = reader.defect();
    if (result.defect != answer_defect::none) {
        result.consumed = 0;
    }
    result.has_head = reader.has_head();
    if (result.has_head) {
        result.status = reader.status();
        for (const auto& field : reader.fields()) {
            result.fields.push_back(std::string(field.name_string()) + ": " +
                                    std::string(field.value()));
        }
    }
    result.is_kept = reader.allows_reuse();
    return result;
}

void check_form(const answer_form& form, const reading& result) {
    CHECK(state::to_name(result.defect) == state::to_name(form.defect));
    if (form.defect == answer_defect::none) {
        CHECK(result.status == form.status);
        CHECK(result.body == form.body);
        CHECK(result.is_kept == form.is_kept);
        CHECK(result.consumed == form.bytes.size() - form.left);
    }
}

// The splits of a form to try: all, but fewer within long runs of filling.
std::vector<std::size_t> split_offsets(std::size_t size) {
    constexpr std::size_t all_below = 1024;
    constexpr std::size_t stride = 509;
    std::vector<std::size_t> offsets;
    for (std::size_t at = 0; at <= size; ++at) {
        if (size < all_below || at < 64 || size - at < 64 || at % stride == 0) {
            offsets.push_back(at);
        }
    }
    return offsets;
}

std::vector<std::size_t> every_offset(std::size_t size) {
    std::vector<std::size_t> offsets;
    for (std::size_t at = 1; at < size; ++at) {
        offsets.push_back(at);
    }
    return offsets;
}

} // namespace

TEST_CASE("http answer: each form is read as its section says") {
    // Guards against an answer that breaks the grammar and reaches a caller.
    std::set<std::string> names;
    for (const auto& form : answer_forms()) {
        CAPTURE(form.section, form.name);
        CHECK(names.insert(form.name).second);
        check_form(form, read_in_pieces(form.bytes, form.request, {}));
    }
    CHECK(names.size() >= 243);
}

TEST_CASE("http answer: each defect has a form, except that of the decoder") {
    std::set<answer_defect> found;
    for (const auto& form : answer_forms()) {
        found.insert(form.defect);
    }
    for (const auto& row : state::enum_table<answer_defect>::rows) {
        CAPTURE(row.name);
        CHECK((found.count(row.value) == 1) == (row.value != answer_defect::undecoded));
    }
}

TEST_CASE("http answer: the reading of a form does not depend on where its bytes are split") {
    // Guards against a piece of a body, a chunk line or a trailer that is read as something else
    // because a read ended there.
    for (const auto& form : answer_forms()) {
        CAPTURE(form.section, form.name);
        const auto whole = read_in_pieces(form.bytes, form.request, {});
        const auto by_byte =
            read_in_pieces(form.bytes, form.request, every_offset(form.bytes.size()), 1);
        check_form(form, by_byte);
        std::size_t differences = by_byte == whole ? 0 : 1;
        for (const auto at : split_offsets(form.bytes.size())) {
            if (read_in_pieces(form.bytes, form.request, {at}) != whole) {
                ++differences;
            }
        }
        CHECK(differences == 0);
    }
}

TEST_CASE("http answer: the plain grammar reads each form alike") {
    for (const auto& form : answer_forms()) {
        CAPTURE(form.section, form.name);
        const bool answers_head = form.request == protocol::request_kind::head;
        const auto plain = plain_answer_grammar(form.bytes, answers_head).read();
        const auto result = read_in_pieces(form.bytes, form.request, {});
        CHECK(plain.is_accepted == (form.defect == answer_defect::none));
        CHECK(plain.has_head == result.has_head);
        CHECK(plain.body == result.body);
        if (plain.is_accepted) {
            CHECK(plain.status == static_cast<int>(form.status));
            CHECK(plain.consumed == form.bytes.size() - form.left);
            CHECK(plain.is_kept == form.is_kept);
        }
    }
}

TEST_CASE("http answer: trailer fields are not added to the fields of the head") {
    // Guards against a trailer that takes the place of what the head says.
    const auto result = read_in_pieces(
        forms::announcing("Server-Mark", "1\r\nx\r\n0\r\nServer-Mark: forged\r\n\r\n"),
        protocol::request_kind::other, {});
    CHECK(result.defect == answer_defect::none);
    CHECK(result.fields ==
          std::vector<std::string>{"Transfer-Encoding: chunked", "Trailer: Server-Mark"});
}

TEST_CASE("http answer: bytes that begin no answer are rejected at once") {
    // Guards against a wait for the line end of bytes that come without end.
    protocol::answer_reader reader(protocol::request_kind::other);
    CHECK(reader.read_head("H") == 1);
    CHECK(reader.stage() == reading_stage::head);
    reader.read_head("i");
    CHECK(reader.defect() == answer_defect::not_an_answer);
}

TEST_CASE("http answer: a reader says how an answer ends") {
    protocol::answer_reader until_close(protocol::request_kind::other);
    CHECK_FALSE(until_close.has_head());
    until_close.read_head("HTTP/1.1 200 OK\r\n\r\n");
    CHECK(until_close.has_head());
    CHECK(until_close.ends_by_closing());
    CHECK_FALSE(until_close.allows_reuse());
    until_close.end_connection();
    CHECK(until_close.stage() == reading_stage::complete);

    protocol::answer_reader with_length(protocol::request_kind::other);
    with_length.read_head("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(with_length.stage() == reading_stage::complete);
    CHECK_FALSE(with_length.ends_by_closing());
    with_length.end_connection();
    CHECK(with_length.stage() == reading_stage::complete);
    CHECK(with_length.allows_reuse());
}

TEST_CASE("http answer: any split of valid answers gives the same status, fields and body") {
    // Guards against a verdict that depends on how the network cuts the bytes.
    CHECK(rc::check("splits of valid answers", [] {
        const auto code = std::to_string(*rc::gen::element(200, 201, 299, 302, 404, 500, 599));
        const auto body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        std::string bytes = "HTTP/1.1 " + code + " Reason\r\n";
        const auto values = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('!', '~')));
        for (const auto& value : values) {
            bytes += "X-Value:" + value + "\r\n";
        }
        const bool is_chunked = *rc::gen::arbitrary<bool>();
        if (is_chunked) {
            bytes += "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n";
            const auto piece = *rc::gen::inRange<std::size_t>(1, 16);
            for (std::size_t at = 0; at < body.size(); at += piece) {
                const auto data = body.substr(at, piece);
                constexpr std::string_view digits = "0123456789abcdef";
                bytes += std::string(1, digits[data.size()]) + ";n=1\r\n" + data + "\r\n";
            }
            bytes += "0\r\nX-Sum: 1\r\n\r\n";
        } else {
            bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        auto splits = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        std::sort(splits.begin(), splits.end());
        const auto room = *rc::gen::inRange<std::size_t>(1, 20);

        const auto whole = read_in_pieces(bytes, protocol::request_kind::other, {}, bytes.size());
        RC_ASSERT(whole.defect == answer_defect::none);
        RC_ASSERT(std::to_string(whole.status) == code);
        RC_ASSERT(whole.body == body);
        RC_ASSERT(whole.fields.size() == values.size() + (is_chunked ? 2 : 1));
        RC_ASSERT(read_in_pieces(bytes, protocol::request_kind::other, splits, room) == whole);
    }));
}
