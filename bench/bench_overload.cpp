// Compares goodput under overload with fair shares, with plain queue limits and
// without any limit, in simulated time with the same arrivals. The demand of one
// customer grows, while four small customers stay within their shares. Prints CSV.
#include "simulated_fleet.h"

#include "savoryrelay/coordination/admission/admission.h"

#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace {

using namespace savoryrelay;
using namespace savoryrelay::coordination;

constexpr std::uint64_t seed = 20261204;
constexpr double warm_up_ms = 10'000;
constexpr double end_ms = 80'000; // answers take up to 30 s
constexpr std::size_t engine_count = 4;
constexpr std::size_t small_customers = 4;
// Highest number of requests per second at which the engines keep the time between
// tokens at 49 ms.
constexpr double full_rate = 44;
constexpr double small_rate = 3; // requests per second of each small customer
constexpr double first_token_limit_ms = 2'000;
// Time from the start of a request to its first token. The latest useful start is
// this long before the limit of the first token.
constexpr double start_margin_ms = 400;
constexpr double token_limit_ms = 60;
constexpr double mean_cost = 1'840;              // tokens of prompt and answer
constexpr double in_flight_limit = 4 * 110;      // requests in flight at full_rate
constexpr std::size_t plain_queue_limit = 1'000; // waiting requests
// Number of waiting requests whose first tokens are in time when 44 requests start
// per second.
constexpr std::size_t short_queue_limit = 60;

enum class variant { none, queue_limit, short_queue, fair_shares };

} // namespace

template <>
struct savoryrelay::state::enum_table<variant> {
    static constexpr std::array rows{
        enum_name<variant>{variant::none, "none"},
        enum_name<variant>{variant::queue_limit, "queue_limit"},
        enum_name<variant>{variant::short_queue, "short_queue"},
        enum_name<variant>{variant::fair_shares, "fair_shares"},
    };
};

