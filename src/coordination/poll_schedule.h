#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/** The answer to a poll that begins now or later is needed. */
struct poll_requested {};

/** The poll in flight ended. */
struct poll_finished {
    bool is_answered = false;
};

/** A check is due, or the number of waiting readers changed. */
struct schedule_checked {
    bool has_waiters = false;  ///< Readers still wait for a later state of the group.
};

/** The poller became active or standby. */
struct heartbeat_changed {
    std::chrono::milliseconds interval{250};
};

using schedule_event =
    std::variant<poll_requested, poll_finished, schedule_checked, heartbeat_changed>;

/** Begin one poll now. */
struct begin_poll {};

using schedule_action = std::variant<begin_poll>;

/** Pollers per group at the active interval: declaring a loss requires two to agree. */
inline constexpr std::size_t active_pollers = 2;

/** Idle poll intervals of a group's pollers. */
struct heartbeat_intervals {
    std::chrono::milliseconds active{250};
    std::chrono::milliseconds standby{1000};
};

/**
 * The interval for the poller of this rank. A standby poller that sees a potential failure polls at
 * the active interval until it is resolved. Pure.
 */
std::chrono::milliseconds get_heartbeat(std::size_t rank, bool has_potential_failure,
                                        const heartbeat_intervals& intervals);

/** When to poll one target: at most one poll in flight and one queued. */
struct poll_schedule_state {
    std::chrono::milliseconds heartbeat_interval{250};
    std::optional<state::time_point> in_flight_since;  ///< Set while a poll is in flight.
    bool is_queued = false;  ///< A poll was requested after the last one began.
    state::time_point last_poll_at{};
    state::time_point last_request_at{};
    int failures = 0;  ///< Consecutive.
};

/** The new state and the actions to perform. */
struct poll_schedule_step {
    poll_schedule_state state;
    std::vector<schedule_action> actions;
};

/** A target that does not answer is polled again after this time, to confirm the failure soon. */
inline constexpr std::chrono::milliseconds failure_retry_interval{50};
/** After this many consecutive failures the target is polled at the heartbeat interval again. */
inline constexpr int max_fast_retries = 20;

/** Applies one event. Pure. */
poll_schedule_step step_poll_schedule(poll_schedule_state state, const schedule_event& event,
                                      state::time_point now);

/** When the next schedule_checked is due unless another event occurs. */
state::time_point get_next_check(const poll_schedule_state& state, bool has_waiters);

}  // namespace hornbeamhook::coordination
