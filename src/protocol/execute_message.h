#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/error_code.h"
#include "state/configuration.h"
#include "state/group_view.h"
#include "state/log_point.h"
#include "state/outcome.h"
#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** What a home is asked to do. */
enum class execute_operation {
    statements,              ///< One request outside of a transaction.
    begin,                   ///< Opens a transaction.
    transaction_statements,  ///< Statements of an open transaction.
    commit,
    rollback,
    resolve_commit,  ///< Finds out whether a commit with this key took effect, and prevents it.
    await_acknowledgement,  ///< Waits until the group acknowledged `required`; runs nothing.
};

/** A request from the entry to a home of the target. */
struct execute_request {
    std::string exchange_id;  ///< Unique per send; the answer carries it.
    execute_operation operation = execute_operation::statements;
    std::string pool;
    std::string target;
    std::string caller;
    bool is_write = false;
    std::vector<transport::target_statement> statements;
    state::read_policy policy;
    bool must_be_fresh = false;  ///< The entry demands a strict read whatever the policy says.
    state::log_point required;   ///< From the session token.
    std::string idempotency_key;
    std::string digest;                        ///< Of the statements, compared on a reused key.
    std::chrono::milliseconds deadline{5000};  ///< Time left when it was sent.
    std::uint64_t incarnation = 0;             ///< Of the home, for an open transaction.
    std::uint64_t transaction = 0;             ///< Number of an open transaction.

    bool operator==(const execute_request&) const = default;
};

/** The answer of a home. */
struct execute_answer {
    std::string exchange_id;
    state::outcome outcome = state::outcome::not_run;
    error_code code = error_code::unavailable;
    std::string message;
    /// Whether bytes of the caller's statements left for a target; an unkeyed write is then
    /// never sent again, even if it is known not to have run.
    bool was_sent = false;
    bool is_behind = false;  ///< The replica did not reach the required point in time.
    std::vector<transport::target_result> results;
    state::log_point point;  ///< Commit point of a write, log end seen by a read.
    std::string target;
    bool is_primary = false;
    std::optional<state::primary_view> primary;  ///< The home's view, for routing.
    std::uint64_t incarnation = 0;
    std::uint64_t transaction = 0;

    bool operator==(const execute_answer&) const = default;
};

/** Serialises a request for /internal/v1/execute and /internal/v1/transaction. */
std::string to_text(const execute_request& request);

/** The inverse of to_text(). Fails with state_error. */
boost::leaf::result<execute_request> parse_execute_request(std::string_view text);

/** Serialises an answer; the text of an error is cut at 16 KiB. */
std::string to_text(const execute_answer& answer);

/** The inverse of to_text(). Fails with state_error. */
boost::leaf::result<execute_answer> parse_execute_answer(std::string_view text);

}  // namespace hornbeamhook::protocol