namespace {

struct run_result {
    double goodput = 0;          ///< requests per second that keep both time limits
    double refused_share = 0;    ///< share of all requests
    double late_share = 0;       ///< share of all requests, neither good nor refused
    double small_good_share = 0; ///< share of the small customers' requests
};

state::time_point to_time(double ms) {
    return state::time_point(std::chrono::hours(1)) +
           std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

class experiment {
public:
    experiment(variant chosen, double load) : m_variant(chosen), m_load(load) {
        for (std::size_t i = 0; i < engine_count; ++i) {
            m_engines.push_back(std::make_unique<bench::simulated_engine>(m_events, model()));
        }
        admission_settings settings;
        settings.capacity = in_flight_limit * mean_cost;
        settings.queue_limit = plain_queue_limit;
        settings.customer_queue_limit = plain_queue_limit / 2;
        m_admission = std::make_unique<admission>(
            settings,
            admission_hooks{[this](std::uint64_t ticket) { start(ticket); },
                            [this](const admission_refusal& refusal) { refuse(refusal.ticket); },
                            [](const auto&, const auto& values) { return values.quantum; }});
    }

    run_result run() {
        arrive();
        tick();
        m_events.run_until(end_ms);
        // Requests whose answers may not end within the run do not count.
        run_result result;
        double total = 0;
        double small_total = 0;
        double small_good = 0;
        for (const auto& [ticket, row] : m_requests) {
            if (row.arrived < warm_up_ms || row.arrived > end_ms - 30'000) {
                continue;
            }
            total += 1;
            result.goodput += row.is_good ? 1 : 0;
            result.refused_share += row.is_refused ? 1 : 0;
            small_total += row.customer > 0 ? 1 : 0;
            small_good += row.customer > 0 && row.is_good ? 1 : 0;
        }
        result.late_share = (total - result.goodput - result.refused_share) / total;
        result.refused_share /= total;
        result.goodput /= (end_ms - 30'000 - warm_up_ms) / 1'000;
        result.small_good_share = small_good / small_total;
        return result;
    }

private:
    struct request_row {
        double arrived = 0;
        std::size_t customer = 0; ///< 0 is the large customer
        std::uint32_t own_tokens = 0;
        std::uint32_t answer_tokens = 0;
        double first_token = 0;
        bool is_good = false;
        bool is_refused = false;
    };

    static bench::engine_model model() {
        bench::engine_model values;
        values.cached_prefixes = 0; // each prompt is processed completely
        return values;
    }

    void arrive() {
        const double rate = full_rate * m_load;
        std::exponential_distribution<double> gap(rate / 1'000);
        std::uniform_real_distribution<double> point(0, rate);
        const auto customer = static_cast<std::size_t>(point(m_random) / small_rate);
        auto& row = m_requests[++m_last_ticket];
        row.arrived = m_events.now();
        row.customer = customer < small_customers ? customer + 1 : 0;
        row.own_tokens = 1'400 + static_cast<std::uint32_t>(m_random() % 400);
        row.answer_tokens = 80 + static_cast<std::uint32_t>(m_random() % 325);
        admit_or_queue(m_last_ticket, row);
        m_events.schedule_at(m_events.now() + gap(m_random), [this] { arrive(); });
    }

    void admit_or_queue(std::uint64_t ticket, const request_row& row) {
        if (m_variant == variant::fair_shares) {
            admission_request request;
            request.ticket = ticket;
            request.deployment = m_deployment;
            request.customer = state::customer_id("c" + std::to_string(row.customer));
            request.cost = row.own_tokens + row.answer_tokens;
            request.deadline = to_time(row.arrived + first_token_limit_ms - start_margin_ms);
            m_admission->submit(request, to_time(m_events.now()));
            return;
        }
        if (m_variant == variant::none) {
            start(ticket);
            return;
        }
        if (m_queue.size() >=
            (m_variant == variant::short_queue ? short_queue_limit : plain_queue_limit)) {
            refuse(ticket);
            return;
        }
        m_queue.push_back(ticket);
        start_queued();
    }

    void start_queued() {
        while (!m_queue.empty() && m_running < static_cast<std::size_t>(in_flight_limit)) {
            const auto ticket = m_queue.front();
            m_queue.pop_front();
            start(ticket);
        }
    }

    void tick() {
        m_admission->expire(m_deployment, to_time(m_events.now()));
        m_events.schedule_at(m_events.now() + 100, [this] { tick(); });
    }

    void refuse(std::uint64_t ticket) { m_requests.at(ticket).is_refused = true; }

    void start(std::uint64_t ticket) {
        ++m_running;
        const auto& row = m_requests.at(ticket);
        bench::engine_request request;
        request.own_tokens = row.own_tokens;
        request.answer_tokens = row.answer_tokens;
        request.on_first_token = [this, ticket](bool) {
            m_requests.at(ticket).first_token = m_events.now();
        };
        request.on_end = [this, ticket] { end(ticket); };
        const auto least_loaded =
            std::min_element(m_engines.begin(), m_engines.end(), [](const auto& a, const auto& b) {
                return a->running() + a->queued() < b->running() + b->queued();
            });
        (*least_loaded)->submit(std::move(request));
    }

    void end(std::uint64_t ticket) {
        auto& row = m_requests.at(ticket);
        const double interval = (m_events.now() - row.first_token) / (row.answer_tokens - 1);
        row.is_good =
            row.first_token - row.arrived <= first_token_limit_ms && interval <= token_limit_ms;
        --m_running;
        m_admission->finish(m_deployment, ticket, to_time(m_events.now()));
        start_queued();
    }

    const state::deployment_id m_deployment{"d"};
    variant m_variant;
    double m_load;
    std::mt19937_64 m_random{seed};
    bench::event_queue m_events;
    std::vector<std::unique_ptr<bench::simulated_engine>> m_engines;
    std::unique_ptr<admission> m_admission;
    std::unordered_map<std::uint64_t, request_row> m_requests;
    std::deque<std::uint64_t> m_queue;
    std::uint64_t m_last_ticket = 0;
    std::size_t m_running = 0;
};

} // namespace

int main() {
    std::cout << "variant,load,goodput_per_second,refused_share,late_share,small_good_share\n";
    for (const double load : {1.0, 1.5, 2.0, 4.0}) {
        double limit_goodput = 0;
        double shares_goodput = 0;
        for (const auto& row : state::enum_table<variant>::rows) {
            const auto result = experiment(row.value, load).run();
            std::cout << row.name << ',' << load << ',' << result.goodput << ','
                      << result.refused_share << ',' << result.late_share << ','
                      << result.small_good_share << '\n';
            limit_goodput = row.value == variant::short_queue ? result.goodput : limit_goodput;
            shares_goodput = row.value == variant::fair_shares ? result.goodput : shares_goodput;
        }
        std::cout << "# load=" << load << " seed=" << seed
                  << " goodput, fair shares to short queue: " << shares_goodput << " to "
                  << limit_goodput << '\n';
    }
    return 0;
}
