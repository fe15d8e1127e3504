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

/** Where one poller stands with replacing the primary of one group. */
enum class failover_phase {
    watching,    ///< The primary is usable, or nothing speaks against it.
    suspecting,  ///< This poller has evidence of a loss and asks the others.
    claiming,    ///< Loss is declared; waits for its turn.
    fencing,     ///< Fence calls are out.
    promoting,   ///< A majority is fenced, promote was sent to one target.
    adopting,    ///< The target accepted; waits until a majority follows it.
};

/** Why a primary is replaced. */
enum class failover_reason {
    none,
    unreachable,       ///< A majority of the answering pollers cannot reach it.
    cut_off,           ///< Its replicas do not hear it.
    superseded,        ///< It was fenced by a claim that did not finish.
    no_primary,        ///< The group has none.
    replica_stranded,  ///< An unfinished claim keeps a replica from following.
    planned,           ///< An operator asked for it, or the primary is leaving.
};

/** The name of a phase in records and logs. */
std::string to_string(failover_phase value);

/** The name of a reason in records and logs. */
std::string to_string(failover_reason value);

/** What one poller tells another about a primary, from its own polls. */
struct primary_observation {
    std::string observer;         ///< VM of the poller.
    state::primary_view primary;  ///< The primary this is about.
    bool is_unreachable = false;
    bool is_contradicted = false;  ///< A replica it can reach heard the primary lately.
    int recent_promotions = 0;     ///< That it saw in the hysteresis window.

    bool operator==(const primary_observation&) const = default;
};

/** The group monitor's judgement after a poll. */
struct evidence_updated {
    group_evidence evidence;
};

/** Who polls the group, and which targets are preferred when several are equally far. */
struct pollers_assigned {
    std::vector<std::string> vms;  ///< By rank; includes this proxy.
    /// No other VM is listed by the platform, so nobody else can confirm an observation.
    bool is_only_proxy = false;
    std::map<std::string, int> preference;  ///< Per target; higher is better.
};

/** Another poller answered, or told its observation with a question of its own. */
struct observation_received {
    primary_observation observation;
};

/** Another poller answered that it has no observation that is recent enough. */
struct observation_withdrawn {
    std::string observer;
};

