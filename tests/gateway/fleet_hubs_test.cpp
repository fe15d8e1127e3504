#include "gateway/fleet_hubs.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamhook::gateway {
namespace {

fleet_member make_member(int number, const std::string& place) {
    const std::string vm = place + "-" + std::to_string(number);
    return {vm, 1, {"10.0.0.1", 7440}, {"10.0.0.1", 8782}, place};
}

/** A fleet of three places with `per_place` VMs each. */
std::vector<fleet_member> make_fleet(int per_place) {
    std::vector<fleet_member> fleet;
    for (const char* place : {"a", "b", "c"}) {
        for (int i = 0; i < per_place; ++i) {
            fleet.push_back(make_member(i, place));
        }
    }
    return fleet;
}

void update(fleet_hubs& hubs, const std::vector<fleet_member>& fleet, std::int64_t now) {
    hubs.update(fleet, static_cast<int>(fleet.size()), true, now);
}

// Guards against messages that grow with the fleet.
TEST(fleet_hubs, requests_of_a_vm_do_not_grow_with_the_fleet) {
    for (const int per_place : {25, 65, 130}) {
        const std::vector<fleet_member> fleet = make_fleet(per_place);
        std::size_t requests = 0;
        int readers = 0;
        for (const fleet_member& self : fleet) {
            fleet_hubs hubs(self);
            update(hubs, fleet, 1000);
            requests += hubs.get_hubs().size();
            readers += hubs.is_reader() ? 1 : 0;
            EXPECT_LE(hubs.get_hubs().size(), 5U);
        }
        EXPECT_LE(requests, 3 * fleet.size());
        EXPECT_EQ(readers, 1);
    }
}

TEST(fleet_hubs, small_fleets_have_no_hubs) {
    const std::vector<fleet_member> fleet = make_fleet(4);
    fleet_hubs hubs(fleet.front());
    update(hubs, fleet, 1000);
    EXPECT_FALSE(hubs.is_enabled());
    EXPECT_TRUE(hubs.get_hubs().empty());
}

// Guards against a place that keeps asking a hub which has ended or is of an older release.
TEST(fleet_hubs, a_hub_that_does_not_answer_is_replaced) {
    const std::vector<fleet_member> fleet = make_fleet(10);
    fleet_hubs hubs(fleet.front());
    update(hubs, fleet, 1000);
    const std::vector<std::string> before = hubs.get_hubs();
    ASSERT_FALSE(before.empty());
    hubs.begin_request(before, 1000);
    for (std::size_t i = 1; i < before.size(); ++i) {
        hubs.handle_answer(before[i], true, 1010);
    }
    update(hubs, fleet, 2500);
    const std::vector<std::string> after = hubs.get_hubs();
    EXPECT_EQ(std::find(after.begin(), after.end(), before[0]), after.end());
}

// Guards against a fleet that reads no rows because the store does not serve its reader.
TEST(fleet_hubs, a_reader_without_the_store_is_replaced) {
    const std::vector<fleet_member> fleet = make_fleet(10);
    int readers = 0;
    for (const fleet_member& self : fleet) {
        fleet_hubs hubs(self);
        update(hubs, fleet, 1000);
        if (!hubs.is_reader()) {
            continue;
        }
        ++readers;
        hubs.update(fleet, static_cast<int>(fleet.size()), false, 1400);
        EXPECT_FALSE(hubs.is_reader());
        hubs.update(fleet, static_cast<int>(fleet.size()), true, 1800);
        EXPECT_TRUE(hubs.is_reader());
    }
    EXPECT_EQ(readers, 1);
}

// Guards against a new hub that reports members as silent before they know it.
TEST(fleet_hubs, a_new_hub_reports_no_silence) {
    const std::vector<fleet_member> fleet = make_fleet(10);
    for (const fleet_member& self : fleet) {
        fleet_hubs hubs(self);
        update(hubs, fleet, 1000);
        EXPECT_FALSE(hubs.may_report_silence(1000));
        update(hubs, fleet, 9000);
        EXPECT_EQ(hubs.may_report_silence(9000), hubs.is_hub());
    }
}

TEST(fleet_hubs, reports_of_other_places_are_passed_on_with_their_age) {
    const std::vector<fleet_member> fleet = make_fleet(10);
    fleet_hubs hubs(fleet.front());
    hubs.handle_report({"b", 0, {"b-1"}, {}}, 1000);
    hubs.handle_report({"b", 0, {}, {}}, 900);
    hubs.handle_report({"a", 0, {"a-1"}, {}}, 1000);
    const std::vector<place_report> reports = hubs.get_reports(1300);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0], (place_report{"b", 300, {"b-1"}, {}}));
    EXPECT_TRUE(hubs.get_reports(9000).empty());
}

}  // namespace
}  // namespace hornbeamhook::gateway
