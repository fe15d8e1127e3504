#include "coordination/connection_pool.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;

namespace event = pool_event;
namespace action = pool_action;

const state::time_point start = state::time_point{} + std::chrono::hours(1);

/** A pool with a clock that only tests advance. */
class pool_fixture : public ::testing::Test {
protected:
    explicit pool_fixture(int quota = 3) : pool(make_connection_pool({.quota = quota})) {}

    std::vector<connection_pool_action> feed(const connection_pool_event& value) {
        connection_pool_step step = step_connection_pool(pool, value, now);
        pool = std::move(step.next);
        return step.actions;
    }

    /** Opens a connection for a new waiter. */
    connection_id open_one() {
        const auto actions = feed(event::waiter_arrived{next_waiter++});
        const connection_id id = std::get<action::open>(actions.at(0)).connection;
        feed(event::opened{id});
        return id;
    }

    pooled_connection::phase get_phase(connection_id id) {
        return pool.connections.at(id).current_phase;
    }

    connection_pool pool;
    state::time_point now = start;
    waiter_id next_waiter = 100;
};

using connection_pool_test = pool_fixture;
using phase = pooled_connection::phase;
using actions = std::vector<connection_pool_action>;

// Guards against exceeding the quota and against serving waiters out of order.
TEST_F(connection_pool_test, waiters_queue_at_the_quota_and_are_served_in_order) {
    const connection_id first = open_one();
    open_one();
    open_one();
    EXPECT_TRUE(feed(event::waiter_arrived{1}).empty());
    EXPECT_TRUE(feed(event::waiter_arrived{2}).empty());
    EXPECT_EQ(feed(event::released{first, true}), (actions{action::lend{1, first, false}}));
    EXPECT_EQ(feed(event::released{first, false}),
              (actions{action::close{first}, action::open{2, 4}}));
    EXPECT_EQ(pool.counters.peak, 3);
}

// Guards against lending a connection to a waiter that gave up and will not return it.
TEST_F(connection_pool_test, waiter_that_left_gets_no_connection) {
    const connection_id first = open_one();
    open_one();
    open_one();
    feed(event::waiter_arrived{1});
    feed(event::waiter_left{1});
    EXPECT_TRUE(feed(event::released{first, true}).empty());
    EXPECT_EQ(get_phase(first), phase::idle);
}

// Guards against reusing a connection whose transaction state is not known to be idle.
TEST_F(connection_pool_test, connection_that_is_not_clean_is_closed) {
    const connection_id id = open_one();
    EXPECT_EQ(feed(event::released{id, false}), (actions{action::close{id}}));
    EXPECT_EQ(feed(event::waiter_arrived{1}), (actions{action::open{1, id + 1}}));
}

// Guards against sending a write on a connection that stopped answering while it was idle.
TEST_F(connection_pool_test, connection_idle_for_over_a_second_is_marked_for_a_probe) {
    const connection_id id = open_one();
    feed(event::released{id, true});
    now += milliseconds(1000);
    EXPECT_EQ(feed(event::waiter_arrived{1}), (actions{action::lend{1, id, false}}));
    feed(event::released{id, true});
    now += milliseconds(1001);
    EXPECT_EQ(feed(event::waiter_arrived{2}), (actions{action::lend{2, id, true}}));
}

// Guards against detecting dead connections one timeout after the other.
TEST_F(connection_pool_test, suspect_connection_has_all_idle_ones_tested_and_a_new_one_opened) {
    const connection_id broken = open_one();
    const connection_id idle = open_one();
    const connection_id lent = open_one();
    feed(event::released{idle, true});
    feed(event::waiter_arrived{1});
    EXPECT_EQ(get_phase(idle), phase::lent);
    feed(event::released{idle, true});
    EXPECT_EQ(feed(event::released{broken, false, true}),
              (actions{action::close{broken}, action::test{idle}}));
    EXPECT_EQ(feed(event::waiter_arrived{2, true}), (actions{action::open{2, 4}}));
    EXPECT_EQ(get_phase(lent), phase::lent);
    EXPECT_EQ(feed(event::tested{idle, false}), (actions{action::close{idle}}));
    EXPECT_EQ(pool.counters.tested, 1U);
}

