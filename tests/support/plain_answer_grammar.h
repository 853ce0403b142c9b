// A second reading of HTTP/1.x answers, against which the incremental reader is compared. It
// descends through the productions of RFC 9112 on the complete bytes and shares no code with the
// library.
#pragma once

#include <cctype>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// What the grammar makes of the bytes that a connection delivered before it ended.
struct plain_answer {
    bool is_accepted = false;
    bool has_head = false; ///< the final head is sound
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;         ///< also that before a fault
    std::size_t consumed = 0; ///< only if accepted
    bool is_kept = false;     ///< only if accepted: the connection may carry another answer
};

/// Reads one answer. Each production returns normally or throws `fault`.
class plain_answer_grammar {
public:
    plain_answer_grammar(std::string_view bytes, bool answers_head)
        : m_text(bytes), m_answers_head(answers_head) {}

    plain_answer read() {
        try {
            int informational = 0;
            while (head()) {
                if (++informational > 8) {
                    throw fault{};
                }
            }
            m_answer.has_head = true;
            message_body();
            m_answer.is_accepted = true;
            m_answer.consumed = m_at;
        } catch (const fault&) {
            m_answer.is_kept = false;
        }
        return m_answer;
    }

private:
    struct fault {};
    using byte = unsigned char;

    static void demand(bool condition) {
        if (!condition) {
            throw fault{};
        }
    }

    [[nodiscard]] bool at_end() const { return m_at == m_text.size(); }
    [[nodiscard]] char peek() const {
        demand(!at_end());
        return m_text[m_at];
    }
    char next() {
        const char c = peek();
        ++m_at;
        return c;
    }
    void literal(std::string_view expected) {
        for (const char c : expected) {
            demand(next() == c);
        }
    }
    static bool is_tchar(char c) {
        return std::isalnum(static_cast<byte>(c)) != 0 ||
               (c != '\0' && std::string("!#$%&'*+-.^_`|~").find(c) != std::string::npos);
    }
    static bool is_vchar(char c) {
        const auto b = static_cast<byte>(c);
        return b == 0x09 || (b >= 0x20 && b <= 0x7e) || b >= 0x80;
    }
    int digit() {
        const char c = next();
        demand(std::isdigit(static_cast<byte>(c)) != 0);
        return c - '0';
    }
    std::string token() {
        std::string text;
        while (is_tchar(peek())) {
            text += next();
        }
        demand(!text.empty());
        return text;
    }
    // *( HTAB / SP / VCHAR / obs-text ) CRLF, without blanks at the ends.
    std::string text_line() {
        std::string text;
        while (peek() != '\r') {
            demand(is_vchar(peek()));
            text += next();
        }
        literal("\r\n");
        const auto is_edge = [](char c) { return c == ' ' || c == '\t'; };
        while (!text.empty() && is_edge(text.back())) {
            text.pop_back();
        }
        while (!text.empty() && is_edge(text.front())) {
            text.erase(text.begin());
        }
        // Another answer's status line within this one.
        for (std::size_t at = 0; at + 12 <= text.size(); ++at) {
            const auto part = text.substr(at, 12);
            if (part.rfind("HTTP/1.", 0) == 0 && std::isdigit(static_cast<byte>(part[7])) != 0 &&
                part[8] == ' ' && std::isdigit(static_cast<byte>(part[9])) != 0 &&
                std::isdigit(static_cast<byte>(part[10])) != 0 &&
                std::isdigit(static_cast<byte>(part[11])) != 0) {
                throw fault{};
            }
        }
        return text;
    }
    std::pair<std::string, std::string> field() {
        auto name = token();
        literal(":");
        return {std::move(name), text_line()};
    }

    static std::string lower(std::string text) {
        for (char& c : text) {
            c = static_cast<char>(std::tolower(static_cast<byte>(c)));
        }
        return text;
    }
    // The elements between commas, without blanks around them.
    static std::vector<std::string> elements(const std::string& value) {
        std::vector<std::string> all(1);
        for (const char c : value) {
            if (c == ',') {
                all.emplace_back();
            } else {
                all.back() += c;
            }
        }
        for (auto& one : all) {
            const auto begin = one.find_first_not_of(" \t");
            one = begin == std::string::npos
                      ? std::string{}
                      : one.substr(begin, one.find_last_not_of(" \t") - begin + 1);
        }
        return all;
    }
    // #token in lower case.
    static std::set<std::string> tokens(const std::string& value) {
        std::set<std::string> all;
        for (const auto& one : elements(value)) {
            for (const char c : one) {
                demand(is_tchar(c));
            }
            if (!one.empty()) {
                all.insert(lower(one));
            }
        }
        return all;
    }

    // Returns whether the head is informational, so that another one follows.
    bool head() {
        const auto begin = m_at;
        literal("HTTP/1.");
        const int minor = digit();
        demand(minor <= 1);
        literal(" ");
        const int hundreds = digit();
        const int tens = digit();
        m_answer.status = 100 * hundreds + 10 * tens + digit();
        demand(hundreds >= 1 && hundreds <= 5 && m_answer.status != 101);
        literal(" ");
        text_line();
        m_answer.fields.clear();
        while (peek() != '\r') {
            m_answer.fields.push_back(field());
        }
        literal("\r\n");
        demand(m_at - begin <= std::size_t{16} * 1024);
        framing(minor);
        return hundreds == 1;
    }

