#include "standin/target/term_state.h"

#include <gtest/gtest.h>

#include <vector>

namespace hornbeamhook::standin::target {
namespace {

const term_state follower{.accepted_term = 3,
                          .accepted_claimant = "x",
                          .follow_term = 2,
                          .term_start = 10,
                          .is_primary = false};
const term_state primary{.accepted_term = 3,
                         .accepted_claimant = "x",
                         .follow_term = 3,
                         .term_start = 10,
                         .is_primary = true};
const term_state fenced_primary{.accepted_term = 4,
                                .accepted_claimant = "y",
                                .follow_term = 3,
                                .term_start = 10,
                                .is_primary = true};
const term_state follower_of_accepted{.accepted_term = 3,
                                      .accepted_claimant = "x",
                                      .follow_term = 3,
                                      .term_start = 10,
                                      .is_primary = false};

struct rule_case {
    term_state state;
    state::term_number term;
    const char* claimant;
    bool may_fence;
    bool may_promote;
    bool may_follow;
};

// Guards against two claimants in one term, promotion without a fence, and log of an old term.
TEST(term_state, rules_for_fence_promotion_and_stream) {
    const std::vector<rule_case> cases{
        {follower, 2, "x", false, false, false},
        {follower, 3, "x", true, true, true},
        {follower, 3, "y", false, false, true},
        {follower, 4, "y", true, false, true},
        {primary, 2, "x", false, false, false},
        {primary, 3, "x", true, true, false},
        {primary, 3, "y", false, false, false},
        {primary, 4, "y", true, false, true},
        {fenced_primary, 3, "x", false, false, false},
        {fenced_primary, 4, "y", true, true, true},
        {fenced_primary, 4, "z", false, false, true},
        {fenced_primary, 5, "z", true, false, true},
        // The chosen target of the term is another one, whose log this target follows.
        {follower_of_accepted, 3, "x", true, false, true},
    };
    for (const rule_case& value : cases) {
        SCOPED_TRACE(to_json(value.state).dump() + " term " + std::to_string(value.term) + " " +
                     value.claimant);
        EXPECT_EQ(value.state.may_fence(value.term, value.claimant), value.may_fence);
        EXPECT_EQ(value.state.may_promote(value.term, value.claimant), value.may_promote);
        EXPECT_EQ(value.state.may_follow(value.term), value.may_follow);
    }
}

// Guards against a repeated promotion moving the start of the term behind acknowledged entries.
TEST(term_state, promotion_is_idempotent) {
    const term_state promoted = follower.promote(3, 12);
    EXPECT_TRUE(promoted.is_unfenced_primary());
    EXPECT_EQ(promoted.term_start, 12U);
    EXPECT_EQ(promoted.promote(3, 20), promoted);
}

// Guards against a fenced primary accepting commits.
TEST(term_state, fence_stops_a_primary) {
    EXPECT_TRUE(primary.is_unfenced_primary());
    EXPECT_FALSE(primary.fence(4, "y").is_unfenced_primary());
    EXPECT_TRUE(primary.fence(3, "x").is_unfenced_primary());
    EXPECT_FALSE(primary.accept_stream(4, "y").is_primary);
    EXPECT_EQ(primary.accept_stream(4, "y").accepted_term, 4U);
}

// Guards against a state file that does not restore what was saved.
TEST(term_state, survives_the_state_file) {
    EXPECT_EQ(parse_term_state(to_json(fenced_primary)), fenced_primary);
}

}  // namespace
}  // namespace hornbeamhook::standin::target
