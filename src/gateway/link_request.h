#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/connection_state.h"
#include "gateway/session_protocol.h"

namespace hornbeamhook::gateway {

class caller_session;
class target_link;

/** What is sent on a target connection for one statement. */
struct link_request {
    std::string limits;                           ///< To a home, before all else; has no answer.
    std::vector<coordination::setup_step> setup;  ///< All must succeed before the rest is sent.
    std::string begin;      ///< Must succeed before the statement is sent; empty without a BEGIN.
    std::string statement;  ///< As sent; empty if it or its BEGIN cannot be sent.
    /// Asked right before the statement is sent; if false, it is not. May be null.
    std::function<bool()> may_send;
};

/** Formats a step that sets up a connection. Pure. */
std::string format_step(const session_protocol& protocol, const coordination::setup_step& step);

/** A step as logs name it. */
struct step_description {
    std::string kind;  ///< reset, set, prepare or close.
    std::string name;  ///< Of the session value or prepared statement.
};
step_description describe_step(const coordination::setup_step& step);

/**
 * The request for a statement on a connection, preceded by what brings the connection in line with
 * the session. `begin` opens a transaction first; `required_position` goes with the first of the
 * two. Precondition: an executed statement is prepared in the session. Loop thread only.
 */
link_request make_link_request(const session_protocol& protocol, const caller_session& session,
                               target_link& link, const caller_statement& statement,
                               const std::optional<caller_statement>& begin,
                               const std::optional<state::log_point>& required_position);

}  // namespace hornbeamhook::gateway
