// `savoryrelayctl audit`: runs the list, show, verify and export commands.
#include "audit_command.h"

#include "record_files.h"

#include "savoryrelay/protocol/record/record_filter.h"
#include "savoryrelay/protocol/record/record_json.h"
#include "savoryrelay/protocol/record/segment_encoder.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace savoryrelay::ctl {
namespace {

using protocol::export_kind;

constexpr const char* usage = R"(Lists, shows, verifies or exports a record.

Usage:
  savoryrelayctl audit (list|show|verify) <record> [options]
  savoryrelayctl audit export <record> <file> [options]
  savoryrelayctl audit --help

<record> is a folder with <chain>/<number>.segment files, or an export file.
  list    One line for each chain that has matching entries.
  show    Each matching entry; with --content also its stored content.
  verify  Checks all links, signatures, numbers, anchors and content.
  export  Writes the chains that have matching entries into one file. Each
          chain is exported completely, so that the file can be verified. With
          --customer, only the content of that customer is included.

Options:
  --keys=FILE        Public keys; default: public-keys.json in the folder.
  --anchors=FILE     Anchors; default: anchors.json in the folder, if it exists.
  --from=TIME        Entries at or after this UTC time, for example 2026-12-04 or
                     2026-12-04T08:30:00Z.
  --until=TIME       Entries before this UTC time.
  --customer=ID      Entries of this customer.
  --deployment=ID    Entries of this deployment.
  --request=ID       Entries of this request.
  --content          Show stored content.
  --json             Print one JSON object per line.
  --quiet            Print no progress to standard error.

Exit codes: 0 success, 1 the record has findings, 2 wrong arguments, 3 a file
cannot be read or written.
)";

struct audit_options {
    std::string path;
    protocol::record_filter filter;
    bool json = false;
    bool content = false;
    bool quiet = false;
};

void print_json(const boost::json::object& object) {
    std::cout << boost::json::serialize(object) << "\n";
}

// Prints the progress of reading to standard error, at most every two seconds.
class progress_reporter {
public:
    explicit progress_reporter(bool quiet) : m_quiet(quiet) {}

    void add(const record_file& file) {
        constexpr auto interval = std::chrono::seconds(2);
        constexpr std::uint64_t bytes_per_mib = 1024 * 1024;
        ++m_files;
        m_bytes += file.size;
        const auto now = std::chrono::steady_clock::now();
        if (!m_quiet && now - m_last_report >= interval) {
            m_last_report = now;
            std::cerr << "read " << m_files << " files, " << m_bytes / bytes_per_mib << " MiB; at "
                      << file.name << "\n";
        }
    }

private:
    bool m_quiet;
    std::uint64_t m_files = 0;
    std::uint64_t m_bytes = 0;
    std::chrono::steady_clock::time_point m_last_report = std::chrono::steady_clock::now();
};

state::result<audit_options> read_options(const argument_map& arguments) {
    audit_options options;
    options.path = arguments.at("<record>").asString();
    options.json = arguments.at("--json").asBool();
    options.content = arguments.at("--content").asBool();
    options.quiet = arguments.at("--quiet").asBool();
    if (const auto text = option_of(arguments, "--from")) {
        BOOST_LEAF_ASSIGN(options.filter.from, protocol::from_utc_text(*text));
    }
    if (const auto text = option_of(arguments, "--until")) {
        BOOST_LEAF_ASSIGN(options.filter.until, protocol::from_utc_text(*text));
    }
    if (const auto text = option_of(arguments, "--customer")) {
        options.filter.customer = state::customer_id(*text);
    }
    if (const auto text = option_of(arguments, "--deployment")) {
        options.filter.deployment = state::deployment_id(*text);
    }
    if (const auto text = option_of(arguments, "--request")) {
        options.filter.request = state::request_id(*text);
    }
    return options;
}

// Verifies every file of the record. Calls the hooks for each finding and entry.
state::result<protocol::record_summary>
verify_record(const audit_options& options, const protocol::verifier_inputs& inputs,
              const protocol::record_verifier::finding_hook& on_finding,
              const protocol::record_verifier::entry_hook& on_entry) {
    protocol::record_verifier verifier(inputs, on_finding, on_entry);
    progress_reporter reporter(options.quiet);
    BOOST_LEAF_CHECK(
        visit_record(options.path, [&](const record_file& file) -> state::result<void> {
            reporter.add(file);
            if (file.kind == export_kind::segment) {
                verifier.verify_segment(file.name, file.source);
            } else {
                verifier.verify_content(file.name, file.source);
            }
            return {};
        }));
    return verifier.finish();
}

