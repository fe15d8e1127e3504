#include "coordination/failover.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::primary_view;
using state::target_status;
using state::time_point;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Claim delay per rank, in which the pollers of lower rank act alone.
constexpr milliseconds rank_delay{300};
/// Interval of polls and observation requests while a loss is suspected.
constexpr milliseconds suspicion_interval{100};
/// Older observations are ignored.
constexpr milliseconds observation_validity{1000};
/// A poller gives no observation from older polls: a standby poller may not have polled since.
constexpr milliseconds own_poll_max_age{500};
/// Time for the requested polls, after which a majority of the answers is sufficient.
constexpr milliseconds observation_wait{100};
/// How long all pollers must agree while replicas still have contact with the primary.
constexpr milliseconds contradicted_delay{1500};
/// Unanswered fence and promote calls are resent after this time.
constexpr milliseconds resend_interval{300};
/// An unanswered promote call is abandoned for a new term after this time.
constexpr milliseconds promote_timeout{1000};
/// A claim that fences no majority within this time is restarted.
constexpr milliseconds fence_timeout{2000};
/// The new primary's replicas normally follow within one heartbeat.
constexpr milliseconds adoption_timeout{2000};
/// Time to fence slower targets where a better choice depends on them.
constexpr milliseconds fence_grace{200};
/// Time for in-flight writes to finish after a planned change paused the homes.
constexpr milliseconds write_drain_time{100};
/// Time limit of docs/design.md section 5 for a planned change.
constexpr milliseconds catch_up_timeout{2000};
constexpr int min_retry_ms = 50;
constexpr int max_retry_ms = 250;
/// Window and waits of the hysteresis of docs/design.md section 5.
constexpr minutes hysteresis_window{10};
constexpr std::array<seconds, 4> hysteresis_waits = {seconds(0), seconds(1), seconds(2),
                                                     seconds(4)};
/// A target that was lost as primary within this time is not preferred.
constexpr seconds recent_loss_window{60};

using action_list = std::vector<failover_action>;

int get_rank(const failover_state& state) {
    const auto it = std::ranges::find(state.pollers.vms, state.vm);
    return static_cast<int>(it - state.pollers.vms.begin());
}

milliseconds next_retry_delay(failover_state& state) {
    // Linear congruential generator of Knuth's MMIX; only spreads the claimants' retries.
    state.random_state = state.random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return milliseconds(min_retry_ms + static_cast<int>((state.random_state >> 33U) %
                                                        (max_retry_ms - min_retry_ms)));
}

int count_promotions(const failover_state& state, time_point now) {
    const auto recent = std::ranges::count_if(state.promotions, [&](const auto& entry) {
        return now - entry.second <= hysteresis_window;
    });
    int count = static_cast<int>(recent);
    for (const auto& [vm, timed] : state.observations) {
        if (now - timed.received_at <= observation_validity) {
            count = std::max(count, timed.observation.recent_promotions);
        }
    }
    return count;
}

milliseconds get_hysteresis(const failover_state& state, time_point now) {
    // Without a primary, a delay prevents no unnecessary replacement.
    if (state.reason == failover_reason::superseded ||
        state.reason == failover_reason::no_primary) {
        return milliseconds(0);
    }
    const std::size_t index = std::min<std::size_t>(
        static_cast<std::size_t>(count_promotions(state, now)), hysteresis_waits.size() - 1);
    return hysteresis_waits.at(index);
}

/** Whether the primary is known and answers, and there is no evidence for replacing it. */
bool is_primary_usable(const failover_state& state) {
    const group_evidence& evidence = state.evidence;
    return evidence.primary && evidence.answers.contains(evidence.primary->target) &&
           !evidence.is_primary_unreachable && !evidence.is_primary_cut_off &&
           !evidence.is_replica_stranded;
}

bool has_evidence(const group_evidence& evidence) {
    return evidence.is_primary_unreachable || evidence.is_primary_cut_off ||
           evidence.is_superseded || evidence.is_without_primary || evidence.is_replica_stranded;
}

/** Counts over the recent observations, this poller's included. */
struct observation_counts {
    int answered = 1;
    int agreed = 0;
    bool is_contradicted = false;
    bool is_newer_known = false;  ///< Another poller knows a primary of a higher term.
};

