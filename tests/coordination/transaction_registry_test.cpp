#include "coordination/transaction_registry.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <random>

#include "support/seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};

// Guards against concurrent statements in one transaction, and statements of another caller.
TEST(transaction_registry, allows_one_request_of_the_owner_at_a_time) {
    transaction_registry registry({});
    const std::uint64_t number = registry.open("p", "a", start);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim_result::busy);
    registry.release(number, start);
    EXPECT_EQ(registry.claim(number, "p", "b", start), transaction_claim_result::gone);
    EXPECT_EQ(registry.claim(number, "q", "a", start), transaction_claim_result::gone);
    EXPECT_EQ(registry.claim(number + 1, "p", "a", start), transaction_claim_result::gone);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim_result::granted);
    registry.close(number);
    EXPECT_EQ(registry.claim(number, "p", "a", start), transaction_claim_result::gone);
}

// Guards against abandoned transactions that keep their connection.
TEST(transaction_registry, idle_and_total_limits_expire) {
    transaction_registry registry({milliseconds(100), milliseconds(250)});
    const std::uint64_t number = registry.open("p", "a", start);
    EXPECT_TRUE(registry.expire(start + milliseconds(1000)).empty()) << "in use";
    registry.release(number, start);
    EXPECT_TRUE(registry.expire(start + milliseconds(99)).empty());
    EXPECT_EQ(registry.claim(number, "p", "a", start + milliseconds(99)),
              transaction_claim_result::granted);
    registry.release(number, start + milliseconds(200));
    EXPECT_EQ(registry.claim(number, "p", "a", start + milliseconds(250)),
              transaction_claim_result::gone);
    EXPECT_EQ(registry.expire(start + milliseconds(250)), std::vector<std::uint64_t>{number});
    EXPECT_EQ(registry.get_size(), 0U);
    const std::uint64_t idle = registry.open("p", "a", start);
    registry.release(idle, start);
    EXPECT_EQ(registry.expire(start + milliseconds(100)), std::vector<std::uint64_t>{idle});
}

// Guards against assigning one number to two transactions.
TEST(transaction_registry, numbers_are_not_reused) {
    transaction_registry registry({});
    const std::uint64_t first = registry.open("p", "a", start);
    registry.close(first);
    EXPECT_NE(registry.open("p", "a", start), first);
}

/** Expected state of a transaction, tracked independently of the registry. */
struct expected_transaction {
    std::string caller;
    state::time_point opened{};
    state::time_point last_used{};
    bool is_busy = true;
};

/** Deliberately wrong: a busy transaction ends at its limits like an idle one. */
class registry_without_busy : public transaction_registry {
public:
    using transaction_registry::transaction_registry;

