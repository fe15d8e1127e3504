#include "coordination/group_monitor.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::target_status;
using state::target_view;
using state::time_point;
using std::chrono::milliseconds;

/// Time for a claimant that fenced a majority to promote before other pollers claim.
constexpr milliseconds superseded_delay{300};
/// A group without known primary may have one that this poller cannot reach.
constexpr milliseconds no_primary_delay{1500};
/// A replica fenced by an unfinished claim is repaired after this time.
constexpr milliseconds stranded_delay{2000};
/// High contact ages caused by a pause of the replicas themselves drop within this time.
constexpr milliseconds cut_off_delay{100};
/// The other pollers are notified of up to this many consecutive failed polls.
constexpr int early_failure_limit = 2;
/// More consecutive failures are a known failure; equals max_fast_retries.
constexpr int known_failure_threshold = 20;

bool is_current(const target_view& target, time_point now) {
    return target.status && target.consecutive_failures == 0 &&
           now - target.poll_ended <= answer_validity;
}

std::size_t count_fenced_above(const state::group_view& view, state::term_number term) {
    return std::ranges::count_if(view.targets, [&](const auto& entry) {
        return entry.second.status && entry.second.status->accepted_term > term;
    });
}

/** The unfenced primary of the highest term, unless a majority is fenced with a higher one. */
std::optional<state::primary_view> find_primary(const state::group_view& view) {
    std::optional<state::primary_view> best;
    for (const auto& [name, target] : view.targets) {
        if (!target.status || !target.status->is_unfenced_primary_of(target.status->follow_term)) {
            continue;
        }
        if (!best || target.status->follow_term > best->term) {
            best = state::primary_view{name, target.status->follow_term};
        }
    }
    if (best && count_fenced_above(view, best->term) >= view.majority) {
        return std::nullopt;
    }
    return best;
}

/** The latest proof that the current answers allow. */
std::optional<state::freshness_proof> make_proof(const state::group_view& view) {
    std::vector<time_point> begins;
    for (const auto& [name, target] : view.targets) {
        if (target.status) {
            begins.push_back(target.poll_began);
        }
    }
    if (begins.size() < view.majority) {
        return std::nullopt;
    }
    std::ranges::sort(begins, std::greater<>());
    state::freshness_proof proof;
    proof.valid_from = begins[view.majority - 1];
    for (const auto& [name, target] : view.targets) {
        if (target.status && target.poll_began >= proof.valid_from) {
            proof.point = std::max(proof.point, target.status->get_log_end());
            proof.highest_accepted_term =
                std::max(proof.highest_accepted_term, target.status->accepted_term);
        }
    }
    return proof;
}

/** Whether a replica's answer shows that it lost contact with the primary. */
bool has_lost_primary(const group_monitor_state& state, const std::string& name,
                      const target_status& status, time_point now) {
    const state::primary_view& primary = *state.view.primary;
    const bool is_following = status.follow_term == primary.term;
    if (is_following && status.primary_contact) {
        return *status.primary_contact > contact_lost_age;
    }
    const target_view& primary_target = state.view.targets.at(primary.target);
    const bool is_behind = !is_following || (primary_target.status &&
                                             primary_target.status->position > status.position);
    const time_point since = std::max(state.history.at(name).progressed_at, state.primary_since);
    return is_behind && now - since > no_progress_age;
}

bool is_cut_off(const group_monitor_state& state, time_point now) {
    if (!state.view.primary) {
        return false;
    }
    std::size_t others = 0;
    std::size_t lost = 0;
    for (const auto& [name, target] : state.view.targets) {
        if (name == state.view.primary->target) {
            continue;
        }
        ++others;
        if (is_current(target, now) && has_lost_primary(state, name, *target.status, now)) {
            ++lost;
        }
    }
    return lost >= others / 2 + 1;
}

bool has_current_majority(const state::group_view& view, time_point now) {
    const auto current = std::ranges::count_if(
        view.targets, [&](const auto& entry) { return is_current(entry.second, now); });
    return static_cast<std::size_t>(current) >= view.majority;
}

