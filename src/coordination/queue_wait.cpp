#include "coordination/queue_wait.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

/// Share of the objective that a statement may wait at most; the rest is for running it.
constexpr double max_wait_share = 0.8;
/// A statement may always wait this share, so that a high mean does not cut off a slow target.
constexpr double min_wait_share = 0.2;
/// Answer times vary around their mean; adding a third covers most of them.
constexpr double answer_margin = 1.3;

}  // namespace

std::int64_t get_max_wait_ms(std::int64_t objective_ms, double answer_ms) {
    const auto objective = static_cast<double>(objective_ms);
    const double left = objective - answer_margin * std::max(answer_ms, 0.0);
    return static_cast<std::int64_t>(
        std::clamp(left, min_wait_share * objective, max_wait_share * objective));
}

std::int64_t get_expected_wait_ms(int ahead, int connections, double answer_ms) {
    if (connections <= 0) {
        return 0;
    }
    return static_cast<std::int64_t>((ahead + 1) * std::max(answer_ms, 0.0) / connections);
}

}  // namespace hornbeamhook::coordination
