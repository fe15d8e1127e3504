#include "gateway/home_selector.h"

#include <gtest/gtest.h>

namespace hornbeamhook::gateway {
namespace {

const home_plan plan{{"h1", "h2", "h3"}, 7, 0};

// Guards against all VMs selecting the same home of a target.
TEST(home_selector, spreads_the_vms_over_the_homes) {
    std::set<std::string> chosen;
    for (int i = 0; i < 30; ++i) {
        chosen.insert(home_selector("vm" + std::to_string(i)).select(plan, "t1", "", {}, 1000));
    }
    EXPECT_EQ(chosen, (std::set<std::string>{"h1", "h2", "h3"}));
}

TEST(home_selector, home_never_selects_itself) {
    EXPECT_NE(home_selector("h1").select(plan, "t1", "", {}, 1000), "h1");
}

// Guards against using a failed home again at once, or never again.
TEST(home_selector, failed_home_backs_off) {
    home_selector homes("vm1");
    const std::string first = homes.select(plan, "t1", "", {}, 1000);
    homes.back_off(first, 1000);
    EXPECT_NE(homes.select(plan, "t1", "", {}, 1001), first);
    EXPECT_FALSE(homes.may_use(plan, first, 1001));
    EXPECT_EQ(homes.select(plan, "t1", "", {}, 2000), first);
    for (const char* home : {"h1", "h2", "h3"}) {
        EXPECT_FALSE(homes.is_every_home_backing_off(plan, 2000));
        homes.back_off(home, 2000);
    }
    EXPECT_TRUE(homes.is_every_home_backing_off(plan, 2001));
    EXPECT_EQ(homes.select(plan, "t1", "", {}, 2001), "");
}

// Guards against statements that queue at a suspended home, and against treating a home as
// suspended because one of its targets is slow.
TEST(home_selector, unresponsive_home_comes_last) {
    home_selector homes("vm1");
    const std::string first = homes.select(plan, "t1", "", {}, 1000);
    homes.add_waiting(first, 1000);
    EXPECT_EQ(homes.select(plan, "t1", "", {}, 1200), first);
    EXPECT_NE(homes.select(plan, "t1", "", {}, 1300), first);
    homes.handle_answer(first, 1290);
    homes.clear_waiting();
    homes.add_waiting(first, 1000);
    EXPECT_EQ(homes.select(plan, "t1", "", {}, 1300), first);
    homes.add_waiting(first, 1295);
    EXPECT_TRUE(homes.is_unresponsive(first, 1600));
    // An unresponsive home is used when there is no other.
    const home_plan only{{first}, 7, 0};
    EXPECT_EQ(homes.select(only, "t1", "", {}, 1600), first);
    EXPECT_EQ(homes.select(only, "t1", "", {first}, 1600), "");
}

}  // namespace
}  // namespace hornbeamhook::gateway
