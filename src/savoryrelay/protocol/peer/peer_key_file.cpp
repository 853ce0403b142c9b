// Parses the peer key file.
#include "savoryrelay/protocol/peer/peer_key_file.h"

#include <sstream>
#include <vector>

namespace savoryrelay::protocol {

state::result<peer_keys> read_peer_keys(const std::string& text) {
    constexpr std::size_t max_keys = 2;
    std::istringstream lines(text);
    std::string line;
    std::vector<peer_key> parsed;
    while (std::getline(lines, line)) {
        std::istringstream words(line);
        peer_key key;
        std::string rest;
        if (!(words >> key.id >> key.secret) || words >> rest || parsed.size() == max_keys) {
            return state::fail(state::failure_kind::invalid_settings,
                               "the peer key file must have one or two lines, each with an "
                               "identifier and a secret");
        }
        parsed.push_back(std::move(key));
    }
    if (parsed.empty()) {
        return state::fail(state::failure_kind::invalid_settings, "the peer key file is empty");
    }
    peer_keys keys;
    keys.current = parsed.front();
    if (parsed.size() == max_keys) {
        keys.previous = parsed.back();
    }
    BOOST_LEAF_CHECK(check_keys(keys));
    return keys;
}

} // namespace savoryrelay::protocol
