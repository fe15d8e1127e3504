#include "coordination/queue_wait.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

/// Share of the objective that a statement may wait at most; the rest is for running it.
constexpr double max_wait_share = 0.8;
/// A statement may always wait this share, so that a slow target with a high mean answer time still
/// gets statements.
constexpr double min_wait_share = 0.2;
/// Answer times vary around their mean; adding 30 % covers most of them.
constexpr double answer_margin = 1.3;
/// The wait in a queue varies less, as a sum of many answer times. Without a margin a statement is
/// queued until its expected wait is the longest allowed, and about every second such wait is
/// longer.
constexpr double wait_margin = 1.1;

/// Share of the objective that a statement waits while no target may run it.
constexpr double not_runnable_wait_share = 0.1;
/// The same on a VM that has just started: the callers' next attempt has the rest.
constexpr double starting_wait_share = 0.5;
/// A VM that has read nothing from the store by then has lost it.
constexpr std::int64_t start_duration_ms = 1000;

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
    return static_cast<std::int64_t>(wait_margin * (ahead + 1) * std::max(answer_ms, 0.0) /
                                     connections);
}

std::int64_t get_not_runnable_wait_ms(std::int64_t objective_ms, bool is_primary_known,
                                      std::int64_t since_start_ms) {
    const bool is_starting = !is_primary_known && since_start_ms < start_duration_ms;
    return static_cast<std::int64_t>(static_cast<double>(objective_ms) *
                                     (is_starting ? starting_wait_share : not_runnable_wait_share));
}

}  // namespace hornbeamhook::coordination
