#include "coordination/primary_loss.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

// Guards against replacing a primary that is only idle.
TEST(primary_loss, an_idle_primary_is_not_suspect) {
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1000}, 60000));
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1000, .waiting_since = 59800}, 60000));
}

// Guards against false alarms: silence counted from the last answer made each question to a primary
// that had been idle for 600 ms look unanswered for as long.
TEST(primary_loss, silence_counts_from_a_question_after_the_last_answer) {
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000}, 9000), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 8990}, 9000), 8990);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 500}, 1100), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .waiting_since = 500}, 9000), 9000);
    // It goes on while connections end and others are opened, and ends with an answer.
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 1000}, 9500), 8990);
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 1000, .waiting_since = 9400}, 9500),
              8990);
    EXPECT_EQ(update_silence_start(8990, {.last_answer_at = 9450}, 9500), 0);
    EXPECT_EQ(update_silence_start(0, {.last_answer_at = 1000, .refused_since = 1200}, 1300), 1200);
}

// Guards against a loss that is noticed late.
TEST(primary_loss, silence_and_refusals_make_it_suspect) {
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .waiting_since = 1100}, 1700));
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .refused_since = 1100}, 1350));
    EXPECT_FALSE(is_primary_suspect({.last_answer_at = 1300, .refused_since = 1100}, 1350));
    EXPECT_TRUE(is_primary_suspect({.last_answer_at = 1000, .is_listed = false}, 1601));
}

// Guards against rolling back commits because one VM lost its way to a primary.
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
TEST(primary_loss, a_lone_vm_acts_late_and_only_with_the_store) {
    EXPECT_FALSE(is_loss_confirmed(500, {}, {}, true, 500 + isolated_suspicion_ms - 1));
    EXPECT_TRUE(is_loss_confirmed(500, {}, {}, true, 500 + isolated_suspicion_ms));
    EXPECT_FALSE(is_loss_confirmed(500, {}, {}, false, 500 + isolated_suspicion_ms));
}

}  // namespace
}  // namespace hornbeamhook::coordination
