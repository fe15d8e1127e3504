#include "coordination/membership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace hornbeamhook::coordination {
namespace {

using state::member;
using state::member_state;
using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

member make_member(const std::string& vm, std::uint64_t incarnation, std::uint64_t heartbeat,
                   member_state value = member_state::alive) {
    return {vm, "127.0.0.1:1", "cairo", "cairo-1", incarnation, heartbeat, value};
}

template <typename type>
std::vector<type> pick(const std::vector<membership_action>& actions) {
    std::vector<type> picked;
    for (const membership_action& action : actions) {
        if (const auto* value = std::get_if<type>(&action)) {
            picked.push_back(*value);
        }
    }
    return picked;
}

class membership_test : public ::testing::Test {
protected:
    membership_test() {
        members_.self = make_member("self", 1, 0);
        members_.has_member_list = true;
    }

    std::vector<membership_action> step(const membership_event& event, int ms) {
        membership_step result =
            step_membership(std::move(members_), event, start + milliseconds(ms));
        members_ = std::move(result.state);
        return result.actions;
    }

    /** `sender` probed this proxy. */
    std::vector<membership_action> receive(const member& sender, int ms,
                                           std::vector<member> updates = {}) {
        return step(message_received{{sender, std::move(updates)}}, ms);
    }

    void add_members(int count) {
        for (int i = 0; i < count; ++i) {
            receive(make_member("m" + std::to_string(i), 1, 1), 0);
        }
    }

    bool is_live(const std::string& vm) const {
        return std::ranges::any_of(members_.live,
                                   [&](const member& value) { return value.vm == vm; });
    }

    const member& get(const std::string& vm) const { return members_.others.at(vm).value; }

