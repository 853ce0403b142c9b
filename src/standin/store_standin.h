// Stand-in for the platform's table store: rows with versions, conditional
// transactions, reads and a feed. POST /operator writes a row as an operator or a runner
// does. POST /copy and POST /restore replace the rows by earlier ones, as in a drill.
// POST /view gives one caller other addresses of runners, so that its paths to them can be cut
// while those of other callers stay open.
#pragma once

#include "standin_server.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace savoryrelay::standin {

/// Holds rows in memory. The `part` of every row is empty.
class store_standin {
public:
    explicit store_standin(control_switches& switches) : m_switches(switches) {}

    /// Serves POST /rows-tx, GET /rows-get and GET /rows-feed like the platform.
    /// POST /operator with `table`, `key` and `value` (any JSON, or null to remove
    /// the row) writes unconditionally.
    /// POST /copy keeps a copy of the rows and of the version. POST /restore returns to the
    /// last copy in the next era and closes the connections of open feed calls; without a copy
    /// it answers 409.
    /// POST /view with `caller` (the Host field of its requests) and `addresses` (an object)
    /// replaces the addresses of runners in the rows that the caller reads from now on. Rows
    /// that hosts copy from each other keep the addresses of the host that has read them.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

    /// Returns the header field that states the era, which all answers of the store carry.
    [[nodiscard]] transport::http_fields answer_fields();

private:
    struct row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using row_key = std::pair<std::string, std::string>;    // table, key
    using address_map = std::map<std::string, std::string>; // shown address by address
    struct contents {
        std::map<row_key, row> rows;
        std::uint64_t version = 0;
    };
    /// An answer and the era of the contents that it is made from.
    struct reply {
        unsigned status = 200;
        std::string body = "{}";
        std::uint64_t era = 0;
    };
    struct found_rows {
        reply page;
        std::size_t count = 0;
        std::uint64_t version = 0; ///< of the store
    };

    static boost::asio::awaitable<void> answer(transport::response_writer& writer, reply sent);
    boost::asio::awaitable<void> answer_feed(transport::response_writer& writer, std::string caller,
                                             std::string table, std::uint64_t after_version,
                                             state::milliseconds wait);
    [[nodiscard]] reply transact(const std::string& body);
    [[nodiscard]] found_rows rows_after(const std::string& caller, const std::string& table,
                                        const std::string& from, std::uint64_t after_version,
                                        bool include_removed);
    [[nodiscard]] reply set_view(const std::string& body);
    /// Returns a runner's row with the address that the view shows.
    [[nodiscard]] static row seen_through(const address_map& view, const row& stored);
    [[nodiscard]] reply write_as_operator(const std::string& body);
    [[nodiscard]] reply keep_copy();
    [[nodiscard]] reply restore_copy();
    [[nodiscard]] static boost::json::object to_json(const row_key& key, const row& value);

    control_switches& m_switches;
    std::mutex m_mutex;
    contents m_contents;                        // guarded by m_mutex
    std::optional<contents> m_copy;             // guarded by m_mutex
    std::uint64_t m_era = 1;                    // guarded by m_mutex
    std::map<std::string, address_map> m_views; // by caller; guarded by m_mutex
};

} // namespace savoryrelay::standin
