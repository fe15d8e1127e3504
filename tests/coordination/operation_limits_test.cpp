#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "coordination/limit_accountant.h"
#include "coordination/limit_client.h"

namespace hornbeamhook::coordination {
namespace {

constexpr std::uint64_t accountant_process = 7;
const limit_terms usual_terms{100, 50, 5000, 0.1, 20};

limit_request make_request(const std::string& vm, std::int64_t number, std::int64_t vote_at,
                           std::int64_t members, std::vector<limit_demand> demands) {
    return {vm, 1, 0, number, {accountant_process, vote_at}, members, std::move(demands)};
}

class operation_limits : public testing::Test {
protected:
    std::int64_t ask(const std::string& vm, std::int64_t number, std::int64_t now,
                     std::int64_t members, const std::string& organisation, std::int64_t count) {
        const auto answer =
            accountant.handle(make_request(vm, number, now, members, {{organisation, count}}), now);
        return answer && answer->grants.size() == 1 ? answer->grants[0].count : -1;
    }

    limit_timing timing;
    limit_terms terms = usual_terms;
    limit_accountant accountant{
        accountant_process, timing, [this](const std::string& name) -> std::optional<limit_bucket> {
            return name == "unlimited" ? std::nullopt : std::optional(get_bucket(terms, timing));
        }};
};

// Guards against a bucket whose grants, used late, exceed the allowance of a window.
TEST_F(operation_limits, a_bucket_leaves_room_for_grants_of_the_time_before) {
    for (const std::int64_t rate : {1, 3, 30, 500, 100000}) {
        for (const std::int64_t burst : {0, 1, 50, 1000}) {
            for (const double excess : {0.0, 0.02, 0.1}) {
                for (const std::int64_t slack : {0, 20}) {
                    const limit_terms each{rate, burst, 5000, excess, slack};
                    const limit_bucket bucket = get_bucket(each, timing);
                    EXPECT_LE(bucket.capacity + bucket.rate_per_ms * (5000 + 400 + 100),
                              get_window_allowance(each) + 1e-6);
                    EXPECT_GE(bucket.rate_per_ms, 0);
                }
            }
        }
    }
}

// Guards against a share that is used longer than its VM has lent it.
TEST_F(operation_limits, a_vote_counts_from_the_answer_that_it_names) {
    accountant.handle(make_request("a", 1, 1000, 2, {}), 1500);
    EXPECT_DOUBLE_EQ(accountant.get_share(), 0.5);
    accountant.advance(1000 + timing.vote_duration_ms);
    EXPECT_DOUBLE_EQ(accountant.get_share(), 0);
    accountant.handle(make_request("a", 2, 1000, 2, {}), 4000);  // Delayed by seconds.
    EXPECT_DOUBLE_EQ(accountant.get_share(), 0);
}

// Guards against votes that were meant for a process that has ended.
TEST_F(operation_limits, a_vote_for_another_process_does_not_count) {
    limit_request request = make_request("a", 1, 1000, 1, {});
    request.vote_from.process = accountant_process + 1;
    accountant.handle(request, 1000);
    EXPECT_DOUBLE_EQ(accountant.get_share(), 0);
}

// Guards against a repeated datagram that is granted twice, and a late one that grants anything.
TEST_F(operation_limits, a_repeated_request_gets_the_first_answer) {
    ask("a", 1, 1000, 1, "o", 1);
    ask("a", 2, 1500, 1, "o", 1);
    const limit_request request = make_request("a", 3, 1900, 1, {{"o", 20}});
    const auto first = accountant.handle(request, 1900);
    const auto second = accountant.handle(request, 1950);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->grants, second->grants);
    EXPECT_FALSE(accountant.handle(make_request("a", 2, 1500, 1, {{"o", 20}}), 1960));
}

// hot organisation: guards against one organisation that uses up what another may send.
TEST_F(operation_limits, a_hot_organisation_takes_nothing_from_another) {
    ask("a", 1, 1000, 1, "hot", 1000);
    ask("a", 2, 1100, 1, "calm", 1);
    std::int64_t number = 2;
    for (std::int64_t now = 1200; now < 4000; now += 200) {
        ask("a", ++number, now, 1, "hot", 1000);
    }
    EXPECT_EQ(ask("a", ++number, 4000, 1, "calm", 5), 5);
}

// limit lowered under load: guards against a bucket that keeps the level of the former limit.
TEST_F(operation_limits, a_lowered_limit_cuts_the_bucket) {
    std::int64_t number = 0;
    for (std::int64_t now = 0; now <= 2000; now += 200) {
        ask("a", ++number, now, 1, "o", 0);
    }
    terms = {3, 2, 5000, 0.1, 20};
    EXPECT_LE(ask("a", ++number, 2100, 1, "o", 1000), 12);
}

// Guards against grants without a known limit.
TEST_F(operation_limits, an_organisation_without_a_known_limit_gets_nothing) {
    EXPECT_EQ(ask("a", 1, 1000, 1, "unlimited", 5), 0);
}

// Guards against a VM that asks for much and leaves nothing to the others of the organisation.
TEST_F(operation_limits, vms_share_a_scarce_limit) {
    std::int64_t few = 0;
    std::int64_t many = 0;
    std::int64_t number = 0;
    for (std::int64_t now = 0; now < 20000; now += 100) {
        ++number;
        many += ask("a", number, now, 2, "o", 1000);
        few += ask("b", number, now, 2, "o", 200);
    }
    EXPECT_GT(few, many / 8);
    EXPECT_GT(few + many, 1700);  // Of 2000 that the rate allows.
}

class limit_client_test : public testing::Test {
protected:
    limit_client_test() { client.set_candidates({"x", "y"}, 2, 0); }