    membership_state members_;
};

// Guards against a member that is skipped for long, or probed twice before the others.
TEST_F(membership_test, a_round_probes_each_member_once) {
    add_members(20);
    std::vector<std::string> first;
    std::vector<std::string> second;
    for (int i = 0; i < 40; ++i) {
        const auto probes = pick<send_probe>(step(exchange_due{}, 1000 * i));
        ASSERT_EQ(probes.size(), 1U);
        (i < 20 ? first : second).push_back(probes.front().peer.vm);
    }
    EXPECT_EQ(std::set<std::string>(first.begin(), first.end()).size(), 20U);
    EXPECT_EQ(std::set<std::string>(second.begin(), second.end()).size(), 20U);
    EXPECT_NE(first, second) << "each round has its own order";
}

// Guards against an undetected end of a partition, and rounds spent on dead members.
TEST_F(membership_test, every_fourth_probe_goes_to_a_dead_member) {
    add_members(20);
    step(probe_failed{"m0", 1, true, max_probes_in_row}, 0);
    step(expiry_due{}, 1000);
    ASSERT_EQ(get("m0").state, member_state::dead);
    int dead_probes = 0;
    for (int i = 0; i < 40; ++i) {
        const auto probes = pick<send_probe>(step(exchange_due{}, 2000 + i));
        ASSERT_EQ(probes.size(), 1U);
        dead_probes += probes.front().peer.vm == "m0" ? 1 : 0;
    }
    EXPECT_EQ(dead_probes, 10);
}

// Guards against a killed proxy in a small fleet that is not probed for 2 s.
TEST_F(membership_test, small_fleets_probe_twice_per_interval) {
    add_members(7);
    const auto probes = pick<send_probe>(step(exchange_due{}, 0));
    ASSERT_EQ(probes.size(), 2U);
    EXPECT_NE(probes[0].peer.vm, probes[1].peer.vm);
}

// Guards against a refusal that others detect only by their own probes.
TEST_F(membership_test, a_refusal_is_announced_immediately) {
    add_members(20);
    const auto probes = pick<send_probe>(step(probe_failed{"m0", 1, true, max_probes_in_row}, 5));
    ASSERT_EQ(probes.size(), 2U);
    EXPECT_EQ(probes.front().message.updates.front().vm, "m0");
    EXPECT_TRUE(pick<send_probe>(step(probe_failed{"m0", 1, true, max_probes_in_row}, 10)).empty());
}

// Guards against members of a small fleet that keep a killed home until an update reaches them.
TEST_F(membership_test, a_refusal_is_announced_to_all_of_a_small_fleet) {
    add_members(7);
    const auto probes = pick<send_probe>(step(probe_failed{"m0", 1, true, max_probes_in_row}, 5));
    EXPECT_EQ(probes.size(), 6U);
}

// Guards against a wait of 3 s for a proxy whose VM already refuses connections.
TEST_F(membership_test, a_refusing_member_is_dead_after_700_ms) {
    add_members(2);
    step(probe_failed{"m0", 1, true, 1}, 100);
    EXPECT_EQ(get("m0").state, member_state::suspect);
    EXPECT_TRUE(is_live("m0")) << "a single failure must not move homes";
    ASSERT_TRUE(members_.next_expiry);
    EXPECT_EQ(*members_.next_expiry, start + milliseconds(800));
    step(expiry_due{}, 799);
    EXPECT_TRUE(is_live("m0"));
    step(expiry_due{}, 800);
    EXPECT_FALSE(is_live("m0"));
    EXPECT_EQ(get("m0").state, member_state::dead);
    EXPECT_FALSE(members_.next_expiry);
}

// Guards against a healthy member suspected because of one failed link.
TEST_F(membership_test, a_silent_member_is_suspect_only_if_no_helper_reaches_it) {
    add_members(4);
    const auto asks = pick<ask_probe>(step(probe_failed{"m0", 1, false, 1}, 0));
    ASSERT_EQ(asks.size(), 2U);
    EXPECT_NE(asks[0].helper.vm, asks[1].helper.vm);
    for (const ask_probe& ask : asks) {
        EXPECT_EQ(ask.member.vm, "m0");
        EXPECT_NE(ask.helper.vm, "m0");
    }
    step(indirect_probe_ended{"m0", 1, false}, 10);
    step(indirect_probe_ended{"m0", 1, true}, 20);
    EXPECT_EQ(get("m0").state, member_state::alive);
    step(probe_failed{"m0", 1, false, 1}, 100);
    step(indirect_probe_ended{"m0", 1, false}, 110);
    EXPECT_EQ(get("m0").state, member_state::alive);
    step(indirect_probe_ended{"m0", 1, false}, 120);
    EXPECT_EQ(get("m0").state, member_state::suspect);
    step(expiry_due{}, 3119);
    EXPECT_TRUE(is_live("m0"));
    step(expiry_due{}, 3120);
    EXPECT_FALSE(is_live("m0"));
}

// Guards against an undetected failure in a fleet of two, which has no helpers.
TEST_F(membership_test, without_helpers_the_own_probe_decides) {
    add_members(1);
    EXPECT_TRUE(pick<ask_probe>(step(probe_failed{"m0", 1, false, 1}, 0)).empty());
    EXPECT_EQ(get("m0").state, member_state::suspect);
}

// Guards against a dead peer that delays the configuration version, and against endless probes.
TEST_F(membership_test, a_failed_probe_is_followed_by_another_immediately) {
    add_members(20);
    std::set<std::string> tried;
    auto probes = pick<send_probe>(step(exchange_due{}, 0));
    int in_row = 0;
    while (!probes.empty()) {
        ASSERT_EQ(probes.size(), 1U);
        ++in_row;
        EXPECT_EQ(probes.front().attempt, in_row);
        tried.insert(probes.front().peer.vm);
        probes = pick<send_probe>(
            step(probe_failed{probes.front().peer.vm, 1, false, probes.front().attempt}, in_row));
    }
    EXPECT_EQ(in_row, max_probes_in_row);
    EXPECT_EQ(tried.size(), 3U);
}

// Guards against a live proxy declared dead: it must learn of the suspicion and refute it.
TEST_F(membership_test, a_suspicion_is_sent_to_the_suspect_and_refuted) {
    add_members(2);
    step(probe_failed{"m0", 1, true, max_probes_in_row}, 0);
    const auto answers = pick<send_answer>(receive(make_member("m0", 1, 1), 10));
    ASSERT_EQ(answers.size(), 1U);
    ASSERT_FALSE(answers.front().message.updates.empty());
    EXPECT_EQ(answers.front().message.updates.front().vm, "m0");
    EXPECT_EQ(answers.front().message.updates.front().state, member_state::suspect);
    EXPECT_EQ(get("m0").state, member_state::suspect)
        << "only a higher heartbeat refutes a suspicion";
    receive(make_member("m0", 1, 2), 20);
    EXPECT_EQ(get("m0").state, member_state::alive);
    step(expiry_due{}, 5000);
    EXPECT_TRUE(is_live("m0"));
}

// Guards against a proxy that does not refute suspicions, or does not send the refutation.
TEST_F(membership_test, a_suspicion_of_self_raises_the_heartbeat) {
    add_members(1);
    const auto answers = pick<send_answer>(
        receive(make_member("m0", 1, 1), 0, {make_member("self", 1, 40, member_state::dead)}));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().message.sender.heartbeat, 41U);
    EXPECT_EQ(answers.front().message.sender.state, member_state::alive);
    const auto probes = pick<send_probe>(step(
        message_received{
            {make_member("m0", 1, 1), {make_member("self", 1, 41, member_state::suspect)}}, true},
        1));
    ASSERT_EQ(probes.size(), 1U)
        << "the peer that reported it in an answer must receive the refutation";
    EXPECT_EQ(probes.front().peer.vm, "m0");
    EXPECT_EQ(probes.front().message.sender.heartbeat, 42U);
}