// Guards against a connection that is not used again after its test.
TEST_F(connection_pool_test, connection_that_passed_the_test_is_lent_again) {
    const connection_id broken = open_one();
    const connection_id idle = open_one();
    feed(event::released{idle, true});
    feed(event::released{broken, false, true});
    EXPECT_TRUE(feed(event::tested{idle, true}).empty());
    EXPECT_EQ(feed(event::waiter_arrived{1}), (actions{action::lend{1, idle, false}}));
}

// Guards against homes that keep opening connections to a target at its limit, and against a quota
// that stays low.
TEST_F(connection_pool_test, refusal_lowers_the_quota_at_once_and_it_rises_slowly) {
    const connection_id established = open_one();
    feed(event::waiter_arrived{1});
    EXPECT_TRUE(feed(event::open_failed{2, true}).empty());
    EXPECT_EQ(pool.allowed, 1);
    EXPECT_TRUE(feed(event::waiter_arrived{1, true}).empty());
    EXPECT_EQ(feed(event::released{established, true}),
              (actions{action::lend{1, established, false}}));
    feed(event::waiter_arrived{2});
    now += milliseconds(4999);
    EXPECT_TRUE(feed(event::time_passed{}).empty());
    now += milliseconds(1);
    EXPECT_EQ(feed(event::time_passed{}), (actions{action::open{2, 3}}));
    EXPECT_EQ(pool.allowed, 2);
    now += milliseconds(5000);
    feed(event::time_passed{});
    EXPECT_EQ(pool.allowed, 3);
    now += std::chrono::hours(1);
    feed(event::time_passed{});
    EXPECT_EQ(pool.allowed, 3);
}

// Guards against a home without connections that gives up, or retries in a tight loop.
TEST_F(connection_pool_test, refused_only_connection_is_retried_after_a_pause) {
    feed(event::waiter_arrived{1});
    feed(event::open_failed{1, true});
    EXPECT_TRUE(feed(event::waiter_arrived{1, true}).empty());
    now += milliseconds(99);
    EXPECT_TRUE(feed(event::time_passed{}).empty());
    now += milliseconds(1);
    EXPECT_EQ(feed(event::time_passed{}), (actions{action::open{1, 2}}));
    EXPECT_EQ(pool.counters.limit_refusals, 1U);
}

// Guards against an unreachable target being treated as one at its limit.
TEST_F(connection_pool_test, other_failures_leave_the_quota) {
    feed(event::waiter_arrived{1});
    feed(event::open_failed{1, false});
    EXPECT_EQ(pool.allowed, 3);
    EXPECT_EQ(feed(event::waiter_arrived{2}), (actions{action::open{2, 2}}));
}

// Guards against a former home that keeps connections the new home needs.
TEST_F(connection_pool_test, former_home_closes_idle_connections_at_once_and_others_when_released) {
    const connection_id idle = open_one();
    const connection_id lent = open_one();
    feed(event::released{idle, true});
    EXPECT_EQ(feed(event::quota_set{0}), (actions{action::close{idle}}));
    EXPECT_EQ(feed(event::waiter_arrived{1}), (actions{action::refuse{1}}));
    EXPECT_EQ(feed(event::released{lent, true}), (actions{action::close{lent}}));
    EXPECT_TRUE(pool.connections.empty());
    feed(event::quota_set{2});
    EXPECT_EQ(feed(event::waiter_arrived{2}), (actions{action::open{2, 3}}));
}