observation_counts count_observations(const failover_state& state, time_point now) {
    observation_counts counts;
    counts.agreed = state.evidence.is_primary_unreachable ? 1 : 0;
    counts.is_contradicted = state.evidence.is_contradicted;
    for (const std::string& vm : state.pollers.vms) {
        const auto it = state.observations.find(vm);
        if (vm == state.vm || it == state.observations.end() ||
            now - it->second.received_at > observation_validity) {
            continue;
        }
        const primary_observation& observation = it->second.observation;
        if (observation.primary.term > state.evidence.primary->term) {
            counts.is_newer_known = true;
        }
        if (observation.primary != *state.evidence.primary) {
            continue;
        }
        ++counts.answered;
        counts.agreed += observation.is_unreachable ? 1 : 0;
        counts.is_contradicted = counts.is_contradicted || observation.is_contradicted;
    }
    return counts;
}

bool is_unreachability_confirmed(failover_state& state, time_point now) {
    if (!state.evidence.primary || !state.evidence.is_primary_unreachable) {
        state.unanimous_since.reset();
        return false;
    }
    const observation_counts counts = count_observations(state, now);
    const int required = state.pollers.is_only_proxy ? 1 : 2;
    const bool is_majority = counts.agreed >= required && counts.agreed * 2 > counts.answered;
    const bool is_unanimous = is_majority && counts.agreed == counts.answered;
    if (counts.is_newer_known || !is_unanimous) {
        state.unanimous_since.reset();
    } else if (!state.unanimous_since) {
        state.unanimous_since = now;
    }
    if (counts.is_newer_known || !is_majority) {
        return false;
    }
    const bool is_majority_of_all =
        static_cast<std::size_t>(counts.agreed) * 2 > state.pollers.vms.size();
    if (!is_majority_of_all && now - state.suspected_at < observation_wait) {
        return false;
    }
    return !counts.is_contradicted ||
           (state.unanimous_since && now - *state.unanimous_since >= contradicted_delay);
}

failover_reason find_failover_reason(failover_state& state, time_point now) {
    const bool is_unreachable = is_unreachability_confirmed(state, now);
    if (state.evidence.is_superseded) {
        return failover_reason::superseded;
    }
    if (state.evidence.is_without_primary) {
        return failover_reason::no_primary;
    }
    if (state.evidence.is_primary_cut_off) {
        return failover_reason::cut_off;
    }
    if (is_unreachable) {
        return failover_reason::unreachable;
    }
    return state.evidence.is_replica_stranded ? failover_reason::replica_stranded
                                              : failover_reason::none;
}

void return_to_watching(failover_state& state, action_list& actions, const std::string& message) {
    if (state.planned) {
        actions.emplace_back(set_writes_paused{false});
        actions.emplace_back(primary_change_finished{false, message});
        state.planned.reset();
    }
    state.phase = failover_phase::watching;
    state.reason = failover_reason::none;
    state.unanimous_since.reset();
    state.promotion_target.reset();
    state.fenced.clear();
    state.refused.clear();
    state.failover_attempts = 0;
}

void send_fences(failover_state& state, time_point now, action_list& actions) {
    state.calls_sent_at = now;
    for (const std::string& target : state.evidence.targets) {
        if (!state.fenced.contains(target) && !state.refused.contains(target)) {
            actions.emplace_back(send_term_call{target, false, state.term, state.claimant});
        }
    }
}

void begin_claim(failover_state& state, time_point now, action_list& actions) {
    ++state.attempt;
    ++state.failover_attempts;
    state.highest_term = std::max(state.highest_term, state.evidence.highest_term) + 1;
    state.term = state.highest_term;
    state.claimant =
        state.vm + "/" + std::to_string(state.incarnation) + "/" + std::to_string(state.attempt);
    state.fenced.clear();
    state.refused.clear();
    state.promotion_target.reset();
    state.phase = failover_phase::fencing;
    state.claimed_at = now;
    send_fences(state, now, actions);
}

void schedule_retry(failover_state& state, time_point now, action_list& actions) {
    state.phase = failover_phase::claiming;
    state.claim_due = now + next_retry_delay(state);
    state.fenced.clear();
    state.refused.clear();
    state.promotion_target.reset();
    actions.emplace_back(poll_targets{});
}

