// Maintains the lease, requests reports from runners and sends them orders.
#include "group_part.h"

#include "savoryrelay/coordination/serving/runner_observations.h"
#include "savoryrelay/protocol/lease/lease_text.h"
#include "savoryrelay/transport/process/control_loop.h"
#include "savoryrelay/transport/process/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace savoryrelay::edge {

namespace asio = boost::asio;
using state::milliseconds;
using transport::log_info;

namespace {

const state::deployment_id groups_lease("groups");
constexpr auto lease_table = "savoryrelay_lease";

// The lease duration leaves time for two renewals, an order and the clock drift, even when
// the store takes a few hundred milliseconds to answer.
constexpr coordination::lease_settings lease_times{
    .duration = milliseconds(1'500),
    .renew_interval = milliseconds(400),
    .order_timeout = milliseconds(400),
    .margin = milliseconds(100),
};
constexpr milliseconds lease_tick{100};
// A controller that has sent no digest for this long may have stopped. The lease row in
// the store decides.
constexpr milliseconds controller_silence{400};
// The lease holder requests reports from every runner and sends observations to every hub.
// A host with less than this share of a core waits longer before it tries to take the
// lease: with 228 runners, a holder with 0.12 of a core could not keep up with the reports.
// So does a host that learns of the controller only through its hub, and there are many.
constexpr double min_processor_share = 0.2;
constexpr milliseconds successor_delay{3'000};

constexpr milliseconds step_interval{50};
// Interval of the report requests to a runner, and the shorter interval while an order
// takes effect.
constexpr milliseconds report_interval{700};
constexpr milliseconds report_interval_busy{100};
// Runners answer report requests without a slot, within a few milliseconds. A runner that
// leaves two in a row unanswered is considered silent.
constexpr milliseconds report_timeout{200};
constexpr std::uint32_t silent_after_failures = 2;
// A suspicion is dropped this long after the last failed call or observation that caused it.
constexpr milliseconds suspicion_max_age{600};
// Interval at which the controller sends the last model of free runners. A new controller
// needs it within its first second.
constexpr milliseconds free_models_interval{1'000};
// Interval at which the other hosts request a report from a runner that did not answer
// the controller.
constexpr milliseconds confirmation_poll_interval{1'000};
// Time for which a host reports in its observations that a runner named by the controller has
// answered it. It ends shortly after the next report request is due.
constexpr milliseconds confirmation_max_age{1'100};
// Time for which another host's observation that a runner answers keeps the controller from
// declaring the runner silent.
constexpr milliseconds confirmation_duration{400};

} // namespace

group_part::group_part(transport::io_threads& threads, platform::store_client& store,
                       shared_state& shared, runner_signals& signals,
                       const protocol::edge_settings& settings, std::uint64_t incarnation,
                       std::function<state::time_point()> now)
    : m_threads(threads), m_shared(shared), m_signals(signals), m_host(settings.host),
      m_is_first_start(settings.is_first_start), m_processor_share(settings.processor_share),
      m_has_relays(settings.relay_port != 0), m_now(std::move(now)),
      m_lease(lease_times, state::member_id(m_host.value()), incarnation,
              {.platform = store.lease_hooks(lease_table, m_host.value()),
               .codec = protocol::lease_text_codec(),
               .clock = m_now,
               .is_first_start = m_is_first_start},
              shared.metrics) {
    m_controller_digest_at = m_now();
}

void group_part::start() {
    m_lease_worker.repeat(lease_tick, [this] { maintain_lease(); });
    transport::start_control_loop(m_threads.context(0), "groups", [this] { return run_steps(); });
}

void group_part::resign() {
    m_is_resigning = true;
    m_lease_worker.post([this] { maintain_lease(); });
}

void group_part::stop() {
    m_lease_worker.stop();
}

milliseconds group_part::takeover_delay() const {
    const bool is_first =
        m_processor_share >= min_processor_share && m_shared.is_store_reader.load();
    return controller_silence + (is_first ? milliseconds(0) : successor_delay);
}

bool group_part::wants_lease() const {
    return !m_is_resigning && !m_shared.reach.is_cut_off();
}

void group_part::maintain_lease() {
    const auto now = m_now();
    const auto phase = m_lease.phase(groups_lease, now);
    bool controller_is_alive = false;
    {
        const std::scoped_lock lock(m_mutex);
        controller_is_alive = now - m_controller_digest_at < takeover_delay();
    }
    const bool has_ended =
        phase == state::lease_phase::observing || phase == state::lease_phase::lapsed;
    const bool is_wanted = wants_lease();
    if (is_wanted ? phase == state::lease_phase::observing && controller_is_alive : has_ended) {
        return;
    }
    const auto done = state::collect([&] { return m_lease.maintain(groups_lease, is_wanted); });
    if (!done) {
        m_shared.metrics.counter_of("savoryrelay_lease_store_failures_total").add();
    }
    const auto reached = m_lease.phase(groups_lease, m_now());
    if (reached != phase) {
        log_info("lease", {{"from", std::string(state::to_name(phase))},
                           {"to", std::string(state::to_name(reached))},
                           {"detail", done ? "" : done.error().message()}});
    }
}

void group_part::note_controller_digest(state::time_point at) {
    const std::scoped_lock lock(m_mutex);
    m_controller_digest_at = std::max(m_controller_digest_at, at);
}

milliseconds group_part::controller_age(state::time_point now) {
    if (is_controller()) {
        return milliseconds(0);
    }
    const std::scoped_lock lock(m_mutex);
    return std::chrono::duration_cast<milliseconds>(now - m_controller_digest_at);
}

void group_part::report_suspect(const state::endpoint_id& runner) {
    const auto now = m_now();
    {
        const std::scoped_lock lock(m_mutex);
        if (auto [known, is_new] = m_last_suspected_at.emplace(runner, now); !is_new) {
            known->second = now;
        }
    }
    asio::post(m_threads.context(0), [this, runner, now] { m_polls[runner].next = now; });
}

void group_part::apply_peer_observation(const state::runner_observation& observation,
                                        state::time_point now) {
    if (observation.is_silent) {
        report_suspect(observation.id);
    } else {
        m_shared.fleet.note_peer_confirmation(observation.id, now + confirmation_duration);
    }
}

std::vector<state::endpoint_id> group_part::runners_to_confirm() {
    const std::scoped_lock lock(m_mutex);
    return {m_runners_to_confirm.begin(), m_runners_to_confirm.end()};
}

void group_part::poll_runners_to_confirm(const std::vector<state::endpoint_id>& runners) {
    const auto now = m_now();
    for (const auto& id : runners) {
        const auto runner = m_shared.fleet.find(id);
        const std::scoped_lock lock(m_mutex);
        auto& polled_at = m_confirmation_polled_at[id];
        if (runner && !runner->paused_until(now) && now - polled_at >= confirmation_poll_interval) {
            polled_at = now;
            asio::co_spawn(m_threads.context(0), poll_for_controller(runner->record),
                           asio::detached);
        }
    }
}

platform::answer_head_hook group_part::signal_hook(const state::runner_record& runner) {
    return [this, runner, sent_at = m_now()](const state::answer_head& answer) {
        m_signals.note_answer(runner, answer);
        m_signals.note_call_rate(runner, answer, sent_at, answered_request::control);
    };
}

asio::awaitable<void> group_part::poll_for_controller(state::runner_record runner) {
    const auto report =
        co_await platform::fetch_report(m_pool, runner, report_timeout, signal_hook(runner));
    if (!report) {
        co_return;
    }
    const auto now = m_now();
    if (m_shared.fleet.apply_report(runner.id, report.value(), now)) {
        const std::scoped_lock lock(m_mutex);
        m_confirmed_at[runner.id] = now;
    }
}

std::vector<state::runner_observation> group_part::observations(state::time_point now) {
    std::vector<state::runner_observation> all;
    const auto fleet = m_shared.fleet.snapshot();
    std::set<state::endpoint_id> suspects;
    std::set<state::endpoint_id> confirmed;
    {
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_last_suspected_at,
                      [&](const auto& entry) { return now - entry.second > suspicion_max_age; });
        for (const auto& [id, at] : m_last_suspected_at) {
            suspects.insert(id);
        }
        std::erase_if(m_confirmed_at,
                      [&](const auto& entry) { return now - entry.second > confirmation_max_age; });
        for (const auto& [id, at] : m_confirmed_at) {
            confirmed.insert(id);
        }
    }
    const bool sends_free_models = now >= m_free_models_sent_at + free_models_interval;
    if (sends_free_models) {
        m_free_models_sent_at = now;
    }
    for (const auto& runner : *fleet) {
        const auto& id = runner.record.id;
        if (is_controller()) {
            if (auto told = coordination::observe_as_controller(runner, sends_free_models, now)) {
                all.push_back(std::move(*told));
            }
        } else if (const bool is_confirmed = confirmed.contains(id);
                   is_confirmed || suspects.contains(id)) {
            all.push_back(coordination::make_observation(runner, !is_confirmed));
        }
    }
    return all;
}

asio::awaitable<void> group_part::run_steps() {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        const auto now = m_now();
        m_shared.fleet.refresh(now);
        const bool is_holder = m_lease.phase(groups_lease, now) == state::lease_phase::holding;
        if (is_holder != m_is_controller.exchange(is_holder)) {
            log_info("controller", {{"outcome", is_holder ? "gained" : "lost"}});
            m_holder_since = now;
            for (auto& [id, poll] : m_polls) {
                poll.next = now; // the first orders need a report of each runner
            }
        }
        if (is_holder) {
            poll_due_runners(now);
            if (wants_lease()) {
                plan_orders(now);
            }
        }
        timer.expires_after(step_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void group_part::poll_due_runners(state::time_point now) {
    const auto fleet = m_shared.fleet.snapshot();
    const auto configuration = m_shared.configuration.load();
    {
        // Runners that are no longer listed need no confirmation.
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_runners_to_confirm, [&](const auto& id) {
            const auto runner = m_shared.fleet.find(id);
            return !runner || !runner->is_listed(now);
        });
    }
    for (const auto& runner : *fleet) {
        const auto service = configuration->services.find(runner.record.service);
        if (service == configuration->services.end() || !service->second.engine) {
            continue;
        }
        auto& poll = m_polls[runner.record.id];
        if (poll.is_in_progress || now < poll.next || runner.paused_until(now)) {
            continue;
        }
        poll.is_in_progress = true;
        asio::co_spawn(m_threads.context(0), poll_runner(runner.record), asio::detached);
    }
}

asio::awaitable<void> group_part::poll_runner(state::runner_record runner) {
    const auto report =
        co_await platform::fetch_report(m_pool, runner, report_timeout, signal_hook(runner));
    const auto now = m_now();
    auto& poll = m_polls[runner.id];
    poll.is_in_progress = false;
    const bool is_same_incarnation =
        !report || m_shared.fleet.apply_report(runner.id, report.value(), now);
    if (!is_same_incarnation) {
        poll.next = now + report_interval;
        if (poll.failures < silent_after_failures) {
            m_shared.fleet.note_silence(runner.id, runner.started_ms, now);
            log_info("runner_replaced", {{"runner", runner.id.value()}});
        }
        poll.failures = silent_after_failures;
        co_return;
    }
    if (!report) {
        if (m_has_relays) {
            m_shared.reach.note_doubt(now);
        }
        ++poll.failures;
        poll.next = poll.failures < silent_after_failures ? now
                    : m_shared.reach.is_in_doubt(now)     ? now + report_interval_busy
                                                          : now + report_interval;
        {
            const std::scoped_lock lock(m_mutex);
            m_runners_to_confirm.insert(runner.id);
        }
        const auto known = m_shared.fleet.find(runner.id);
        const bool is_confirmed =
            known && known->peer_confirmed_until && now < *known->peer_confirmed_until;
        // A host in doubt may be cut off itself.
        if (poll.failures >= silent_after_failures && known && !known->silent_since &&
            !is_confirmed && !m_shared.reach.is_in_doubt(now)) {
            m_shared.fleet.note_silence(runner.id, runner.started_ms, now);
            log_info("runner_silent",
                     {{"runner", runner.id.value()}, {"detail", report.error().message()}});
        }
        co_return;
    }
    if (poll.failures >= silent_after_failures) {
        log_info("runner_answers", {{"runner", runner.id.value()}});
    }
    poll.failures = 0;
    {
        const std::scoped_lock lock(m_mutex);
        m_runners_to_confirm.erase(runner.id);
    }
    const auto& membership = report.value().membership;
    const auto known = m_shared.fleet.find(runner.id);
    const bool is_busy =
        (known && known->awaits_report_since) ||
        (membership &&
         (membership->state == state::membership_state::joining ||
          (membership->state == state::membership_state::ready && membership->rank == 0)));
    poll.next = now + (is_busy ? report_interval_busy : report_interval);
}

void group_part::plan_orders(state::time_point now) {
    m_shared.fleet.refresh(now);
    const auto fleet = m_shared.fleet.snapshot();
    const auto configuration = m_shared.configuration.load();
    const auto out_of_service = m_shared.zones_out_of_service.load();
    // No message is sent for this order. It is begun only to check that the lease lasts long
    // enough for an order, and to get the fencing number.
    const auto ticket = state::collect([&] { return m_lease.begin_order(groups_lease, now); });
    if (!ticket) {
        return; // the lease ends too soon for an order
    }
    static_cast<void>(state::collect(
        [&] { return m_lease.end_order(ticket.value(), coordination::order_end::replied, now); }));
    // A holder whose lease lapsed may renew it under the same fencing number. It keeps its
    // reconcilers then, because the names of groups are unique within one.
    if (std::exchange(m_reconcilers_epoch, ticket.value().fencing_number) !=
        ticket.value().fencing_number) {
        m_reconcilers.clear();
    }
    for (const auto& [name, service] : configuration->services) {
        if (!service.engine) {
            continue;
        }
        coordination::group_reconciler_input input;
        input.service = &service;
        input.fleet = &*fleet;
        input.zones_out_of_service = *out_of_service;
        input.work = m_shared.work.all(now);
        input.is_first_start = m_is_first_start;
        input.epoch = ticket.value().fencing_number;
        input.holder_since = m_holder_since;
        auto& reconciler =
            m_reconcilers.try_emplace(name, coordination::group_reconciler_settings{})
                .first->second;
        for (auto& order : reconciler.plan(input, now)) {
            const auto runner = m_shared.fleet.find(order.runner);
            if (runner) {
                asio::co_spawn(m_threads.context(0), send_order(runner->record, std::move(order)),
                               asio::detached);
            }
        }
    }
}

asio::awaitable<void> group_part::send_order(state::runner_record runner,
                                             state::runner_order order) {
    if (!m_shared.fleet.reserve_order(runner.id, m_now())) {
        co_return;
    }
    const auto ticket = state::collect([&] { return m_lease.begin_order(groups_lease, m_now()); });
    if (!ticket || ticket.value().fencing_number != order.fencing_number) {
        co_return;
    }
    const auto sent_at = m_now();
    const auto may_send = [this] {
        return m_lease.phase(groups_lease, m_now()) == state::lease_phase::holding;
    };
    const auto answer = co_await platform::send_order(
        m_pool, runner, order, lease_times.order_timeout, may_send, signal_hook(runner));
    const auto result = answer.result;
    const auto now = m_now();
    const auto end = result == state::runner_order_result::unknown
                         ? coordination::order_end::no_reply
                         : coordination::order_end::replied;
    static_cast<void>(state::collect([&] { return m_lease.end_order(ticket.value(), end, now); }));
    log_info("order",
             {{"runner", runner.id.value()},
              {"order", std::string(state::to_name(order.kind))},
              {"group", order.group},
              {"epoch", std::to_string(order.epoch)},
              {"model", order.model},
              {"sequence", std::to_string(order.expected_sequence)},
              {"result", std::string(state::to_name(result))},
              {"detail", answer.detail},
              {"took_ms",
               std::to_string(std::chrono::duration_cast<milliseconds>(now - sent_at).count())}});
    // A runner leaves at once and answers `holds_already`, which counts as an accepted order.
    const bool has_left = order.kind == state::runner_order_kind::leave &&
                          result == state::runner_order_result::holds_already;
    if (result == state::runner_order_result::accepted || has_left) {
        m_shared.fleet.note_order_accepted(order, now);
    }
    const auto reconciler = m_reconcilers.find(runner.service);
    if (reconciler != m_reconcilers.end()) {
        reconciler->second.note_result(order, result, now);
    }
    m_polls[runner.id].next = now + report_interval_busy;
}

} // namespace savoryrelay::edge