void print_entry(const audit_options& options, const state::segment_header& header,
                 const state::record_entry& entry) {
    if (options.json) {
        print_json(protocol::entry_to_json(header, entry));
        return;
    }
    std::cout << protocol::to_utc_text(entry.at) << " " << header.chain << "#" << entry.sequence
              << " " << state::to_name(entry.kind);
    const auto print_text_field = [](std::string_view name, const std::string& value) {
        if (!value.empty()) {
            std::cout << " " << name << "=" << boost::json::serialize(boost::json::string(value));
        }
    };
    print_text_field("actor", entry.actor);
    print_text_field("customer", entry.customer.value());
    print_text_field("deployment", entry.deployment.value());
    print_text_field("request", entry.request.value());
    print_text_field("action", entry.action);
    print_text_field("subject", entry.subject);
    if (entry.from_revision != 0 || entry.to_revision != 0) {
        std::cout << " revision=" << entry.from_revision << "->" << entry.to_revision;
    }
    if (entry.outcome) {
        std::cout << " outcome=" << state::to_name(*entry.outcome);
    }
    print_text_field("result", entry.result);
    std::cout << "\n";
}

// Prints the findings and returns the exit code. `list`, `show` and `export` also
// work without public keys, but then they report that the record is not verified.
exit_code report_findings(const protocol::verifier_inputs& inputs,
                          const std::vector<protocol::record_finding>& findings) {
    if (inputs.keys.empty()) {
        std::cerr << "not verified: no public keys found; specify --keys=FILE\n";
        return exit_code::success;
    }
    for (const auto& finding : findings) {
        std::cerr << finding.message() << "\n";
    }
    return findings.empty() ? exit_code::success : exit_code::defect;
}

state::result<exit_code> run_list(const audit_options& options,
                                  const protocol::verifier_inputs& inputs) {
    struct chain_row {
        std::uint64_t entries = 0;
        std::uint64_t last_segment = 0;
        state::wall_time first = state::wall_time::max();
        state::wall_time last = state::wall_time::min();
    };
    std::map<std::string, chain_row> chains;
    std::vector<protocol::record_finding> findings;
    BOOST_LEAF_CHECK(verify_record(
        options, inputs, [&](const auto& finding) { findings.push_back(finding); },
        [&](const auto& header, const auto& entry) {
            if (!options.filter.matches(entry)) {
                return;
            }
            auto& row = chains[header.chain];
            ++row.entries;
            row.last_segment = header.number;
            row.first = std::min(row.first, entry.at);
            row.last = std::max(row.last, entry.at);
        }));
    for (const auto& [chain, row] : chains) {
        if (options.json) {
            print_json({{"chain", chain},
                        {"entries", row.entries},
                        {"last_segment", row.last_segment},
                        {"first", protocol::to_utc_text(row.first)},
                        {"last", protocol::to_utc_text(row.last)}});
        } else {
            std::cout << chain << ": " << row.entries << " entries, up to segment "
                      << row.last_segment << ", " << protocol::to_utc_text(row.first) << " to "
                      << protocol::to_utc_text(row.last) << "\n";
        }
    }
    return report_findings(inputs, findings);
}

void print_content(const audit_options& options, const record_file& file,
                   const std::set<std::uint64_t>& sequences) {
    protocol::content_reader reader(file.source);
    std::string chain;
    std::uint64_t number = 0;
    state::customer_id customer;
    if (!reader.read_header(chain, number, customer)) {
        return;
    }
    protocol::content_part part;
    while (reader.next(part)) {
        if (!part.has_content || sequences.count(part.sequence) == 0) {
            continue;
        }
        if (options.json) {
            print_json({{"chain", chain}, {"entry", part.sequence}, {"content", part.content}});
        } else {
            std::cout << "content of " << chain << "#" << part.sequence << ":\n"
                      << part.content << "\n";
        }
    }
}

state::result<exit_code> run_show(const audit_options& options,
                                  const protocol::verifier_inputs& inputs) {
    std::vector<protocol::record_finding> findings;
    std::set<std::uint64_t> matching_sequences; // entries of the most recently read segment
    BOOST_LEAF_CHECK(verify_record(
        options, inputs, [&](const auto& finding) { findings.push_back(finding); },
        [&](const auto& header, const auto& entry) {
            if (options.filter.matches(entry)) {
                print_entry(options, header, entry);
            }
        }));

    // The content is read in a second pass, because each source can be read only once.
    if (options.content) {
        BOOST_LEAF_CHECK(
            visit_record(options.path, [&](const record_file& file) -> state::result<void> {
                if (file.kind == export_kind::content) {
                    print_content(options, file, matching_sequences);
                    return {};
                }
                matching_sequences.clear();
                protocol::segment_reader reader(file.source);
                state::segment_header header;
                protocol::encoded_entry item;
                if (!reader.read_header(header)) {
                    return {};
                }
                while (reader.next(item)) {
                    const auto entry =
                        state::collect([&] { return protocol::decode_entry(item.body()); });
                    if (entry && options.filter.matches(entry.value())) {
                        matching_sequences.insert(entry.value().sequence);
                    }
                }
                return {};
            }));
    }
    return report_findings(inputs, findings);
}

