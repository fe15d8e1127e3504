#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/group_view.h"
#include "state/log_point.h"
#include "state/target_status.h"

namespace hornbeamhook::coordination {

/** How a poll of a target failed. */
enum class poll_failure {
    refused,    ///< No process listens at the address.
    timed_out,  ///< No answer within the probe timeout.
    rejected,   ///< The target answered, but with an error; it is running.
};

/** A target answered a poll. */
struct poll_answered {
    std::string target;
    state::time_point began;  ///< When the poll was sent.
    state::time_point ended;  ///< When its answer arrived.
    state::target_status status;
};

/** A poll got no status. */
struct poll_failed {
    std::string target;
    state::time_point began;
    state::time_point ended;
    poll_failure kind = poll_failure::timed_out;
};

/** The targets of the group, as configured. */
struct group_configured {
    std::vector<std::string> targets;
};

/** The process was paused: all earlier answers are outdated. */
struct views_dropped {};

using group_event = std::variant<poll_answered, poll_failed, group_configured, views_dropped>;

/** The view differs from the previous one. */
struct group_view_changed {};

/** A primary of a higher term than before was seen. */
struct primary_changed {
    std::optional<state::primary_view> before;
    state::primary_view after;
};

using group_action = std::variant<group_view_changed, primary_changed>;

/** History of a target besides its view, to detect a loss. */
struct target_history {
    state::time_point first_failure{};  ///< End of the first failed poll of the current run.
    state::time_point last_failure{};
    int contact_failures = 0;  ///< Failed polls of the current run, except rejected ones.
    state::log_point last_log_end;
    state::time_point progressed_at{};  ///< When last_log_end last changed.
};

/** State of the monitor of one group. */
struct group_monitor_state {
    state::group_view view;
    std::map<std::string, target_history> history;
    state::time_point primary_since{};                  ///< When view.primary was first seen.
    std::optional<state::time_point> cut_off_since;     ///< Replicas report no contact since then.
    std::optional<state::time_point> superseded_since;  ///< The last primary is fenced since then.
    std::optional<state::time_point> no_primary_since;  ///< No primary, and no replica has contact.
    std::optional<state::time_point> stranded_since;    ///< A replica refuses the term since then.
};

/** The new state and the actions to perform. */
struct group_monitor_step {
    group_monitor_state state;
    std::vector<group_action> actions;
};

/** An answer counts as current for this long. */
inline constexpr std::chrono::milliseconds answer_validity{2500};
/** Two failed polls this far apart, such as refused connections, count as a loss of contact. */
inline constexpr std::chrono::milliseconds min_failure_spacing{50};
/** Contact ages above this indicate a loss of the primary. */
inline constexpr std::chrono::milliseconds contact_lost_age{600};
/** Contact ages below this contradict a loss of the primary. */
inline constexpr std::chrono::milliseconds contact_alive_age{400};
/** A replica without contact age that does not progress for this long has lost the primary. */
inline constexpr std::chrono::milliseconds no_progress_age{1500};

/** Applies one event. Pure; `now` is the local monotonic time of the step. */
group_monitor_step step_group_monitor(group_monitor_state state, const group_event& event,
                                      state::time_point now);

/**
 * Whether the view may become evidence: no primary is known, a loss condition holds but has not
 * lasted long enough, or a target failed a few polls. A target that has failed for long is no
 * longer counted. Pure.
 */
bool has_potential_failure(const group_monitor_state& state);

/** One poller's evidence for or against a loss of the primary. */
struct group_evidence {
    std::optional<state::primary_view> primary;
    std::map<std::string, state::target_status> answers;  ///< Current answers by target.
    std::vector<std::string> targets;
    std::size_t majority = 1;
    bool is_primary_unreachable = false;  ///< Evidence (a) of docs/design.md section 5.
    bool is_contradicted = false;         ///< A reachable replica had recent contact with it.
    bool is_primary_cut_off = false;      ///< Evidence (b) of docs/design.md section 5.
    /// The last primary was fenced, and none has replaced it.
    bool is_superseded = false;
    /// No primary is known, and a majority answers, without contact with one.
    bool is_without_primary = false;
    /// A replica was fenced by a claim that did not finish and refuses the primary's log.
    bool is_replica_stranded = false;
    /// A target just failed its first polls: the other pollers should poll now, so that they can
    /// confirm or refute a loss when this poller has evidence of one.
    bool is_target_failing = false;
    state::time_point contradicted_at{};     ///< End of the latest poll behind is_contradicted.
    state::time_point primary_reached_at{};  ///< End of the last answered poll of the primary.
    state::term_number highest_term = 0;     ///< Over all accepted and followed terms seen.

    bool operator==(const group_evidence&) const = default;
};

/** The evidence from the state of the monitor at `now`. Pure. */
group_evidence get_evidence(const group_monitor_state& state, state::time_point now);

}  // namespace hornbeamhook::coordination
