// Sends and receives digests, and copies tables from peers.
#include "peer_part.h"

#include "savoryrelay/protocol/serving/peer_digest_codec.h"
#include "savoryrelay/transport/http/short_exchange.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace savoryrelay::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using coordination::shared_table;
using coordination::to_text;
using state::digest_scope;
using state::milliseconds;
using state::peer_digest;
using transport::pause_for;

namespace {

constexpr auto hosts_table = "savoryrelay_hosts";
// A table is requested as "/tables/NAME" or, for its changes after a version, as
// "/tables/NAME?after=ERA.NUMBER".
constexpr std::string_view tables_path = "/tables/";
constexpr std::string_view after_parameter = "?after=";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

constexpr milliseconds digest_interval{100};
// All hosts of a fleet start within a third of a second. The second read of the table of
// hosts finds all of them.
constexpr milliseconds second_hosts_read_delay{2'500};
constexpr milliseconds hosts_read_interval{5'000};
constexpr milliseconds hosts_retry_interval{500};
// Interval of the check for a peer whose tables are newer.
constexpr milliseconds copy_interval{150};
constexpr milliseconds fetch_timeout{600};
// Limits the copies from a peer whose configuration cannot be taken over.
constexpr milliseconds configuration_copy_interval{1'000};
// A host that knows of no others takes the share of the fleet's limits that it would have
// among this many.
constexpr std::size_t unknown_fleet_hosts = 1'000;

// Returns number 0, for a full copy, if the text is not "ERA.NUMBER".
state::store_version parse_version(std::string_view text) {
    const auto point = text.find('.');
    if (point == std::string_view::npos) {
        return {};
    }
    state::store_version version;
    const auto* end = text.data() + text.size();
    const auto era = std::from_chars(text.data(), text.data() + point, version.era);
    const auto number = std::from_chars(text.data() + point + 1, end, version.number);
    const bool is_valid = era.ec == std::errc{} && number.ec == std::errc{} && number.ptr == end;
    return is_valid ? version : state::store_version{};
}

} // namespace

peer_part::peer_part(transport::io_threads& threads, coordination::memory_account& account,
                     platform::store_client& store, shared_state& shared, store_part& tables,
                     group_part& groups, runner_signals& signals,
                     const protocol::edge_settings& settings, std::uint64_t incarnation,
                     std::function<state::time_point()> now)
    : m_threads(threads), m_account(account), m_store(store), m_shared(shared), m_tables(tables),
      m_groups(groups), m_signals(signals), m_settings(settings), m_incarnation(incarnation),
      m_now(std::move(now)), m_directory(shared.hosts),
      m_exchange(
          shared.hosts,
          {.describe = [this](peer_digest& digest, state::time_point at) { describe(digest, at); },
           .loads = [this](digest_scope scope,
                           state::time_point at) { return m_shared.loads.report(scope, at); },
           .work = [this](digest_scope scope,
                          state::time_point at) { return m_shared.work.report(scope, at); },
           .observations = [this](state::time_point at) { return m_groups.observations(at); },
           .runners_to_confirm = [this] { return m_groups.runners_to_confirm(); },
           .leaving_runners =
               [this](state::time_point at) { return m_shared.fleet.recently_leaving(at); },
           .call_rates =
               [this](state::time_point at) { return m_shared.fleet.recent_call_rates(at); },
           .crash_notices =
               [this](state::time_point at) { return m_shared.crashes.due_notices(at); }}) {}

void peer_part::start() {
    for (const auto& seed : m_settings.seeds) {
        m_directory.add({"", {seed.address, seed.port}, {}, 0});
    }
    const auto& local = m_settings.peers;
    const transport::request_handler handler = [this](transport::http_request request,
                                                      transport::response_writer& writer) {
        return answer_table(std::move(request), writer);
    };
    m_server = std::make_unique<transport::http_server>(
        m_threads, local.address, local.port, transport::http_limits{}, handler,
        transport::server_accounting{&m_account, coordination::listener::peers,
                                     transport::answer_without_body(handler)});
    m_endpoint = std::make_unique<transport::datagram_endpoint>(
        state::member_address{local.address, local.port},
        transport::datagram_hooks{[this](std::string_view datagram) { receive(datagram); }});
    auto& context = m_threads.context(0);
    transport::start_control_loop(context, "digests", [this] { return exchange_digests(); });
    transport::start_control_loop(context, "hosts_table", [this] { return sync_hosts_table(); });
    transport::start_control_loop(context, "table_copies", [this] { return copy_tables(); });
}

void peer_part::stop() {
    m_endpoint.reset();
}

asio::awaitable<void> peer_part::exchange_digests() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        const auto now = m_now();
        update_host_count(now);
        send_digests(now);
        timer.expires_after(digest_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void peer_part::update_host_count(state::time_point now) {
    const auto count = std::max(m_directory.host_count(now), m_listed_hosts);
    m_shared.host_count = count;
    const bool is_fleet_known = m_has_read_hosts || m_directory.hears_hub(now);
    m_shared.repeats.set_hosts(is_fleet_known ? count : std::max(count, unknown_fleet_hosts));
}

void peer_part::describe(peer_digest& digest, state::time_point now) {
    digest.host = m_shared.own_host;
    digest.incarnation = m_incarnation;
    digest.operators_version = m_shared.operators.newest_row_version();
    digest.runners_version = m_shared.runners.newest_row_version();
    const auto configuration = m_shared.configuration.load();
    digest.configuration_version = configuration->version;
    m_tables.describe_contact(digest, now);
    digest.is_controller = m_groups.is_controller();
    digest.controller_age = m_groups.controller_age(now);
}

void peer_part::send_digests(state::time_point now) {
    const auto outgoing = m_exchange.next_round(now);
    m_shared.is_store_reader = m_exchange.is_store_reader() && m_knows_hosts;
    m_shared.is_hub = m_exchange.is_hub();
    for (const auto& [digest, receivers] : outgoing) {
        for (const auto& part : protocol::split_digest(digest)) {
            const auto datagram = state::collect([&] { return protocol::encode_digest(part); });
            if (!datagram) {
                note_unencoded_digest(datagram.error());
                continue;
            }
            for (const auto& receiver : receivers) {
                m_endpoint->send(receiver, datagram.value());
            }
        }
    }
}

void peer_part::note_unencoded_digest(const state::failure& failure) {
    m_shared.metrics.counter_of("savoryrelay_peer_digests_not_encoded_total").add();
    if (!std::exchange(m_has_unencoded_digest, true)) {
        transport::log_warning("digest_not_encoded", {{"detail", failure.message()}});
    }
}

void peer_part::receive(std::string_view datagram) {
    const auto decoded = state::collect([&] { return protocol::decode_digest(datagram); });
    if (!decoded) {
        m_shared.metrics.counter_of("savoryrelay_peer_damaged_datagrams_total").add();
        return;
    }
    const auto& digest = decoded.value();
    const auto now = m_now();
    const auto received = m_exchange.receive(digest, now);
    if (!received.is_accepted) {
        return;
    }
    const std::string copy(received.forward_to.empty() ? std::string_view() : datagram);
    for (const auto& receiver : received.forward_to) {
        m_endpoint->send(receiver, copy);
    }
    if (digest.is_controller) {
        m_groups.note_controller_digest(now);
    } else if (digest.scope == digest_scope::fleet) {
        m_groups.note_controller_digest(now - digest.controller_age);
    }
    apply_observations(digest, now);
    m_signals.note_peer_notices(digest.leaving_runners);
    m_signals.note_peer_notices(digest.call_rates);
    for (const auto& notice : digest.crash_notices) {
        m_shared.crashes.apply(notice, now);
    }
    if (digest.is_controller) {
        m_groups.poll_runners_to_confirm(digest.runners_to_confirm);
    }
    if (received.is_load_source) {
        m_tables.note_peer_contact(digest, now);
        m_shared.loads.apply_peer(digest.host.name + "/" + std::to_string(digest.part),
                                  digest.scope, digest.loads, now);
        if (digest.part == 0) {
            m_shared.work.apply_peer(digest.host.name, digest.scope, digest.work, now);
        }
    }
}

void peer_part::apply_observations(const peer_digest& digest, state::time_point now) {
    const bool is_controller = m_groups.is_controller();
    for (const auto& observation : digest.observations) {
        if (digest.is_controller) {
            m_shared.fleet.apply_observation(observation, now);
        } else if (is_controller) {
            m_groups.apply_peer_observation(observation, now);
        }
    }
}

asio::awaitable<bool> peer_part::read_hosts_table() {
    const auto hosts = co_await m_store.read_table(hosts_table);
    if (!hosts) {
        co_return false;
    }
    m_listed_hosts = hosts.value().rows.size();
    m_knows_hosts = true;
    m_has_read_hosts = true;
    for (const auto& row : hosts.value().rows) {
        const auto host =
            state::collect([&] { return protocol::decode_host_row(row.key, row.value); });
        if (host) {
            m_directory.add(host.value());
        } else {
            m_shared.metrics.counter_of("savoryrelay_host_rows_damaged_total").add();
        }
    }
    co_return true;
}

asio::awaitable<void> peer_part::sync_hosts_table() {
    const auto own = protocol::encode_host_row(m_shared.own_host);
    auto registered_era = co_await m_store.put_row(hosts_table, m_settings.host.value(), own);
    while (!registered_era) {
        m_knows_hosts = true; // as far as it can be known without the store
        co_await pause_for(hosts_retry_interval);
        registered_era = co_await m_store.put_row(hosts_table, m_settings.host.value(), own);
    }
    while (!co_await read_hosts_table()) {
        m_knows_hosts = true;
        co_await pause_for(hosts_retry_interval);
    }
    co_await pause_for(second_hosts_read_delay);
    while (true) {
        // Members learn of further hosts from their hub.
        const bool must_read = m_shared.is_store_reader || !m_directory.hears_hub(m_now());
        bool is_current = true;
        // A restored store may have lost the row of this host, which nobody else writes.
        if (known_era() > registered_era.value()) {
            const auto written =
                co_await m_store.put_row(hosts_table, m_settings.host.value(), own);
            is_current = written.has_value();
            registered_era = is_current ? written : registered_era;
        }
        if (must_read && is_current) {
            is_current = co_await read_hosts_table();
        }
        co_await pause_for(is_current ? hosts_read_interval : hosts_retry_interval);
    }
}

std::uint64_t peer_part::known_era() const {
    return std::max(m_store.era(), m_shared.operators.synced_version().era);
}

state::table_mirror& peer_part::mirror_of(shared_table table) {
    return table == shared_table::operators ? m_shared.operators : m_shared.runners;
}

asio::awaitable<void> peer_part::copy_tables() {
    state::time_point operators_fetched_at{};
    state::time_point runners_fetched_at{};
    while (true) {
        co_await pause_for(copy_interval);
        const bool has_operators =
            co_await copy_table(shared_table::operators, m_shared.operators, operators_fetched_at);
        if (m_tables.is_in_contact(m_now())) {
            continue;
        }
        const bool has_runners =
            co_await copy_table(shared_table::runners, m_shared.runners, runners_fetched_at);
        const auto source = m_directory.best_source(shared_table::runners, m_now());
        if (has_operators && has_runners && source &&
            m_shared.operators.synced_version().number > 0 &&
            m_shared.runners.synced_version().number > 0) {
            m_tables.note_current(source->current_at);
        }
    }
}

asio::awaitable<bool> peer_part::copy_table(shared_table table, state::table_mirror& mirror,
                                            state::time_point& fetched_at) {
    const auto now = m_now();
    const auto source = m_directory.best_source(table, now);
    if (!source) {
        co_return false;
    }
    if (source->version <= mirror.synced_version()) {
        if (table == shared_table::operators) {
            co_return co_await copy_newest_configuration();
        }
        co_return true;
    }
    if (table == shared_table::runners && now - fetched_at < m_shared.entry_interval()) {
        co_return true; // the copy is no older than the interval
    }
    fetched_at = now;
    co_return co_await fetch_table(source->address, table, mirror, mirror.synced_version());
}

asio::awaitable<bool> peer_part::copy_newest_configuration() {
    const auto now = m_now();
    const auto source = m_directory.newest_configuration(now);
    const auto known = m_shared.configuration.load();
    if (!source || now - m_configuration_copied_at < configuration_copy_interval ||
        source->configuration_version <= known->version) {
        co_return true;
    }
    m_configuration_copied_at = now;
    // The row has no later version of the store than the rows here, so it is in no changes.
    const state::store_version whole_table;
    co_return co_await fetch_table(source->address, shared_table::operators, m_shared.operators,
                                   whole_table);
}

asio::awaitable<bool> peer_part::fetch_table(state::member_address from, shared_table table,
                                             state::table_mirror& mirror,
                                             state::store_version after) {
    const auto path = std::string(tables_path) + std::string(state::to_name(table)) +
                      std::string(after_parameter) + std::to_string(after.era) + '.' +
                      std::to_string(after.number);
    transport::http_request request{http::verb::get, path, 11};
    request.set(http::field::host, from.ip);
    // A named variable, because g++ 12 destroys a braced temporary in a co_await twice.
    const transport::exchange_target target{from.ip, from.port, fetch_timeout, fetch_timeout};
    const auto answer = co_await transport::run_exchange(m_pool, target, std::move(request));
    if (!answer || answer.value().status != status_ok) {
        m_shared.metrics.counter_of("savoryrelay_peer_table_failures_total").add();
        co_return false;
    }
    const auto image = state::collect([&] { return protocol::decode_table(answer.value().body); });
    if (!image) {
        transport::log_warning("peer_table_damaged", {{"detail", image.error().message()}});
        co_return false;
    }
    const auto held = mirror.synced_version();
    const bool was_empty = held.number == 0;
    if (!was_empty && image.value().version.era > held.era) {
        m_tables.note_restore(std::string(state::to_name(table)), held, image.value().version);
    }
    const auto changed = mirror.apply_image(image.value());
    if (table == shared_table::operators) {
        m_tables.apply_operators(changed);
    } else {
        m_tables.apply_runners(changed);
    }
    if (was_empty && !changed.empty()) {
        transport::log_info(
            "table_from_peer",
            {{"peer", from.ip}, {"path", path}, {"changes", std::to_string(changed.size())}});
    }
    co_return true;
}

asio::awaitable<void> peer_part::answer_table(transport::http_request request,
                                              transport::response_writer& writer) {
    const std::string_view target(request.target().data(), request.target().size());
    const auto query = target.find(after_parameter);
    const auto path = target.substr(0, query);
    state::store_version after;
    if (query != std::string_view::npos) {
        after = parse_version(target.substr(query + after_parameter.size()));
    }
    std::optional<std::string> body;
    for (const auto table : {shared_table::operators, shared_table::runners}) {
        if (path.starts_with(tables_path) &&
            path.substr(tables_path.size()) == state::to_name(table)) {
            body = protocol::encode_table(mirror_of(table).changes_since(after));
        }
    }
    auto fields = transport::content_type_field("application/octet-stream");
    co_await writer.send(body ? status_ok : status_not_found, std::move(fields),
                         body.value_or(std::string{}));
}

} // namespace savoryrelay::edge
