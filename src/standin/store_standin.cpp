// Implements the table store on a map in memory.
#include "store_standin.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>

#include <openssl/evp.h>

#include <chrono>
#include <vector>

namespace savoryrelay::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_condition_failed = 412;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr state::milliseconds feed_poll_interval{10};
constexpr std::string_view runners_table = "servers";

std::string base64(const std::string& bytes) {
    std::vector<unsigned char> text(4 * ((bytes.size() + 2) / 3) + 1);
    const auto size =
        EVP_EncodeBlock(text.data(), reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    return {text.begin(), text.begin() + size};
}

std::string from_base64(const std::string& text) {
    std::string bytes(text.size(), '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                      reinterpret_cast<const unsigned char*>(text.data()),
                                      static_cast<int>(text.size()));
    const auto end = text.find_last_not_of('=');
    const auto padding = end == std::string::npos ? 0 : text.size() - 1 - end;
    bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size) - padding);
    return bytes;
}

transport::http_field era_field(std::uint64_t era) {
    return {"Store-Era", std::to_string(era)};
}

std::string string_field(const json::object& object, std::string_view name) {
    return std::string(object.at(name).as_string());
}

} // namespace

json::object store_standin::to_json(const row_key& key, const row& value) {
    json::object object;
    object["table"] = key.first;
    object["part"] = "";
    object["key"] = key.second;
    object["value"] = value.value;
    object["ver"] = value.version;
    if (value.is_removed) {
        object["tombstone"] = true;
    }
    return object;
}

store_standin::reply store_standin::transact(const std::string& body) {
    const auto transaction = json::parse(body).as_object();
    const std::scoped_lock lock(m_mutex);
    const auto key_of = [](const json::object& item) {
        return row_key{string_field(item, "table"), string_field(item, "key")};
    };
    json::array conflicting;
    for (const auto& item : transaction.at("expected_rev").as_array()) {
        const auto key = key_of(item.as_object());
        const auto& current = m_contents.rows[key];
        const auto version = current.is_removed ? 0 : current.version;
        if (version != item.as_object().at("ver").to_number<std::uint64_t>()) {
            conflicting.push_back(to_json(key, current));
        }
    }
    json::object answer;
    if (!conflicting.empty()) {
        answer["rows"] = std::move(conflicting);
        answer["ver"] = m_contents.version;
        return {status_condition_failed, json::serialize(answer), m_era};
    }
    ++m_contents.version;
    for (const auto& item : transaction.at("set_keys").as_array()) {
        m_contents.rows[key_of(item.as_object())] = {string_field(item.as_object(), "value"),
                                                     m_contents.version, false};
    }
    for (const auto& item : transaction.at("remove").as_array()) {
        m_contents.rows[key_of(item.as_object())] = {{}, m_contents.version, true};
    }
    answer["ver"] = m_contents.version;
    return {status_ok, json::serialize(answer), m_era};
}

store_standin::row store_standin::seen_through(const address_map& view, const row& stored) {
    if (stored.is_removed) {
        return stored;
    }
    auto value = json::parse(from_base64(stored.value)).as_object();
    const auto shown = view.find(string_field(value, "address"));
    if (shown == view.end()) {
        return stored;
    }
    value["address"] = shown->second;
    return {base64(json::serialize(value)), stored.version, false};
}

store_standin::found_rows store_standin::rows_after(const std::string& caller,
                                                    const std::string& table,
                                                    const std::string& from,
                                                    std::uint64_t after_version,
                                                    bool include_removed) {
    const std::scoped_lock lock(m_mutex);
    const auto view = m_views.find(caller);
    const bool has_view = view != m_views.end() && table == runners_table;
    json::array rows;
    for (auto stored = m_contents.rows.lower_bound({table, from});
         stored != m_contents.rows.end() && stored->first.first == table; ++stored) {
        if (stored->second.version > after_version &&
            (include_removed || !stored->second.is_removed)) {
            rows.push_back(to_json(stored->first, has_view
                                                      ? seen_through(view->second, stored->second)
                                                      : stored->second));
        }
    }
    const auto count = rows.size();
    json::object answer;
    answer["rows"] = std::move(rows);
    answer["has_more"] = false;
    answer["ver"] = m_contents.version;
    return {{status_ok, json::serialize(answer), m_era}, count, m_contents.version};
}

