#include "coordination/promotion.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamhook::coordination {
namespace {

promotion_input make_input() {
    promotion_input input;
    input.changer = "vm1/7";
    input.record = leadership_record{"t1", 3, {}, 10};
    input.is_record_fresh = true;
    input.may_claim = true;
    input.is_established = true;
    input.candidates = {"t1", "t2", "t3"};
    input.targets = input.candidates;
    input.members = {"vm1", "vm2"};
    input.members_requested_at = 100000;
    return input;
}

template <typename action>
const action* find(const std::vector<promotion_action>& actions) {
    for (const promotion_action& entry : actions) {
        if (const auto* found = std::get_if<action>(&entry)) {
            return found;
        }
    }
    return nullptr;
}

survey_report make_replica(state::log_position position) {
    return {false, 3, {3, position}, 0};
}

/** A promotion that has claimed version 11; vm1 has released its lease, vm2 has not answered. */
class claimed_promotion {
public:
    claimed_promotion() : input(make_input()) {
        input.is_loss_confirmed = true;
        const auto claim = machine.step(input, input_changed{}, 1000);
        EXPECT_NE(find<write_record>(claim), nullptr);
        machine.step(input, record_written{1, 11}, 1020);
        machine.step(input, lease_released{"vm1", 11}, 1030);
    }

    promotion machine;
    promotion_input input;
};

// Guards against a claim that ignores the version of the record that was read.
TEST(promotion, claims_with_the_version_that_it_read) {
    promotion machine;
    promotion_input input = make_input();
    EXPECT_TRUE(machine.step(input, input_changed{}, 900).empty());
    input.is_loss_confirmed = true;
    const auto actions = machine.step(input, input_changed{}, 1000);
    const write_record* write = find<write_record>(actions);
    ASSERT_NE(write, nullptr);
    EXPECT_EQ(write->expected, 10);
    EXPECT_EQ(write->record.changer, "vm1/7/1");
    EXPECT_EQ(write->record.target, "t1");
}

// Guards against a promotion request while another VM may still write to the old primary.
TEST(promotion, requests_nothing_before_each_lease_was_released_or_expired) {
    claimed_promotion claimed;
    auto actions = claimed.machine.step(claimed.input, input_changed{}, 1200);
    EXPECT_NE(find<request_lease_release>(actions), nullptr);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::revoking);
    claimed.machine.step(claimed.input, input_changed{}, 1020 + lease_duration_ms);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::revoking);
    claimed.machine.step(claimed.input, input_changed{}, 1120 + lease_duration_ms);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
}

// Guards against a promotion request that ignores the lease of a VM which joined shortly before the
// claim (found by leadership_exploration, seed 2808971969).
TEST(promotion, waits_for_a_member_list_read_after_the_claim) {
    promotion machine;
    promotion_input input = make_input();
    input.is_loss_confirmed = true;
    input.members_requested_at = 900;
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_written{1, 11}, 1020);
    machine.step(input, lease_released{"vm1", 11}, 1030);
    machine.step(input, lease_released{"vm2", 11}, 1040);
    EXPECT_EQ(machine.get_phase(), promotion_phase::revoking);
    input.members_requested_at = 1025;
    input.members.insert("vm3");
    machine.step(input, input_changed{}, 1050);
    EXPECT_EQ(machine.get_phase(), promotion_phase::revoking);
    machine.step(input, lease_released{"vm3", 11}, 1060);
    EXPECT_EQ(machine.get_phase(), promotion_phase::surveying);
}

// Guards against the loss of commits that another replica has received.
TEST(promotion, promotes_the_most_advanced_replica) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    ASSERT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    const auto actions =
        claimed.machine.step(claimed.input, report_received{1, "t3", make_replica(95)}, 1070);
    const request_promotion* request = find<request_promotion>(actions);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->target, "t3");
    EXPECT_EQ(request->fence, 11);
}

// Guards against the promotion of a lagging replica because the better one refused its report with
// "busy" or "too many connections" (review case 1).
TEST(promotion, asks_a_target_again_that_refused_its_report) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    auto actions = claimed.machine.step(claimed.input, report_refused{1, "t3"}, 1540);
    ASSERT_NE(find<request_report>(actions), nullptr);
    EXPECT_EQ(find<request_report>(actions)->target, "t3");
    actions = claimed.machine.step(claimed.input, input_changed{}, 1800);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
    actions = claimed.machine.step(claimed.input, report_received{1, "t3", make_replica(95)}, 1900);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t3");
}

