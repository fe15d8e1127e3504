#include "coordination/group_monitor.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using state::target_status;
using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

time_point at(int ms) {
    return start + milliseconds(ms);
}

class group_monitor_test : public ::testing::Test {
protected:
    group_monitor_test() { step(group_configured{{"a", "b", "c"}}, 0); }

    std::vector<group_action> step(const group_event& event, int now) {
        group_monitor_step result = step_group_monitor(std::move(monitor_), event, at(now));
        monitor_ = std::move(result.state);
        return result.actions;
    }

    std::vector<group_action> answer(const std::string& target, int began, int ended,
                                     const target_status& status) {
        return step(poll_answered{target, at(began), at(ended), status}, ended);
    }

    void fail(const std::string& target, int began, int ended, poll_failure kind) {
        step(poll_failed{target, at(began), at(ended), kind}, ended);
    }

    static target_status primary(state::term_number term, state::log_position position) {
        return {term, "", term, 0, position, true, {}};
    }

    static target_status replica(state::term_number term, state::log_position position,
                                 std::optional<milliseconds> contact = milliseconds(50)) {
        return {term, "", term, 0, position, false, contact};
    }

    group_evidence evidence(int now) const { return get_evidence(monitor_, at(now)); }

    group_monitor_state monitor_;
};

// Guards against a proof from less than a majority of answers, or from polls begun too early.
TEST_F(group_monitor_test, a_proof_needs_a_majority_of_polls_begun_after_it) {
    answer("a", 10, 20, primary(1, 7));
    EXPECT_FALSE(monitor_.view.proof);
    answer("b", 5, 21, replica(1, 9));
    ASSERT_TRUE(monitor_.view.proof);
    EXPECT_EQ(monitor_.view.proof->valid_from, at(5));
    EXPECT_EQ(monitor_.view.proof->point, (state::log_point{1, 9}));
    answer("c", 30, 40, replica(1, 3));
    EXPECT_EQ(monitor_.view.proof->valid_from, at(10)) << "a and c began at or after 10";
    EXPECT_EQ(monitor_.view.proof->point, (state::log_point{1, 7})) << "b began before 10";
}

// Guards against a late answer to an older poll that lowers a status or a proof.
TEST_F(group_monitor_test, late_answers_to_older_polls_change_nothing) {
    answer("a", 50, 60, primary(1, 9));
    answer("b", 50, 60, replica(1, 9));
    const group_monitor_state before = monitor_;
    EXPECT_TRUE(answer("a", 10, 70, primary(1, 2)).empty());
    fail("b", 10, 70, poll_failure::timed_out);
    EXPECT_EQ(monitor_.view, before.view);
}

// Guards against routing to a primary after a majority accepted a higher term.
TEST_F(group_monitor_test, a_primary_is_dropped_when_a_majority_accepted_a_higher_term) {
    answer("a", 0, 1, primary(1, 5));
    EXPECT_EQ(monitor_.view.primary, (state::primary_view{"a", 1}));
    target_status fenced = replica(1, 5);
    fenced.accepted_term = 2;
    answer("b", 10, 11, fenced);
    EXPECT_TRUE(monitor_.view.primary) << "one fenced target is no majority";
    answer("c", 10, 12, fenced);
    EXPECT_FALSE(monitor_.view.primary);
    const auto actions = answer("b", 20, 21, primary(2, 5));
    EXPECT_EQ(monitor_.view.primary, (state::primary_view{"b", 2}));
    EXPECT_TRUE(std::ranges::any_of(actions, [](const group_action& action) {
        return std::holds_alternative<primary_changed>(action);
    }));
}

// Guards against accepting a returning old primary as the current one.
TEST_F(group_monitor_test, the_highest_term_wins) {
    answer("b", 0, 1, primary(2, 5));
    answer("a", 0, 2, primary(1, 50));
    EXPECT_EQ(monitor_.view.primary, (state::primary_view{"b", 2}));
}

