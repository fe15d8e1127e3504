#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamhook::transport {

/** One statement with its parameters; a null parameter is SQL NULL. */
struct target_statement {
    std::string sql;
    std::vector<std::optional<std::string>> parameters;

    bool operator==(const target_statement&) const = default;
};

/** The answer to one statement; a null cell is SQL NULL. */
struct target_result {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::size_t affected = 0;

    bool operator==(const target_result&) const = default;
};

/** Why an exchange with a target failed. */
enum class target_failure_kind {
    refused,           ///< Nobody listens at the address.
    connection_limit,  ///< The target has no connection left (SQLSTATE 53300).
    unreachable,       ///< No connection in time.
    timeout,           ///< No complete answer in time.
    closed,            ///< The connection ended before a complete answer.
    sql_error,         ///< The target answered with an error; see sqlstate.
    invalid,           ///< The answer does not belong to this exchange.
};

/** Failure of an exchange with a target. */
struct target_error {
    target_failure_kind kind = target_failure_kind::closed;
    bool was_sent = false;  ///< False only when no byte of the exchange left.
    std::string sqlstate;   ///< Five characters, for sql_error and connection_limit.
    std::string message;
    std::size_t failed_statement = 0;  ///< Index of the statement that failed, for sql_error.

    bool operator==(const target_error&) const = default;
};

/** Whether a transaction is open on the connection, as the target reported it. */
enum class transaction_state { idle, open, failed, unknown };

/**
 * One PostgreSQL protocol connection. Blocking with a deadline; used by one thread at a time.
 *
 * After a failure other than sql_error the connection is closed and must be discarded.
 */
class target_connection {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** Opens a connection to "ip:port" until `deadline`. Fails with target_error. Thread safe. */
    static boost::leaf::result<std::unique_ptr<target_connection>> open(const std::string& address,
                                                                        time_point deadline);

    ~target_connection();
    target_connection(const target_connection&) = delete;
    target_connection& operator=(const target_connection&) = delete;

    /**
     * Runs statements as one pipelined exchange with a single synchronisation point, so that one
     * round trip carries all of them. The target skips what follows a failing statement.
     * An exchange id travels as the first statement and is compared with the answer.
     * A DISCARD ALL at the end runs after a synchronisation point of its own, also when a statement
     * before it failed. When the target refuses it, the connection is closed and the other
     * statements keep their results.
     * Returns one result per statement. Fails with target_error.
     */
    boost::leaf::result<std::vector<target_result>> run(
        const std::vector<target_statement>& statements, time_point deadline);

    /** The transaction state the target reported with its last answer. */
    transaction_state get_transaction_state() const;

    /** Whether an exchange failed in a way that forbids further use. */
    bool is_broken() const;

private:
    struct implementation;
    explicit target_connection(std::unique_ptr<implementation> value);
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::transport
