#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "state/log_point.h"

namespace hornbeamhook::coordination {

/**
 * Log positions that a primary reported, with the time at which it was asked. A position learned
 * from a question sent at t covers every commit acknowledged before t, so a read that may miss the
 * last n ms needs the oldest position whose question is at most n ms old.
 *
 * Times are of one local clock that counts suspensions. Not thread safe.
 */
class position_history {
public:
    /**
     * Adds a position. Precondition: the right to use the primary was valid at `requested_at`. A
     * newer term discards the older ones, because a promotion may have rolled their positions back.
     */
    void add(state::log_point position, std::int64_t requested_at);

    /** The lowest known position that covers all commits acknowledged before `since`. */
    std::optional<state::log_point> find_covering(std::int64_t since) const;

    /** The newest position, however old. */
    std::optional<state::log_point> get_newest() const;

    /** When the question of the newest position was sent; 0 without one. */
    std::int64_t get_newest_requested_at() const;

private:
    struct sample {
        std::int64_t requested_at = 0;
        state::log_point position;
    };

    std::deque<sample> samples_;  ///< Ordered by time.
};

}  // namespace hornbeamhook::coordination
