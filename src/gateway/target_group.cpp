#include "gateway/target_group.h"

#include <algorithm>
#include <utility>

#include "gateway/group_queue.h"

namespace hornbeamhook::gateway {

namespace {

/// Reads avoid a target for this long after it failed.
constexpr std::int64_t failure_backoff_ms = 500;
/// A lagging replica catches up in about this time.
constexpr std::int64_t initial_lag_backoff_ms = 60;
/// A replica that receives nothing lags for seconds; each try costs a read a round trip and one of
/// its attempts.
constexpr std::int64_t max_lag_backoff_ms = 480;
constexpr double answer_time_weight = 0.1;  ///< Weight of a new sample in the moving mean.

}  // namespace

coordination::primary_contact target_state::get_contact() const {
    coordination::primary_contact contact;
    contact.is_listed = removed_at == 0;
    contact.last_answer_at = last_answer_at;
    contact.refused_since = refused_since;
    for (const auto& link : links) {
        // Prefer the oldest request sent after the last answer, else any earlier one.
        const std::int64_t waiting = link->get_oldest_sent_at();
        const bool is_newer = waiting > contact.last_answer_at;
        const bool is_known_newer = contact.waiting_since > contact.last_answer_at;
        const bool is_better = contact.waiting_since == 0 || (is_newer && !is_known_newer) ||
                               (is_newer && waiting < contact.waiting_since);
        if (waiting != 0 && is_better) {
            contact.waiting_since = waiting;
        }
    }
    return contact;
}

int target_state::count_busy_links() const {
    return static_cast<int>(
        std::count_if(links.begin(), links.end(), [](const std::shared_ptr<target_link>& link) {
            return !link->is_idle() && !link->is_ended();
        }));
}

int target_state::count_in_flight() const {
    return static_cast<int>(std::count_if(links.begin(), links.end(), [](const auto& link) {
        return link->is_open() && !link->is_relayed() && !link->is_idle();
    }));
}

bool target_state::may_send(std::int64_t now) const {
    return !pace || pace->may_send(count_in_flight(), now);
}

void target_state::pace_start(bool is_restarted) {
    if (pace && !is_restarted) {
        return;
    }
    pace.emplace(entry.slots);
    if (is_restarted) {
        pace->restart();
    }
}

void target_state::pace_link_end(bool is_limited) {
    const bool has_open_link = std::any_of(links.begin(), links.end(), [](const auto& link) {
        return link->is_open() && !link->is_relayed();
    });
    if (pace && !is_limited && !has_open_link) {
        pace->restart();
    }
}

void target_state::note_answer(const target_link& link, const target_answer& answer,
                               std::int64_t now) {
    if (answer.was_sent && !answer.is_lost) {
        note_answer_time(now - answer.sent_at, now);
    }
    pace_answer(link, answer, now);
}

void target_state::note_outcome(const target_answer& answer, std::int64_t now) {
    if (answer.failure) {
        note_failure(*answer.failure, now);
    } else if (!answer.is_lost) {
        lag_backoff_ms = 0;
    }
}

void target_state::note_answer_time(std::int64_t elapsed_ms, std::int64_t now) {
    const auto elapsed = static_cast<double>(elapsed_ms);
    const bool is_known = mean_answer_ms > 0 && now - last_answer_at <= answer_time_expiry_ms;
    mean_answer_ms =
        is_known ? mean_answer_ms + (elapsed - mean_answer_ms) * answer_time_weight : elapsed;
}

void target_state::note_failure(const target_failure& failure, std::int64_t now) {
    if (failure.code == failure_code::lagging) {
        // Later answers to statements sent before the back-off must not double it again.
        if (now >= lagging_until) {
            lag_backoff_ms =
                std::clamp(2 * lag_backoff_ms, initial_lag_backoff_ms, max_lag_backoff_ms);
        }
        lagging_until = now + lag_backoff_ms;
    } else if (failure.code == failure_code::read_only) {
        read_only_at = now;
    } else if (failure.code == failure_code::failed || failure.code == failure_code::timeout) {
        avoided_until = now + failure_backoff_ms;
    }
}

void target_state::pace_answer(const target_link& link, const target_answer& answer,
                               std::int64_t now) {
    if (!pace || link.is_relayed() || !answer.was_sent) {
        return;
    }
    if (answer.is_lost || (answer.failure && answer.failure->code == failure_code::busy)) {
        pace->on_failure(now);
    } else if (!answer.failure) {
        const int others = count_in_flight() - (link.is_idle() ? 0 : 1);
        pace->on_answer(now - answer.sent_at, others + 1, now);
    }
}

void target_group::pace_promotion() {
    const auto& record = lease.get_record();
    if (!record || record->term == paced_term) {
        return;
    }
    target_state* primary = find_primary();
    // The first record that this VM learns says nothing about when the target was promoted.
    if (paced_term != 0 && primary != nullptr && primary->pace) {
        primary->pace->restart();
    }
    paced_term = record->term;
}

const target_state* target_group::find_primary() const {
    const auto& record = lease.get_record();
    const auto entry = record ? targets.find(record->target) : targets.end();
    return entry == targets.end() ? nullptr : &entry->second;
}

target_state* target_group::find_primary() {
    return const_cast<target_state*>(std::as_const(*this).find_primary());
}

const target_state* target_group::find_listed_primary() const {
    const auto entry = std::find_if(targets.begin(), targets.end(), [](const auto& each) {
        return each.second.removed_at == 0 && each.second.entry.is_primary;
    });
    return entry == targets.end() ? nullptr : &entry->second;
}

const target_state* target_group::find_watched_primary() const {
    const target_state* listed = find_listed_primary();
    if (lease.get_record() || listed != nullptr) {
        return lease.get_record() ? find_primary() : listed;
    }
    const auto entry = std::find_if(targets.begin(), targets.end(),
                                    [](const auto& each) { return each.second.entry.is_primary; });
    return entry == targets.end() ? nullptr : &entry->second;
}

target_state* target_group::find_watched_primary() {
    return const_cast<target_state*>(std::as_const(*this).find_watched_primary());
}

}  // namespace hornbeamhook::gateway
