#include "coordination/failover.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamhook::coordination {
namespace {

using state::target_status;
using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

time_point at(int ms) {
    return start + milliseconds(ms);
}

class failover_test : public ::testing::Test {
protected:
    failover_test() {
        failover_.vm = "vm0";
        failover_.incarnation = 7;
        step(pollers_assigned{{"vm0", "vm1", "vm2"}, false, {}}, 0);
        evidence_.primary = state::primary_view{"a", 1};
        evidence_.targets = {"a", "b", "c"};
        evidence_.majority = 2;
        evidence_.highest_term = 1;
        evidence_.primary_reached_at = at(0);
        set_answers({{"a", primary(1, 9)}, {"b", replica(1, 9)}, {"c", replica(1, 9)}});
        update(0);
    }

    void step(const failover_event& event, int ms) {
        failover_step result = step_failover(std::move(failover_), event, at(ms));
        failover_ = std::move(result.state);
        actions_ = std::move(result.actions);
    }

    void update(int ms) { step(evidence_updated{evidence_}, ms); }

    void check(int ms) { step(failover_checked{}, ms); }

    void set_answers(std::map<std::string, target_status> answers) {
        evidence_.answers = std::move(answers);
    }

    static target_status primary(state::term_number term, state::log_position position) {
        return {term, "", term, 0, position, true, {}};
    }

    static target_status replica(state::term_number term, state::log_position position) {
        return {term, "", term, 0, position, false, milliseconds(50)};
    }

    void observe(const std::string& vm, bool is_unreachable, int ms, bool is_contradicted = false,
                 int promotions = 0) {
        step(observation_received{{vm, {"a", 1}, is_unreachable, is_contradicted, promotions}}, ms);
    }

    /** Makes the primary unreachable for this poller. */
    void lose_primary(int ms) {
        evidence_.is_primary_unreachable = true;
        evidence_.answers.erase("a");
        update(ms);
    }

    void end_call(const std::string& target, bool is_promote, call_outcome outcome, int ms,
                  std::optional<target_status> status = {}) {
        step(term_call_ended{target, is_promote, failover_.term, failover_.claimant, outcome,
                             status},
             ms);
    }

    void fence(const std::string& target, state::log_position position, int ms) {
        end_call(target, false, call_outcome::accepted, ms, replica(1, position));
    }

    /** Targets of the fence or promote calls among the last actions. */
    std::vector<std::string> get_calls(bool is_promote) const {
        std::vector<std::string> targets;
        for (const failover_action& action : actions_) {
            const auto* call = std::get_if<send_term_call>(&action);
            if (call != nullptr && call->is_promote == is_promote) {
                targets.push_back(call->target);
            }
        }
        return targets;
    }

