#include "gateway/target_choice.h"

#include <gtest/gtest.h>

namespace hornbeamhook::gateway {
namespace {

constexpr std::int64_t now_ms = 100'000;
constexpr std::int64_t staleness_ms = 1500;
constexpr std::int64_t remote_round_trip_ms = 16;

std::int64_t get_round_trip_ms(const std::string& place) {
    return place == "near" ? 0 : remote_round_trip_ms;
}

target_state make_target(const std::string& id, const std::string& place = "near") {
    target_state result;
    result.entry.id = id;
    result.entry.group = "group";
    result.entry.place = place;
    result.entry.slots = 4;
    return result;
}

/** A group with the primary `p` and the replicas `r1` and `r2`, and a position that covers all
 * reads that are not strict. */
target_group make_group() {
    target_group result;
    result.name = "group";
    for (const std::string id : {"p", "r1", "r2"}) {
        result.targets.emplace(id, make_target(id));
    }
    result.lease.confirm({.target = "p", .term = 1, .version = 1}, now_ms);
    result.history.add({1, 50}, now_ms - 1000);
    return result;
}

pending_statement make_read(read_policy policy = read_policy::bounded) {
    pending_statement result;
    result.target_route.policy = policy;
    result.target_route.staleness_ms = staleness_ms;
    result.operation_started_at = now_ms;
    result.is_idempotent = true;
    return result;
}

std::vector<std::string> list(target_group& group, const pending_statement& pending) {
    std::vector<std::string> result;
    for (const read_candidate& candidate : list_read_candidates(
             group, pending, get_required_position(group, pending), get_round_trip_ms, now_ms)) {
        result.push_back(candidate.target->entry.id);
    }
    return result;
}

void set_answer_time(target_state& target, double answer_ms) {
    target.mean_answer_ms = answer_ms;
    target.last_answer_at = now_ms - 100;
}

// Guards against reads that take the primary's slots while replicas have room.
TEST(target_choice, prefers_replicas_to_the_primary) {
    target_group group = make_group();
    EXPECT_EQ(list(group, make_read()), (std::vector<std::string>{"r1", "r2", "p"}));
}

// Pattern: one slow target. Guards against reads that go on to it while another one is faster.
TEST(target_choice, puts_a_slow_replica_last) {
    target_group group = make_group();
    set_answer_time(group.targets.at("p"), 20);
    set_answer_time(group.targets.at("r1"), 200);
    set_answer_time(group.targets.at("r2"), 20);
    EXPECT_EQ(list(group, make_read()), (std::vector<std::string>{"r2", "p", "r1"}));
}

// Guards against a target that is never tried again after it was slow.
TEST(target_choice, forgets_a_slow_answer) {
    target_group group = make_group();
    set_answer_time(group.targets.at("r2"), 15);
    group.targets.at("r1").mean_answer_ms = 200;
    group.targets.at("r1").last_answer_at = now_ms - 60'000;
    EXPECT_EQ(list(group, make_read()).front(), "r1");
}

// Pattern: users who move to another data centre. Guards against round trips between regions.
TEST(target_choice, prefers_a_near_replica) {
    target_group group = make_group();
    group.targets.at("r1").entry.place = "far";
    EXPECT_EQ(list(group, make_read()).front(), "r2");
}

// Pattern: failing, lagging and leaving targets. Guards against statements sent to them.
TEST(target_choice, leaves_out_what_cannot_serve) {
    target_group group = make_group();
    group.targets.at("p").unreachable_until = now_ms + 1;
    group.targets.at("r1").lagging_until = now_ms + 1;
    EXPECT_EQ(list(group, make_read()), (std::vector<std::string>{"r2"}));
    group.targets.at("r2").avoided_until = now_ms + 1;
    EXPECT_TRUE(list(group, make_read()).empty());
    group = make_group();
    group.targets.at("r1").entry.is_leaving = true;
    group.targets.at("r2").removed_at = now_ms;
    EXPECT_EQ(list(group, make_read()), (std::vector<std::string>{"p"}));
}

// Guards against a read at the primary that is left out because a replica would lag.
TEST(target_choice, a_lagging_mark_does_not_exclude_the_primary) {
    target_group group = make_group();
    group.targets.at("p").lagging_until = now_ms + 1;
    EXPECT_EQ(list(group, make_read()).back(), "p");
}

// Guards against a second attempt at the target that has just failed the statement.
TEST(target_choice, avoids_where_the_statement_failed) {
    target_group group = make_group();
    pending_statement read = make_read();
    read.avoided_targets = {"r1", "r2"};
    EXPECT_EQ(list(group, read), (std::vector<std::string>{"p"}));
    EXPECT_FALSE(is_every_target_avoided(group, read));
    group.targets.at("p").entry.is_leaving = true;
    EXPECT_TRUE(is_every_target_avoided(group, read));
}

// Guards against a replica that is asked without a position it must have reached.
TEST(target_choice, without_a_position_only_the_primary_serves) {
    target_group group = make_group();
    group.history = {};
    EXPECT_EQ(list(group, make_read()), (std::vector<std::string>{"p"}));
    EXPECT_TRUE(is_runnable(group, make_read(), now_ms));
    group.lease.expire();
    EXPECT_TRUE(list(group, make_read()).empty());
    EXPECT_FALSE(is_runnable(group, make_read(), now_ms));
}

// Guards against a session that doesn't see its own commit at a replica.
TEST(target_choice, a_session_requires_its_own_commit) {
    const target_group group = make_group();
    pending_statement read = make_read(read_policy::own_writes);
    read.last_commit_position = state::log_point{1, 70};
    EXPECT_EQ(get_required_position(group, read), (state::log_point{1, 70}));
    read.last_commit_position = state::log_point{1, 20};
    EXPECT_EQ(get_required_position(group, read), (state::log_point{1, 50}));
    read.target_route.policy = read_policy::bounded;
    read.last_commit_position = state::log_point{1, 70};
    EXPECT_EQ(get_required_position(group, read), (state::log_point{1, 50}));
}

}  // namespace
}  // namespace hornbeamhook::gateway