void gather_observations(failover_state& state, time_point now, action_list& actions) {
    state.poll_requested_at = now;
    actions.emplace_back(poll_targets{});
    if (const std::optional<primary_observation> own = get_observation(state, now)) {
        actions.emplace_back(request_observations{*own});
    }
}

void advance_planned(failover_state& state, time_point now, action_list& actions) {
    const planned_primary_change& planned = *state.planned;
    const group_evidence& evidence = state.evidence;
    if (!evidence.primary || evidence.primary->term != planned.term) {
        return_to_watching(state, actions, "the primary changed meanwhile");
        return;
    }
    if (now - planned.requested_at >= catch_up_timeout) {
        return_to_watching(state, actions, "the target did not catch up within 2 s");
        return;
    }
    const auto primary = evidence.answers.find(evidence.primary->target);
    const auto target = evidence.answers.find(planned.target);
    const bool is_drained = now - planned.requested_at >= write_drain_time;
    const bool is_caught_up = primary != evidence.answers.end() &&
                              target != evidence.answers.end() &&
                              target->second.get_log_end() >= primary->second.get_log_end();
    if (is_drained && is_caught_up) {
        state.reason = failover_reason::planned;
        state.lost_primary = evidence.primary;
        state.lost_primary_reached_at = now;
        state.declared_at = now;
        begin_claim(state, now, actions);
        return;
    }
    if (now - state.poll_requested_at >= suspicion_interval / 2) {
        state.poll_requested_at = now;
        actions.emplace_back(poll_targets{});
    }
}

void advance_watching(failover_state& state, time_point now, action_list& actions) {
    if (has_evidence(state.evidence)) {
        state.phase = failover_phase::suspecting;
        state.suspected_at = now;
        gather_observations(state, now, actions);
        return;
    }
    if (state.evidence.is_target_failing && now - state.poll_requested_at >= suspicion_interval) {
        gather_observations(state, now, actions);
    }
    if (state.planned) {
        advance_planned(state, now, actions);
    }
}

void advance_suspecting(failover_state& state, time_point now, action_list& actions) {
    if (!has_evidence(state.evidence)) {
        state.phase = failover_phase::watching;
        state.unanimous_since.reset();
        return;
    }
    const failover_reason reason = find_failover_reason(state, now);
    if (reason != failover_reason::none &&
        get_rank(state) < static_cast<int>(state.pollers.vms.size())) {
        state.reason = reason;
        state.lost_primary = state.evidence.primary;
        state.lost_primary_reached_at =
            state.lost_primary ? state.evidence.primary_reached_at : now;
        if (state.lost_primary && reason != failover_reason::replica_stranded) {
            state.last_lost_at[state.lost_primary->target] = now;
        }
        state.declared_at = now;
        state.claim_due = now + rank_delay * get_rank(state) + get_hysteresis(state, now);
        state.phase = failover_phase::claiming;
        return;
    }
    if (now - state.poll_requested_at >= suspicion_interval) {
        gather_observations(state, now, actions);
    }
}

void advance_claiming(failover_state& state, time_point now, action_list& actions) {
    if (is_primary_usable(state)) {
        return_to_watching(state, actions, "another primary is in place");
        return;
    }
    if (now < state.claim_due) {
        if (now - state.poll_requested_at >= suspicion_interval) {
            gather_observations(state, now, actions);
        }
        return;
    }
    // A first claim requires current evidence; a later one must complete the fencing.
    if (state.failover_attempts == 0 && find_failover_reason(state, now) == failover_reason::none) {
        state.phase = failover_phase::suspecting;
        return;
    }
    begin_claim(state, now, actions);
}

bool is_superseded_by_other(const failover_state& state) {
    const std::optional<primary_view>& primary = state.evidence.primary;
    return primary && (primary->term > state.term ||
                       (primary->term == state.term && primary->target != state.promotion_target));
}

void send_promote(failover_state& state, time_point now, action_list& actions) {
    state.calls_sent_at = now;
    actions.emplace_back(send_term_call{*state.promotion_target, true, state.term, state.claimant});
}