// Guards against a loss declared after one refused connection or two in a burst.
TEST_F(group_monitor_test, refused_connections_count_with_a_minimum_spacing) {
    answer("a", 0, 1, primary(1, 5));
    fail("a", 100, 101, poll_failure::refused);
    EXPECT_FALSE(evidence(101).is_primary_unreachable);
    fail("a", 110, 120, poll_failure::refused);
    EXPECT_FALSE(evidence(120).is_primary_unreachable) << "19 ms apart";
    fail("a", 150, 151, poll_failure::refused);
    EXPECT_TRUE(evidence(151).is_primary_unreachable);
    answer("a", 160, 161, primary(1, 5));
    EXPECT_FALSE(evidence(161).is_primary_unreachable);
}

// Guards against declaring a loss of a target that answers with errors.
TEST_F(group_monitor_test, rejected_polls_are_no_loss) {
    answer("a", 0, 1, primary(1, 5));
    for (int i = 1; i < 10; ++i) {
        fail("a", 100 * i, 100 * i + 1, poll_failure::rejected);
    }
    EXPECT_FALSE(evidence(1000).is_primary_unreachable);
    EXPECT_EQ(monitor_.view.targets.at("a").consecutive_failures, 9);
}

// Guards against keeping a hung primary because it rejects new connections once all are occupied
// by polls that timed out.
TEST_F(group_monitor_test, rejected_polls_do_not_end_a_loss) {
    answer("a", 0, 1, primary(1, 5));
    fail("a", 100, 400, poll_failure::timed_out);
    fail("a", 400, 700, poll_failure::timed_out);
    ASSERT_TRUE(evidence(700).is_primary_unreachable);
    fail("a", 750, 751, poll_failure::rejected);
    EXPECT_TRUE(evidence(751).is_primary_unreachable);
}

// Guards against missing a partition of the primary from its replicas, and against declaring one
// when only one replica lost contact.
TEST_F(group_monitor_test, replicas_without_contact_show_a_cut_off_primary) {
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5, milliseconds(700)));
    answer("c", 0, 1, replica(1, 5, milliseconds(100)));
    answer("b", 200, 201, replica(1, 5, milliseconds(900)));
    EXPECT_FALSE(evidence(201).is_primary_cut_off);
    answer("c", 300, 301, replica(1, 5, milliseconds(601)));
    EXPECT_FALSE(evidence(301).is_primary_cut_off) << "not confirmed by a later poll yet";
    answer("c", 420, 421, replica(1, 5, milliseconds(720)));
    EXPECT_TRUE(evidence(421).is_primary_cut_off);
}

// Guards against a contact age that refers to the primary of an older term.
TEST_F(group_monitor_test, replicas_of_an_older_term_get_time_to_follow) {
    answer("a", 0, 1, primary(2, 5));
    answer("b", 0, 1, replica(1, 5, milliseconds(5000)));
    answer("c", 0, 1, replica(1, 5, milliseconds(5000)));
    EXPECT_FALSE(evidence(500).is_primary_cut_off);
    answer("b", 1600, 1601, replica(1, 5, milliseconds(6600)));
    answer("c", 1600, 1601, replica(1, 5, milliseconds(6600)));
    answer("c", 1750, 1751, replica(1, 5, milliseconds(6750)));
    EXPECT_TRUE(evidence(1751).is_primary_cut_off);
}

// Guards against ignoring replicas with recent contact to the primary.
TEST_F(group_monitor_test, recent_contact_contradicts_a_loss) {
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5, milliseconds(399)));
    EXPECT_TRUE(evidence(1).is_contradicted);
    answer("b", 100, 101, replica(1, 5, milliseconds(401)));
    EXPECT_FALSE(evidence(101).is_contradicted);
}