/**
 * Whether no primary is known and the answers show that the last one was fenced by a claim that did
 * not finish. A replica in contact with a primary of the highest accepted term refutes this: that
 * primary exists, but this poller cannot reach it.
 */
bool is_superseded(const group_monitor_state& state, time_point now) {
    if (state.view.primary || !has_current_majority(state.view, now)) {
        return false;
    }
    state::term_number followed = 0;
    state::term_number accepted = 0;
    for (const auto& [name, target] : state.view.targets) {
        if (is_current(target, now)) {
            followed = std::max(followed, target.status->follow_term);
            accepted = std::max(accepted, target.status->accepted_term);
        }
    }
    std::size_t fenced = 0;
    bool is_primary_fenced = false;
    for (const auto& [name, target] : state.view.targets) {
        if (!is_current(target, now)) {
            continue;
        }
        const target_status& status = *target.status;
        if (status.follow_term >= accepted && status.primary_contact &&
            *status.primary_contact <= contact_lost_age) {
            return false;
        }
        fenced += status.accepted_term > followed ? 1 : 0;
        is_primary_fenced =
            is_primary_fenced || (status.is_primary && status.follow_term == followed &&
                                  status.accepted_term > followed);
    }
    return fenced >= state.view.majority || is_primary_fenced;
}

/** Whether no primary is known and no current answer reports contact with one. */
bool is_without_primary(const group_monitor_state& state, time_point now) {
    if (state.view.primary || !has_current_majority(state.view, now)) {
        return false;
    }
    return std::ranges::none_of(state.view.targets, [&](const auto& entry) {
        return is_current(entry.second, now) && entry.second.status->primary_contact &&
               *entry.second.status->primary_contact <= contact_lost_age;
    });
}

/** Whether a replica accepted a higher term than the reachable primary's and refuses its log. */
bool is_stranded(const group_monitor_state& state, time_point now) {
    if (!state.view.primary ||
        !is_current(state.view.targets.at(state.view.primary->target), now)) {
        return false;
    }
    return std::ranges::any_of(state.view.targets, [&](const auto& entry) {
        return is_current(entry.second, now) &&
               entry.second.status->accepted_term > state.view.primary->term;
    });
}

void set_since(std::optional<time_point>& since, bool holds, time_point now) {
    if (!holds) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool has_lasted(const std::optional<time_point>& since, milliseconds duration, time_point now) {
    return since && now - *since >= duration;
}

void apply(group_monitor_state& state, const poll_answered& event) {
    const auto it = state.view.targets.find(event.target);
    // Answers to older polls may arrive late, after a reconnect; they must not lower the state.
    if (it == state.view.targets.end() || event.began < it->second.poll_began) {
        return;
    }
    it->second = target_view{event.status, event.began, event.ended, 0, false};
    target_history& history = state.history[event.target];
    history.contact_failures = 0;
    if (history.last_log_end != event.status.get_log_end() ||
        history.progressed_at == time_point{}) {
        history.last_log_end = event.status.get_log_end();
        history.progressed_at = event.ended;
    }
}

void apply(group_monitor_state& state, const poll_failed& event) {
    const auto it = state.view.targets.find(event.target);
    if (it == state.view.targets.end() || event.began < it->second.poll_began) {
        return;
    }
    ++it->second.consecutive_failures;
    it->second.is_refusing = event.kind == poll_failure::refused;
    target_history& history = state.history[event.target];
    // A rejection is not a loss of contact, but does not end one either: a target that hangs soon
    // has all its connections occupied by polls that timed out, and then rejects new ones.
    if (event.kind == poll_failure::rejected) {
        return;
    }
    if (history.contact_failures == 0) {
        history.first_failure = event.ended;
    }
    ++history.contact_failures;
    history.last_failure = event.ended;
}

void apply(group_monitor_state& state, const group_configured& event) {
    state.view.majority = event.targets.size() / 2 + 1;
    std::map<std::string, target_view> targets;
    std::map<std::string, target_history> history;
    for (const std::string& name : event.targets) {
        targets[name] = state.view.targets[name];
        history[name] = state.history[name];
    }
    state.view.targets = std::move(targets);
    state.history = std::move(history);
    // A proof from another set of targets is not valid for a majority of this one.
    state.view.proof.reset();
}

void apply(group_monitor_state& state, const views_dropped& /*event*/) {
    for (auto& [name, target] : state.view.targets) {
        target = target_view{};
        state.history[name] = target_history{};
    }
    state.view.proof.reset();
    state.view.primary.reset();
}

void refresh_primary(group_monitor_state& state, time_point now,
                     std::vector<group_action>& actions) {
    const std::optional<state::primary_view> found = find_primary(state.view);
    if (found == state.view.primary) {
        return;
    }
    if (found) {
        state.primary_since = now;
        actions.emplace_back(primary_changed{state.view.primary, *found});
    }
    state.view.primary = found;
}

}  // namespace

