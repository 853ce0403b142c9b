// Fuzzes the reader of answers: at splits and with room for the body that the input chooses, its
// verdict, status, fields and body are those of a plain reading of the grammar.
#include "savoryrelay/protocol/http_answer/answer_reader.h"
#include "support/plain_answer_grammar.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace savoryrelay;
using protocol::reading_stage;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

// The choices of one run, which repeat when they are used up.
class choices {
public:
    explicit choices(std::string_view bytes) : m_bytes(bytes) {}
    std::size_t next() {
        const auto byte = static_cast<unsigned char>(m_bytes[m_at++ % m_bytes.size()]);
        return std::size_t{1} + byte % 64;
    }

private:
    std::string_view m_bytes;
    std::size_t m_at = 0;
};

// Returns the fields grouped by name, because the decoder keeps those of one name together.
std::map<std::string, std::vector<std::pair<std::string, std::string>>>
by_name(const std::vector<std::pair<std::string, std::string>>& fields) {
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> groups;
    for (const auto& field : fields) {
        auto name = field.first;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        groups[name].push_back(field);
    }
    return groups;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::size_t choice_bytes = 4;
    if (size <= choice_bytes) {
        return 0;
    }
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    choices chosen(input.substr(0, choice_bytes));
    const bool answers_head = input[0] % 8 == 7;
    const auto bytes = input.substr(choice_bytes);

    // The reader gets the bytes in pieces, and then the end of the connection.
    protocol::answer_reader reader(answers_head ? protocol::request_kind::head
                                                : protocol::request_kind::other);
    std::string body;
    std::size_t consumed = 0;
    std::array<char, 64> out{};
    const auto is_reading = [&] {
        return reader.stage() == reading_stage::head || reader.stage() == reading_stage::body;
    };
    while (is_reading() && consumed < bytes.size()) {
        const auto piece = bytes.substr(consumed, chosen.next());
        if (reader.stage() == reading_stage::head) {
            const auto taken = reader.read_head(piece);
            require(taken == piece.size() || reader.stage() != reading_stage::head);
            consumed += taken;
            continue;
        }
        const auto room = chosen.next();
        const auto step = reader.read_body(piece, {out.data(), room});
        require(step.produced <= room && step.consumed <= piece.size());
        require(step.consumed == piece.size() || step.produced == room ||
                reader.stage() != reading_stage::body);
        body.append(out.data(), step.produced);
        consumed += step.consumed;
    }
    reader.end_connection();

    const auto expected = tests::plain_answer_grammar(bytes, answers_head).read();
    require(reader.defect() != protocol::answer_defect::undecoded);
    require((reader.stage() == reading_stage::complete) == expected.is_accepted);
    require(reader.has_head() == expected.has_head);
    require(body == expected.body);
    if (!expected.has_head) {
        return 0;
    }
    require(static_cast<int>(reader.status()) == expected.status);
    // No byte of the body is read as a field.
    std::vector<std::pair<std::string, std::string>> fields;
    for (const auto& field : reader.fields()) {
        fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    require(by_name(fields) == by_name(expected.fields));
    if (expected.is_accepted) {
        require(consumed == expected.consumed);
        require(reader.allows_reuse() == expected.is_kept);
    }
    return 0;
}
