#include "gateway/fleet_membership.h"

#include <gtest/gtest.h>

#include "coordination/primary_lease.h"

namespace hornbeamhook::gateway {
namespace {

fleet_member make_member(const std::string& vm, std::int64_t incarnation = 1) {
    return {vm, incarnation, {"10.0.0.1", 7440}, {"10.0.0.1", 8782}, "z"};
}

peer_pong make_pong(const std::string& vm, std::int64_t sequence,
                    std::vector<record_promise> promises) {
    return {vm, 1, sequence, 0, true, false, false, std::move(promises), {}};
}

class fleet_membership_test : public testing::Test {
protected:
    fleet_membership_test() : fleet_(make_member("vm1")) {
        fleet_.update({make_member("vm1"), make_member("vm2"), make_member("vm3")}, true, 1000);
    }

    fleet_membership fleet_;
};

TEST_F(fleet_membership_test, promise_counts_from_its_ping) {
    const std::int64_t ping = fleet_.begin_ping_round(2000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 2050);
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
    fleet_.handle_pong(make_pong("vm3", ping, {{"g", 9}}), 2400);
    EXPECT_EQ(fleet_.get_promised_since("g", 10), 2000);
}

// Guards against a VM that extends its lease on a primary which was replaced while the VM was
// partitioned (seen as violations of ONE and STALE on scale-2 of carrowmore-benches).
TEST_F(fleet_membership_test, promise_for_a_newer_record_does_not_extend) {
    const std::int64_t ping = fleet_.begin_ping_round(2000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 2050);
    fleet_.handle_pong(make_pong("vm3", ping, {{"g", 11}}), 2050);
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
    EXPECT_EQ(fleet_.get_promised_since("g", 11), 2000);
}

// Guards against a digest match that is taken for promises which its ping did not contain.
TEST_F(fleet_membership_test, digest_match_confirms_the_promises_of_its_ping) {
    const std::int64_t first = fleet_.begin_ping_round(2000, {{"g", 10}});
    fleet_.begin_ping_round(2700, {{"g", 11}});
    for (const char* vm : {"vm2", "vm3"}) {
        EXPECT_FALSE(fleet_.get_promised_since("g", 11).has_value());
        peer_pong pong = make_pong(vm, first, {});
        pong.is_digest_match = true;
        fleet_.handle_pong(pong, 2750);
    }
    EXPECT_EQ(fleet_.get_promised_since("g", 10), 2000);
    EXPECT_EQ(fleet_.get_promised_since("g", 11), 2000);
    EXPECT_FALSE(fleet_.get_promised_since("g", 9).has_value());
    EXPECT_FALSE(fleet_.is_round_complete());
    EXPECT_NE(get_digest({{"g", 10}}), get_digest({{"g", 11}}));
    EXPECT_NE(get_digest({{"g", 10}}), get_digest({}));
}

// Guards against a lease that is extended although a member no longer promises.
TEST_F(fleet_membership_test, pong_without_promise_withdraws_the_earlier_one) {
    std::int64_t ping = fleet_.begin_ping_round(2000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 2050);
    fleet_.handle_pong(make_pong("vm3", ping, {{"g", 10}}), 2050);
    ping = fleet_.begin_ping_round(2700);
    fleet_.handle_pong(make_pong("vm3", ping, {}), 2750);
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
}

// Guards against a change of the primary that does not wait for a process which holds a lease from
// a list that this VM has not read (review case 2).
TEST_F(fleet_membership_test, an_unlisted_process_that_is_heard_may_hold_a_lease) {
    const transport::endpoint address{"10.0.0.4", 7440};
    fleet_.handle_unlisted("vm4", 5, address, 2000);
    constexpr std::int64_t lease_ms =
        coordination::lease_duration_ms + coordination::clock_drift_margin_ms;
    EXPECT_TRUE(fleet_.get_lease_holders(2000 + lease_ms).contains("vm4"));
    EXPECT_FALSE(fleet_.get_lease_holders(2001 + lease_ms).contains("vm4"));
    EXPECT_EQ(fleet_.find_peer_address("vm4"), address);
    EXPECT_EQ(fleet_.find_peer_address("vm5"), std::nullopt);
    // The next process of a listed VM that ended as planned.
    fleet_.handle_departure({"vm2", 1, {}});
    fleet_.handle_unlisted("vm2", 1, address, 2000);
    EXPECT_FALSE(fleet_.get_lease_holders(2000).contains("vm2"));
    // Incarnations follow the time of day, which may jump back.
    fleet_.handle_unlisted("vm2", 0, address, 2000);
    EXPECT_TRUE(fleet_.get_lease_holders(2000).contains("vm2"));
    fleet_.handle_departure({"vm2", 0, {}});
    EXPECT_FALSE(fleet_.get_lease_holders(2000).contains("vm2"));
}

// Guards against a VM that is removed before each VM that may replace a primary has read a list
// with it.
TEST(fleet_membership, a_vm_that_joined_recently_is_not_removed) {
    fleet_membership fleet(make_member("vm1"));
    fleet.update({make_member("vm1")}, true, 0);
    const std::int64_t joined_at = coordination::max_store_outage_ms;
    fleet.update({make_member("vm1"), make_member("vm2")}, true, joined_at);
    EXPECT_TRUE(
        fleet.get_removable_members(joined_at + coordination::min_listed_time_ms - 1).empty());
    EXPECT_EQ(fleet.get_removable_members(joined_at + coordination::min_listed_time_ms),
              std::set<std::string>{"vm2"});
}

// Guards against a fleet in which no VM notices that the watches of the configuration are silent,
// because one that confirmed it has stopped.
TEST(fleet_membership, two_vms_confirm_the_configuration_and_are_replaced_when_silent) {
    const std::vector<std::string> vms{"vm1", "vm2", "vm3", "vm4", "vm5"};
    std::vector<fleet_member> members;
    for (const std::string& vm : vms) {
        members.push_back(make_member(vm));
    }
    const auto get_confirming = [&](const std::set<std::string>& silent) {
        std::set<std::string> confirming;
        for (const std::string& vm : vms) {
            fleet_membership fleet(make_member(vm));
            fleet.update(members, true, 1000);
            const std::int64_t ping = fleet.begin_ping_round(2000);
            for (const std::string& other : vms) {
                if (other != vm && !silent.contains(other)) {
                    fleet.handle_pong(make_pong(other, ping, {}), 2050);
                }
            }
            if (!silent.contains(vm) && fleet.is_confirming(2100)) {
                confirming.insert(vm);
            }
        }
        return confirming;
    };
    const std::set<std::string> first = get_confirming({});
    EXPECT_EQ(first.size(), 2U);
    const std::set<std::string> next = get_confirming(first);
    EXPECT_EQ(next.size(), 2U);
    for (const std::string& vm : next) {
        EXPECT_FALSE(first.contains(vm)) << vm;
    }
    EXPECT_TRUE(fleet_membership(make_member("vm1")).is_confirming(2100));
}

// Guards against leases that end while the store is away because a VM has stopped as planned
// (incidents kelaniya-skim-0d62 and kelaniya-skim-grown-e48b).
TEST_F(fleet_membership_test, promises_of_a_departed_member_stay_valid) {
    fleet_.handle_departure({"vm3", 1, {{"g", 10}}});
    const std::int64_t ping = fleet_.begin_ping_round(9000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}, {"h", 4}}), 9050);
    EXPECT_TRUE(fleet_.is_round_complete());
    EXPECT_EQ(fleet_.get_promised_since("g", 10), 9000);
    EXPECT_FALSE(fleet_.get_promised_since("g", 9).has_value());
    EXPECT_FALSE(fleet_.get_promised_since("h", 4).has_value()) << "it had released this lease";
    EXPECT_EQ(fleet_.get_lease_holders(9100), (std::set<std::string>{"vm1", "vm2"}));
    EXPECT_EQ(fleet_.get_responsive_members(9100), std::set<std::string>{"vm2"});
    // A delayed answer of the process changes nothing.
    fleet_.handle_pong(make_pong("vm3", ping, {{"h", 4}}), 9100);
    EXPECT_FALSE(fleet_.get_promised_since("h", 4).has_value());
    fleet_.update({make_member("vm1"), make_member("vm2")}, true, 9200);
    EXPECT_EQ(fleet_.get_lease_holders(9300), (std::set<std::string>{"vm1", "vm2"}));
}