group_monitor_step step_group_monitor(group_monitor_state state, const group_event& event,
                                      time_point now) {
    std::vector<group_action> actions;
    const state::group_view before = state.view;
    std::visit([&](const auto& value) { apply(state, value); }, event);
    refresh_primary(state, now, actions);
    const std::optional<state::freshness_proof> proof = make_proof(state.view);
    if (proof && (!state.view.proof || proof->valid_from > state.view.proof->valid_from)) {
        state.view.proof = proof;
    }
    set_since(state.cut_off_since, is_cut_off(state, now), now);
    set_since(state.superseded_since, is_superseded(state, now), now);
    set_since(state.no_primary_since, is_without_primary(state, now), now);
    set_since(state.stranded_since, is_stranded(state, now), now);
    if (before != state.view) {
        actions.emplace_back(group_view_changed{});
    }
    return {std::move(state), std::move(actions)};
}

bool has_potential_failure(const group_monitor_state& state) {
    const bool is_failing = std::ranges::any_of(state.view.targets, [](const auto& entry) {
        return entry.second.consecutive_failures > 0 &&
               entry.second.consecutive_failures <= known_failure_threshold;
    });
    return is_failing || !state.view.primary || state.cut_off_since || state.superseded_since ||
           state.no_primary_since || state.stranded_since;
}

group_evidence get_evidence(const group_monitor_state& state, time_point now) {
    group_evidence evidence;
    evidence.primary = state.view.primary;
    evidence.majority = state.view.majority;
    for (const auto& [name, target] : state.view.targets) {
        evidence.targets.push_back(name);
        evidence.is_target_failing =
            evidence.is_target_failing ||
            (target.consecutive_failures > 0 && target.consecutive_failures <= early_failure_limit);
        if (target.status) {
            evidence.highest_term = std::max(
                {evidence.highest_term, target.status->accepted_term, target.status->follow_term});
        }
        if (!is_current(target, now)) {
            continue;
        }
        evidence.answers.emplace(name, *target.status);
        const bool is_replica = !state.view.primary || name != state.view.primary->target;
        if (is_replica && state.view.primary && target.status->primary_contact &&
            target.status->follow_term == state.view.primary->term &&
            *target.status->primary_contact < contact_alive_age) {
            evidence.is_contradicted = true;
            evidence.contradicted_at = std::max(evidence.contradicted_at, target.poll_ended);
        }
    }
    if (state.view.primary) {
        const target_history& history = state.history.at(state.view.primary->target);
        evidence.primary_reached_at = state.view.targets.at(state.view.primary->target).poll_ended;
        evidence.is_primary_unreachable =
            history.contact_failures >= 2 &&
            history.last_failure - history.first_failure >= min_failure_spacing;
    }
    evidence.is_primary_cut_off = has_lasted(state.cut_off_since, cut_off_delay, now);
    evidence.is_superseded = has_lasted(state.superseded_since, superseded_delay, now);
    evidence.is_without_primary = has_lasted(state.no_primary_since, no_primary_delay, now);
    evidence.is_replica_stranded = has_lasted(state.stranded_since, stranded_delay, now);
    return evidence;
}

}  // namespace hornbeamhook::coordination