// Guards against the promotion of a lagging replica because the report of the better one, which
// answers other statements, timed out.
TEST(promotion, waits_for_the_report_of_a_responsive_target) {
    claimed_promotion claimed;
    claimed.input.responsive_targets["t3"] = std::nullopt;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    claimed.machine.step(claimed.input, input_changed{}, 1500);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
    const auto actions =
        claimed.machine.step(claimed.input, report_received{1, "t3", std::nullopt}, 1540);
    ASSERT_NE(find<request_report>(actions), nullptr);
    claimed.input.responsive_targets.clear();
    claimed.machine.step(claimed.input, report_received{1, "t3", std::nullopt}, 2040);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::requesting_promotion);
}

// Guards against a group that stays without a primary because a target keeps refusing its report.
TEST(promotion, waits_for_a_refused_report_for_a_limited_time) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    for (std::int64_t now = 1100; now < 3040; now += 40) {
        claimed.machine.step(claimed.input, report_refused{1, "t3"}, now);
        EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
    }
    const auto actions = claimed.machine.step(claimed.input, input_changed{}, 3041);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t2");
}

// Guards against the promotion of a lagging replica because the better one is too busy to report
// for the whole survey; its answers to other statements show what its log has reached.
TEST(promotion, promotes_a_busy_target_whose_answers_show_more_commits) {
    claimed_promotion claimed;
    claimed.input.responsive_targets["t3"] = state::log_point{3, 95};
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    for (std::int64_t now = 1100; now < 3040; now += 40) {
        const auto actions = claimed.machine.step(claimed.input, report_refused{1, "t3"}, now);
        EXPECT_EQ(find<request_promotion>(actions), nullptr);
    }
    const auto actions = claimed.machine.step(claimed.input, input_changed{}, 3041);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t3");
}

// Guards against the promotion of a lagging replica because this VM was suspended while the better
// one was busy, or the deadline came first (found by leadership_exploration, seed 3346566282).
TEST(promotion, promotes_nothing_when_time_to_hear_a_live_target_was_missing) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    claimed.machine.step(claimed.input, report_refused{1, "t3"}, 1070);
    claimed.machine.step(claimed.input, input_changed{}, 5400);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
    const auto actions = claimed.machine.step(claimed.input, input_changed{}, 5501);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions), nullptr);
}

// Guards against the replacement of a primary that works after all.
TEST(promotion, keeps_a_primary_that_answers_the_survey) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input,
                         report_received{1, "t1", survey_report{true, 3, {3, 99}, 0}}, 1050);
    claimed.machine.step(claimed.input, report_received{1, "t2", make_replica(90)}, 1060);
    const auto actions =
        claimed.machine.step(claimed.input, report_received{1, "t3", make_replica(95)}, 1070);
    EXPECT_EQ(find<request_promotion>(actions), nullptr);
    const write_record* write = find<write_record>(actions);
    ASSERT_NE(write, nullptr);
    EXPECT_EQ(write->record, (leadership_record{"t1", 3, {}, 0}));
    EXPECT_EQ(write->expected, 11);
}

// Guards against a return to a primary of an older term, which lacks newer commits
// (found by leadership_exploration).
TEST(promotion, does_not_return_to_a_superseded_primary) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    claimed.machine.step(claimed.input, report_received{1, "t1", std::nullopt}, 1050);
    claimed.machine.step(claimed.input,
                         report_received{1, "t2", survey_report{true, 2, {2, 99}, 0}}, 1060);
    const auto actions =
        claimed.machine.step(claimed.input, report_received{1, "t3", make_replica(95)}, 1070);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t3");
}

/** A promotion that has taken over the unfinished change of another VM, with claim version 21. */
class taken_over_promotion {
public:
    taken_over_promotion() : input(make_input()) {
        input.record = leadership_record{"t1", 3, "vm2/5/1", 11};
        machine.step(input, input_changed{}, 1000);
        machine.step(input, input_changed{}, 8000);
        machine.step(input, record_written{1, 21}, 8020);
        machine.step(input, lease_released{"vm1", 21}, 8030);
        machine.step(input, lease_released{"vm2", 21}, 8040);
        EXPECT_EQ(machine.get_phase(), promotion_phase::surveying);
    }

