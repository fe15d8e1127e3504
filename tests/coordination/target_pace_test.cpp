#include "coordination/target_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>
#include <vector>

#include "support/seed.h"

namespace hornbeamhook::coordination {
namespace {

constexpr int slots = 4;
constexpr int homes = 3;

/** What the model target does at a time. */
struct target_behaviour {
    double service_ms = 10;
    int queue = 24;  ///< Statements beyond the slots; more are refused.
};

struct model_result {
    std::vector<int> limits;    ///< Sum over the homes, by ms.
    std::vector<int> answered;  ///< Statements, by ms.
    std::vector<int> refused;   ///< The same.
    int max_in_flight = 0;

    static int sum(const std::vector<int>& values, std::size_t from, std::size_t to) {
        int result = 0;
        for (std::size_t i = from; i < std::min(to, values.size()); ++i) {
            result += values[i];
        }
        return result;
    }
};

/**
 * Three homes with statements always waiting send to a target of four slots. They begin at full
 * pace if `was_away` is false.
 */
model_result run_model(std::uint64_t seed, std::int64_t duration_ms, bool was_away,
                       const std::function<target_behaviour(std::int64_t)>& behave) {
    struct statement {
        std::size_t home;
        std::int64_t sent_at;
        std::int64_t ends_at;  ///< 0 while it waits for a slot.
    };
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    std::vector<target_pace> paces(homes, target_pace(slots));
    std::vector<int> in_flight(homes);
    std::vector<statement> held;  // By the target, in order of arrival.
    model_result result;
    for (target_pace& pace : paces) {
        if (was_away) {
            pace.restart();
        }
    }
    for (std::int64_t now = 0; now < duration_ms; ++now) {
        const target_behaviour behaviour = behave(now);
        int answered = 0;
        int refused = 0;
        for (auto entry = held.begin(); entry != held.end();) {
            if (entry->ends_at == 0 || entry->ends_at > now) {
                ++entry;
                continue;
            }
            paces[entry->home].on_answer(now - entry->sent_at, in_flight[entry->home], now);
            --in_flight[entry->home];
            ++answered;
            entry = held.erase(entry);
        }
        for (std::size_t home = 0; home < homes; ++home) {
            // A refusal takes a round trip of 1 ms, so that a home sends again in the next step.
            bool is_refused = false;
            while (!is_refused && paces[home].may_send(in_flight[home], now)) {
                if (static_cast<int>(held.size()) >= slots + behaviour.queue) {
                    paces[home].on_failure(now);
                    is_refused = true;
                    ++refused;
                } else {
                    held.push_back({home, now, 0});
                    ++in_flight[home];
                }
            }
        }
        for (std::size_t i = 0; i < held.size() && i < slots; ++i) {
            if (held[i].ends_at == 0) {
                const double service = spread(random) * behaviour.service_ms;
                held[i].ends_at =
                    now + std::max<std::int64_t>(static_cast<std::int64_t>(service), 1);
            }
        }
        int limit = 0;
        for (const target_pace& pace : paces) {
            limit += pace.get_limit();
        }
        result.limits.push_back(limit);
        result.answered.push_back(answered);
        result.refused.push_back(refused);
        result.max_in_flight = std::max(result.max_in_flight, static_cast<int>(held.size()));
    }
    return result;
}

// Guards against a limit that slows a target that was never away.
TEST(target_pace, a_target_that_was_not_away_has_full_pace_at_once) {
    const target_pace pace(slots);
    EXPECT_TRUE(pace.may_send(slots, 0));
    EXPECT_FALSE(pace.may_send(slots + 1, 0));
    EXPECT_TRUE(target_pace(0).may_send(0, 0));
}

// Load: a fleet sends all it has to a target that returned. Guards against a burst at the returned
// target, and against a pace that stays low at a healthy one.
TEST(target_pace, a_healthy_target_has_full_pace_within_a_second) {
    const std::uint64_t seed = tests::get_seed();
    const model_result result =
        run_model(seed, 2000, true, [](std::int64_t) { return target_behaviour{}; });
    EXPECT_EQ(result.limits.front(), homes);
    const auto full = std::find_if(result.limits.begin(), result.limits.end(),
                                   [](int limit) { return limit >= slots + homes; });
    std::cout << "slots and one for each home after " << full - result.limits.begin() << " ms, "
              << model_result::sum(result.answered, 0, 1000) << " answers in the first second\n";
    EXPECT_LE(full - result.limits.begin(), 1000) << "seed " << seed;
    // Four slots of 10 ms answer 400 statements a second.
    EXPECT_GT(model_result::sum(result.answered, 0, 1000), 300) << "seed " << seed;
    EXPECT_GT(model_result::sum(result.answered, 1000, 2000), 350) << "seed " << seed;
    EXPECT_EQ(model_result::sum(result.refused, 0, 2000), 0) << "seed " << seed;
}

// Load: a target starts cold, ten times slower for two seconds. Guards against a queue in the cold
// target, and against slots that stay idle once it is warm.
TEST(target_pace, a_cold_target_gets_more_as_it_warms) {
    const std::uint64_t seed = tests::get_seed();
    const model_result result = run_model(seed, 4000, true, [](std::int64_t now) {
        return target_behaviour{now < 2000 ? 100.0 : 10.0};
    });
    EXPECT_EQ(model_result::sum(result.refused, 0, 4000), 0) << "seed " << seed;
    EXPECT_LE(result.max_in_flight, homes * (slots + 1)) << "seed " << seed;
    EXPECT_GT(model_result::sum(result.answered, 3000, 4000), 350) << "seed " << seed;
}

// Load: a target accepts nothing for a second and then recovers. Guards against a flood of
// statements that it refuses, and against a way back that takes long.
TEST(target_pace, a_target_that_sheds_is_tried_at_a_bounded_rate) {
    const std::uint64_t seed = tests::get_seed();
    const model_result result = run_model(seed, 3000, false, [](std::int64_t now) {
        return target_behaviour{10, now >= 500 && now < 1500 ? -slots : 24};
    });
    // Each home tries 20 times a second. The answers to what it had in flight each end a pause, and
    // a pause begins with the second refusal.
    const int refused = model_result::sum(result.refused, 500, 1500);
    const auto full = std::find_if(result.limits.begin() + 1500, result.limits.end(),
                                   [](int limit) { return limit >= slots + homes; });
    std::cout << "refused in 1 s: " << refused << "; slots and one for each home after "
              << full - result.limits.begin() - 1500 << " ms\n";
    EXPECT_LE(refused, homes * (20 + 2 * (slots + 1))) << "seed " << seed;
    EXPECT_GT(refused, 0) << "seed " << seed;
    EXPECT_LE(full - result.limits.begin(), 2500) << "seed " << seed;
    EXPECT_GT(model_result::sum(result.answered, 2000, 3000), 350) << "seed " << seed;
}

// Load: a target turns five times slower for good. Guards against a target that loses slots because
// it is slow.
TEST(target_pace, a_slow_target_keeps_its_slots_busy) {
    const std::uint64_t seed = tests::get_seed();
    const model_result result = run_model(seed, 10'000, false, [](std::int64_t now) {
        return target_behaviour{now < 2000 ? 10.0 : 50.0};
    });
    // Four slots of 50 ms answer 80 statements a second.
    EXPECT_GT(model_result::sum(result.answered, 5000, 10'000), 350) << "seed " << seed;
    EXPECT_EQ(model_result::sum(result.refused, 0, 10'000), 0) << "seed " << seed;
}

// Load: a target refuses everything for 200 ms in each second. Guards against a pace that does not
// recover between the outages.
TEST(target_pace, a_flapping_target_is_used_between_outages) {
    const std::uint64_t seed = tests::get_seed();
    const model_result result = run_model(seed, 10'000, false, [](std::int64_t now) {
        return target_behaviour{10, now % 1000 < 200 ? -slots : 24};
    });
    // At most 320 a second.
    EXPECT_GT(model_result::sum(result.answered, 0, 10'000), 2400) << "seed " << seed;
}

}  // namespace
}  // namespace hornbeamhook::coordination
