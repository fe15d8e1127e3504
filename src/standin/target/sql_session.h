#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "standin/target/session_control.h"
#include "standin/target/sql_connection.h"
#include "standin/target/target_context.h"

namespace hornbeamhook::standin::target {

/**
 * Statements and transactions of one connection, with the behaviour of PostgreSQL at isolation
 * level read committed: what runs between two synchronisation points outside BEGIN forms one
 * implicit transaction, and an error fails the transaction until ROLLBACK. Reads of one implicit
 * or read-only transaction share one snapshot. Used by one thread.
 */
class sql_session {
public:
    /** Both arguments outlive this. */
    sql_session(target_context& context, std::shared_ptr<session_control> control);
    ~sql_session();
    sql_session(const sql_session&) = delete;
    sql_session& operator=(const sql_session&) = delete;

    /** Checks a statement without running it. Fails with sql_error. */
    boost::leaf::result<void> check(const std::string& sql);

    /** Names of the columns a statement returns. Fails with sql_error. */
    boost::leaf::result<std::vector<std::string>> describe(const std::string& sql);

    /** Runs a statement. Fails with sql_error, which fails the transaction. */
    boost::leaf::result<sql_answer> execute(const std::string& sql, const sql_values& parameters);

    /** Commits an implicit transaction. Fails with sql_error after rolling back. */
    boost::leaf::result<void> synchronise();

    /** Fails the transaction after an error the caller detected. */
    void fail();

    /** Rolls back whatever is open. */
    void roll_back();

    /** 'I' idle, 'T' in a transaction, 'E' in a failed transaction. */
    char get_state() const;

    /** The limit set with SET LOCAL idle_in_transaction_session_timeout for the open transaction.
     */
    std::optional<std::chrono::milliseconds> get_idle_limit() const;

    /** Whether the answer to the commit that just took effect must get lost. Resets itself. */
    bool take_answer_loss() { return std::exchange(is_answer_lost_, false); }

private:
    enum class block { none, read_write, read_only, failed };
    enum class command { begin, begin_read_only, commit, roll_back, discard, set, other };

    static command classify(const std::string& sql);
    void read_setting(const std::string& sql);
    void add_functions();
    boost::leaf::result<sql_answer> execute_command(command value);
    boost::leaf::result<sql_answer> execute_sql(const std::string& sql,
                                                const sql_values& parameters);
    boost::leaf::result<sql_answer> execute_in_slot(sql_connection::statement& statement,
                                                    const sql_values& parameters);
    boost::leaf::result<void> commit();
    boost::leaf::result<void> ensure_write();
    void ensure_snapshot();
    void end_snapshot();
    state::target_status get_visible_status();
    boost::leaf::result<std::string> get_last_commit() const;

    target_context& context_;
    const std::shared_ptr<session_control> control_;
    std::unique_ptr<sql_connection> connection_;
    block block_ = block::none;
    std::optional<state::target_status> snapshot_;
    nlohmann::json written_ = nlohmann::json::array();
    std::optional<state::log_point> last_commit_;
    std::optional<std::chrono::milliseconds> idle_limit_;
    bool ran_since_synchronise_ = false;
    bool is_answer_lost_ = false;
};

}  // namespace hornbeamhook::standin::target