// Guards against a proxy that applies entries of its VM's earlier incarnation to itself.
TEST_F(membership_test, entries_of_an_earlier_incarnation_do_not_affect_self) {
    members_.self.incarnation = 5;
    receive(make_member("a", 1, 1), 0, {make_member("self", 4, 900, member_state::dead)});
    EXPECT_EQ(members_.self.heartbeat, 0U);
}

// Guards against an unchecked report of a death: one failed link would remove a member everywhere.
TEST_F(membership_test, a_reported_death_is_a_suspicion_and_is_checked) {
    add_members(2);
    const auto probes = pick<send_probe>(
        receive(make_member("m1", 1, 1), 100, {make_member("m0", 1, 1, member_state::dead)}));
    ASSERT_EQ(probes.size(), 1U);
    EXPECT_EQ(probes.front().peer.vm, "m0");
    EXPECT_TRUE(is_live("m0"));
    step(expiry_due{}, 800);
    EXPECT_FALSE(is_live("m0")) << "no member refuted it";
}

// Guards against simultaneous checks by all proxies of a large fleet.
TEST_F(membership_test, few_members_of_a_large_fleet_check_a_suspicion) {
    add_members(400);
    int checks = 0;
    for (int i = 0; i < 400; ++i) {
        checks += static_cast<int>(
            pick<send_probe>(
                receive(make_member("m0", 1, 1), 100,
                        {make_member("m" + std::to_string(i), 1, 1, member_state::suspect)}))
                .size());
    }
    EXPECT_GT(checks, 0);
    EXPECT_LT(checks, 30) << "about 8 are expected";
}

// Guards against a refuted suspicion whose end time still applies.
TEST_F(membership_test, a_second_suspicion_has_its_own_end_time) {
    add_members(2);
    receive(make_member("m1", 1, 1), 0, {make_member("m0", 1, 1, member_state::suspect)});
    receive(make_member("m1", 1, 1), 2900, {make_member("m0", 1, 2, member_state::suspect)});
    step(expiry_due{}, 3000);
    EXPECT_TRUE(is_live("m0"));
    step(expiry_due{}, 5900);
    EXPECT_FALSE(is_live("m0"));
}

// Guards against a restarted VM confused with its earlier incarnation, and against the return of
// that incarnation.
TEST_F(membership_test, a_later_incarnation_replaces_an_earlier_one) {
    receive(make_member("a", 10, 500, member_state::leaving), 0);
    EXPECT_FALSE(is_live("a"));
    receive(make_member("a", 20, 0), 100);
    EXPECT_TRUE(is_live("a"));
    step(probe_failed{"a", 10, true, 1}, 200);
    EXPECT_EQ(get("a").state, member_state::alive)
        << "the probe was sent to the earlier incarnation";
    receive(make_member("b", 1, 1), 300, {make_member("a", 10, 900, member_state::dead)});
    EXPECT_EQ(get("a").state, member_state::alive);
    EXPECT_EQ(get("a").incarnation, 20U);
    step(probe_failed{"a", 20, true, 1}, 400);
    step(expiry_due{}, 1400);
    receive(make_member("b", 1, 1), 1500, {make_member("a", 10, 999)});
    EXPECT_FALSE(is_live("a")) << "an earlier incarnation must not return";
}

// Guards against a leaving proxy that other entries make live again.
TEST_F(membership_test, leaving_is_final_for_an_incarnation) {
    receive(make_member("a", 1, 5, member_state::leaving), 0);
    receive(make_member("b", 1, 1), 100, {make_member("a", 1, 6)});
    EXPECT_FALSE(is_live("a"));
    EXPECT_EQ(get("a").state, member_state::leaving);
}

// Guards against a drain that no member learns of before the next round.
TEST_F(membership_test, leaving_is_announced_immediately) {
    add_members(2);
    const auto probes = pick<send_probe>(step(leave_started{}, 10));
    ASSERT_EQ(probes.size(), 2U);
    EXPECT_EQ(probes.front().message.sender.state, member_state::leaving);
    EXPECT_FALSE(is_live("self"));
    EXPECT_TRUE(step(leave_started{}, 20).empty());
}

