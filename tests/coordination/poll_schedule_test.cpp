#include "coordination/poll_schedule.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

class poll_schedule_test : public ::testing::Test {
protected:
    bool step(const schedule_event& event, int ms) {
        poll_schedule_step result = step_poll_schedule(schedule_, event, start + milliseconds(ms));
        schedule_ = result.state;
        return !result.actions.empty();
    }

    poll_schedule_state schedule_;
};

// Guards against more than one poll in flight and one queued, regardless of the requests.
TEST_F(poll_schedule_test, requests_during_a_poll_are_batched_into_one) {
    EXPECT_TRUE(step(poll_requested{}, 0));
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(step(poll_requested{}, 1));
        EXPECT_FALSE(step(schedule_checked{true}, 1));
    }
    EXPECT_TRUE(step(poll_finished{true}, 2)) << "begins after all those requests";
    EXPECT_FALSE(step(poll_finished{true}, 3));
}

// Guards against polling an idle target too often or never.
TEST_F(poll_schedule_test, idle_targets_are_polled_at_the_heartbeat_interval) {
    EXPECT_TRUE(step(schedule_checked{}, 0));
    EXPECT_FALSE(step(poll_finished{true}, 1));
    EXPECT_FALSE(step(schedule_checked{}, 249));
    EXPECT_TRUE(step(schedule_checked{}, 250));
}

// Guards against detecting only at the next heartbeat that a replica caught up, and against polling
// back to back while a reader waits.
TEST_F(poll_schedule_test, poll_spacing_grows_while_readers_wait) {
    EXPECT_TRUE(step(poll_requested{}, 0));
    int polls = 0;
    int last_gap = 0;
    int last = 0;
    step(poll_finished{true}, 0);
    for (int ms = 1; ms <= 1000; ++ms) {
        if (step(schedule_checked{true}, ms)) {
            ++polls;
            last_gap = ms - last;
            last = ms;
            step(poll_finished{true}, ms);
        }
    }
    EXPECT_GE(polls, 40);
    EXPECT_LE(polls, 100);
    EXPECT_EQ(last_gap, 25);
}

// Guards against polling a permanently failed target every 50 ms.
TEST_F(poll_schedule_test, failing_targets_are_polled_fast_and_then_at_the_heartbeat) {
    EXPECT_TRUE(step(schedule_checked{}, 0));
    step(poll_finished{false}, 1);
    EXPECT_FALSE(step(poll_requested{}, 2) && step(poll_requested{}, 2));
    int polls = 0;
    for (int ms = 3; ms <= 10'000; ++ms) {
        if (!schedule_.in_flight_since && step(schedule_checked{true}, ms)) {
            ++polls;
        }
        if (schedule_.in_flight_since) {
            step(poll_finished{false}, ms);
        }
    }
    EXPECT_GE(polls, 20);
    EXPECT_LE(polls, 20 + 10'000 / 250);
}

// Guards against keeping the old interval after the rank of a poller changed.
TEST_F(poll_schedule_test, a_changed_heartbeat_takes_effect_immediately) {
    EXPECT_FALSE(step(heartbeat_changed{milliseconds(1000)}, 0));
    EXPECT_TRUE(step(schedule_checked{}, 0));
    step(poll_finished{true}, 1);
    EXPECT_FALSE(step(schedule_checked{}, 600));
    step(heartbeat_changed{milliseconds(250)}, 600);
    EXPECT_EQ(get_next_check(schedule_, false), start + milliseconds(250)) << "overdue";
    EXPECT_TRUE(step(schedule_checked{}, 600));
    step(poll_finished{true}, 601);
    step(heartbeat_changed{milliseconds(1000)}, 602);
    EXPECT_FALSE(step(schedule_checked{}, 1599));
    EXPECT_TRUE(step(schedule_checked{}, 1600));
}

// Guards against a standby poller that handles a request, a failure or a read only at its next long
// heartbeat.
TEST_F(poll_schedule_test, a_standby_poller_polls_on_demand_immediately) {
    step(heartbeat_changed{milliseconds(8000)}, 0);
    EXPECT_TRUE(step(schedule_checked{}, 0));
    step(poll_finished{true}, 1);
    EXPECT_TRUE(step(poll_requested{}, 500));
    step(poll_finished{false}, 501);
    EXPECT_TRUE(step(schedule_checked{}, 551)) << "a failure is confirmed quickly";
    step(poll_finished{true}, 552);
    EXPECT_TRUE(step(schedule_checked{true}, 560)) << "a read waits";
}

// Guards against a group that no poller or every poller polls at the short interval.
TEST_F(poll_schedule_test, the_first_two_pollers_are_active) {
    const heartbeat_intervals intervals{milliseconds(2000), milliseconds(8000)};
    for (std::size_t rank = 0; rank < 6; ++rank) {
        EXPECT_EQ(get_heartbeat(rank, false, intervals),
                  rank < 2 ? intervals.active : intervals.standby);
        EXPECT_EQ(get_heartbeat(rank, true, intervals), intervals.active);
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
