#include "coordination/byte_budget.h"

#include <gtest/gtest.h>

#include <limits>

namespace hornbeamhook::coordination {
namespace {

TEST(byte_budget, takes_up_to_the_limit) {
    byte_budget budget(100);
    EXPECT_TRUE(budget.replace(0, 100));
    EXPECT_FALSE(budget.replace(0, 1));
    EXPECT_EQ(budget.get_used(), 100U);
    budget.release(40);
    EXPECT_TRUE(budget.replace(60, 100));
    EXPECT_FALSE(budget.replace(10, std::numeric_limits<std::size_t>::max()));
    EXPECT_EQ(budget.get_used(), 100U);
}

}  // namespace
}  // namespace hornbeamhook::coordination