bool was_lost_recently(const failover_state& state, const std::string& target, time_point now) {
    const auto failed = state.last_lost_at.find(target);
    return failed != state.last_lost_at.end() && now - failed->second <= recent_loss_window;
}

template <typename Predicate>
fenced_targets select_fenced(const failover_state& state, const Predicate& is_selected) {
    fenced_targets selected;
    for (const auto& [name, status] : state.fenced) {
        if (is_selected(name)) {
            selected.emplace(name, status);
        }
    }
    return selected;
}

/**
 * The fenced targets to choose from, or empty while others may still answer.
 *
 * Any majority of fenced targets is safe to choose from. The lost primary usually has the longest
 * log, with writes that no other target has, so a majority without it is preferred: promoting a
 * primary that is still cut off would not end the outage.
 */
std::optional<fenced_targets> get_candidates(const failover_state& state, time_point now,
                                             const failover_rules& rules) {
    const std::size_t quorum = rules.get_quorum(state);
    if (state.fenced.size() < quorum) {
        return std::nullopt;
    }
    const bool is_complete =
        state.fenced.size() + state.refused.size() >= state.evidence.targets.size();
    const bool may_wait = !is_complete && now - state.claimed_at < fence_grace;
    if (state.reason == failover_reason::planned ||
        state.reason == failover_reason::replica_stranded) {
        return may_wait ? std::nullopt : std::optional(state.fenced);
    }
    const fenced_targets stable = select_fenced(
        state, [&](const std::string& name) { return !was_lost_recently(state, name, now); });
    if (stable.size() >= quorum) {
        return stable;
    }
    if (may_wait) {
        return std::nullopt;
    }
    // In a group of three, two losses within a minute leave no stable majority. The current lost
    // primary must still not be chosen again.
    const fenced_targets others = select_fenced(state, [&](const std::string& name) {
        return !state.lost_primary || state.lost_primary->target != name;
    });
    return others.size() >= quorum ? others : state.fenced;
}

void advance_fencing(failover_state& state, time_point now, action_list& actions,
                     const failover_rules& rules) {
    if (is_superseded_by_other(state)) {
        return_to_watching(state, actions, "another claimant was first");
        return;
    }
    if (const std::optional<fenced_targets> candidates = get_candidates(state, now, rules)) {
        state.fenced_at = now;
        state.promotion_target = rules.choose_target(state, *candidates, now);
        state.phase = failover_phase::promoting;
        send_promote(state, now, actions);
        return;
    }
    const bool is_majority_impossible =
        state.evidence.targets.size() < state.refused.size() + state.evidence.majority;
    if (is_majority_impossible || now - state.claimed_at >= fence_timeout) {
        schedule_retry(state, now, actions);
        return;
    }
    if (now - state.calls_sent_at >= resend_interval) {
        send_fences(state, now, actions);
    }
}

void begin_adopting(failover_state& state, time_point now, action_list& actions) {
    state.phase = failover_phase::adopting;
    state.promoted_at = now;
    state.promotions[state.term] = now;
    actions.emplace_back(poll_targets{});
    // Announces the new primary now instead of at the other pollers' next heartbeat.
    actions.emplace_back(request_observations{{state.vm,
                                               {*state.promotion_target, state.term},
                                               false,
                                               false,
                                               count_promotions(state, now)}});
}

void advance_promoting(failover_state& state, time_point now, action_list& actions,
                       const failover_rules& rules) {
    if (is_superseded_by_other(state)) {
        return_to_watching(state, actions, "another claimant was first");
        return;
    }
    if (state.evidence.primary && state.evidence.primary->term == state.term) {
        // The answer was lost, but the target reports the new term.
        begin_adopting(state, now, actions);
        return;
    }
    if (now - state.fenced_at >= promote_timeout) {
        schedule_retry(state, now, actions);
        return;
    }
    if (now - state.calls_sent_at >= resend_interval) {
        if (rules.may_change_target) {
            state.fenced.erase(*state.promotion_target);
            state.promotion_target = state.fenced.empty()
                                         ? state.promotion_target
                                         : rules.choose_target(state, state.fenced, now);
        }
        send_promote(state, now, actions);
    }
}

milliseconds get_elapsed(time_point from, time_point to) {
    return std::max(milliseconds(0), duration_cast<milliseconds>(to - from));
}

