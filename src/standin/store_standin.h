// Stand-in for the platform's table store: rows with versions, conditional
// transactions, reads and a feed. POST /operator writes a row as an operator or a runner
// does.
#pragma once

#include "standin_server.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace savoryrelay::standin {

/// Holds rows in memory. The `part` of every row is empty.
class store_standin {
public:
    explicit store_standin(control_switches& switches) : m_switches(switches) {}

    /// Serves POST /rows-tx, GET /rows-get and GET /rows-feed like the platform.
    /// POST /operator with `table`, `key` and `value` (any JSON, or null to remove
    /// the row) writes unconditionally.
    boost::asio::awaitable<void> handle(transport::http_request request,
                                        transport::response_writer& writer);

private:
    struct row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using row_key = std::pair<std::string, std::string>; // table, key

    [[nodiscard]] std::pair<unsigned, std::string> transact(const std::string& body);
    [[nodiscard]] std::string rows_after(const std::string& table, const std::string& from,
                                         std::uint64_t after_version, bool include_removed,
                                         std::size_t* count);
    void write_as_operator(const std::string& body);
    [[nodiscard]] static boost::json::object to_json(const row_key& key, const row& value);

    control_switches& m_switches;
    std::mutex m_mutex;
    std::map<row_key, row> m_rows; // guarded by m_mutex
    std::uint64_t m_version = 0;   // guarded by m_mutex
};

} // namespace savoryrelay::standin