// Guards against a group that stays fenced after its claimant terminated.
TEST_F(group_monitor_test, a_fenced_group_without_primary_is_superseded) {
    target_status fenced_primary = primary(1, 5);
    fenced_primary.accepted_term = 2;
    target_status fenced = replica(1, 5, milliseconds(2000));
    fenced.accepted_term = 2;
    answer("a", 0, 1, fenced_primary);
    answer("b", 0, 1, fenced);
    EXPECT_FALSE(evidence(200).is_superseded) << "the claimant may still be running";
    answer("a", 310, 311, fenced_primary);
    EXPECT_TRUE(evidence(311).is_superseded);
}

// Guards against a claim by a proxy that cannot reach a primary that its replicas can reach.
TEST_F(group_monitor_test, an_unreachable_primary_with_replica_contact_is_not_superseded) {
    target_status following = replica(2, 5, milliseconds(50));
    target_status lagging = replica(1, 4, milliseconds(900));
    lagging.accepted_term = 2;
    answer("b", 0, 1, following);
    answer("c", 0, 1, lagging);
    answer("b", 3000, 3001, following);
    answer("c", 3000, 3001, lagging);
    EXPECT_FALSE(evidence(3001).is_superseded);
    EXPECT_FALSE(evidence(3001).is_without_primary);
}

// Guards against using answers from before a pause.
TEST_F(group_monitor_test, dropped_views_contain_no_answers) {
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5));
    step(views_dropped{}, 5000);
    EXPECT_FALSE(monitor_.view.primary);
    EXPECT_FALSE(monitor_.view.proof);
    EXPECT_TRUE(evidence(5000).answers.empty());
}

// Guards against a proof from targets that are no longer in the group.
TEST_F(group_monitor_test, changed_targets_invalidate_the_proof) {
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5));
    step(group_configured{{"a", "d", "e", "f", "g"}}, 10);
    EXPECT_FALSE(monitor_.view.proof);
    EXPECT_EQ(monitor_.view.majority, 3U);
    EXPECT_EQ(monitor_.view.targets.size(), 5U);
    EXPECT_FALSE(monitor_.view.targets.contains("b"));
}

// Guards against a standby poller whose long heartbeat delays the confirmation of a failure, and
// against one that keeps polling fast because of a target that has been down for long.
TEST_F(group_monitor_test, a_potential_failure_lasts_until_it_is_resolved) {
    EXPECT_TRUE(has_potential_failure(monitor_)) << "no primary is known";
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5));
    EXPECT_FALSE(has_potential_failure(monitor_));
    fail("c", 10, 20, poll_failure::refused);
    EXPECT_TRUE(has_potential_failure(monitor_));
    for (int i = 1; i <= 20; ++i) {
        fail("c", 10 + i * 50, 20 + i * 50, poll_failure::refused);
    }
    EXPECT_FALSE(has_potential_failure(monitor_)) << "a known failure";
    answer("c", 2000, 2001, replica(1, 5, milliseconds(900)));
    EXPECT_FALSE(has_potential_failure(monitor_)) << "one of two replicas";
    answer("b", 2010, 2011, replica(1, 5, milliseconds(900)));
    EXPECT_TRUE(has_potential_failure(monitor_)) << "all replicas lost contact";
    answer("b", 2020, 2021, replica(1, 5));
    EXPECT_FALSE(has_potential_failure(monitor_));
}

// Guards against notifying the other pollers only once this one has evidence: their own polls would
// take the same time again.
TEST_F(group_monitor_test, the_first_failures_of_a_target_notify_the_others) {
    answer("a", 0, 1, primary(1, 5));
    answer("b", 0, 1, replica(1, 5));
    EXPECT_FALSE(evidence(1).is_target_failing);
    fail("a", 10, 310, poll_failure::timed_out);
    EXPECT_TRUE(evidence(310).is_target_failing);
    EXPECT_FALSE(evidence(310).is_primary_unreachable);
    for (int i = 1; i <= 3; ++i) {
        fail("a", 10 + i * 350, 310 + i * 350, poll_failure::timed_out);
    }
    EXPECT_FALSE(evidence(2000).is_target_failing);
}

}  // namespace
}  // namespace hornbeamhook::coordination
