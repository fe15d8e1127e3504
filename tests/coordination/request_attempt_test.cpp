#include "coordination/request_attempt.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using protocol::error_code;
using state::outcome;
using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};
const state::time_point deadline = start + std::chrono::seconds(5);

request_attempt make_attempt(bool is_write, bool is_keyed) {
    request_attempt attempt;
    attempt.is_write = is_write;
    attempt.is_keyed = is_keyed;
    attempt.deadline = deadline;
    return record_send(attempt);
}

attempt_decision judge(const request_attempt& attempt, const attempt_result& result,
                       state::time_point now = start) {
    return judge_result(attempt, result, now, 0.5).second;
}

// Guards against a second run of a request that must not be repeated.
TEST(request_attempt, unkeyed_write_is_never_sent_after_its_bytes_left) {
    const request_attempt attempt = make_attempt(true, false);
    const attempt_decision lost =
        judge(attempt, {outcome::unknown, error_code::outcome_unknown, true, false});
    EXPECT_EQ(lost.step, attempt_step::finish);
    EXPECT_EQ(lost.outcome, outcome::unknown);
    const attempt_decision refused =
        judge(attempt, {outcome::not_run, error_code::no_primary, true, false});
    EXPECT_EQ(refused.step, attempt_step::finish);
    EXPECT_EQ(refused.outcome, outcome::not_run);
    EXPECT_EQ(judge(attempt, {outcome::not_run, error_code::not_home, false, false}).step,
              attempt_step::send);
}

// Guards against `not_run` while an earlier send of the same key may still take effect.
TEST(request_attempt, keyed_write_stays_unknown_until_it_is_resolved) {
    auto [attempt, decision] =
        judge_result(make_attempt(true, true),
                     {outcome::unknown, error_code::outcome_unknown, true, false}, start, 0.5);
    EXPECT_EQ(decision.step, attempt_step::send);
    EXPECT_TRUE(decision.needs_budget);
    for (const error_code code : {error_code::statement_failed, error_code::overloaded}) {
        const attempt_decision end = judge(attempt, {outcome::not_run, code, true, false});
        EXPECT_EQ(end.step, attempt_step::finish);
        EXPECT_EQ(end.outcome, outcome::unknown);
        EXPECT_EQ(end.code, error_code::outcome_unknown);
    }
    EXPECT_EQ(
        judge(attempt, {outcome::not_run, error_code::no_primary, false, false}, deadline).outcome,
        outcome::unknown);
    EXPECT_EQ(judge(attempt, {outcome::not_run, error_code::key_reused, true, false}).outcome,
              outcome::not_run);
    EXPECT_EQ(judge(attempt, {outcome::ok, error_code::ok, true, false}).outcome, outcome::ok);
}

// Guards against reads that fail although another target could answer.
TEST(request_attempt, reads_move_on_after_any_loss) {
    const request_attempt attempt = make_attempt(false, false);
    EXPECT_EQ(judge(attempt, {outcome::unknown, error_code::outcome_unknown, true, false}).step,
              attempt_step::send);
    const attempt_decision behind =
        judge(attempt, {outcome::not_run, error_code::unavailable, true, true});
    EXPECT_EQ(behind.step, attempt_step::send);
    EXPECT_FALSE(behind.needs_budget) << "going to the primary is no retry of a failure";
    EXPECT_EQ(judge(attempt, {outcome::not_run, error_code::statement_failed, true, false}).step,
              attempt_step::finish);
    const attempt_decision late =
        judge(attempt, {outcome::unknown, error_code::outcome_unknown, true, false}, deadline);
    EXPECT_EQ(late.step, attempt_step::finish);
    EXPECT_EQ(late.outcome, outcome::not_run);
}

// Guards against more load on a target that sheds writes.
TEST(request_attempt, shed_write_is_answered_at_once) {
    const attempt_decision end =
        judge(make_attempt(true, true), {outcome::not_run, error_code::overloaded, false, false});
    EXPECT_EQ(end.step, attempt_step::finish);
    EXPECT_EQ(end.code, error_code::overloaded);
}

// Guards against a request that fails during a failover although its deadline allows waiting.
TEST(request_attempt, waits_for_a_primary_until_the_deadline) {
    const request_attempt attempt = make_attempt(true, false);
    EXPECT_EQ(judge_missing_route(attempt, start).step, attempt_step::send);
    const attempt_decision end = judge_missing_route(attempt, deadline);
    EXPECT_EQ(end.step, attempt_step::finish);
    EXPECT_EQ(end.code, error_code::no_primary);
    EXPECT_EQ(end.outcome, outcome::not_run);
}

/** What becomes of one send at a model target with a unique key. */
struct model {
    bool is_keyed = false;
    int effects = 0;
    int bytes_sent = 0;
    std::vector<bool> delayed;  ///< Sends that may still arrive.

