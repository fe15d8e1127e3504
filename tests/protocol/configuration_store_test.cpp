#include "protocol/configuration_store.h"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "support/configuration_samples.h"
#include "support/platform_fixture.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;
using coordination::commit_conflict;
using coordination::commit_succeeded;
using coordination::commit_unavailable;
using coordination::commit_unknown;
using nlohmann::json;
using state::configuration;
using state::configuration_change;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using tests::make_change;
using tests::make_pool;
using tests::make_target;

constexpr milliseconds call_timeout{2000};
constexpr milliseconds short_timeout{150};
constexpr std::chrono::seconds commit_time{30};

class configuration_store_test : public tests::platform_fixture {
protected:
    configuration_store_test() : client_(settings_.listen_address, call_timeout), store_(client_) {}

    committed_change commit(configuration_store& store, const configuration& base,
                            configuration_change change,
                            std::chrono::milliseconds limit = commit_time,
                            const std::vector<table_write>& audit = {}) {
        return store.commit(base, coordination::make_draft(base, std::move(change)), audit,
                            steady_clock::now() + limit);
    }

    /** Loads the newest configuration and checks that it could be read. */
    configuration load() {
        return leaf::try_handle_all([&]() -> leaf::result<configuration> { return store_.load(); },
                                    [](const table_error& error) {
                                        ADD_FAILURE() << error.message;
                                        return configuration();
                                    },
                                    [](const protocol_error& error) {
                                        ADD_FAILURE() << error.message;
                                        return configuration();
                                    },
                                    [] {
                                        ADD_FAILURE();
                                        return configuration();
                                    });
    }

    std::vector<configuration_change> get_log() {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::vector<configuration_change>> {
                BOOST_LEAF_AUTO(head, store_.get_head());
                return store_.get_changes(0, head.version);
            },
            [] {
                ADD_FAILURE();
                return std::vector<configuration_change>();
            });
    }

    table_client client_;
    configuration_store store_;
};

// Guards against a log whose rows do not have the documented form.
TEST_F(configuration_store_test, writes_head_change_and_audit_in_one_transaction) {
    const committed_change done =
        commit(store_, {}, make_change("id-1", {make_pool("p"), make_target("p/a")}), commit_time,
               {{"audit", "ctl/1/1", json{{"kind", "configuration"}}}});
    EXPECT_EQ(done.result, coordination::commit_result(commit_succeeded{1}));
    EXPECT_EQ(done.config.version, 1U);
    const auto get_value = [&](const char* table, const char* key) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<json> {
                BOOST_LEAF_AUTO(row, client_.get_row(table, key));
                return row ? row->value : json();
            },
            [] { return json("error"); });
    };
    EXPECT_EQ(get_value("config", "head"), (json{{"version", 1}, {"change_id", "id-1"}}));
    EXPECT_EQ(get_value("config_change", "000000000001")["change_id"], "id-1");
    EXPECT_EQ(get_value("audit", "ctl/1/1")["version"], 1);
    EXPECT_EQ(load(), done.config);
}

