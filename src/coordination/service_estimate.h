#pragma once

#include <chrono>

namespace hornbeamhook::coordination {

/** Smoothed mean and mean deviation of a service time. Not thread safe. */
class service_estimate {
public:
    /** Accounts one service time. */
    void add(std::chrono::microseconds duration);

    /** Whether a service time was accounted. */
    bool is_known() const { return is_known_; }

    /** The mean; an assumed value while nothing is known. */
    std::chrono::microseconds get_mean() const { return mean_; }

    /** The time to keep for one service, so that few of them take longer: the mean and its mean
     * deviation, at most twice the mean. */
    std::chrono::microseconds get_needed_time() const;

private:
    std::chrono::microseconds mean_{5000};
    std::chrono::microseconds deviation_{0};
    bool is_known_ = false;
};

}  // namespace hornbeamhook::coordination
