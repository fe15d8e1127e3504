#include "coordination/position_history.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

// Guards against sending a read to a replica without proof that it is fresh enough.
TEST(position_history, knows_nothing_without_a_sample_in_the_window) {
    position_history history;
    EXPECT_FALSE(history.find_covering(0).has_value());
    history.add({1, 10}, 100);
    EXPECT_EQ(history.find_covering(100), (state::log_point{1, 10}));
    EXPECT_FALSE(history.find_covering(101).has_value());
}

// Guards against requiring a newer position than the staleness bound needs.
TEST(position_history, returns_the_oldest_sample_that_covers_the_bound) {
    position_history history;
    history.add({1, 10}, 100);
    history.add({1, 20}, 200);
    history.add({1, 30}, 300);
    EXPECT_EQ(history.find_covering(50), (state::log_point{1, 10}));
    EXPECT_EQ(history.find_covering(150), (state::log_point{1, 20}));
    EXPECT_EQ(history.find_covering(300), (state::log_point{1, 30}));
}

// Guards against waiting for positions that a promotion rolled back.
TEST(position_history, a_newer_term_discards_older_positions) {
    position_history history;
    history.add({1, 100}, 100);
    history.add({2, 90}, 200);
    EXPECT_EQ(history.find_covering(50), (state::log_point{2, 90}));
    history.add({1, 110}, 300);
    EXPECT_FALSE(history.find_covering(250).has_value());
}

// Guards against a busy primary that leaves only its newest position.
TEST(position_history, dense_samples_keep_an_old_one_for_each_window) {
    position_history history;
    for (std::int64_t t = 1; t <= 2000; ++t) {
        history.add({1, static_cast<state::log_position>(t)}, t);
    }
    const auto found = history.find_covering(500);
    ASSERT_TRUE(found.has_value());
    EXPECT_GE(found->position, 500U);
    EXPECT_LE(found->position, 550U);
    EXPECT_EQ(history.get_newest(), (state::log_point{1, 2000}));
}

}  // namespace
}  // namespace hornbeamhook::coordination
