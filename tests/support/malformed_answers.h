// Answers that a reader without strict checks takes for successes: their heads break the grammar
// or the framing rules, and the body follows until the end of the connection.
#pragma once

#include <string>
#include <vector>

namespace savoryrelay::tests {

/// An answer, and the name of its defect in logs.
struct malformed_answer {
    std::string defect;
    std::string bytes;
};

/// Returns the answers, each with `body`.
inline std::vector<malformed_answer> malformed_answers(const std::string& body) {
    const auto with = [&](const std::string& lines) {
        return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body;
    };
    const auto length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return {
        {"status_out_of_range", "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body},
        {"status_out_of_range", "HTTP/1.1 999 OK\r\n" + length + "\r\n" + body},
        {"undecodable_coding", with("Transfer-Encoding: br\r\n")},
        {"undecodable_coding", with("Transfer-Encoding: chunked, gzip\r\n")},
        {"undecodable_coding", with("Transfer-Encoding: br\r\n" + length)},
        {"malformed_field_name", with("X Note: a\r\n" + length)},
        {"malformed_field_name", with("X-Note : a\r\n" + length)},
        {"folded_line", with("X-Note: a\r\n b\r\n" + length)},
        {"bare_line_end", "HTTP/1.1 200 OK\nX-Note: a\r\n" + length + "\r\n" + body},
    };
}

} // namespace savoryrelay::tests
