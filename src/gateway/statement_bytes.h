#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/session_protocol.h"
#include "gateway/target_link.h"

namespace hornbeamhook::gateway {

class caller_session;

/** Bytes to send on a target connection for one statement. */
struct statement_bytes {
    std::string initial;
    std::vector<setup_step> setup;  ///< The leading statements of `initial`.
    std::string after_begin;  ///< Sent once BEGIN, the last statement of `initial`, succeeded.
};

/**
 * Formats a statement, preceded by the statements that set the session's state on the connection,
 * and records that state on the link. `begin` opens a transaction first; `required_position` goes
 * with the first of the two. Precondition: an executed statement is prepared in the session. Loop
 * thread only.
 */
statement_bytes format_for_link(const session_protocol& protocol, const caller_session& session,
                                target_link& link, const caller_statement& statement,
                                const std::optional<caller_statement>& begin,
                                const std::optional<state::log_point>& required_position);

}  // namespace hornbeamhook::gateway
