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

/** A statement that waits for, or runs on, a connection that is not yet bound to its session. */
struct pending_statement {
    std::shared_ptr<caller_session> session;
    caller_statement statement;
    std::optional<caller_statement> begin;  ///< Sent first when the statement opens a transaction.
    route target_route;
    std::optional<std::string> target;  ///< For another VM, which chose it.
    std::optional<state::log_point>
        required_position;     ///< For another VM: what the log must reach.
    std::int64_t wait_ms = 0;  ///< For another VM: left of the objective when it came.
    bool needs_primary = false;
    bool is_idempotent = false;  ///< It only reads, so it may run more than once.
    std::optional<state::log_point> last_commit_position;  ///< Newest commit of the session.
    std::int64_t operation_started_at = 0;                 ///< Of the statement or its transaction.
    std::int64_t arrived_at = 0;
    int attempts = 0;                               ///< Connections it was sent on.
    int in_flight = 0;                              ///< Connections that owe an answer.
    std::vector<std::weak_ptr<target_link>> links;  ///< It was sent on these.
    std::int64_t last_sent_at = 0;
    bool is_settled = false;                ///< The caller has its answer, or is gone.
    bool is_in_doubt = false;               ///< A connection was lost after the statement was sent.
    std::set<std::string> avoided_targets;  ///< Targets that failed it.
    std::set<std::string> avoided_homes;    ///< VMs that could not run it.
    std::optional<target_failure> last_failure;

    bool is_relayed() const { return target.has_value(); }

    /** Higher priority first, then older. */
    bool is_before(const pending_statement& other) const {
        return target_route.priority != other.target_route.priority
                   ? target_route.priority < other.target_route.priority
                   : arrived_at < other.arrived_at;
    }
};

using pending_statement_ptr = std::shared_ptr<pending_statement>;

}  // namespace hornbeamhook::gateway
