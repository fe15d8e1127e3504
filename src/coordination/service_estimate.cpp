#include "coordination/service_estimate.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

constexpr int smoothing = 16;

}  // namespace

void service_estimate::add(std::chrono::microseconds duration) {
    if (!is_known_) {
        is_known_ = true;
        mean_ = duration;
        return;
    }
    const std::chrono::microseconds difference = duration - mean_;
    mean_ += difference / smoothing;
    deviation_ += (std::chrono::abs(difference) - deviation_) / smoothing;
}

std::chrono::microseconds service_estimate::get_needed_time() const {
    return std::min(mean_ + deviation_, 2 * mean_);
}

}  // namespace hornbeamhook::coordination
