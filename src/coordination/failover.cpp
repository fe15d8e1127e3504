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

/// Each rank gives the pollers before it this much time to act alone.
constexpr milliseconds rank_delay{300};
/// Pollers repeat their question, and poll, this often while they suspect a loss.
constexpr milliseconds suspicion_interval{100};
/// Observations older than this do not count.
constexpr milliseconds observation_validity{1000};
/// A poller whose polls are older gives no observation; a standby poller may not have polled since.
constexpr milliseconds answer_freshness{500};
/// Pollers that were asked get this long to poll before a majority of the answers decides alone.
constexpr milliseconds on_demand_time{100};
/// When replicas still hear the primary, all pollers must agree for this long.
constexpr milliseconds contradicted_delay{1500};
/// Fence and promote calls without answer are repeated after this time.
constexpr milliseconds resend_interval{300};
/// A promote that stays without answer for this long is given up for a new term.
constexpr milliseconds promote_timeout{1000};
/// A claim that does not fence a majority for this long is started anew.
constexpr milliseconds fence_timeout{2000};
/// The new primary's replicas normally follow within one heartbeat.
constexpr milliseconds adoption_timeout{2000};
/// Slower targets get this long to be fenced too, where a better choice depends on them.
constexpr milliseconds fence_grace{200};
/// Writes under way when a planned change pauses the homes get this long to finish.
constexpr milliseconds settle_time{100};
/// Bound of docs/design.md section 5 for a planned change.
constexpr milliseconds catch_up_timeout{2000};
constexpr int min_retry_ms = 50;
constexpr int max_retry_ms = 250;
/// Window and waits of the hysteresis of docs/design.md section 5.
constexpr minutes hysteresis_window{10};
constexpr std::array<seconds, 4> hysteresis_waits = {seconds(0), seconds(1), seconds(2),
                                                     seconds(4)};
/// A target that was lost as primary within this time is not preferred.
constexpr seconds recent_failure{60};

using action_list = std::vector<failover_action>;

int get_rank(const failover_state& state) {
    const auto it = std::ranges::find(state.pollers.vms, state.vm);
    return static_cast<int>(it - state.pollers.vms.begin());
}

milliseconds next_retry_delay(failover_state& state) {
    // Linear congruential step of Knuth's MMIX; only spreads claimants apart.
    state.random = state.random * 6364136223846793005ULL + 1442695040888963407ULL;
    return milliseconds(min_retry_ms +
                        static_cast<int>((state.random >> 33U) % (max_retry_ms - min_retry_ms)));
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
    // Without a primary there is nobody to replace, so waiting protects nothing.
    if (state.reason == loss_reason::superseded || state.reason == loss_reason::no_primary) {
        return milliseconds(0);
    }
    const std::size_t index = std::min<std::size_t>(
        static_cast<std::size_t>(count_promotions(state, now)), hysteresis_waits.size() - 1);
    return hysteresis_waits.at(index);
}

/** The primary is known, answers, and nothing else speaks for replacing it. */
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

/** Counts of the pollers whose answers are recent, this one included. */
struct poll_of_pollers {
    int answered = 1;
    int agreed = 0;
    bool is_contradicted = false;
    bool is_newer_known = false;  ///< Another poller knows a primary of a higher term.
};

