// Sends and receives digests, and fetches tables from peers.
#include "peer_part.h"

#include "savoryrelay/protocol/serving/peer_digest_codec.h"
#include "savoryrelay/transport/http/short_exchange.h"
#include "savoryrelay/transport/process/log.h"
#include "savoryrelay/transport/process/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace savoryrelay::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using state::milliseconds;
using transport::pause_for;

namespace {

constexpr auto hosts_table = "savoryrelay_hosts";
constexpr auto operators_path = "/tables/operators";
constexpr auto runners_path = "/tables/runners";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

constexpr milliseconds digest_interval{100};
// A host that has been silent for this long gets only every tenth digest.
constexpr milliseconds peer_silence{3'000};
constexpr std::uint64_t silent_peer_rounds = 10;
// The limits of the whole fleet are divided among the hosts that sent a digest within this
// time.
constexpr milliseconds counted_peer_max_age{30'000};
constexpr milliseconds hosts_retry_interval{500};
// Interval of the check for a peer whose operators' table is newer, and interval at which
// the runners' table is fetched from a peer while the store does not answer.
constexpr milliseconds fetch_interval{150};
constexpr milliseconds runners_fetch_interval{600};
constexpr milliseconds fetch_timeout{600};

std::string to_text(const state::member_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace

peer_part::peer_part(transport::io_threads& threads, platform::store_client& store,
                     shared_state& shared, store_part& tables, group_part& groups,
                     const protocol::edge_settings& settings, std::uint64_t incarnation,
                     std::function<state::time_point()> now)
    : m_threads(threads), m_store(store), m_shared(shared), m_tables(tables), m_groups(groups),
      m_settings(settings), m_incarnation(incarnation), m_now(std::move(now)) {}

void peer_part::start() {
    for (const auto& seed : m_settings.seeds) {
        add_address(seed.address + ":" + std::to_string(seed.port));
    }
    const auto& local = m_settings.peers;
    m_server = std::make_unique<transport::http_server>(
        m_threads, local.address, local.port, transport::http_limits{},
        [this](transport::http_request request, transport::response_writer& writer) {
            return answer_table(std::move(request), writer);
        });
    m_endpoint = std::make_unique<transport::datagram_endpoint>(
        state::member_address{local.address, local.port},
        transport::datagram_hooks{[this](std::string_view datagram) { receive(datagram); }});
    asio::co_spawn(m_threads.context(0), exchange_digests(), asio::detached);
    asio::co_spawn(m_threads.context(0), sync_hosts_table(), asio::detached);
    asio::co_spawn(m_threads.context(0), fetch_missing_tables(), asio::detached);
}

void peer_part::stop() {
    m_endpoint.reset();
}

void peer_part::add_address(const std::string& address_and_port) {
    const auto colon = address_and_port.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(address_and_port.data() + colon + 1,
                        address_and_port.data() + address_and_port.size(), port);
    }
    const auto own = to_text({m_settings.peers.address, m_settings.peers.port});
    if (port == 0 || address_and_port == own) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_peers[address_and_port].address = {address_and_port.substr(0, colon), port};
}

asio::awaitable<void> peer_part::exchange_digests() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_shared.is_stopping) {
        const auto now = m_now();
        send_digests(now);
        update_host_count(now);
        timer.expires_after(digest_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void peer_part::update_host_count(state::time_point now) {
    std::size_t active = 1;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& [key, peer] : m_peers) {
            active +=
                peer.last_digest_at && now - *peer.last_digest_at < counted_peer_max_age ? 1 : 0;
        }
    }
    const auto count = std::max(active, m_listed_hosts);
    m_shared.host_count = count;
    m_shared.repeats.set_hosts(count);
}

void peer_part::send_digests(state::time_point now) {
    ++m_round;
    state::peer_digest digest;
    digest.host = m_settings.host.value();
    digest.incarnation = m_incarnation;
    digest.address = m_settings.peers.address;
    digest.port = m_settings.peers.port;
    digest.availability_zone = m_settings.availability_zone;
    digest.operators_version = m_shared.operators.newest_row_version();
    digest.runners_version = m_shared.runners.newest_row_version();
    digest.is_store_reachable = m_shared.is_store_reachable;
    digest.is_controller = m_groups.is_controller();
    digest.loads = m_shared.loads.own();
    digest.work = m_shared.work.own(now);
    digest.observations = m_groups.observations(now);
    digest.runners_to_confirm = m_groups.runners_to_confirm();

    const std::uint64_t rounds_per_remote_digest = m_shared.intervals().rounds_per_remote_digest;
    std::vector<state::member_address> receivers;
    {
        const std::scoped_lock lock(m_mutex);
        const auto size = m_peers.size();
        std::size_t index = 0;
        for (const auto& [key, peer] : m_peers) {
            const bool is_silent =
                !peer.last_digest_at || now - *peer.last_digest_at > peer_silence;
            // Each digest lists a few of the known peers, different ones in each round, so that
            // all hosts learn of each other.
            if (!is_silent && (index++ + m_round) % std::max<std::size_t>(1, size / 2) == 0 &&
                digest.peers.size() < 3) {
                digest.peers.push_back(key);
            }
            // All hosts get each digest of the controller, because a takeover of the lease
            // depends on them.
            const bool gets_every_round =
                digest.is_controller || peer.availability_zone == m_settings.availability_zone;
            const auto rounds = is_silent          ? silent_peer_rounds
                                : gets_every_round ? 1
                                                   : rounds_per_remote_digest;
            if (m_round % rounds == 0) {
                receivers.push_back(peer.address);
            }
        }
    }
    for (const auto& part : protocol::split_digest(digest)) {
        const auto datagram = protocol::encode_digest(part);
        for (const auto& receiver : receivers) {
            m_endpoint->send(receiver, datagram);
        }
    }
}

void peer_part::receive(std::string_view datagram) {
    const auto decoded = state::collect([&] { return protocol::decode_digest(datagram); });
    if (!decoded) {
        m_shared.metrics.counter_of("savoryrelay_peer_damaged_datagrams_total").add();
        return;
    }
    const auto& digest = decoded.value();
    if (digest.host == m_settings.host.value()) {
        return;
    }
    const auto now = m_now();
    const auto key = to_text({digest.address, digest.port});
    {
        const std::scoped_lock lock(m_mutex);
        auto& peer = m_peers[key];
        if (digest.incarnation < peer.incarnation) {
            return;
        }
        peer.address = {digest.address, digest.port};
        peer.incarnation = digest.incarnation;
        peer.availability_zone = digest.availability_zone;
        peer.last_digest_at = now;
        peer.operators_version = digest.operators_version;
        peer.is_store_reachable = digest.is_store_reachable;
    }
    for (const auto& address : digest.peers) {
        add_address(address);
    }
    if (digest.is_controller) {
        m_groups.note_controller_digest(now);
    }
    if (digest.part == state::peer_digest::observations_only) {
        for (const auto& observation : digest.observations) {
            if (digest.is_controller) {
                m_shared.fleet.apply_observation(observation, now);
            } else if (m_groups.is_controller()) {
                m_groups.apply_peer_observation(observation, now);
            }
        }
        return;
    }
    if (digest.is_controller) {
        m_groups.poll_runners_to_confirm(digest.runners_to_confirm);
    }
    m_shared.loads.apply_peer(digest.host + "/" + std::to_string(digest.part), digest.loads, now);
    if (digest.part == 0) {
        m_shared.work.apply_peer(digest.host, digest.work, now);
    }
}

asio::awaitable<void> peer_part::sync_hosts_table() {
    const auto own = to_text({m_settings.peers.address, m_settings.peers.port});
    bool is_written = false;
    while (!m_shared.is_stopping) {
        if (!is_written) {
            const auto written =
                co_await m_store.put_row(hosts_table, m_settings.host.value(), own);
            is_written = written.has_value();
        }
        const auto hosts = co_await m_store.read_table(hosts_table);
        if (hosts) {
            m_listed_hosts = hosts.value().rows.size();
            for (const auto& row : hosts.value().rows) {
                add_address(row.value);
            }
        }
        co_await pause_for(is_written && hosts && m_listed_hosts > 1
                               ? m_shared.intervals().hosts_read_interval
                               : hosts_retry_interval);
    }
}

asio::awaitable<void> peer_part::fetch_missing_tables() {
    state::time_point runners_fetched_at{};
    while (!m_shared.is_stopping) {
        co_await pause_for(fetch_interval);
        const auto now = m_now();
        std::optional<state::member_address> peer_with_newer_table;
        std::optional<state::member_address> peer_with_store;
        {
            const std::scoped_lock lock(m_mutex);
            const auto own = m_shared.operators.newest_row_version();
            for (const auto& [key, peer] : m_peers) {
                if (!peer.last_digest_at || now - *peer.last_digest_at > peer_silence) {
                    continue;
                }
                if (peer.operators_version > own) {
                    peer_with_newer_table = peer.address;
                }
                if (peer.is_store_reachable) {
                    peer_with_store = peer.address;
                }
            }
        }
        if (peer_with_newer_table) {
            co_await fetch_table(*peer_with_newer_table, operators_path, m_shared.operators, true);
        }
        const bool must_fetch_runners =
            !m_shared.is_store_reachable && now - runners_fetched_at >= runners_fetch_interval;
        if (must_fetch_runners && peer_with_store) {
            runners_fetched_at = now;
            co_await fetch_table(*peer_with_store, runners_path, m_shared.runners, false);
        } else if (must_fetch_runners && peer_with_newer_table &&
                   m_shared.runners.newest_row_version() == 0) {
            runners_fetched_at = now;
            co_await fetch_table(*peer_with_newer_table, runners_path, m_shared.runners, false);
        }
    }
}

asio::awaitable<bool> peer_part::fetch_table(state::member_address from, std::string path,
                                             state::table_mirror& mirror, bool is_operators_table) {
    transport::http_request request{http::verb::get, path, 11};
    request.set(http::field::host, from.ip);
    // A named variable, because g++ 12 destroys a braced temporary in a co_await twice.
    const transport::exchange_target target{from.ip, from.port, fetch_timeout, fetch_timeout};
    const auto answer = co_await transport::run_exchange(m_pool, target, std::move(request));
    if (!answer || answer.value().status != status_ok) {
        co_return false;
    }
    const auto image = state::collect([&] { return protocol::decode_table(answer.value().body); });
    if (!image) {
        transport::log_warning("peer_table_damaged", {{"detail", image.error().message()}});
        co_return false;
    }
    const auto changed = mirror.apply_image(image.value());
    if (is_operators_table) {
        m_tables.apply_operators(changed);
    } else {
        m_tables.apply_runners(changed);
    }
    if (!changed.empty()) {
        transport::log_info(
            "table_from_peer",
            {{"peer", from.ip}, {"path", path}, {"changes", std::to_string(changed.size())}});
    }
    co_return true;
}

asio::awaitable<void> peer_part::answer_table(transport::http_request request,
                                              transport::response_writer& writer) {
    const auto path = std::string(request.target());
    const bool is_known = path == operators_path || path == runners_path;
    const auto body = path == operators_path ? protocol::encode_table(m_shared.operators.image())
                      : path == runners_path ? protocol::encode_table(m_shared.runners.image())
                                             : std::string{};
    auto fields = transport::content_type_field("application/octet-stream");
    co_await writer.send(is_known ? status_ok : status_not_found, std::move(fields), body);
}

} // namespace savoryrelay::edge