    promotion machine;
    promotion_input input;
};

// Guards against two primaries: the VM whose change was taken over may have promoted a target that
// this VM does not reach (found by leadership_exploration).
TEST(promotion, does_not_keep_the_old_primary_of_a_change_that_it_took_over) {
    taken_over_promotion change;
    change.machine.step(change.input, report_received{1, "t1", survey_report{true, 3, {3, 99}, 0}},
                        8050);
    change.machine.step(change.input, report_received{1, "t2", std::nullopt}, 8060);
    change.machine.step(change.input, report_received{1, "t3", make_replica(99)}, 8070);
    EXPECT_EQ(change.machine.get_phase(), promotion_phase::requesting_promotion);
}

// Guards against a group without a primary when no other target can be promoted.
TEST(promotion, keeps_the_old_primary_when_no_target_knows_a_newer_term) {
    taken_over_promotion change;
    change.input.targets = {"t1"};
    change.input.candidates = {"t1"};
    const survey_report old{true, 3, {3, 99}, 0};
    std::int64_t now = 8040;
    for (int survey = 1; now < 8020 + 2000; now += 320, ++survey) {
        change.machine.step(change.input, report_received{survey, "t2", std::nullopt}, now);
        change.machine.step(change.input, report_received{survey, "t3", std::nullopt}, now);
        change.machine.step(change.input, report_received{survey, "t1", old}, now);
        EXPECT_EQ(change.machine.get_phase(), promotion_phase::surveying);
        change.machine.step(change.input, input_changed{}, now + 310);
    }
    std::vector<promotion_action> actions;
    for (int survey = 1; survey < 12 && find<write_record>(actions) == nullptr; ++survey) {
        actions = change.machine.step(change.input, report_received{survey, "t1", old}, now);
    }
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t1", 3, {}, 0}));
}

// Guards against two primaries: two earlier changes may each have promoted a target without
// recording it, and this VM may reach only the first of them (found by leadership_exploration,
// partial_reports, seed 2641931027).
TEST(promotion, promotes_a_found_primary_again_while_another_may_be_newer) {
    taken_over_promotion change;
    const survey_report found{true, 4, {4, 1}, 0};
    change.machine.step(change.input, report_received{1, "t1", std::nullopt}, 8050);
    change.machine.step(change.input, report_received{1, "t2", found}, 8060);
    auto actions = change.machine.step(change.input, report_received{1, "t3", std::nullopt}, 8070);
    if (actions.empty()) {
        actions = change.machine.step(change.input, input_changed{}, 8400);
    }
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t2");
    change.machine.step(change.input, promotion_answered{21, promotion_outcome::accepted}, 8500);
    // The report may have been sent before the promotion takes effect.
    promotion unchanged = change.machine;
    actions = change.machine.step(change.input, report_received{1, "t2", found}, 8600);
    EXPECT_EQ(find<write_record>(actions), nullptr);
    actions = change.machine.step(
        change.input, report_received{1, "t2", survey_report{true, 6, {6, 1}, 0}}, 9500);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t2", 6, {}, 0}));
    // A target that was the newest primary all along keeps its term.
    actions = unchanged.step(change.input, report_received{1, "t2", found}, 8500 + 2000);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t2", 4, {}, 0}));
}

// Guards against a second promotion of a primary that the other targets already follow.
TEST(promotion, records_a_found_primary_when_no_target_knows_a_newer_term) {
    taken_over_promotion change;
    std::vector<promotion_action> actions;
    for (const std::int64_t now : {8050, 8020 + 2000}) {
        // Surveys last until a candidate is listed; the second one begins after the effect time.
        change.input.candidates.clear();
        change.machine.step(change.input, report_received{1, "t1", std::nullopt}, now);
        change.machine.step(change.input, report_received{1, "t2", std::nullopt}, now);
        change.machine.step(change.input, report_received{1, "t3", std::nullopt}, now);
    }
    ASSERT_EQ(change.machine.get_phase(), promotion_phase::surveying);
    change.input.candidates = change.input.targets;
    for (int survey = 1; survey <= 4 && find<write_record>(actions) == nullptr; ++survey) {
        change.machine.step(change.input, report_received{survey, "t1", std::nullopt}, 10100);
        change.machine.step(
            change.input, report_received{survey, "t2", survey_report{true, 4, {4, 1}, 0}}, 10100);
        actions = change.machine.step(
            change.input, report_received{survey, "t3", survey_report{false, 4, {4, 1}, 0}}, 10100);
    }
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t2", 4, {}, 0}));
}

