// Connects the datagram endpoint, the membership, the configuration holder and the
// platform.
#include "membership_part.h"

#include "savoryrelay/protocol/configuration/configuration_document.h"
#include "savoryrelay/protocol/peer/peer_codec.h"
#include "savoryrelay/protocol/peer/peer_key_file.h"
#include "savoryrelay/transport/process/log.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <set>
#include <sstream>

namespace savoryrelay::daemon {

using coordination::service_state;
using state::failure_kind;
using state::time_point;
using transport::log_info;
using transport::log_warning;

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 50ms;
/// Longest wait for the answers to an announcement. The transaction must begin
/// within `configuration_settings::announcement_wait`, which is 2 s.
constexpr auto acknowledgement_wait = 1'500ms;
/// Interval between reads of the platform's list of hosts, which lags behind the
/// hosts' actual state anyway. At the target scale the list has 920 rows of about
/// 100 bytes (estimated), so the reads take 3 KB/s of the 12 KB/s available to a
/// member.
constexpr auto host_list_interval = 30s;
/// The incarnation number is the wall-clock time of the start in milliseconds,
/// shifted left by this many bits. A refutation adds 1 to it, so the upper bits
/// identify the run of the process.
constexpr unsigned refutation_bits = 16;
/// Peer key that is used if no key file is set. It is public, so such settings are
/// limited to loopback addresses.
constexpr const char* development_secret = "savoryrelay development key, loopback only";

time_point read_clock() {
    return std::chrono::steady_clock::now();
}

state::wall_time read_wall_clock() {
    return std::chrono::time_point_cast<state::milliseconds>(std::chrono::system_clock::now());
}

std::uint64_t run_of(std::uint64_t incarnation) {
    return incarnation >> refutation_bits;
}

state::member_update make_self(const protocol::daemon_settings& settings) {
    const auto started = static_cast<std::uint64_t>(read_wall_clock().time_since_epoch().count());
    return {settings.member,
            {settings.peers.address, settings.peers.port},
            started << refutation_bits,
            state::member_state::alive};
}

std::optional<state::member_address> parse_seed(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || parsed_end != end || port == 0) {
        return std::nullopt;
    }
    return state::member_address{std::move(ip), port};
}

/// Returns the seeds that are valid. `start` refuses settings with an invalid one.
std::vector<state::member_address> parse_seeds(const std::vector<std::string>& texts) {
    std::vector<state::member_address> seeds;
    for (const auto& text : texts) {
        if (auto seed = parse_seed(text)) {
            seeds.push_back(std::move(*seed));
        }
    }
    return seeds;
}

coordination::configuration_settings
make_configuration_settings(const protocol::daemon_settings& settings) {
    coordination::configuration_settings result;
    result.poll_period = settings.poll_interval;
    result.behind_poll_period = std::min(result.behind_poll_period, result.poll_period);
    result.eligibility.single_entry_host = settings.single_entry_host;
    return result;
}

state::result<protocol::peer_keys> load_keys(const std::string& path) {
    if (path.empty()) {
        log_warning("development_peer_key", {{"note", "peers.key_file is not set"}});
        return protocol::peer_keys{{0, development_secret}, std::nullopt};
    }
    const std::ifstream file(path);
    if (!file) {
        return state::fail(failure_kind::invalid_settings,
                           "peers.key_file: cannot read the file '" + path + "'");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return protocol::read_peer_keys(text.str());
}

} // namespace

membership_part::membership_part(const protocol::daemon_settings& settings,
                                 const std::string& writer, state::platform_hooks platform,
                                 state::metrics& metrics,
                                 state::snapshot_cell<state::configuration>& in_force)
    : m_settings(settings), m_configuration_settings(make_configuration_settings(settings)),
      m_platform(std::move(platform)), m_metrics(metrics), m_in_force(in_force),
      m_membership(make_self(settings), parse_seeds(settings.seeds), {},
                   {.on_revisions =
                        [this](const state::revision_view& revisions, time_point now) {
                            if (m_holder.merge_revisions(revisions, now)) {
                                request_poll();
                            }
                        },
                    .on_topic = {}}),
      m_holder(writer, m_configuration_settings, make_configuration_hooks()) {}

membership_part::~membership_part() {
    stop();
}

