#include "proxy/target_pool.h"

#include <gtest/gtest.h>

#include <thread>

#include "support/target_group.h"

namespace hornbeamhook::proxy {
namespace {

namespace leaf = boost::leaf;

using tests::eventually;
using tests::milliseconds;
using tests::run;
using tests::soon;
using tests::steady_clock;
using tests::target_group;

/** A lease, or the error of acquiring it. */
struct acquire_outcome {
    std::optional<target_pool::lease> lease;
    std::optional<pool_error> error;
};

acquire_outcome acquire(target_pool& pool, bool is_write = false,
                        steady_clock::time_point deadline = soon()) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<acquire_outcome> {
            BOOST_LEAF_AUTO(lease, pool.acquire(deadline, is_write));
            return acquire_outcome{std::move(lease), std::nullopt};
        },
        [](const pool_error& error) {
            return acquire_outcome{std::nullopt, error};
        },
        [] { return acquire_outcome{}; });
}

std::uint64_t get_accepted(target_group& group) {
    return group.get_report(0).at("connections_accepted").get<std::uint64_t>();
}

target_pool_options make_options(target_group& group, int quota) {
    return {.address = group.get_address(0), .limits = {.quota = quota}};
}

// Guards against a new connection per request.
TEST(target_pool, clean_connection_is_reused) {
    target_group group(1);
    target_pool pool(make_options(group, 2));
    for (int i = 0; i < 10; ++i) {
        acquire_outcome outcome = acquire(pool, i % 2 == 0);
        ASSERT_TRUE(outcome.lease);
        EXPECT_FALSE(run(outcome.lease->get(), {{"SELECT 1", {}}}).error);
        outcome.lease->release(release_kind::clean);
    }
    EXPECT_EQ(get_accepted(group), 1U);
}

// Guards against statements of one transaction reaching the connection of the next caller.
TEST(target_pool, connection_with_an_open_transaction_is_never_reused) {
    target_group group(1);
    target_pool pool(make_options(group, 1));
    for (const release_kind kind : {release_kind::clean, release_kind::after_transaction}) {
        acquire_outcome outcome = acquire(pool);
        ASSERT_TRUE(outcome.lease);
        EXPECT_FALSE(run(outcome.lease->get(), {{"BEGIN", {}}}).error);
        outcome.lease->release(kind);
        outcome = acquire(pool);
        ASSERT_TRUE(outcome.lease);
        EXPECT_EQ(outcome.lease->get().get_transaction_state(), transport::transaction_state::idle);
        outcome.lease->release(release_kind::clean);
    }
    EXPECT_EQ(pool.get_state().counters.closed, 2U);
}

// Guards against session state of a transaction leaking into the next one.
TEST(target_pool, session_state_is_discarded_after_a_transaction) {
    target_group group(1);
    target_pool pool(make_options(group, 1));
    acquire_outcome outcome = acquire(pool);
    ASSERT_TRUE(outcome.lease);
    EXPECT_FALSE(run(outcome.lease->get(), {{"BEGIN", {}}, {"COMMIT", {}}}).error);
    EXPECT_FALSE(run(outcome.lease->get(), {protocol::make_last_commit_statement()}).error);
    outcome.lease->release(release_kind::after_transaction);
    outcome = acquire(pool);
    ASSERT_TRUE(outcome.lease);
    EXPECT_EQ(run(outcome.lease->get(), {protocol::make_last_commit_statement()}).get_sqlstate(),
              "55000");
    EXPECT_EQ(get_accepted(group), 1U);
}

// Guards against a lease that was forgotten being reused in an unknown state.
TEST(target_pool, unreleased_lease_counts_as_broken) {
    target_group group(1);
    target_pool pool(make_options(group, 1));
    ASSERT_TRUE(acquire(pool).lease);
    EXPECT_TRUE(pool.get_state().connections.empty());
}

// Guards against waiting for ever, or being told that something may have run.
TEST(target_pool, acquire_ends_at_the_deadline) {
    target_group group(1);
    target_pool pool(make_options(group, 1));
    const acquire_outcome held = acquire(pool);
    ASSERT_TRUE(held.lease);
    const acquire_outcome late = acquire(pool, false, steady_clock::now() + milliseconds(50));
    ASSERT_TRUE(late.error);
    EXPECT_EQ(late.error->failure, pool_failure::deadline);
    EXPECT_TRUE(pool.get_state().waiters.empty());
}

// Guards against a released connection not reaching a thread that waits for it.
TEST(target_pool, waiting_thread_gets_the_released_connection) {
    target_group group(1);
    target_pool pool(make_options(group, 1));
    acquire_outcome held = acquire(pool);
    ASSERT_TRUE(held.lease);
    bool is_served = false;
    std::thread waiter([&] { is_served = acquire(pool).lease.has_value(); });
    ASSERT_TRUE(eventually([&] { return pool.get_state().waiters.size() == 1; }));
    held.lease->release(release_kind::clean);
    waiter.join();
    EXPECT_TRUE(is_served);
    EXPECT_EQ(get_accepted(group), 1U);
}

