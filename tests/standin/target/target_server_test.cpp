#include "standin/target/target_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <thread>

#include "support/target_group.h"

namespace hornbeamhook::standin::target {
namespace {

using tests::connect;
using tests::eventually;
using tests::exchange_outcome;
using tests::fence;
using tests::promote;
using tests::run;
using tests::target_connection;
using tests::target_group;

constexpr const char* create_sql =
    "CREATE TABLE part (id INTEGER PRIMARY KEY, name TEXT NOT NULL, UNIQUE (name))";

void execute(target_connection& connection, const std::string& sql) {
    const exchange_outcome outcome = run(connection, {{sql, {}}});
    ASSERT_FALSE(outcome.error) << sql << ": " << outcome.error->message;
}

void execute_on(target_group& group, int index, const std::string& sql) {
    const auto connection = connect(group.get_address(index));
    execute(*connection, sql);
}

std::string query(target_group& group, int index, const std::string& sql) {
    const auto connection = connect(group.get_address(index));
    const exchange_outcome outcome = run(*connection, {{sql, {}}});
    return outcome.error ? outcome.error->sqlstate : outcome.get_cell();
}

std::string count_parts(target_group& group, int index) {
    return query(group, index, "SELECT count(*) FROM part");
}

bool reaches(target_group& group, int index, state::term_number term,
             state::log_position position) {
    return eventually([&] {
        const state::target_status status = group.get_status(index);
        return status.follow_term == term && status.position >= position;
    });
}

// Guards against replicas that do not apply the log, and against writes on replicas.
TEST(target_server, replicas_apply_the_log_and_refuse_writes) {
    target_group group(3);
    execute_on(group, 0, create_sql);
    execute_on(group, 0, "INSERT INTO part VALUES (1, 'pump'), (2, 'valve')");
    for (int replica : {1, 2}) {
        ASSERT_TRUE(reaches(group, replica, 1, 2));
        EXPECT_EQ(count_parts(group, replica), "2");
        EXPECT_EQ(query(group, replica, "INSERT INTO part VALUES (3, 'seal')"), "HB002");
        ASSERT_TRUE(group.get_status(replica).primary_contact);
    }
    EXPECT_FALSE(group.get_status(0).primary_contact);
}

// Guards against error codes a proxy would misread.
TEST(target_server, errors_carry_the_sqlstate_of_postgresql) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    execute(*connection, create_sql);
    execute(*connection, "INSERT INTO part VALUES (1, 'pump')");
    const std::vector<std::pair<std::string, std::string>> cases{
        {"INSERT INTO part VALUES (1, 'valve')", "23505"},
        {"INSERT INTO part VALUES (2, 'pump')", "23505"},
        {"INSERT INTO part VALUES (2, NULL)", "23502"},
        {"SELEC 1", "42601"},
        {"SELECT 1; SELECT 2", "42601"},
        {"SELECT * FROM nowhere", "42P01"},
        {"SELECT missing FROM part", "42703"},
        {"SELECT missing()", "42883"},
        {"CREATE TABLE part (id INTEGER)", "42P07"},
        {"SELECT $2", "42P02"},
        {"SAVEPOINT a", "0A000"},
        {"PRAGMA journal_mode=DELETE", "0A000"},
        {"ATTACH 'x' AS y", "0A000"},
        {"VACUUM", "0A000"},
        {"INSERT INTO part VALUES (random(), 'x')", "0A000"},
        {"SELECT hornbeamhook_fence('x', 'y')", "22P02"},
    };
    for (const auto& [sql, sqlstate] : cases) {
        EXPECT_EQ(run(*connection, {{sql, {}}}).get_sqlstate(), sqlstate) << sql;
        EXPECT_EQ(connection->get_transaction_state(), transport::transaction_state::idle) << sql;
    }
    EXPECT_EQ(run(*connection, {{"SELECT $1", {"\xff"}}}).get_sqlstate(), "22021");
    EXPECT_EQ(count_parts(group, 0), "1");
}

// Guards against statements of an open transaction being visible to, or mixed with, others.
TEST(target_server, open_transactions_are_isolated) {
    target_group group(1);
    const auto writer = connect(group.get_address(0));
    const auto reader = connect(group.get_address(0));
    execute(*writer, create_sql);
    ASSERT_FALSE(run(*reader, {{"BEGIN READ ONLY", {}}, {"SELECT count(*) FROM part", {}}}).error);
    ASSERT_FALSE(run(*writer, {{"BEGIN", {}}, {"INSERT INTO part VALUES (1, 'pump')", {}}}).error);
    EXPECT_EQ(count_parts(group, 0), "0");
    execute(*writer, "COMMIT");
    EXPECT_EQ(count_parts(group, 0), "1");
    EXPECT_EQ(run(*reader, {{"SELECT count(*) FROM part", {}}}).get_cell(), "0");
    EXPECT_EQ(run(*reader, {{"DELETE FROM part", {}}}).get_sqlstate(), "25006");
    execute(*reader, "ROLLBACK");
    EXPECT_EQ(run(*reader, {{"SELECT count(*) FROM part", {}}}).get_cell(), "1");
}

// Guards against a spelling of BEGIN that opens a transaction of the wrong kind.
TEST(target_server, spellings_of_begin) {
    target_group group(1);
    execute_on(group, 0, create_sql);
    const auto connection = connect(group.get_address(0));
    for (const char* sql :
         {"BEGIN READ ONLY", "begin transaction read only;", "START TRANSACTION READ ONLY",
          "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY",
          "BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY"}) {
        execute(*connection, sql);
        EXPECT_EQ(run(*connection, {{"DELETE FROM part", {}}}).get_sqlstate(), "25006") << sql;
        execute(*connection, "ROLLBACK");
    }
    for (const char* sql : {"BEGIN", "begin work;", "START TRANSACTION", "BEGIN READ WRITE",
                            "BEGIN ISOLATION LEVEL REPEATABLE READ"}) {
        execute(*connection, sql);
        EXPECT_EQ(connection->get_transaction_state(), transport::transaction_state::open) << sql;
        execute(*connection, "DELETE FROM part");
        execute(*connection, "ABORT");
        EXPECT_EQ(connection->get_transaction_state(), transport::transaction_state::idle) << sql;
    }
}

// Guards against a status that is older or newer than the data read after it in one exchange.
TEST(target_server, position_belongs_to_the_snapshot_of_the_exchange) {
    target_group group(1);
    execute_on(group, 0, create_sql);
    std::atomic<bool> is_done = false;
    std::thread writer([&] {
        const auto connection = connect(group.get_address(0));
        for (int i = 0; i < 500; ++i) {
            run(*connection, {{"INSERT INTO part VALUES ($1, $1)", {std::to_string(i)}}});
        }
        is_done = true;
    });
    const auto reader = connect(group.get_address(0));
    int wrong = 0;
    int checked = 0;
    while (!is_done || checked == 0) {
        const exchange_outcome outcome =
            run(*reader, {protocol::make_status_statement(), {"SELECT count(*) FROM part", {}}});
        const nlohmann::json status = nlohmann::json::parse(outcome.get_cell());
        const int rows = std::stoi(outcome.results.at(1).rows.at(0).at(0).value());
        wrong += status.at("position") != rows + 1 ? 1 : 0;
        ++checked;
    }
    writer.join();
    EXPECT_EQ(wrong, 0) << "of " << checked;
}

// Guards against several statements outside BEGIN being committed one by one.
TEST(target_server, statements_of_one_exchange_form_one_transaction) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    execute(*connection, create_sql);
    EXPECT_EQ(run(*connection, {{"INSERT INTO part VALUES (1, 'pump')", {}},
                                {"INSERT INTO part VALUES (1, 'valve')", {}}})
                  .get_sqlstate(),
              "23505");
    EXPECT_EQ(count_parts(group, 0), "0");
    // The position of a commit that has not happened yet cannot be asked for.
    EXPECT_EQ(run(*connection, {{"INSERT INTO part VALUES (1, 'pump')", {}},
                                protocol::make_last_commit_statement()})
                  .get_sqlstate(),
              "25001");
    EXPECT_EQ(count_parts(group, 0), "0");
}