// Guards against two primaries: a member that this VM removes could extend its leases by the last
// promises of this VM, while no promoter waits for it (leadership_exploration, seed 1572311469).
TEST_F(fleet_membership_test, a_member_that_is_being_removed_gets_no_departure_notice) {
    EXPECT_EQ(fleet_.get_departure_receivers().size(), 2U);
    fleet_.handle_removal_request("vm3");
    const std::vector<fleet_member> receivers = fleet_.get_departure_receivers();
    ASSERT_EQ(receivers.size(), 1U);
    EXPECT_EQ(receivers[0].vm, "vm2");
    // The removal concerns one process of the VM.
    fleet_.update({make_member("vm1"), make_member("vm2"), make_member("vm3", 2)}, true, 9000);
    EXPECT_EQ(fleet_.get_departure_receivers().size(), 2U);
}

// Guards against a notice of an earlier process that is taken for the end of the present one.
TEST_F(fleet_membership_test, a_departure_counts_for_one_incarnation) {
    fleet_.handle_departure({"vm3", 1, {{"g", 10}}});
    fleet_.update({make_member("vm1"), make_member("vm2"), make_member("vm3", 2)}, true, 9000);
    fleet_.handle_departure({"vm3", 1, {{"g", 10}}});
    const std::int64_t ping = fleet_.begin_ping_round(9100);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 9150);
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
    EXPECT_TRUE(fleet_.get_lease_holders(9200).contains("vm3"));
}

