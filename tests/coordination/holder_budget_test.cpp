#include "coordination/holder_budget.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

// Guards against closing ordinary callers for what a few others hold.
TEST(holder_budget, largest_holder_pays) {
    holder_budget budget(100);
    budget.update(1, 60);
    budget.update(2, 40);
    EXPECT_FALSE(budget.find_payer());
    budget.update(3, 1);
    EXPECT_EQ(budget.find_payer(), 1U);
    budget.remove(1);
    EXPECT_FALSE(budget.find_payer());
    EXPECT_EQ(budget.get_used(), 41U);
}

TEST(holder_budget, newest_of_equal_holders_pays) {
    holder_budget budget(100);
    for (const holder_number holder : {1U, 2U, 3U}) {
        budget.update(holder, 40);
    }
    EXPECT_EQ(budget.find_payer(), 3U);
}

// Guards against counts that drift when holders shrink or are removed twice.
TEST(holder_budget, counts_what_is_held_now) {
    holder_budget budget(100);
    budget.update(1, 90);
    budget.update(1, 10);
    budget.update(2, 20);
    EXPECT_EQ(budget.get_used(), 30U);
    budget.remove(2);
    budget.remove(2);
    EXPECT_EQ(budget.get_used(), 10U);
    budget.set_limit(5);
    EXPECT_EQ(budget.find_payer(), 1U);
    budget.remove(1);
    EXPECT_FALSE(budget.find_payer());
    EXPECT_EQ(budget.get_used(), 0U);
}

}  // namespace
}  // namespace hornbeamhook::coordination
