#include "proxy/target_lane.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::proxy {

using coordination::admission_entry;
using coordination::admission_verdict;

target_lane::target_lane(std::size_t queue_length, int slots, int quota)
    : queue_(queue_length), limit_(slots, quota) {}

coordination::service_rate target_lane::get_rate() const {
    return {limit_.get_service_time(), limit_.get_limit()};
}

void target_lane::offer(admission_entry entry, start_function start, refuse_function refuse,
                        state::time_point now) {
    admission_verdict verdict = admission_verdict::queued;
    {
        const std::scoped_lock lock(mutex_);
        entry.id = next_id_++;
        const std::uint64_t id = entry.id;
        verdict = queue_.offer(std::move(entry), get_rate(), now);
        if (verdict == admission_verdict::queued) {
            waiting_.emplace(id, waiting_request{std::move(start), std::move(refuse)});
            return;
        }
    }
    refuse(verdict == admission_verdict::full ? lane_refusal::full : lane_refusal::too_late);
}

bool target_lane::would_refuse(bool is_write, state::time_point deadline, state::time_point now) {
    const std::scoped_lock lock(mutex_);
    return queue_.judge(is_write, deadline, get_rate(), now) != admission_verdict::queued;
}

std::vector<target_lane::start_function> target_lane::take(state::time_point now) {
    std::vector<start_function> started;
    std::vector<admission_entry> expired;
    {
        const std::scoped_lock lock(mutex_);
        while (in_flight_ < limit_.get_limit()) {
            const std::optional<admission_entry> entry = queue_.take(get_rate(), now, expired);
            if (!entry) {
                break;
            }
            const auto it = waiting_.find(entry->id);
            started.push_back(std::move(it->second.start));
            waiting_.erase(it);
            ++in_flight_;
        }
    }
    refuse_all(expired, lane_refusal::expired);
    return started;
}

void target_lane::finish(std::optional<std::chrono::microseconds> latency, state::time_point now) {
    const std::scoped_lock lock(mutex_);
    if (latency) {
        limit_.on_success(*latency, in_flight_, now);
    } else {
        limit_.on_failure(now);
    }
    --in_flight_;
}

void target_lane::enter() {
    const std::scoped_lock lock(mutex_);
    ++in_flight_;
}

void target_lane::leave() {
    const std::scoped_lock lock(mutex_);
    --in_flight_;
}

void target_lane::expire(state::time_point now) {
    std::vector<admission_entry> expired;
    {
        const std::scoped_lock lock(mutex_);
        expired = queue_.expire(now);
    }
    refuse_all(expired, lane_refusal::expired);
}

void target_lane::refuse_all(const std::vector<admission_entry>& entries, lane_refusal reason) {
    std::vector<refuse_function> refused;
    {
        const std::scoped_lock lock(mutex_);
        for (const admission_entry& entry : entries) {
            const auto it = waiting_.find(entry.id);
            refused.push_back(std::move(it->second.refuse));
            waiting_.erase(it);
        }
    }
    for (const refuse_function& refuse : refused) {
        refuse(reason);
    }
}

void target_lane::update(std::size_t queue_length, int quota) {
    const std::scoped_lock lock(mutex_);
    queue_.set_length(queue_length);
    limit_.set_quota(quota);
}

std::size_t target_lane::get_queued(bool is_write) {
    const std::scoped_lock lock(mutex_);
    return queue_.get_size(is_write);
}

int target_lane::get_limit() {
    const std::scoped_lock lock(mutex_);
    return limit_.get_limit();
}

int target_lane::get_in_flight() {
    const std::scoped_lock lock(mutex_);
    return in_flight_;
}

}  // namespace hornbeamhook::proxy