    template <typename action_type>
    const action_type* find_action() const {
        for (const failover_action& action : actions_) {
            if (const auto* found = std::get_if<action_type>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    /** Loses the primary, receives one confirmation, and claims as rank 0 at 600 ms. */
    void claim() {
        lose_primary(500);
        observe("vm1", true, 600);
        ASSERT_EQ(failover_.phase, failover_phase::fencing);
    }

    failover_state failover_;
    group_evidence evidence_;
    std::vector<failover_action> actions_;
};

using names = std::vector<std::string>;

// Guards against a promotion caused by connectivity problems of a single proxy.
TEST_F(failover_test, a_single_poller_does_not_declare_a_loss) {
    lose_primary(500);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
    EXPECT_NE(find_action<request_observations>(), nullptr);
    for (int ms = 600; ms < 10'000; ms += 100) {
        check(ms);
        EXPECT_EQ(failover_.phase, failover_phase::suspecting) << "no poller answered";
    }
    observe("vm1", false, 10'000);
    observe("vm2", true, 10'001);
    EXPECT_EQ(failover_.phase, failover_phase::fencing) << "two of three, and rank 0";
}

// Guards against a majority that includes answers that are outdated or about another primary.
TEST_F(failover_test, only_recent_observations_of_this_primary_count) {
    observe("vm1", true, 0);
    lose_primary(1500);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
    step(observation_received{{"vm2", {"b", 1}, true, false, 0}}, 1600);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
    step(observation_received{{"vm2", {"b", 2}, false, false, 0}}, 1700);
    observe("vm1", true, 1800);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting) << "vm2 knows a newer primary";
}

// Guards against replacing a primary that its replicas reach, unless all proxies agree for 1.5 s.
TEST_F(failover_test, a_contradicted_loss_requires_lasting_agreement) {
    evidence_.is_contradicted = true;
    lose_primary(500);
    for (int ms = 600; ms < 2100; ms += 100) {
        observe("vm1", true, ms);
        observe("vm2", true, ms);
        ASSERT_EQ(failover_.phase, failover_phase::suspecting) << ms;
    }
    observe("vm2", true, 2101);
    EXPECT_NE(failover_.phase, failover_phase::suspecting);
}

// Guards against counting the time before an interruption of the agreement.
TEST_F(failover_test, a_dissenting_observation_restarts_the_agreement) {
    evidence_.is_contradicted = true;
    lose_primary(500);
    for (int ms = 600; ms < 4000; ms += 100) {
        observe("vm1", true, ms);
        observe("vm2", ms != 1800, ms);
        if (ms < 3300) {
            ASSERT_EQ(failover_.phase, failover_phase::suspecting) << ms;
        }
    }
    EXPECT_NE(failover_.phase, failover_phase::suspecting);
}

// Guards against waiting for other proxies when the replicas already report the loss.
TEST_F(failover_test, replicas_without_contact_are_sufficient_evidence) {
    evidence_.is_primary_cut_off = true;
    update(700);
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
    EXPECT_EQ(failover_.reason, failover_reason::cut_off);
    EXPECT_EQ(get_calls(false), (names{"a", "b", "c"}));
}

// Guards against all pollers claiming at the same time.
TEST_F(failover_test, a_higher_rank_waits_for_the_lower_ranks) {
    step(pollers_assigned{{"vm1", "vm2", "vm0"}, false, {}}, 0);
    evidence_.is_primary_cut_off = true;
    update(700);
    check(1299);
    EXPECT_EQ(failover_.phase, failover_phase::claiming);
    check(1300);
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
}

// Guards against a claim although the primary recovered during the delay.
TEST_F(failover_test, a_recovered_primary_ends_the_claim) {
    step(pollers_assigned{{"vm1", "vm0"}, false, {}}, 0);
    lose_primary(500);
    observe("vm1", true, 600);
    ASSERT_EQ(failover_.phase, failover_phase::claiming);
    evidence_.is_primary_unreachable = false;
    evidence_.answers["a"] = primary(1, 9);
    update(700);
    EXPECT_EQ(failover_.phase, failover_phase::watching);
}

// Guards against promoting a target that lacks acknowledged writes.
TEST_F(failover_test, promotes_the_most_advanced_of_a_fenced_majority) {
    claim();
    EXPECT_EQ(failover_.term, 2U);
    EXPECT_EQ(failover_.claimant, "vm0/7/1");
    fence("b", 8, 610);
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
    fence("c", 9, 611);
    EXPECT_EQ(get_calls(true), (names{"c"}));
}

// Guards against promoting the lost primary again because its log is the longest.
TEST_F(failover_test, the_lost_primary_is_chosen_only_without_another_majority) {
    claim();
    fence("a", 99, 605);
    fence("b", 8, 610);
    EXPECT_TRUE(get_calls(true).empty()) << "c may still answer";
    fence("c", 8, 620);
    EXPECT_EQ(get_calls(true), (names{"b"}));
}

// Guards against promoting the lost primary again because another target was lost shortly before.
TEST_F(failover_test, the_lost_primary_is_not_chosen_after_an_earlier_loss) {
    failover_.last_lost_at["b"] = at(0);
    claim();
    fence("a", 20, 610);
    fence("b", 9, 620);
    fence("c", 9, 630);
    ASSERT_EQ(failover_.phase, failover_phase::promoting);
    EXPECT_EQ(failover_.promotion_target, "c");
}

// Guards against a group without primary when only the old one and one replica remain.
TEST_F(failover_test, the_lost_primary_is_chosen_without_an_alternative) {
    claim();
    fence("a", 99, 605);
    fence("b", 8, 610);
    check(900);
    EXPECT_EQ(get_calls(true), (names{"a"}));
}

// Guards against two promotions in one term after a lost answer.
TEST_F(failover_test, an_unanswered_promote_is_resent_to_the_same_target_only) {
    claim();
    fence("b", 9, 610);
    fence("c", 8, 611);
    ASSERT_EQ(get_calls(true), (names{"b"}));
    end_call("b", true, call_outcome::no_answer, 900);
    for (int ms = 920; ms < 1600; ms += 20) {
        fence("a", 99, ms);
        for (const std::string& target : get_calls(true)) {
            EXPECT_EQ(target, "b");
        }
        check(ms);
    }
    check(1620);
    EXPECT_EQ(failover_.phase, failover_phase::claiming) << "abandons the term";
    check(2000);
    EXPECT_EQ(failover_.term, 3U);
    EXPECT_EQ(failover_.claimant, "vm0/7/2");
}

// Guards against a claimant that retries a term that another claimant holds.
TEST_F(failover_test, a_refusal_leads_to_a_higher_term_after_a_random_delay) {
    claim();
    end_call("b", false, call_outcome::refused, 610);
    end_call("c", false, call_outcome::refused, 611);
    EXPECT_EQ(failover_.phase, failover_phase::claiming);
    EXPECT_GE(failover_.claim_due, at(611 + 50));
    EXPECT_LE(failover_.claim_due, at(611 + 250));
    evidence_.highest_term = 5;
    update(650);
    check(900);
    EXPECT_EQ(failover_.term, 6U);
}

// Guards against a claimant that continues although another claimant promoted a primary.
TEST_F(failover_test, another_claimants_primary_ends_the_claim) {
    claim();
    evidence_.primary = state::primary_view{"c", 2};
    evidence_.is_primary_unreachable = false;
    evidence_.answers["c"] = primary(2, 9);
    evidence_.highest_term = 2;
    update(620);
    EXPECT_EQ(failover_.phase, failover_phase::watching);
}

// Guards against counting answers to an earlier attempt.
TEST_F(failover_test, answers_to_an_earlier_attempt_are_ignored) {
    claim();
    step(term_call_ended{"b", false, 2, "vm0/7/0", call_outcome::accepted, replica(1, 9)}, 610);
    step(term_call_ended{"c", false, 1, "vm0/7/1", call_outcome::accepted, replica(1, 9)}, 611);
    EXPECT_TRUE(failover_.fenced.empty());
}

// Guards against a claimant that resumes an outdated claim after a pause.
TEST_F(failover_test, a_pause_drops_the_claim) {
    claim();
    fence("b", 9, 610);
    step(claim_dropped{}, 5000);
    EXPECT_EQ(failover_.phase, failover_phase::watching);
    fence("c", 9, 5001);
    EXPECT_TRUE(get_calls(true).empty());
}

// Guards against a report from which the phases of an outage cannot be derived.
TEST_F(failover_test, the_report_contains_the_duration_of_each_phase) {
    claim();
    fence("b", 9, 630);
    fence("c", 9, 640);
    end_call("b", true, call_outcome::accepted, 655, primary(2, 9));
    EXPECT_EQ(failover_.phase, failover_phase::adopting);
    evidence_.primary = state::primary_view{"b", 2};
    evidence_.is_primary_unreachable = false;
    set_answers({{"b", primary(2, 9)}, {"c", replica(1, 9)}});
    update(660);
    EXPECT_EQ(find_action<promotion_finished>(), nullptr) << "no majority follows yet";
    // The others' observations name the new primary before the report is made.
    step(observation_received{{"vm1", {"b", 2}, false, false, 1}}, 670);
    set_answers({{"b", primary(2, 9)}, {"c", replica(2, 9)}});
    update(690);
    const promotion_finished* finished = find_action<promotion_finished>();
    ASSERT_NE(finished, nullptr);
    const promotion_report& report = finished->report;
    EXPECT_EQ(report.reason, failover_reason::unreachable);
    EXPECT_EQ(report.before, (state::primary_view{"a", 1}));
    EXPECT_EQ(report.after, (state::primary_view{"b", 2}));
    EXPECT_EQ(report.detection, milliseconds(600));
    EXPECT_EQ(report.claim, milliseconds(0));
    EXPECT_EQ(report.fencing, milliseconds(40));
    EXPECT_EQ(report.promotion, milliseconds(15));
    EXPECT_EQ(report.adoption, milliseconds(35));
    EXPECT_TRUE(report.is_adopted);
    ASSERT_EQ(report.observations.size(), 1U);
    EXPECT_EQ(report.observations[0].observer, "vm1");
    EXPECT_EQ(failover_.phase, failover_phase::watching);
}

// Guards against a promotion without record when its claimant terminates right after it, and
// against a duplicate record for each later poll.
TEST_F(failover_test, a_promotion_by_another_proxy_is_recorded_once) {
    lose_primary(600);
    observe("vm1", true, 610);
    // While fenced, the group has no primary; the claimant's next observation names the new one.
    evidence_.primary.reset();
    evidence_.is_primary_unreachable = false;
    update(650);
    step(observation_received{{"vm1", {"b", 2}, false, false, 1}}, 690);
    evidence_.primary = state::primary_view{"b", 2};
    target_status promoted = primary(2, 9);
    promoted.accepted_claimant = "vm1/7/1";
    set_answers({{"b", promoted}, {"c", replica(1, 9)}});
    update(700);
    const promotion_seen* seen = find_action<promotion_seen>();
    ASSERT_NE(seen, nullptr);
    EXPECT_EQ(seen->suspicion, failover_reason::unreachable);
    EXPECT_EQ(seen->before, (state::primary_view{"a", 1}));
    EXPECT_EQ(seen->after, (state::primary_view{"b", 2}));
    EXPECT_EQ(seen->claimant, "vm1/7/1");
    EXPECT_EQ(seen->gap, milliseconds(700));
    ASSERT_EQ(seen->observations.size(), 1U);
    EXPECT_EQ(seen->observations[0].observer, "vm1");
    update(710);
    EXPECT_EQ(find_action<promotion_seen>(), nullptr);
}

// Guards against recording an own promotion, whose answer was lost, as another proxy's.
TEST_F(failover_test, an_own_promotion_is_not_recorded_as_seen) {
    claim();
    fence("b", 9, 630);
    fence("c", 9, 640);
    evidence_.primary = state::primary_view{"b", 2};
    set_answers({{"b", primary(2, 9)}, {"c", replica(1, 9)}});
    update(660);
    EXPECT_EQ(find_action<promotion_seen>(), nullptr);
    set_answers({{"b", primary(2, 9)}, {"c", replica(2, 9)}});
    update(690);
    EXPECT_EQ(find_action<promotion_seen>(), nullptr);
    EXPECT_NE(find_action<promotion_finished>(), nullptr);
}

// Guards against many promotions in quick succession.
TEST_F(failover_test, earlier_promotions_delay_the_next_one) {
    for (const auto& [promotions, wait] :
         std::map<int, int>{{0, 0}, {1, 1000}, {2, 2000}, {3, 4000}, {9, 4000}}) {
        failover_state fresh = failover_;
        observe("vm1", false, 690, false, promotions);
        evidence_.is_primary_cut_off = true;
        update(700);
        EXPECT_EQ(failover_.claim_due, at(700 + wait)) << promotions;
        evidence_.is_primary_cut_off = false;
        failover_ = fresh;
    }
}

// Guards against observed promotions that are not counted.
TEST_F(failover_test, seen_promotions_count_for_ten_minutes) {
    evidence_.primary = state::primary_view{"b", 2};
    update(100);
    EXPECT_EQ(get_observation(failover_, at(200))->recent_promotions, 1);
    EXPECT_EQ(get_observation(failover_, at(601'000))->recent_promotions, 0);
}

// Guards against a single proxy that never replaces a primary for lack of confirmation.
TEST_F(failover_test, the_only_proxy_decides_alone) {
    step(pollers_assigned{{"vm0"}, true, {}}, 0);
    lose_primary(500);
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
}

// Guards against an isolated proxy that acts as the only one.
TEST_F(failover_test, an_isolated_proxy_is_not_the_only_one) {
    step(pollers_assigned{{"vm0"}, false, {}}, 0);
    lose_primary(500);
    check(60'000);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
}

// Guards against a planned change that loses writes or leaves them paused.
TEST_F(failover_test, a_planned_change_waits_for_its_target) {
    evidence_.answers["b"] = replica(1, 7);
    update(90);
    step(primary_change_requested{"b"}, 100);
    ASSERT_NE(find_action<set_writes_paused>(), nullptr);
    EXPECT_TRUE(find_action<set_writes_paused>()->is_paused);
    update(300);
    EXPECT_EQ(failover_.phase, failover_phase::watching);
    evidence_.answers["b"] = replica(1, 9);
    update(400);
    ASSERT_EQ(failover_.phase, failover_phase::fencing);
    fence("c", 9, 410);
    fence("a", 9, 411);
    EXPECT_TRUE(get_calls(true).empty()) << "waits for the requested target";
    fence("b", 9, 420);
    EXPECT_EQ(get_calls(true), (names{"b"})) << "equal logs, and requested";
    end_call("b", true, call_outcome::accepted, 430, primary(2, 9));
    evidence_.primary = state::primary_view{"b", 2};
    set_answers({{"b", primary(2, 9)}, {"c", replica(2, 9)}});
    update(440);
    ASSERT_NE(find_action<set_writes_paused>(), nullptr);
    EXPECT_FALSE(find_action<set_writes_paused>()->is_paused);
    ASSERT_NE(find_action<primary_change_finished>(), nullptr);
    EXPECT_TRUE(find_action<primary_change_finished>()->is_done);
}

// Guards against writes that stay paused when the target never catches up.
TEST_F(failover_test, a_planned_change_times_out_after_two_seconds) {
    evidence_.answers["b"] = replica(1, 7);
    update(90);
    step(primary_change_requested{"b"}, 100);
    check(2099);
    EXPECT_EQ(find_action<primary_change_finished>(), nullptr);
    check(2100);
    ASSERT_NE(find_action<primary_change_finished>(), nullptr);
    EXPECT_FALSE(find_action<primary_change_finished>()->is_done);
    ASSERT_NE(find_action<set_writes_paused>(), nullptr);
    EXPECT_FALSE(find_action<set_writes_paused>()->is_paused);
    EXPECT_EQ(failover_.term, 0U) << "nothing was claimed";
}

// Guards against starting a planned change that cannot succeed.
TEST_F(failover_test, impossible_planned_changes_are_refused) {
    step(primary_change_requested{"z"}, 100);
    ASSERT_NE(find_action<primary_change_finished>(), nullptr);
    EXPECT_FALSE(find_action<primary_change_finished>()->is_done);
    step(primary_change_requested{"a"}, 100);
    ASSERT_NE(find_action<primary_change_finished>(), nullptr);
    EXPECT_TRUE(find_action<primary_change_finished>()->is_done) << "it is the primary already";
    lose_primary(200);
    step(primary_change_requested{"b"}, 300);
    ASSERT_NE(find_action<primary_change_finished>(), nullptr);
    EXPECT_FALSE(find_action<primary_change_finished>()->is_done);
}

// Guards against requesting observations only once there is evidence: standby pollers would start
// to poll too late.
TEST_F(failover_test, a_first_failure_makes_the_others_poll) {
    evidence_.is_target_failing = true;
    update(500);
    EXPECT_EQ(failover_.phase, failover_phase::watching);
    EXPECT_NE(find_action<request_observations>(), nullptr);
    update(550);
    EXPECT_EQ(find_action<request_observations>(), nullptr) << "requested recently";
    update(600);
    EXPECT_NE(find_action<request_observations>(), nullptr);
}

// Guards against standby pollers that confirm a primary that they have not polled since it was
// lost: their answers would outvote the active pollers.
TEST_F(failover_test, outdated_polls_give_no_observation) {
    evidence_.primary_reached_at = at(1000);
    update(1000);
    EXPECT_TRUE(get_recent_observation(failover_, at(1500)));
    EXPECT_FALSE(get_recent_observation(failover_, at(1501)));
    evidence_.is_contradicted = true;
    evidence_.contradicted_at = at(1700);
    update(1700);
    ASSERT_TRUE(get_recent_observation(failover_, at(1800)));
    EXPECT_TRUE(get_recent_observation(failover_, at(1800))->is_contradicted);
    EXPECT_FALSE(get_recent_observation(failover_, at(2201)));
    lose_primary(2300);
    ASSERT_TRUE(get_recent_observation(failover_, at(9000))) << "its polls failed";
    EXPECT_TRUE(get_recent_observation(failover_, at(9000))->is_unreachable);
}

// Guards against an outdated answer that outvotes a loss after its poller withdrew it.
TEST_F(failover_test, a_withdrawn_observation_does_not_count) {
    step(pollers_assigned{{"vm0", "vm1", "vm2", "vm3"}, false, {}}, 0);
    lose_primary(500);
    observe("vm1", true, 610);
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
    step(claim_dropped{}, 700);
    evidence_.is_primary_unreachable = false;
    update(700);
    lose_primary(1000);
    observe("vm2", false, 1010);
    observe("vm3", false, 1010);
    observe("vm1", true, 1200);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting) << "two against two";
    step(observation_withdrawn{"vm2"}, 1210);
    EXPECT_EQ(failover_.phase, failover_phase::fencing) << "two against one";
}

// Guards against two pollers behind one failed link that promote before the others could poll.
TEST_F(failover_test, a_minority_of_the_pollers_waits_for_the_others_polls) {
    step(pollers_assigned{{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5"}, false, {}}, 0);
    lose_primary(500);
    observe("vm1", true, 510);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
    check(599);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting);
    for (const char* vm : {"vm2", "vm3", "vm4"}) {
        observe(vm, false, 599);
    }
    check(2000);
    EXPECT_EQ(failover_.phase, failover_phase::suspecting) << "the others reach it";
}

// Guards against a delay of a loss that four of six pollers confirm.
TEST_F(failover_test, a_majority_of_all_pollers_declares_a_loss_at_once) {
    step(pollers_assigned{{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5"}, false, {}}, 0);
    lose_primary(500);
    for (const char* vm : {"vm1", "vm2", "vm3"}) {
        observe(vm, true, 510);
    }
    EXPECT_EQ(failover_.phase, failover_phase::fencing);
}

}  // namespace
}  // namespace hornbeamhook::coordination
