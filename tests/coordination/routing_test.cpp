#include "coordination/routing.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace hornbeamhook::coordination {
namespace {

state::member make_member(const std::string& vm, const std::string& place) {
    state::member result;
    result.vm = vm;
    result.address = vm + ":1";
    result.place = place;
    result.data_center = place + "-1";
    return result;
}

/** Three targets in three places, each with one home there; the entry is in place a. */
class routing : public testing::Test {
protected:
    routing() {
        for (const char* place : {"a", "b", "c"}) {
            const state::member home = make_member(std::string("vm_") + place, place);
            view.live_members.push_back(home);
            pool.targets.push_back(
                {std::string("t_") + place, "x:1", place, std::string(place) + "-1", 20, 3, false});
            view.homes[std::string("p/t_") + place] = {home};
        }
        pool.name = "p";
        view.self = make_member("entry", "a");
        view.live_members.push_back(view.self);
        view.primaries["p"] = {"t_a", 3};
        publish();
    }

    void publish() {
        auto config = std::make_shared<state::configuration>();
        config->version = 1;
        config->pools["p"] = pool;
        view.config = config;
    }

    std::vector<std::string> get_targets(const route_request& request) const {
        std::vector<std::string> names;
        for (const route_candidate& candidate : plan_route(view, request)) {
            names.push_back(candidate.target);
        }
        return names;
    }

    state::pool_description pool;
    state::fleet_view view;
};

using names = std::vector<std::string>;

// Guards against a write sent to a replica.
TEST_F(routing, writes_go_to_the_primary_only) {
    EXPECT_EQ(get_targets({.pool = "p", .is_write = true}), names{"t_a"});
    EXPECT_EQ(get_targets({.pool = "p", .must_use_primary = true}), names{"t_a"});
}

// Guards against a proxy that polls no target of the pool and refuses all writes because it never
// learns the primary. A home runs no write for a target that is not primary and names the primary.
TEST_F(routing, every_home_is_a_candidate_while_the_primary_is_unknown) {
    view.primaries.clear();
    EXPECT_THAT(get_targets({.pool = "p", .is_write = true}),
                testing::UnorderedElementsAre("t_a", "t_b", "t_c"));
    EXPECT_THAT(get_targets({.pool = "p", .must_use_primary = true}),
                testing::UnorderedElementsAre("t_a", "t_b", "t_c"));
}

// Guards against reads that load the primary while replicas are available.
TEST_F(routing, reads_use_the_primary_last) {
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        const names route = get_targets({.pool = "p", .tie_break_seed = seed});
        ASSERT_EQ(route.size(), 3U);
        EXPECT_EQ(route.back(), "t_a");
    }
}

// Guards against reads that cross regions needlessly.
TEST_F(routing, reads_prefer_the_nearest_replica) {
    view.primaries["p"] = {"t_c", 3};
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        EXPECT_EQ(get_targets({.pool = "p", .tie_break_seed = seed}), (names{"t_a", "t_b", "t_c"}));
    }
}

// Guards against all reads on one of several equal replicas.
TEST_F(routing, seed_balances_equal_replicas) {
    std::set<std::string> first;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        first.insert(get_targets({.pool = "p", .tie_break_seed = seed}).front());
    }
    EXPECT_EQ(first, (std::set<std::string>{"t_b", "t_c"}));
}

// Guards against new requests for leaving targets and proxies.
TEST_F(routing, leaving_targets_and_proxies_get_no_requests) {
    pool.targets[1].is_leaving = true;
    publish();
    EXPECT_EQ(get_targets({.pool = "p"}), (names{"t_c", "t_a"}));
    view.live_members[2].state = state::member_state::leaving;
    EXPECT_EQ(get_targets({.pool = "p"}), names{"t_a"});
    view.live_members.erase(view.live_members.begin());
    EXPECT_EQ(get_targets({.pool = "p"}), names{});
}

// Guards against a leaving primary that still receives writes.
TEST_F(routing, leaving_primary_gets_no_writes) {
    pool.targets[0].is_leaving = true;
    publish();
    EXPECT_EQ(get_targets({.pool = "p", .is_write = true}), names{});
}

