#include "proxy/execution.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "support/fake_target.h"
#include "support/random_seed.h"

namespace hornbeamhook::proxy {
namespace {

using protocol::error_code;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;
using tests::exchange_fate;

state::time_point in_future() {
    return std::chrono::steady_clock::now() + std::chrono::minutes(1);
}

/** A primary of term 3 with an executor. */
class execution_test : public testing::Test {
protected:
    execution_test() {
        target.status.accepted_term = 3;
        target.status.follow_term = 3;
        target.status.position = 10;
        target.status.is_primary = true;
    }

    execution write(const std::string& sql, const std::string& key = "") {
        return run(make_request(sql, key));
    }

    execution run(const execute_request& request) {
        return runner.run_write(request, description, in_future(), in_future());
    }

    static execute_request make_request(const std::string& sql, const std::string& key) {
        execute_request request;
        request.pool = "p";
        request.caller = "c";
        request.is_write = true;
        request.statements = {{sql, {}}};
        request.idempotency_key = key;
        request.digest = "digest of " + sql;
        return request;
    }

    execution read(const coordination::required_points& required) {
        execute_request request = make_request("SELECT", "");
        request.is_write = false;
        return runner.run_read(request, description, required, in_future());
    }

    tests::fake_target target;
    state::target_description description;
    executor runner{target};
};

// Guards against a write whose effect and answer differ.
TEST_F(execution_test, write_commits_once_and_names_its_position) {
    const execution result = write("INSERT <a>");
    EXPECT_EQ(result.outcome, outcome::ok);
    EXPECT_TRUE(result.needs_acknowledgement);
    EXPECT_EQ(result.point, (state::log_point{3, 11}));
    ASSERT_EQ(result.results.size(), 1U);
    EXPECT_EQ(result.results[0].affected, 1U);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
    EXPECT_EQ(target.sessions, 0);
}

// Guards against a first keyed write that fails because the table of keys does not exist.
TEST_F(execution_test, first_keyed_write_creates_the_table) {
    EXPECT_EQ(write("INSERT <a>", "k").outcome, outcome::ok);
    EXPECT_TRUE(target.has_key_table);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against a repeated request that runs twice or gets another answer.
TEST_F(execution_test, repeated_key_gives_the_stored_result) {
    const execution first = write("INSERT <a>", "k");
    const execution second = write("INSERT <a>", "k");
    EXPECT_EQ(second.outcome, outcome::ok);
    EXPECT_EQ(second.results, first.results);
    EXPECT_TRUE(second.needs_acknowledgement) << "the stored result may not be acknowledged yet";
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against a key that answers for another request.
TEST_F(execution_test, key_of_another_request_is_refused) {
    write("INSERT <a>", "k");
    const execution other = write("INSERT <b>", "k");
    EXPECT_EQ(other.outcome, outcome::not_run);
    EXPECT_EQ(other.code, error_code::key_reused);
    EXPECT_TRUE(other.needs_acknowledgement);
    EXPECT_FALSE(target.rows.contains("INSERT <b>"));
}

// Guards against effects of a statement list of which one failed.
TEST_F(execution_test, failing_statement_leaves_nothing) {
    execute_request request = make_request("INSERT <a>", "k");
    request.statements.push_back({"FAIL", {}});
    target.has_key_table = true;
    const execution result = run(request);
    EXPECT_EQ(result.outcome, outcome::not_run);
    EXPECT_EQ(result.code, error_code::statement_failed);
    EXPECT_TRUE(target.rows.empty());
    EXPECT_TRUE(target.keys.empty());
}

// Guards against `not_run` for a lost answer to a commit, and `unknown` where no commit was sent.
TEST_F(execution_test, lost_exchanges_end_as_what_is_known) {
    const auto lose = [&](const std::string& word, exchange_fate fate) {
        target.get_fate = [word, fate](const auto& statements) {
            return statements.front().sql == word ? fate : exchange_fate::normal;
        };
        return write("INSERT <a>").outcome;
    };
    EXPECT_EQ(lose("BEGIN", exchange_fate::lost_before_sending), outcome::not_run);
    EXPECT_EQ(lose("BEGIN", exchange_fate::lost_before_running), outcome::not_run);
    EXPECT_EQ(lose("BEGIN", exchange_fate::lost_after_running), outcome::not_run);
    EXPECT_EQ(lose("COMMIT", exchange_fate::lost_before_sending), outcome::not_run);
    EXPECT_TRUE(target.rows.empty());
    EXPECT_EQ(lose("COMMIT", exchange_fate::lost_before_running), outcome::unknown);
    EXPECT_EQ(lose("COMMIT", exchange_fate::lost_after_running), outcome::unknown);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against a commit for which no time is left to be acknowledged.
TEST_F(execution_test, no_commit_after_commit_by) {
    const execution result =
        runner.run_write(make_request("INSERT <a>", ""), description,
                         std::chrono::steady_clock::now() - std::chrono::seconds(1), in_future());
    EXPECT_EQ(result.outcome, outcome::not_run);
    EXPECT_EQ(result.code, error_code::deadline);
    EXPECT_TRUE(target.rows.empty());
}

// Guards against a target that lost its role and a home that does not notice.
TEST_F(execution_test, refused_write_reports_the_lost_primary) {
    target.status.is_primary = false;
    const execution result = write("INSERT <a>");
    EXPECT_EQ(result.outcome, outcome::not_run);
    EXPECT_TRUE(result.is_primary_lost);
    target.refuses_connections = true;
    const execution refused = write("INSERT <a>");
    EXPECT_EQ(refused.outcome, outcome::not_run);
    EXPECT_TRUE(refused.is_primary_lost);
    EXPECT_FALSE(refused.was_sent);
}

// Guards against data older than the session or the proof.
TEST_F(execution_test, read_behind_the_required_point_is_discarded) {
    EXPECT_EQ(read({{3, 10}, {3, 9}}).outcome, outcome::ok);
    for (const coordination::required_points& required :
         {coordination::required_points{{3, 11}, {}}, coordination::required_points{{}, {3, 11}},
          coordination::required_points{{4, 1}, {}}}) {
        const execution behind = read(required);
        EXPECT_EQ(behind.outcome, outcome::not_run);
        EXPECT_TRUE(behind.is_behind);
        EXPECT_TRUE(behind.results.empty());
    }
}

// Guards against a commit that takes effect after its caller was told that it did not.
TEST_F(execution_test, resolving_a_commit_prevents_it) {
    target.has_key_table = true;
    execute_request resolve = make_request("", "k");
    resolve.statements.clear();
    resolve.operation = execute_operation::resolve_commit;
    const execution resolved = run(resolve);
    EXPECT_EQ(resolved.outcome, outcome::not_run);
    EXPECT_EQ(resolved.code, error_code::transaction_gone);
    EXPECT_TRUE(resolved.needs_acknowledgement) << "only an acknowledged key prevents the commit";
    const execution again = run(resolve);
    EXPECT_EQ(again.outcome, outcome::not_run);
    EXPECT_EQ(again.code, error_code::transaction_gone);
    execute_request commit = resolve;
    commit.operation = execute_operation::commit;
    tests::fake_session session(target);
    session.run({{"BEGIN", {}}, {"INSERT <a>", {}}}, in_future());
    const execution late = runner.run_commit(session, commit, description, in_future());
    EXPECT_EQ(late.outcome, outcome::not_run);
    EXPECT_TRUE(target.rows.empty());
}

// Guards against a resolution that denies a commit which took effect.
TEST_F(execution_test, resolving_finds_a_commit_whose_answer_was_lost) {
    target.has_key_table = true;
    execute_request commit = make_request("", "k");
    commit.statements.clear();
    commit.operation = execute_operation::commit;
    target.get_fate = [](const auto& statements) {
        return statements.size() > 1 && statements[1].sql == "COMMIT"
                   ? exchange_fate::lost_after_running
                   : exchange_fate::normal;
    };
    {
        tests::fake_session session(target);
        session.run({{"BEGIN", {}}, {"INSERT <a>", {}}}, in_future());
        EXPECT_EQ(runner.run_commit(session, commit, description, in_future()).outcome,
                  outcome::unknown);
    }
    commit.operation = execute_operation::resolve_commit;
    EXPECT_EQ(run(commit).outcome, outcome::ok);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against untrue outcomes under any sequence of lost exchanges, with and without a key.
TEST_F(execution_test, random_losses_never_make_an_outcome_untrue) {
    std::mt19937_64 random(tests::get_seed("execution", 808));
    target.get_fate = [&](const auto&) {
        return random() % 3 > 0 ? exchange_fate::normal : static_cast<exchange_fate>(random() % 4);
    };
    int seen[3] = {0, 0, 0};
    for (int round = 0; round < 20'000; ++round) {
        const std::string sql = "INSERT <" + std::to_string(round) + ">";
        const bool is_keyed = random() % 2 == 0;
        const std::string key = is_keyed ? std::to_string(round) : "";
        const int attempts = is_keyed ? 1 + static_cast<int>(random() % 4) : 1;
        bool may_have_run = false;
        for (int i = 0; i < attempts; ++i) {
            const int before = target.caller_sends;
            const execution result = write(sql, key);
            const int count = target.rows.contains(sql) ? target.rows[sql] : 0;
            ++seen[static_cast<int>(result.outcome)];
            ASSERT_LE(count, 1) << sql;
            ASSERT_LE(target.caller_sends - before, is_keyed ? 2 : 1) << sql;
            if (result.outcome == outcome::ok) {
                ASSERT_EQ(count, 1) << sql;
                ASSERT_EQ(result.results.size(), 1U);
            } else if (result.outcome == outcome::not_run && !may_have_run) {
                ASSERT_EQ(count, 0) << sql;
            }
            if (!result.was_sent) {
                ASSERT_EQ(target.caller_sends, before) << sql;
            }
            // not_run speaks of one send; an earlier one with the same key may have run.
            may_have_run = may_have_run || result.outcome != outcome::not_run;
        }
        ASSERT_EQ(target.sessions, 0);
    }
    for (const int count : seen) {
        EXPECT_GT(count, 500) << "every outcome has to occur";
    }
}

}  // namespace
}  // namespace hornbeamhook::proxy
