#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "state/log_point.h"

namespace hornbeamhook::gateway {

/** Limit of the protocol for one message, with its line end. */
inline constexpr std::size_t max_message_bytes = 1U << 20;

/** Transaction state of a session or a target connection between statements. */
enum class transaction_state { idle, open, failed };

enum class statement_kind {
    begin,
    begin_read,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    close_prepared,
    reset,  ///< Clears session values and prepared statements; not accepted from callers.
    unknown,
};

/** Why a statement failed. */
enum class failure_code {
    busy,
    aborted,
    lagging,    ///< The target's log does not reach the required position.
    read_only,  ///< The target is not the primary.
    wrong_target,
    too_many_connections,
    in_doubt,
    timeout,
    failed,
    unknown_prepared,
    unknown_database,
    unauthorised,  ///< No organisation holds the key.
    too_big,
    malformed,
    other,
};

/** Whether the code guarantees that the statement had no effect. Thread safe. */
constexpr bool is_not_run(failure_code code) {
    switch (code) {
        case failure_code::busy:
        case failure_code::lagging:
        case failure_code::read_only:
        case failure_code::wrong_target:
        case failure_code::too_many_connections:
        case failure_code::unknown_prepared:
            return true;
        default:
            return false;
    }
}

struct caller_statement {
    std::string id;
    statement_kind kind = statement_kind::unknown;
    std::string text;      ///< As received; reads, writes and commits are forwarded unchanged.
    std::string name;      ///< Name of the session value or prepared statement.
    std::string argument;  ///< Session value, shape to prepare, or execution argument.
    bool is_write_prepared = false;  ///< Whether the prepared statement writes.

    bool operator==(const caller_statement&) const = default;
};

/** Opens a caller's session on a database. */
struct session_start {
    std::string database;
    std::string caller;  ///< A label, or the key of an organisation.

    bool operator==(const session_start&) const = default;
};

/** Ends a session. */
struct session_end {
    bool operator==(const session_end&) const = default;
};

/** A line that is not a known message. `reason` goes into the answer and the log. */
struct malformed_message {
    std::string reason;

    bool operator==(const malformed_message&) const = default;
};

using caller_message =
    std::variant<session_start, caller_statement, session_end, malformed_message>;

/** Opens a connection on which another VM runs statements at a target through this VM. */
struct relay_start {
    std::string group;
    std::string target;

    bool operator==(const relay_start&) const = default;
};

/** Limits of the next statement from another VM. Not answered. */
struct relay_limits {
    std::int64_t wait_ms = 0;   ///< Remaining time of its objective.
    std::int64_t priority = 0;  ///< Priority of its route; 0 is the highest.
    std::string organisation;   ///< Of the caller; empty if it is not identified.

    bool operator==(const relay_limits&) const = default;
};

/** A statement forwarded by another VM. */
struct relayed_statement {
    caller_statement statement;
    /// Position that the target's log must reach; empty if only the primary may run the statement.
    std::optional<state::log_point> required_position;

    bool operator==(const relayed_statement&) const = default;
};

using relay_message =
    std::variant<relay_start, relay_limits, relayed_statement, session_end, malformed_message>;

/** One row of a target's answer, as forwarded to the caller. */
struct target_row {
    std::string payload;

    bool operator==(const target_row&) const = default;
};

/** Reports that a statement succeeded. */
struct target_completion {
    std::string proof;  ///< The target's proof that it ran the statement.

    bool operator==(const target_completion&) const = default;
};

/** Reports that a statement failed. */
struct target_failure {
    failure_code code = failure_code::other;
    std::string raw_code;  ///< The code as received, for codes this version does not know.
    std::string text;

    bool operator==(const target_failure&) const = default;
};

/** Reports that the target is ready for the next statement. */
struct target_ready {
    transaction_state state = transaction_state::idle;
    std::optional<state::log_point> position;  ///< End of the target's log.

    bool operator==(const target_ready&) const = default;
};

using target_message =
    std::variant<target_row, target_completion, target_failure, target_ready, malformed_message>;

/** A target's answer to a status request. */
struct target_report {
    bool is_primary = false;
    state::term_number term = 0;
    state::log_point received;         ///< End of the received log, applied or not.
    state::term_number held_term = 0;  ///< Not 0 while its replication is paused.

    auto operator<=>(const target_report&) const = default;
};

/**
 * Wire format of sessions between callers, the gateway and targets. Each message is one line. All
 * functions are pure and thread safe; returned text ends with the line terminator.
 *
 * A format function returns an empty text, which must not be sent, if the reader of the line would
 * not get the same fields: a word that is empty or holds a blank, a line end in any field, or a
 * line over the limit. format_failure() always returns a line; it cuts a text that does not fit.
 */
class session_protocol {
public:
    virtual ~session_protocol() = default;

    virtual caller_message parse_caller_line(std::string_view line) const = 0;
    virtual target_message parse_target_line(std::string_view line) const = 0;
    /** Parses a line from another VM: a message for a target, or limits of the next statement. */
    virtual relay_message parse_relay_line(std::string_view line) const = 0;
    virtual std::optional<target_report> parse_report(std::string_view row) const = 0;

    virtual std::string format_row(std::string_view payload) const = 0;
    virtual std::string format_completion(std::string_view proof) const = 0;
    virtual std::string format_failure(const target_failure& failure) const = 0;
    virtual std::string format_ready(const target_ready& ready) const = 0;

    /** Opens a connection to a target on behalf of an organisation; empty for none. */
    virtual std::string format_start(const std::string& group, const std::string& organisation,
                                     const std::string& target) const = 0;
    /** The target runs the statement only after its log has reached `required_position`. */
    virtual std::string format_statement(const std::string& id,
                                         const std::optional<state::log_point>& required_position,
                                         const std::string& text) const = 0;
    virtual std::string format_execute(const std::string& id,
                                       const std::optional<state::log_point>& required_position,
                                       const std::string& prepared_name,
                                       const std::string& argument) const = 0;
    virtual std::string format_set(const std::string& name, const std::string& value) const = 0;
    virtual std::string format_prepare(const std::string& name, bool is_write,
                                       const std::string& shape) const = 0;
    virtual std::string format_close(const std::string& name) const = 0;
    /** Clears session values and prepared statements of a target connection. */
    virtual std::string format_reset() const = 0;
    virtual std::string format_rollback() const = 0;
    virtual std::string format_report_request() const = 0;
    virtual std::string format_step_down(state::term_number term) const = 0;
    virtual std::string format_resume() const = 0;
    virtual std::string format_relay_limits(const relay_limits& limits) const = 0;
};

}  // namespace hornbeamhook::gateway