// Guards against a write being kept after another claimant fenced the primary.
TEST(target_server, commit_after_fencing_is_rolled_back) {
    target_group group(1);
    const auto writer = connect(group.get_address(0));
    execute(*writer, create_sql);
    ASSERT_FALSE(run(*writer, {{"BEGIN", {}}, {"INSERT INTO part VALUES (1, 'pump')", {}}}).error);
    EXPECT_EQ(fence(group, 0, 2, "x"), "");
    EXPECT_EQ(run(*writer, {{"COMMIT", {}}}).get_sqlstate(), "HB002");
    EXPECT_EQ(writer->get_transaction_state(), transport::transaction_state::idle);
    EXPECT_EQ(count_parts(group, 0), "0");
    EXPECT_EQ(query(group, 0, "INSERT INTO part VALUES (1, 'pump')"), "HB002");
    EXPECT_FALSE(group.get_status(0).is_primary);
}

// Guards against two claimants holding one term, and against a repeated call doing harm.
TEST(target_server, fence_and_promote_follow_the_rules) {
    target_group group(1);
    EXPECT_EQ(fence(group, 0, 1, "x"), "HB001");
    EXPECT_EQ(promote(group, 0, 2, "x"), "HB001");
    EXPECT_EQ(fence(group, 0, 2, "x"), "");
    EXPECT_EQ(fence(group, 0, 2, "x"), "");
    EXPECT_EQ(fence(group, 0, 2, "y"), "HB001");
    EXPECT_EQ(promote(group, 0, 2, "y"), "HB001");
    EXPECT_EQ(promote(group, 0, 2, "x"), "");
    execute_on(group, 0, create_sql);
    EXPECT_EQ(promote(group, 0, 2, "x"), "");
    const state::target_status status = group.get_status(0);
    EXPECT_EQ(status.follow_term, 2U);
    EXPECT_EQ(status.term_start, 0U);
    EXPECT_EQ(status.position, 1U);
    EXPECT_TRUE(status.is_primary);
}

