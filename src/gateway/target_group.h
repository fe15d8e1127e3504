#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/fair_order.h"
#include "coordination/position_history.h"
#include "coordination/primary_lease.h"
#include "coordination/primary_loss.h"
#include "coordination/target_pace.h"
#include "gateway/home_plan.h"
#include "gateway/pending_statement.h"
#include "gateway/target_entry.h"
#include "gateway/target_link.h"

namespace hornbeamhook::gateway {

/** One target as seen by this VM: its discovery entry, connections and response behaviour. */
struct target_state {
    target_entry entry;
    std::vector<std::shared_ptr<target_link>> links;
    home_plan plan;                   ///< VMs that hold connections to it.
    std::int64_t removed_at = 0;      ///< When its entry was removed; 0 while it is listed.
    std::int64_t avoided_until = 0;   ///< Set after a failure; reads go to other targets.
    std::int64_t lagging_until = 0;   ///< Set when its log was too short for a read.
    std::int64_t lag_backoff_ms = 0;  ///< Doubled while its log stays too short.
    /// Set when it refused a connection because it has too many.
    std::int64_t connection_limited_until = 0;
    std::int64_t reconnect_at = 0;       ///< No connection is opened before this.
    std::int64_t unreachable_until = 0;  ///< Set when it ended a connection; gets no statement.
    std::int64_t next_probe_at = 0;
    std::int64_t last_answer_at = 0;
    std::int64_t refused_since = 0;  ///< First of consecutive refused connections.
    std::int64_t read_only_at = 0;   ///< When it last rejected a write as not the primary.
    double mean_answer_ms = 0;       ///< Moving mean of the response time.
    state::term_number term = 0;     ///< Newest reported term.
    /// What its log had reached in the last answer that named a position.
    std::optional<state::log_point> position;
    std::int64_t positioned_at = 0;                 ///< When it answered with that position.
    std::optional<coordination::target_pace> pace;  ///< Empty if targets are not paced.

    /** Whether new statements may be sent to it. */
    bool is_usable() const { return removed_at == 0 && !entry.is_leaving; }

    /** Records that the target responds, whatever it said. */
    void note_alive(std::int64_t now) {
        last_answer_at = now;
        refused_since = 0;
    }

    /** What this VM knows of its silence, from all connections to it. */
    coordination::primary_contact get_contact() const;

    /** Counts connections with an outstanding statement or still being opened. */
    int count_busy_links() const;

    /** Counts direct connections with an outstanding statement. */
    int count_in_flight() const;

    /** Whether its pace allows one more statement now. */
    bool may_send(std::int64_t now) const;

    /** Begins to pace it, or slows its start if it has restarted. */
    void pace_start(bool is_restarted);

    /** Slows its return after its last direct connection ended, unless it refused the connection
     * because it has too many. */
    void pace_link_end(bool is_limited);

    /** Records the time of an answer to a statement on `link`, also one that nobody waits for. */
    void note_answer(const target_link& link, const target_answer& answer, std::int64_t now);

    /** Records whether it ran a statement, so that reads avoid it for a while after a failure. */
    void note_outcome(const target_answer& answer, std::int64_t now);

private:
    void note_answer_time(std::int64_t elapsed_ms, std::int64_t now);
    void note_failure(const target_failure& failure, std::int64_t now);
    void pace_answer(const target_link& link, const target_answer& answer, std::int64_t now);
};

/** Targets that replicate the same data. */
struct target_group {
    std::string name;
    std::map<std::string, target_state> targets;
    coordination::primary_lease lease;
    coordination::position_history history;
    std::vector<pending_statement_ptr> queue;    ///< See group_queue.h for its order.
    std::vector<pending_statement_ptr> running;  ///< One per outstanding answer; may be settled.

    coordination::fair_order turns;  ///< Of all statements sent.

    state::term_number paced_term = 0;  ///< Term whose promotion was paced.

    /** The known target that the newest record names as primary; null without one. */
    const target_state* find_primary() const;
    target_state* find_primary();

    /** The target that discovery lists as primary; null without one. */
    const target_state* find_listed_primary() const;

    /** find_primary(), or without a record the target that discovery lists as primary, or listed
     * last; null if it is not known. */
    const target_state* find_watched_primary() const;
    target_state* find_watched_primary();

    /** Slows the start of a target that has just been promoted. */
    void pace_promotion();
};

}  // namespace hornbeamhook::gateway
