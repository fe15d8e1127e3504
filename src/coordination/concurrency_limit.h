#pragma once

#include <chrono>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/**
 * Limit of reads in flight at one target: additive increase while the limit is reached and the
 * smoothed latency stays near its minimum, multiplicative decrease when it rises or statements
 * fail. Always within [1, quota]. Latency alone does not reduce it below half of the slots, because
 * the two homes of a target must together keep its slots busy. Not thread safe.
 */
class concurrency_limit {
public:
    /** Starts at `slots`, clamped to [1, quota]. */
    concurrency_limit(int slots, int quota);

    /** Statements that may be in flight. */
    int get_limit() const;

    /** Changes the upper bound, for example after a refused connection. */
    void set_quota(int quota);

    /** Begins again at one and measures the base latency anew, for a target that was away. */
    void restart();

    /** Records an exchange that took `latency` while `in_flight` were running. */
    void on_success(std::chrono::microseconds latency, int in_flight, state::time_point now);

    /** Records an exchange that was lost or came too late. */
    void on_failure(state::time_point now);

private:
    void decrease(double min_limit, state::time_point now);

    double limit_;
    double latency_min_limit_;
    int quota_;
    std::chrono::microseconds smoothed_latency_{0};
    std::chrono::microseconds base_latency_{0};  ///< Lowest recent smoothed latency; 0 when none.
    state::time_point base_latency_since_{};
    state::time_point last_decrease_{};
};

}  // namespace hornbeamhook::coordination
