#pragma once

#include <algorithm>
#include <cstdint>

#include "gateway/pending_statement.h"

namespace hornbeamhook::gateway {

inline constexpr std::int64_t default_objective_ms = 500;  ///< For routes without one.
inline constexpr std::int64_t default_timeout_ms = 5000;   ///< For routes without one.
inline constexpr std::int64_t min_relayed_wait_ms =
    30;  ///< A home tries once to find a connection.

/// Delay before a statement that failed at all targets or homes is sent to them again.
inline constexpr std::int64_t retry_delay_ms = 100;

/// A statement is refused on arrival if it must wait longer than this for a grant of its
/// organisation's limit: a round trip between regions and a resent datagram. A longer queue would
/// hold places that others need.
inline constexpr std::int64_t max_grant_wait_ms = 100;
/// A statement that was let in keeps its place until it must wait longer than this.
inline constexpr std::int64_t max_kept_grant_wait_ms = 200;

inline std::int64_t get_objective(const pending_statement& pending) {
    return pending.target_route.objective_ms > 0 ? pending.target_route.objective_ms
                                                 : default_objective_ms;
}

inline std::int64_t get_timeout(const pending_statement& pending) {
    return pending.target_route.timeout_ms > 0 ? pending.target_route.timeout_ms
                                               : default_timeout_ms;
}

/** Time from its arrival after which a statement without an answer is refused. */
inline std::int64_t get_answer_limit(const pending_statement& pending) {
    // The other VM knows only that it passed the statement on, so it must learn in time that the
    // statement was not sent.
    return pending.is_relayed() && !pending.may_have_run()
               ? std::max(pending.wait_ms, min_relayed_wait_ms)
               : get_timeout(pending);
}

/** How long a home may wait before it sends the statement. Thread safe. */
inline std::int64_t get_relay_wait(const pending_statement& pending, std::int64_t now) {
    const std::int64_t left = get_objective(pending) - (now - pending.arrived_at);
    // The home must not send the statement after the grant has expired.
    const std::int64_t allowed =
        pending.grant_until == 0 ? left : std::min(left, pending.grant_until - now);
    return std::max(allowed, min_relayed_wait_ms);
}

/** Whether its grant has expired. Thread safe. */
inline bool is_grant_expired(const pending_statement& pending, std::int64_t now) {
    return pending.grant_until != 0 && now >= pending.grant_until;
}

}  // namespace hornbeamhook::gateway
