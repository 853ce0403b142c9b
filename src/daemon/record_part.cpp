// Builds the record's entries and flushes them on a thread of its own.
#include "record_part.h"

#include "savoryrelay/protocol/record/record_json.h"
#include "savoryrelay/protocol/record/segment_encoder.h"
#include "savoryrelay/transport/process/log.h"

#include <chrono>
#include <fstream>
#include <sstream>

namespace savoryrelay::daemon {
namespace {

using state::failure_kind;
using state::record_kind;

// Longest time for which a graceful stop retries to close the record while the
// store does not answer.
constexpr state::milliseconds close_limit{30'000};
constexpr state::milliseconds close_retry_interval{200};

state::wall_time read_wall_clock() {
    return std::chrono::time_point_cast<state::milliseconds>(std::chrono::system_clock::now());
}

state::result<std::string> read_key_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        return state::fail(failure_kind::invalid_settings,
                           "record.key_file: cannot read '" + path + "'");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns an entry with the fields that all entries of a call share. `body_digest`
// identifies the request's body without storing it.
state::record_entry make_call_entry(record_kind kind, const coordination::call& call) {
    state::record_entry entry;
    entry.kind = kind;
    entry.actor = call.customer->id.value();
    entry.customer = call.customer->id;
    entry.deployment = call.deployment->id;
    entry.request = call.id;
    entry.from_revision = call.configuration->revision;
    entry.to_revision = call.configuration->revision;
    entry.subject = call.body_digest;
    return entry;
}

} // namespace

record_part::record_part(const protocol::daemon_settings& settings, std::string chain,
                         const state::platform_hooks& platform, state::metrics& metrics)
    : m_settings(settings), m_chain(std::move(chain)), m_platform(platform), m_metrics(metrics) {}

record_part::~record_part() {
    stop();
}

state::result<void> record_part::start() {
    const auto& record = m_settings.record;
    if (record.key_file.empty()) {
        transport::log_warning("record_off", {{"note", "record.key_file is not set"}});
        return {};
    }
    BOOST_LEAF_AUTO(pem, read_key_file(record.key_file));
    BOOST_LEAF_AUTO(key, protocol::record_signing_key::from_pem(
                             pem, record.key_id, record.key_valid_from, record.key_valid_until));
    const auto published = key.public_key();
    coordination::record_hooks hooks;
    hooks.seal = [ring = protocol::record_key_ring({std::move(key)})](state::segment_draft& draft) {
        return protocol::seal_segment(draft, ring, protocol::openssl_random_bytes);
    };
    hooks.encode_anchor = protocol::encode_anchor;
    hooks.platform = m_platform;
    coordination::record_settings writer_settings;
    writer_settings.chain = m_chain;
    writer_settings.memory_limit_bytes = record.memory_limit_bytes;
    writer_settings.segment_bytes = record.segment_bytes;
    m_writer = std::make_unique<coordination::record_writer>(std::move(writer_settings),
                                                             std::move(hooks), m_metrics);
    m_thread = std::thread([this] { flush_loop(); });
    transport::log_info("record_on",
                        {{"chain", m_chain},
                         {"key_id", published.id},
                         {"public_key", state::to_hex(published.key.data(), published.key.size())},
                         {"valid_from", protocol::to_utc_text(published.valid_from)},
                         {"valid_until", protocol::to_utc_text(published.valid_until)}});
    return {};
}

void record_part::flush_loop() {
    bool failing = false;
    while (!m_stopping.load()) {
        (void)m_writer->wait(m_settings.record.flush_interval);
        const auto flushed = state::collect([&] { return m_writer->flush(read_wall_clock()); });
        if (flushed.has_value() == failing) { // the writer began to fail or recovered
            failing = !failing;
            if (failing) {
                transport::log_warning("record_flush_failing",
                                       {{"reason", flushed.error().message()}});
            } else {
                transport::log_info("record_flush_works");
            }
        }
    }
}

void record_part::stop() {
    if (m_thread.joinable()) {
        m_stopping = true;
        m_writer->interrupt();
        m_thread.join();
    }
}

void record_part::close() {
    if (m_writer == nullptr) {
        return;
    }
    stop();
    const auto give_up_at = std::chrono::steady_clock::now() + close_limit;
    while (true) {
        const auto closed = state::collect([&] { return m_writer->close(read_wall_clock()); });
        if (closed) {
            transport::log_info("record_closed", {{"chain", m_chain}});
            return;
        }
        if (std::chrono::steady_clock::now() >= give_up_at) {
            transport::log_warning("record_not_closed",
                                   {{"lost_bytes", std::to_string(m_writer->queued_bytes())},
                                    {"reason", closed.error().message()}});
            return;
        }
        std::this_thread::sleep_for(close_retry_interval);
    }
}

void record_part::append(state::record_entry entry, bool urgent) {
    if (m_writer == nullptr) {
        return;
    }
    // An entry with an `on_durable` hook makes the writer flush immediately.
    const coordination::durable_hook flush_now = urgent ? [] {} : coordination::durable_hook{};
    // The failure is ignored because the recorded action already happened and can
    // no longer be refused. The writer counts the lost entry in
    // `record_entries_refused_total`.
    (void)state::collect(
        [&] { return m_writer->append(std::move(entry), read_wall_clock(), flush_now); });
}

state::result<void> record_part::call_accepted(const coordination::call& call) {
    if (m_writer == nullptr) {
        return {};
    }
    auto entry = make_call_entry(record_kind::request_accepted, call);
    entry.action = "accepted";
    entry.result = "ok";
    return m_writer->append(std::move(entry), read_wall_clock());
}

void record_part::call_ended(const coordination::call& call, state::execution_outcome outcome) {
    auto entry = make_call_entry(record_kind::request_ended, call);
    entry.action = "ended";
    entry.outcome = outcome;
    entry.result = std::string(state::to_name(outcome));
    append(std::move(entry), false);
}

void record_part::operator_changed(const transport::operator_change& change) {
    state::record_entry entry;
    entry.kind = record_kind::operator_change;
    entry.actor = change.operator_name;
    entry.action = change.action;
    entry.subject = change.subject;
    entry.from_revision = change.from_revision;
    entry.to_revision = change.to_revision;
    entry.result =
        change.failure ? std::string(state::properties_of(change.failure->kind).name) : "ok";
    append(std::move(entry), true);
}

void record_part::append_booking(const coordination::call& call, std::string_view booking_state,
                                 const std::string& result) {
    auto entry = make_call_entry(record_kind::booking, call);
    entry.action = booking_state;
    entry.subject = call.idempotency_key;
    entry.result = result;
    append(std::move(entry), true);
}

transport::booking_hooks record_part::record_bookings(transport::booking_hooks inner) {
    using begin_attempt = state::attempt<std::optional<transport::stored_answer>>;
    using finish_attempt = state::attempt<state::done>;
    const auto result_of = [](const auto& attempt) {
        return attempt ? std::string("ok")
                       : std::string(state::properties_of(attempt.error().kind).name);
    };
    transport::booking_hooks hooks;
    hooks.begin = [this, result_of, begin = std::move(inner.begin)](
                      const coordination::call& call, state::time_point now,
                      std::function<void(begin_attempt)> completion) {
        // The call is copied because the completion may run after the caller's
        // reference has become invalid.
        begin(call, now,
              [this, result_of, call_copy = call,
               completion = std::move(completion)](begin_attempt attempt) {
                  const bool repeated = attempt && attempt.value().has_value();
                  append_booking(call_copy, repeated ? "repeated" : "intent", result_of(attempt));
                  completion(std::move(attempt));
              });
    };
    hooks.finish = [this, result_of, finish = std::move(inner.finish)](
                       const coordination::call& call, transport::booking_end end,
                       const transport::stored_answer& answer, state::time_point now,
                       std::function<void(finish_attempt)> completion) {
        const std::string_view name = end == transport::booking_end::ran       ? "ran"
                                      : end == transport::booking_end::not_run ? "not_run"
                                                                               : "unknown";
        finish(call, end, answer, now,
               [this, result_of, name, call_copy = call,
                completion = std::move(completion)](finish_attempt attempt) {
                   append_booking(call_copy, name, result_of(attempt));
                   completion(std::move(attempt));
               });
    };
    return hooks;
}

} // namespace savoryrelay::daemon