/** Other pollers' observations of `primary`; those that could not reach it take precedence. */
std::vector<primary_observation> get_observations_of(const failover_state& state,
                                                     const std::optional<primary_view>& primary) {
    std::map<std::string, primary_observation> result;
    for (const auto& [vm, observation] : state.loss_observations) {
        if (primary && observation.primary == *primary) {
            result.emplace(vm, observation);
        }
    }
    for (const auto& [vm, timed] : state.observations) {
        if (primary && timed.observation.primary == *primary) {
            result.emplace(vm, timed.observation);
        }
    }
    std::vector<primary_observation> list;
    for (const auto& [vm, observation] : result) {
        if (vm != state.vm) {
            list.push_back(observation);
        }
    }
    return list;
}

promotion_report make_report(const failover_state& state, bool is_adopted, time_point now) {
    promotion_report report;
    report.reason = state.reason;
    report.before = state.lost_primary;
    report.after = {*state.promotion_target, state.term};
    report.claimant = state.claimant;
    report.attempts = state.failover_attempts;
    report.is_adopted = is_adopted;
    report.detection = get_elapsed(state.lost_primary_reached_at, state.declared_at);
    report.claim = get_elapsed(state.declared_at, state.claimed_at);
    report.fencing = get_elapsed(state.claimed_at, state.fenced_at);
    report.promotion = get_elapsed(state.fenced_at, state.promoted_at);
    report.adoption = get_elapsed(state.promoted_at, now);
    report.observations = get_observations_of(state, state.lost_primary);
    report.fenced = state.fenced;
    return report;
}

void advance_adopting(failover_state& state, time_point now, action_list& actions) {
    const bool is_superseded = is_superseded_by_other(state);
    const auto followers = std::ranges::count_if(state.evidence.answers, [&](const auto& entry) {
        return entry.second.follow_term == state.term;
    });
    const bool is_adopted = !is_superseded && state.evidence.primary &&
                            static_cast<std::size_t>(followers) >= state.evidence.majority;
    if (!is_superseded && !is_adopted && now - state.promoted_at < adoption_timeout) {
        if (now - state.poll_requested_at >= suspicion_interval / 2) {
            state.poll_requested_at = now;
            actions.emplace_back(poll_targets{});
        }
        return;
    }
    actions.emplace_back(promotion_finished{make_report(state, is_adopted, now)});
    if (state.planned) {
        const bool is_done = !is_superseded && state.promotion_target == state.planned->target;
        actions.emplace_back(set_writes_paused{false});
        actions.emplace_back(
            primary_change_finished{is_done, is_done ? "done" : "another target was further"});
        state.planned.reset();
    }
    return_to_watching(state, actions, "");
}

void advance(failover_state& state, time_point now, action_list& actions,
             const failover_rules& rules) {
    // A phase may lead to the next one immediately; a full cycle is never needed.
    for (int i = 0; i < 6; ++i) {
        const failover_phase before = state.phase;
        switch (state.phase) {
            case failover_phase::watching:
                advance_watching(state, now, actions);
                break;
            case failover_phase::suspecting:
                advance_suspecting(state, now, actions);
                break;
            case failover_phase::claiming:
                advance_claiming(state, now, actions);
                break;
            case failover_phase::fencing:
                advance_fencing(state, now, actions, rules);
                break;
            case failover_phase::promoting:
                advance_promoting(state, now, actions, rules);
                break;
            case failover_phase::adopting:
                advance_adopting(state, now, actions);
                break;
        }
        if (state.phase == before) {
            return;
        }
    }
}

void remove_old_promotions(failover_state& state, time_point now) {
    std::erase_if(state.promotions,
                  [&](const auto& entry) { return now - entry.second > hysteresis_window; });
}

failover_reason get_suspicion(const group_evidence& evidence) {
    if (evidence.is_primary_unreachable) {
        return failover_reason::unreachable;
    }
    return evidence.is_primary_cut_off ? failover_reason::cut_off : failover_reason::none;
}

