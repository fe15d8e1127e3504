#include "coordination/admission_queue.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

std::chrono::microseconds estimate_wait(std::size_t waiting, const service_rate& rate) {
    return rate.service_time * static_cast<std::int64_t>(waiting) / std::max(1, rate.concurrency);
}

/** The time a request needs once it starts. Service times vary; one that starts with just the mean
 * left often fails in the middle, and the target's work for it is wasted. */
std::chrono::microseconds get_needed_time(const service_rate& rate) {
    return 2 * rate.service_time;
}

}  // namespace

admission_verdict admission_queue::judge(bool is_write, state::time_point deadline,
                                         const service_rate& rate, state::time_point now) const {
    const lane& own = lanes_[is_write ? 1 : 0];
    if (own.size >= length_) {
        return admission_verdict::full;
    }
    // The kinds take turns, so at most as many requests of the other kind go first.
    const lane& other = lanes_[is_write ? 0 : 1];
    const std::size_t ahead = own.size + std::min(other.size, own.size + 1);
    if (now + estimate_wait(ahead, rate) + get_needed_time(rate) > deadline) {
        return admission_verdict::too_late;
    }
    return admission_verdict::queued;
}

admission_verdict admission_queue::offer(admission_entry entry, const service_rate& rate,
                                         state::time_point now) {
    const admission_verdict verdict = judge(entry.is_write, entry.deadline, rate, now);
    if (verdict != admission_verdict::queued) {
        return verdict;
    }
    lane& own = lanes_[entry.is_write ? 1 : 0];
    std::deque<admission_entry>& waiting = own.callers[entry.caller];
    if (waiting.empty()) {
        own.order.push_back(entry.caller);
    }
    waiting.push_back(std::move(entry));
    ++own.size;
    return admission_verdict::queued;
}

std::optional<admission_entry> admission_queue::pop(lane& from) {
    if (from.order.empty()) {
        return std::nullopt;
    }
    const std::string caller = from.order.front();
    from.order.pop_front();
    const auto it = from.callers.find(caller);
    admission_entry entry = std::move(it->second.front());
    it->second.pop_front();
    --from.size;
    if (it->second.empty()) {
        from.callers.erase(it);
    } else {
        from.order.push_back(caller);
    }
    return entry;
}

std::optional<admission_entry> admission_queue::take(const service_rate& rate,
                                                     state::time_point now,
                                                     std::vector<admission_entry>& expired) {
    while (lanes_[0].size + lanes_[1].size > 0) {
        std::size_t index = is_write_next_ ? 1 : 0;
        index = lanes_[index].size > 0 ? index : 1 - index;
        std::optional<admission_entry> entry = pop(lanes_[index]);
        if (now + get_needed_time(rate) > entry->deadline) {
            // Running it would spend a slot on an answer that comes too late.
            expired.push_back(std::move(*entry));
            continue;
        }
        is_write_next_ = index == 0;
        return entry;
    }
    return std::nullopt;
}

std::vector<admission_entry> admission_queue::expire(state::time_point now) {
    std::vector<admission_entry> expired;
    for (lane& each : lanes_) {
        for (auto it = each.callers.begin(); it != each.callers.end();) {
            std::deque<admission_entry> kept;
            for (admission_entry& entry : it->second) {
                (entry.deadline <= now ? static_cast<void>(expired.push_back(std::move(entry)))
                                       : static_cast<void>(kept.push_back(std::move(entry))));
            }
            each.size -= it->second.size() - kept.size();
            it->second = std::move(kept);
            if (it->second.empty()) {
                each.order.remove(it->first);
                it = each.callers.erase(it);
            } else {
                ++it;
            }
        }
    }
    return expired;
}

std::vector<admission_entry> admission_queue::clear() {
    std::vector<admission_entry> all;
    for (lane& each : lanes_) {
        while (std::optional<admission_entry> entry = pop(each)) {
            all.push_back(std::move(*entry));
        }
    }
    return all;
}

}  // namespace hornbeamhook::coordination
