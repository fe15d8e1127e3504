#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamhook::coordination {

/** Values set in a session, by name. */
using session_values = std::map<std::string, std::string>;

/** What a prepared statement runs. */
struct statement_definition {
    bool is_write = false;
    std::string shape;

    auto operator<=>(const statement_definition&) const = default;
};

/** Clears all values and prepared statements of a connection. */
struct reset_step {
    auto operator<=>(const reset_step&) const = default;
};

/** Sets a session value. */
struct set_step {
    std::string name;
    std::string value;

    auto operator<=>(const set_step&) const = default;
};

/** Prepares a statement under a name. */
struct prepare_step {
    std::string name;
    statement_definition definition;

    auto operator<=>(const prepare_step&) const = default;
};

/** Closes a prepared statement. */
struct close_step {
    std::string name;

    auto operator<=>(const close_step&) const = default;
};

/** A statement that changes only the session state of a connection. */
using setup_step = std::variant<reset_step, set_step, prepare_step, close_step>;

/** The steps before a statement may run, and the name that a prepared one then has. */
struct setup_plan {
    std::vector<setup_step> steps;
    std::string statement_name;  ///< Empty unless a prepared statement was asked for.

    auto operator<=>(const setup_plan&) const = default;
};

/** Statements that stay prepared on one connection. */
inline constexpr std::size_t max_prepared_statements = 200;
/** Shapes that stay prepared on one connection; a single larger one is prepared alone. */
inline constexpr std::size_t max_prepared_bytes = std::size_t{256} * 1024;

/**
 * Session state that the target is known to hold for one connection: only what it acknowledged
 * counts. Names of prepared statements are numbered, not derived from callers' texts, and none is
 * used twice on a connection, so that a name cannot run another statement whichever step failed.
 * Not thread safe.
 */
class connection_state {
public:
    /**
     * Plans how to bring the connection in line with a session before its next statement, which
     * executes `prepared` if that is set. All steps must succeed before the statement is sent.
     * Takes a name for each statement to prepare; closes the least recently used ones that exceed
     * the limits.
     */
    setup_plan plan(const session_values& values,
                    const std::optional<statement_definition>& prepared);

    /** Records that the target has carried out a step. */
    void acknowledge(const setup_step& step);

    /** Records that the target may not hold what was acknowledged, or more: a step failed. The next
     * plan begins with a reset. */
    void invalidate();

    /** Whether the connection holds exactly these values. */
    bool holds(const session_values& values) const { return is_known_ && values_ == values; }

    std::size_t get_prepared_count() const { return prepared_.size(); }
    /** Bytes of the values and shapes that the connection holds. */
    std::size_t get_bytes() const;

private:
    struct prepared_entry {
        std::string name;
        statement_definition definition;
    };

    /** Marks the statement as the most recently used one; returns its name, empty if unknown. */
    std::string use(const statement_definition& definition);
    /** Adds steps that close statements until `definition` fits. */
    void plan_closes(const statement_definition& definition, std::vector<setup_step>& steps) const;

    bool is_known_ = true;
    session_values values_;
    std::vector<prepared_entry> prepared_;  ///< The least recently used one first.
    std::uint64_t last_name_ = 0;
};

}  // namespace hornbeamhook::coordination
