// Compares the answers of the store to any host with the losses that hosts state.
#include "savoryrelay/coordination/exchange/store_outage_detector.h"

#include <algorithm>

namespace savoryrelay::coordination {
namespace {

using state::milliseconds;

milliseconds to_milliseconds(state::time_point::duration time) {
    return std::chrono::duration_cast<milliseconds>(time);
}

milliseconds age_of(const std::optional<state::time_point>& at, state::time_point now) {
    return at ? std::max(milliseconds(0), to_milliseconds(now - *at)) : state::max_duration;
}

} // namespace

std::optional<milliseconds> store_outage_detector::note_answer(state::time_point at,
                                                               contact_source source) {
    const std::scoped_lock lock(m_mutex);
    switch (source) {
    case contact_source::own:
        m_own_answer_at = std::max(m_own_answer_at.value_or(at), at);
        break;
    case contact_source::hub:
        m_hub_answer_at = std::max(m_hub_answer_at.value_or(at), at);
        break;
    case contact_source::relay:
        break;
    }
    m_answered_at = std::max(m_answered_at.value_or(at), at);
    if (!m_doubt_since || at < *m_doubt_since) {
        return std::nullopt;
    }
    const auto unanswered = to_milliseconds(at - *m_doubt_since);
    const bool is_outage = unanswered >= min_outage && is_doubt_alive(at);
    m_doubt_since.reset();
    if (!is_outage) {
        return std::nullopt;
    }
    m_grace_end = std::max(m_grace_end, at + return_grace);
    return unanswered;
}

void store_outage_detector::note_loss(state::time_point now, contact_source source) {
    const std::scoped_lock lock(m_mutex);
    if (source == contact_source::hub) {
        m_hub_loss_at = now;
    }
    if (!is_doubt_alive(now)) {
        m_doubt_since = now;
    }
    m_loss_at = now;
}

std::optional<milliseconds> store_outage_detector::apply(const state::peer_digest& digest,
                                                         state::time_point now) {
    if (digest.is_excerpt()) {
        return std::nullopt;
    }
    switch (digest.scope) {
    case state::digest_scope::hub:
        note_hub(now);
        if (digest.has_lost_store) {
            note_loss(now, contact_source::hub);
        }
        return note_answer(now - digest.store_answer_age, contact_source::hub);
    case state::digest_scope::fleet:
        if (digest.is_store_in_doubt) {
            note_loss(now, contact_source::relay);
        }
        return note_answer(now - std::min(digest.store_answer_age, digest.hub_answer_age),
                           contact_source::relay);
    case state::digest_scope::member:
    case state::digest_scope::probe:
    case state::digest_scope::introduction:
        break;
    }
    return std::nullopt;
}

void store_outage_detector::note_hub(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    m_hub_heard_at = now;
}

void store_outage_detector::describe(state::peer_digest& digest, state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    digest.store_answer_age = age_of(m_own_answer_at, now);
    digest.hub_answer_age = age_of(m_hub_answer_at, now);
    const auto is_recent = [&](const auto& at) { return at && now - *at < loss_duration; };
    digest.is_store_in_doubt =
        is_recent(m_hub_heard_at) && (digest.has_lost_store || is_recent(m_hub_loss_at));
}

void store_outage_detector::note_restore(state::time_point now) {
    const std::scoped_lock lock(m_mutex);
    m_grace_end = std::max(m_grace_end, now + return_grace);
}

milliseconds store_outage_detector::grace_left(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return std::max(milliseconds(0), to_milliseconds(m_grace_end - now));
}

bool store_outage_detector::needs_check(state::time_point now) const {
    const std::scoped_lock lock(m_mutex);
    return is_doubt_alive(now) && (!m_answered_at || now - *m_answered_at >= max_unanswered);
}

bool store_outage_detector::is_doubt_alive(state::time_point at) const {
    return m_doubt_since && at - m_loss_at < loss_duration;
}

} // namespace savoryrelay::coordination
