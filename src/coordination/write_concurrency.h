#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "coordination/service_estimate.h"

namespace hornbeamhook::coordination {

/**
 * Limit of writes in flight at one target, found by measuring what the target runs in parallel: it
 * rises by one while that raises the throughput, and falls when it does not. It stays one above the
 * useful number, so that a target that runs one write at a time already has the next one while the
 * answer to the first is in transit. The throughput with n writes in flight is n divided by their
 * mean service time. Not thread safe.
 */
class write_concurrency {
public:
    /** Starts at two writes; the limit never exceeds `quota` or 16. */
    explicit write_concurrency(int quota);

    /** Writes that may be in flight; at least 1. */
    int get_limit() const;

    /** Changes the upper bound. */
    void set_quota(int quota);

    /** Records a write that took `duration` and began as the `in_flight`-th, counted from 1. */
    void on_success(std::chrono::microseconds duration, int in_flight);

    /** Records a write whose exchange was lost: the limit is halved. */
    void on_failure();

    /**
     * Mean time of a write with get_limit() writes in flight. Before such a write was measured, the
     * target is assumed to run one write at a time.
     */
    std::chrono::microseconds get_service_time() const;

    /** Time to reserve for one write that starts with get_limit() writes in flight. */
    std::chrono::microseconds get_needed_time() const;

private:
    static constexpr std::size_t max_tracked = 16;

    bool has_throughput_gain() const;
    const service_estimate& get_estimate(int in_flight) const;

    int limit_;
    int quota_ = 1;
    int samples_ = 0;      ///< With the limit fully used, since it last changed.
    int raise_delay_ = 0;  ///< Samples to wait before the limit may rise again.
    std::array<service_estimate, max_tracked> estimates_;  ///< By writes in flight, from 1.
};

}  // namespace hornbeamhook::coordination