// Guards against waiting threads that are never answered when the quota falls to 0.
TEST_F(connection_pool_test, waiters_are_refused_when_the_quota_falls_to_zero) {
    open_one();
    open_one();
    open_one();
    feed(event::waiter_arrived{1});
    feed(event::waiter_arrived{2});
    EXPECT_EQ(feed(event::quota_set{0}), (actions{action::refuse{1}, action::refuse{2}}));
}

// Guards against a lowered quota that applies to new connections only.
TEST_F(connection_pool_test, smaller_quota_closes_the_surplus) {
    const connection_id first = open_one();
    const connection_id second = open_one();
    const connection_id third = open_one();
    for (const connection_id id : {first, second, third}) {
        feed(event::released{id, true});
    }
    EXPECT_EQ(feed(event::quota_set{1}).size(), 2U);
    EXPECT_EQ(pool.connections.size(), 1U);
}

// Guards against connections over the quota, lent twice, or idle while a thread waits, in random
// sequences of events.
TEST_F(connection_pool_test, random_sequences_keep_the_invariants) {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937 random(seed);
        connection_pool state = make_connection_pool({.quota = 4});
        state::time_point clock = start;
        std::set<connection_id> lent;
        std::set<connection_id> opening;
        std::set<connection_id> testing;
        const auto pick = [&](const std::set<connection_id>& from) {
            return *std::next(from.begin(), static_cast<long>(random() % from.size()));
        };
        const auto apply = [&](const connection_pool_event& value) {
            connection_pool_step step = step_connection_pool(state, value, clock);
            state = std::move(step.next);
            for (const connection_pool_action& item : step.actions) {
                if (const auto* lend = std::get_if<action::lend>(&item)) {
                    ASSERT_TRUE(lent.insert(lend->connection).second);
                } else if (const auto* open = std::get_if<action::open>(&item)) {
                    ASSERT_TRUE(opening.insert(open->connection).second);
                } else if (const auto* test = std::get_if<action::test>(&item)) {
                    ASSERT_TRUE(testing.insert(test->connection).second);
                } else if (const auto* close = std::get_if<action::close>(&item)) {
                    ASSERT_FALSE(lent.contains(close->connection));
                }
            }
        };
        for (int step = 0; step < 300; ++step) {
            clock += milliseconds(random() % 400);
            const std::size_t before = state.connections.size();
            const unsigned choice = random() % 8;
            if (choice <= 2) {
                apply(event::waiter_arrived{static_cast<waiter_id>(step)});
            } else if (choice == 3 && !opening.empty()) {
                const connection_id id = pick(opening);
                opening.erase(id);
                if (random() % 4 == 0) {
                    apply(event::open_failed{id, random() % 2 == 0});
                } else {
                    lent.insert(id);
                    apply(event::opened{id});
                }
            } else if (choice <= 5 && !lent.empty()) {
                const connection_id id = pick(lent);
                lent.erase(id);
                const bool is_clean = random() % 4 != 0;
                apply(event::released{id, is_clean, !is_clean && random() % 2 == 0});
            } else if (choice == 6 && !testing.empty()) {
                const connection_id id = pick(testing);
                testing.erase(id);
                apply(event::tested{id, random() % 2 == 0});
            } else if (choice == 7) {
                apply(event::quota_set{static_cast<int>(random() % 5)});
            }
            ASSERT_FALSE(HasFatalFailure());
            if (state.connections.size() > before) {
                ASSERT_LE(static_cast<int>(state.connections.size()), state.limits.quota);
            }
            ASSERT_LE(state.allowed, state.limits.quota);
            for (const auto& [id, connection] : state.connections) {
                ASSERT_EQ(connection.current_phase == phase::lent, lent.contains(id));
                ASSERT_EQ(connection.current_phase == phase::opening, opening.contains(id));
                ASSERT_EQ(connection.current_phase == phase::testing, testing.contains(id));
                ASSERT_FALSE(connection.current_phase == phase::idle && !state.waiters.empty());
            }
            ASSERT_FALSE(state.limits.quota == 0 && !state.waiters.empty());
        }
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
