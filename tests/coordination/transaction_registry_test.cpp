#include "coordination/transaction_registry.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};

// Guards against statements of one transaction that run at the same time, or for another caller.
TEST(transaction_registry, one_request_of_the_owner_at_a_time) {
    transaction_registry registry({});
    const std::uint64_t number = registry.open("p", "a", start);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim::busy);
    registry.release(number, start);
    EXPECT_EQ(registry.claim(number, "p", "b", start), transaction_claim::gone);
    EXPECT_EQ(registry.claim(number, "q", "a", start), transaction_claim::gone);
    EXPECT_EQ(registry.claim(number + 1, "p", "a", start), transaction_claim::gone);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim::granted);
    registry.close(number);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim::gone);
}

// Guards against abandoned transactions that hold their connection.
TEST(transaction_registry, idle_and_total_limits_expire) {
    transaction_registry registry({milliseconds(100), milliseconds(250)});
    const std::uint64_t number = registry.open("p", "a", start);
    EXPECT_TRUE(registry.expire(start + milliseconds(1000)).empty()) << "in use";
    registry.release(number, start);
    EXPECT_TRUE(registry.expire(start + milliseconds(99)).empty());
    EXPECT_EQ(registry.claim(number, "p", "a", start + milliseconds(99)),
              transaction_claim::granted);
    registry.release(number, start + milliseconds(200));
    EXPECT_EQ(registry.claim(number, "p", "a", start + milliseconds(250)), transaction_claim::gone);
    EXPECT_EQ(registry.expire(start + milliseconds(250)), std::vector<std::uint64_t>{number});
    EXPECT_EQ(registry.get_size(), 0U);
    const std::uint64_t idle = registry.open("p", "a", start);
    registry.release(idle, start);
    EXPECT_EQ(registry.expire(start + milliseconds(100)), std::vector<std::uint64_t>{idle});
}

// Guards against a number that names two transactions.
TEST(transaction_registry, numbers_are_not_reused) {
    transaction_registry registry({});
    const std::uint64_t first = registry.open("p", "a", start);
    registry.close(first);
    EXPECT_NE(registry.open("p", "a", start), first);
}

}  // namespace
}  // namespace hornbeamhook::coordination