// Guards against a planned change that loses commits of the leaving primary.
TEST(promotion, a_planned_change_waits_until_a_replica_has_caught_up) {
    promotion machine;
    promotion_input input = make_input();
    input.is_primary_leaving = true;
    input.candidates = {"t2", "t3"};
    input.members = {"vm1"};
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_written{1, 11}, 1010);
    machine.step(input, lease_released{"vm1", 11}, 1020);
    const survey_report old{true, 3, {3, 100}, 0};
    machine.step(input, report_received{1, "t1", old}, 1030);
    machine.step(input, report_received{1, "t2", make_replica(99)}, 1030);
    auto actions = machine.step(input, report_received{1, "t3", make_replica(98)}, 1030);
    EXPECT_EQ(find<request_promotion>(actions), nullptr);
    EXPECT_NE(find<request_report>(actions), nullptr);
    machine.step(input, report_received{2, "t1", old}, 1050);
    machine.step(input, report_received{2, "t2", make_replica(100)}, 1050);
    actions = machine.step(input, report_received{2, "t3", make_replica(99)}, 1050);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t2");
}

/** The input of a group whose primary t1 was lost before any record was written. */
promotion_input make_unrecorded_input() {
    promotion_input input = make_input();
    input.record.reset();
    input.unrecorded_primary = {"t1", 0};
    input.listed_primaries = {"t1"};
    input.is_loss_confirmed = true;
    return input;
}

// Guards against a primary that is never replaced because it was lost before the first leadership
// record was written (review case 3).
TEST(promotion, a_primary_without_a_record_is_replaced) {
    promotion machine;
    const promotion_input input = make_unrecorded_input();
    auto actions = machine.step(input, input_changed{}, 10000);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->expected, 0);
    EXPECT_EQ(find<write_record>(actions)->record,
              (leadership_record{"t1", 0, "vm1/7/1", 0, input.era}));
    machine.step(input, record_written{1, 11}, 10020);
    machine.step(input, lease_released{"vm1", 11}, 10030);
    machine.step(input, lease_released{"vm2", 11}, 10030);
    machine.step(input, report_received{1, "t1", std::nullopt}, 10040);
    machine.step(input, report_received{1, "t2", make_replica(90)}, 10040);
    actions = machine.step(input, report_received{1, "t3", make_replica(95)}, 10040);
    ASSERT_NE(find<request_promotion>(actions), nullptr);
    EXPECT_EQ(find<request_promotion>(actions)->target, "t3");
    actions = machine.step(input, promotion_answered{11, promotion_outcome::accepted}, 10060);
    ASSERT_NE(find<step_down>(actions), nullptr);
    EXPECT_EQ(find<step_down>(actions)->target, "t1");
    EXPECT_EQ(find<step_down>(actions)->term, 4U);
}

// Guards against two promotions at once: the store may have lost the claim of another VM.
TEST(promotion, a_primary_without_a_record_is_not_replaced_soon_after_a_restore) {
    promotion machine;
    promotion_input input = make_unrecorded_input();
    input.era_since = 4000;
    EXPECT_EQ(find<write_record>(machine.step(input, input_changed{}, 10000)), nullptr);
    EXPECT_NE(find<write_record>(machine.step(input, input_changed{}, 10501)), nullptr);
}

// Guards against the replacement of the wrong one of two listed primaries, and against a claim
// while this VM or another one reaches the primary.
TEST(promotion, a_primary_without_a_record_is_kept_unless_it_is_lost_for_sure) {
    promotion_input two = make_unrecorded_input();
    two.listed_primaries.insert("t2");
    EXPECT_TRUE(promotion().step(two, input_changed{}, 10000).empty());
    promotion_input reached = make_unrecorded_input();
    reached.is_loss_confirmed = false;
    reached.discovered_primary = {"t1", 3};
    const auto actions = promotion().step(reached, input_changed{}, 10000);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t1", 3, {}, 0}));
}

