#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "coordination/failover.h"
#include "support/group_simulation.h"
#include "support/seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::milliseconds;
using tests::group_simulation;
using tests::simulation_options;

constexpr int thread_count = 4;
/// Faults occur in this part of a run; afterwards all are removed.
constexpr milliseconds fault_time{4000};
/// Time limit for a failover after the last fault: 4 s of hysteresis, the detection, and for a
/// stranded replica 2 s and another promotion with its own delay.
constexpr milliseconds recovery_time{16'000};

/** Totals over all runs. */
struct exploration_result {
    std::size_t runs = 0;
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    std::size_t violations = 0;
    std::size_t unfinished = 0;
    std::string first;  ///< Seed and reason of the first failed run.
};

void inject_fault(group_simulation& run, int claimants) {
    const std::size_t t = static_cast<std::size_t>(run.pick(3));
    const std::size_t u = (t + 1 + static_cast<std::size_t>(run.pick(2))) % 3;
    const std::size_t p = static_cast<std::size_t>(run.pick(claimants));
    const std::size_t q = static_cast<std::size_t>(run.pick(claimants));
    const milliseconds span(200 + run.pick(2500));
    // Half of the faults affect the primary, which is the most relevant case.
    const std::size_t hit = run.chance(0.5) ? run.get_primary() : t;
    switch (run.pick(12)) {
        case 0:
        case 1:
            run.crash_target(hit);
            run.at(span, [&run, hit] { run.restart_target(hit); });
            break;
        case 2:
        case 3:
            run.freeze_target(hit, span);
            break;
        case 4:
        case 5:
            run.cut_stream(hit, (hit + 1) % 3, true);
            run.cut_stream(hit, (hit + 2) % 3, true);
            break;
        case 6:
            run.cut_stream(t, u, true);
            run.at(span, [&run, t, u] { run.cut_stream(t, u, false); });
            break;
        case 7:
            run.cut_proxy(p, t, true);
            run.at(span, [&run, p, t] { run.cut_proxy(p, t, false); });
            break;
        case 8:
            run.cut_peers(p, q, true);
            break;
        case 10:
            run.request_change(p, t);
            break;
        case 9:
            run.pause_proxy(p, span);
            break;
        default:
            run.crash_proxy(p);
            break;
    }
}

void add_random_faults(group_simulation& run, const simulation_options& options,
                       std::mt19937_64& random) {
    const int faults = 1 + static_cast<int>(random() % 6);
    for (int i = 0; i < faults; ++i) {
        run.at(milliseconds(300 + random() % 3000),
               [&run, claimants = options.claimants] { inject_fault(run, claimants); });
    }
}

/** Crashes, freezes or partitions the current primary for `span`. */
void lose_primary(group_simulation& run, milliseconds span) {
    const std::size_t t = run.get_primary();
    switch (run.pick(3)) {
        case 0:
            run.crash_target(t);
            run.at(span, [&run, t] { run.restart_target(t); });
            break;
        case 1:
            run.freeze_target(t, span);
            break;
        default:
            for (const std::size_t u : {(t + 1) % 3, (t + 2) % 3}) {
                run.cut_stream(t, u, true);
                run.at(span, [&run, t, u] { run.cut_stream(t, u, false); });
            }
    }
}

std::vector<std::size_t> get_all_but(std::size_t left_out, int claimants) {
    std::vector<std::size_t> rest;
    for (std::size_t p = 0; p < static_cast<std::size_t>(claimants); ++p) {
        if (p != left_out) {
            rest.push_back(p);
        }
    }
    return rest;
}

/** A poller leaves around the time of a loss; the others are notified at different times. */
void add_drain_and_loss(group_simulation& run, const simulation_options& options,
                        std::mt19937_64& random) {
    const int lost_ms = 500 + static_cast<int>(random() % 1000);
    const auto drained =
        static_cast<std::size_t>(random() % 3) % static_cast<std::size_t>(options.claimants);
    run.at(milliseconds(lost_ms),
           [&run] { lose_primary(run, milliseconds(300 + run.pick(2500))); });
    const int drained_ms = lost_ms - 400 + static_cast<int>(random() % 1800);
    const std::vector<std::size_t> others = get_all_but(drained, options.claimants);
    for (const std::size_t p : others) {
        run.at(milliseconds(drained_ms + static_cast<int>(random() % 1000)),
               [&run, p, others] { run.set_pollers(p, others); });
    }
    run.at(milliseconds(drained_ms + 1000 + static_cast<int>(random() % 500)),
           [&run, drained] { run.crash_proxy(drained); });
}

/** The pollers and their ranks change around a loss, at a different time for each poller. */
void add_ownership_changes_and_loss(group_simulation& run, const simulation_options& options,
                                    std::mt19937_64& random) {
    run.at(milliseconds(800), [&run] { lose_primary(run, milliseconds(300 + run.pick(2500))); });
    for (int i = 0; i < 10; ++i) {
        const auto p =
            static_cast<std::size_t>(random()) % static_cast<std::size_t>(options.claimants);
        std::vector<std::size_t> ranked =
            get_all_but(static_cast<std::size_t>(random() % 5), options.claimants);
        std::ranges::shuffle(ranked, random);
        run.at(milliseconds(500 + random() % 3000),
               [&run, p, ranked] { run.set_pollers(p, ranked); });
        if (random() % 4 == 0) {
            // A poller that is no longer a home discards its state; a new home starts empty.
            run.at(milliseconds(500 + random() % 3000), [&run, p] { run.restart(p); });
        }
    }
}

/** A second primary is lost within a minute of the first, which may have recovered or not. */
void add_two_losses(group_simulation& run, const simulation_options& /*options*/,
                    std::mt19937_64& random) {
    const auto first = static_cast<int>(500 + random() % 2000);
    const auto second =
        first + static_cast<int>(random() % 2 == 0 ? random() % 3000 : random() % 50'000);
    for (const int lost_ms : {first, second}) {
        run.at(milliseconds(lost_ms),
               [&run] { lose_primary(run, milliseconds(300 + run.pick(8000))); });
    }
}

/** One target crashes and restarts repeatedly while claimants pause. */
void add_flapping_and_pauses(group_simulation& run, const simulation_options& options,
                             std::mt19937_64& random) {
    // Target 0 is the first primary.
    const std::size_t target = random() % 4 == 0 ? 1 : 0;
    int at_ms = 300;
    for (int i = 0; i < 10; ++i) {
        at_ms += static_cast<int>(random() % 900);
        run.at(milliseconds(at_ms), [&run, target] { run.crash_target(target); });
        at_ms += 100 + static_cast<int>(random() % 1500);
        run.at(milliseconds(at_ms), [&run, target] { run.restart_target(target); });
        const auto p =
            static_cast<std::size_t>(random()) % static_cast<std::size_t>(options.claimants);
        const milliseconds span(100 + random() % 3000);
        run.at(milliseconds(random() % 12'000), [&run, p, span] { run.pause_proxy(p, span); });
    }
}

/** The faults of a run and the time they take. */
struct fault_schedule {
    void (*add)(group_simulation& run, const simulation_options& options,
                std::mt19937_64& random) = add_random_faults;
    milliseconds length = fault_time;
};

/** The rules of a run; tests replace one by a wrong one. */
struct rule_set {
    failover_rules failover = standard_failover_rules;
    tests::acknowledgement_rule acknowledgement = tests::is_acknowledging;
    fault_schedule faults{};
};

void run_one(const rule_set& rules, std::uint64_t seed, exploration_result& result,
             std::mutex& mutex) {
    std::mt19937_64 random(seed);
    simulation_options options;
    options.seed = seed;
    options.rules = &rules.failover;
    options.acknowledgement = rules.acknowledgement;
    options.claimants = 2 + static_cast<int>(random() % 2);
    options.max_delay = milliseconds(1 + random() % 40);
    options.max_stream_delay = milliseconds(1 + random() % 200);
    options.loss = static_cast<double>(random() % 4) * 0.1;
    options.duplication = static_cast<double>(random() % 3) * 0.2;
    options.interruption = static_cast<double>(random() % 4) * 0.1;
    group_simulation run(options);
    rules.faults.add(run, options, random);
    const milliseconds healed_at = rules.faults.length;
    run.run_until(healed_at);
    run.heal();
    bool is_healthy = false;
    for (milliseconds end = healed_at; end <= healed_at + recovery_time && !is_healthy;
         end += milliseconds(100)) {
        run.run_until(end);
        is_healthy = run.is_healthy();
    }
    const std::scoped_lock lock(mutex);
    ++result.runs;
    result.promotions += run.get_checker().count_promotions();
    result.acknowledged += run.get_checker().count_acknowledged();
    result.violations += run.get_checker().get_violations().size();
    result.unfinished += is_healthy ? 0 : 1;
    if (result.first.empty() && (!is_healthy || !run.get_checker().get_violations().empty())) {
        result.first = "run seed " + std::to_string(seed) + ": " +
                       (is_healthy ? run.get_checker().get_violations().front()
                                   : "not healthy:" + run.describe());
    }
}

/** With `stops_early`, stops at the first violation. */
exploration_result explore(const rule_set& rules, std::uint64_t seed, int runs,
                           bool stops_early = false) {
    exploration_result result;
    std::mutex mutex;
    std::atomic<int> next = 0;
    const auto is_over = [&] {
        const std::scoped_lock lock(mutex);
        return stops_early && result.violations > 0;
    };
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i) {
        threads.emplace_back([&] {
            for (int run = next++; run < runs && !is_over(); run = next++) {
                run_one(rules, seed + static_cast<std::uint64_t>(run), result, mutex);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::cout << result.runs << " runs, " << result.promotions << " promotions, "
              << result.acknowledged << " acknowledged writes, " << result.violations
              << " violations, " << result.unfinished << " unfinished";
    std::cout << (result.first.empty() ? "" : "; first: ") << result.first << '\n';
    return result;
}

std::string choose_first_fenced(const failover_state& /*state*/, const fenced_targets& candidates,
                                state::time_point /*now*/) {
    return candidates.begin()->first;
}

std::size_t get_quorum_of_one(const failover_state& /*state*/) {
    return 1;
}

std::size_t get_standard_quorum(const failover_state& state) {
    return standard_failover_rules.get_quorum(state);
}

bool is_acknowledging_when_fenced(const state::target_status& status, state::log_point committed) {
    return status.follow_term == committed.term && status.position >= committed.position &&
           (!status.is_primary || status.accepted_term <= status.follow_term);
}

// Guards against two primaries in one term, lost acknowledged writes, and stalled failovers.
TEST(failover_exploration, no_schedule_breaks_the_rules) {
    const exploration_result result = explore({}, tests::get_seed(), 20'000);
    EXPECT_EQ(result.violations, 0U);
    EXPECT_EQ(result.unfinished, 0U);
    // A run without promotions or writes would check nothing.
    EXPECT_GT(result.promotions, result.runs / 2);
    EXPECT_GT(result.acknowledged, result.runs * 10);
}

// Guards against a checker that misses violations: promoting a lagging target loses writes.
TEST(failover_exploration, finds_a_choice_of_the_first_fenced_target) {
    const rule_set wrong{{choose_first_fenced, get_standard_quorum, false}};
    EXPECT_GT(explore(wrong, tests::get_seed(), 1000, true).violations, 0U);
}

// Guards against a checker that misses violations: a fenced minority is not sufficient.
TEST(failover_exploration, finds_a_quorum_of_one) {
    const rule_set wrong{{standard_failover_rules.choose_target, get_quorum_of_one, false}};
    EXPECT_GT(explore(wrong, tests::get_seed(), 1000, true).violations, 0U);
}

// Guards against a checker that misses violations: an unanswered promote must not change target.
TEST(failover_exploration, finds_a_promote_sent_to_another_target) {
    const rule_set wrong{{standard_failover_rules.choose_target, get_standard_quorum, true}};
    EXPECT_GT(explore(wrong, tests::get_seed(), 2000, true).violations, 0U);
}

// Guards against counting a replica that is fenced in a higher term towards an acknowledgement: it
// may catch up from a later primary and still report the old term. This exploration found the fault
// in a design that counted such replicas; about one run in 3,000 shows it.
TEST(failover_exploration, finds_an_acknowledgement_by_a_fenced_replica) {
    const rule_set wrong{standard_failover_rules, is_acknowledging_when_fenced};
    EXPECT_GT(explore(wrong, tests::get_seed(), 100'000, true).violations, 0U);
}

/** A pair of faults, with a number of runs that takes a few seconds at most. */
struct fault_pair {
    std::string name;
    fault_schedule faults;
    int runs;
};

const std::vector<fault_pair>& get_fault_pairs() {
    static const std::vector<fault_pair> pairs = {
        {"drain during a failover", {add_drain_and_loss, milliseconds(5000)}, 2000},
        {"ownership change during a lost primary",
         {add_ownership_changes_and_loss, fault_time},
         2000},
        {"two losses within a minute", {add_two_losses, milliseconds(60'000)}, 400},
        {"flapping target with paused claimants",
         {add_flapping_and_pauses, milliseconds(16'000)},
         1000},
    };
    return pairs;
}

// Guards against two primaries in one term, lost acknowledged writes, and stalled failovers when a
// second fault coincides with the first.
TEST(failover_exploration, no_pair_of_faults_breaks_the_rules) {
    const std::uint64_t seed = tests::get_seed();
    for (const fault_pair& pair : get_fault_pairs()) {
        std::cout << pair.name << ": ";
        const exploration_result result = explore(
            {standard_failover_rules, tests::is_acknowledging, pair.faults}, seed, pair.runs);
        EXPECT_EQ(result.violations, 0U) << pair.name;
        EXPECT_EQ(result.unfinished, 0U) << pair.name;
        EXPECT_GT(result.promotions, result.runs / 2) << pair.name;
        EXPECT_GT(result.acknowledged, result.runs * 10) << pair.name;
    }
}

// Guards against a checker that misses violations in one of these schedules.
TEST(failover_exploration, finds_a_wrong_choice_in_each_pair_of_faults) {
    const failover_rules wrong{choose_first_fenced, get_quorum_of_one, false};
    const std::uint64_t seed = tests::get_seed();
    for (const fault_pair& pair : get_fault_pairs()) {
        std::cout << pair.name << ": ";
        const rule_set rules{wrong, tests::is_acknowledging, pair.faults};
        EXPECT_GT(explore(rules, seed, pair.runs, true).violations, 0U) << pair.name;
    }
}

/** Counts the promotions in runs of length `span` with the faults of `schedule_faults`. */
std::size_t count_promotions(std::uint64_t seed, int runs, milliseconds span,
                             simulation_options options,
                             const std::function<void(group_simulation&)>& schedule_faults) {
    std::size_t promotions = 0;
    for (int i = 0; i < runs; ++i) {
        options.seed = seed + static_cast<std::uint64_t>(i);
        group_simulation run(options);
        schedule_faults(run);
        run.run_until(span);
        promotions += run.get_checker().count_promotions();
    }
    std::cout << runs << " runs, " << promotions << " promotions\n";
    return promotions;
}

// Guards against a promotion caused by one proxy that is partitioned, paused or restarted.
TEST(failover_exploration, one_disturbed_proxy_promotes_nobody) {
    const auto schedule_faults = [](group_simulation& run) {
        const std::size_t p = static_cast<std::size_t>(run.pick(3));
        for (int i = 0; i < 6; ++i) {
            run.at(milliseconds(run.pick(8000)), [&run, p] {
                const bool is_cut = run.chance(0.6);
                for (std::size_t t = 0; t < 3; ++t) {
                    run.cut_proxy(p, t, is_cut && run.chance(0.6));
                }
                for (std::size_t q = 0; q < 3; ++q) {
                    run.cut_peers(p, q, q != p && is_cut && run.chance(0.6));
                }
                if (run.chance(0.3)) {
                    run.pause_proxy(p, milliseconds(run.pick(3000)));
                } else if (run.chance(0.2)) {
                    run.restart(p);
                }
            });
        }
    };
    EXPECT_EQ(count_promotions(tests::get_seed(), 1000, milliseconds(10'000), {}, schedule_faults),
              0U);
}

// Guards against a promotion caused by delays below the thresholds of docs/design.md section 5:
// 300 ms for an answer, 600 ms between heartbeats (sent each 100 ms).
TEST(failover_exploration, delays_below_the_thresholds_promote_nobody) {
    simulation_options options;
    options.max_delay = milliseconds(145);
    options.max_stream_delay = milliseconds(350);
    EXPECT_EQ(count_promotions(tests::get_seed(), 500, milliseconds(10'000), options,
                               [](group_simulation&) {}),
              0U);
}

// Guards against repeated promotions: a target that fails repeatedly is replaced once, and is not
// preferred afterwards.
TEST(failover_exploration, a_flapping_target_is_replaced_once) {
    constexpr int runs = 100;
    const auto schedule_faults = [](group_simulation& run) {
        for (int i = 0; i < 12; ++i) {
            run.at(milliseconds(1000 + 5000 * i), [&run] { run.crash_target(0); });
            run.at(milliseconds(3500 + 5000 * i), [&run] { run.restart_target(0); });
        }
    };
    EXPECT_EQ(count_promotions(tests::get_seed(), runs, milliseconds(62'000), {}, schedule_faults),
              static_cast<std::size_t>(runs));
}

// Guards against too many promotions when each primary fails soon: n promotions in 10 minutes delay
// the next one by 0, 1, 2 and then 4 s, so there are at most 3 + 60 / 4 per minute.
TEST(failover_exploration, failing_primaries_are_replaced_ever_more_slowly) {
    constexpr int runs = 100;
    constexpr std::size_t max_per_run = 3 + 60 / 4;
    std::size_t max_promotions = 0;
    const std::uint64_t seed = tests::get_seed();
    for (int i = 0; i < runs; ++i) {
        simulation_options options;
        options.seed = seed + static_cast<std::uint64_t>(i);
        group_simulation run(options);
        for (int j = 0; j < 60; ++j) {
            run.at(milliseconds(1000 * j), [&run] {
                for (std::size_t t = 0; t < 3; ++t) {
                    run.restart_target(t);
                }
                run.crash_target(run.get_primary());
            });
        }
        run.run_until(milliseconds(60'000));
        max_promotions = std::max(max_promotions, run.get_checker().count_promotions());
    }
    std::cout << "at most " << max_promotions << " promotions in 60 s\n";
    EXPECT_LE(max_promotions, max_per_run);
    EXPECT_GT(max_promotions, 0U);
}

// Guards against an outage above the objective of 2 s after a first loss of each kind.
TEST(failover_exploration, a_first_loss_is_recovered_within_the_objective) {
    const std::uint64_t seed = tests::get_seed();
    const std::vector<std::pair<std::string, std::function<void(group_simulation&)>>> losses = {
        {"killed", [](group_simulation& run) { run.crash_target(0); }},
        {"stopped", [](group_simulation& run) { run.freeze_target(0, milliseconds(60'000)); }},
        {"partitioned from its peers",
         [](group_simulation& run) {
             run.cut_stream(0, 1, true);
             run.cut_stream(0, 2, true);
         }},
        {"unreachable for all proxies and peers",
         [](group_simulation& run) {
             for (std::size_t p = 0; p < 3; ++p) {
                 run.cut_proxy(p, 0, true);
             }
             run.cut_stream(0, 1, true);
             run.cut_stream(0, 2, true);
         }},
    };
    for (const auto& [name, lose] : losses) {
        milliseconds worst(0);
        for (int i = 0; i < 200; ++i) {
            simulation_options options;
            options.seed = seed + static_cast<std::uint64_t>(i);
            group_simulation run(options);
            run.run_until(milliseconds(1000 + i));
            lose(run);
            const milliseconds lost_at = run.get_time();
            while (run.get_reports().empty() && run.get_time() < lost_at + milliseconds(6000)) {
                run.run_until(run.get_time() + milliseconds(5));
            }
            worst = std::max(worst, run.get_time() - lost_at);
        }
        std::cout << name << ": at most " << worst.count() << " ms in virtual time\n";
        EXPECT_LT(worst, milliseconds(2000)) << name;
    }
}

/** Mean time until a promotion after `lose`, with six pollers. */
double measure_loss(std::uint64_t seed, milliseconds standby_heartbeat,
                    const std::function<void(group_simulation&)>& lose) {
    constexpr int runs = 100;
    constexpr milliseconds limit{10'000};
    double total = 0;
    for (int i = 0; i < runs; ++i) {
        simulation_options options;
        options.seed = seed + static_cast<std::uint64_t>(i);
        options.claimants = 6;
        options.standby_heartbeat = standby_heartbeat;
        group_simulation run(options);
        // At any phase of the pollers' heartbeats.
        const milliseconds lost_at(3000 + run.pick(1000));
        run.at(lost_at, [&run, &lose] { lose(run); });
        run.run_until(lost_at);
        milliseconds end = lost_at;
        while (run.get_checker().count_promotions() == 0 && end < lost_at + limit) {
            end += milliseconds(5);
            run.run_until(end);
        }
        total += static_cast<double>((end - lost_at).count());
    }
    return total / runs;
}

// Guards against slower detection because four of six pollers poll only at their long heartbeat. On
// average, the active pollers alone detect a loss 50 ms later than the first of six; waiting for
// the observation of a standby poller takes 300 ms or more.
TEST(failover_exploration, standby_pollers_do_not_delay_a_failover) {
    const std::uint64_t seed = tests::get_seed();
    const std::vector<std::pair<std::string, std::function<void(group_simulation&)>>> losses = {
        {"killed", [](group_simulation& run) { run.crash_target(0); }},
        {"stopped", [](group_simulation& run) { run.freeze_target(0, milliseconds(60'000)); }},
        {"partitioned from its peers",
         [](group_simulation& run) {
             run.cut_stream(0, 1, true);
             run.cut_stream(0, 2, true);
         }},
    };
    for (const auto& [name, lose] : losses) {
        const double all_active = measure_loss(seed, milliseconds(250), lose);
        const double standby = measure_loss(seed, milliseconds(1000), lose);
        const double long_standby = measure_loss(seed, milliseconds(8000), lose);
        std::cout << name << ": mean " << all_active << " ms with six active pollers, " << standby
                  << " ms with four on standby at 1 s, " << long_standby << " ms at 8 s\n";
        EXPECT_LE(standby, all_active + 100) << name;
        EXPECT_LE(long_standby, all_active + 100) << name;
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