store_standin::reply store_standin::write_as_operator(const std::string& body) {
    const auto object = json::parse(body).as_object();
    const std::scoped_lock lock(m_mutex);
    const row_key key{string_field(object, "table"), string_field(object, "key")};
    const auto& value = object.at("value");
    ++m_contents.version;
    m_contents.rows[key] = value.is_null()
                               ? row{{}, m_contents.version, true}
                               : row{base64(json::serialize(value)), m_contents.version, false};
    return {status_ok, "{}", m_era};
}

store_standin::reply store_standin::keep_copy() {
    const std::scoped_lock lock(m_mutex);
    m_copy = m_contents;
    return {status_ok, "{}", m_era};
}

store_standin::reply store_standin::restore_copy() {
    const std::scoped_lock lock(m_mutex);
    if (!m_copy) {
        return {status_conflict, "{}", m_era};
    }
    m_contents = *m_copy;
    ++m_era;
    return {status_ok, "{}", m_era};
}

store_standin::reply store_standin::set_view(const std::string& body) {
    const auto object = json::parse(body).as_object();
    address_map addresses;
    for (const auto& [address, shown] : object.at("addresses").as_object()) {
        addresses[std::string(address)] = std::string(shown.as_string());
    }
    const std::scoped_lock lock(m_mutex);
    m_views[string_field(object, "caller")] = std::move(addresses);
    return {status_ok, "{}", m_era};
}

transport::http_fields store_standin::answer_fields() {
    const std::scoped_lock lock(m_mutex);
    return {era_field(m_era)};
}

asio::awaitable<void> store_standin::answer(transport::response_writer& writer, reply sent) {
    auto fields = transport::content_type_field("application/json");
    fields.push_back(era_field(sent.era));
    co_await writer.send(sent.status, std::move(fields), sent.body);
}

asio::awaitable<void> store_standin::answer_feed(transport::response_writer& writer,
                                                 std::string caller, std::string table,
                                                 std::uint64_t after_version,
                                                 state::milliseconds wait) {
    const auto end = std::chrono::steady_clock::now() + wait;
    auto found = rows_after(caller, table, {}, after_version, true);
    const auto era = found.page.era;
    if (after_version > found.version) {
        const reply gone{status_gone, "{}", era};
        co_await answer(writer, gone);
        co_return;
    }
    while (found.count == 0 && std::chrono::steady_clock::now() < end) {
        co_await pause_for(feed_poll_interval);
        found = rows_after(caller, table, {}, after_version, true);
        if (found.page.era != era) {
            writer.abandon();
            co_return;
        }
    }
    co_await answer(writer, found.page);
}

asio::awaitable<void> store_standin::handle(transport::http_request request,
                                            transport::response_writer& writer) {
    const auto url = boost::urls::parse_origin_form(request.target()).value();
    const auto path = std::string(url.encoded_path());
    const auto parameter = [&](std::string_view name) -> std::string {
        const auto found = url.params().find(name);
        return found == url.params().end() ? std::string{} : std::string((*found).value);
    };
    const auto caller = transport::header_of(request, "Host");
    if (path == "/operator") {
        co_await answer(writer, write_as_operator(request.body()));
    } else if (path == "/view") {
        co_await answer(writer, set_view(request.body()));
    } else if (path == "/copy") {
        co_await answer(writer, keep_copy());
    } else if (path == "/restore") {
        co_await answer(writer, restore_copy());
    } else if (path == "/rows-tx") {
        const auto done = transact(request.body());
        if (m_switches.lose_replies > 0) {
            --m_switches.lose_replies;
            writer.abandon();
            co_return;
        }
        co_await answer(writer, done);
    } else if (path == "/rows-get") {
        const auto found = rows_after(caller, parameter("table"), parameter("from"), 0, false);
        co_await answer(writer, found.page);
    } else if (path == "/rows-feed") {
        co_await answer_feed(writer, caller, parameter("table"),
                             std::stoull(parameter("after_rev")),
                             state::milliseconds(std::stoll(parameter("wait_ms"))));
    } else {
        co_await writer.send(status_not_found, answer_fields(), "{}");
    }
}

} // namespace savoryrelay::standin