// Guards against messages that grow with the fleet, updates sent without end, and newer updates
// sent after older ones.
TEST_F(membership_test, messages_and_transmissions_are_bounded) {
    add_members(200);
    receive(make_member("new", 1, 1), 20'000);
    const member peer = make_member("m0", 1, 1);
    EXPECT_EQ(make_message(members_, peer).updates.front().vm, "new");
    int sent = 1;
    std::size_t messages = 0;
    for (std::size_t size = 1; size > 0 && messages < 10'000; ++messages) {
        const membership_message message = make_message(members_, peer);
        size = message.updates.size();
        EXPECT_LE(size, max_updates);
        sent += static_cast<int>(std::ranges::count(message.updates, "new", &member::vm));
    }
    EXPECT_LT(messages, 10'000U);
    EXPECT_EQ(sent, get_transmission_limit(202));
    EXPECT_EQ(get_transmission_limit(3900), 36);
}

// Guards against forwarded heartbeats, which would take 39 KB/s per node in the largest fleet.
TEST_F(membership_test, unchanged_members_are_not_sent) {
    add_members(8);
    const member peer = make_member("m0", 1, 1);
    while (!make_message(members_, peer).updates.empty()) {
    }
    receive(make_member("m1", 1, 1), 1000);
    EXPECT_TRUE(make_message(members_, peer).updates.empty());
    receive(make_member("m1", 1, 2), 2000);
    EXPECT_EQ(make_message(members_, peer).updates.size(), 1U) << "a refutation is an update";
}

// Guards against a sender that missed a refutation or a restart and keeps its stale view.
TEST_F(membership_test, stale_suspicions_are_corrected) {
    add_members(2);
    receive(make_member("m0", 1, 2), 0);
    const member peer = make_member("m1", 1, 1);
    while (!make_message(members_, peer).updates.empty()) {
    }
    const auto answers =
        pick<send_answer>(receive(peer, 1000, {make_member("m0", 1, 1, member_state::dead)}));
    ASSERT_EQ(answers.front().message.updates.size(), 1U);
    EXPECT_EQ(answers.front().message.updates.front(), make_member("m0", 1, 2));
}

// Guards against views that stay different after lost updates, and against too many fetches.
TEST_F(membership_test, a_lasting_difference_fetches_the_full_list) {
    add_members(1);
    const member peer = make_member("m0", 1, 1);
    EXPECT_TRUE(pick<fetch_members>(receive(peer, 1000)).empty());
    EXPECT_TRUE(pick<fetch_members>(receive(peer, 9000)).empty());
    EXPECT_EQ(pick<fetch_members>(receive(peer, 11'500)).size(), 1U);
    EXPECT_TRUE(pick<fetch_members>(receive(peer, 20'000)).empty()) << "at most one fetch in 30 s";
    EXPECT_EQ(pick<fetch_members>(receive(peer, 41'600)).size(), 1U);
    // An equal digest ends the difference.
    step(message_received{{peer, {}, members_.live.size(), members_.digest}}, 72'000);
    EXPECT_TRUE(pick<fetch_members>(receive(peer, 73'000)).empty());
}

// Guards against equal views with different digests, and different views with equal ones.
TEST_F(membership_test, the_digest_distinguishes_incarnations) {
    add_members(2);
    const std::uint64_t before = members_.digest;
    receive(make_member("m1", 2, 0), 10);
    EXPECT_NE(members_.digest, before);
    membership_state other;
    other.self = make_member("m1", 2, 7);
    for (const member& value : {make_member("m0", 1, 1), make_member("self", 1, 9)}) {
        other = step_membership(std::move(other), message_received{{value}}, start).state;
    }
    EXPECT_EQ(other.digest, members_.digest);
}

// Guards against a new proxy that waits for updates which were spread before its start.
TEST_F(membership_test, a_new_proxy_fetches_the_full_list) {
    members_.has_member_list = false;
    EXPECT_EQ(pick<fetch_members>(receive(make_member("a", 1, 1), 0)).size(), 1U);
    step(member_list_received{}, 10);
    EXPECT_EQ(pick<fetch_members>(receive(make_member("a", 1, 1), 20)).size(), 1U)
        << "the first fetch failed";
    step(member_list_received{{{make_member("self", 1, 0), make_member("b", 1, 1),
                                make_member("c", 1, 1, member_state::dead)}}},
         30);
    EXPECT_TRUE(is_live("b"));
    EXPECT_FALSE(members_.others.contains("c"));
    for (const member& update : make_message(members_, make_member("x", 1, 1)).updates) {
        EXPECT_NE(update.vm, "b") << "a fetched entry must not be spread";
    }
    EXPECT_TRUE(pick<fetch_members>(receive(make_member("a", 1, 1), 40)).empty());
}

// Guards against a stale VM list that decides which members are live.
TEST_F(membership_test, the_vm_list_names_candidates_only) {
    const auto actions = step(
        vm_list_received{{make_member("a", 0, 0), make_member("b", 0, 0, member_state::leaving)}},
        0);
    EXPECT_EQ(pick<send_probe>(actions).size(), 3U)
        << "a proxy without seen members probes immediately";
    EXPECT_FALSE(is_live("a"));
    EXPECT_EQ(count_listed_others(members_), 1U);
    receive(make_member("a", 1, 1), 200);
    receive(make_member("b", 2, 1), 200);
    EXPECT_TRUE(is_live("a"));
    EXPECT_TRUE(is_live("b")) << "the list entry belongs to the earlier incarnation";
    step(vm_list_received{{}}, 300);
    EXPECT_TRUE(is_live("a")) << "a seen member stays live whatever the list says";
}

// Guards against a proxy that considers itself alone before the list shows its peers.
TEST_F(membership_test, members_count_as_others_before_the_list_names_them) {
    add_members(2);
    EXPECT_EQ(count_listed_others(members_), 2U);
    step(probe_failed{"m0", 1, true, 1}, 10);
    step(expiry_due{}, 1010);
    EXPECT_EQ(count_listed_others(members_), 2U) << "a dead peer may have sent a change to others";
    step(vm_list_received{{make_member("m1", 0, 0)}}, 2000);
    EXPECT_EQ(count_listed_others(members_), 1U);
}

// Guards against a listed VM without a proxy that is probed in every round.
TEST_F(membership_test, a_listed_member_that_never_answered_is_dead) {
    step(vm_list_received{{make_member("a", 0, 0)}}, 0);
    step(probe_failed{"a", 0, true, 1}, 10);
    step(vm_list_received{{make_member("a", 0, 0)}}, 20);
    EXPECT_EQ(get("a").state, member_state::dead);
    receive(make_member("a", 1, 0), 30);
    EXPECT_TRUE(is_live("a"));
}

// Guards against a table that grows with every VM that ever existed.
TEST_F(membership_test, dead_members_are_removed_after_the_list_drops_them) {
    step(vm_list_received{{make_member("a", 0, 0)}}, 0);
    receive(make_member("a", 1, 1), 0);
    step(probe_failed{"a", 1, true, 1}, 0);
    step(expiry_due{}, 1000);
    step(exchange_due{}, 100'000);
    EXPECT_TRUE(members_.others.contains("a")) << "no later list was received";
    step(vm_list_received{{}}, 100'000);
    step(exchange_due{}, 100'001);
    EXPECT_FALSE(members_.others.contains("a"));
}

// Guards against the same growth on a proxy that reads no list, and against the removal of a region
// that is partitioned for an hour.
TEST_F(membership_test, without_a_list_dead_members_are_kept_for_two_hours) {
    add_members(1);
    step(probe_failed{"m0", 1, true, 1}, 0);
    step(expiry_due{}, 1000);
    step(exchange_due{}, 3'700'000);
    EXPECT_TRUE(members_.others.contains("m0"));
    step(exchange_due{}, 7'300'000);
    EXPECT_FALSE(members_.others.contains("m0"));
}

// Guards against an undetected newer configuration of a peer.
TEST_F(membership_test, newer_versions_of_peers_are_reported) {
    member peer = make_member("a", 1, 1);
    peer.configuration_version = 3;
    EXPECT_EQ(pick<newer_version_seen>(receive(peer, 0)).size(), 1U);
    step(version_adopted{3}, 1);
    EXPECT_TRUE(pick<newer_version_seen>(receive(peer, 2)).empty());
    step(version_adopted{2}, 3);
    EXPECT_EQ(members_.self.configuration_version, 3U) << "versions must not decrease";
}

// Guards against a configuration change that waits for the next round at each hop.
TEST_F(membership_test, a_new_version_is_announced_immediately_to_three) {
    add_members(8);
    const auto probes = pick<send_probe>(step(version_adopted{4}, 1));
    ASSERT_EQ(probes.size(), 3U);
    EXPECT_EQ(probes.front().message.sender.configuration_version, 4U);
}

}  // namespace
}  // namespace hornbeamhook::coordination
