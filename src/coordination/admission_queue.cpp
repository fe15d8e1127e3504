#include "coordination/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/**
 * Time until a request with `position` others before it starts, if every request takes the mean
 * time from now on.
 */
std::chrono::microseconds estimate_wait(std::size_t position, const service_rate& rate) {
    const std::int64_t concurrency = std::max(1, rate.concurrency);
    const std::int64_t free = std::max<std::int64_t>(0, concurrency - rate.in_use);
    const std::int64_t completions = static_cast<std::int64_t>(position) + 1 - free;
    return completions <= 0 ? std::chrono::microseconds(0)
                            : rate.service_time * ((completions + concurrency - 1) / concurrency);
}

bool can_meet_deadline(const admission_entry& entry, std::size_t position, const service_rate& rate,
                       state::time_point now) {
    // With none in flight the first request starts at once and corrects the estimate.
    const bool is_first = position == 0 && rate.in_use == 0;
    return is_first ? now < entry.deadline
                    : now + estimate_wait(position, rate) + rate.needed_time <= entry.deadline;
}

}  // namespace

/**
 * Number of requests that are served before a new one of `caller`. If `caller` has k waiting
 * requests, these are served first, besides at most k + 1 of each caller before it in the order and
 * at most k of each caller after it.
 */
std::size_t admission_queue::get_position(const kind_queue& queue, const std::string& caller) {
    const auto found = queue.callers.find(caller);
    const std::size_t rounds = found == queue.callers.end() ? 0 : found->second.size();
    std::size_t position = rounds;
    std::size_t turns = rounds + 1;
    for (const std::string& other : queue.order) {
        if (other == caller) {
            turns = rounds;
            continue;
        }
        position += std::min(queue.callers.at(other).size(), turns);
    }
    return position;
}

std::vector<admission_entry> admission_queue::find_displaced(const kind_queue& queue,
                                                             const service_rate& rate,
                                                             state::time_point now) {
    std::vector<admission_entry> displaced;
    std::size_t position = 0;
    for (std::size_t round = 0, found = 1; found > 0; ++round) {
        found = 0;
        for (const std::string& caller : queue.order) {
            const std::deque<admission_entry>& waiting = queue.callers.at(caller);
            if (round >= waiting.size()) {
                continue;
            }
            ++found;
            if (can_meet_deadline(waiting[round], position, rate, now)) {
                ++position;
            } else {
                displaced.push_back(waiting[round]);
            }
        }
    }
    return displaced;
}

std::optional<admission_entry> admission_queue::find_evictable(const kind_queue& queue,
                                                               const std::string& caller) {
    const auto found = queue.callers.find(caller);
    const std::size_t own_waiting = found == queue.callers.end() ? 1 : found->second.size() + 1;
    const auto most = std::ranges::max_element(queue.callers, {},
                                               [](const auto& each) { return each.second.size(); });
    if (most == queue.callers.end() || most->second.size() <= own_waiting) {
        return std::nullopt;
    }
    return most->second.back();
}

void admission_queue::remove(kind_queue& queue, const admission_entry& entry) {
    const auto it = queue.callers.find(entry.caller);
    queue.size -= std::erase(it->second, entry);
    if (it->second.empty()) {
        queue.order.remove(entry.caller);
        queue.callers.erase(it);
    }
}

admission_decision admission_queue::evaluate(const admission_entry& entry, const service_rate& rate,
                                             state::time_point now) const {
    const kind_queue& queue = get_queue(entry.kind);
    if (queue.size >= length_ && !find_evictable(queue, entry.caller)) {
        return admission_decision::full;
    }
    return can_meet_deadline(entry, get_position(queue, entry.caller), rate, now)
               ? admission_decision::queued
               : admission_decision::too_late;
}

admission_result admission_queue::enqueue(admission_entry entry, const service_rate& rate,
                                          state::time_point now) {
    admission_result result{evaluate(entry, rate, now), {}};
    if (result.decision != admission_decision::queued) {
        return result;
    }
    kind_queue& queue = get_queue(entry.kind);
    // Requests that are already too late are removed first: they must not count as delayed by the
    // new one in the fairness check below.
    result.displaced =
        queue.order.empty() ? std::vector<admission_entry>() : find_displaced(queue, rate, now);
    for (const admission_entry& each : result.displaced) {
        remove(queue, each);
    }
    if (queue.size >= length_) {
        const std::optional<admission_entry> evictable = find_evictable(queue, entry.caller);
        if (!evictable) {
            result.decision = admission_decision::full;
            return result;
        }
        remove(queue, *evictable);
        result.displaced.push_back(*evictable);
    }
    const admission_entry added = entry;
    std::deque<admission_entry>& waiting = queue.callers[entry.caller];
    if (waiting.empty()) {
        queue.order.push_back(entry.caller);
    }
    waiting.push_back(std::move(entry));
    ++queue.size;
    const std::size_t own_waiting = waiting.size();
    if (queue.order.size() == 1) {
        return result;  // It is last in the queue, so it delays no other request.
    }
    const std::vector<admission_entry> displaced = find_displaced(queue, rate, now);
    const bool is_fair = std::ranges::all_of(displaced, [&](const admission_entry& each) {
        return queue.callers.at(each.caller).size() > own_waiting;
    });
    if (!is_fair) {
        remove(queue, added);
        result.decision = admission_decision::too_late;
        return result;
    }
    for (const admission_entry& each : displaced) {
        remove(queue, each);
        result.displaced.push_back(each);
    }
    return result;
}

std::optional<admission_entry> admission_queue::pop(kind_queue& queue) {
    if (queue.order.empty()) {
        return std::nullopt;
    }
    const std::string caller = queue.order.front();
    queue.order.pop_front();
    const auto it = queue.callers.find(caller);
    admission_entry entry = std::move(it->second.front());
    it->second.pop_front();
    --queue.size;
    if (it->second.empty()) {
        queue.callers.erase(it);
    } else {
        queue.order.push_back(caller);
    }
    return entry;
}

std::optional<admission_entry> admission_queue::dequeue(request_kind kind, const service_rate& rate,
                                                        state::time_point now,
                                                        std::vector<admission_entry>& expired) {
    const std::chrono::microseconds needed =
        rate.in_use == 0 ? std::chrono::microseconds(0) : rate.needed_time;
    while (std::optional<admission_entry> entry = pop(get_queue(kind))) {
        if (now < entry->deadline && now + needed <= entry->deadline) {
            return entry;
        }
        // Running it would use the target for an answer that comes too late.
        expired.push_back(std::move(*entry));
    }
    return std::nullopt;
}

std::vector<admission_entry> admission_queue::expire(request_kind kind, const service_rate& rate,
                                                     state::time_point now) {
    kind_queue& queue = get_queue(kind);
    const std::chrono::microseconds needed =
        rate.in_use == 0 ? std::chrono::microseconds(0) : rate.needed_time;
    std::vector<admission_entry> expired;
    for (const auto& [caller, waiting] : queue.callers) {
        std::ranges::copy_if(waiting, std::back_inserter(expired),
                             [&](const admission_entry& each) {
                                 return each.deadline <= now || each.deadline < now + needed;
                             });
    }
    for (const admission_entry& each : expired) {
        remove(queue, each);
    }
    return expired;
}

std::vector<admission_entry> admission_queue::clear(request_kind kind) {
    std::vector<admission_entry> removed;
    while (std::optional<admission_entry> entry = pop(get_queue(kind))) {
        removed.push_back(std::move(*entry));
    }
    return removed;
}

}  // namespace hornbeamhook::coordination
