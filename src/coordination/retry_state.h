#pragma once

#include <chrono>
#include <utility>

#include "protocol/error_code.h"
#include "state/group_view.h"
#include "state/outcome.h"

namespace hornbeamhook::coordination {

/** One request on its way through the entry, across all its sends. */
struct retry_state {
    bool is_write = false;
    bool is_keyed = false;
    state::time_point deadline{};
    int sends = 0;
    int refusals = 0;             ///< Answers from homes that gave it to no target.
    bool may_have_run = false;    ///< An earlier send ended with `unknown`.
    bool reached_target = false;  ///< Statement bytes of a send left for a target.

    auto operator<=>(const retry_state&) const = default;
};

/** How one send ended, as the home answered or the transport failed. */
struct send_result {
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::unavailable;
    bool was_sent = false;   ///< Statement bytes left for a target, or may have.
    bool is_behind = false;  ///< A replica did not reach the required point in time.

    auto operator<=>(const send_result&) const = default;
};

/** What the entry does next. */
enum class retry_step {
    send,    ///< Send it again after `pause`.
    finish,  ///< Answer the caller.
};

/** The next step; outcome and code only for `finish`. */
struct retry_decision {
    retry_step step = retry_step::finish;
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::unavailable;
    std::chrono::milliseconds pause{0};
    bool needs_budget = false;  ///< Only with a retry from the retry budget; else see give_up().

    auto operator<=>(const retry_decision&) const = default;
};

/** The state after a send. */
retry_state record_send(retry_state retry);

/**
 * How much of the time left one send may take. A request that may be repeated keeps a part of its
 * time for another home.
 */
std::chrono::milliseconds get_send_timeout(const retry_state& retry,
                                           std::chrono::milliseconds left);

/** Judges how a send ended. `jitter` in [0, 1) spreads pauses. */
std::pair<retry_state, retry_decision> decide_after_send(retry_state retry,
                                                         const send_result& result,
                                                         state::time_point now, double jitter);

/**
 * No route exists at the moment (no primary is known, no home is live): wait and look again, or
 * answer when the deadline passed.
 */
retry_decision decide_without_route(const retry_state& retry, state::time_point now);

/** The final answer when nothing is sent again; `code` says why. */
retry_decision give_up(const retry_state& retry, protocol::error_code code);

}  // namespace hornbeamhook::coordination