coordination::configuration_hooks membership_part::make_configuration_hooks() {
    coordination::configuration_hooks hooks;
    hooks.platform = m_platform;
    hooks.parse = protocol::read_configuration;
    hooks.fetch_from_peer = [](std::uint64_t) -> state::result<state::peer_state> {
        return state::fail(failure_kind::store_unavailable,
                           "members do not exchange configurations yet");
    };
    hooks.last_contact_with = [this](std::size_t count, time_point now) {
        return m_membership.last_contact_with(count, now);
    };
    hooks.listed_count = [this] { return m_membership.listed_count(); };
    hooks.count_acknowledgements = [this](std::uint64_t announcement) {
        return m_membership.count_acknowledgements(announcement);
    };
    return hooks;
}

state::result<void> membership_part::open_endpoint() {
    if (m_settings.peers.port == 0) {
        if (!m_settings.seeds.empty()) {
            return state::fail(failure_kind::invalid_settings,
                               "peers.port is required when peers.seeds are given");
        }
        return {};
    }
    for (const auto& seed : m_settings.seeds) {
        if (!parse_seed(seed)) {
            return state::fail(failure_kind::invalid_settings,
                               "peers.seeds: '" + seed + "' is not ADDRESS:PORT");
        }
    }
    BOOST_LEAF_ASSIGN(m_keys, load_keys(m_settings.peer_key_file));
    try {
        m_endpoint = std::make_unique<transport::datagram_endpoint>(
            state::member_address{m_settings.peers.address, m_settings.peers.port},
            transport::datagram_hooks{[this](std::string_view datagram) { receive(datagram); }});
    } catch (const std::runtime_error& error) {
        return state::fail(failure_kind::invalid_settings,
                           "peers: cannot listen at " + m_settings.peers.address + ":" +
                               std::to_string(m_settings.peers.port) + ": " + error.what());
    }
    return {};
}

state::result<void> membership_part::start() {
    BOOST_LEAF_CHECK(coordination::check_settings(m_configuration_settings));
    BOOST_LEAF_CHECK(open_endpoint());
    {
        const std::scoped_lock lock(m_mutex);
        m_accepts_datagrams = true;
    }
    m_tick_worker.repeat(tick_interval, [this] { tick(); });
    return {};
}

void membership_part::stop() {
    m_tick_worker.post([this] { send(m_membership.leave(read_clock(), m_tick_random)); });
    m_tick_worker.stop();
    m_poll_worker.stop();
    m_endpoint.reset();
}

void membership_part::receive(std::string_view datagram) {
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_accepts_datagrams) {
            return;
        }
    }
    const auto message =
        state::collect([&] { return protocol::decode_datagram(datagram, m_keys); });
    if (!message) {
        m_metrics.counter_of("peer_datagrams_refused_total").add();
        return;
    }
    m_metrics.counter_of("peer_datagrams_received_total").add();
    auto answers = m_membership.receive(message.value(), read_clock(), m_receive_random);
    if (!answers.empty()) {
        m_tick_worker.post([this, answers = std::move(answers)] { send(answers); });
    }
    { const std::scoped_lock lock(m_mutex); }
    m_datagram_received.notify_all();
}

void membership_part::send(const std::vector<coordination::outgoing_message>& messages) {
    if (!m_endpoint) {
        return;
    }
    for (const auto& outgoing : messages) {
        const auto datagram =
            state::collect([&] { return protocol::encode_datagram(outgoing.message, m_keys); });
        const bool sent = datagram && m_endpoint->send(outgoing.to, datagram.value());
        m_metrics.counter_of(sent ? "peer_datagrams_sent_total" : "peer_datagrams_not_sent_total")
            .add();
    }
}

void membership_part::tick() {
    const auto now = read_clock();
    if (m_holder.is_caught_up()) {
        m_membership.set_caught_up();
    }
    send(m_membership.publish_revisions(m_holder.revisions(), now, m_tick_random));
    send(m_membership.tick(now, m_tick_random));
    log_service_state_change(now);
    poll_when_due(now);
}

void membership_part::log_service_state_change(time_point now) {
    const auto service = m_holder.service(now);
    if (service != m_logged_service_state) {
        m_logged_service_state = service;
        log_info("service_state", {{"state", std::string(state::to_name(service))}});
    }
}

void membership_part::poll_when_due(time_point now) {
    {
        const std::scoped_lock lock(m_mutex);
        if (m_next_poll && now < *m_next_poll) {
            return;
        }
    }
    request_poll();
}

