#include "coordination/retry_state.h"

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

retry_state make_retry_state(bool is_write, bool is_keyed) {
    retry_state retry;
    retry.is_write = is_write;
    retry.is_keyed = is_keyed;
    retry.deadline = deadline;
    return record_send(retry);
}

retry_decision decide(const retry_state& retry, const send_result& result,
                      state::time_point now = start) {
    return decide_after_send(retry, result, now, 0.5).second;
}

// Guards against running a request twice that must not be repeated.
TEST(retry_state, unkeyed_write_is_not_resent_after_its_bytes_were_sent) {
    const retry_state retry = make_retry_state(true, false);
    const retry_decision lost =
        decide(retry, {outcome::unknown, error_code::outcome_unknown, true, false});
    EXPECT_EQ(lost.step, retry_step::finish);
    EXPECT_EQ(lost.outcome, outcome::unknown);
    const retry_decision refused =
        decide(retry, {outcome::not_run, error_code::no_primary, true, false});
    EXPECT_EQ(refused.step, retry_step::finish);
    EXPECT_EQ(refused.outcome, outcome::not_run);
    EXPECT_EQ(decide(retry, {outcome::not_run, error_code::not_home, false, false}).step,
              retry_step::send);
}

// Guards against `not_run` while an earlier send of the same key may still take effect.
TEST(retry_state, keyed_write_stays_unknown_until_it_is_resolved) {
    auto [retry, decision] =
        decide_after_send(make_retry_state(true, true),
                          {outcome::unknown, error_code::outcome_unknown, true, false}, start, 0.5);
    EXPECT_EQ(decision.step, retry_step::send);
    EXPECT_TRUE(decision.needs_budget);
    for (const error_code code : {error_code::statement_failed, error_code::overloaded}) {
        const retry_decision end = decide(retry, {outcome::not_run, code, true, false});
        EXPECT_EQ(end.step, retry_step::finish);
        EXPECT_EQ(end.outcome, outcome::unknown);
        EXPECT_EQ(end.code, error_code::outcome_unknown);
    }
    EXPECT_EQ(
        decide(retry, {outcome::not_run, error_code::no_primary, false, false}, deadline).outcome,
        outcome::unknown);
    EXPECT_EQ(decide(retry, {outcome::not_run, error_code::key_reused, true, false}).outcome,
              outcome::not_run);
    EXPECT_EQ(decide(retry, {outcome::ok, error_code::ok, true, false}).outcome, outcome::ok);
}

// Guards against reads that fail although another target could answer.
TEST(retry_state, reads_are_retried_after_any_loss) {
    const retry_state retry = make_retry_state(false, false);
    EXPECT_EQ(decide(retry, {outcome::unknown, error_code::outcome_unknown, true, false}).step,
              retry_step::send);
    const retry_decision behind =
        decide(retry, {outcome::not_run, error_code::unavailable, true, true});
    EXPECT_EQ(behind.step, retry_step::send);
    EXPECT_FALSE(behind.needs_budget) << "a read sent on to the primary is no retry of a failure";
    EXPECT_EQ(decide(retry, {outcome::not_run, error_code::statement_failed, true, false}).step,
              retry_step::finish);
    const retry_decision late =
        decide(retry, {outcome::unknown, error_code::outcome_unknown, true, false}, deadline);
    EXPECT_EQ(late.step, retry_step::finish);
    EXPECT_EQ(late.outcome, outcome::not_run);
}

// Guards against more load on a target that sheds writes.
TEST(retry_state, shed_write_is_answered_at_once) {
    const retry_decision end = decide(make_retry_state(true, true),
                                      {outcome::not_run, error_code::overloaded, false, false});
    EXPECT_EQ(end.step, retry_step::finish);
    EXPECT_EQ(end.code, error_code::overloaded);
}

// Guards against a request that fails during a failover although its deadline allows waiting.
TEST(retry_state, waits_for_a_primary_until_the_deadline) {
    const retry_state retry = make_retry_state(true, false);
    EXPECT_EQ(decide_without_route(retry, start).step, retry_step::send);
    const retry_decision end = decide_without_route(retry, deadline);
    EXPECT_EQ(end.step, retry_step::finish);
    EXPECT_EQ(end.code, error_code::no_primary);
    EXPECT_EQ(end.outcome, outcome::not_run);
}

/** Model of a target. With a key, its unique constraint prevents a second effect. */
struct model {
    bool is_keyed = false;
    int effects = 0;
    int bytes_sent = 0;
    std::vector<bool> delayed;  ///< Sends that may still arrive.