// Guards against racing operators who both win or both lose on one object, and against a change to
// another object that is lost because of the race.
TEST_F(configuration_store_test, racing_operators_one_winner_per_object) {
    const configuration base =
        commit(store_, {}, make_change("base", {make_pool("p0"), make_pool("p1")})).config;
    constexpr int racers = 6;
    std::vector<committed_change> results(racers);
    std::vector<std::thread> threads;
    for (int i = 0; i < racers; ++i) {
        threads.emplace_back([&, i] {
            table_client client(settings_.listen_address, call_timeout);
            configuration_store store(client);
            // Racers 0 to 3 change two shared pools, the others a pool of their own.
            const std::string pool =
                i < 4 ? "p" + std::to_string(i % 2) : "own" + std::to_string(i);
            results[i] = commit(store, base,
                                make_change("id" + std::to_string(i), {make_pool(pool, i + 1)}));
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const auto has_won = [&](int i) {
        return std::holds_alternative<commit_succeeded>(results[i].result);
    };
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(has_won(i) || std::holds_alternative<commit_conflict>(results[i].result)) << i;
    }
    EXPECT_NE(has_won(0), has_won(2));
    EXPECT_NE(has_won(1), has_won(3));
    EXPECT_TRUE(has_won(4));
    EXPECT_TRUE(has_won(5));
    EXPECT_EQ(load().version, 5U);
    EXPECT_EQ(load().find_pool("p0")->queue_length, has_won(0) ? 1 : 3);
}

// Guards against a change that runs twice, or is reported as failed, when its answer is lost.
TEST_F(configuration_store_test, a_lost_answer_is_resolved_and_not_repeated) {
    table_client impatient(settings_.listen_address, short_timeout);
    configuration_store store(impatient);
    set_faults({{"lose_answers", 1}, {"lose_answers_of", "config"}});
    const committed_change done = commit(store, {}, make_change("id-1", {make_pool("p")}));
    EXPECT_EQ(done.result, coordination::commit_result(commit_succeeded{1}));
    EXPECT_EQ(get_status()["lost_answers"], 1);
    EXPECT_EQ(get_log().size(), 1U);
}

// Guards against lost or doubled changes when many answers are lost during a race.
TEST_F(configuration_store_test, races_with_lost_answers_keep_each_change_once) {
    set_faults({{"lose_answer_rate", 0.3}, {"lose_answers_of", "config"}, {"seed", 11}});
    constexpr int racers = 4;
    constexpr int changes_each = 6;
    std::atomic<int> successes = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < racers; ++i) {
        threads.emplace_back([&, i] {
            table_client client(settings_.listen_address, short_timeout);
            configuration_store store(client);
            configuration current;
            for (int j = 0; j < changes_each; ++j) {
                const std::string id = std::to_string(i) + "-" + std::to_string(j);
                committed_change done = commit(
                    store, current, make_change(id, {make_pool("p" + std::to_string(i), j + 1)}));
                successes += std::holds_alternative<commit_succeeded>(done.result) ? 1 : 0;
                current = std::move(done.config);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(successes, racers * changes_each);
    std::multiset<std::string> ids;
    for (const configuration_change& change : get_log()) {
        ids.insert(change.change_id);
    }
    EXPECT_EQ(ids.size(), static_cast<std::size_t>(racers * changes_each));
    EXPECT_EQ(std::set<std::string>(ids.begin(), ids.end()).size(), ids.size());
    EXPECT_GT(get_status()["lost_answers"], 0);
}

// Guards against "unavailable" for a change that took effect, and against hanging in an outage.
TEST_F(configuration_store_test, an_outage_ends_at_the_deadline) {
    set_faults({{"outage", "refuse"}});
    const committed_change refused =
        commit(store_, {}, make_change("id-1", {make_pool("p")}), milliseconds(200));
    EXPECT_TRUE(std::holds_alternative<commit_unavailable>(refused.result));
    set_faults({{"outage", "none"}});
    EXPECT_TRUE(get_log().empty());
}

// Guards against snapshots that are not written, not used, or differ from the log.
TEST_F(configuration_store_test, a_snapshot_each_100_changes_replaces_most_of_the_log) {
    configuration current;
    for (int i = 1; i <= 130; ++i) {
        committed_change done = commit(
            store_, current,
            make_change("id" + std::to_string(i), {make_pool("p" + std::to_string(i % 7), i)}));
        ASSERT_TRUE(std::holds_alternative<commit_succeeded>(done.result)) << i;
        current = std::move(done.config);
    }
    const std::uint64_t before = get_status()["tables"]["config_change"]["rows_read"];
    EXPECT_EQ(load(), current);
    const std::uint64_t after = get_status()["tables"]["config_change"]["rows_read"];
    EXPECT_EQ(after - before, 30U);
    EXPECT_EQ(coordination::adopt_changes({}, get_log()).config, current);
}

// Guards against a proxy that cannot start because a snapshot is damaged.
TEST_F(configuration_store_test, a_damaged_snapshot_is_ignored) {
    const configuration current = commit(store_, {}, make_change("id-1", {make_pool("p")})).config;
    EXPECT_TRUE(static_cast<bool>(client_.put_object("configuration/x", "{\"version\":")));
    EXPECT_TRUE(static_cast<bool>(client_.commit(
        {}, {{"config", "snapshot", json{{"version", 1}, {"object", "configuration/x"}}}})));
    EXPECT_EQ(load(), current);
}

// Guards against a missing change that is skipped without an error.
TEST_F(configuration_store_test, a_gap_in_the_log_is_an_error) {
    configuration current;
    for (int i = 1; i <= 3; ++i) {
        current =
            commit(store_, current, make_change("id" + std::to_string(i), {make_pool("p", i)}))
                .config;
    }
    EXPECT_TRUE(
        static_cast<bool>(client_.commit({}, {{"config_change", "000000000002", std::nullopt}})));
    const std::string message = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(store_.load());
            return std::string();
        },
        [](const protocol_error& error) { return error.message; },
        [] { return std::string("other error"); });
    EXPECT_NE(message.find("change 2 is missing"), std::string::npos) << message;
}

}  // namespace
}  // namespace hornbeamhook::protocol
