#include "proxy/target_lane.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace hornbeamhook::proxy {

using coordination::admission_decision;
using coordination::admission_entry;
using coordination::admission_result;
using coordination::request_kind;

target_lane::target_lane(std::size_t queue_length, int slots, int quota)
    : slots_(std::max(1, slots)),
      quota_(std::max(1, quota)),
      queue_(queue_length),
      read_limit_(slots, quota),
      write_limit_(quota) {}

int target_lane::get_all_in_use() const {
    return std::accumulate(in_use_.begin(), in_use_.end(), 0);
}

int target_lane::find_limit(request_kind kind) const {
    switch (kind) {
        case request_kind::read:
            // Reads beyond the slots mostly wait inside the target; they leave writes their places.
            return std::min(read_limit_.get_limit(),
                            std::max(slots_, quota_ - write_limit_.get_limit()));
        case request_kind::write:
            return write_limit_.get_limit();
        case request_kind::transaction:
            break;
    }
    // Open transactions are idle most of the time; half of the connections stay for other kinds.
    return std::clamp(slots_, 1, std::max(1, quota_ / 2));
}

coordination::service_rate target_lane::get_rate(request_kind kind) const {
    const int in_use = in_use_.at(static_cast<std::size_t>(kind));
    const int limit = find_limit(kind);
    switch (kind) {
        case request_kind::read:
            return {read_time_.get_mean(), read_time_.get_needed_time(), limit, in_use};
        case request_kind::write:
            return {write_limit_.get_service_time(), write_limit_.get_needed_time(), limit, in_use};
        case request_kind::transaction:
            break;
    }
    // The deadline of a begin ends with its answer, not with the transaction.
    return {transaction_time_.get_mean(), std::chrono::microseconds(0), limit, in_use};
}

void target_lane::offer(admission_entry entry, start_function start, refuse_function refuse,
                        state::time_point now) {
    admission_result result;
    std::vector<refuse_function> displaced;
    {
        const std::scoped_lock lock(mutex_);
        entry.id = next_id_++;
        const std::uint64_t id = entry.id;
        const request_kind kind = entry.kind;
        result = queue_.enqueue(std::move(entry), get_rate(kind), now);
        if (result.decision == admission_decision::queued) {
            waiting_.emplace(id, waiting_request{std::move(start), refuse});
        }
        displaced = remove(result.displaced);
    }
    if (result.decision != admission_decision::queued) {
        refuse(result.decision == admission_decision::full ? lane_refusal::full
                                                           : lane_refusal::too_late);
    }
    for (const refuse_function& each : displaced) {
        each(lane_refusal::too_late);
    }
}

bool target_lane::would_refuse(const admission_entry& entry, state::time_point now) {
    const std::scoped_lock lock(mutex_);
    return queue_.evaluate(entry, get_rate(entry.kind), now) != admission_decision::queued;
}

std::optional<admission_entry> target_lane::take_next(state::time_point now,
                                                      std::vector<admission_entry>& expired) {
    for (std::size_t i = 0; i < coordination::request_kind_count; ++i) {
        const std::size_t index = (next_kind_ + i) % coordination::request_kind_count;
        const auto kind = static_cast<request_kind>(index);
        if (get_in_use(kind) >= find_limit(kind)) {
            continue;
        }
        std::optional<admission_entry> entry = queue_.dequeue(kind, get_rate(kind), now, expired);
        if (entry) {
            next_kind_ = index + 1;
            return entry;
        }
    }
    return std::nullopt;
}

std::vector<std::function<void()>> target_lane::take(state::time_point now) {
    std::vector<std::function<void()>> started;
    std::vector<admission_entry> expired;
    std::vector<refuse_function> refused;
    {
        const std::scoped_lock lock(mutex_);
        while (get_all_in_use() < quota_) {
            const std::optional<admission_entry> entry = take_next(now, expired);
            if (!entry) {
                break;
            }
            const auto it = waiting_.find(entry->id);
            const lane_place place{entry->kind, ++get_in_use(entry->kind), now};
            started.push_back([start = std::move(it->second.start), place] { start(place); });
            waiting_.erase(it);
        }
        refused = remove(expired);
    }
    for (const refuse_function& refuse : refused) {
        refuse(lane_refusal::expired);
    }
    return started;
}

void target_lane::finish(const lane_place& place, bool is_answered, state::time_point now) {
    const auto held = std::chrono::duration_cast<std::chrono::microseconds>(now - place.taken_at);
    const std::scoped_lock lock(mutex_);
    int& in_use = get_in_use(place.kind);
    switch (place.kind) {
        case request_kind::read:
            if (is_answered) {
                read_time_.add(held);
                read_limit_.on_success(held, in_use, now);
            } else {
                read_limit_.on_failure(now);
            }
            break;
        case request_kind::write:
            if (is_answered) {
                write_limit_.on_success(held, place.number);
            } else {
                write_limit_.on_failure();
            }
            break;
        case request_kind::transaction:
            transaction_time_.add(held);
    }
    --in_use;
}

void target_lane::leave(const lane_place& place) {
    const std::scoped_lock lock(mutex_);
    --get_in_use(place.kind);
}

void target_lane::expire(state::time_point now) {
    std::vector<refuse_function> refused;
    {
        const std::scoped_lock lock(mutex_);
        for (const request_kind kind :
             {request_kind::read, request_kind::write, request_kind::transaction}) {
            for (refuse_function& each : remove(queue_.expire(kind, get_rate(kind), now))) {
                refused.push_back(std::move(each));
            }
        }
    }
    for (const refuse_function& refuse : refused) {
        refuse(lane_refusal::expired);
    }
}

void target_lane::refuse_unreachable() {
    std::vector<refuse_function> refused;
    {
        const std::scoped_lock lock(mutex_);
        for (const request_kind kind : {request_kind::write, request_kind::transaction}) {
            for (refuse_function& each : remove(queue_.clear(kind))) {
                refused.push_back(std::move(each));
            }
        }
    }
    for (const refuse_function& refuse : refused) {
        refuse(lane_refusal::unreachable);
    }
}

std::vector<target_lane::refuse_function> target_lane::remove(
    const std::vector<admission_entry>& entries) {
    std::vector<refuse_function> refused;
    for (const admission_entry& entry : entries) {
        const auto it = waiting_.find(entry.id);
        refused.push_back(std::move(it->second.refuse));
        waiting_.erase(it);
    }
    return refused;
}

void target_lane::update(std::size_t queue_length, int quota) {
    const std::scoped_lock lock(mutex_);
    quota_ = std::max(1, quota);
    queue_.set_length(queue_length);
    read_limit_.set_quota(quota);
    write_limit_.set_quota(quota);
}

std::size_t target_lane::get_queued(request_kind kind) {
    const std::scoped_lock lock(mutex_);
    return queue_.get_size(kind);
}

coordination::service_rate target_lane::get_service_rate(request_kind kind) {
    const std::scoped_lock lock(mutex_);
    return get_rate(kind);
}

int target_lane::get_limit(request_kind kind) {
    const std::scoped_lock lock(mutex_);
    return find_limit(kind);
}

int target_lane::get_in_flight() {
    const std::scoped_lock lock(mutex_);
    return get_all_in_use();
}

}  // namespace hornbeamhook::proxy
