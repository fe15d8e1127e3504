#include "coordination/freshness.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "coordination/read_requirement.h"
#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};
constexpr state::read_policy strict{state::read_policy::kind::strict, milliseconds(0)};
constexpr state::read_policy own_writes{};

state::target_status make_status(state::term_number term, state::log_position term_start,
                                 state::log_position position) {
    state::target_status status;
    status.accepted_term = term;
    status.follow_term = term;
    status.term_start = term_start;
    status.position = position;
    return status;
}

state::group_view make_view(state::target_status replica,
                            std::optional<state::freshness_proof> proof) {
    state::group_view view;
    view.majority = 2;
    view.targets["replica"].status = std::move(replica);
    view.proof = std::move(proof);
    return view;
}

freshness_action evaluate(const state::read_policy& policy, bool must_be_fresh,
                          state::log_point token, const state::group_view& view,
                          state::time_point now, state::time_point wait_deadline) {
    const read_requirement requirement = make_read_requirement(policy, must_be_fresh, token, start);
    return evaluate_freshness(requirement, view, "replica", now, wait_deadline).action;
}

// Guards against serving a strict read with a proof from before the request arrived.
TEST(freshness, a_strict_read_requires_a_proof_begun_after_arrival) {
    const state::time_point limit = start + milliseconds(50);
    const state::target_status status = make_status(2, 5, 20);
    const state::freshness_proof old{start - milliseconds(1), {2, 20}, 2};
    const state::freshness_proof fresh{start, {2, 20}, 2};
    EXPECT_EQ(evaluate(strict, false, {}, make_view(status, {}), start, limit),
              freshness_action::wait_for_proof);
    EXPECT_EQ(evaluate(strict, false, {}, make_view(status, old), start, limit),
              freshness_action::wait_for_proof);
    EXPECT_EQ(evaluate(strict, false, {}, make_view(status, old), limit, limit),
              freshness_action::reroute);
    EXPECT_EQ(evaluate(strict, false, {}, make_view(status, fresh), start, limit),
              freshness_action::serve);
    EXPECT_EQ(evaluate(strict, false, {}, make_view(make_status(2, 5, 19), fresh), start, limit),
              freshness_action::wait_for_replica);
    EXPECT_EQ(evaluate(strict, false, {}, make_view(make_status(2, 5, 19), fresh), limit, limit),
              freshness_action::reroute);
}

// Guards against reads without a proof after an uncertain token, or own writes without a token.
TEST(freshness, required_freshness_overrides_the_policy) {
    const state::target_status status = make_status(2, 5, 20);
    EXPECT_EQ(evaluate(own_writes, true, {}, make_view(status, {}), start, start + milliseconds(9)),
              freshness_action::wait_for_proof);
    EXPECT_EQ(evaluate(own_writes, false, {2, 20}, make_view(status, {}), start, start),
              freshness_action::serve);
}

// Guards against data older than the caller allows.
TEST(freshness, max_age_accepts_a_proof_within_the_age_only) {
    const state::read_policy policy{state::read_policy::kind::max_age, milliseconds(500)};
    const state::target_status status = make_status(2, 5, 20);
    const auto view_with = [&](milliseconds age) {
        return make_view(status, state::freshness_proof{start - age, {2, 20}, 2});
    };
    const state::time_point limit = start + milliseconds(50);
    EXPECT_EQ(evaluate(policy, false, {}, view_with(milliseconds(500)), start, limit),
              freshness_action::serve);
    EXPECT_EQ(evaluate(policy, false, {}, view_with(milliseconds(501)), start, limit),
              freshness_action::wait_for_proof);
}

// Guards against a read from a target that is behind the token, within and across terms.
TEST(freshness, the_token_must_be_covered) {
    struct token_case {
        state::log_point token;
        state::target_status status;
        bool is_served;
    };
    const std::vector<token_case> cases{
        {{2, 20}, make_status(2, 5, 20), true},   {{2, 21}, make_status(2, 5, 20), false},
        {{1, 4}, make_status(2, 5, 20), true},    {{1, 90}, make_status(3, 15, 20), true},
        {{1, 90}, make_status(3, 25, 20), false}, {{3, 1}, make_status(2, 5, 20), false},
        {{0, 0}, make_status(0, 0, 0), true},
    };
    for (const token_case& each : cases) {
        const freshness_action action =
            evaluate(own_writes, false, each.token, make_view(each.status, {}), start, start);
        EXPECT_EQ(action, each.is_served ? freshness_action::serve : freshness_action::reroute)
            << each.token.term << "/" << each.token.position;
    }
}

// Guards against any combination that serves a read without proof, or behind proof or token.
TEST(freshness, random_views_never_serve_without_proof) {
    std::mt19937_64 random(tests::get_seed("freshness", 4711));
    const auto pick = [&](int limit) { return static_cast<int>(random() % limit); };
    int served = 0;
    for (int i = 0; i < 100'000; ++i) {
        const state::read_policy policy{static_cast<state::read_policy::kind>(pick(3)),
                                        milliseconds(pick(20))};
        const bool must_be_fresh = pick(4) == 0;
        const state::log_point token{static_cast<std::uint64_t>(pick(4)),
                                     static_cast<std::uint64_t>(pick(10))};
        std::optional<state::freshness_proof> proof;
        if (pick(5) > 0) {
            proof = state::freshness_proof{
                start + milliseconds(pick(40) - 30),
                {static_cast<std::uint64_t>(pick(4)), static_cast<std::uint64_t>(pick(10))},
                4};
        }
        const state::target_status status = make_status(pick(4), pick(10), pick(10));
        const read_requirement requirement =
            make_read_requirement(policy, must_be_fresh, token, start);
        const freshness_decision decision =
            evaluate_freshness(requirement, make_view(status, proof), "replica",
                               start + milliseconds(pick(3)), start + milliseconds(2));
        if (decision.action != freshness_action::serve) {
            continue;
        }
        ++served;
        ASSERT_TRUE(status.covers(token));
        const bool needs_proof =
            must_be_fresh || policy.policy != state::read_policy::kind::own_writes;
        const bool is_strict = must_be_fresh || policy.policy == state::read_policy::kind::strict;
        if (needs_proof) {
            ASSERT_TRUE(proof.has_value());
            ASSERT_GE(proof->valid_from, is_strict ? start : start - policy.max_age);
            ASSERT_TRUE(status.covers(proof->point));
            ASSERT_EQ(decision.required.proof_point, proof->point);
        }
    }
    EXPECT_GT(served, 1000);
}

// Guards against waiting for a replica until no time remains for the primary.
TEST(freshness, catch_up_is_bounded_by_a_third_of_the_time) {
    EXPECT_EQ(get_catch_up_deadline(start, start + milliseconds(5000)), start + milliseconds(50));
    EXPECT_EQ(get_catch_up_deadline(start, start + milliseconds(30)), start + milliseconds(10));
    EXPECT_EQ(get_catch_up_deadline(start, start - milliseconds(30)), start);
}

}  // namespace
}  // namespace hornbeamhook::coordination