// Guards against a returning primary that is recorded although the claim of another VM, which the
// store lost, may have promoted a replica.
TEST(promotion, a_returning_primary_without_a_record_is_kept_if_no_target_knows_a_newer_term) {
    promotion machine;
    const promotion_input input = make_unrecorded_input();
    machine.step(input, input_changed{}, 10000);
    machine.step(input, record_written{1, 11}, 10020);
    machine.step(input, lease_released{"vm1", 11}, 10030);
    machine.step(input, lease_released{"vm2", 11}, 10030);
    const survey_report old{true, 3, {3, 100}, 0};
    machine.step(input, report_received{1, "t1", old}, 10040);
    machine.step(input, report_received{1, "t2", std::nullopt}, 10040);
    const auto actions = machine.step(input, report_received{1, "t3", make_replica(95)}, 10040);
    EXPECT_EQ(find<write_record>(actions), nullptr);
}

// Guards against writes in flight that the old primary commits while the new one takes over.
TEST(promotion, demotes_the_old_primary_and_records_the_new_one) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    for (const char* target : {"t1", "t2", "t3"}) {
        claimed.machine.step(claimed.input, report_received{1, target, make_replica(90)}, 1050);
    }
    auto actions = claimed.machine.step(claimed.input,
                                        promotion_answered{11, promotion_outcome::accepted}, 1060);
    const step_down* demotion = find<step_down>(actions);
    ASSERT_NE(demotion, nullptr);
    EXPECT_EQ(demotion->target, "t1");
    EXPECT_EQ(demotion->term, 4U);
    actions = claimed.machine.step(claimed.input, input_changed{}, 1400);
    EXPECT_NE(find<request_report>(actions), nullptr);
    actions = claimed.machine.step(
        claimed.input, report_received{1, "t2", survey_report{true, 4, {4, 1}, 0}}, 1700);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_EQ(find<write_record>(actions)->record, (leadership_record{"t2", 4, {}, 0}));
    actions = claimed.machine.step(claimed.input, record_written{2, 15}, 1710);
    ASSERT_NE(find<change_ended>(actions), nullptr);
    EXPECT_EQ(find<change_ended>(actions)->record.version, 15);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::watching);
}

// Guards against a group that stays without a primary when the VM replacing it fails.
TEST(promotion, takes_over_an_unfinished_change) {
    promotion machine;
    promotion_input input = make_input();
    input.record = leadership_record{"t1", 3, "vm2/5", 11};
    EXPECT_TRUE(machine.step(input, input_changed{}, 1000).empty());
    EXPECT_TRUE(machine.step(input, input_changed{}, 7000).empty());
    EXPECT_NE(find<write_record>(machine.step(input, input_changed{}, 7600)), nullptr);
}

// Guards against a promotion request with an old fence from a VM that was suspended after its
// claim.
TEST(promotion, sends_no_request_after_the_deadline) {
    claimed_promotion claimed;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1040);
    for (const char* target : {"t1", "t2"}) {
        claimed.machine.step(claimed.input, report_received{1, target, make_replica(90)}, 1050);
    }
    const auto actions =
        claimed.machine.step(claimed.input, report_received{1, "t3", make_replica(90)}, 9000);
    EXPECT_EQ(find<request_promotion>(actions), nullptr);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
}

// Guards against two VMs that continue the same change.
TEST(promotion, stops_when_another_vm_has_taken_over) {
    claimed_promotion claimed;
    claimed.input.record = leadership_record{"t1", 3, "vm2/5", 12};
    const auto actions = claimed.machine.step(claimed.input, input_changed{}, 1100);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::watching);
}

// Guards against a change without an owner after the answer to the claim was lost.
TEST(promotion, continues_an_unanswered_claim_that_the_store_shows) {
    promotion machine;
    promotion_input input = make_input();
    input.is_loss_confirmed = true;
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_unknown{1}, 2200);
    EXPECT_EQ(machine.get_phase(), promotion_phase::claiming);
    input.record = leadership_record{"t1", 3, "vm1/7/1", 13};
    machine.step(input, input_changed{}, 2300);
    EXPECT_EQ(machine.get_phase(), promotion_phase::revoking);
    EXPECT_EQ(machine.get_claim_version(), 13);
}

