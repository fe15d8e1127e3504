#include "coordination/retry_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::seconds;

const state::time_point start{std::chrono::hours(1)};

int take_all(retry_budget& budget, state::time_point now) {
    int taken = 0;
    while (taken < 10'000 && budget.try_take(now)) {
        ++taken;
    }
    return taken;
}

// Guards against retries that multiply the load on a failing component.
TEST(retry_budget, allows_ten_and_a_tenth_of_the_requests) {
    retry_budget budget;
    EXPECT_EQ(take_all(budget, start), 10);
    for (int i = 0; i < 200; ++i) {
        budget.count_request(start + seconds(1));
    }
    EXPECT_EQ(take_all(budget, start + seconds(1)), 20);
    EXPECT_EQ(take_all(budget, start + seconds(5)), 0);
}

// Guards against a budget that never recovers.
TEST(retry_budget, recovers_after_ten_seconds) {
    retry_budget budget;
    EXPECT_EQ(take_all(budget, start), 10);
    EXPECT_EQ(take_all(budget, start + seconds(9)), 0);
    EXPECT_EQ(take_all(budget, start + seconds(10)), 10);
    EXPECT_EQ(take_all(budget, start + seconds(1000)), 10);
}

// Guards against a bound that holds for whole windows only: checks every prefix of a random run.
TEST(retry_budget, random_schedule_stays_within_the_bound) {
    std::mt19937_64 random(tests::get_seed("retry_budget", 99));
    retry_budget budget;
    std::deque<std::int64_t> requests;
    std::deque<std::int64_t> retries;
    std::int64_t ms = 0;
    for (int i = 0; i < 50'000; ++i) {
        ms += static_cast<std::int64_t>(random() % 20);
        const state::time_point now = start + std::chrono::milliseconds(ms);
        const std::int64_t second = ms / 1000;
        while (!requests.empty() && requests.front() <= second - 10) {
            requests.pop_front();
        }
        while (!retries.empty() && retries.front() <= second - 10) {
            retries.pop_front();
        }
        if (random() % 3 == 0) {
            budget.count_request(now);
            requests.push_back(second);
        } else if (budget.try_take(now)) {
            retries.push_back(second);
            ASSERT_LE(retries.size(), 10 + requests.size() / 10);
        } else {
            ASSERT_GE(retries.size(), 10 + requests.size() / 10);
        }
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
