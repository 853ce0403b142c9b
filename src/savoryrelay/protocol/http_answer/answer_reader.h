// Incremental, strict reader of one HTTP/1.x answer. It takes the bytes of a connection in any
// pieces and has neither a socket nor a clock. Boost.Beast decodes the bytes that the reader has
// checked; no byte of a head, chunk line or trailer reaches it before.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_head.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// The most informational heads that the reader skips before an answer.
inline constexpr int max_informational_heads = 8;

/// How far a reader has come.
enum class reading_stage {
    head,      ///< within the head, or within an informational one before it
    body,      ///< the head is complete, the answer is not
    complete,  ///< the whole answer was read
    defective, ///< the bytes are no answer; `defect` says why
};

/// Reads one answer. Its verdict, fields and body do not depend on how the bytes are split. Which
/// bytes it has taken when it finds a defect does.
/// Trailer fields that the head announces are checked and dropped.
class answer_reader {
public:
    /// What a call took and gave.
    struct progress {
        std::size_t consumed = 0; ///< bytes taken from the input
        std::size_t produced = 0; ///< bytes of the body written to the output
    };

    explicit answer_reader(request_kind request) : m_request(request) {}
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;
    ~answer_reader() = default;

    /// Takes bytes of the head. Returns how many were taken: all, unless the stage is no longer
    /// `head`. What is left belongs to the body or follows the answer.
    std::size_t read_head(std::string_view bytes);
    /// Takes bytes of the body and writes the decoded ones to `out`. Takes all, unless `out` is
    /// full or the stage is no longer `body`. What is left then follows the answer.
    progress read_body(std::string_view bytes, std::span<char> out);
    /// Records the end of the connection, which completes an answer that ends by it and makes any
    /// other incomplete one defective.
    void end_connection();

    [[nodiscard]] reading_stage stage() const { return m_stage; }
    /// Returns why the stage is `defective`, otherwise `none`.
    [[nodiscard]] answer_defect defect() const { return m_defect; }
    /// Returns whether the head is complete, so that `status` and `fields` may be called.
    [[nodiscard]] bool has_head() const { return m_decoder.has_value(); }
    [[nodiscard]] unsigned status() const { return m_head.status; }
    [[nodiscard]] const boost::beast::http::fields& fields() const { return m_decoder->get(); }
    /// Returns whether only the end of the connection ends the answer.
    [[nodiscard]] bool ends_by_closing() const {
        return has_head() && m_head.framing == body_framing::close;
    }
    /// Returns whether the answer has a body in chunks.
    [[nodiscard]] bool has_chunks() const {
        return has_head() && m_head.framing == body_framing::chunks;
    }
    /// Returns whether the answer is complete and lets its connection carry another one. Bytes
    /// that the reader left over forbid that as well.
    [[nodiscard]] bool allows_reuse() const {
        return m_stage == reading_stage::complete && m_head.keeps_connection;
    }

private:
    using decoder = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// The next part of a chunked body.
    enum class chunk_part { line, data, data_end, trailers };

    void fail(answer_defect defect);
    void finish_head();
    /// Moves the bytes through the next LF to `m_line`. Returns how many, and fails with
    /// `too_long` if `m_line` exceeds `limit`.
    std::size_t collect_line(std::string_view bytes, std::size_t limit, answer_defect too_long);
    /// Returns whether `m_line` ends with a line end.
    [[nodiscard]] bool has_line() const { return m_line.ends_with('\n'); }
    [[nodiscard]] progress read_plain(std::string_view bytes, std::span<char> out);
    [[nodiscard]] progress read_chunk_data(std::string_view bytes, std::span<char> out);
    std::size_t read_chunk_framing(std::string_view bytes);
    void finish_chunk_line();
    void finish_trailer_line();
    /// Passes checked bytes to the decoder. Fails if it does not take them all.
    void decode(std::string_view bytes, std::span<char> out = {});

    const request_kind m_request;
    reading_stage m_stage = reading_stage::head;
    answer_defect m_defect = answer_defect::none; // none unless the stage is `defective`
    int m_informational_heads = 0;
    head_check m_head;            // of the last complete head
    std::string m_line;           // bytes of the head, or of the line, that is not complete
    std::size_t m_line_begin = 0; // where the last line of `m_line` begins
    chunk_part m_chunk_part = chunk_part::line;
    std::uint64_t m_left = 0;         // body bytes to come, in all or in the chunk
    std::size_t m_trailer_bytes = 0;  // of the trailer lines so far
    bool m_has_chunk = false;         // the decoder still expects the CRLF of a chunk
    std::optional<decoder> m_decoder; // present once the head is complete and sound
};

} // namespace savoryrelay::protocol

namespace savoryrelay::state {

template <>
struct enum_table<protocol::reading_stage> {
    using stage = protocol::reading_stage;
    static constexpr std::array rows{
        enum_name<stage>{stage::head, "head"},
        enum_name<stage>{stage::body, "body"},
        enum_name<stage>{stage::complete, "complete"},
        enum_name<stage>{stage::defective, "defective"},
    };
};

} // namespace savoryrelay::state
