// A table of the forms that an HTTP/1.x answer can take, valid and invalid ones, by the section
// of RFC 9110 or RFC 9112 that decides about them.
#pragma once

#include "savoryrelay/protocol/http_answer/answer_defect.h"
#include "savoryrelay/protocol/http_answer/answer_head.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// A form: bytes, after which the connection ends, and what must come of them.
struct answer_form {
    std::string section; ///< "9112-4" is RFC 9112 section 4
    std::string name;    ///< unique
    std::string bytes;
    protocol::answer_defect defect = protocol::answer_defect::none;
    unsigned status = 0; ///< only without a defect, like the members below
    std::string body;
    bool is_kept = false; ///< the connection may carry another answer
    std::size_t left = 0; ///< bytes that follow the answer
    protocol::request_kind request = protocol::request_kind::other;
};

namespace forms {

using protocol::answer_defect;

/// An answer that is accepted and lets its connection carry another one.
inline answer_form kept(std::string section, std::string name, std::string bytes, unsigned status,
                        std::string body) {
    return {std::move(section),
            std::move(name),
            std::move(bytes),
            answer_defect::none,
            status,
            std::move(body),
            true,
            0,
            protocol::request_kind::other};
}

/// An answer that is accepted and whose connection carries no other.
inline answer_form last(std::string section, std::string name, std::string bytes, unsigned status,
                        std::string body) {
    auto form =
        kept(std::move(section), std::move(name), std::move(bytes), status, std::move(body));
    form.is_kept = false;
    return form;
}

/// Bytes that are no answer.
inline answer_form bad(std::string section, std::string name, std::string bytes,
                       answer_defect defect) {
    answer_form form;
    form.section = std::move(section);
    form.name = std::move(name);
    form.bytes = std::move(bytes);
    form.defect = defect;
    return form;
}

inline answer_form to_head(answer_form form) {
    form.request = protocol::request_kind::head;
    return form;
}

inline answer_form with_left(answer_form form, std::size_t left) {
    form.left = left;
    return form;
}

/// An answer of 2 bytes with more header lines, each with its CRLF.
inline std::string with_fields(const std::string& lines) {
    return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\nab";
}

/// An answer without a length with header lines, each with its CRLF.
inline std::string framed_by(const std::string& lines, const std::string& rest = "ab") {
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + rest;
}

inline std::string chunked(const std::string& rest) {
    return framed_by("Transfer-Encoding: chunked\r\n", rest);
}

inline std::string announcing(const std::string& names, const std::string& rest) {
    return framed_by("Transfer-Encoding: chunked\r\nTrailer: " + names + "\r\n", rest);
}

inline std::string with_status(const std::string& code) {
    return "HTTP/1.1 " + code + " X\r\nContent-Length: 2\r\n\r\nab";
}

inline std::string nul() {
    return std::string(1, '\0');
}

inline std::vector<answer_form> status_lines() {
    const auto with_line = [](const std::string& line) {
        return line + "\r\nContent-Length: 2\r\n\r\nab";
    };
    using d = answer_defect;
    return {
        kept("9112-4", "plain", with_line("HTTP/1.1 200 OK"), 200, "ab"),
        kept("9112-4", "reason of several words", with_line("HTTP/1.1 404 Not Found"), 404, "ab"),
        kept("9112-4", "empty reason behind its SP", with_line("HTTP/1.1 200 "), 200, "ab"),
        kept("9112-4", "reason with HTAB", with_line("HTTP/1.1 200 a\tb"), 200, "ab"),
        kept("9112-4", "reason with obs-text", with_line("HTTP/1.1 200 \xc3\xa4"), 200, "ab"),
        kept("9112-4", "reason that begins with SP", with_line("HTTP/1.1 200  OK"), 200, "ab"),
        bad("9112-4", "no SP before the reason", with_line("HTTP/1.1 200"),
            d::malformed_status_line),
        bad("9112-4", "HTAB before the reason", with_line("HTTP/1.1 200\tOK"),
            d::malformed_status_line),
        bad("9112-4", "two SP before the status", with_line("HTTP/1.1  200 OK"),
            d::malformed_status_line),
        bad("9112-4", "HTAB before the status", with_line("HTTP/1.1\t200 OK"),
            d::malformed_status_line),
        bad("9112-4", "two digits", with_line("HTTP/1.1 20 OK"), d::malformed_status_line),
        bad("9112-4", "four digits", with_line("HTTP/1.1 2000 OK"), d::malformed_status_line),
        bad("9112-4", "signed status", with_line("HTTP/1.1 +20 OK"), d::malformed_status_line),
        bad("9112-4", "hexadecimal status", with_line("HTTP/1.1 2a0 OK"), d::malformed_status_line),
        bad("9112-4", "no status", with_line("HTTP/1.1 OK"), d::malformed_status_line),
        bad("9112-4", "version alone", with_line("HTTP/1.1"), d::malformed_status_line),
        bad("9112-4", "NUL in the reason", with_line("HTTP/1.1 200 O" + nul() + "K"),
            d::control_byte),
        bad("9112-4", "DEL in the reason", with_line("HTTP/1.1 200 O\x7fK"), d::control_byte),
        bad("9112-4", "ESC in the reason", with_line("HTTP/1.1 200 \x1b[2J"), d::control_byte),
        bad("9112-2.2", "CR in the reason", with_line("HTTP/1.1 200 O\rK"), d::bare_line_end),
        bad("9112-2.2", "status line ends with LF", "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
            d::bare_line_end),
        bad("9112-2.2", "status line ends with CR CR LF", with_line("HTTP/1.1 200 OK\r"),
            d::bare_line_end),
        bad("9112-2.2", "empty line first", "\r\n" + with_line("HTTP/1.1 200 OK"),
            d::not_an_answer),
        bad("9112-2.2", "LF first", "\n" + with_line("HTTP/1.1 200 OK"), d::bare_line_end),
        bad("9112-2.2", "SP first", " " + with_line("HTTP/1.1 200 OK"), d::not_an_answer),
        last("9112-2.3", "HTTP/1.0", with_line("HTTP/1.0 200 OK"), 200, "ab"),
        kept("9112-C.2.2", "HTTP/1.0 with keep-alive",
             with_line("HTTP/1.0 200 OK\r\nConnection: Keep-Alive"), 200, "ab"),
        last("9112-9.6", "HTTP/1.0 with keep-alive and close",
             with_line("HTTP/1.0 200 OK\r\nConnection: keep-alive, close"), 200, "ab"),
        bad("9112-2.3", "HTTP/1.2", with_line("HTTP/1.2 200 OK"), d::unsupported_version),
        bad("9112-2.3", "HTTP/2.0", with_line("HTTP/2.0 200 OK"), d::unsupported_version),
        bad("9112-2.3", "HTTP/0.9", with_line("HTTP/0.9 200 OK"), d::unsupported_version),
        bad("9112-2.3", "HTTP/2", with_line("HTTP/2 200 OK"), d::malformed_status_line),
        bad("9112-2.3", "HTTP/1.10", with_line("HTTP/1.10 200 OK"), d::malformed_status_line),
        bad("9112-2.3", "lower-case name", with_line("http/1.1 200 OK"), d::not_an_answer),
        bad("9112-2.3", "another protocol", "SSH-2.0-OpenSSH_9.0\r\n\r\n", d::not_an_answer),
        bad("9112-2.3", "body without a head", "ok", d::not_an_answer),
        bad("9112-8", "nothing", "", d::ended_early),
        bad("9112-8", "end within the status line", "HTTP/1.1 20", d::ended_early),
        bad("9112-8", "end within the fields", "HTTP/1.1 200 OK\r\nContent-", d::ended_early),
        bad("9112-8", "end before the empty line", "HTTP/1.1 200 OK\r\nA: b\r\n", d::ended_early),
    };
}

inline std::vector<answer_form> status_codes() {
    using d = answer_defect;
    return {
        bad("9110-15", "status 000", with_status("000"), d::status_out_of_range),
        bad("9110-15", "status 001", with_status("001"), d::status_out_of_range),
        bad("9110-15", "status 099", with_status("099"), d::status_out_of_range),
        bad("9110-15", "status 600", with_status("600"), d::status_out_of_range),
        bad("9110-15", "status 999", with_status("999"), d::status_out_of_range),
        kept("9110-15", "status 599", with_status("599"), 599, "ab"),
        kept("9110-15", "status 299", with_status("299"), 299, "ab"),
        kept("9110-15.2", "informational head before the answer",
             "HTTP/1.1 100 Continue\r\n\r\n" + with_status("200"), 200, "ab"),
        kept("9110-15.2", "unknown informational head with fields",
             "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + with_status("200"), 200, "ab"),
        kept(
            "9110-15.2", "eight informational heads",
            [] {
                std::string heads;
                for (int i = 0; i < 8; ++i) {
                    heads += "HTTP/1.1 102 X\r\n\r\n";
                }
                return heads;
            }() +
                with_status("200"),
            200, "ab"),
        bad(
            "9110-15.2", "nine informational heads",
            [] {
                std::string heads;
                for (int i = 0; i < 9; ++i) {
                    heads += "HTTP/1.1 102 X\r\n\r\n";
                }
                return heads;
            }() +
                with_status("200"),
            d::too_many_heads),
        bad("9110-15.2", "informational head alone", "HTTP/1.1 100 Continue\r\n\r\n",
            d::ended_early),
        bad("9110-15.2.2", "101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            d::unrequested_upgrade),
        bad("9110-8.6", "length in an informational head",
            "HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\n" + with_status("200"),
            d::framed_without_body),
        bad("9112-6.1", "coding in an informational head",
            "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n" + with_status("200"),
            d::framed_without_body),
        bad("9110-5.5", "defect in an informational head",
            "HTTP/1.1 100 X\r\nA b: c\r\n\r\n" + with_status("200"), d::malformed_field_name),
        kept("9110-15.3.5", "204", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
        with_left(kept("9110-15.3.5", "204 with bytes behind it",
                       "HTTP/1.1 204 No Content\r\n\r\nab", 204, ""),
                  2),
        bad("9110-8.6", "204 with a length", "HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\nab",
            d::framed_without_body),
        kept("9110-8.6", "204 with length 0", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", 204,
             ""),
        bad("9112-6.1", "204 with a coding",
            "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            d::framed_without_body),
        kept("9110-15.3.6", "205 with length 0", "HTTP/1.1 205 X\r\nContent-Length: 0\r\n\r\n", 205,
             ""),
        kept("9110-15.3.6", "205 with an empty chunked body",
             "HTTP/1.1 205 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 205, ""),
        last("9110-15.3.6", "205 that ends with its connection", "HTTP/1.1 205 X\r\n\r\n", 205, ""),
        bad("9110-15.3.6", "205 with a length", "HTTP/1.1 205 X\r\nContent-Length: 2\r\n\r\nab",
            d::content_in_reset),
        bad("9110-15.3.6", "205 with a chunk",
            "HTTP/1.1 205 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
            d::content_in_reset),
        bad("9110-15.3.6", "205 with content until the end", "HTTP/1.1 205 X\r\n\r\na",
            d::content_in_reset),
        kept("9110-15.4.5", "304 with a length",
             "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""),
        kept("9112-6.1", "304 with a coding",
             "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304, ""),
        to_head(kept("9110-9.3.2", "HEAD with a length",
                     "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n", 200, "")),
        to_head(kept("9112-6.3", "HEAD with a coding",
                     framed_by("Transfer-Encoding: chunked\r\n", ""), 200, "")),
        to_head(kept("9112-6.3", "HEAD without framing", framed_by("", ""), 200, "")),
        to_head(with_left(
            kept("9112-6.3", "HEAD with bytes behind it", with_status("200"), 200, ""), 2)),
        to_head(bad("9110-15", "HEAD with status 000", with_status("000"), d::status_out_of_range)),
        to_head(bad("9112-6.1", "HEAD with an unknown coding",
                    framed_by("Transfer-Encoding: br\r\n", ""), d::undecodable_coding)),
    };
}

inline std::vector<answer_form> field_lines() {
    using d = answer_defect;
    const auto name = d::malformed_field_name;
    std::vector<answer_form> all{
        kept("9110-5.5", "no blank before the value", with_fields("A:b\r\n"), 200, "ab"),
        kept("9110-5.5", "blanks around the value", with_fields("A: \t b \t\r\n"), 200, "ab"),
        kept("9110-5.5", "empty value", with_fields("A:\r\n"), 200, "ab"),
        kept("9110-5.5", "value of blanks", with_fields("A: \t \r\n"), 200, "ab"),
        kept("9110-5.5", "HTAB within the value", with_fields("A: b\tc\r\n"), 200, "ab"),
        kept("9110-5.5", "obs-text in the value", with_fields("A: \xff\x80\r\n"), 200, "ab"),
        kept("9110-5.5", "colons in the value", with_fields("A: b:c: d\r\n"), 200, "ab"),
        kept("9110-5.1", "all token characters", with_fields("!#$%&'*+-.^_`|~09azAZ: b\r\n"), 200,
             "ab"),
        kept("9110-5.3", "two fields of one name", with_fields("A: b\r\nA: c\r\n"), 200, "ab"),
        bad("9112-5.1", "SP before the colon", with_fields("Server-Seal : b\r\n"), name),
        bad("9112-5.1", "HTAB before the colon", with_fields("A\t: b\r\n"), name),
        bad("9112-5.1", "SP within the name", with_fields("Server Seal: b\r\n"), name),
        bad("9112-5.1", "HTAB within the name", with_fields("Server\tSeal: b\r\n"), name),
        bad("9112-5.1", "SP before the colon of the length", framed_by("Content-Length : 2\r\n"),
            name),
        bad("9110-5.1", "empty name", with_fields(": b\r\n"), name),
        bad("9110-5.1", "no colon", with_fields("A b\r\n"), name),
        bad("9110-5.1", "name alone", with_fields("A\r\n"), name),
        bad("9110-5.1", "NUL in the name", with_fields("A" + nul() + "B: c\r\n"), name),
        bad("9110-5.1", "SOH in the name", with_fields("A\x01: c\r\n"), name),
        bad("9110-5.1", "VT in the name", with_fields("A\x0b: c\r\n"), name),
        bad("9110-5.1", "ESC in the name", with_fields("\x1b: c\r\n"), name),
        bad("9110-5.1", "DEL in the name", with_fields("A\x7f: c\r\n"), name),
        bad("9110-5.1", "obs-text in the name", with_fields("\xc3\xa4: c\r\n"), name),
        bad("9112-2.2", "CR in the name", with_fields("A\rB: c\r\n"), d::bare_line_end),
        bad("9112-2.2", "CR in the value", with_fields("A: b\rc\r\n"), d::bare_line_end),
        bad("9112-2.2", "CR before CRLF", with_fields("A: b\r\r\n"), d::bare_line_end),
        bad("9112-2.2", "LF in the value", with_fields("A: b\nC: d\r\n"), d::bare_line_end),
        bad("9112-2.2", "LF ends the head", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
            d::bare_line_end),
        bad("9112-2.2", "CR LF LF ends the head", "HTTP/1.1 204 OK\r\nA: b\r\n\n\r\n",
            d::bare_line_end),
        bad("9110-5.5", "NUL in the value", with_fields("A: b" + nul() + "\r\n"), d::control_byte),
        bad("9110-5.5", "BEL in the value", with_fields("A: \x07\r\n"), d::control_byte),
        bad("9110-5.5", "VT in the value",
            with_fields("A: b\x0b"
                        "c\r\n"),
            d::control_byte),
        bad("9110-5.5", "DEL in the value", with_fields("A: b\x7f\r\n"), d::control_byte),
        bad("9112-5.2", "line folded with SP", with_fields("A: b\r\n c\r\n"), d::folded_line),
        bad("9112-5.2", "line folded with HTAB", with_fields("A: b\r\n\tc\r\n"), d::folded_line),
        bad("9112-5.2", "folded line of blanks", with_fields("A: b\r\n \r\n"), d::folded_line),
        bad("9112-2.2", "SP before the first field", with_fields(" A: b\r\n"), d::folded_line),
        bad("9112-2.2", "HTAB before the first field", with_fields("\tA: b\r\n"), d::folded_line),
        bad("9112-2", "status line within a value",
            "HTTP/1.1 200 OK\r\nContent-TyHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", name),
        bad("9112-2", "status line behind a value",
            with_fields("Content-Type: text/HTTP/1.1 200 OK\r\n"), d::spliced_answer),
        bad("9112-2", "status line behind a reason",
            "HTTP/1.1 200 OHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", d::spliced_answer),
        kept("9110-7.6.3", "version within a value", with_fields("Via: HTTP/1.1 a\r\n"), 200, "ab"),
        last("9112-9.6", "Connection: close", with_fields("Connection: Close\r\n"), 200, "ab"),
        kept("9110-7.6.1", "other connection options", with_fields("Connection: , a,\tTE ,\r\n"),
             200, "ab"),
        kept("9110-7.6.1", "empty Connection", with_fields("Connection:\r\n"), 200, "ab"),
        bad("9110-7.6.1", "Connection with parameters", with_fields("Connection: a=b\r\n"),
            d::malformed_connection),
        bad("9110-7.6.1", "Connection with a blank", with_fields("Connection: close now\r\n"),
            d::malformed_connection),
        bad("9110-6.6.2", "Trailer with a blank", with_fields("Trailer: A b\r\n"),
            d::malformed_trailer_list),
    };
    // The limit holds for the head with its empty line.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: ";
    const auto filling = protocol::max_head_bytes - head.size() - 4;
    all.push_back(kept("9110-5.4", "head of the largest size",
                       head + std::string(filling, 'x') + "\r\n\r\n", 200, ""));
    all.push_back(bad("9110-5.4", "head above the largest size",
                      head + std::string(filling + 1, 'x') + "\r\n\r\n", d::head_too_large));
    all.push_back(bad("9110-5.4", "head without end", head + std::string(filling + 99, 'x'),
                      d::head_too_large));
    return all;
}

inline std::vector<answer_form> lengths_and_codings() {
    using d = answer_defect;
    const auto coding = [](const std::string& value) {
        return framed_by("Transfer-Encoding:" + value + "\r\n", "2\r\nab\r\n0\r\n\r\n");
    };
    const auto length = [](const std::string& value) {
        return framed_by("Content-Length:" + value + "\r\n");
    };
    return {
        kept("9110-8.6", "length 0", framed_by("Content-Length: 0\r\n", ""), 200, ""),
        kept("9110-8.6", "length with leading zeros", length(" 0002"), 200, "ab"),
        kept("9110-8.6", "length in lower case", framed_by("content-length: 2\r\n"), 200, "ab"),
        kept("9110-8.6", "list of identical lengths", length(" 2, 2"), 200, "ab"),
        kept("9110-8.6", "two identical lengths",
             framed_by("Content-Length: 2\r\nContent-Length: 2\r\n"), 200, "ab"),
        bad("9110-8.6", "two lengths", framed_by("Content-Length: 2\r\nContent-Length: 1\r\n"),
            d::conflicting_lengths),
        bad("9110-8.6", "list of two lengths", length(" 2,1"), d::conflicting_lengths),
        bad("9110-8.6", "lengths of equal value", length(" 2, 02"), d::conflicting_lengths),
        bad("9110-8.6", "list with an empty element", length(" 2,"), d::malformed_length),
        bad("9110-8.6", "empty length", length(""), d::malformed_length),
        bad("9110-8.6", "signed length", length(" +2"), d::malformed_length),
        bad("9110-8.6", "negative length", length(" -2"), d::malformed_length),
        bad("9110-8.6", "hexadecimal length", length(" 0x2"), d::malformed_length),
        bad("9110-8.6", "fractional length", length(" 2.0"), d::malformed_length),
        bad("9110-8.6", "length with a blank", length(" 2 0"), d::malformed_length),
        bad("9110-8.6", "length with a word", length(" two"), d::malformed_length),
        bad("9110-8.6", "quoted length", length(" \"2\""), d::malformed_length),
        bad("9110-8.6", "length of 2^64", length(" 18446744073709551616"), d::malformed_length),
        bad("9112-8", "length of 2^64 - 1, body of 2", length(" 18446744073709551615"),
            d::ended_early),
        bad("9112-8", "body below its length", framed_by("Content-Length: 3\r\n"), d::ended_early),
        bad("9112-8", "no body behind a length", framed_by("Content-Length: 3\r\n", ""),
            d::ended_early),
        with_left(kept("9112-6.3", "bytes behind the length", framed_by("Content-Length: 1\r\n"),
                       200, "a"),
                  1),
        with_left(kept("9112-6.3", "a head in the body and one behind it",
                       framed_by("Content-Length: 19\r\n",
                                 "HTTP/1.1 500 X\r\n\r\nHTTP/1.1 500 X\r\n\r\n"),
                       200, "HTTP/1.1 500 X\r\n\r\nH"),
                  17),
        last("9112-6.3", "body until the end of the connection", framed_by(""), 200, "ab"),
        last("9112-6.3", "empty body until the end of the connection", framed_by("", ""), 200, ""),
        last("9112-6.3", "a head in a body until the end", framed_by("", "aHTTP/1.1 500 X\r\n\r\n"),
             200, "aHTTP/1.1 500 X\r\n\r\n"),
        kept("9112-6.1", "chunked", coding(" chunked"), 200, "ab"),
        kept("9112-7", "chunked in capitals", coding(" CHUNKED"), 200, "ab"),
        kept("9110-5.6.3", "chunked with blanks around", coding("\t chunked \t"), 200, "ab"),
        bad("9112-6.1", "unknown coding", coding(" br"), d::undecodable_coding),
        bad("9112-6.1", "gzip", coding(" gzip"), d::undecodable_coding),
        bad("9112-7", "identity", coding(" identity"), d::undecodable_coding),
        bad("9112-6.1", "empty coding", coding(""), d::undecodable_coding),
        bad("9112-6.1", "chunked, gzip", coding(" chunked, gzip"), d::undecodable_coding),
        bad("9112-6.1", "gzip, chunked", coding(" gzip, chunked"), d::undecodable_coding),
        bad("9112-6.1", "chunked, chunked", coding(" chunked, chunked"), d::undecodable_coding),
        bad("9112-6.1", "chunked with an empty element", coding(" chunked,"),
            d::undecodable_coding),
        bad("9112-6.1", "chunked behind an empty element", coding(" ,chunked"),
            d::undecodable_coding),
        bad("9112-7", "quoted chunked", coding(" \"chunked\""), d::undecodable_coding),
        bad("9112-7.1", "chunked with a parameter", coding(" chunked;a=b"), d::undecodable_coding),
        bad("9112-7", "xchunked", coding(" xchunked"), d::undecodable_coding),
        bad("9112-7", "chunked with a VT",
            coding(" \x0b"
                   "chunked"),
            d::control_byte),
        bad("9112-6.1", "two codings",
            framed_by("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
            d::undecodable_coding),
        bad("9112-6.1", "coding and length",
            framed_by("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
                      "2\r\nab\r\n0\r\n\r\n"),
            d::coding_and_length),
        bad("9112-6.1", "length and coding",
            framed_by("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                      "2\r\nab\r\n0\r\n\r\n"),
            d::coding_and_length),
        bad("9112-6.1", "coding in HTTP/1.0",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            d::coding_in_http_1_0),
    };
}

inline std::vector<answer_form> chunked_bodies() {
    using d = answer_defect;
    const auto size = [](const std::string& line) { return chunked(line + "\r\nab\r\n0\r\n\r\n"); };
    std::vector<answer_form> all{
        kept("9112-7.1", "no chunk", chunked("0\r\n\r\n"), 200, ""),
        kept("9112-7.1", "last chunk of several zeros", chunked("000\r\n\r\n"), 200, ""),
        kept("9112-7.1", "two chunks", chunked("2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"), 200, "abc"),
        kept("9112-7.1", "size with leading zeros", size("0002"), 200, "ab"),
        kept("9112-7.1", "size with many leading zeros", size(std::string(30, '0') + "2"), 200,
             "ab"),
        kept("9112-7.1", "hexadecimal size in both cases",
             chunked("a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n"), 200,
             "01234567890123456789"),
        kept("9112-7.1", "line ends in the data", chunked("4\r\n\r\n\r\n\r\n0\r\n\r\n"), 200,
             "\r\n\r\n"),
        kept("9112-7.1", "a head in the data", chunked("12\r\nHTTP/1.1 500 X\r\n\r\n\r\n0\r\n\r\n"),
             200, "HTTP/1.1 500 X\r\n\r\n"),
        with_left(kept("9112-7.1", "bytes behind the last chunk", chunked("0\r\n\r\nab"), 200, ""),
                  2),
        last("9112-9.6", "chunked and close",
             framed_by("Connection: close\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 200,
             ""),
        kept("9112-7.1.1", "extension", size("2;a"), 200, "ab"),
        kept("9112-7.1.1", "extension with a value", size("2;a=b;c=1"), 200, "ab"),
        kept("9112-7.1.1", "extension with a quoted value", size("2;a=\"b;\\\" c\t\""), 200, "ab"),
        kept("9112-7.1.1", "extension of the last chunk", chunked("0;a=\"\"\r\n\r\n"), 200, ""),
        bad("9112-7.1.1", "extension without a name", size("2;"), d::malformed_extension),
        bad("9112-7.1.1", "extension without a value", size("2;a="), d::malformed_extension),
        bad("9112-7.1.1", "extension with an open quote", size("2;a=\"b"), d::malformed_extension),
        bad("9112-7.1.1", "extension with an escaped end", size("2;a=\"b\\\""),
            d::malformed_extension),
        bad("9112-7.1.1", "bytes behind a quoted value", size("2;a=\"b\"c"),
            d::malformed_extension),
        bad("9112-7.1.1", "blank behind the semicolon", size("2; a"), d::malformed_extension),
        bad("9112-7.1.1", "NUL in a quoted value", size("2;a=\"" + nul() + "\""),
            d::malformed_extension),
        bad("9112-7.1.1", "blank before the semicolon", size("2 ;a"), d::malformed_chunk_size),
        bad("9112-7.1", "blank behind the size", size("2 "), d::malformed_chunk_size),
        bad("9112-7.1", "blank before the size", size(" 2"), d::malformed_chunk_size),
        bad("9112-7.1", "HTAB behind the size", size("2\t"), d::malformed_chunk_size),
        bad("9112-7.1", "empty size", size(""), d::malformed_chunk_size),
        bad("9112-7.1", "extension without a size", size(";a"), d::malformed_chunk_size),
        bad("9112-7.1", "signed size", size("+2"), d::malformed_chunk_size),
        bad("9112-7.1", "negative size", size("-2"), d::malformed_chunk_size),
        bad("9112-7.1", "size with 0x", size("0x2"), d::malformed_chunk_size),
        bad("9112-7.1", "size with h", size("2h"), d::malformed_chunk_size),
        bad("9112-7.1", "size in words", size("zwei"), d::malformed_chunk_size),
        bad("9112-7.1", "size of 2^64", size("10000000000000000"), d::chunk_size_overflow),
        bad("9112-8", "size of 2^64 - 1", chunked("ffffffffffffffff\r\nab"), d::ended_early),
        bad("9112-2.2", "size line ends with LF", chunked("2\nab\r\n0\r\n\r\n"), d::bare_line_end),
        bad("9112-2.2", "size line ends with CR CR LF", size("2\r"), d::bare_line_end),
        bad("9112-7.1", "data longer than its size", chunked("1\r\nab\r\n0\r\n\r\n"),
            d::unterminated_chunk),
        bad("9112-7.1", "data shorter than its size", chunked("3\r\nab\r\n0\r\n\r\n"),
            d::unterminated_chunk),
        bad("9112-7.1", "LF behind the data", chunked("2\r\nab\n0\r\n\r\n"), d::unterminated_chunk),
        bad("9112-7.1", "CR behind the data", chunked("2\r\nab\r0\r\n\r\n"), d::unterminated_chunk),
        bad("9112-7.1", "nothing behind the data", chunked("2\r\nab0\r\n\r\n"),
            d::unterminated_chunk),
        bad("9112-8", "end within the data", chunked("3\r\nab"), d::ended_early),
        bad("9112-8", "end behind the data", chunked("2\r\nab"), d::ended_early),
        bad("9112-8", "end behind a chunk", chunked("2\r\nab\r\n"), d::ended_early),
        bad("9112-8", "end within a size line", chunked("2\r\nab\r\n0"), d::ended_early),
        bad("9112-8", "end before the last line", chunked("2\r\nab\r\n0\r\n"), d::ended_early),
        bad("9112-8", "end within the last line", chunked("2\r\nab\r\n0\r\n\r"), d::ended_early),
        bad("9112-8", "no chunk at all", chunked(""), d::ended_early),
        kept("9110-6.5", "announced trailer field", announcing("a", "0\r\nA: b\r\n\r\n"), 200, ""),
        kept("9110-6.6.2", "two announced trailer fields",
             announcing("A, B\r\nTrailer: C", "1\r\nx\r\n0\r\nC: d\r\nA: b\r\n\r\n"), 200, "x"),
        kept("9110-6.6.2", "announced field that does not come", announcing("A", "0\r\n\r\n"), 200,
             ""),
        bad("9110-6.6.2", "unannounced trailer field", chunked("0\r\nA: b\r\n\r\n"),
            d::unannounced_trailer),
        bad("9110-6.6.2", "trailer field beside an announced one",
            announcing("A", "0\r\nA: b\r\nB: c\r\n\r\n"), d::unannounced_trailer),
        bad("9110-6.5.1", "length in a trailer",
            announcing("Content-Length", "0\r\nContent-Length: 2\r\n\r\nab"), d::forbidden_trailer),
        bad("9110-6.5.1", "coding in a trailer",
            announcing("Transfer-Encoding", "0\r\ntransfer-encoding: chunked\r\n\r\n"),
            d::forbidden_trailer),
        bad("9110-6.5.1", "Connection in a trailer",
            announcing("Connection", "0\r\nConnection: close\r\n\r\n"), d::forbidden_trailer),
        bad("9110-6.5.1", "Content-Type in a trailer",
            announcing("Content-Type", "0\r\nContent-Type: a/b\r\n\r\n"), d::forbidden_trailer),
        bad("9110-6.5.1", "Retry-After in a trailer",
            announcing("Retry-After", "0\r\nRetry-After: 9\r\n\r\n"), d::forbidden_trailer),
        bad("9110-6.5.1", "Set-Cookie in a trailer",
            announcing("Set-Cookie", "0\r\nSet-Cookie: a=b\r\n\r\n"), d::forbidden_trailer),
        bad("9112-7.1.2", "trailer field with a blank in its name",
            announcing("A", "0\r\nA : b\r\n\r\n"), d::malformed_field_name),
        bad("9112-7.1.2", "folded trailer field", announcing("A", "0\r\nA: b\r\n c\r\n\r\n"),
            d::folded_line),
        bad("9112-7.1.2", "control byte in a trailer field",
            announcing("A", "0\r\nA: \x01\r\n\r\n"), d::control_byte),
        bad("9112-2.2", "trailer line ends with LF", announcing("A", "0\r\nA: b\n\r\n"),
            d::bare_line_end),
        bad("9112-7.1", "a chunk behind the last one", chunked("0\r\n2\r\nab\r\n0\r\n\r\n"),
            d::malformed_field_name),
        bad("9112-7.1", "another answer behind the last chunk",
            chunked("0\r\nHTTP/1.1 200 OK\r\n\r\n"), d::malformed_field_name),
        bad("9112-7.1", "another answer in place of a chunk",
            chunked("2\r\nab\r\n" + with_status("200")), d::malformed_chunk_size),
        bad("9112-7.1", "another answer within the data", chunked("3\r\na" + with_status("200")),
            d::unterminated_chunk),
    };
    const auto line = [&](std::size_t bytes) { return "2;" + std::string(bytes - 4, 'x'); };
    all.push_back(kept("9112-7.1.1", "size line of the largest size", size(line(4096)), 200, "ab"));
    all.push_back(bad("9112-7.1.1", "size line above the largest size", size(line(4097)),
                      d::chunk_line_too_long));
    // The limit holds for all trailer lines with the empty one.
    const auto trailers = [](std::size_t bytes) {
        return announcing("A", "0\r\nA: b\r\nA: " + std::string(bytes - 13, 'x') + "\r\n\r\n");
    };
    all.push_back(kept("9110-5.4", "trailers of the largest size",
                       trailers(protocol::max_head_bytes), 200, ""));
    all.push_back(bad("9110-5.4", "trailers above the largest size",
                      trailers(protocol::max_head_bytes + 1), d::trailers_too_large));
    return all;
}

} // namespace forms

/// Returns all forms.
inline std::vector<answer_form> answer_forms() {
    std::vector<answer_form> all;
    for (auto part : {forms::status_lines(), forms::status_codes(), forms::field_lines(),
                      forms::lengths_and_codings(), forms::chunked_bodies()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

} // namespace savoryrelay::tests