// Guards against the row of a VM's own unfinished claim that is taken for the confirmation of a
// second claim: the write of the second may be applied later, with a higher fence.
TEST(promotion, an_earlier_claim_of_the_same_vm_does_not_confirm_a_later_one) {
    claimed_promotion claimed;
    claimed.input.record = leadership_record{"t1", 3, "vm1/7/1", 11};
    claimed.machine.step(claimed.input, input_changed{}, 1100);
    const auto gave_up = claimed.machine.step(claimed.input, input_changed{}, 5600);
    claimed.machine.step(claimed.input, input_changed{}, 6000);
    ASSERT_EQ(claimed.machine.get_phase(), promotion_phase::watching);
    const auto second = claimed.machine.step(claimed.input, input_changed{}, 8000);
    const write_record* write = find<write_record>(second);
    ASSERT_NE(write, nullptr);
    claimed.machine.step(claimed.input, record_unknown{write->write}, 9200);
    claimed.machine.step(claimed.input, input_changed{}, 9300);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::claiming);
    claimed.input.record = leadership_record{"t1", 3, write->record.changer, 14};
    claimed.machine.step(claimed.input, input_changed{}, 9400);
    EXPECT_EQ(claimed.machine.get_claim_version(), 14);
}

// Guards against a promotion request after another VM may have taken the claim over: the write of
// the claim may have been applied long before its answer arrives.
TEST(promotion, counts_the_request_deadline_from_the_claim_that_was_sent) {
    promotion machine;
    promotion_input input = make_input();
    input.is_loss_confirmed = true;
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_written{1, 11}, 3900);
    machine.step(input, lease_released{"vm1", 11}, 3910);
    machine.step(input, lease_released{"vm2", 11}, 5600);
    std::vector<promotion_action> actions;
    for (const char* target : {"t1", "t2", "t3"}) {
        const auto step = machine.step(input, report_received{1, target, make_replica(90)}, 5650);
        actions.insert(actions.end(), step.begin(), step.end());
    }
    EXPECT_EQ(find<request_promotion>(actions), nullptr);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
}

// Guards against an answer to an earlier write that is taken for the answer to the claim: the VM
// would act although its conditional write may have failed (found by leadership_exploration).
TEST(promotion, ignores_the_answer_to_an_earlier_write) {
    promotion machine;
    promotion_input input = make_input();
    input.is_loss_confirmed = true;
    machine.step(input, input_changed{}, 1000);
    ASSERT_EQ(machine.get_phase(), promotion_phase::claiming);
    machine.step(input, record_written{0, 10}, 1010);
    EXPECT_EQ(machine.get_phase(), promotion_phase::claiming);
    machine.step(input, record_written{1, 11}, 1020);
    EXPECT_EQ(machine.get_claim_version(), 11);
}

// Guards against a recently joined VM that replaces a primary still used by VMs that it cannot
// reach.
TEST(promotion, a_recently_joined_vm_needs_the_answer_of_another_member) {
    promotion machine;
    promotion_input input = make_input();
    input.is_established = false;
    input.is_loss_confirmed = true;
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_written{1, 11}, 1020);
    machine.step(input, lease_released{"vm1", 11}, 1030);
    const auto actions = machine.step(input, input_changed{}, 1200 + lease_duration_ms);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
}

// Guards against a promotion by VMs that all joined recently: a member that they cannot reach may
// not know any of them and extend its lease by promises of others (found by leadership_exploration,
// late_store, seed 3335917238).
TEST(promotion, a_recently_joined_vm_waits_for_the_answer_of_an_established_member) {
    promotion machine;
    promotion_input input = make_input();
    input.members.insert("vm3");
    input.is_established = false;
    input.is_loss_confirmed = true;
    machine.step(input, input_changed{}, 1000);
    machine.step(input, record_written{1, 11}, 1020);
    machine.step(input, lease_released{"vm1", 11}, 1030);
    machine.step(input, lease_released{"vm2", 11}, 1040);
    promotion answered = machine;
    const auto actions = machine.step(input, input_changed{}, 1200 + lease_duration_ms);
    EXPECT_NE(find<change_abandoned>(actions), nullptr);
    answered.step(input, lease_released{"vm2", 11, true}, 1300);
    answered.step(input, input_changed{}, 1300 + lease_duration_ms);
    EXPECT_EQ(answered.get_phase(), promotion_phase::revoking);
    answered.step(input, input_changed{}, 1400 + lease_duration_ms);
    EXPECT_EQ(answered.get_phase(), promotion_phase::surveying);
}