// Guards against losing acknowledged entries in a promotion, keeping the unacknowledged tail of an
// old primary, and connections that see both states.
TEST(target_server, acknowledged_prefix_survives_and_the_tail_is_discarded) {
    target_group group(3);
    execute_on(group, 0, create_sql);
    execute_on(group, 0, "INSERT INTO part VALUES (1, 'kept')");
    ASSERT_TRUE(reaches(group, 1, 1, 2));
    ASSERT_TRUE(reaches(group, 2, 1, 2));
    ASSERT_EQ(group.set_faults(0, {{"cut_peers", {"b", "c"}}}), 200);
    // The old primary still believes that it leads.
    const auto old_connection = connect(group.get_address(0));
    execute(*old_connection, "INSERT INTO part VALUES (2, 'lost')");
    EXPECT_EQ(group.get_status(0).position, 3U);
    for (int target : {1, 2}) {
        ASSERT_EQ(fence(group, target, 2, "x"), "");
    }
    ASSERT_EQ(promote(group, 1, 2, "x"), "");
    execute_on(group, 1, "INSERT INTO part VALUES (3, 'new')");
    ASSERT_TRUE(reaches(group, 2, 2, 3));
    EXPECT_EQ(group.get_status(0).follow_term, 1U);
    ASSERT_EQ(group.set_faults(0, {{"cut_peers", nlohmann::json::array()}}), 200);
    ASSERT_TRUE(reaches(group, 0, 2, 3));
    for (int target : {0, 1, 2}) {
        EXPECT_EQ(query(group, target, "SELECT group_concat(name) FROM part"), "kept,new");
        EXPECT_EQ(group.get_status(target).accepted_term, 2U);
        EXPECT_EQ(group.get_status(target).term_start, 2U);
    }
    const exchange_outcome outcome = run(*old_connection, {{"SELECT 1", {}}});
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, transport::target_failure_kind::closed);
    EXPECT_EQ(query(group, 0, "INSERT INTO part VALUES (4, 'late')"), "HB002");
}

// Guards against a target that lags behind the start of a term outranking a complete log.
TEST(target_server, new_term_is_followed_only_from_its_start) {
    target_group group(3);
    ASSERT_EQ(group.set_faults(2, {{"cut_peers", {"a", "b"}}}), 200);
    execute_on(group, 0, create_sql);
    execute_on(group, 0, "INSERT INTO part VALUES (1, 'kept')");
    ASSERT_TRUE(reaches(group, 1, 1, 2));
    ASSERT_EQ(group.set_faults(0, {{"cut_peers", {"b", "c"}}}), 200);
    // The new primary ships nothing for an hour, but it has contact to the lagging target.
    ASSERT_EQ(group.set_faults(1, {{"replication_lag_ms", 3'600'000}}), 200);
    for (int target : {1, 2}) {
        ASSERT_EQ(fence(group, target, 2, "x"), "");
    }
    ASSERT_EQ(promote(group, 1, 2, "x"), "");
    ASSERT_EQ(group.set_faults(2, {{"cut_peers", nlohmann::json::array()}}), 200);
    ASSERT_TRUE(eventually([&] { return group.get_status(2).primary_contact.has_value(); }));
    EXPECT_LT(group.get_status(2).get_log_end(), group.get_status(0).get_log_end());
    ASSERT_EQ(group.set_faults(1, {{"replication_lag_ms", 0}}), 200);
    ASSERT_TRUE(reaches(group, 2, 2, 2));
}