/** Describes an observed promotion; `state` is still the one before it. */
promotion_seen make_promotion_seen(const failover_state& state, const group_evidence& evidence,
                                   time_point now) {
    promotion_seen seen;
    seen.after = *evidence.primary;
    const auto answer = evidence.answers.find(seen.after.target);
    if (answer != evidence.answers.end() && answer->second.accepted_term == seen.after.term) {
        seen.claimant = answer->second.accepted_claimant;
    }
    if (state.last_primary) {
        seen.suspicion = state.last_primary->suspicion;
        seen.before = state.last_primary->primary;
        seen.gap = get_elapsed(state.last_primary->reached_at, now);
    }
    seen.observations = get_observations_of(state, seen.before);
    return seen;
}

/** Updates the last known primary, or keeps it when there is no primary. */
void update_last_primary(failover_state& state, const group_evidence& evidence) {
    if (!evidence.primary) {
        return;
    }
    if (state.last_primary && state.last_primary->primary != *evidence.primary) {
        std::erase_if(state.loss_observations, [&](const auto& entry) {
            return entry.second.primary.term < state.last_primary->primary.term;
        });
    }
    state.last_primary =
        last_known_primary{*evidence.primary, evidence.primary_reached_at, get_suspicion(evidence)};
}

bool is_own_promotion(const failover_state& state, state::term_number term) {
    return state.term == term &&
           (state.phase == failover_phase::promoting || state.phase == failover_phase::adopting);
}

void apply(failover_state& state, const evidence_updated& event, time_point now,
           action_list& actions) {
    const std::optional<primary_view>& before = state.evidence.primary;
    const std::optional<primary_view>& after = event.evidence.primary;
    // The first primary ever seen is not a promotion.
    const state::term_number known_term = before               ? before->term
                                          : state.lost_primary ? state.lost_primary->term
                                                               : 0;
    if (after && known_term != 0 && after->term > known_term) {
        const bool is_new = state.promotions.try_emplace(after->term, now).second;
        if (is_new && !is_own_promotion(state, after->term)) {
            actions.emplace_back(make_promotion_seen(state, event.evidence, now));
        }
    }
    update_last_primary(state, event.evidence);
    state.evidence = event.evidence;
    state.highest_term = std::max(state.highest_term, event.evidence.highest_term);
    remove_old_promotions(state, now);
}

void apply(failover_state& state, const pollers_assigned& event, time_point /*now*/,
           action_list& /*actions*/) {
    state.pollers = event;
}

void apply(failover_state& state, const observation_received& event, time_point now,
           action_list& /*actions*/) {
    state.observations[event.observation.observer] = {event.observation, now};
    if (event.observation.is_unreachable) {
        state.loss_observations[event.observation.observer] = event.observation;
    }
    std::erase_if(state.observations, [&](const auto& entry) {
        return now - entry.second.received_at > hysteresis_window;
    });
}

void apply(failover_state& state, const observation_withdrawn& event, time_point /*now*/,
           action_list& /*actions*/) {
    state.observations.erase(event.observer);
}

void apply(failover_state& state, const term_call_ended& event, time_point now,
           action_list& actions) {
    // Answers to an earlier attempt do not apply to this one.
    if (event.term != state.term || event.claimant != state.claimant) {
        return;
    }
    if (!event.is_promote && state.phase == failover_phase::fencing) {
        if (event.outcome == call_outcome::accepted) {
            state.fenced[event.target] = *event.status;
        } else if (event.outcome == call_outcome::refused) {
            state.refused.insert(event.target);
        }
        return;
    }
    if (!event.is_promote || state.phase != failover_phase::promoting ||
        event.target != state.promotion_target) {
        return;
    }
    if (event.outcome == call_outcome::accepted) {
        begin_adopting(state, now, actions);
    } else if (event.outcome == call_outcome::refused) {
        schedule_retry(state, now, actions);
    }
}

void apply(failover_state& /*state*/, const failover_checked& /*event*/, time_point /*now*/,
           action_list& /*actions*/) {}

void apply(failover_state& state, const claim_dropped& /*event*/, time_point /*now*/,
           action_list& actions) {
    return_to_watching(state, actions, "the proxy was paused");
    state.observations.clear();
    state.evidence = group_evidence{};
}