/** How a fence or promote call ended. */
enum class call_outcome {
    accepted,
    refused,    ///< The target accepted a higher term or another claimant.
    no_answer,  ///< No answer; it may have taken effect.
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

/** Time passed. */
struct failover_checked {};

/** The process was paused: the claim under way, if any, is given up. */
struct claim_dropped {};

/** Make `target` the primary although the present one works. */
struct primary_change_requested {
    std::string target;
};

using failover_event =
    std::variant<evidence_updated, pollers_assigned, observation_received, observation_withdrawn,
                 term_call_ended, failover_checked, claim_dropped, primary_change_requested>;

/** Ask the other pollers about the primary, or tell them of a new one: both make them poll. */
struct request_observations {
    primary_observation own;
};

/** Poll all targets at once. */
struct poll_targets {};

/** Send a fence or promote call. */
struct send_term_call {
    std::string target;
    bool is_promote = false;
    state::term_number term = 0;
    std::string claimant;
};

/** Homes of the primary stop or resume admitting writes. */
struct set_writes_paused {
    bool is_paused = false;
};

/** A planned change ended. */
struct primary_change_finished {
    bool is_done = false;
    std::string message;
};

/** The phases of one replacement, as seen by the claimant that finished it. */
struct promotion_report {
    failover_reason reason = failover_reason::none;
    std::optional<state::primary_view> before;
    state::primary_view after;
    std::string claimant;
    int attempts = 0;
    bool is_adopted = false;                 ///< A majority followed within the time allowed.
    std::chrono::milliseconds detection{0};  ///< Last answer of the primary to declared loss.
    std::chrono::milliseconds claim{0};      ///< Declared loss to the first fence call.
    std::chrono::milliseconds fencing{0};    ///< First fence call to a fenced majority.
    std::chrono::milliseconds promotion{0};  ///< Fenced majority to the accepted promotion.
    std::chrono::milliseconds adoption{0};   ///< Accepted promotion to a majority following.
    std::vector<primary_observation> observations;  ///< Of others, that counted.
    std::map<std::string, state::target_status> fenced;
};

/** This poller replaced the primary; for the audit trail. */
struct promotion_finished {
    promotion_report report;
};

/**
 * Another proxy's promotion as this poller saw it. It goes to the audit trail, because the
 * claimant may die before its own record is stored.
 */
struct promotion_seen {
    failover_reason suspicion =
        failover_reason::none;  ///< Own evidence of a loss before it, if any.
    std::optional<state::primary_view> before;
    state::primary_view after;
    std::string claimant;  ///< As the new primary reports it, or empty.
    /// Last answer of the old primary to this poller until the new one was seen.
    std::chrono::milliseconds gap{0};
    std::vector<primary_observation> observations;  ///< Of other pollers, about the old primary.
};

using failover_action =
    std::variant<request_observations, poll_targets, send_term_call, set_writes_paused,
                 primary_change_finished, promotion_finished, promotion_seen>;

/** An observation and when it arrived. */
struct timed_observation {
    primary_observation observation;
    state::time_point received_at{};
};

/** A planned change under way. */
struct planned_primary_change {
    std::string target;
    state::term_number term = 0;  ///< Of the primary to replace.
    state::time_point requested_at{};
};

/** The primary that was known last, with this poller's evidence against it. */
struct last_known_primary {
    state::primary_view primary;
    state::time_point reached_at{};  ///< Its last answer to this poller.
    failover_reason suspicion = failover_reason::none;
};

/** State of one poller for one group. */
struct failover_state {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t random_state = 1;  ///< State of the generator of retry delays.
    pollers_assigned pollers;
    group_evidence evidence;
    failover_phase phase = failover_phase::watching;
    failover_reason reason = failover_reason::none;
    std::map<std::string, timed_observation> observations;
    /// The newest of each poller that could not reach its primary. Apart from `observations`,
    /// because these name the new primary before a report of the loss is made.
    std::map<std::string, primary_observation> loss_observations;
    std::optional<last_known_primary> last_primary;   ///< Kept while a fenced group has no primary.
    std::optional<state::primary_view> lost_primary;  ///< The primary to be replaced.
    state::time_point lost_primary_reached_at{};      ///< Of the lost primary.
    state::time_point poll_requested_at{};
    state::time_point suspected_at{};  ///< When the others were first asked to confirm a loss.
    std::optional<state::time_point> unanimous_since;  ///< All pollers call it unreachable since.
    state::time_point declared_at{};
    state::time_point claim_due{};
    state::time_point claimed_at{};
    state::time_point fenced_at{};
    state::time_point promoted_at{};
    state::time_point calls_sent_at{};  ///< Of the last fence or promote calls.
    std::uint64_t attempt = 0;          ///< Over the life of this proxy; makes claimants unique.
    int failover_attempts = 0;
    state::term_number term = 0;
    std::string claimant;
    state::term_number highest_term = 0;  ///< Ever seen or used.
    std::map<std::string, state::target_status> fenced;
    std::set<std::string> refused;
    std::optional<std::string> promotion_target;
    std::optional<planned_primary_change> planned;
    std::map<std::string, state::time_point>
        last_lost_at;  ///< When a target was last a lost primary.
    std::map<state::term_number, state::time_point> promotions;  ///< Seen, within the window.
};

/** New state and what to do. */
struct failover_step {
    failover_state state;
    std::vector<failover_action> actions;
};

/** Targets with their status when they were fenced. */
using fenced_targets = std::map<std::string, state::target_status>;

/**
 * The rules safety depends on, separate so that tests can show that a wrong one is found.
 */
struct failover_rules {
    /// Which of the fenced targets, a majority, becomes the primary.
    std::string (*choose_target)(const failover_state& state, const fenced_targets& candidates,
                                 state::time_point now);
    /// How many fenced targets suffice.
    std::size_t (*get_quorum)(const failover_state& state);
    /// Whether a promote without answer may go to another target in the same term.
    bool may_change_target = false;
};

/** The rules of docs/design.md. */
extern const failover_rules standard_failover_rules;

/** Applies one event. Pure. */
failover_step step_failover(failover_state state, const failover_event& event,
                            state::time_point now,
                            const failover_rules& rules = standard_failover_rules);

/**
 * This poller's answer to another one's question: empty when its polls are too old to speak for or
 * against the primary. A standby poller answers so until the polls that the question causes end.
 * Pure.
 */
std::optional<primary_observation> get_recent_observation(const failover_state& state,
                                                          state::time_point now);

/** What this poller knows of the primary, however old. Pure. */
std::optional<primary_observation> get_observation(const failover_state& state,
                                                   state::time_point now);

/** When failover_checked is due at the latest. */
state::time_point get_next_check(const failover_state& state, state::time_point now);

}  // namespace hornbeamhook::coordination
