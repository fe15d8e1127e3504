#include "coordination/concurrency_limit.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

using std::chrono::microseconds;

constexpr double decrease_factor = 0.8;
// Smoothed latency above this multiple of the base latency means that statements queue inside the
// target. Two homes that together use twice the slots see a factor of two.
constexpr double max_latency_ratio = 2.5;
// Lower values are mostly scheduling and network noise.
constexpr microseconds min_base_latency{2000};
// The base latency is measured again after this time, so that it follows changes of the workload.
constexpr std::chrono::seconds base_latency_window{30};
// At most one decrease per burst: exchanges that started before it still report the old latency.
constexpr std::chrono::milliseconds min_decrease_interval{100};
constexpr int smoothing = 16;

}  // namespace

concurrency_limit::concurrency_limit(int slots, int quota)
    : limit_(std::clamp(slots, 1, std::max(1, quota))),
      latency_min_limit_(std::max(1, (slots + 1) / 2)),
      quota_(std::max(1, quota)) {}

int concurrency_limit::get_limit() const {
    return std::clamp(static_cast<int>(limit_), 1, quota_);
}

void concurrency_limit::set_quota(int quota) {
    quota_ = std::max(1, quota);
    limit_ = std::min(limit_, static_cast<double>(quota_));
}

void concurrency_limit::restart() {
    limit_ = 1;
    base_latency_ = microseconds(0);
}

void concurrency_limit::on_success(microseconds latency, int in_flight, state::time_point now) {
    smoothed_latency_ = base_latency_.count() == 0
                            ? latency
                            : smoothed_latency_ + (latency - smoothed_latency_) / smoothing;
    if (base_latency_.count() == 0 || smoothed_latency_ < base_latency_ ||
        now - base_latency_since_ > base_latency_window) {
        base_latency_ = std::max(smoothed_latency_, microseconds(1));
        base_latency_since_ = now;
    }
    const double bound =
        static_cast<double>(std::max(base_latency_, min_base_latency).count()) * max_latency_ratio;
    if (static_cast<double>(smoothed_latency_.count()) > bound) {
        decrease(latency_min_limit_, now);
    } else if (in_flight >= get_limit()) {
        limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(quota_));
    }
}

void concurrency_limit::on_failure(state::time_point now) {
    decrease(1.0, now);
}

void concurrency_limit::decrease(double min_limit, state::time_point now) {
    if (now - last_decrease_ < min_decrease_interval) {
        return;
    }
    last_decrease_ = now;
    // A limit that is already below `min_limit` is not raised to it.
    limit_ = std::max(std::min(limit_, min_limit), limit_ * decrease_factor);
}

}  // namespace hornbeamhook::coordination