    void run() { effects += is_keyed && effects > 0 ? 0 : 1; }
};

/** Plays one send: the target may refuse, run, run late, or never get it, and answers may be lost.
 */
attempt_result play(model& target, std::mt19937_64& random) {
    const auto pick = [&](int limit) { return static_cast<int>(random() % limit); };
    switch (pick(8)) {
        case 0:
            return {outcome::not_run, error_code::not_home, false, false};
        case 1:
            return {outcome::not_run, error_code::no_primary, false, false};
        case 2:
            ++target.bytes_sent;  // The target's own word, for example after fencing.
            return {outcome::not_run, error_code::no_primary, true, false};
        case 3:
            ++target.bytes_sent;
            // A keyed duplicate finds the key; a fresh one may fail by itself.
            if (target.is_keyed && target.effects > 0) {
                return {outcome::ok, error_code::ok, true, false};
            }
            return {outcome::not_run, error_code::statement_failed, true, false};
        case 4:
            ++target.bytes_sent;
            target.run();
            return {outcome::unknown, error_code::outcome_unknown, true, false};
        case 5:
            ++target.bytes_sent;
            target.delayed.push_back(true);
            return {outcome::unknown, error_code::outcome_unknown, true, false};
        case 6:
            return {outcome::not_run, error_code::unavailable, false, false};
        default:
            ++target.bytes_sent;
            target.run();
            return {outcome::ok, error_code::ok, true, false};
    }
}

// Guards against an untrue `not_run`, a lost `ok`, and a doubled effect, in random schedules in
// which lost sends may arrive at any later time.
TEST(request_attempt, random_schedules_tell_the_truth) {
    std::mt19937_64 random(tests::get_seed("request_attempt", 2024));
    int outcomes[3] = {0, 0, 0};
    for (int round = 0; round < 100'000; ++round) {
        model target;
        target.is_keyed = random() % 2 == 0;
        request_attempt attempt;
        attempt.is_write = true;
        attempt.is_keyed = target.is_keyed;
        attempt.deadline = deadline;
        state::time_point now = start;
        attempt_decision decision;
        do {
            attempt = record_send(attempt);
            const attempt_result result = play(target, random);
            now += milliseconds(random() % 800);
            std::tie(attempt, decision) = judge_result(attempt, result, now, 0.3);
            now += decision.pause;
            if (!target.delayed.empty() && random() % 3 == 0) {
                target.delayed.pop_back();
                target.run();
            }
            if (decision.step == attempt_step::send && decision.needs_budget && random() % 5 == 0) {
                decision = give_up(attempt, error_code::unavailable);
            }
        } while (decision.step == attempt_step::send);
        for (std::size_t i = 0; i < target.delayed.size(); ++i) {
            target.run();
        }
        ++outcomes[static_cast<int>(decision.outcome)];
        ASSERT_LE(target.effects, 1) << "round " << round;
        if (!target.is_keyed) {
            ASSERT_LE(target.bytes_sent, 1) << "round " << round;
        }
        if (decision.outcome == outcome::ok) {
            ASSERT_EQ(target.effects, 1) << "round " << round;
        } else if (decision.outcome == outcome::not_run) {
            ASSERT_EQ(target.effects, 0) << "round " << round;
        }
    }
    for (const int count : outcomes) {
        EXPECT_GT(count, 1000) << "every outcome has to occur";
    }
}

// Guards against writes that are refused because only a small part of their time is offered to the
// home, and against repeatable requests that leave no time for another home.
TEST(request_attempt, repeatable_requests_keep_time_for_another_home) {
    EXPECT_EQ(get_send_time(make_attempt(true, true), milliseconds(900)), milliseconds(600));
    EXPECT_EQ(get_send_time(make_attempt(false, false), milliseconds(900)), milliseconds(450));
    EXPECT_EQ(get_send_time(make_attempt(true, false), milliseconds(900)), milliseconds(900));
    EXPECT_EQ(get_send_time(make_attempt(true, true), milliseconds(100)), milliseconds(100));
}

// Guards against an endless loop of immediate sends.
TEST(request_attempt, every_refusal_ends_at_the_deadline) {
    request_attempt attempt = make_attempt(true, true);
    state::time_point now = start;
    int sends = 0;
    for (attempt_decision decision{attempt_step::send}; decision.step == attempt_step::send;
         ++sends) {
        std::tie(attempt, decision) =
            judge_result(record_send(attempt),
                         {outcome::not_run, error_code::no_primary, false, false}, now, 0.0);
        now += decision.pause;
        ASSERT_LT(sends, 1000);
    }
    EXPECT_GE(now, deadline - milliseconds(100));
}

}  // namespace
}  // namespace hornbeamhook::coordination
