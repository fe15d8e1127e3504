#include "coordination/retry_budget.h"

namespace hornbeamhook::coordination {

namespace {

constexpr std::uint64_t base_retries = 10;
constexpr std::uint64_t requests_per_retry = 10;

std::int64_t get_second(state::time_point now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}  // namespace

retry_budget::bucket& retry_budget::get_bucket(state::time_point now) {
    const std::int64_t second = get_second(now);
    bucket& entry = buckets_[static_cast<std::uint64_t>(second) % window_seconds];
    if (entry.second != second) {
        entry = bucket{second, 0, 0};
    }
    return entry;
}

void retry_budget::count_request(state::time_point now) {
    ++get_bucket(now).requests;
}

bool retry_budget::try_take(state::time_point now) {
    bucket& current = get_bucket(now);
    const std::int64_t oldest = get_second(now) - static_cast<std::int64_t>(window_seconds);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bucket& entry : buckets_) {
        if (entry.second > oldest) {
            requests += entry.requests;
            retries += entry.retries;
        }
    }
    if (retries >= base_retries + requests / requests_per_retry) {
        return false;
    }
    ++current.retries;
    return true;
}

}  // namespace hornbeamhook::coordination
