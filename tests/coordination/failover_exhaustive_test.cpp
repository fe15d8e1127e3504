#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <iostream>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/failover.h"
#include "coordination/group_monitor.h"
#include "support/model_target.h"

namespace hornbeamhook::coordination {
namespace {

using state::time_point;
using std::chrono::milliseconds;
using tests::model_target;
using tests::survival_checker;

const time_point start{std::chrono::hours(1)};
const std::array<std::string, 3> target_names = {"a", "b", "c"};
/// Longer than the resend interval, so that one tick repeats unanswered calls.
constexpr milliseconds tick{350};

/** A claimant with its own clock; the search advances the clocks independently. */
struct claimant {
    time_point now = start;
    group_monitor_state monitor;
    failover_state failover;
};

/** State of the whole group, a node of the search. */
struct group_state {
    std::array<model_target, 3> targets;
    std::array<claimant, 2> claimants;
    std::vector<std::pair<std::size_t, send_term_call>> calls;  ///< In flight, with the claimant.
    survival_checker checker{tests::is_acknowledging};
    int writes = 2;
};

void step_failover_of(group_state& value, std::size_t c, const failover_event& event,
                      const failover_rules& rules) {
    claimant& self = value.claimants[c];
    failover_step step = step_failover(std::move(self.failover), event, self.now, rules);
    self.failover = std::move(step.state);
    for (const failover_action& action : step.actions) {
        const auto* call = std::get_if<send_term_call>(&action);
        if (call == nullptr) {
            continue;
        }
        const bool is_known = std::ranges::any_of(value.calls, [&](const auto& other) {
            return other.first == c && other.second.target == call->target &&
                   other.second.term == call->term && other.second.is_promote == call->is_promote;
        });
        // Equal calls are stored once: a call may be delivered any number of times.
        if (!is_known) {
            value.calls.emplace_back(c, *call);
        }
    }
}

/** The claimant polls all targets at once. */
void poll(group_state& value, std::size_t c, const failover_rules& rules) {
    claimant& self = value.claimants[c];
    for (std::size_t t = 0; t < target_names.size(); ++t) {
        const poll_answered answered{target_names[t], self.now, self.now,
                                     value.targets[t].get_status(self.now)};
        self.monitor = step_group_monitor(std::move(self.monitor), answered, self.now).state;
    }
    group_evidence evidence = get_evidence(self.monitor, self.now);
    // The search covers the claims, so both claimants have evidence of a loss until a new term.
    evidence.is_primary_cut_off = evidence.primary && evidence.primary->term == 1;
    step_failover_of(value, c, evidence_updated{evidence}, rules);
}

group_state make_group_state(const failover_rules& rules) {
    group_state value;
    value.targets[0].is_primary = true;
    value.targets[0].log = {1, 2};
    value.targets[1].log = {1};
    value.targets[2].log = {1, 2};
    value.checker.add_write(1, 1, 1);
    value.checker.add_write(2, 1, 2);
    for (std::size_t c = 0; c < value.claimants.size(); ++c) {
        claimant& self = value.claimants[c];
        self.failover.vm = "vm" + std::to_string(c);
        self.failover.random_state = c + 1;
        self.monitor = step_group_monitor({}, group_configured{{"a", "b", "c"}}, self.now).state;
        // Each has rank 0, as happens when their member views differ.
        step_failover_of(value, c, pollers_assigned{{self.failover.vm}, false, {}}, rules);
        poll(value, c, rules);
    }
    return value;
}

/** Delivers a call; the answer reaches its claimant unless it is lost. */
void deliver(group_state& value, std::size_t index, bool is_answer_lost,
             const failover_rules& rules) {
    const auto [c, call] = value.calls[index];
    if (!is_answer_lost) {
        // A call whose answer was lost stays in flight: a duplicate may arrive later.
        value.calls.erase(value.calls.begin() + static_cast<std::ptrdiff_t>(index));
    }
    const std::size_t t = static_cast<std::size_t>(call.target[0] - 'a');
    model_target& target = value.targets[t];
    bool is_new = false;
    const bool is_accepted = call.is_promote ? target.promote(call.term, call.claimant, is_new)
                                             : target.fence(call.term, call.claimant);
    if (is_new) {
        value.checker.add_promotion(call.term, t, target.log);
    }
    if (is_answer_lost) {
        return;
    }
    term_call_ended ended{call.target,
                          call.is_promote,
                          call.term,
                          call.claimant,
                          is_accepted ? call_outcome::accepted : call_outcome::refused,
                          {}};
    if (is_accepted) {
        ended.status = target.get_status(value.claimants[c].now);
    }
    step_failover_of(value, c, ended, rules);
}

std::string get_key(const group_state& value) {
    std::string key;
    for (const model_target& target : value.targets) {
        key += std::to_string(target.accepted_term) + target.accepted_claimant + "," +
               std::to_string(target.follow_term) + "," + std::to_string(target.term_start) +
               (target.is_primary ? "P" : "r");
        for (const int entry : target.log) {
            key += "." + std::to_string(entry);
        }
        key += ";";
    }
    for (const claimant& self : value.claimants) {
        const failover_state& failover = self.failover;
        key += std::to_string((self.now - start).count()) + to_string(failover.phase) +
               failover.claimant + std::to_string(failover.term) +
               failover.promotion_target.value_or("-");
        for (const time_point point :
             {failover.claimed_at, failover.calls_sent_at, failover.fenced_at, failover.promoted_at,
              failover.claim_due}) {
            key += "," + std::to_string((point - start).count());
        }
        for (const auto& [name, status] : failover.fenced) {
            key +=
                name + std::to_string(status.follow_term) + "." + std::to_string(status.position);
        }
        for (const std::string& name : failover.refused) {
            key += "!" + name;
        }
        key += std::to_string(failover.evidence.highest_term);
        if (failover.evidence.primary) {
            key +=
                failover.evidence.primary->target + std::to_string(failover.evidence.primary->term);
        }
        key += ";";
    }
    std::vector<std::string> calls;
    for (const auto& [c, call] : value.calls) {
        calls.push_back(std::to_string(c) + call.target + (call.is_promote ? "P" : "F") +
                        std::to_string(call.term));
    }
    std::ranges::sort(calls);
    for (const std::string& call : calls) {
        key += call;
    }
    return key + value.checker.get_key();
}

/** All states one step after `value`. */
void expand(const group_state& value, const failover_rules& rules,
            const std::function<void(group_state)>& visit) {
    for (std::size_t i = 0; i < value.calls.size(); ++i) {
        for (const bool is_answer_lost : {false, true}) {
            group_state next = value;
            deliver(next, i, is_answer_lost, rules);
            visit(std::move(next));
        }
    }
    for (std::size_t c = 0; c < value.claimants.size(); ++c) {
        group_state polled = value;
        poll(polled, c, rules);
        visit(std::move(polled));
        group_state later = value;
        later.claimants[c].now += tick;
        step_failover_of(later, c, failover_checked{}, rules);
        visit(std::move(later));
        group_state paused = value;
        step_failover_of(paused, c, claim_dropped{}, rules);
        visit(std::move(paused));
    }
    for (std::size_t t = 0; t < value.targets.size(); ++t) {
        if (!value.targets[t].is_unfenced_primary()) {
            continue;
        }
        if (value.writes < 4) {
            group_state written = value;
            model_target& target = written.targets[t];
            target.log.push_back(++written.writes);
            written.checker.add_write(written.writes, target.follow_term, target.log.size());
            visit(std::move(written));
        }
        for (std::size_t u = 0; u < value.targets.size(); ++u) {
            if (u == t) {
                continue;
            }
            // Completely, or interrupted after one entry.
            for (const std::size_t limit : {std::size_t{1}, std::size_t{100}}) {
                group_state streamed = value;
                streamed.targets[u].receive(value.targets[t].make_stream(), limit, start);
                visit(std::move(streamed));
            }
        }
    }
}

/** Like make_group_state(), after the first claimant fenced b and c and sent its promote. */
group_state make_promoting_group_state(const failover_rules& rules) {
    group_state value = make_group_state(rules);
    for (const char* target : {"b", "c"}) {
        for (std::size_t i = 0; i < value.calls.size(); ++i) {
            const auto& [c, call] = value.calls[i];
            if (c == 0 && call.target == target && !call.is_promote) {
                deliver(value, i, false, rules);
                break;
            }
        }
    }
    return value;
}

struct search_result {
    std::size_t states = 0;
    std::size_t with_promotion = 0;
    std::size_t violations = 0;
    std::string first;
};

/** Breadth first over all distinct states that `depth` steps can reach. */
search_result search(const failover_rules& rules, group_state first, int depth) {
    search_result result;
    std::unordered_set<std::string> seen;
    std::vector<group_state> level;
    level.push_back(std::move(first));
    for (int i = 0; i < depth; ++i) {
        std::vector<group_state> next_level;
        for (const group_state& value : level) {
            expand(value, rules, [&](group_state next) {
                if (!seen.insert(get_key(next)).second) {
                    return;
                }
                for (std::size_t t = 0; t < next.targets.size(); ++t) {
                    next.checker.add_report(t, next.targets[t].get_status(start));
                }
                ++result.states;
                result.with_promotion += next.checker.count_promotions() > 0 ? 1 : 0;
                if (!next.checker.get_violations().empty()) {
                    ++result.violations;
                    if (result.first.empty()) {
                        result.first = next.checker.get_violations().front();
                    }
                    return;
                }
                if (i + 1 < depth) {
                    next_level.push_back(std::move(next));
                }
            });
        }
        level = std::move(next_level);
    }
    std::cout << "depth " << depth << ": " << result.states << " states, " << result.with_promotion
              << " with a promotion, " << result.violations << " violations " << result.first
              << '\n';
    return result;
}

std::string choose_first_fenced(const failover_state& /*state*/, const fenced_targets& candidates,
                                time_point /*now*/) {
    return candidates.begin()->first;
}

std::size_t get_quorum_of_one(const failover_state& /*state*/) {
    return 1;
}

// Guards against a short schedule of two claimants that violates safety.
TEST(failover_exhaustive, no_short_schedule_breaks_the_rules) {
    const failover_rules& rules = standard_failover_rules;
    const search_result claiming = search(rules, make_group_state(rules), 5);
    EXPECT_EQ(claiming.violations, 0U);
    EXPECT_GT(claiming.with_promotion, 100U);
    const search_result promoting = search(rules, make_promoting_group_state(rules), 6);
    EXPECT_EQ(promoting.violations, 0U);
    EXPECT_GT(promoting.with_promotion, 1000U);
}

// Guards against a search that does not detect wrong rules.
TEST(failover_exhaustive, finds_wrong_rules) {
    const failover_rules first{choose_first_fenced, standard_failover_rules.get_quorum, false};
    EXPECT_GT(search(first, make_group_state(first), 4).violations, 0U);
    const failover_rules one{standard_failover_rules.choose_target, get_quorum_of_one, false};
    EXPECT_GT(search(one, make_group_state(one), 4).violations, 0U);
    const failover_rules other{standard_failover_rules.choose_target,
                               standard_failover_rules.get_quorum, true};
    EXPECT_GT(search(other, make_promoting_group_state(other), 4).violations, 0U);
}

}  // namespace
}  // namespace hornbeamhook::coordination
