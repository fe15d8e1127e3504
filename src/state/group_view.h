#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "state/log_point.h"
#include "state/target_status.h"

namespace hornbeamhook::state {

/** Local monotonic time; never compared between processes. */
using time_point = std::chrono::steady_clock::time_point;

/** What this process last learned of one target by polling it. */
struct target_view {
    std::optional<target_status> status;  ///< Answer of the last successful poll.
    time_point poll_began{};              ///< When that poll was sent.
    time_point poll_ended{};              ///< When its answer arrived.
    int consecutive_failures = 0;
    bool is_refusing = false;  ///< Whether the last failure was a refused connection.

    auto operator<=>(const target_view&) const = default;
};

/**
 * Proof that `point` covers every write acknowledged before `valid_from`: the highest log end that
 * a majority of the group reported to polls that all began at or after `valid_from`.
 */
struct freshness_proof {
    time_point valid_from{};
    log_point point;
    term_number highest_accepted_term = 0;  ///< Over the majority that answered.

    auto operator<=>(const freshness_proof&) const = default;
};

/** The primary of a group as far as this process knows. */
struct primary_view {
    std::string target;
    term_number term = 0;

    auto operator<=>(const primary_view&) const = default;
};

/** Immutable view of one group, published by the control thread. */
struct group_view {
    std::string pool;
    std::size_t majority = 1;
    std::map<std::string, target_view> targets;
    std::optional<primary_view> primary;
    std::optional<freshness_proof> proof;  ///< The newest one.

    auto operator<=>(const group_view&) const = default;
};

}  // namespace hornbeamhook::state