void membership_part::request_poll() {
    {
        const std::scoped_lock lock(m_mutex);
        if (m_poll_requested) {
            return;
        }
        m_poll_requested = true;
    }
    m_poll_worker.post([this] { poll(); });
}

void membership_part::poll() {
    {
        // The flag is cleared before the poll, because a request that arrives during
        // the poll may concern a change that this poll does not see.
        const std::scoped_lock lock(m_mutex);
        m_poll_requested = false;
        m_next_poll = read_clock() + m_holder.poll_wait();
    }
    m_holder.poll(read_clock());
    publish();
    read_hosts();
    const std::scoped_lock lock(m_mutex);
    m_next_poll = read_clock() + m_holder.poll_wait();
}

void membership_part::read_hosts() {
    const auto now = read_clock();
    if (m_hosts_read_at && now - *m_hosts_read_at < host_list_interval) {
        return;
    }
    const auto hosts = state::collect([&] { return m_platform.list_hosts(); });
    if (!hosts) {
        m_metrics.counter_of("host_list_failures_total").add();
        return; // the last list stays in use, and the next poll retries
    }
    m_hosts_read_at = now;
    std::set<state::member_id> listed;
    for (const auto& host : hosts.value()) {
        if (host.entry_host) {
            listed.emplace(host.id.value());
        }
    }
    m_membership.set_listed(std::move(listed));
}

void membership_part::publish() {
    const auto held = m_holder.current();
    const bool newer = m_in_force.replace_if(*held, [](const auto& present, const auto& candidate) {
        return candidate.revision > present.revision;
    });
    if (newer) {
        log_info("configuration_in_force", {{"revision", std::to_string(held->revision)}});
    }
}

state::result<void> membership_part::check_eligibility(time_point now) {
    const auto service = m_holder.service(now);
    if (service != service_state::serving) {
        return state::fail(failure_kind::isolated,
                           "the state of this member is " + std::string(state::to_name(service)));
    }
    const auto in_force = m_in_force.load();
    if (in_force->revision == 0) {
        return state::fail(failure_kind::isolated, "no configuration is known yet");
    }
    return {};
}

bool membership_part::ready(time_point now) {
    const auto in_force = m_in_force.load();
    return m_holder.service(now) == service_state::serving && in_force->revision > 0;
}

state::result<std::uint64_t> membership_part::submit(const std::string& document,
                                                     std::uint64_t expected_revision,
                                                     const std::string& operator_name,
                                                     time_point now) {
    const std::scoped_lock one_at_a_time(m_submit_mutex);
    const coordination::configuration_submission submission{document, operator_name,
                                                            read_wall_clock(), expected_revision};
    BOOST_LEAF_AUTO(announcement, m_holder.announce(submission, now));

    // Sends the announcement to every member, and waits until enough of them have
    // acknowledged it.
    m_tick_worker.post([this] {
        const auto at = read_clock();
        send(m_membership.publish_revisions(m_holder.revisions(), at, m_tick_random));
        send(m_membership.probe_all(at, m_tick_random));
    });
    if (!m_settings.single_entry_host) {
        std::unique_lock lock(m_mutex);
        m_datagram_received.wait_until(lock, read_clock() + acknowledgement_wait, [&] {
            return m_membership.count_acknowledgements(announcement) >=
                   coordination::acknowledgements_needed(m_membership.listed_count());
        });
    }
    BOOST_LEAF_AUTO(revision, m_holder.submit(submission, announcement, read_clock()));

    // A successful poll proves that this member may serve, so that a member that is
    // starting becomes ready.
    m_holder.poll(read_clock());
    publish();
    return revision;
}

std::vector<state::member_update> membership_part::members() const {
    auto members = m_membership.members();
    members.insert(members.begin(), m_membership.self());
    return members;
}

std::uint64_t membership_part::incarnation() const {
    return m_membership.self().incarnation;
}

bool membership_part::is_gone(const state::member_id& member, std::uint64_t incarnation) const {
    if (member == m_settings.member) {
        return run_of(incarnation) != run_of(m_membership.self().incarnation);
    }
    const auto known = m_membership.find(member);
    if (!known || run_of(known->update.incarnation) < run_of(incarnation)) {
        return false;
    }
    return run_of(known->update.incarnation) > run_of(incarnation) ||
           known->update.state == state::member_state::dead ||
           known->update.state == state::member_state::left;
}

} // namespace savoryrelay::daemon
