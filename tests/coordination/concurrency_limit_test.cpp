#include "coordination/concurrency_limit.h"

#include <gtest/gtest.h>

#include <random>

#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};

// Guards against a limit that starts above what the target runs at once.
TEST(concurrency_limit, starts_at_the_slots_within_the_quota) {
    EXPECT_EQ(concurrency_limit(3, 8).get_limit(), 3);
    EXPECT_EQ(concurrency_limit(3, 2).get_limit(), 2);
    EXPECT_EQ(concurrency_limit(0, 0).get_limit(), 1);
}

// Guards against a limit that never uses spare capacity.
TEST(concurrency_limit, grows_while_used_at_low_latency) {
    concurrency_limit limit(3, 6);
    for (int i = 0; i < 200; ++i) {
        limit.on_success(microseconds(5000), limit.get_limit(), start + milliseconds(i));
    }
    EXPECT_EQ(limit.get_limit(), 6);
}

// Guards against growth without demand.
TEST(concurrency_limit, does_not_grow_while_unused) {
    concurrency_limit limit(3, 6);
    for (int i = 0; i < 200; ++i) {
        limit.on_success(microseconds(5000), 1, start + milliseconds(i));
    }
    EXPECT_EQ(limit.get_limit(), 3);
}

// Guards against idle slots: two homes at the lower bound must still keep all slots of a target
// busy.
TEST(concurrency_limit, latency_alone_keeps_half_of_the_slots) {
    concurrency_limit limit(3, 8);
    limit.on_success(microseconds(2000), 1, start);
    for (int i = 0; i < 400; ++i) {
        limit.on_success(microseconds(90'000), 3, start + milliseconds(10 * i));
    }
    EXPECT_EQ(limit.get_limit(), 2);
}

// Guards against overloading a target that does not answer.
TEST(concurrency_limit, failures_decrease_down_to_one) {
    concurrency_limit limit(3, 8);
    limit.on_failure(start);
    EXPECT_EQ(limit.get_limit(), 2);
    limit.on_failure(start + milliseconds(1));
    EXPECT_EQ(limit.get_limit(), 2) << "one decrease per burst";
    for (int i = 1; i < 30; ++i) {
        limit.on_failure(start + milliseconds(200 * i));
    }
    EXPECT_EQ(limit.get_limit(), 1);
}

// Guards against a limit outside [1, quota] in random sequences.
TEST(concurrency_limit, random_sequence_stays_within_bounds) {
    std::mt19937_64 random(tests::get_seed("concurrency_limit", 12));
    concurrency_limit limit(3, 5);
    int quota = 5;
    for (int i = 0; i < 50'000; ++i) {
        const state::time_point now = start + milliseconds(7 * i);
        switch (random() % 4) {
            case 0:
                limit.on_failure(now);
                break;
            case 1:
                quota = static_cast<int>(random() % 9);
                limit.set_quota(quota);
                break;
            default:
                limit.on_success(microseconds(random() % 100'000), static_cast<int>(random() % 9),
                                 now);
        }
        ASSERT_GE(limit.get_limit(), 1);
        ASSERT_LE(limit.get_limit(), std::max(1, quota));
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
