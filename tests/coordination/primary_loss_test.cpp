#include "coordination/primary_loss.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

// Guards against the replacement of an idle primary.
TEST(primary_loss, an_idle_primary_is_not_suspect) {
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1000}, 60000));
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1000, .waiting_since = 59800}, 60000));
}

// Guards against false alarms: when silence counted from the last answer, a new request to a
// primary that had been idle for 600 ms looked unanswered for that long.
TEST(primary_loss, silence_starts_with_a_request_after_the_last_answer) {
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000}, 9000), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 8990}, 9000), 8990);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 500}, 1100), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 500}, 9000), 9000);
    // Silence continues while connections are replaced, and ends with an answer.
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 1000}, 9500), 8990);
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 1000, .waiting_since = 9400}, 9500),
              8990);
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 9450}, 9500), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .refused_since = 1200}, 1300), 1200);
}

// Guards against late detection of a loss.
TEST(primary_loss, silence_and_refusals_make_it_suspect) {
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .waiting_since = 1100}, 1700));
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .refused_since = 1100}, 1350));
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1300, .refused_since = 1100}, 1350));
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .is_listed = false}, 1601));
}

// Guards against commits rolled back because one VM cannot reach the primary.
TEST(primary_loss, one_member_that_reaches_the_primary_prevents_the_change) {
    const std::set<std::string> responsive{"a", "b"};
    const std::map<std::string, peer_report> all_lost{{"a", {950, true}}, {"b", {980, true}}};
    EXPECT_TRUE(is_loss_confirmed(500, responsive, all_lost, true, 1000));
    EXPECT_FALSE(is_loss_confirmed(0, responsive, all_lost, true, 1000));
    EXPECT_FALSE(is_loss_confirmed(500, responsive, {{"a", {950, true}}}, true, 1000));
    EXPECT_FALSE(
        is_loss_confirmed(500, responsive, {{"a", {950, true}}, {"b", {980, false}}}, true, 1000));
    EXPECT_FALSE(
        is_loss_confirmed(500, responsive, {{"a", {100, true}}, {"b", {980, true}}}, true, 1000));
}

// Guards against an isolated VM that declares every primary lost.
TEST(primary_loss, an_isolated_vm_waits_longer_and_needs_the_store) {
    EXPECT_FALSE(is_loss_confirmed(500, {}, {}, true, 500 + isolated_suspicion_ms - 1));
    EXPECT_TRUE(is_loss_confirmed(500, {}, {}, true, 500 + isolated_suspicion_ms));
    EXPECT_FALSE(is_loss_confirmed(500, {}, {}, false, 500 + isolated_suspicion_ms));
}

}  // namespace
}  // namespace hornbeamhook::coordination
