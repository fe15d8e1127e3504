#pragma once

#include <chrono>
#include <utility>

#include "protocol/error_code.h"
#include "state/group_view.h"
#include "state/outcome.h"

namespace hornbeamhook::coordination {

/** State of one request at the entry, across all its sends. */
struct retry_state {
    bool is_write = false;
    bool is_keyed = false;
    state::time_point deadline{};
    int sends = 0;
    int refusals = 0;             ///< Answers from homes that did not pass it to a target.
    bool may_have_run = false;    ///< An earlier send ended with `unknown`.
    bool reached_target = false;  ///< Statement bytes were sent to a target.
    /// Why the request waits; reported when its deadline passes before the next step.
    protocol::error_code waits_for = protocol::error_code::deadline;

    auto operator<=>(const retry_state&) const = default;
};

/** Result of one send, from the home's answer or a transport failure. */
struct send_result {
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::unavailable;
    bool was_sent = false;   ///< Statement bytes were sent to a target, or may have been.
    bool is_behind = false;  ///< A replica did not reach the required point in time.

    auto operator<=>(const send_result&) const = default;
};

/** What the entry does next. */
enum class retry_step {
    send,    ///< Send it again after `pause`.
    finish,  ///< Answer the caller.
};

/** The next step. `outcome` and `code` apply to `finish` only. */
struct retry_decision {
    retry_step step = retry_step::finish;
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::unavailable;
    std::chrono::milliseconds pause{0};
    bool needs_budget = false;  ///< Send only if the retry budget allows it; else see give_up().

    auto operator<=>(const retry_decision&) const = default;
};

/** Returns the state after a send. */
retry_state record_send(retry_state retry);

/**
 * How much of the remaining time one send may take. A request that may be repeated reserves a part
 * of it for another home.
 */
std::chrono::milliseconds get_send_timeout(const retry_state& retry,
                                           std::chrono::milliseconds left);

/** Decides the next step after a send. `jitter` in [0, 1) randomizes pauses. */
std::pair<retry_state, retry_decision> decide_after_send(retry_state retry,
                                                         const send_result& result,
                                                         state::time_point now, double jitter);

/** Returns the state after no route was found: no primary is known or no home is live. */
retry_state record_no_route(retry_state retry);

/** Decides the next step without a route: look again after a pause, or answer at the deadline. */
retry_decision decide_without_route(const retry_state& retry, state::time_point now);

/** The final answer to a request whose deadline has passed before its next step. */
retry_decision expire(const retry_state& retry);

/** The final answer when nothing is sent again; `code` is the reason. */
retry_decision give_up(const retry_state& retry, protocol::error_code code);

}  // namespace hornbeamhook::coordination