poll_of_pollers count_observations(const failover_state& state, time_point now) {
    poll_of_pollers counts;
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

bool is_unreachable_for_all(failover_state& state, time_point now) {
    if (!state.evidence.primary || !state.evidence.is_primary_unreachable) {
        state.agreed_since.reset();
        return false;
    }
    const poll_of_pollers counts = count_observations(state, now);
    const int required = state.pollers.is_only_proxy ? 1 : 2;
    const bool is_majority = counts.agreed >= required && counts.agreed * 2 > counts.answered;
    const bool is_unanimous = is_majority && counts.agreed == counts.answered;
    if (counts.is_newer_known || !is_unanimous) {
        state.agreed_since.reset();
    } else if (!state.agreed_since) {
        state.agreed_since = now;
    }
    if (counts.is_newer_known || !is_majority) {
        return false;
    }
    const bool is_majority_of_all =
        static_cast<std::size_t>(counts.agreed) * 2 > state.pollers.vms.size();
    if (!is_majority_of_all && now - state.suspected_at < on_demand_time) {
        return false;
    }
    return !counts.is_contradicted ||
           (state.agreed_since && now - *state.agreed_since >= contradicted_delay);
}

loss_reason find_loss(failover_state& state, time_point now) {
    const bool is_unreachable = is_unreachable_for_all(state, now);
    if (state.evidence.is_superseded) {
        return loss_reason::superseded;
    }
    if (state.evidence.is_without_primary) {
        return loss_reason::no_primary;
    }
    if (state.evidence.is_primary_cut_off) {
        return loss_reason::cut_off;
    }
    if (is_unreachable) {
        return loss_reason::unreachable;
    }
    return state.evidence.is_replica_stranded ? loss_reason::replica_stranded : loss_reason::none;
}

void return_to_watching(failover_state& state, action_list& actions, const std::string& message) {
    if (state.planned) {
        actions.emplace_back(pause_writes{false});
        actions.emplace_back(change_finished{false, message});
        state.planned.reset();
    }
    state.phase = failover_phase::watching;
    state.reason = loss_reason::none;
    state.agreed_since.reset();
    state.chosen.reset();
    state.fenced.clear();
    state.refused.clear();
    state.attempts_of_failover = 0;
}

void send_fences(failover_state& state, time_point now, action_list& actions) {
    state.sent_at = now;
    for (const std::string& target : state.evidence.targets) {
        if (!state.fenced.contains(target) && !state.refused.contains(target)) {
            actions.emplace_back(send_term_call{target, false, state.term, state.claimant});
        }
    }
}

void begin_claim(failover_state& state, time_point now, action_list& actions) {
    ++state.attempt;
    ++state.attempts_of_failover;
    state.highest_term = std::max(state.highest_term, state.evidence.highest_term) + 1;
    state.term = state.highest_term;
    state.claimant =
        state.vm + "/" + std::to_string(state.incarnation) + "/" + std::to_string(state.attempt);
    state.fenced.clear();
    state.refused.clear();
    state.chosen.reset();
    state.phase = failover_phase::fencing;
    state.claimed_at = now;
    send_fences(state, now, actions);
}

void retry_later(failover_state& state, time_point now, action_list& actions) {
    state.phase = failover_phase::claiming;
    state.claim_due = now + next_retry_delay(state);
    state.fenced.clear();
    state.refused.clear();
    state.chosen.reset();
    actions.emplace_back(poll_targets{});
}

void ask(failover_state& state, time_point now, action_list& actions) {
    state.asked_at = now;
    actions.emplace_back(poll_targets{});
    if (const std::optional<primary_observation> own = get_observation(state, now)) {
        actions.emplace_back(ask_observations{*own});
    }
}

void advance_planned(failover_state& state, time_point now, action_list& actions) {
    const planned_change& planned = *state.planned;
    const group_evidence& evidence = state.evidence;
    if (!evidence.primary || evidence.primary->term != planned.term) {
        return_to_watching(state, actions, "the primary changed meanwhile");
        return;
    }
    if (now - planned.requested_at >= catch_up_timeout) {
        return_to_watching(state, actions, "the target did not catch up in 2 s");
        return;
    }
    const auto primary = evidence.answers.find(evidence.primary->target);
    const auto target = evidence.answers.find(planned.target);
    const bool is_settled = now - planned.requested_at >= settle_time;
    const bool is_caught_up = primary != evidence.answers.end() &&
                              target != evidence.answers.end() &&
                              target->second.get_log_end() >= primary->second.get_log_end();
    if (is_settled && is_caught_up) {
        state.reason = loss_reason::planned;
        state.lost = evidence.primary;
        state.last_reached = now;
        state.declared_at = now;
        begin_claim(state, now, actions);
        return;
    }
    if (now - state.asked_at >= suspicion_interval / 2) {
        state.asked_at = now;
        actions.emplace_back(poll_targets{});
    }
}

void advance_watching(failover_state& state, time_point now, action_list& actions) {
    if (has_evidence(state.evidence)) {
        state.phase = failover_phase::suspecting;
        state.suspected_at = now;
        ask(state, now, actions);
        return;
    }
    if (state.evidence.is_target_failing && now - state.asked_at >= suspicion_interval) {
        ask(state, now, actions);
    }
    if (state.planned) {
        advance_planned(state, now, actions);
    }
}

void advance_suspecting(failover_state& state, time_point now, action_list& actions) {
    if (!has_evidence(state.evidence)) {
        state.phase = failover_phase::watching;
        state.agreed_since.reset();
        return;
    }
    const loss_reason reason = find_loss(state, now);
    if (reason != loss_reason::none &&
        get_rank(state) < static_cast<int>(state.pollers.vms.size())) {
        state.reason = reason;
        state.lost = state.evidence.primary;
        state.last_reached = state.lost ? state.evidence.primary_reached_at : now;
        if (state.lost && reason != loss_reason::replica_stranded) {
            state.failed_at[state.lost->target] = now;
        }
        state.declared_at = now;
        state.claim_due = now + rank_delay * get_rank(state) + get_hysteresis(state, now);
        state.phase = failover_phase::claiming;
        return;
    }
    if (now - state.asked_at >= suspicion_interval) {
        ask(state, now, actions);
    }
}

void advance_claiming(failover_state& state, time_point now, action_list& actions) {
    if (is_primary_usable(state)) {
        return_to_watching(state, actions, "another primary is in place");
        return;
    }
    if (now < state.claim_due) {
        if (now - state.asked_at >= suspicion_interval) {
            ask(state, now, actions);
        }
        return;
    }
    // A first claim needs evidence that still holds; a later one finishes what fencing began.
    if (state.attempts_of_failover == 0 && find_loss(state, now) == loss_reason::none) {
        state.phase = failover_phase::suspecting;
        return;
    }
    begin_claim(state, now, actions);
}

bool is_superseded_by_other(const failover_state& state) {
    const std::optional<primary_view>& primary = state.evidence.primary;
    return primary && (primary->term > state.term ||
                       (primary->term == state.term && primary->target != state.chosen));
}

void send_promote(failover_state& state, time_point now, action_list& actions) {
    state.sent_at = now;
    actions.emplace_back(send_term_call{*state.chosen, true, state.term, state.claimant});
}

bool has_failed_lately(const failover_state& state, const std::string& target, time_point now) {
    const auto failed = state.failed_at.find(target);
    return failed != state.failed_at.end() && now - failed->second <= recent_failure;
}

template <typename Predicate>
fenced_targets select_fenced(const failover_state& state, const Predicate& is_wanted) {
    fenced_targets selected;
    for (const auto& [name, status] : state.fenced) {
        if (is_wanted(name)) {
            selected.emplace(name, status);
        }
    }
    return selected;
}

/**
 * The fenced targets to choose from, or empty while others may still answer.
 *
 * Any majority of fenced targets is safe to choose from. The lost primary usually has the longest
 * log, with writes nobody else holds, so a majority without it is preferred: promoting a primary
 * that is cut off again would end nothing.
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
    if (state.reason == loss_reason::planned || state.reason == loss_reason::replica_stranded) {
        return may_wait ? std::nullopt : std::optional(state.fenced);
    }
    const fenced_targets steady = select_fenced(
        state, [&](const std::string& name) { return !has_failed_lately(state, name, now); });
    if (steady.size() >= quorum) {
        return steady;
    }
    if (may_wait) {
        return std::nullopt;
    }
    // In a group of three, two losses within a minute leave no steady majority; the one that is
    // lost now must still not be chosen again.
    const fenced_targets others = select_fenced(
        state, [&](const std::string& name) { return !state.lost || state.lost->target != name; });
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
        state.chosen = rules.choose_target(state, *candidates, now);
        state.phase = failover_phase::promoting;
        send_promote(state, now, actions);
        return;
    }
    const bool is_hopeless =
        state.evidence.targets.size() < state.refused.size() + state.evidence.majority;
    if (is_hopeless || now - state.claimed_at >= fence_timeout) {
        retry_later(state, now, actions);
        return;
    }
    if (now - state.sent_at >= resend_interval) {
        send_fences(state, now, actions);
    }
}

void begin_adopting(failover_state& state, time_point now, action_list& actions) {
    state.phase = failover_phase::adopting;
    state.promoted_at = now;
    state.promotions[state.term] = now;
    actions.emplace_back(poll_targets{});
    // The other pollers hear of the new primary at once instead of at their next heartbeat.
    actions.emplace_back(ask_observations{
        {state.vm, {*state.chosen, state.term}, false, false, count_promotions(state, now)}});
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
        retry_later(state, now, actions);
        return;
    }
    if (now - state.sent_at >= resend_interval) {
        if (rules.may_change_target) {
            state.fenced.erase(*state.chosen);
            state.chosen =
                state.fenced.empty() ? state.chosen : rules.choose_target(state, state.fenced, now);
        }
        send_promote(state, now, actions);
    }
}

milliseconds get_span(time_point from, time_point to) {
    return std::max(milliseconds(0), duration_cast<milliseconds>(to - from));
}

/** What other pollers said of `primary`; that they could not reach it counts most. */
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
    report.before = state.lost;
    report.after = {*state.chosen, state.term};
    report.claimant = state.claimant;
    report.attempts = state.attempts_of_failover;
    report.is_adopted = is_adopted;
    report.detection = get_span(state.last_reached, state.declared_at);
    report.claim = get_span(state.declared_at, state.claimed_at);
    report.fencing = get_span(state.claimed_at, state.fenced_at);
    report.promotion = get_span(state.fenced_at, state.promoted_at);
    report.adoption = get_span(state.promoted_at, now);
    report.observations = get_observations_of(state, state.lost);
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
        if (now - state.asked_at >= suspicion_interval / 2) {
            state.asked_at = now;
            actions.emplace_back(poll_targets{});
        }
        return;
    }
    actions.emplace_back(promotion_finished{make_report(state, is_adopted, now)});
    if (state.planned) {
        const bool is_done = !is_superseded && state.chosen == state.planned->target;
        actions.emplace_back(pause_writes{false});
        actions.emplace_back(
            change_finished{is_done, is_done ? "done" : "another target was further"});
        state.planned.reset();
    }
    return_to_watching(state, actions, "");
}

