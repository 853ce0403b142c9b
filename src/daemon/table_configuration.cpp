// Rows: `config/current` is the document, `config/author` the operator of the
// present revision, `config/history/<revision>` a replaced revision as the
// operator's name in the first line and the document in the rest. A revision
// moves to the history in the transaction that replaces it, because its number
// is not known before its own transaction.
#include "table_configuration.h"

#include "savoryrelay/protocol/configuration/configuration_document.h"

namespace savoryrelay::daemon {
namespace {

using state::failure_kind;

constexpr const char* current_key = "config/current";
constexpr const char* author_key = "config/author";
constexpr int read_back_attempts = 3;

std::string history_key(std::uint64_t revision) {
    return "config/history/" + std::to_string(revision);
}

} // namespace

state::result<state::transaction_result>
table_configuration::transact(const state::table_transaction& write) const {
    const auto written = state::collect([&] { return m_platform.transact(write); });
    if (written) {
        return written.value();
    }
    if (written.error().kind != failure_kind::store_result_unknown) {
        return state::fail(written.error());
    }
    // The reply was lost; the platform keeps the result under the write key.
    for (int attempt = 0; attempt < read_back_attempts; ++attempt) {
        const auto kept =
            state::collect([&] { return m_platform.read_write_result(write.write_key); });
        if (kept && kept.value()) {
            return *kept.value();
        }
    }
    return state::fail(failure_kind::store_result_unknown, "write key " + write.write_key);
}

state::result<std::uint64_t> table_configuration::refuse(std::uint64_t expected) const {
    BOOST_LEAF_AUTO(winner, read(std::nullopt));
    const auto author =
        winner.operator_name.empty() ? std::string("an unknown operator") : winner.operator_name;
    return state::fail(failure_kind::revision_conflict,
                       "revision " + std::to_string(expected) + " was expected, but revision " +
                           std::to_string(winner.revision) + " by " + author + " is present");
}

state::result<std::uint64_t> table_configuration::submit(const std::string& document,
                                                         std::uint64_t expected,
                                                         const std::string& who,
                                                         state::time_point) {
    BOOST_LEAF_CHECK(protocol::read_configuration(document, expected + 1));
    BOOST_LEAF_AUTO(present, m_platform.read_row(current_key));
    if (present.version != expected) {
        return refuse(expected);
    }
    BOOST_LEAF_AUTO(author, m_platform.read_row(author_key));
    state::table_transaction write{"configuration/" + m_writer + "/" +
                                       std::to_string(m_writes.fetch_add(1)),
                                   {{current_key, expected}, {author_key, author.version}},
                                   {{current_key, document}, {author_key, who}},
                                   {}};
    if (expected > 0) {
        write.puts.push_back({history_key(expected), author.value + "\n" + present.value});
    }
    BOOST_LEAF_AUTO(written, transact(write));
    if (!written.committed) {
        return refuse(expected);
    }
    return written.version;
}

state::result<protocol::configuration_revision>
table_configuration::read(std::optional<std::uint64_t> revision) const {
    BOOST_LEAF_AUTO(present, m_platform.read_row(current_key));
    if (!revision || *revision == present.version) {
        BOOST_LEAF_AUTO(author, m_platform.read_row(author_key));
        // Rows written by one transaction have one version; the author of a
        // first configuration from a file, or of a newer revision, is left out.
        const bool same_write = author.version == present.version;
        return protocol::configuration_revision{present.version, same_write ? author.value : "",
                                                present.value};
    }
    BOOST_LEAF_AUTO(row, m_platform.read_row(history_key(*revision)));
    if (row.version == 0) {
        return state::fail(failure_kind::not_found,
                           "revision " + std::to_string(*revision) + " is not kept");
    }
    const auto end_of_name = row.value.find('\n');
    return protocol::configuration_revision{*revision, row.value.substr(0, end_of_name),
                                            row.value.substr(end_of_name + 1)};
}

} // namespace savoryrelay::daemon
