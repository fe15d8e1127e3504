#include "gateway/group_queue.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/fair_order.h"
#include "coordination/queue_wait.h"
#include "gateway/statement_time_limits.h"

namespace hornbeamhook::gateway {

namespace {

bool is_before(const pending_statement_ptr& a, const pending_statement_ptr& b) {
    return a->is_before(*b);
}

/** Whether the target may run the statement as far as its role is concerned. */
bool is_eligible(const target_group& group, const target_state& target,
                 const pending_statement& pending, std::int64_t now) {
    const auto& record = group.lease.get_record();
    const std::string& id = target.entry.id;
    return pending.is_relayed()    ? id == *pending.target
           : pending.needs_primary ? record && id == record->target
                                   : target.is_usable() && now >= target.lagging_until;
}

/** Shortest usual answer time of the targets that may run the statement; -1 if none is known. */
double get_answer_ms(const target_group& group, const pending_statement& pending,
                     std::int64_t now) {
    double result = -1;
    for (const auto& [id, target] : group.targets) {
        const bool is_known = now - target.last_answer_at < answer_time_expiry_ms;
        if (is_known && is_eligible(group, target, pending, now) &&
            (result < 0 || target.mean_answer_ms < result)) {
            result = target.mean_answer_ms;
        }
    }
    return result;
}

/** Connections of this VM to the target that any session may use. */
int count_shared_links(const target_state& target) {
    return static_cast<int>(
        std::count_if(target.links.begin(), target.links.end(), [](const auto& link) {
            return link->is_open() && !link->is_relayed() && !link->is_pinned();
        }));
}

/** Whether both statements wait for the same single target, or one of them for any. */
bool is_competing(const pending_statement& a, const pending_statement& b) {
    if (a.is_relayed() && b.is_relayed()) {
        return *a.target == *b.target;
    }
    return a.needs_primary == b.needs_primary || a.is_relayed() || b.is_relayed();
}

/** Statements that the targets which may run this one answer per ms; empty if one of them has no
 * connection here or no known answer time, so that it may have room. */
std::optional<double> get_answer_rate(const target_group& group, const pending_statement& pending,
                                      std::int64_t now) {
    double result = 0;
    for (const auto& [id, target] : group.targets) {
        if (!is_eligible(group, target, pending, now)) {
            continue;
        }
        const int shared = count_shared_links(target);
        const int links = target.pace ? std::min(shared, target.pace->get_limit()) : shared;
        const bool is_known =
            now - target.last_answer_at < answer_time_expiry_ms && target.mean_answer_ms > 0;
        if (links == 0 || !is_known) {
            return std::nullopt;
        }
        result += links / target.mean_answer_ms;
    }
    return result > 0 ? std::optional(result) : std::nullopt;
}

}  // namespace

std::int64_t get_wait_limit(const target_group& group, const pending_statement& pending,
                            std::int64_t now) {
    const double answer_ms = get_answer_ms(group, pending, now);
    if (pending.is_relayed()) {
        return std::max(min_relayed_wait_ms,
                        coordination::get_max_wait_ms(pending.wait_ms, answer_ms));
    }
    return coordination::get_max_wait_ms(get_objective(pending), answer_ms);
}

bool is_every_link_held(const target_group& group, const pending_statement& pending) {
    if (!pending.is_relayed() || pending.organisation.empty()) {
        return false;
    }
    const auto target = group.targets.find(*pending.target);
    if (target == group.targets.end()) {
        return false;
    }
    int held = 0;
    for (const std::shared_ptr<target_link>& link : target->second.links) {
        if (link->is_ended() || link->is_relayed()) {
            continue;
        }
        if (!link->is_pinned()) {
            return false;
        }
        ++held;
    }
    return held > 0 && held >= target->second.plan.quota;
}

bool is_expected_wait_too_long(const target_group& group, const pending_statement& pending,
                               std::int64_t now) {
    const auto& record = group.lease.get_record();
    // A read may find a slot at any of several targets, so its wait cannot be estimated.
    if (!pending.needs_primary || !record || pending.is_waiting_for_grant) {
        return false;
    }
    const std::string& id = pending.is_relayed() ? *pending.target : record->target;
    const auto target = group.targets.find(id);
    if (target == group.targets.end()) {
        return false;
    }
    const auto ahead = std::count_if(
        group.queue.begin(), group.queue.end(), [&](const pending_statement_ptr& other) {
            return other->is_before(pending) && !other->is_waiting_for_grant &&
                   (other->is_relayed() ? *other->target == id : other->needs_primary);
        });
    return now - pending.arrived_at +
               coordination::get_expected_wait_ms(static_cast<int>(ahead),
                                                  count_shared_links(target->second),
                                                  target->second.mean_answer_ms) >
           get_wait_limit(group, pending, now);
}

void enqueue(target_group& group, const pending_statement_ptr& pending) {
    group.queue.insert(std::upper_bound(group.queue.begin(), group.queue.end(), pending, is_before),
                       pending);
}

void arrange(target_group& group) {
    std::stable_sort(group.queue.begin(), group.queue.end(), is_before);
}

void arrange_fairly(target_group& group, const organisation_table& organisations,
                    std::int64_t now) {
    if (group.queue.size() < 2) {
        return;
    }
    std::vector<coordination::waiting_statement> waiting;
    waiting.reserve(group.queue.size());
    for (const pending_statement_ptr& pending : group.queue) {
        const organisation* found = organisations.find(pending->organisation);
        waiting.push_back(
            {.priority = pending->target_route.priority,
             .organisation = pending->organisation,
             .organisation_priority = found == nullptr ? 0 : found->priority,
             .arrived_at = pending->arrived_at,
             .objective_ms = pending->is_relayed() ? pending->wait_ms : get_objective(*pending),
             .answer_ms =
                 static_cast<std::int64_t>(std::max(get_answer_ms(group, *pending, now), 0.0))});
    }
    std::vector<pending_statement_ptr> arranged;
    arranged.reserve(group.queue.size());
    for (const std::size_t index : group.turns.arrange(waiting, now)) {
        arranged.push_back(std::move(group.queue[index]));
    }
    group.queue = std::move(arranged);
}

bool enqueue_fairly(target_group& group, const pending_statement_ptr& pending,
                    const organisation_table& organisations, std::int64_t now) {
    group.queue.push_back(pending);
    arrange_fairly(group, organisations, now);
    const std::optional<double> rate = get_answer_rate(group, *pending, now);
    if (!rate || pending->is_waiting_for_grant) {
        return true;
    }
    const auto position = std::find(group.queue.begin(), group.queue.end(), pending);
    const auto ahead =
        std::count_if(group.queue.begin(), position, [&](const pending_statement_ptr& other) {
            return !other->is_waiting_for_grant && is_competing(*other, *pending);
        });
    const auto wait_ms = static_cast<std::int64_t>(static_cast<double>(ahead + 1) / *rate);
    if (now - pending->arrived_at + wait_ms <= get_wait_limit(group, *pending, now)) {
        return true;
    }
    group.queue.erase(position);
    return false;
}

}  // namespace hornbeamhook::gateway
