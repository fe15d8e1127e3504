#include "coordination/first_record_turn.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace hornbeamhook::coordination {
namespace {

// Load: a fleet of 300 VMs starts before 300 groups without records; three VMs may write each.
// Guards against a search by every VM in every group, which fills the fleet's processor time with
// connections before the first caller arrives.
TEST(first_record_turn, one_vm_searches_while_it_succeeds) {
    constexpr int groups = 300;
    constexpr int vms = 300;
    constexpr std::int64_t tick_ms = 40;
    constexpr std::int64_t search_ms = 200;  ///< From the first search to the record's arrival.
    int searches = 0;
    for (int group = 0; group < groups; ++group) {
        std::vector<first_record_turn> turns(vms);
        std::vector<bool> has_searched(vms);
        for (std::int64_t now = 0; now < search_ms; now += tick_ms) {
            for (int vm = 0; vm < vms; ++vm) {
                const int rank = (vm - group % vms + vms) % vms;
                const auto may_write = rank < 3 ? std::optional(rank) : std::nullopt;
                has_searched[vm] = turns[vm].is_due(may_write, now) || has_searched[vm];
            }
        }
        searches += static_cast<int>(std::count(has_searched.begin(), has_searched.end(), true));
    }
    EXPECT_EQ(searches, groups);
}

// Guards against a group without a record because the first VM in line cannot reach the primary.
TEST(first_record_turn, the_next_vm_follows_when_no_record_appears) {
    constexpr std::int64_t start = 5000;
    constexpr std::int64_t patience_ms = 1000;
    first_record_turn second;
    EXPECT_FALSE(second.is_due(1, start));
    EXPECT_TRUE(second.is_due(1, start + patience_ms));
}

TEST(first_record_turn, the_wait_starts_anew_after_the_vm_lost_its_rank) {
    first_record_turn turn;
    EXPECT_FALSE(turn.is_due(1, 0));
    EXPECT_FALSE(turn.is_due(std::nullopt, 900));
    EXPECT_FALSE(turn.is_due(1, 1000));
}

}  // namespace
}  // namespace hornbeamhook::coordination
