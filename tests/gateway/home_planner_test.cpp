#include "gateway/home_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace hornbeamhook::gateway {
namespace {

fleet_member make_vm(const std::string& vm, const std::string& place) {
    return {vm, 1, {"10.0.0.1", 7440}, {"10.0.0.1", 8782}, place};
}

home_plan_input make_fleet(int per_place) {
    home_plan_input input;
    input.place_regions = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    for (const char* place : {"a1", "a2", "b1"}) {
        for (int i = 0; i < per_place; ++i) {
            input.live.push_back(make_vm(std::string(place) + "-" + std::to_string(i), place));
        }
    }
    input.fleet_size = static_cast<int>(input.live.size());
    return input;
}

target_entry make_target(const std::string& id, const std::string& place) {
    return {id, "g", {"10.0.1.1", 8227}, place, 1, 3, false, false};
}

home_plan plan_homes(const target_entry& target, int connection_limit,
                     const home_plan_input& input) {
    return home_planner(input).plan(target, connection_limit);
}

std::set<std::string> get_places(const home_plan& plan) {
    std::set<std::string> result;
    for (const std::string& vm : plan.homes) {
        result.insert(vm.substr(0, 2));
    }
    return result;
}

TEST(home_planner, small_fleet_connects_directly) {
    const home_plan plan = plan_homes(make_target("t1", "a1"), 23, make_fleet(2));
    EXPECT_TRUE(plan.homes.empty());
    EXPECT_EQ(plan.quota, 3);
    EXPECT_TRUE(plan_homes(make_target("t1", "a1"), 0, make_fleet(20)).homes.empty());
}

// Guards against exceeding the target's connection limit, also while VMs see different homes.
TEST(home_planner, limit_holds_with_one_more_home) {
    for (const int limit : {8, 20, 32, 107}) {
        for (const int per_place : {13, 20, 25, 100}) {
            const home_plan plan =
                plan_homes(make_target("t1", "a1"), limit, make_fleet(per_place));
            if (plan.homes.empty()) {
                EXPECT_LE(plan.quota * 3 * per_place, limit);
                continue;
            }
            EXPECT_EQ(plan.homes.size(), 3U);
            EXPECT_LE(plan.quota * 4, limit) << limit << " " << per_place;
            EXPECT_LE((plan.quota + plan.max_surplus) * 3, limit) << limit << " " << per_place;
        }
    }
}

// Guards against statements that cross regions twice because a home is far from its target.
TEST(home_planner, homes_are_near_the_target) {
    home_plan_input input = make_fleet(20);
    EXPECT_EQ(get_places(plan_homes(make_target("t1", "a1"), 32, input)),
              (std::set<std::string>{"a1"}));
    std::erase_if(input.live, [](const fleet_member& vm) { return vm.place == "a1"; });
    EXPECT_EQ(get_places(plan_homes(make_target("t1", "a1"), 32, input)),
              (std::set<std::string>{"a2"}));
    std::erase_if(input.live, [](const fleet_member& vm) { return vm.place == "a2"; });
    EXPECT_EQ(get_places(plan_homes(make_target("t1", "a1"), 32, input)),
              (std::set<std::string>{"b1"}));
}

// Guards against VMs that compute different homes because their member order differs, and against
// a lost VM that changes the homes of targets it was not a home of.
TEST(home_planner, depends_only_on_the_members) {
    home_plan_input input = make_fleet(20);
    const home_plan plan = plan_homes(make_target("t1", "a1"), 32, input);
    std::reverse(input.live.begin(), input.live.end());
    EXPECT_EQ(plan_homes(make_target("t1", "a1"), 32, input), plan);
    std::erase_if(input.live, [&](const fleet_member& vm) { return vm.vm == plan.homes[1]; });
    const home_plan after = plan_homes(make_target("t1", "a1"), 32, input);
    EXPECT_EQ(after.homes[0], plan.homes[0]);
    EXPECT_EQ(after.homes[1], plan.homes[2]);
}

// Guards against a few VMs becoming the homes of all targets.
TEST(home_planner, spreads_the_targets) {
    std::set<std::string> homes;
    for (int i = 0; i < 24; ++i) {
        const home_plan plan =
            plan_homes(make_target("t" + std::to_string(i), "a1"), 32, make_fleet(20));
        homes.insert(plan.homes.begin(), plan.homes.end());
    }
    EXPECT_GE(homes.size(), 15U);
}

/** A target that counts the connections of VMs that lost power until they time out. */
struct counting_target {
    int limit = 0;
    int lost = 0;  ///< Of VMs without power.

