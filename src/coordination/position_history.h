#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "state/log_point.h"

namespace hornbeamhook::coordination {

/**
 * Log positions that a primary reported, with the time of each request. A position from a request
 * sent at t covers every commit acknowledged before t, so a read that may be stale by n ms needs
 * the oldest position whose request is at most n ms old.
 *
 * Times are from one local clock that includes suspend time. Not thread-safe.
 */
class position_history {
public:
    /**
     * Adds a position. Precondition: the lease on the primary was valid at `requested_at`. A
     * newer term discards older positions, because a promotion may have rolled them back.
     */
    void add(state::log_point position, std::int64_t requested_at);

    /** The lowest known position that covers all commits acknowledged before `since`. */
    std::optional<state::log_point> find_covering(std::int64_t since) const;

    /** The newest position, regardless of its age. */
    std::optional<state::log_point> get_newest() const;

    /** When the newest position was requested; 0 without one. */
    std::int64_t get_newest_requested_at() const;

private:
    struct sample {
        std::int64_t requested_at = 0;
        state::log_point position;
    };

    std::deque<sample> samples_;  ///< Ordered by time.
};

}  // namespace hornbeamhook::coordination
