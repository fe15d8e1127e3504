#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/session_protocol.h"

namespace hornbeamhook::gateway {

class caller_session;
class target_link;

/** A statement that waits for or runs on a connection that is not pinned to its session. */
struct pending_statement {
    std::shared_ptr<caller_session> session;
    caller_statement statement;
    std::optional<caller_statement> begin;  ///< BEGIN to send first, if any.
    route target_route;
    std::string organisation;  ///< Of the caller; empty if it is not identified.
    /// Target chosen by the other VM; set for relayed statements only.
    std::optional<std::string> target;
    std::optional<state::log_point> required_position;  ///< Of a relayed statement.
    std::int64_t wait_ms = 0;  ///< Remaining objective of a relayed statement on arrival.
    bool needs_primary = false;
    bool is_idempotent = false;  ///< Only reads, so it may run more than once.
    std::optional<state::log_point> last_commit_position;  ///< Of the session.
    std::int64_t operation_started_at = 0;  ///< Arrival of the statement or of its BEGIN.
    std::int64_t arrived_at = 0;
    int attempts = 0;  ///< Connections it was assigned to, the same one counted again.
    int sent = 0;      ///< Of outstanding_links, those on which it was sent after its set-up.
    std::vector<std::weak_ptr<target_link>> links;  ///< Connections it was assigned to.
    /// Those of them with its set-up or its answer outstanding.
    std::vector<std::weak_ptr<target_link>> outstanding_links;
    std::int64_t last_sent_at = 0;
    /// It may be sent before this time, by the limit of its organisation; 0 if there is none.
    std::int64_t grant_until = 0;
    bool is_waiting_for_grant = false;
    bool is_settled = false;                ///< The caller was answered or has disconnected.
    bool is_withdrawn = false;              ///< It is sent to no other target.
    bool is_in_doubt = false;               ///< A connection was lost after the statement was sent.
    std::set<std::string> avoided_targets;  ///< Targets at which it failed.
    std::set<std::string> avoided_homes;    ///< Homes through which it failed.

    bool is_relayed() const { return target.has_value(); }

    /** Whether a target may have run it, or may still. */
    bool may_have_run() const { return sent > 0 || is_in_doubt; }

    /** Whether it leaves no effect when its connection is lost. The first statement of a
     * transaction leaves none unless it is the commit itself. */
    bool is_safe_to_repeat() const {
        return is_idempotent || (begin && statement.kind != statement_kind::commit);
    }

    /** What the caller learns when it is refused while it waits to be sent. */
    failure_code get_refusal_code() const {
        return is_in_doubt ? failure_code::aborted : failure_code::busy;
    }

    /** What the caller learns when it is given up, perhaps after it was sent. */
    failure_code get_unanswered_code() const {
        return !may_have_run()       ? failure_code::busy
               : is_safe_to_repeat() ? failure_code::aborted
                                     : failure_code::in_doubt;
    }

    /** Orders by priority, then by arrival. */
    bool is_before(const pending_statement& other) const {
        return target_route.priority != other.target_route.priority
                   ? target_route.priority < other.target_route.priority
                   : arrived_at < other.arrived_at;
    }
};

using pending_statement_ptr = std::shared_ptr<pending_statement>;

}  // namespace hornbeamhook::gateway
