// Tests the lines that open a tunnel between hosts.
#include "savoryrelay/protocol/relay/relay_messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>
#include <string>

using namespace savoryrelay;
using namespace savoryrelay::protocol;

TEST_CASE("a request for a tunnel is read as it was written", "[relay]") {
    const relay_request request{state::endpoint_id("i-7/\xc3\xa9"), 1'764'000'000'123};
    const auto line = encode_relay_request(request);
    REQUIRE(line);
    CHECK(*line == "relay 1 i-7/\xc3\xa9 1764000000123\n");
    CHECK(decode_relay_request(*line) == request);
    const relay_request last{state::endpoint_id("i"), std::numeric_limits<std::uint64_t>::max()};
    CHECK(decode_relay_request(*encode_relay_request(last)) == last);
}

TEST_CASE("a request of another form is refused", "[relay]") {
    for (const std::string line : {"",
                                   "\n",
                                   "relay",
                                   "relay 1\n",
                                   "relay 1 \n",
                                   "relay 1 i-1\n",
                                   "relay 1 i-1 \n",
                                   "relay 1  5\n",
                                   "relay 1 i-1 5",
                                   "relay 1 i-1 5 \n",
                                   "relay 1 i-1  5\n",
                                   "relay 1 i-1 5\r\n",
                                   "relay 1 i-1 5\n\n",
                                   "relay 1 i-1 5\nx",
                                   "relay 1 i-1 +5\n",
                                   "relay 1 i-1 -5\n",
                                   "relay 1 i-1 05\n",
                                   "relay 1 i-1 5x\n",
                                   "relay 2 i-1 5\n",
                                   "Relay 1 i-1 5\n",
                                   " relay 1 i-1 5\n",
                                   "relay 1 i\t1 5\n",
                                   "relay 1 i\x7f 5\n",
                                   "relay 1 i\n1 5\n",
                                   "relay 1 i-1 18446744073709551616\n",
                                   "GET / HTTP/1.1\r\n"}) {
        INFO(line);
        CHECK_FALSE(decode_relay_request(line));
    }
    CHECK_FALSE(decode_relay_request(std::string("relay 1 i\0 5\n", 13)));
}

TEST_CASE("the size of a request for a tunnel is bounded with its line end", "[relay]") {
    const std::size_t others = std::string("relay 1  5\n").size();
    const relay_request longest{state::endpoint_id(std::string(max_relay_line_bytes - others, 'i')),
                                5};
    const auto line = encode_relay_request(longest);
    REQUIRE(line);
    CHECK(line->size() == max_relay_line_bytes);
    CHECK(decode_relay_request(*line) == longest);
    const std::string long_id(max_relay_line_bytes - others + 1, 'i');
    CHECK_FALSE(encode_relay_request({state::endpoint_id(long_id), 5}));
    CHECK_FALSE(decode_relay_request("relay 1 " + long_id + " 5\n"));
    for (const auto* id : {"", "i 1", "i\n1", "i\t"}) {
        CHECK_FALSE(encode_relay_request({state::endpoint_id(id), 5}));
    }
}

TEST_CASE("each reply about a tunnel is read as it was written", "[relay]") {
    for (const auto& row : state::enum_table<relay_reply>::rows) {
        const auto line = encode_relay_reply(row.value);
        CHECK(line == std::string(row.name) + "\n");
        CHECK(decode_relay_reply(line) == row.value);
        CHECK_FALSE(decode_relay_reply(row.name));
        CHECK_FALSE(decode_relay_reply(line + "x"));
        CHECK_FALSE(decode_relay_reply(line + "\n"));
    }
    CHECK_FALSE(decode_relay_reply("\n"));
    CHECK_FALSE(decode_relay_reply("connecte\n"));
}

TEST_CASE("a line that is accepted is the line of its request", "[relay]") {
    const auto text_of = [](const std::string& bytes) {
        return rc::gen::container<std::string>(rc::gen::elementOf(bytes));
    };
    CHECK(rc::check("a request has one spelling", [&] {
        const auto id = *text_of("ab01 \n");
        const auto number = *text_of("0123456789 -\n");
        const auto line = "relay 1 " + id + " " + number + "\n";
        if (const auto read = decode_relay_request(line)) {
            RC_ASSERT(encode_relay_request(*read) == line);
        }
    }));
    CHECK(rc::check("a valid request is read as it was written", [&] {
        const auto id = *rc::gen::nonEmpty(text_of("abcxyz019-_./:"));
        const relay_request request{state::endpoint_id(id), *rc::gen::arbitrary<std::uint64_t>()};
        const auto line = encode_relay_request(request);
        RC_ASSERT(line.has_value());
        RC_ASSERT(decode_relay_request(*line) == request);
    }));
}
