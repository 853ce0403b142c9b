// Measures the cost of the membership with the real encoder in simulated time, and
// compares it with a full mesh of heartbeats. The figures are per member and per
// second of simulated time. Bytes include the IP and UDP headers and the HMAC.
#include "savoryrelay/coordination/membership/membership.h"
#include "savoryrelay/protocol/peer/peer_codec.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <memory>
#include <vector>

using namespace savoryrelay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ip_udp_header_bytes = 28;
constexpr double target_bytes = 12 * 1024;
constexpr double target_core = 0.014;
constexpr double target_seconds = 6;
/// Delay of a datagram. A member's ticks are `steps_per_tick` steps apart.
constexpr auto step = 10ms;
constexpr std::size_t steps_per_tick = 5;

/// Returns the CPU time of this process in seconds.
double cpu_seconds() {
    timespec at{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
}

double allocated_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

protocol::peer_keys keys() {
    return {{1, std::string(32, 'k')}, std::nullopt};
}

state::member_id id_of(std::size_t i) {
    return state::member_id("entry-" + std::to_string(i));
}

state::member_address address_of(std::size_t i) {
    return {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7000};
}

std::size_t index_of(const state::member_address& address) {
    const auto dot = address.ip.rfind('.');
    return std::stoul(address.ip.substr(5, dot - 5)) * 250 + std::stoul(address.ip.substr(dot + 1));
}

/// Members that exchange encoded datagrams with one step of delay.
class cluster {
public:
    cluster(std::size_t count, double loss) : m_loss(loss), m_running(count, true) {
        std::vector<state::member_update> all;
        std::set<state::member_id> listed;
        for (std::size_t i = 0; i < count; ++i) {
            all.push_back({id_of(i), address_of(i), 1, state::member_state::alive});
            listed.insert(id_of(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back(std::make_unique<coordination::membership>(
                all[i], std::vector{address_of(0)}, coordination::membership_settings{},
                coordination::membership_hooks{}));
            members.back()->merge(all, now);
            members.back()->set_listed(listed);
            members.back()->set_caught_up();
        }
    }

    void run(state::milliseconds span) {
        for (const auto end = now + span; now < end;) {
            now += step;
            ++m_steps;
            auto due = std::exchange(m_in_flight, {});
            for (const auto& [to, frame] : due) {
                receive(to, frame);
            }
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (m_running[i] && (i + m_steps) % steps_per_tick == 0) {
                    send(members[i]->tick(now, m_random));
                }
            }
        }
    }

    /// Runs until `reached(member)` is true for every running member. Returns the
    /// simulated seconds that this took, at most 60.
    double run_until(const std::function<bool(const coordination::membership&)>& reached) {
        const auto begin = now;
        const auto all = [&] {
            for (std::size_t i = 0; i < members.size(); ++i) {
                if (m_running[i] && !reached(*members[i])) {
                    return false;
                }
            }
            return true;
        };
        while (now - begin < 60s && !all()) {
            run(step);
        }
        return std::chrono::duration<double>(now - begin).count();
    }

    void publish(std::uint64_t revision) {
        send(members[0]->publish_revisions({revision, revision, 0}, now, m_random));
    }
    void stop(std::size_t i) { m_running[i] = false; }

    std::vector<std::unique_ptr<coordination::membership>> members;
    state::time_point now{};
    double sent_bytes = 0;
    double received_bytes = 0;
    std::size_t largest = 0;

private:
    struct datagram {
        std::size_t to;
        std::string frame;
    };

    void send(const std::vector<coordination::outgoing_message>& messages) {
        for (const auto& each : messages) {
            auto frame =
                state::collect([&] { return protocol::encode_datagram(each.message, m_keys); });
            if (!frame) {
                std::printf("encoding failed: %s\n", frame.error().message().c_str());
                std::exit(1);
            }
            sent_bytes += static_cast<double>(frame.value().size() + ip_udp_header_bytes);
            largest = std::max(largest, frame.value().size());
            if (std::uniform_real_distribution<>(0, 1)(m_random) >= m_loss) {
                m_in_flight.push_back({index_of(each.to), std::move(frame.value())});
            }
        }
    }

    void receive(std::size_t to, const std::string& frame) {
        received_bytes += static_cast<double>(frame.size() + ip_udp_header_bytes);
        if (!m_running[to]) {
            return;
        }
        const auto message =
            state::collect([&] { return protocol::decode_datagram(frame, m_keys); });
        if (message) {
            send(members[to]->receive(message.value(), now, m_random));
        }
    }

    const protocol::peer_keys m_keys = keys();
    std::mt19937_64 m_random{20261204};
    double m_loss;
    std::size_t m_steps = 0;
    std::vector<bool> m_running;
    std::vector<datagram> m_in_flight;
};

struct run_result {
    double members = 0;
    double bytes = 0;        ///< sent and received per member and second
    double core = 0;         ///< CPU seconds per member and second
    double memory = 0;       ///< bytes per member
    double spread = 0;       ///< seconds until all members know a revision
    double detect = 0;       ///< seconds until all members know that one is dead
    double majority_age = 0; ///< longest time since contact with a majority, seconds
};

run_result measure(std::size_t count, double loss) {
    run_result row;
    row.members = static_cast<double>(count);
    const auto memory_before = allocated_bytes();
    cluster members(count, loss);
    members.run(20s);
    row.memory = (allocated_bytes() - memory_before) / row.members;

    // Measures the steady state.
    members.sent_bytes = members.received_bytes = 0;
    const double seconds = count > 100 ? 10 : 30;
    const auto cpu_before = cpu_seconds();
    members.run(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1'000)));
    row.core = (cpu_seconds() - cpu_before) / seconds / row.members;
    row.bytes = (members.sent_bytes + members.received_bytes) / seconds / row.members;

    // Measures the longest time since a member's contact with a majority, over 5 s.
    for (int i = 0; i < 20; ++i) {
        members.run(250ms);
        for (const auto& member : members.members) {
            const auto at = member->last_contact_with(count / 2 + 1, members.now);
            const auto age =
                at ? std::chrono::duration<double>(members.now - *at).count() : target_bytes;
            row.majority_age = std::max(row.majority_age, age);
        }
    }

    members.publish(1);
    row.spread =
        members.run_until([](const auto& member) { return member.revisions().latest_known == 1; });
    const auto dead_id = id_of(count / 2);
    members.stop(count / 2);
    row.detect = members.run_until([&](const auto& member) {
        const auto known = member.find(dead_id);
        return known && known->update.state == state::member_state::dead;
    });
    std::printf("%8zu %9.0f %9.4f %9.0f %9.2f %9.2f %9.2f %9zu\n", count, row.bytes, row.core * 100,
                row.memory, row.spread, row.detect, row.majority_age, members.largest);
    return row;
}

/// Signs and verifies one second's heartbeats of one member in a full mesh: 60 bytes
/// to each other member, with the same headers and HMAC. Returns the CPU seconds per
/// member and second, or -1 if a heartbeat was not accepted.
double measure_heartbeats(std::size_t count) {
    const auto begin = cpu_seconds();
    const std::string body(60 - ip_udp_header_bytes, 'h');
    std::size_t accepted = 0;
    for (std::size_t i = 1; i < count; ++i) {
        const auto frame = protocol::sign_frame(protocol::frame_kind::datagram, body, keys());
        accepted += state::collect([&]() -> state::result<bool> {
                        BOOST_LEAF_CHECK(
                            protocol::verify_frame(protocol::frame_kind::datagram, frame, keys()));
                        return true;
                    }).has_value()
                        ? 1
                        : 0;
    }
    return accepted == count - 1 ? cpu_seconds() - begin : -1;
}

/// Prints the least squares line of a measured value by number of members.
void print_fit(const char* name, const std::vector<run_result>& rows, double run_result::*value) {
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& row : rows) {
        x += row.members;
        y += row.*value;
        xx += row.members * row.members;
        xy += row.members * row.*value;
    }
    const auto count = static_cast<double>(rows.size());
    const auto slope = (count * xy - x * y) / (count * xx - x * x);
    std::printf("fit %-24s = %.5g + %.5g * members\n", name, (y - slope * x) / count, slope);
}

} // namespace

/// The first argument is the share of lost datagrams, 0.01 by default.
int main(int argc, char** argv) {
    const double loss = argc > 1 ? std::strtod(argv[1], nullptr) : 0.01;
    std::printf("membership, %.0f%% loss, 10 ms delay; bytes sent and received\n", loss * 100);
    std::printf("%8s %9s %9s %9s %9s %9s %9s %9s\n", "members", "bytes/s", "% core", "bytes",
                "spread s", "detect s", "majority", "largest");
    std::vector<run_result> rows;
    for (const std::size_t count : {9U, 20U, 80U, 160U, 320U}) {
        rows.push_back(measure(count, loss));
    }
    print_fit("bytes/s", rows, &run_result::bytes);
    print_fit("core", rows, &run_result::core);
    print_fit("memory bytes", rows, &run_result::memory);
    print_fit("spread s", rows, &run_result::spread);
    print_fit("detect s", rows, &run_result::detect);
    print_fit("majority age s", rows, &run_result::majority_age);

    // The baseline sends and receives one frame per other member and second.
    std::printf("\nfull mesh of 60-byte heartbeats with HMAC (baseline)\n");
    for (const auto& row : rows) {
        const auto frame = 60.0 + protocol::frame_header_bytes;
        const auto bytes = 2 * frame * (row.members - 1);
        const auto core = measure_heartbeats(static_cast<std::size_t>(row.members));
        std::printf("%8.0f %9.0f %9.4f   membership/baseline: bytes %.2f, core %.2f\n", row.members,
                    bytes, core * 100, row.bytes / bytes, row.core / core);
    }
    const auto& last = rows.back();
    const auto verdict = [](bool met) { return met ? "met" : "MISSED"; };
    std::printf("\nat 320: %.0f of %.0f bytes/s %s; %.4f%% of %.1f%% core %s; spread %.2f, "
                "detect %.2f, of %.0f s %s; majority age %.2f of 4 s %s\n",
                last.bytes, target_bytes, verdict(last.bytes <= target_bytes), last.core * 100,
                target_core * 100, verdict(last.core <= target_core), last.spread, last.detect,
                target_seconds,
                verdict(last.spread <= target_seconds && last.detect <= target_seconds),
                last.majority_age, verdict(last.majority_age <= 4));
    return 0;
}