/** An input after a restore of the store to its second era. */
promotion_input make_restored_input() {
    promotion_input input = make_input();
    input.record = leadership_record{"t1", 3, {}, make_store_version(2, 10), 1};
    input.era = 2;
    return input;
}

// Guards against a restored record that no VM may use, and against one that each VM writes again.
TEST(promotion, a_vm_with_a_lease_writes_a_restored_record_again) {
    promotion machine;
    promotion_input input = make_restored_input();
    input.has_lease = true;
    input.may_claim = false;
    input.rank = 1;
    EXPECT_TRUE(machine.step(input, input_changed{}, 1000).empty());
    const auto actions = machine.step(input, input_changed{}, 1150);
    const write_record* write = find<write_record>(actions);
    ASSERT_NE(write, nullptr);
    EXPECT_EQ(write->record, (leadership_record{"t1", 3, {}, 0, 2}));
    EXPECT_EQ(write->expected, make_store_version(2, 10));
    EXPECT_TRUE(machine.step(input, input_changed{}, 1200).empty());
}

// Guards against a VM without a lease that trusts a restored record, or takes it over while another
// VM may still request the promotion of the lost claim.
TEST(promotion, a_restored_record_in_doubt_is_taken_over_like_an_unfinished_change) {
    constexpr std::int64_t takeover_timeout_ms = 6500;
    promotion machine;
    promotion_input input = make_restored_input();
    input.is_loss_confirmed = true;
    EXPECT_TRUE(machine.step(input, input_changed{}, 1000).empty());
    EXPECT_TRUE(machine.step(input, input_changed{}, 1000 + takeover_timeout_ms).empty());
    const auto actions = machine.step(input, input_changed{}, 1001 + takeover_timeout_ms);
    ASSERT_NE(find<write_record>(actions), nullptr);
    EXPECT_TRUE(find<write_record>(actions)->record.is_changing());
}

// Guards against a promotion for a claim that the store has lost, and against a lost claim that
// delays the change once each lease has ended.
TEST(promotion, a_change_whose_claim_was_lost_goes_on_only_after_all_leases_ended) {
    for (const bool is_released : {false, true}) {
        promotion machine;
        promotion_input input = make_input();
        input.record->version = make_store_version(1, 10);
        input.record->era = 1;
        input.era = 1;
        input.is_loss_confirmed = true;
        machine.step(input, input_changed{}, 1000);
        const store_version claim = make_store_version(1, 11);
        machine.step(input, record_written{1, claim}, 1020);
        if (is_released) {
            machine.step(input, lease_released{"vm1", claim}, 1030);
            machine.step(input, lease_released{"vm2", claim}, 1040);
            for (const char* target : {"t1", "t2", "t3"}) {
                machine.step(input, report_received{1, target, survey_report{false, 3, {3, 7}, 0}},
                             1100);
            }
            EXPECT_EQ(machine.get_phase(), promotion_phase::requesting_promotion);
        }
        input.record = leadership_record{"t1", 3, {}, make_store_version(2, 10), 1};
        input.era = 2;
        machine.step(input, input_changed{}, 1200);
        EXPECT_EQ(machine.get_phase(),
                  is_released ? promotion_phase::requesting_promotion : promotion_phase::watching);
        if (is_released) {
            machine.step(input, promotion_answered{claim, promotion_outcome::accepted}, 1250);
            EXPECT_EQ(machine.get_phase(), promotion_phase::awaiting_promotion);
            const auto actions = machine.step(
                input, report_received{1, "t2", survey_report{true, 4, {4, 0}, 0}}, 2000);
            const write_record* write = find<write_record>(actions);
            ASSERT_NE(write, nullptr);
            EXPECT_EQ(write->record, (leadership_record{"t2", 4, {}, 0, 2}));
            EXPECT_EQ(write->expected, make_store_version(2, 10));
        }
    }
}