state::result<exit_code> run_verify(const audit_options& options,
                                    const protocol::verifier_inputs& inputs) {
    if (inputs.keys.empty()) {
        return state::fail(state::failure_kind::not_found,
                           "no public keys found; specify --keys=FILE");
    }
    const auto print_finding = [&](const protocol::record_finding& finding) {
        if (options.json) {
            print_json(protocol::finding_to_json(finding));
        } else {
            std::cout << finding.message() << "\n";
        }
    };
    BOOST_LEAF_AUTO(summary, verify_record(options, inputs, print_finding, {}));
    if (options.json) {
        print_json(protocol::summary_to_json(summary));
    } else {
        std::cout << summary.chains << " chains (" << summary.open_chains << " not closed), "
                  << summary.segments << " segments (" << summary.unanchored_segments
                  << " after the last anchor), " << summary.entries << " entries, "
                  << summary.content_parts << " content parts checked, " << summary.absent_parts
                  << " absent: " << summary.findings << " findings\n";
        if (!inputs.anchors) {
            std::cout << "no anchors found: missing chains and missing last segments cannot be "
                         "detected\n";
        }
    }
    return summary.findings == 0 ? exit_code::success : exit_code::defect;
}

void write_frame(std::ostream& out, const protocol::export_frame_header& frame,
                 const protocol::byte_source& source) {
    out << protocol::encode_export_frame_header(frame);
    std::array<char, 65'536> buffer{};
    for (auto count = source(buffer.data(), buffer.size()); count > 0;
         count = source(buffer.data(), buffer.size())) {
        out.write(buffer.data(), static_cast<std::streamsize>(count));
    }
}

std::string chain_name_of(const std::string& name) {
    const auto end = name.rfind('/');
    const auto begin = end == std::string::npos ? end : name.rfind('/', end - 1);
    return name.substr(begin == std::string::npos ? 0 : begin + 1,
                       end - (begin == std::string::npos ? 0 : begin + 1));
}

state::result<exit_code> run_export(const audit_options& options,
                                    const protocol::verifier_inputs& inputs,
                                    const std::string& path) {
    // The first pass finds the matching chains. A damaged chain is exported unchanged.
    std::set<std::string> chains;
    std::vector<protocol::record_finding> findings;
    BOOST_LEAF_CHECK(verify_record(
        options, inputs, [&](const auto& finding) { findings.push_back(finding); },
        [&](const auto& header, const auto& entry) {
            if (options.filter.matches(entry)) {
                chains.insert(header.chain);
            }
        }));

    // Keys and anchors are written first, so that a reader can verify the file as a stream.
    std::ofstream out(path, std::ios::binary);
    out << protocol::encode_export_start();
    const auto write_text = [&](export_kind kind, const std::string& text) {
        write_frame(out, {kind, "", text.size()}, protocol::memory_source(text));
    };
    if (!inputs.keys.empty()) {
        write_text(export_kind::keys, protocol::encode_public_keys(inputs.keys));
    }
    if (inputs.anchors) {
        std::vector<state::record_anchor> anchors;
        std::copy_if(inputs.anchors->begin(), inputs.anchors->end(), std::back_inserter(anchors),
                     [&](const auto& anchor) { return chains.count(anchor.chain) > 0; });
        write_text(export_kind::anchors, protocol::encode_anchors(anchors));
    }

    std::uint64_t files = 0;
    BOOST_LEAF_CHECK(
        visit_record(options.path, [&](const record_file& file) -> state::result<void> {
            const bool is_other_customer_content =
                file.kind == export_kind::content && options.filter.customer &&
                !file.name.ends_with(state::content_suffix(*options.filter.customer));
            if (chains.count(chain_name_of(file.name)) > 0 && !is_other_customer_content) {
                write_frame(out, {file.kind, file.name, file.size}, file.source);
                ++files;
            }
            return {};
        }));
    out << protocol::encode_export_end();
    out.close();
    if (!out) {
        return state::fail(state::failure_kind::not_found, "'" + path + "' cannot be written");
    }
    std::cout << "exported " << chains.size() << " chains, " << files << " files to " << path
              << "\n";
    return report_findings(inputs, findings);
}

} // namespace

exit_code run_audit(const std::vector<std::string>& arguments) {
    auto code = exit_code::success;
    const auto parsed = parse_arguments(usage, arguments, code);
    if (!parsed) {
        return code;
    }
    const auto options = state::collect([&] { return read_options(*parsed); });
    if (!options) {
        return report_failure(options.error(), exit_code::usage);
    }
    const auto done = state::collect([&]() -> state::result<exit_code> {
        BOOST_LEAF_AUTO(inputs,
                        read_verifier_inputs(options.value().path, option_of(*parsed, "--keys"),
                                             option_of(*parsed, "--anchors")));
        if (parsed->at("list").asBool()) {
            return run_list(options.value(), inputs);
        }
        if (parsed->at("show").asBool()) {
            return run_show(options.value(), inputs);
        }
        if (parsed->at("verify").asBool()) {
            return run_verify(options.value(), inputs);
        }
        return run_export(options.value(), inputs, parsed->at("<file>").asString());
    });
    if (done) {
        return done.value();
    }
    const bool damaged = done.error().kind == state::failure_kind::record_damaged;
    return report_failure(done.error(), damaged ? exit_code::defect : exit_code::unreadable);
}

} // namespace savoryrelay::ctl
