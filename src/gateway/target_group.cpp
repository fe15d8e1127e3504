#include "gateway/target_group.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::gateway {

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

}  // namespace hornbeamhook::gateway