    limit_answer answer_to(const limit_request& request, std::int64_t at, std::int64_t count) {
        limit_answer answer{request.process, request.shard, request.number, {9, at}, {}};
        for (const limit_demand& demand : request.demands) {
            answer.grants.push_back({demand.organisation, count, 0});
        }
        return answer;
    }

    limit_timing timing;
    limit_client client{"a", 1, 0, timing, 600};
};

// VM suspended with unspent grants: guards against grants that are used after the window for which
// they were counted.
TEST_F(limit_client_test, grants_expire_by_the_time_of_the_request) {
    client.set_waiting("o", 3);
    const auto request = client.poll(1000);
    ASSERT_TRUE(request);
    EXPECT_EQ(client.handle(answer_to(request->request, 1, 3), 1300).size(), 1U);
    EXPECT_EQ(client.take("o", 1350), 1000 + timing.grant_duration_ms);
    EXPECT_FALSE(client.take("o", 1000 + timing.grant_duration_ms));
    EXPECT_FALSE(client.take("o", 60000));
}

// Guards against a repeated answer that grants twice, and an answer to a process that has ended.
TEST_F(limit_client_test, an_answer_grants_once) {
    client.set_waiting("o", 1);
    const auto request = client.poll(1000);
    ASSERT_TRUE(request);
    limit_answer answer = answer_to(request->request, 1, 1);
    answer.process = 2;
    EXPECT_TRUE(client.handle(answer, 1010).empty());
    answer.process = 1;
    EXPECT_FALSE(client.handle(answer, 1010).empty());
    EXPECT_TRUE(client.handle(answer, 1011).empty());
    EXPECT_TRUE(client.take("o", 1012));
    EXPECT_FALSE(client.take("o", 1013));
}

// All VMs restarted: guards against a vote while one of the process before may still hold.
TEST_F(limit_client_test, a_new_process_asks_at_once_but_votes_later) {
    client.set_waiting("o", 1);
    auto request = client.poll(0);
    ASSERT_TRUE(request);
    client.handle(answer_to(request->request, 1, 1), 5);
    client.set_waiting("o", 9);
    request = client.poll(100);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->request.members, 0);
    client.handle(answer_to(request->request, 100, 1), 590);
    request = client.poll(600);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->request.members, 2);
    EXPECT_EQ(request->request.vote_from, (accountant_moment{9, 100}));
}

// Accountant lost with unspent grants, two accountants: guards against a share that counts at two
// accountants at once.
TEST_F(limit_client_test, the_next_accountant_gets_a_vote_after_the_last_one_has_expired) {
    std::int64_t voted_until = 0;
    std::int64_t last_number = 0;
    bool has_voted_for_next = false;
    for (std::int64_t now = 0; now < 5000; now += 20) {
        client.set_waiting("o", 5);
        const auto request = client.poll(now);
        if (!request) {
            continue;
        }
        const bool is_vote = request->request.members > 0;
        const bool is_repeated = request->request.number == last_number;
        last_number = request->request.number;
        if (request->to == "x") {
            // A vote that is sent again names the same moment as the first time.
            if (is_vote && !is_repeated) {
                voted_until = now + timing.vote_duration_ms;
            }
            if (now < 2000) {
                client.handle(answer_to(request->request, now, 0), now + 5);
            }
        } else {
            EXPECT_TRUE(!is_vote || now >= voted_until) << now;
            has_voted_for_next = has_voted_for_next || is_vote;
            client.handle(answer_to(request->request, now, 0), now + 5);
        }
    }
    EXPECT_TRUE(has_voted_for_next);
}

// hot organisation: guards against statements that are refused by an answer that grants since have
// made wrong, and against more waiting statements than will get a grant in time.
TEST_F(limit_client_test, judges_a_statement_by_its_place_and_the_time_since) {
    client.set_waiting("o", 10);
    const auto request = client.poll(1000);
    ASSERT_TRUE(request);
    EXPECT_FALSE(client.is_hopeless("o", 100, 0, 1000));  // Nothing is known yet.
    limit_answer answer = answer_to(request->request, 1, 5);
    answer.grants[0].wait_ms = 200;  // For 5 operations of this VM and what the others ask.
    client.handle(answer, 1010);
    EXPECT_FALSE(client.is_hopeless("o", 1, 100, 1010));
    EXPECT_TRUE(client.is_hopeless("o", 2, 100, 1010));
    EXPECT_FALSE(client.is_hopeless("o", 2, 100, 1030));
    EXPECT_TRUE(client.is_hopeless("o", 4, 100, 1109));
    EXPECT_FALSE(client.is_hopeless("o", 9, 100, 1111));  // Too old, so it is asked for again.
}

// Guards against VMs that raise their shares while a removed VM still lends its own.
TEST_F(limit_client_test, a_shorter_list_raises_the_share_later) {
    auto request = client.poll(700);
    client.handle(answer_to(request->request, 700, 0), 705);
    client.set_candidates({"x"}, 1, 710);
    request = client.poll(720);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->request.members, 2);
    client.handle(answer_to(request->request, 720, 0), 725);
    const std::int64_t later = 710 + timing.list_spread_ms;
    request = client.poll(later);
    client.handle(answer_to(request->request, later, 0), later + 5);
    request = client.poll(later + 10);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->request.members, 1);
}

}  // namespace
}  // namespace hornbeamhook::coordination