// Guards against promises of an earlier incarnation that still count after a restart.
TEST_F(fleet_membership_test, restart_discards_promises) {
    const std::int64_t ping = fleet_.begin_ping_round(2000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 2050);
    fleet_.handle_pong(make_pong("vm3", ping, {{"g", 10}}), 2050);
    const auto [joined, left] =
        fleet_.update({make_member("vm1"), make_member("vm2", 2), make_member("vm3")}, true, 2100);
    EXPECT_EQ(joined, std::set<std::string>{"vm2"});
    EXPECT_TRUE(left.empty());
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
}

// Guards against removing a member that may still hold a lease.
TEST_F(fleet_membership_test, member_is_removable_only_after_the_removal_timeout) {
    fleet_.handle_heard("vm3", false, 20000);
    const std::int64_t ping = fleet_.begin_ping_round(21000);
    fleet_.handle_pong(make_pong("vm2", ping, {}), 21050);
    EXPECT_TRUE(
        fleet_.get_removable_members(20000 + coordination::member_removal_timeout_ms).empty());
    EXPECT_EQ(fleet_.get_removable_members(20001 + coordination::member_removal_timeout_ms),
              std::set<std::string>{"vm3"});
    // Its lease has expired by then, because the VM that removes it has not answered its pings.
    EXPECT_GT(coordination::member_removal_timeout_ms,
              coordination::lease_duration_ms + coordination::clock_drift_margin_ms);
}

// Guards against a promotion while a removed VM still uses the old primary.
TEST_F(fleet_membership_test, removed_member_is_a_lease_holder_until_its_lease_expires) {
    fleet_.update({make_member("vm1"), make_member("vm2")}, true, 5000);
    EXPECT_EQ(fleet_.get_lease_holders(5000 + coordination::lease_duration_ms),
              (std::set<std::string>{"vm1", "vm2", "vm3"}));
    EXPECT_EQ(fleet_.get_lease_holders(5001 + coordination::lease_duration_ms +
                                       coordination::clock_drift_margin_ms),
              (std::set<std::string>{"vm1", "vm2"}));
}

// Guards against a VM that lists itself again and is removed at once, by a VM that did not see it
// missing: a promoter that did not see it listed again does not wait for its lease.
TEST_F(fleet_membership_test, a_member_that_listed_itself_again_counts_as_joined) {
    const std::int64_t silent_at = 1001 + coordination::max_store_outage_ms;
    const std::int64_t ping = fleet_.begin_ping_round(silent_at);
    fleet_.handle_pong(make_pong("vm3", ping, {}), silent_at);
    EXPECT_EQ(fleet_.get_removable_members(silent_at), std::set<std::string>{"vm2"});
    fleet_member again = make_member("vm2");
    again.registration = 1;
    const auto [joined, left] =
        fleet_.update({make_member("vm1"), again, make_member("vm3")}, true, silent_at);
    EXPECT_EQ(joined, std::set<std::string>{"vm2"});
    EXPECT_TRUE(fleet_.get_removable_members(silent_at).empty());
    EXPECT_EQ(parse_member("vm2", format_member(again)), again);
}

// Guards against a VM that lists itself without end because its row is from an earlier attempt.
TEST_F(fleet_membership_test, a_vm_found_unlisted_gets_one_new_registration_number) {
    const fleet_member listed = fleet_.get_self();
    fleet_.update({make_member("vm2")}, false, 2000);
    EXPECT_EQ(fleet_.get_self().registration, 1);
    fleet_.update({make_member("vm2")}, false, 2500);
    EXPECT_EQ(fleet_.get_self().registration, 1);
    EXPECT_TRUE(fleet_.is_self(listed));
    EXPECT_FALSE(fleet_.is_self(make_member("vm1", 2)));
    EXPECT_FALSE(fleet_.is_self(make_member("vm2")));
}

