#include "coordination/write_concurrency.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

constexpr int initial_limit = 2;
// Lower limits are not compared: one write runs while one is ready at the target.
constexpr int min_compared_limit = 2;
// Writes of one workload differ in length; the mean of fewer is mostly noise.
constexpr int samples_per_step = 32;
// Delay after a step without gain; a step that was undone by noise is repeated this soon.
constexpr int raise_delay_samples = 128;
// A step from n to n+1 gains 1/n at a target that runs all of them in parallel; noise gains less
// than this share of it.
constexpr double min_gain_share = 0.5;

}  // namespace

write_concurrency::write_concurrency(int quota) : limit_(initial_limit) {
    set_quota(quota);
}

int write_concurrency::get_limit() const {
    return std::clamp(limit_, 1, quota_);
}

void write_concurrency::set_quota(int quota) {
    quota_ = std::clamp(quota, 1, static_cast<int>(max_tracked));
}

const service_estimate& write_concurrency::get_estimate(int in_flight) const {
    return estimates_.at(static_cast<std::size_t>(in_flight - 1));
}

bool write_concurrency::has_throughput_gain() const {
    const int limit = get_limit();
    const service_estimate& now = get_estimate(limit);
    const service_estimate& before = get_estimate(limit - 1);
    if (!before.is_known()) {
        return false;
    }
    const double throughput =
        limit / static_cast<double>(std::max<std::int64_t>(1, now.get_mean().count()));
    const double throughput_before =
        (limit - 1) / static_cast<double>(std::max<std::int64_t>(1, before.get_mean().count()));
    return throughput >= throughput_before * (1 + min_gain_share / (limit - 1));
}

void write_concurrency::on_success(std::chrono::microseconds duration, int in_flight) {
    const auto index =
        static_cast<std::size_t>(std::clamp(in_flight, 1, static_cast<int>(max_tracked)) - 1);
    estimates_.at(index).add(duration);
    raise_delay_ = std::max(0, raise_delay_ - 1);
    if (in_flight < get_limit() || ++samples_ < samples_per_step) {
        return;
    }
    samples_ = 0;
    const int limit = get_limit();
    if (limit < min_compared_limit) {
        limit_ = limit + 1;
    } else if (!has_throughput_gain()) {
        if (limit > min_compared_limit) {
            limit_ = limit - 1;
            raise_delay_ = raise_delay_samples;
        }
    } else if (raise_delay_ == 0) {
        limit_ = std::min(limit + 1, quota_);
    }
}

void write_concurrency::on_failure() {
    limit_ = std::max(1, get_limit() / 2);
    samples_ = 0;
}

std::chrono::microseconds write_concurrency::get_service_time() const {
    const int limit = get_limit();
    for (int known = limit; known >= 1; --known) {
        if (get_estimate(known).is_known()) {
            return get_estimate(known).get_mean() * limit / known;
        }
    }
    return get_estimate(1).get_mean() * limit;
}

std::chrono::microseconds write_concurrency::get_needed_time() const {
    const int limit = get_limit();
    for (int known = limit; known >= 1; --known) {
        if (get_estimate(known).is_known()) {
            return get_estimate(known).get_needed_time() * limit / known;
        }
    }
    return 2 * get_estimate(1).get_mean();
}

}  // namespace hornbeamhook::coordination