// Guards against a retry at a target or home that just failed, and against having no route left.
TEST_F(routing, avoided_targets_and_homes_come_last) {
    EXPECT_EQ(get_targets({.pool = "p", .avoided = {"t_b", "vm_c"}}).front(), "t_a");
    EXPECT_EQ(get_targets({.pool = "p", .avoided = {"t_a", "t_b", "t_c"}}).size(), 3U);
}

// Guards against a write that is sent again and again to the first home, which cannot reach the
// primary, because an earlier attempt left the primary itself among the avoided.
TEST_F(routing, avoided_home_of_an_avoided_primary_comes_after_the_other_home) {
    view.homes["p/t_a"].push_back(view.self);
    const std::string first = view.homes["p/t_a"].front().vm;
    const std::vector<route_candidate> route =
        plan_route(view, {.pool = "p", .is_write = true, .avoided = {"t_a", first}});
    ASSERT_EQ(route.size(), 2U);
    EXPECT_EQ(route.front().home.vm, view.self.vm);
}

// Guards against a replica that is known to be behind the session, or known to fail.
TEST_F(routing, replicas_known_to_be_behind_come_after_others) {
    auto group = std::make_shared<state::group_view>();
    state::target_status behind;
    behind.follow_term = 3;
    behind.position = 5;
    state::target_status ahead = behind;
    ahead.position = 50;
    group->targets["t_b"].status = behind;
    group->targets["t_c"].status = ahead;
    group->primary = state::primary_view{"t_a", 3};
    view.polled_groups["p"] = group;
    EXPECT_EQ(get_targets({.pool = "p", .required = {3, 10}}), (names{"t_c", "t_b", "t_a"}));
    auto failing = std::make_shared<state::group_view>(*group);
    failing->targets["t_c"].consecutive_failures = 1;
    view.polled_groups["p"] = failing;
    EXPECT_EQ(get_targets({.pool = "p", .required = {3, 1}}), (names{"t_b", "t_a", "t_c"}));
}

// Guards against an old primary that is preferred to a newer one.
TEST_F(routing, newest_term_names_the_primary) {
    auto group = std::make_shared<state::group_view>();
    group->primary = state::primary_view{"t_b", 5};
    view.polled_groups["p"] = group;
    EXPECT_EQ(find_primary(view, "p")->target, "t_b");
    view.primaries["p"] = {"t_c", 6};
    EXPECT_EQ(find_primary(view, "p")->target, "t_c");
    EXPECT_FALSE(find_primary(view, "other"));
}

// Guards against an extra hop when this proxy is a home itself.
TEST_F(routing, own_home_is_preferred) {
    view.homes["p/t_a"].push_back(view.self);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const std::vector<route_candidate> route =
            plan_route(view, {.pool = "p", .must_use_primary = true, .tie_break_seed = seed});
        ASSERT_EQ(route.size(), 2U);
        EXPECT_TRUE(route.front().is_self);
    }
}

// Guards against writes divided between two homes: neither queue would know how many writes wait
// for the locks of the target.
TEST_F(routing, writes_prefer_the_first_home) {
    const std::string first = view.homes["p/t_a"].front().vm;
    view.homes["p/t_a"].push_back(view.self);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const std::vector<route_candidate> route =
            plan_route(view, {.pool = "p", .is_write = true, .tie_break_seed = seed});
        ASSERT_EQ(route.size(), 2U);
        EXPECT_EQ(route.front().home.vm, first);
    }
    const std::vector<route_candidate> route =
        plan_route(view, {.pool = "p", .is_write = true, .avoided = {first}});
    EXPECT_TRUE(route.front().is_self);
}

// Guards against a crash on a pool that was removed meanwhile.
TEST_F(routing, unknown_pool_has_no_route) {
    EXPECT_EQ(get_targets({.pool = "q"}), names{});
}

}  // namespace
}  // namespace hornbeamhook::coordination
