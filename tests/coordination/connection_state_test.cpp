#include "coordination/connection_state.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using steps = std::vector<setup_step>;

/** Plans and acknowledges all steps; returns the plan. */
setup_plan apply(connection_state& state, const session_values& values,
                 const std::optional<statement_definition>& prepared = std::nullopt) {
    setup_plan plan = state.plan(values, prepared);
    for (const setup_step& step : plan.steps) {
        state.acknowledge(step);
    }
    return plan;
}

TEST(connection_state, sets_only_values_that_differ) {
    connection_state state;
    EXPECT_EQ(apply(state, {{"a", "1"}, {"b", "2"}}).steps,
              (steps{set_step{"a", "1"}, set_step{"b", "2"}}));
    EXPECT_EQ(apply(state, {{"a", "1"}, {"b", "3"}}).steps, (steps{set_step{"b", "3"}}));
    EXPECT_TRUE(apply(state, {{"a", "1"}, {"b", "3"}}).steps.empty());
}

// Guards against a value of another session that stays set.
TEST(connection_state, resets_before_a_session_without_the_held_value) {
    connection_state state;
    apply(state, {{"a", "1"}, {"b", "2"}}, statement_definition{false, "q"});
    EXPECT_EQ(apply(state, {{"b", "2"}}).steps, (steps{reset_step{}, set_step{"b", "2"}}));
    EXPECT_EQ(state.get_prepared_count(), 0U);
}

// Guards against believing in a value or statement that the target has not acknowledged.
TEST(connection_state, repeats_steps_that_were_not_acknowledged) {
    connection_state state;
    const statement_definition definition{true, "q"};
    const setup_plan first = state.plan({{"a", "1"}}, definition);
    const setup_plan second = state.plan({{"a", "1"}}, definition);
    EXPECT_EQ(first.steps.size(), 2U);
    EXPECT_EQ(second.steps.size(), 2U);
    EXPECT_NE(first.statement_name, second.statement_name);
    EXPECT_FALSE(state.holds({{"a", "1"}}));
}

// Guards against state that a refused step has left at the target.
TEST(connection_state, resets_after_a_refused_step) {
    connection_state state;
    const setup_plan before = apply(state, {{"a", "1"}}, statement_definition{false, "q"});
    state.invalidate();
    EXPECT_FALSE(state.holds({}));
    const setup_plan after = apply(state, {}, statement_definition{false, "q"});
    EXPECT_EQ(after.steps, (steps{reset_step{}, prepare_step{after.statement_name, {false, "q"}}}));
    EXPECT_NE(after.statement_name, before.statement_name);
    EXPECT_TRUE(state.holds({}));
}

// Guards against a step after the refused one that makes the state count as known again.
TEST(connection_state, a_later_step_does_not_make_up_for_a_refused_one) {
    connection_state state;
    state.invalidate();
    state.acknowledge(set_step{"b", "2"});
    EXPECT_EQ(state.plan({{"b", "2"}}, std::nullopt).steps,
              (steps{reset_step{}, set_step{"b", "2"}}));
}

TEST(connection_state, shares_statements_of_the_same_access_and_shape) {
    connection_state state;
    const setup_plan first = apply(state, {}, statement_definition{false, "q"});
    const setup_plan second = apply(state, {}, statement_definition{false, "q"});
    const setup_plan written = apply(state, {}, statement_definition{true, "q"});
    EXPECT_TRUE(second.steps.empty());
    EXPECT_EQ(second.statement_name, first.statement_name);
    EXPECT_NE(written.statement_name, first.statement_name);
}

// Guards against statements that pile up on a connection and on its target.
TEST(connection_state, closes_the_least_recently_used_statement_at_the_limit) {
    connection_state state;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < max_prepared_statements; ++i) {
        names.push_back(
            apply(state, {}, statement_definition{false, std::to_string(i)}).statement_name);
    }
    apply(state, {}, statement_definition{false, "0"});
    const setup_plan plan = apply(state, {}, statement_definition{false, "new"});
    EXPECT_EQ(plan.steps,
              (steps{close_step{names[1]}, prepare_step{plan.statement_name, {false, "new"}}}));
    EXPECT_EQ(state.get_prepared_count(), max_prepared_statements);
    EXPECT_TRUE(apply(state, {}, statement_definition{false, "0"}).steps.empty());
}

// Guards against long shapes that exceed the memory of a VM or target.
TEST(connection_state, closes_statements_until_a_long_shape_fits) {
    connection_state state;
    apply(state, {}, statement_definition{false, std::string(max_prepared_bytes / 2, 'a')});
    apply(state, {}, statement_definition{false, std::string(max_prepared_bytes / 2, 'b')});
    apply(state, {}, statement_definition{false, std::string(max_prepared_bytes + 1, 'c')});
    EXPECT_EQ(state.get_prepared_count(), 1U);
    EXPECT_EQ(state.get_bytes(), max_prepared_bytes + 1);
}

}  // namespace
}  // namespace hornbeamhook::coordination