// Guards against an old primary overwriting a target that has not been fenced but follows a newer
// primary.
TEST(target_server, stream_of_an_old_term_is_refused) {
    target_group group(3);
    execute_on(group, 0, create_sql);
    ASSERT_TRUE(reaches(group, 1, 1, 1));
    ASSERT_TRUE(reaches(group, 2, 1, 1));
    ASSERT_EQ(group.set_faults(0, {{"cut_peers", {"b", "c"}}}), 200);
    ASSERT_EQ(fence(group, 1, 2, "x"), "");
    ASSERT_EQ(promote(group, 1, 2, "x"), "");
    execute_on(group, 1, "INSERT INTO part VALUES (1, 'new')");
    ASSERT_TRUE(reaches(group, 2, 2, 2));
    EXPECT_EQ(group.get_status(2).accepted_term, 2U);
    execute_on(group, 0, "INSERT INTO part VALUES (2, 'lost')");
    ASSERT_EQ(group.set_faults(0, {{"cut_peers", {"b"}}}), 200);
    ASSERT_EQ(group.set_faults(1, {{"cut_peers", {"a"}}}), 200);
    ASSERT_TRUE(eventually([&] { return group.get_report(2).at("streams_refused") > 0; }));
    execute_on(group, 1, "INSERT INTO part VALUES (3, 'newer')");
    ASSERT_TRUE(reaches(group, 2, 2, 3));
    EXPECT_EQ(query(group, 2, "SELECT group_concat(name) FROM part"), "new,newer");
    EXPECT_EQ(query(group, 0, "SELECT group_concat(name) FROM part"), "lost");
}

// Guards against more connections than the limit, and against a count that never goes down.
TEST(target_server, connection_limit_is_enforced_and_counted) {
    target_group group(1, [](auto& settings) { settings.connection_limit = 2; });
    auto first = connect(group.get_address(0));
    const auto second = connect(group.get_address(0));
    const tests::open_outcome refused = tests::open(group.get_address(0));
    ASSERT_TRUE(refused.error);
    EXPECT_EQ(refused.error->sqlstate, "53300");
    first.reset();
    ASSERT_TRUE(
        eventually([&] { return tests::open(group.get_address(0)).connection != nullptr; }));
    const nlohmann::json report = group.get_report(0);
    EXPECT_EQ(report.at("connections_peak"), 2);
    EXPECT_GE(report.at("connections_refused"), 1);
}