    void framing(int minor) {
        std::set<std::string> options;
        std::set<std::string> lengths;
        int codings = 0;
        m_trailers.clear();
        for (const auto& [written, value] : m_answer.fields) {
            const auto name = lower(written);
            if (name == "connection" || name == "proxy-connection") {
                options.merge(tokens(value));
            } else if (name == "trailer") {
                m_trailers.merge(tokens(value));
            } else if (name == "transfer-encoding") {
                demand(lower(value) == "chunked");
                ++codings;
            } else if (name == "content-length") {
                for (const auto& one : elements(value)) {
                    lengths.insert(one);
                }
            }
        }
        demand(codings <= 1 && lengths.size() <= 1);
        demand(codings == 0 || (minor == 1 && lengths.empty()));
        m_length = 0;
        if (!lengths.empty()) {
            const auto& digits = *lengths.begin();
            demand(!digits.empty());
            for (const char c : digits) {
                demand(std::isdigit(static_cast<byte>(c)) != 0);
                shift(m_length, 10, static_cast<unsigned>(c - '0'));
            }
        }
        const bool is_bodiless = m_answer.status < 200 || m_answer.status == 204;
        const bool may_have_length = m_answer.status == 204 && m_length == 0;
        demand(!is_bodiless || (codings == 0 && (lengths.empty() || may_have_length)));
        demand(m_answer.status != 205 || m_length == 0);
        m_has_length = !lengths.empty();
        m_has_chunks = codings == 1;
        m_has_no_body = is_bodiless || m_answers_head || m_answer.status == 304;
        const bool ends_by_close = !m_has_no_body && !m_has_length && !m_has_chunks;
        m_answer.is_kept = !ends_by_close && options.count("close") == 0 &&
                           (minor == 1 || options.count("keep-alive") == 1);
    }

    // value * base + digit, which must be below 2^64.
    static void shift(std::uint64_t& value, unsigned base, unsigned digit) {
        demand(value <= (std::numeric_limits<std::uint64_t>::max() - digit) / base);
        value = value * base + digit;
    }

    void content(char c) {
        demand(m_answer.status != 205);
        m_answer.body += c;
    }

    void message_body() {
        if (m_has_no_body) {
            return;
        }
        if (m_has_chunks) {
            chunked_body();
        } else if (m_has_length) {
            for (auto left = m_length; left > 0; --left) {
                content(next());
            }
        } else {
            while (!at_end()) {
                content(next());
            }
        }
    }

    void chunked_body() {
        while (const auto size = chunk_line()) {
            demand(m_answer.status != 205);
            for (auto left = size; left > 0; --left) {
                content(next());
            }
            literal("\r\n");
        }
        const auto begin = m_at;
        while (peek() != '\r') {
            const auto name = lower(field().first);
            demand(m_trailers.count(name) == 1 && forbidden().count(name) == 0);
        }
        literal("\r\n");
        demand(m_at - begin <= std::size_t{16} * 1024);
    }

    std::uint64_t chunk_line() {
        const auto begin = m_at;
        std::uint64_t size = 0;
        do {
            const char c = next();
            demand(std::isxdigit(static_cast<byte>(c)) != 0);
            const int value = std::isdigit(static_cast<byte>(c)) != 0
                                  ? c - '0'
                                  : std::tolower(static_cast<byte>(c)) - 'a' + 10;
            shift(size, 16, static_cast<unsigned>(value));
        } while (peek() != '\r' && peek() != ';');
        while (peek() == ';') {
            extension();
        }
        literal("\r\n");
        demand(m_at - begin <= std::size_t{4} * 1024);
        return size;
    }

    void extension() {
        literal(";");
        token();
        if (peek() != '=') {
            return;
        }
        literal("=");
        if (peek() != '"') {
            token();
            return;
        }
        literal("\"");
        while (peek() != '"') {
            if (peek() == '\\') {
                next();
            }
            demand(is_vchar(peek()));
            next();
        }
        literal("\"");
    }

    static const std::set<std::string>& forbidden() {
        static const std::set<std::string> names{
            // framing, routing and connections
            "transfer-encoding", "content-length", "host", "connection", "keep-alive",
            "proxy-connection", "te", "trailer", "upgrade", "via",
            // request modifiers
            "cache-control", "expect", "max-forwards", "pragma", "range", "if-match",
            "if-modified-since", "if-none-match", "if-range", "if-unmodified-since",
            // authentication
            "authorization", "proxy-authenticate", "proxy-authorization", "www-authenticate",
            "authentication-info", "proxy-authentication-info", "set-cookie", "cookie",
            // response controls
            "age", "expires", "date", "location", "retry-after", "vary", "warning", "accept-ranges",
            // format of the content
            "content-encoding", "content-type", "content-range", "content-language",
            "content-location"};
        return names;
    }

    const std::string_view m_text;
    const bool m_answers_head;
    std::size_t m_at = 0;
    plain_answer m_answer;
    std::set<std::string> m_trailers; // names in lower case
    std::uint64_t m_length = 0;
    bool m_has_length = false;
    bool m_has_chunks = false;
    bool m_has_no_body = false;
};

} // namespace savoryrelay::tests
