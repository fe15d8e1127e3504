#include "coordination/write_concurrency.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::microseconds;

/** Records writes of a target that runs `parallel` of them at once for `base` each. */
void run_writes(write_concurrency& limit, int parallel, microseconds base, int count) {
    for (int i = 0; i < count; ++i) {
        const int in_flight = limit.get_limit();
        limit.on_success(base * std::max(in_flight, parallel) / parallel, in_flight);
    }
}

// Guards against writes that hold connections only to wait for a lock of the target.
TEST(write_concurrency, stays_at_two_for_a_target_that_runs_one_write_at_a_time) {
    write_concurrency limit(8);
    EXPECT_EQ(limit.get_limit(), 2);
    limit.on_success(microseconds(10'000), 1);
    for (int i = 0; i < 50; ++i) {
        run_writes(limit, 1, microseconds(10'000), 40);
        ASSERT_LE(limit.get_limit(), 2);
    }
    EXPECT_EQ(limit.get_limit(), 2);
}

// Guards against a target whose parallelism stays unused.
TEST(write_concurrency, grows_to_one_above_what_the_target_runs_in_parallel) {
    write_concurrency limit(8);
    limit.on_success(microseconds(10'000), 1);
    int highest = 0;
    int lowest = 8;
    run_writes(limit, 4, microseconds(10'000), 400);
    for (int i = 0; i < 2000; ++i) {
        run_writes(limit, 4, microseconds(10'000), 1);
        highest = std::max(highest, limit.get_limit());
        lowest = std::min(lowest, limit.get_limit());
    }
    EXPECT_EQ(highest, 5);
    EXPECT_EQ(lowest, 4);
}

// Guards against a limit that stays high after the target lost its parallelism.
TEST(write_concurrency, falls_when_writes_begin_to_wait_for_each_other) {
    write_concurrency limit(8);
    limit.on_success(microseconds(10'000), 1);
    run_writes(limit, 6, microseconds(10'000), 1000);
    EXPECT_GE(limit.get_limit(), 6);
    run_writes(limit, 1, microseconds(10'000), 3000);
    EXPECT_LE(limit.get_limit(), 3);
}

// Guards against sending more writes to a target that does not answer.
TEST(write_concurrency, failures_halve_the_limit_to_one_and_it_recovers) {
    write_concurrency limit(8);
    for (int i = 0; i < 5; ++i) {
        limit.on_failure();
    }
    EXPECT_EQ(limit.get_limit(), 1);
    run_writes(limit, 1, microseconds(10'000), 32);
    EXPECT_EQ(limit.get_limit(), 2);
}

// Guards against estimates that assume unmeasured parallelism and admit too much.
TEST(write_concurrency, unknown_parallelism_counts_as_none) {
    write_concurrency limit(8);
    limit.on_success(microseconds(10'000), 1);
    EXPECT_EQ(limit.get_service_time(), microseconds(20'000));
    limit.on_success(microseconds(12'000), 2);
    EXPECT_EQ(limit.get_service_time(), microseconds(12'000));
    EXPECT_GE(limit.get_needed_time(), microseconds(12'000));
}

// Guards against a limit outside [1, quota] in random sequences.
TEST(write_concurrency, random_sequence_stays_within_bounds) {
    std::mt19937_64 random(tests::get_seed("write_concurrency", 31));
    write_concurrency limit(5);
    int quota = 5;
    for (int i = 0; i < 50'000; ++i) {
        switch (random() % 8) {
            case 0:
                limit.on_failure();
                break;
            case 1:
                quota = static_cast<int>(random() % 30);
                limit.set_quota(quota);
                break;
            default:
                limit.on_success(microseconds(random() % 100'000), static_cast<int>(random() % 30));
        }
        ASSERT_GE(limit.get_limit(), 1);
        ASSERT_LE(limit.get_limit(), std::max(1, quota));
        ASSERT_GE(limit.get_needed_time(), limit.get_service_time());
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
