#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "standin/target/durable_files.h"
#include "standin/target/entry_log.h"
#include "standin/target/fifo_gate.h"
#include "standin/target/replication_message.h"
#include "standin/target/session_control.h"
#include "standin/target/sql_connection.h"
#include "standin/target/target_settings.h"
#include "standin/target/term_state.h"
#include "state/target_status.h"

namespace hornbeamhook::standin::target {

/** One incoming replication stream, as the receiver's thread and the group member see it. */
struct incoming_stream {
    std::shared_ptr<session_control> control;
    stream_header header;
    /// Entries before the start of the new term, applied but not yet visible.
    std::vector<std::shared_ptr<const log_entry>> pending;
    bool holds_writer = false;
};

/**
 * The database of one target with its log, its terms and the rules of docs/design.md, section 4.
 *
 * One mutex orders commits, changes of terms and the reading of positions. Whoever changes data
 * holds the writer's gate first. Thread safe.
 */
class group_member {
public:
    explicit group_member(const target_settings& settings);
    ~group_member();
    group_member(const group_member&) = delete;
    group_member& operator=(const group_member&) = delete;

    // Control functions of the target.
    state::target_status get_status() const;
    /** Fails with sql_error HB001, whose message is the status as JSON. */
    boost::leaf::result<state::target_status> fence(state::term_number term,
                                                    const std::string& claimant);
    /** Fails with sql_error HB001, whose message is the status as JSON. */
    boost::leaf::result<state::target_status> promote(state::term_number term,
                                                      const std::string& claimant);

    // Sessions.
    /** Registers a session and opens its connection to the current database. */
    std::unique_ptr<sql_connection> open_session(const std::shared_ptr<session_control>& control);
    void close_session(const session_control& control);
    std::vector<std::shared_ptr<session_control>> get_sessions() const;
    void kill_sessions();

    /** Begins a read transaction and returns the status that belongs to exactly this state. */
    state::target_status begin_snapshot(sql_connection& connection) const;

    /** Waits for the writer's place and begins a write transaction. Fails with sql_error HB002 or
     * 57P01. */
    boost::leaf::result<void> begin_write(session_control& control, sql_connection& connection);

    /**
     * Commits and appends `statements` to the log, or rolls back; gives the writer's place back.
     * Fails with sql_error HB002 when this target was fenced.
     */
    boost::leaf::result<state::log_point> commit(session_control& control,
                                                 sql_connection& connection,
                                                 std::string statements);
    void roll_back(session_control& control, sql_connection& connection);

    // Sending side of the replication.
    /** The header for a new stream while this is an unfenced primary. */
    std::optional<stream_header> get_stream_header() const;
    /** Entries that may be shipped, and what the sender waits for next. */
    struct shippable_entries {
        std::vector<std::shared_ptr<const log_entry>> entries;
        state::log_position length = 0;  ///< Of the whole log.
        /// When the first entry that is still too young was appended.
        std::optional<std::chrono::steady_clock::time_point> next_appended_at;
    };
    /** Entries from `from` that were appended at or before `until`, while primary of `term`; empty
     * when it is not any more. */
    std::optional<shippable_entries> get_entries(state::term_number term, state::log_position from,
                                                 std::chrono::steady_clock::time_point until) const;
    /** Blocks until the log is longer than `seen` or the terms change, at the latest until
     * `deadline`. */
    void wait_for_change(std::chrono::steady_clock::time_point deadline,
                         state::log_position seen) const;
    void wake();

    // Receiving side of the replication; called by the stream's own thread.
    /** The common prefix after the tail was discarded, or the refusing accepted term. */
    struct stream_answer {
        bool is_accepted = false;
        state::log_position position = 0;
        state::term_number accepted_term = 0;
    };
    stream_answer begin_stream(incoming_stream& stream);
    bool take_heartbeat(const incoming_stream& stream);
    /** False when the stream was superseded or does not continue the log. */
    bool append(incoming_stream& stream, state::log_position from,
                std::vector<std::shared_ptr<const log_entry>> entries);
    void end_stream(incoming_stream& stream);

private:
    using lock_type = std::unique_lock<std::mutex>;

    state::target_status make_status() const;
    sql_error make_refusal() const;
    void set_terms(const term_state& next);
    void drop_stream();
    bool is_active(const incoming_stream& stream) const;
    void kill_writers();
    bool acquire_writer(const incoming_stream& stream);
    void discard_tail(lock_type& lock, incoming_stream& stream, state::log_position length);
    std::unique_ptr<sql_connection> rebuild(const std::string& path, state::log_position length);
    void make_visible(const std::vector<std::shared_ptr<const log_entry>>& entries);
    void checkpoint();
    static void apply(sql_connection& connection, const log_entry& entry);

    const target_settings settings_;
    durable_files files_;
    fifo_gate writer_{1};
    mutable std::mutex mutex_;
    mutable std::condition_variable is_changed_;
    term_state terms_;
    entry_log log_;
    std::uint64_t generation_ = 0;
    std::string database_path_;
    std::unique_ptr<sql_connection> applier_;  // Used by the holder of the writer's place.
    std::map<std::uint64_t, std::shared_ptr<session_control>> sessions_;
    std::shared_ptr<session_control> active_stream_;
    std::optional<std::chrono::steady_clock::time_point> last_contact_;
    state::log_position last_checkpoint_ = 0;
};

}  // namespace hornbeamhook::standin::target