    void run() { effects += is_keyed && effects > 0 ? 0 : 1; }
};

/**
 * Simulates one send: the target may refuse, run, run late, or never get it, and answers may be
 * lost.
 */
send_result simulate_send(model& target, std::mt19937_64& random) {
    const auto pick = [&](int limit) { return static_cast<int>(random() % limit); };
    switch (pick(8)) {
        case 0:
            return {outcome::not_run, error_code::not_home, false, false};
        case 1:
            return {outcome::not_run, error_code::no_primary, false, false};
        case 2:
            ++target.bytes_sent;  // Reported by the target itself, for example after fencing.
            return {outcome::not_run, error_code::no_primary, true, false};
        case 3:
            ++target.bytes_sent;
            // A keyed duplicate finds the key; a new statement may fail by itself.
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

// Guards against "deadline" as the reason for a request that waited for a primary until its
// deadline, when the thread that looks again runs late (entry_service_test on a busy machine).
TEST(retry_state, an_expired_request_reports_what_it_waited_for) {
    const retry_state waiting = make_retry_state(true, true);
    EXPECT_EQ(expire(waiting).code, error_code::deadline);
    EXPECT_EQ(expire(record_no_route(waiting)).code, error_code::no_primary);
    EXPECT_EQ(expire(record_no_route(make_retry_state(false, false))).code,
              error_code::unavailable);
    const auto [refused, decision] = decide_after_send(
        waiting, {outcome::not_run, error_code::not_home, false, false}, start, 0.5);
    EXPECT_EQ(decision.step, retry_step::send);
    EXPECT_EQ(expire(refused).code, error_code::not_home);
    const auto [lost, next] = decide_after_send(
        refused, {outcome::unknown, error_code::outcome_unknown, true, false}, start, 0.5);
    EXPECT_EQ(next.step, retry_step::send);
    EXPECT_EQ(expire(lost).outcome, outcome::unknown);
}

// Guards against a wrong `not_run`, a lost `ok` and a repeated effect in random schedules, in which
// lost sends may arrive at any later time.
TEST(retry_state, random_schedules_report_the_true_outcome) {
    std::mt19937_64 random(tests::get_seed("request_attempt", 2024));
    int outcomes[3] = {0, 0, 0};
    for (int round = 0; round < 100'000; ++round) {
        model target;
        target.is_keyed = random() % 2 == 0;
        retry_state retry;
        retry.is_write = true;
        retry.is_keyed = target.is_keyed;
        retry.deadline = deadline;
        state::time_point now = start;
        retry_decision decision;
        do {
            retry = record_send(retry);
            const send_result result = simulate_send(target, random);
            now += milliseconds(random() % 800);
            std::tie(retry, decision) = decide_after_send(retry, result, now, 0.3);
            now += decision.pause;
            if (!target.delayed.empty() && random() % 3 == 0) {
                target.delayed.pop_back();
                target.run();
            }
            if (decision.step == retry_step::send && decision.needs_budget && random() % 5 == 0) {
                decision = give_up(retry, error_code::unavailable);
            }
        } while (decision.step == retry_step::send);
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

// Guards against writes that are refused because the home gets only a small part of their time, and
// against repeatable requests that leave no time for another home.
TEST(retry_state, repeatable_requests_keep_time_for_another_home) {
    EXPECT_EQ(get_send_timeout(make_retry_state(true, true), milliseconds(900)), milliseconds(600));
    EXPECT_EQ(get_send_timeout(make_retry_state(false, false), milliseconds(900)),
              milliseconds(450));
    EXPECT_EQ(get_send_timeout(make_retry_state(true, false), milliseconds(900)),
              milliseconds(900));
    EXPECT_EQ(get_send_timeout(make_retry_state(true, true), milliseconds(100)), milliseconds(100));
}

using decide_function = std::pair<retry_state, retry_decision> (*)(retry_state, const send_result&,
                                                                   state::time_point, double);

/** Deliberately wrong: forgets that an earlier send may have run. */
std::pair<retry_state, retry_decision> decide_forgetting_unknown(retry_state retry,
                                                                 const send_result& result,
                                                                 state::time_point now,
                                                                 double jitter) {
    retry.may_have_run = false;
    return decide_after_send(retry, result, now, jitter);
}

/** A group whose primary is lost and replaced while the homes of both change. */
struct failover_model {
    bool is_replaced = false;
    bool was_lost = false;
    int effects = 0;  ///< In the log of the current primary.
    int pending = 0;  ///< Sends that may still reach the current primary.

    void run(bool is_keyed) { effects += is_keyed && effects > 0 ? 0 : 1; }

    /** The new primary may or may not have an unacknowledged entry. */
    void replace(std::mt19937_64& random) {
        is_replaced = true;
        // The old primary never runs what it did not run before it was fenced.
        pending = 0;
        effects = random() % 2 == 0 ? effects : 0;
    }
};

send_result simulate_failover_send(failover_model& group, bool is_keyed, std::mt19937_64& random) {
    switch (random() % 7) {
        case 0:
            return {outcome::not_run, error_code::not_home, false, false};
        case 1:
            return {outcome::not_run, error_code::draining, false, false};
        case 2:
            // The target was fenced: it rolled back and reports that.
            return {outcome::not_run, error_code::no_primary, group.was_lost, false};
        case 3:
            return {outcome::not_run, error_code::unavailable, false, false};
        case 4:
            ++group.pending;
            return {outcome::unknown, error_code::outcome_unknown, true, false};
        default:
            group.run(is_keyed);
            // Without a majority nothing is acknowledged.
            return group.was_lost && !group.is_replaced
                       ? send_result{outcome::unknown, error_code::outcome_unknown, true, false}
                       : send_result{outcome::ok, error_code::ok, true, false};
    }
}

/** Simulates one request during a failover; returns whether its reported outcome was wrong. */
bool has_wrong_outcome(decide_function decide_next, std::mt19937_64& random, int (&outcomes)[3]) {
    const bool is_keyed = random() % 4 != 0;
    failover_model group;
    retry_state retry;
    retry.is_write = true;
    retry.is_keyed = is_keyed;
    retry.deadline = deadline;
    state::time_point now = start;
    const state::time_point lost_at = start + milliseconds(random() % 1500);
    const state::time_point replaced_at = lost_at + milliseconds(500 + random() % 5000);
    retry_decision decision;
    do {
        group.was_lost = group.was_lost || now >= lost_at;
        if (now >= replaced_at && !group.is_replaced) {
            group.replace(random);
        }
        if (group.was_lost && !group.is_replaced && random() % 2 == 0) {
            decision = decide_without_route(retry, now);
        } else {
            retry = record_send(retry);
            const send_result result = simulate_failover_send(group, is_keyed, random);
            now += milliseconds(random() % 400);
            std::tie(retry, decision) = decide_next(retry, result, now, 0.3);
        }
        now += decision.pause;
    } while (decision.step == retry_step::send);
    if (decision.outcome != outcome::ok && group.was_lost && !group.is_replaced) {
        group.replace(random);
    }
    for (; group.pending > 0; --group.pending) {
        group.run(is_keyed);
    }
    ++outcomes[static_cast<int>(decision.outcome)];
    return group.effects > 1 || (decision.outcome == outcome::ok && group.effects != 1) ||
           (decision.outcome == outcome::not_run && group.effects != 0);
}

// Guards against a wrong outcome when homes change or drain while the primary is lost.
TEST(retry_state, failovers_with_changes_of_homes_report_the_true_outcome) {
    std::mt19937_64 random(tests::get_seed("request_attempt", 2025));
    int outcomes[3] = {0, 0, 0};
    int wrong = 0;
    for (int round = 0; round < 50'000; ++round) {
        wrong += has_wrong_outcome(decide_after_send, random, outcomes) ? 1 : 0;
    }
    EXPECT_EQ(wrong, 0);
    for (const int count : outcomes) {
        EXPECT_GT(count, 500) << "every outcome has to occur";
    }
}

// Guards against a model that misses wrong decisions.
TEST(retry_state, detects_a_decision_that_forgets_an_unknown_send) {
    std::mt19937_64 random(tests::get_seed("request_attempt", 2025));
    int outcomes[3] = {0, 0, 0};
    int wrong = 0;
    for (int round = 0; round < 50'000; ++round) {
        wrong += has_wrong_outcome(decide_forgetting_unknown, random, outcomes) ? 1 : 0;
    }
    EXPECT_GT(wrong, 0);
}

// Guards against an endless loop of immediate sends.
TEST(retry_state, every_refusal_ends_at_the_deadline) {
    retry_state retry = make_retry_state(true, true);
    state::time_point now = start;
    int sends = 0;
    for (retry_decision decision{retry_step::send}; decision.step == retry_step::send; ++sends) {
        std::tie(retry, decision) = decide_after_send(
            record_send(retry), {outcome::not_run, error_code::no_primary, false, false}, now, 0.0);
        now += decision.pause;
        ASSERT_LT(sends, 1000);
    }
    EXPECT_GE(now, deadline - milliseconds(100));
}

}  // namespace
}  // namespace hornbeamhook::coordination