void apply(failover_state& state, const primary_change_requested& event, time_point now,
           action_list& actions) {
    std::string refusal;
    if (state.phase != failover_phase::watching || state.planned) {
        refusal = "the primary is already being replaced";
    } else if (!is_primary_usable(state)) {
        refusal = "the current primary does not answer";
    } else if (!state.evidence.answers.contains(event.target)) {
        refusal = "the target is unknown or does not answer";
    }
    const bool is_in_place = refusal.empty() && state.evidence.primary->target == event.target;
    if (!refusal.empty() || is_in_place) {
        actions.emplace_back(primary_change_finished{
            is_in_place, is_in_place ? "the target is already the primary" : refusal});
        return;
    }
    state.planned = planned_primary_change{event.target, state.evidence.primary->term, now};
    actions.emplace_back(set_writes_paused{true});
    actions.emplace_back(poll_targets{});
}

std::string choose_most_advanced(const failover_state& state, const fenced_targets& candidates,
                                 time_point now) {
    using key = std::tuple<state::log_point, bool, bool, int>;
    const auto get_key = [&](const std::string& name, const target_status& status) {
        const bool is_requested = (state.planned && state.planned->target == name) ||
                                  (state.reason == failover_reason::replica_stranded &&
                                   state.lost_primary && state.lost_primary->target == name);
        const bool is_stable = !was_lost_recently(state, name, now);
        const auto preference = state.pollers.preference.find(name);
        return key{status.get_log_end(), is_requested, is_stable,
                   preference == state.pollers.preference.end() ? 0 : preference->second};
    };
    const std::string* best = nullptr;
    key best_key;
    for (const auto& [name, status] : candidates) {
        const key candidate = get_key(name, status);
        // The map is ordered by name, so the first name wins a tie.
        if (best == nullptr || candidate > best_key) {
            best = &name;
            best_key = candidate;
        }
    }
    return best == nullptr ? std::string() : *best;
}

std::size_t get_majority(const failover_state& state) {
    return state.evidence.majority;
}

}  // namespace

const failover_rules standard_failover_rules{choose_most_advanced, get_majority, false};

std::string to_string(failover_phase value) {
    switch (value) {
        case failover_phase::watching:
            break;
        case failover_phase::suspecting:
            return "suspecting";
        case failover_phase::claiming:
            return "claiming";
        case failover_phase::fencing:
            return "fencing";
        case failover_phase::promoting:
            return "promoting";
        case failover_phase::adopting:
            return "adopting";
    }
    return "watching";
}

std::string to_string(failover_reason value) {
    switch (value) {
        case failover_reason::none:
            break;
        case failover_reason::unreachable:
            return "unreachable";
        case failover_reason::cut_off:
            return "cut_off";
        case failover_reason::superseded:
            return "superseded";
        case failover_reason::no_primary:
            return "no_primary";
        case failover_reason::replica_stranded:
            return "replica_stranded";
        case failover_reason::planned:
            return "planned";
    }
    return "none";
}

failover_step step_failover(failover_state state, const failover_event& event, time_point now,
                            const failover_rules& rules) {
    action_list actions;
    std::visit([&](const auto& value) { apply(state, value, now, actions); }, event);
    advance(state, now, actions, rules);
    return {std::move(state), std::move(actions)};
}

std::optional<primary_observation> get_recent_observation(const failover_state& state,
                                                          time_point now) {
    const group_evidence& evidence = state.evidence;
    const bool is_recent =
        evidence.is_primary_unreachable || now - evidence.primary_reached_at <= own_poll_max_age ||
        (evidence.is_contradicted && now - evidence.contradicted_at <= own_poll_max_age);
    return is_recent ? get_observation(state, now) : std::nullopt;
}

std::optional<primary_observation> get_observation(const failover_state& state, time_point now) {
    if (!state.evidence.primary) {
        return std::nullopt;
    }
    const auto recent = std::ranges::count_if(state.promotions, [&](const auto& entry) {
        return now - entry.second <= hysteresis_window;
    });
    return primary_observation{state.vm, *state.evidence.primary,
                               state.evidence.is_primary_unreachable,
                               state.evidence.is_contradicted, static_cast<int>(recent)};
}

time_point get_next_check(const failover_state& state, time_point now) {
    if (state.phase == failover_phase::watching && !state.planned) {
        return now + hysteresis_window;
    }
    // Negligible cost, and short compared with every deadline above.
    return now + milliseconds(10);
}

}  // namespace hornbeamhook::coordination