void advance(failover_state& state, time_point now, action_list& actions,
             const failover_rules& rules) {
    // Each phase may lead to the next one at once; a cycle over all of them is never needed.
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

void forget_old_promotions(failover_state& state, time_point now) {
    std::erase_if(state.promotions,
                  [&](const auto& entry) { return now - entry.second > hysteresis_window; });
}

loss_reason get_suspicion(const group_evidence& evidence) {
    if (evidence.is_primary_unreachable) {
        return loss_reason::unreachable;
    }
    return evidence.is_primary_cut_off ? loss_reason::cut_off : loss_reason::none;
}

/** What this poller saw of a promotion; `state` still holds what was known before it. */
promotion_seen make_seen(const failover_state& state, const group_evidence& evidence,
                         time_point now) {
    promotion_seen seen;
    seen.after = *evidence.primary;
    const auto answer = evidence.answers.find(seen.after.target);
    if (answer != evidence.answers.end() && answer->second.accepted_term == seen.after.term) {
        seen.claimant = answer->second.accepted_claimant;
    }
    if (state.known) {
        seen.suspicion = state.known->suspicion;
        seen.before = state.known->primary;
        seen.gap = get_span(state.known->reached_at, now);
    }
    seen.observations = get_observations_of(state, seen.before);
    return seen;
}

/** Follows the primary; without one, what was known of the last stays. */
void update_known(failover_state& state, const group_evidence& evidence) {
    if (!evidence.primary) {
        return;
    }
    if (state.known && state.known->primary != *evidence.primary) {
        std::erase_if(state.loss_observations, [&](const auto& entry) {
            return entry.second.primary.term < state.known->primary.term;
        });
    }
    state.known =
        known_primary{*evidence.primary, evidence.primary_reached_at, get_suspicion(evidence)};
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
    const state::term_number known = before ? before->term : state.lost ? state.lost->term : 0;
    if (after && known != 0 && after->term > known) {
        const bool is_new = state.promotions.try_emplace(after->term, now).second;
        if (is_new && !is_own_promotion(state, after->term)) {
            actions.emplace_back(make_seen(state, event.evidence, now));
        }
    }
    update_known(state, event.evidence);
    state.evidence = event.evidence;
    state.highest_term = std::max(state.highest_term, event.evidence.highest_term);
    forget_old_promotions(state, now);
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
    // Answers to an earlier attempt say nothing about this one.
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
        event.target != state.chosen) {
        return;
    }
    if (event.outcome == call_outcome::accepted) {
        begin_adopting(state, now, actions);
    } else if (event.outcome == call_outcome::refused) {
        retry_later(state, now, actions);
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

void apply(failover_state& state, const change_requested& event, time_point now,
           action_list& actions) {
    std::string refusal;
    if (state.phase != failover_phase::watching || state.planned) {
        refusal = "the primary is being replaced already";
    } else if (!is_primary_usable(state)) {
        refusal = "the present primary does not answer";
    } else if (!state.evidence.answers.contains(event.target)) {
        refusal = "the target is unknown or does not answer";
    }
    const bool is_in_place = refusal.empty() && state.evidence.primary->target == event.target;
    if (!refusal.empty() || is_in_place) {
        actions.emplace_back(
            change_finished{is_in_place, is_in_place ? "the target is the primary" : refusal});
        return;
    }
    state.planned = planned_change{event.target, state.evidence.primary->term, now};
    actions.emplace_back(pause_writes{true});
    actions.emplace_back(poll_targets{});
}

std::string choose_furthest(const failover_state& state, const fenced_targets& candidates,
                            time_point now) {
    using key = std::tuple<state::log_point, bool, bool, int>;
    const auto get_key = [&](const std::string& name, const target_status& status) {
        const bool is_wanted = (state.planned && state.planned->target == name) ||
                               (state.reason == loss_reason::replica_stranded && state.lost &&
                                state.lost->target == name);
        const bool is_steady = !has_failed_lately(state, name, now);
        const auto preference = state.pollers.preference.find(name);
        return key{status.get_log_end(), is_wanted, is_steady,
                   preference == state.pollers.preference.end() ? 0 : preference->second};
    };
    const std::string* best = nullptr;
    key best_key;
    for (const auto& [name, status] : candidates) {
        const key candidate = get_key(name, status);
        // The map is ordered by name, so the first of equals wins.
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

const failover_rules standard_failover_rules{choose_furthest, get_majority, false};

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

std::string to_string(loss_reason value) {
    switch (value) {
        case loss_reason::none:
            break;
        case loss_reason::unreachable:
            return "unreachable";
        case loss_reason::cut_off:
            return "cut_off";
        case loss_reason::superseded:
            return "superseded";
        case loss_reason::no_primary:
            return "no_primary";
        case loss_reason::replica_stranded:
            return "replica_stranded";
        case loss_reason::planned:
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

std::optional<primary_observation> answer_observation(const failover_state& state, time_point now) {
    const group_evidence& evidence = state.evidence;
    const bool is_recent =
        evidence.is_primary_unreachable || now - evidence.primary_reached_at <= answer_freshness ||
        (evidence.is_contradicted && now - evidence.contradicted_at <= answer_freshness);
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
    // Long enough to cost nothing, short against every deadline above.
    return now + milliseconds(10);
}

}  // namespace hornbeamhook::coordination