// Guards against a promotion while a lease goes on: the store was restored after the claim, and
// neither the VM with the lease nor the store is heard.
TEST(promotion, silent_members_are_waited_for_until_the_store_was_read_again) {
    claimed_promotion claimed;
    claimed.input.members_requested_at = 2900;
    const auto actions = claimed.machine.step(claimed.input, input_changed{}, 3200);
    EXPECT_NE(find<read_store>(actions), nullptr);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::revoking);
    claimed.input.members_requested_at = 3210;
    claimed.machine.step(claimed.input, input_changed{}, 3260);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
}

// Guards against a change that waits for the store although each member has answered.
TEST(promotion, members_that_all_answered_need_no_other_read_after_the_lease_time) {
    claimed_promotion claimed;
    claimed.input.members_requested_at = 900;
    claimed.machine.step(claimed.input, lease_released{"vm2", 11}, 1100);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::revoking);
    claimed.machine.step(claimed.input, input_changed{}, 3200);
    EXPECT_EQ(claimed.machine.get_phase(), promotion_phase::surveying);
}

/** A promotion of t2 whose record is being written since time 1200. */
class recording_promotion {
public:
    recording_promotion() : input(make_input()) {
        input.record->version = make_store_version(1, 10);
        input.record->era = 1;
        input.era = 1;
        input.is_loss_confirmed = true;
        machine.step(input, input_changed{}, 1000);
        machine.step(input, record_written{1, claim}, 1020);
        machine.step(input, lease_released{"vm1", claim}, 1030);
        machine.step(input, lease_released{"vm2", claim}, 1040);
        for (const char* target : {"t1", "t2", "t3"}) {
            const bool is_chosen = std::string(target) == "t2";
            machine.step(input, report_received{1, target, survey_report{is_chosen, 4, {4, 7}, 0}},
                         1200);
        }
        EXPECT_EQ(machine.get_phase(), promotion_phase::recording);
    }

    store_version claim = make_store_version(1, 11);
    promotion machine;
    promotion_input input;
};

// Guards against a promotion that took effect and is known to nobody for seconds, because the store
// was unavailable for a moment when its record was written.
TEST(promotion, the_record_is_written_again_until_another_vm_may_take_over) {
    recording_promotion recording;
    std::int64_t now = 1200;
    int failed_write = 2;
    recording.machine.step(recording.input, record_unknown{failed_write}, now);
    for (; recording.machine.get_phase() == promotion_phase::recording; now += 40) {
        const auto actions = recording.machine.step(recording.input, input_changed{}, now);
        if (const write_record* write = find<write_record>(actions)) {
            failed_write = write->write;
            recording.machine.step(recording.input, record_unknown{failed_write}, now);
        }
        ASSERT_LT(now, 20000);
    }
    EXPECT_GT(now, 7500);
    EXPECT_GT(failed_write, 20);
}

// Guards against the loss of a promotion whose record could not be written before the store was
// restored, and against an older primary that is recorded after a restore lost a later change.
TEST(promotion, a_record_is_written_after_a_restore_only_if_no_later_change_can_be_lost) {
    for (const auto& [now, revoked, is_written] :
         {std::tuple{std::int64_t{2000}, std::int64_t{10}, true},
          std::tuple{std::int64_t{2000}, std::int64_t{12}, false},
          std::tuple{std::int64_t{3300}, std::int64_t{10}, false}}) {
        recording_promotion recording;
        recording.input.record = leadership_record{"t1", 3, {}, make_store_version(2, 10), 1};
        recording.input.era = 2;
        recording.input.revoked_version = make_store_version(1, revoked);
        const auto actions = recording.machine.step(recording.input, input_changed{}, now);
        const write_record* write = find<write_record>(actions);
        EXPECT_EQ(write != nullptr, is_written) << now << " " << revoked;
        if (write != nullptr) {
            EXPECT_EQ(write->record, (leadership_record{"t2", 4, {}, 0, 2}));
            EXPECT_EQ(write->expected, make_store_version(2, 10));
        }
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
