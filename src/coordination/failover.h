#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/group_monitor.h"
#include "state/group_view.h"
#include "state/target_status.h"

namespace hornbeamhook::coordination {

/** Phase of one poller's failover of one group. */
enum class failover_phase {
    watching,    ///< There is no evidence that the primary is lost.
    suspecting,  ///< This poller has evidence of a loss and requests observations.
    claiming,    ///< The loss is declared; waits until the claim is due.
    fencing,     ///< Fence calls are in flight.
    promoting,   ///< A majority is fenced; one target was sent a promote call.
    adopting,    ///< The target was promoted; waits until a majority follows it.
};

/** Why a primary is replaced. */
enum class failover_reason {
    none,
    unreachable,       ///< A majority of the answering pollers cannot reach it.
    cut_off,           ///< Its replicas have no contact with it.
    superseded,        ///< It was fenced by a claim that did not finish.
    no_primary,        ///< The group has none.
    replica_stranded,  ///< An unfinished claim keeps a replica from following.
    planned,           ///< An operator asked for it, or the primary is leaving.
};

/** The name of a phase in records and logs. */
std::string to_string(failover_phase value);

/** The name of a reason in records and logs. */
std::string to_string(failover_reason value);

/** One poller's view of a primary, from its own polls. */
struct primary_observation {
    std::string observer;         ///< VM of the poller.
    state::primary_view primary;  ///< The observed primary.
    bool is_unreachable = false;
    bool is_contradicted = false;  ///< A replica it can reach had recent contact with the primary.
    int recent_promotions = 0;     ///< Promotions it saw within the hysteresis window.