// Guards against hiding from the caller that the target is down.
TEST(target_pool, unreachable_target_is_reported_with_its_cause) {
    target_pool pool({.address = tests::get_free_address(), .limits = {.quota = 1}});
    const acquire_outcome outcome = acquire(pool);
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->failure, pool_failure::unreachable);
    EXPECT_EQ(outcome.error->cause.kind, transport::target_failure_kind::refused);
    EXPECT_TRUE(pool.get_state().connections.empty());
}

// Guards against a target at its limit failing requests that an existing connection could serve.
TEST(target_pool, refusal_over_the_limit_waits_for_a_connection_of_the_pool) {
    target_group group(1, [](auto& settings) { settings.connection_limit = 1; });
    target_pool pool(make_options(group, 3));
    acquire_outcome held = acquire(pool);
    ASSERT_TRUE(held.lease);
    bool is_served = false;
    std::thread waiter([&] { is_served = acquire(pool).lease.has_value(); });
    ASSERT_TRUE(eventually([&] { return pool.get_state().counters.limit_refusals > 0; }));
    EXPECT_EQ(pool.get_state().allowed, 1);
    held.lease->release(release_kind::clean);
    waiter.join();
    EXPECT_TRUE(is_served);
    EXPECT_EQ(group.get_report(0).at("connections_peak"), 1);
}

// Guards against silent connections being found one after the other, and against a write being sent
// on one of them.
TEST(target_pool, silent_connections_are_replaced_before_a_write) {
    target_group group(1);
    target_pool_options options = make_options(group, 4);
    options.limits.probe_after = milliseconds(0);
    options.probe_timeout = milliseconds(100);
    target_pool pool(options);
    {
        std::vector<acquire_outcome> held(4);
        for (acquire_outcome& outcome : held) {
            outcome = acquire(pool);
            ASSERT_TRUE(outcome.lease);
        }
        for (acquire_outcome& outcome : held) {
            outcome.lease->release(release_kind::clean);
        }
    }
    ASSERT_EQ(group.set_faults(0, {{"silence_connections", "discard"}}), 200);
    const acquire_outcome outcome = acquire(pool, true);
    ASSERT_TRUE(outcome.lease);
    EXPECT_EQ(get_accepted(group), 5U);
    const coordination::connection_pool state = pool.get_state();
    // The first one is found by its probe, the three others by tests that its failure started.
    EXPECT_EQ(state.counters.tested, 3U);
    EXPECT_TRUE(eventually([&] { return pool.get_state().connections.size() == 1; }));
}

// Guards against a failed read leaving other dead connections in the pool.
TEST(target_pool, broken_connection_has_the_idle_ones_tested) {
    target_group group(1);
    target_pool pool(make_options(group, 3));
    acquire_outcome first = acquire(pool);
    acquire_outcome second = acquire(pool);
    ASSERT_TRUE(first.lease && second.lease);
    second.lease->release(release_kind::clean);
    group.stop(0);
    EXPECT_TRUE(run(first.lease->get(), {{"SELECT 1", {}}}).error);
    first.lease->release(release_kind::broken);
    EXPECT_TRUE(eventually([&] { return pool.get_state().connections.empty(); }));
}

// Guards against a former home holding connections, or opening new ones.
TEST(target_pool, quota_of_zero_closes_and_refuses) {
    target_group group(1);
    target_pool pool(make_options(group, 2));
    acquire_outcome idle = acquire(pool);
    acquire_outcome lent = acquire(pool);
    ASSERT_TRUE(idle.lease && lent.lease);
    idle.lease->release(release_kind::clean);
    pool.set_quota(0);
    const acquire_outcome refused = acquire(pool);
    ASSERT_TRUE(refused.error);
    EXPECT_EQ(refused.error->failure, pool_failure::not_home);
    EXPECT_TRUE(eventually([&] { return group.get_report(0).at("connections_open") == 1; }));
    EXPECT_FALSE(run(lent.lease->get(), {{"SELECT 1", {}}}).error);
    lent.lease->release(release_kind::clean);
    EXPECT_TRUE(eventually([&] { return group.get_report(0).at("connections_open") == 0; }));
}

// Guards against a lease that outlives the pool, and against exceeding the quota under load.
TEST(target_pool, many_threads_stay_within_the_quota) {
    target_group group(1);
    std::optional<target_pool::lease> outliving;
    {
        target_pool pool(make_options(group, 3));
        std::atomic<int> failed = 0;
        std::vector<std::thread> threads;
        for (int i = 0; i < 12; ++i) {
            threads.emplace_back([&, i] {
                for (int j = 0; j < 40; ++j) {
                    acquire_outcome outcome = acquire(pool, j % 2 == 0);
                    if (!outcome.lease || run(outcome.lease->get(), {{"SELECT 1", {}}}).error) {
                        ++failed;
                        continue;
                    }
                    outcome.lease->release((i + j) % 7 == 0 ? release_kind::broken
                                                            : release_kind::clean);
                }
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        EXPECT_EQ(failed, 0);
        EXPECT_LE(pool.get_state().counters.peak, 3);
        acquire_outcome outcome = acquire(pool);
        ASSERT_TRUE(outcome.lease);
        outliving = std::move(outcome.lease);
    }
    EXPECT_FALSE(run(outliving->get(), {{"SELECT 1", {}}}).error);
    outliving->release(release_kind::clean);
}

}  // namespace
}  // namespace hornbeamhook::proxy