TEST_F(fleet_membership_test, member_row_round_trips_and_invalid_rows_are_rejected) {
    EXPECT_EQ(parse_member("vm2", format_member(make_member("vm2", 7))), make_member("vm2", 7));
    for (const char* value : {"", "x", "[]", "{}", R"({"incarnation":"1","peer":"a:1"})"}) {
        EXPECT_FALSE(parse_member("vm2", value).has_value()) << value;
    }
}

// Guards against a machine that is used for seconds after its place's hub has lost it.
TEST_F(fleet_membership_test, a_report_makes_a_member_silent) {
    fleet_.apply_report({"z", 0, {}, {}}, 3000);
    EXPECT_EQ(fleet_.get_responsive_members(3100).size(), 2U);
    fleet_.apply_report({"z", 0, {"vm2"}, {"vm3"}}, 3400);
    EXPECT_EQ(fleet_.get_responsive_members(3500), std::set<std::string>{"vm3"});
    EXPECT_EQ(fleet_.get_live_members(3500).size(), 1U);
    EXPECT_TRUE(fleet_.get_removable_members(3500).empty());
}

// Guards against a report that is older than what the member itself sent.
TEST_F(fleet_membership_test, a_message_of_the_member_goes_before_an_older_report) {
    fleet_.handle_heard("vm2", false, 3000);
    fleet_.apply_report({"z", 0, {"vm2"}, {}}, 2900);
    EXPECT_TRUE(fleet_.get_responsive_members(3100).contains("vm2"));
}

// Guards against a hub that reports members as silent which have not sent it a request yet.
TEST_F(fleet_membership_test, a_new_hub_repeats_what_its_predecessor_reported) {
    fleet_.apply_report({"z", 0, {"vm2"}, {}}, 9000);
    EXPECT_EQ(fleet_.get_place_report(false, 9100).silent, std::vector<std::string>{"vm2"});
    fleet_.handle_heard("vm2", false, 9200);
    EXPECT_EQ(fleet_.get_place_report(true, 9300).silent, std::vector<std::string>{"vm3"});
}

// Guards against a VM that is cut off from all others and removes them from the list, although the
// others run.
TEST_F(fleet_membership_test, a_vm_that_hears_from_no_other_removes_none) {
    std::vector<fleet_member> members;
    for (int i = 1; i <= 9; ++i) {
        members.push_back(make_member("vm" + std::to_string(i)));
    }
    fleet_.update(members, true, 1000);
    EXPECT_TRUE(fleet_.get_removable_members(19000).empty());
    fleet_.handle_heard("vm2", false, 18900);
    fleet_.handle_heard("vm3", false, 18900);
    EXPECT_EQ(fleet_.get_removable_members(19000).size(), 6U);
}

// Guards against a VM that joined recently and removes a member that does not know it: that member
// may extend its lease by promises of others, and promotions no longer wait for it.
TEST_F(fleet_membership_test, a_vm_that_joined_recently_removes_none) {
    fleet_.handle_heard("vm2", false, 15900);
    EXPECT_TRUE(fleet_.get_removable_members(999 + coordination::max_store_outage_ms).empty());
    EXPECT_EQ(fleet_.get_removable_members(1000 + coordination::max_store_outage_ms),
              std::set<std::string>{"vm3"});
}

// Guards against a lease that is extended by VMs which were removed from the list together with
// this one, while the others replace the primary (found by leadership_exploration).
TEST_F(fleet_membership_test, promises_do_not_count_while_this_vm_is_not_listed) {
    const std::int64_t ping = fleet_.begin_ping_round(2000);
    fleet_.handle_pong(make_pong("vm2", ping, {{"g", 10}}), 2050);
    fleet_.handle_pong(make_pong("vm3", ping, {{"g", 11}}), 2050);
    fleet_.update({make_member("vm2")}, false, 2100);
    EXPECT_FALSE(fleet_.get_promised_since("g", 10).has_value());
}

// Guards against a VM that returns from a partition and removes the VMs that it lost contact with.
TEST_F(fleet_membership_test, a_vm_that_was_removed_does_not_remove_others) {
    fleet_.handle_heard("vm2", false, 20000);
    EXPECT_EQ(fleet_.get_removable_members(20100), std::set<std::string>{"vm3"});
    fleet_.update({make_member("vm2"), make_member("vm3")}, false, 20200);
    fleet_.update({make_member("vm1"), make_member("vm2"), make_member("vm3")}, true, 20300);
    EXPECT_TRUE(fleet_.get_removable_members(20400).empty());
}

}  // namespace
}  // namespace hornbeamhook::gateway
