// Reads record folders and export files.
#include "record_files.h"

#include "command.h"

#include "savoryrelay/protocol/record/record_json.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <tuple>

namespace savoryrelay::ctl {
namespace {

namespace fs = std::filesystem;
using protocol::export_kind;
using state::failure_kind;

constexpr std::string_view segment_extension = ".segment";
constexpr std::string_view content_extension = ".content";
constexpr const char* keys_file_name = "public-keys.json";
constexpr const char* anchors_file_name = "anchors.json";

protocol::byte_source file_source(const std::shared_ptr<std::ifstream>& file) {
    return [file](char* buffer, std::size_t size) {
        file->read(buffer, static_cast<std::streamsize>(size));
        return static_cast<std::size_t>(file->gcount());
    };
}

state::result<void> visit_file(const fs::path& path, const std::string& name, export_kind kind,
                               const record_file_hook& visit) {
    const auto file = std::make_shared<std::ifstream>(path, std::ios::binary);
    if (!*file) {
        return state::fail(failure_kind::not_found, "'" + path.string() + "' cannot be read");
    }
    return visit({kind, name, fs::file_size(path), file_source(file)});
}

// Returns a key that orders files by segment number, and each segment before its
// content.
auto sort_key(const std::string& name) {
    return std::tuple(name.substr(0, name.find('.')), !name.ends_with(segment_extension), name);
}

state::result<void> visit_chain(const fs::path& folder, const record_file_hook& visit) {
    std::vector<std::string> names;
    for (const auto& file : fs::directory_iterator(folder)) {
        auto name = file.path().filename().string();
        if (name.ends_with(segment_extension) || name.ends_with(content_extension)) {
            names.push_back(std::move(name));
        }
    }
    std::sort(names.begin(), names.end(),
              [](const auto& left, const auto& right) { return sort_key(left) < sort_key(right); });
    for (const auto& name : names) {
        const auto kind =
            name.ends_with(segment_extension) ? export_kind::segment : export_kind::content;
        BOOST_LEAF_CHECK(
            visit_file(folder / name, folder.filename().string() + "/" + name, kind, visit));
    }
    return {};
}

// Returns the folder that contains the chains. In a copy of the object store this is
// the folder "record".
fs::path chains_folder(const fs::path& path) {
    return fs::is_directory(path / "record") ? path / "record" : path;
}

state::result<void> visit_folder(const fs::path& path, const record_file_hook& visit) {
    std::vector<fs::path> chains;
    for (const auto& entry : fs::directory_iterator(chains_folder(path))) {
        if (entry.is_directory()) {
            chains.push_back(entry.path());
        }
    }
    std::sort(chains.begin(), chains.end());
    for (const auto& chain : chains) {
        BOOST_LEAF_CHECK(visit_chain(chain, visit));
    }
    return {};
}

// Calls `visit` for all frames, including those of keys and anchors.
state::result<void> visit_export(const std::string& path, const record_file_hook& visit) {
    const auto file = std::make_shared<std::ifstream>(path, std::ios::binary);
    if (!*file) {
        return state::fail(failure_kind::not_found, "'" + path + "' cannot be read");
    }
    protocol::export_reader reader(file_source(file));
    if (!reader.read_start()) {
        return state::fail(failure_kind::record_damaged,
                           "'" + path + "' is neither a folder nor an export file of version 1");
    }
    protocol::export_frame_header frame;
    while (reader.next(frame)) {
        BOOST_LEAF_CHECK(visit({frame.kind, frame.name, frame.size, reader.content()}));
    }
    if (!reader.complete()) {
        return state::fail(failure_kind::record_damaged, "'" + path + "' is cut short or damaged");
    }
    return {};
}

state::result<std::string> read_all(const record_file& file) {
    constexpr std::uint64_t max_bytes = 64 * 1024 * 1024;
    if (file.size > max_bytes) {
        return state::fail(failure_kind::record_damaged, "keys or anchors are larger than 64 MiB");
    }
    std::string text(static_cast<std::size_t>(file.size), '\0');
    std::size_t filled = 0;
    while (filled < text.size()) {
        const auto count = file.source(text.data() + filled, text.size() - filled);
        if (count == 0) {
            break;
        }
        filled += count;
    }
    text.resize(filled);
    return text;
}

struct verifier_input_texts {
    std::optional<std::string> keys;
    std::optional<std::string> anchors;
};

state::result<verifier_input_texts> read_folder_texts(const fs::path& path) {
    verifier_input_texts texts;
    if (fs::exists(path / keys_file_name)) {
        BOOST_LEAF_ASSIGN(texts.keys, read_file((path / keys_file_name).string()));
    }
    if (fs::exists(path / anchors_file_name)) {
        BOOST_LEAF_ASSIGN(texts.anchors, read_file((path / anchors_file_name).string()));
    }
    return texts;
}

// Reads the keys and anchors, which are the first frames of an export file.
state::result<verifier_input_texts> read_export_texts(const std::string& path) {
    verifier_input_texts texts;
    const auto file = std::make_shared<std::ifstream>(path, std::ios::binary);
    protocol::export_reader reader(file_source(file));
    protocol::export_frame_header frame;
    if (!*file || !reader.read_start()) {
        return state::fail(failure_kind::not_found,
                           "'" + path + "' is neither a folder nor an export file of version 1");
    }
    while (reader.next(frame) &&
           (frame.kind == export_kind::keys || frame.kind == export_kind::anchors)) {
        BOOST_LEAF_AUTO(text, read_all({frame.kind, frame.name, frame.size, reader.content()}));
        (frame.kind == export_kind::keys ? texts.keys : texts.anchors) = std::move(text);
    }
    return texts;
}

} // namespace

state::result<void> visit_record(const std::string& path, const record_file_hook& visit) {
    const auto visit_segments_and_content = [&](const record_file& file) -> state::result<void> {
        const bool wanted = file.kind == export_kind::segment || file.kind == export_kind::content;
        return wanted ? visit(file) : state::result<void>{};
    };
    try {
        return fs::is_directory(path) ? visit_folder(path, visit_segments_and_content)
                                      : visit_export(path, visit_segments_and_content);
    } catch (const fs::filesystem_error& error) {
        return state::fail(failure_kind::not_found, error.what());
    }
}

state::result<protocol::verifier_inputs>
read_verifier_inputs(const std::string& path, const std::optional<std::string>& keys_file,
                     const std::optional<std::string>& anchors_file) {
    BOOST_LEAF_AUTO(texts,
                    fs::is_directory(path) ? read_folder_texts(path) : read_export_texts(path));
    if (keys_file) {
        BOOST_LEAF_ASSIGN(texts.keys, read_file(*keys_file));
    }
    if (anchors_file) {
        BOOST_LEAF_ASSIGN(texts.anchors, read_file(*anchors_file));
    }
    protocol::verifier_inputs inputs;
    if (texts.keys) {
        BOOST_LEAF_ASSIGN(inputs.keys, protocol::decode_public_keys(*texts.keys));
    }
    if (texts.anchors) {
        BOOST_LEAF_ASSIGN(inputs.anchors, protocol::decode_anchors(*texts.anchors));
    }
    return inputs;
}

} // namespace savoryrelay::ctl