    int get_room() const { return limit - lost; }
};

/** Connections that a VM still holds when `busy` of them are in use and the others were idle for
 * `idle_ms`. */
int count_kept(const home_plan& plan, int busy, std::int64_t idle_ms) {
    int kept = busy;
    for (int index = busy; index < plan.quota + plan.max_surplus; ++index) {
        const auto timeout_ms = get_idle_timeout_ms(plan, index);
        kept += !timeout_ms || idle_ms <= *timeout_ms ? 1 : 0;
    }
    return kept;
}

// Load: all VMs lose power and start again while their targets still count the old connections, and
// the callers of the last second return at once. Guards against refused connections for 3 s after
// that, because a burst some time before had left connections open up to the limit, or because the
// new processes open as many as they may hold later.
TEST(home_planner, a_fleet_that_restarts_finds_room_for_its_connections) {
    constexpr std::int64_t since_burst_ms = 5000;
    constexpr std::int64_t since_start_ms = 500;
    constexpr int busy = 2;
    for (const int per_place : {6, 20, 65}) {
        counting_target target{88};
        const home_plan plan =
            plan_homes(make_target("t1", "a1"), target.limit, make_fleet(per_place));
        const int holders =
            plan.homes.empty() ? 3 * per_place : static_cast<int>(plan.homes.size());
        target.lost = holders * count_kept(plan, busy, since_burst_ms);
        const int wanted = holders * get_link_limit(plan, since_start_ms, true);
        EXPECT_GE(wanted, holders * busy) << per_place;
        EXPECT_LE(wanted, target.get_room()) << per_place;
    }
}

TEST(home_planner, a_vm_with_a_single_connection_keeps_it_while_it_starts) {
    EXPECT_EQ(get_link_limit({{}, 1, 1}, 0, true), 1);
    EXPECT_EQ(get_link_limit({{}, 4, 1}, 10'000, true), 5);
    EXPECT_EQ(get_link_limit({{}, 4, 1}, 10'000, false), 4);
}

// Load: 240 VMs start one after another, some leave, and 60 targets have homes among them.
// Guards against plans that depend on the order of the changes, so that VMs disagree on the homes.
TEST(home_planner, updated_plans_equal_new_ones) {
    const home_plan_input all = make_fleet(80);
    std::vector<fleet_member> live;
    home_planner planner({{}, 1, all.place_regions});
    std::vector<target_entry> targets;
    std::vector<home_plan> plans;
    for (int i = 0; i < 60; ++i) {
        targets.push_back(make_target("t" + std::to_string(i), i % 2 == 0 ? "a1" : "b1"));
        plans.push_back(planner.plan(targets.back(), 32));
    }
    for (std::size_t step = 0; step < all.live.size(); ++step) {
        live.push_back(all.live[(step * 7) % all.live.size()]);
        if (step % 5 == 4) {
            live.erase(live.begin() + static_cast<std::ptrdiff_t>(step / 2));
        }
        if (step % 11 == 10) {
            live.back().place = "a2";
        }
        const int fleet_size = static_cast<int>(live.size());
        const auto change = planner.set_fleet(live, fleet_size);
        ASSERT_TRUE(change);
        for (std::size_t i = 0; i < targets.size(); ++i) {
            plans[i] = planner.update(targets[i], 32, plans[i], *change);
            ASSERT_EQ(plans[i], plan_homes(targets[i], 32, {live, fleet_size, all.place_regions}));
        }
    }
    EXPECT_FALSE(planner.set_fleet(live, static_cast<int>(live.size())));
    EXPECT_EQ(plans[0].homes.size(), 3U);
}

}  // namespace
}  // namespace hornbeamhook::gateway