    bool operator==(const primary_observation&) const = default;
};

/** The group monitor's evidence changed. */
struct evidence_updated {
    group_evidence evidence;
};

/** The pollers of the group, and the preferred targets among those with equal logs. */
struct pollers_assigned {
    std::vector<std::string> vms;  ///< By rank; includes this proxy.
    /// The platform lists no other VM, so no other poller can confirm an observation.
    bool is_only_proxy = false;
    std::map<std::string, int> preference;  ///< Per target; higher is better.
};

/** Another poller sent its observation, as an answer or with its own request. */
struct observation_received {
    primary_observation observation;
};

/** Another poller answered that it has no recent observation. */
struct observation_withdrawn {
    std::string observer;
};

/** Outcome of a fence or promote call. */
enum class call_outcome {
    accepted,
    refused,    ///< The target accepted a higher term or another claimant.
    no_answer,  ///< The call may still have taken effect.
};

/** A fence or promote call ended. */
struct term_call_ended {
    std::string target;
    bool is_promote = false;
    state::term_number term = 0;
    std::string claimant;
    call_outcome outcome = call_outcome::no_answer;
    std::optional<state::target_status> status;  ///< When accepted.
};

/** A check is due; see get_next_check(). */
struct failover_checked {};

/** The process was paused: a claim in progress is abandoned. */
struct claim_dropped {};

/** `target` is to replace a primary that works. */
struct primary_change_requested {
    std::string target;
};

using failover_event =
    std::variant<evidence_updated, pollers_assigned, observation_received, observation_withdrawn,
                 term_call_ended, failover_checked, claim_dropped, primary_change_requested>;

/** Request the other pollers' observations, or announce a new primary: both make them poll. */
struct request_observations {
    primary_observation own;
};

/** Poll all targets immediately. */
struct poll_targets {};

/** Send a fence or promote call. */
struct send_term_call {
    std::string target;
    bool is_promote = false;
    state::term_number term = 0;
    std::string claimant;
};

/** Make the primary's homes stop or resume admitting writes. */
struct set_writes_paused {
    bool is_paused = false;
};

/** A planned change of the primary ended. */
struct primary_change_finished {
    bool is_done = false;
    std::string message;
};

/** Evidence and phase durations of one promotion, as seen by its claimant. */
struct promotion_report {
    failover_reason reason = failover_reason::none;
    std::optional<state::primary_view> before;
    state::primary_view after;
    std::string claimant;
    int attempts = 0;
    bool is_adopted = false;                 ///< A majority followed before the timeout.
    std::chrono::milliseconds detection{0};  ///< Last answer of the primary to declared loss.
    std::chrono::milliseconds claim{0};      ///< Declared loss to the first fence call.
    std::chrono::milliseconds fencing{0};    ///< First fence call to a fenced majority.
    std::chrono::milliseconds promotion{0};  ///< Fenced majority to the accepted promotion.
    std::chrono::milliseconds adoption{0};   ///< Accepted promotion to a majority following.
    std::vector<primary_observation> observations;  ///< Of the lost primary, by other pollers.
    std::map<std::string, state::target_status> fenced;
};

/** This poller replaced the primary; recorded in the audit log. */
struct promotion_finished {
    promotion_report report;
};

/**
 * A promotion by another proxy, as seen by this poller. It is recorded in the audit log as well,
 * because the claimant may terminate before it stores its own record.
 */
struct promotion_seen {
    /// This poller's evidence of a loss before the promotion, if any.
    failover_reason suspicion = failover_reason::none;
    std::optional<state::primary_view> before;
    state::primary_view after;
    std::string claimant;  ///< As the new primary reports it, or empty.
    /// From the old primary's last answer to this poller until the new primary was seen.
    std::chrono::milliseconds gap{0};
    std::vector<primary_observation> observations;  ///< Of the old primary, by others.
};

using failover_action =
    std::variant<request_observations, poll_targets, send_term_call, set_writes_paused,
                 primary_change_finished, promotion_finished, promotion_seen>;

/** An observation and when it arrived. */
struct timed_observation {
    primary_observation observation;
    state::time_point received_at{};
};

/** A planned change of the primary in progress. */
struct planned_primary_change {
    std::string target;
    state::term_number term = 0;  ///< Of the primary to replace.
    state::time_point requested_at{};
};

/** The last known primary, with this poller's evidence of its loss. */
struct last_known_primary {
    state::primary_view primary;
    state::time_point reached_at{};  ///< Its last answer to this poller.
    failover_reason suspicion = failover_reason::none;
};

/** Failover state of one poller for one group. */
struct failover_state {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t random_state = 1;  ///< State of the generator of retry delays.
    pollers_assigned pollers;
    group_evidence evidence;
    failover_phase phase = failover_phase::watching;
    failover_reason reason = failover_reason::none;
    std::map<std::string, timed_observation> observations;
    /// The latest of each poller that could not reach the primary. Separate from `observations`,
    /// which name the new primary before the loss is reported.
    std::map<std::string, primary_observation> loss_observations;
    std::optional<last_known_primary> last_primary;   ///< Kept while a fenced group has no primary.
    std::optional<state::primary_view> lost_primary;  ///< The primary to be replaced.
    state::time_point lost_primary_reached_at{};      ///< Its last answer to this poller.
    state::time_point poll_requested_at{};
    state::time_point suspected_at{};  ///< When the others were first asked to confirm a loss.
    /// Since when all pollers report the primary unreachable.
    std::optional<state::time_point> unanimous_since;
    state::time_point declared_at{};
    state::time_point claim_due{};
    state::time_point claimed_at{};
    state::time_point fenced_at{};
    state::time_point promoted_at{};
    state::time_point calls_sent_at{};  ///< Of the last fence or promote calls.
    std::uint64_t attempt = 0;          ///< Not reset per failover; makes claimants unique.
    int failover_attempts = 0;
    state::term_number term = 0;
    std::string claimant;
    state::term_number highest_term = 0;  ///< Highest term ever seen or used.
    std::map<std::string, state::target_status> fenced;
    std::set<std::string> refused;
    std::optional<std::string> promotion_target;
    std::optional<planned_primary_change> planned;
    /// When each target was last declared lost as the primary.
    std::map<std::string, state::time_point> last_lost_at;
    std::map<state::term_number, state::time_point> promotions;  ///< Seen within the window.
};

/** The new state and the actions to perform. */
struct failover_step {
    failover_state state;
    std::vector<failover_action> actions;
};

/** Targets with their status when they were fenced. */
using fenced_targets = std::map<std::string, state::target_status>;

/**
 * The rules that safety depends on; replaceable, so that tests can verify that they detect a wrong
 * one.
 */
struct failover_rules {
    /// Selects the new primary from a majority of fenced targets.
    std::string (*choose_target)(const failover_state& state, const fenced_targets& candidates,
                                 state::time_point now);
    /// Number of fenced targets required for a promotion.
    std::size_t (*get_quorum)(const failover_state& state);
    /// Whether an unanswered promote call may be sent to another target in the same term.
    bool may_change_target = false;
};

/** The rules of docs/design.md. */
extern const failover_rules standard_failover_rules;

/** Applies one event. Pure. */
failover_step step_failover(failover_state state, const failover_event& event,
                            state::time_point now,
                            const failover_rules& rules = standard_failover_rules);

/**
 * This poller's answer to a request for its observation: empty when its polls are too old to
 * confirm or refute a loss. A standby poller answers empty until the polls triggered by the request
 * end. Pure.
 */
std::optional<primary_observation> get_recent_observation(const failover_state& state,
                                                          state::time_point now);

/** This poller's observation of the primary, regardless of its age. Pure. */
std::optional<primary_observation> get_observation(const failover_state& state,
                                                   state::time_point now);

/** When failover_checked is due at the latest. */
state::time_point get_next_check(const failover_state& state, state::time_point now);

}  // namespace hornbeamhook::coordination