    std::vector<std::uint64_t> expire(state::time_point now) {
        for (std::uint64_t number = 1; number <= 64; ++number) {
            release(number, now - milliseconds(10'000));
        }
        return transaction_registry::expire(now);
    }
};

/** Simulates requests, claims by other callers and a drain; returns the number of wrong results. */
template <typename registry_type>
int count_wrong_claims(std::uint64_t seed) {
    constexpr transaction_limits limits{milliseconds(500), milliseconds(2000)};
    std::mt19937_64 random(seed);
    const auto pick = [&](int limit) { return static_cast<int>(random() % limit); };
    registry_type registry(limits);
    std::map<std::uint64_t, expected_transaction> expected;
    state::time_point now = start;
    std::uint64_t last = 0;
    int wrong = 0;
    const auto is_past_limit = [&](const expected_transaction& value) {
        return now - value.opened >= limits.total || now - value.last_used >= limits.idle;
    };
    // A drain accepts no new transactions and waits until the open ones end.
    const int drained_at = 20 + pick(40);
    for (int step = 0; step < 100; ++step) {
        now += milliseconds(pick(200));
        const std::uint64_t number = 1 + random() % (last + 2);
        const std::string caller = pick(4) == 0 ? "b" : "a";
        const auto it = expected.find(number);
        switch (step < drained_at ? pick(5) : 1 + pick(4)) {
            case 0:
                last = registry.open("p", "a", now);
                expected[last] = {"a", now, now, true};
                break;
            case 1: {
                transaction_claim_result expected_result = transaction_claim_result::gone;
                if (it != expected.end() && it->second.caller == caller) {
                    expected_result = it->second.is_busy ? transaction_claim_result::busy
                                      : is_past_limit(it->second)
                                          ? transaction_claim_result::gone
                                          : transaction_claim_result::granted;
                }
                const transaction_claim_result claimed = registry.claim(number, "p", caller, now);
                wrong += claimed == expected_result ? 0 : 1;
                if (expected_result == transaction_claim_result::granted) {
                    it->second.is_busy = true;
                }
                break;
            }
            case 2:
                if (it != expected.end() && it->second.is_busy) {
                    registry.release(number, now);
                    it->second.is_busy = false;
                    it->second.last_used = now;
                }
                break;
            case 3:
                if (it != expected.end() && it->second.is_busy) {
                    registry.close(number);
                    expected.erase(it);
                }
                break;
            default: {
                std::vector<std::uint64_t> expected_numbers;
                for (const auto& [key, value] : expected) {
                    if (!value.is_busy && is_past_limit(value)) {
                        expected_numbers.push_back(key);
                    }
                }
                wrong += registry.expire(now) == expected_numbers ? 0 : 1;
                for (const std::uint64_t key : expected_numbers) {
                    expected.erase(key);
                }
            }
        }
        wrong += registry.get_size() == expected.size() ? 0 : 1;
    }
    // Transactions abandoned by a lost caller end at their limits, so that a drain can complete.
    for (auto& [key, value] : expected) {
        if (value.is_busy) {
            registry.release(key, now);
        }
    }
    registry.expire(now + limits.total);
    return wrong + static_cast<int>(registry.get_size());
}

// Guards against a transaction that is granted after it ended or to two requests, and against one
// that a drain waits for indefinitely.
TEST(transaction_registry, random_schedules_agree_with_the_model) {
    const std::uint64_t seed = tests::get_seed();
    int wrong = 0;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        wrong += count_wrong_claims<transaction_registry>(seed + i);
    }
    EXPECT_EQ(wrong, 0);
}

// Guards against a model that does not detect errors.
TEST(transaction_registry, finds_a_registry_that_ends_busy_transactions) {
    const std::uint64_t seed = tests::get_seed();
    int wrong = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        wrong += count_wrong_claims<registry_without_busy>(seed + i);
    }
    EXPECT_GT(wrong, 0);
}

// Guards against a caller that continues to use a transaction that an operator ended, and against
// ending one during a statement.
TEST(transaction_registry, an_operator_ends_a_transaction) {
    transaction_registry registry({});
    const std::uint64_t idle = registry.open("p", "a", start);
    registry.release(idle, start);
    const std::uint64_t busy = registry.open("p", "b", start);
    const std::uint64_t other = registry.open("q", "a", start);
    registry.release(other, start);
    EXPECT_EQ(registry.mark_ended(other + 1, "p"), transaction_end_result::gone);
    EXPECT_EQ(registry.mark_ended(idle, "q"), transaction_end_result::gone) << "of another pool";
    EXPECT_EQ(registry.mark_ended(idle, "p"), transaction_end_result::idle);
    EXPECT_EQ(registry.mark_ended(busy, "p"), transaction_end_result::in_use);
    EXPECT_EQ(registry.claim(idle, "p", "a", start), transaction_claim_result::gone);
    EXPECT_EQ(registry.expire(start), std::vector<std::uint64_t>{idle});
    registry.release(busy, start);
    EXPECT_EQ(registry.claim(busy, "p", "b", start), transaction_claim_result::gone);
    EXPECT_EQ(registry.expire(start), std::vector<std::uint64_t>{busy});
    EXPECT_EQ(registry.mark_ended(busy, "p"), transaction_end_result::gone);
    const std::vector<open_transaction> left{{other, "q", "a", start, start, false}};
    EXPECT_EQ(registry.get_open_transactions(), left);
}

}  // namespace
}  // namespace hornbeamhook::coordination
