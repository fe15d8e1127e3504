#include "coordination/recent_callers.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};

// Guards against counts that mix up callers, pools or kinds of requests.
TEST(recent_callers, counts_each_caller_of_each_pool_separately) {
    recent_callers callers(10);
    callers.record("p", "bench", caller_request_result::read, start);
    callers.record("p", "bench", caller_request_result::write, start);
    callers.record("q", "bench", caller_request_result::refused, start + milliseconds(1));
    callers.record("p", "bench", caller_request_result::read, start + milliseconds(2));
    const std::vector<caller_activity> expected{{"p", "bench", 2, 1, 0, start + milliseconds(2)},
                                                {"q", "bench", 0, 0, 1, start + milliseconds(1)}};
    EXPECT_EQ(callers.get_snapshot().entries, expected);
    EXPECT_EQ(callers.get_snapshot().evicted, 0U);
}

// Guards against a table that grows with the number of callers, or forgets an active one.
TEST(recent_callers, evicts_the_least_recently_seen_caller) {
    recent_callers callers(2);
    callers.record("p", "a", caller_request_result::read, start);
    callers.record("p", "b", caller_request_result::read, start + milliseconds(1));
    callers.record("p", "a", caller_request_result::read, start + milliseconds(2));
    callers.record("p", "c", caller_request_result::read, start + milliseconds(3));
    ASSERT_EQ(callers.get_snapshot().entries.size(), 2U);
    EXPECT_EQ(callers.get_snapshot().entries[0].caller, "c");
    EXPECT_EQ(callers.get_snapshot().entries[1].caller, "a");
    EXPECT_EQ(callers.get_snapshot().entries[1].reads, 2U);
    EXPECT_EQ(callers.get_snapshot().evicted, 1U);
    callers.record("p", "b", caller_request_result::read, start + milliseconds(4));
    EXPECT_EQ(callers.get_snapshot().entries[0].reads, 1U) << "counted anew after its eviction";
}

}  // namespace
}  // namespace hornbeamhook::coordination