// Guards against more statements at once than the slots allow.
TEST(target_server, statements_beyond_the_slots_wait) {
    target_group group(1, [](auto& settings) {
        settings.slots = 2;
        settings.statement_cost = std::chrono::microseconds(500);
    });
    execute_on(group, 0, create_sql);
    std::vector<std::thread> threads;
    std::atomic<int> failed = 0;
    for (int i = 0; i < 6; ++i) {
        threads.emplace_back([&] {
            const auto connection = connect(group.get_address(0));
            for (int j = 0; j < 50; ++j) {
                failed += run(*connection, {{"SELECT count(*) FROM part", {}}}).error ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(group.get_report(0).at("statements_running_peak"), 2);
    EXPECT_EQ(group.get_report(0).at("statements_executed"), 301);
}

// Guards against a silence that also hits new connections, and against work done in silence.
TEST(target_server, silent_connections_do_nothing_while_new_ones_work) {
    target_group group(1);
    const auto silent = connect(group.get_address(0));
    execute(*silent, create_sql);
    ASSERT_EQ(group.set_faults(0, {{"silence_connections", "discard"}}), 200);
    const exchange_outcome outcome = run(*silent, {{"INSERT INTO part VALUES (1, 'pump')", {}}},
                                         tests::steady_clock::now() + tests::milliseconds(100));
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, transport::target_failure_kind::timeout);
    EXPECT_EQ(count_parts(group, 0), "0");
    EXPECT_EQ(group.set_faults(0, {{"silence_connections", "sometimes"}}), 400);
}

// Guards against a stand-in that cannot produce the late duplicate of a write.
TEST(target_server, silent_connections_may_still_execute) {
    target_group group(1);
    const auto silent = connect(group.get_address(0));
    execute(*silent, create_sql);
    ASSERT_EQ(group.set_faults(0, {{"silence_connections", "execute"}}), 200);
    const exchange_outcome outcome = run(*silent, {{"INSERT INTO part VALUES (1, 'pump')", {}}},
                                         tests::steady_clock::now() + tests::milliseconds(100));
    ASSERT_TRUE(outcome.error);
    EXPECT_TRUE(outcome.error->was_sent);
    EXPECT_TRUE(eventually([&] { return count_parts(group, 0) == "1"; }));
}

// Guards against a lost answer being reported as a commit that did not happen.
TEST(target_server, answer_of_a_commit_can_get_lost_after_it_took_effect) {
    target_group group(1);
    execute_on(group, 0, create_sql);
    ASSERT_EQ(group.set_faults(0, {{"lose_commit_answers", 2}}), 200);
    const auto first = connect(group.get_address(0));
    const exchange_outcome closed =
        run(*first, {{"BEGIN", {}}, {"INSERT INTO part VALUES (1, 'pump')", {}}, {"COMMIT", {}}});
    ASSERT_TRUE(closed.error);
    EXPECT_EQ(closed.error->kind, transport::target_failure_kind::closed);
    EXPECT_TRUE(closed.error->was_sent);
    ASSERT_EQ(group.set_faults(0, {{"lose_commit_mode", "silent"}}), 200);
    const auto second = connect(group.get_address(0));
    const exchange_outcome silent = run(*second, {{"INSERT INTO part VALUES (2, 'valve')", {}}},
                                        tests::steady_clock::now() + tests::milliseconds(200));
    ASSERT_TRUE(silent.error);
    EXPECT_EQ(silent.error->kind, transport::target_failure_kind::timeout);
    EXPECT_EQ(count_parts(group, 0), "2");
    execute_on(group, 0, "INSERT INTO part VALUES (3, 'seal')");
}

// Guards against a delay that loses answers, and against a long one that keeps the target from
// ending.
TEST(target_server, answers_can_be_delayed) {
    target_group group(1);
    const auto slow = connect(group.get_address(0));
    ASSERT_EQ(group.set_faults(0, {{"answer_delay_ms", 50}}), 200);
    const auto before = tests::steady_clock::now();
    EXPECT_FALSE(run(*slow, {{"SELECT 1", {}}}).error);
    EXPECT_GE(tests::steady_clock::now() - before, tests::milliseconds(50));
    ASSERT_EQ(group.set_faults(0, {{"answer_delay_ms", 3'600'000}}), 200);
    const exchange_outcome outcome =
        run(*slow, {{"SELECT 1", {}}}, tests::steady_clock::now() + tests::milliseconds(50));
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, transport::target_failure_kind::timeout);
}

// Guards against a sender that burns a core while entries wait for their lag.
TEST(target_server, sender_sleeps_while_entries_wait_for_the_lag) {
    target_group group(2);
    ASSERT_EQ(group.set_faults(0, {{"replication_lag_ms", 3'600'000}}), 200);
    execute_on(group, 0, create_sql);
    const nlohmann::json before = group.get_report(0);
    nlohmann::json after;
    ASSERT_TRUE(eventually([&] {
        after = group.get_report(0);
        return after.at("heartbeats_sent") > before.at("heartbeats_sent").get<int>() + 3;
    }));
    const int rounds = after.at("sender_rounds").get<int>() - before.at("sender_rounds").get<int>();
    const int heartbeats =
        after.at("heartbeats_sent").get<int>() - before.at("heartbeats_sent").get<int>();
    EXPECT_LE(rounds, 4 * heartbeats);
}

// Guards against refused connections that are not refused, or that stay refused.
TEST(target_server, new_connections_can_be_refused_for_a_while) {
    target_group group(1);
    const auto kept = connect(group.get_address(0));
    ASSERT_EQ(group.set_faults(0, {{"refuse_connections", true}}), 200);
    ASSERT_TRUE(eventually([&] {
        const tests::open_outcome outcome = tests::open(group.get_address(0));
        return outcome.error && outcome.error->kind == transport::target_failure_kind::refused;
    }));
    EXPECT_FALSE(run(*kept, {{"SELECT 1", {}}}).error);
    ASSERT_EQ(group.set_faults(0, {{"refuse_connections", false}}), 200);
    EXPECT_TRUE(
        eventually([&] { return tests::open(group.get_address(0)).connection != nullptr; }));
}

// Guards against the replication lag holding heartbeats back, or not holding entries back.
TEST(target_server, replication_lag_delays_entries_but_not_heartbeats) {
    target_group group(2);
    ASSERT_EQ(group.set_faults(0, {{"replication_lag_ms", 3'600'000}}), 200);
    execute_on(group, 0, create_sql);
    // Contact that gets younger shows heartbeats after the commit.
    ASSERT_TRUE(eventually([&] { return group.get_status(1).primary_contact.has_value(); }));
    const auto age = group.get_status(1).primary_contact;
    ASSERT_TRUE(eventually([&] { return group.get_status(1).primary_contact > age; }));
    ASSERT_TRUE(eventually([&] { return group.get_status(1).primary_contact <= age; }));
    EXPECT_EQ(group.get_status(1).position, 0U);
    ASSERT_EQ(group.set_faults(0, {{"replication_lag_ms", 0}}), 200);
    EXPECT_TRUE(reaches(group, 1, 1, 1));
}

// Guards against a restarted target that forgets what it acknowledged or accepted.
TEST(target_server, log_and_terms_survive_a_restart) {
    const std::filesystem::path directory = std::filesystem::temp_directory_path() /
                                            ("target-server-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(directory);
    {
        target_group group(1, [&](auto& settings) { settings.data_directory = directory; });
        execute_on(group, 0, create_sql);
        execute_on(group, 0, "INSERT INTO part VALUES (1, 'pump')");
        ASSERT_EQ(fence(group, 0, 4, "x"), "");
        group.stop(0);
        group.start(0);
        EXPECT_EQ(count_parts(group, 0), "1");
        const state::target_status status = group.get_status(0);
        EXPECT_EQ(status.accepted_term, 4U);
        EXPECT_EQ(status.accepted_claimant, "x");
        EXPECT_EQ(status.position, 2U);
        EXPECT_FALSE(status.is_primary);
    }
    std::filesystem::remove_all(directory);
}

// Guards against an open write transaction that keeps an old primary from following.
TEST(target_server, open_write_does_not_block_following) {
    target_group group(2);
    execute_on(group, 0, create_sql);
    ASSERT_TRUE(reaches(group, 1, 1, 1));
    const auto writer = connect(group.get_address(0));
    ASSERT_FALSE(run(*writer, {{"BEGIN", {}}, {"INSERT INTO part VALUES (1, 'open')", {}}}).error);
    ASSERT_EQ(fence(group, 1, 2, "x"), "");
    ASSERT_EQ(promote(group, 1, 2, "x"), "");
    execute_on(group, 1, "INSERT INTO part VALUES (1, 'new')");
    ASSERT_TRUE(reaches(group, 0, 2, 2));
    EXPECT_TRUE(run(*writer, {{"COMMIT", {}}}).error);
    EXPECT_EQ(query(group, 0, "SELECT group_concat(name) FROM part"), "new");
}

// Guards against a transaction that nobody continues blocking all writers.
TEST(target_server, idle_transaction_is_ended_by_the_target) {
    target_group group(
        1, [](auto& settings) { settings.idle_transaction_timeout = tests::milliseconds(50); });
    execute_on(group, 0, create_sql);
    const auto idle = connect(group.get_address(0));
    ASSERT_FALSE(run(*idle, {{"BEGIN", {}}, {"INSERT INTO part VALUES (1, 'idle')", {}}}).error);
    execute_on(group, 0, "INSERT INTO part VALUES (1, 'other')");
    const exchange_outcome outcome = run(*idle, {{"COMMIT", {}}});
    ASSERT_TRUE(outcome.error);
    EXPECT_TRUE(idle->is_broken());
}

}  // namespace
}  // namespace hornbeamhook::standin::target
