#include "coordination/operation_limits.h"

#include <algorithm>

namespace hornbeamhook::coordination {

double get_window_allowance(const limit_terms& terms) {
    const double rate_per_ms = static_cast<double>(terms.rate_per_s) / 1000;
    return (rate_per_ms * static_cast<double>(terms.window_ms) + static_cast<double>(terms.burst)) *
               (1 + terms.excess) +
           static_cast<double>(terms.slack);
}

limit_bucket get_bucket(const limit_terms& terms, const limit_timing& timing) {
    const double allowance = get_window_allowance(terms);
    // A bucket that holds less than an operation at each of several accountants grants nothing, so
    // half of the slack serves small bursts.
    limit_bucket bucket;
    bucket.capacity = std::min(
        allowance, static_cast<double>(terms.burst) + static_cast<double>(terms.slack) / 2);
    const auto span_ms = static_cast<double>(std::max<std::int64_t>(
        1, terms.window_ms + timing.grant_duration_ms + timing.send_delay_ms));
    bucket.rate_per_ms = std::min(static_cast<double>(terms.rate_per_s) / 1000,
                                  (allowance - bucket.capacity) / span_ms);
    return bucket;
}

}  // namespace hornbeamhook::coordination
