#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/byte_budget.h"
#include "coordination/connection_state.h"
#include "gateway/caller_limits.h"
#include "gateway/pending_statement.h"
#include "gateway/session_protocol.h"
#include "gateway/target_link.h"
#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::gateway {

class session_engine;

/**
 * Connection of a caller, or of another VM that forwards its callers' statements: its session
 * values, prepared statements and transaction. BEGIN is deferred until the first statement of the
 * transaction, so it costs no round trip. Loop thread only.
 */
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(session_engine& engine, std::shared_ptr<transport::tcp_stream> stream,
                   session_origin origin);

    /** Starts reading. Call once, after construction as a shared pointer. */
    void start();

    /** Takes the answer to a submitted statement; pins `link` if a transaction is open. */
    void complete(const pending_statement_ptr& pending, const target_answer& answer,
                  const std::shared_ptr<target_link>& link);

    /** Reports that the engine could not run the statement. */
    void refuse(const pending_statement_ptr& pending, const target_failure& failure);

    /** Closes the session if no statement is outstanding and no transaction is open. */
    bool close_if_idle();

    /** Closes the session at once; an open transaction is rolled back. */
    void close();

    /** Like close(), but discards answers that were not read. */
    void abort();

    /** Whether the session may be closed to make room for another one. */
    coordination::session_rest get_rest() const;
    std::int64_t get_last_active_at() const { return last_active_at_; }

    /** Why the session has to be closed, if it has not begun, completed a message or read its
     * answers in time; otherwise empty. Call about once a second. */
    std::string find_overdue_exchange(std::int64_t now);

    /** Whether a time limit has passed for enforce_time_limit() to act on. */
    bool is_overdue(std::int64_t now, std::int64_t transaction_idle_ms) const;

    /** Ends a transaction that is idle, or whose statement is unanswered, for too long. */
    void enforce_time_limit(std::int64_t now, std::int64_t transaction_idle_ms);

    /** Applies the newest configuration to a session whose callers are identified. Without an
     * organisation the session ends; an open transaction ends too if the key has moved to another
     * organisation or the database was removed. A statement that was sent is answered first and is
     * sent to no other target; one that was not sent runs for the organisation that holds the key
     * now, or is refused. */
    void review_authorisation();

    /** Answers the outstanding statement, if any, because this VM stops: not run, or in doubt. */
    void answer_outstanding();

    bool is_closed() const { return is_closed_; }
    const coordination::session_values& get_values() const { return values_; }
    const coordination::statement_definition* find_prepared(const std::string& name) const;
    const std::string& get_caller() const { return caller_; }

private:
    enum class phase { starting, idle, deferred_transaction, open_transaction, failed_transaction };

    void receive(std::string_view bytes);
    void end_stream(bool is_refused);
    void handle_lines();
    /** Counts the buffered input against the limits; ends the session beyond them. */
    void count_input();
    /** Reports what the session holds; may close it. */
    void count_held_bytes();
    /** Frees what only an open session needs. */
    void release_buffers();
    void handle_line(std::string_view line);
    void handle(const caller_message& message);
    void handle(const relay_message& message);
    void handle_relay_start(const relay_start& start);
    void handle_relayed(const relayed_statement& relayed);
    /** Logs the reason, reports it and ends the session. */
    void reject_input(const std::string& reason, failure_code code = failure_code::malformed);
    /** The route in the current configuration; empty if the database was removed. */
    std::optional<route> get_route() const;
    /** Whether the next statement may run as far as the session's key is concerned; notes its
     * organisation. */
    bool authorise();
    void handle_move();
    void handle_revocation();
    void handle_dropped_route();
    /** Reports that the session's key identifies no organisation, and ends the session. */
    void end_unauthorised();
    void handle_start(const session_start& start);
    void handle_statement(const caller_statement& statement);
    void handle_begin(const caller_statement& statement);
    void handle_rollback();
    void handle_commit(const caller_statement& statement);
    void handle_local(const caller_statement& statement);
    /** Counts the session value or prepared statement against the limits; false if it was refused.
     */
    bool hold_entry(const caller_statement& statement);
    void refuse_entry(failure_code code, const std::string& reason);
    void handle_data(const caller_statement& statement);
    void submit(const caller_statement& statement);
    void run_pinned(const caller_statement& statement);
    void finish_pinned(const caller_statement& statement, const target_answer& answer);
    bool is_writing(const caller_statement& statement) const;
    void drop_link();
    void reply_completion();
    void reply_failure(failure_code code, const std::string& text);
    /** Sends the rows, then the result of the statement, then the session's transaction state. */
    void reply_answer(const target_answer& answer, const std::string& result);
    void reply(std::string message);
    transaction_state get_wire_state() const;
    void update_last_commit(const caller_statement& statement, const target_answer& answer);

    session_engine& engine_;
    std::shared_ptr<transport::tcp_stream> stream_;
    transport::line_buffer lines_;
    session_origin origin_;
    coordination::byte_budget held_bytes_;  ///< Of values_ and prepared_.
    // For sessions of another VM: the target, and limits and position of the next statement.
    relay_start relay_;
    relay_limits limits_;
    std::optional<state::log_point> required_position_;
    std::string database_;
    std::string caller_;  ///< As logs name the caller; never its key.
    std::optional<key_digest> key_;
    /// Of the outstanding statement and the open transaction; empty if callers are not identified.
    std::string organisation_;
    coordination::session_values values_;
    std::map<std::string, coordination::statement_definition> prepared_;
    phase phase_ = phase::starting;
    std::optional<caller_statement> begin_;
    route route_;  ///< Of the open transaction.
    std::shared_ptr<target_link> link_;
    std::optional<caller_statement> pinned_statement_;  ///< Running on link_.
    std::int64_t pinned_sent_at_ = 0;
    state::term_number pinned_term_ = 0;  ///< Of the primary when the transaction began.
    pending_statement_ptr pending_;
    std::optional<state::log_point> last_commit_position_;
    std::int64_t transaction_began_at_ = 0;
    std::int64_t last_active_at_ = 0;
    bool is_busy_ = false;  ///< A statement is outstanding.
    bool is_closed_ = false;
    bool is_handling_ = false;
    bool ends_after_answer_ = false;  ///< To the outstanding statement.
    std::size_t counted_input_bytes_ = 0;
    std::optional<coordination::holder_number> holder_;
    std::int64_t message_begun_at_ = 0;  ///< Of an incomplete message; 0 without one.
    std::int64_t unread_since_ = 0;      ///< Since when the caller takes no answers; 0 if it does.
    std::size_t last_unread_bytes_ = 0;
};

}  // namespace hornbeamhook::gateway
