#pragma once

#include <chrono>

namespace hornbeamhook::coordination {

/** Smoothed mean and mean deviation of a service time. Not thread safe. */
class service_estimate {
public:
    /** Adds one sample. */
    void add(std::chrono::microseconds duration);

    /** Whether a sample was added. */
    bool is_known() const { return is_known_; }

    /** The mean; a default before the first sample. */
    std::chrono::microseconds get_mean() const { return mean_; }

    /**
     * Time to reserve for one request, so that few take longer: the mean plus the mean deviation,
     * at most twice the mean.
     */
    std::chrono::microseconds get_needed_time() const;

private:
    std::chrono::microseconds mean_{5000};
    std::chrono::microseconds deviation_{0};
    bool is_known_ = false;
};

}  // namespace hornbeamhook::coordination
