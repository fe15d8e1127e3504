#include "proxy/home_service.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include "proxy/transaction_service.h"
#include "support/fake_groups.h"
#include "support/fake_target.h"

namespace hornbeamhook::proxy {
namespace {

using protocol::error_code;
using protocol::execute_answer;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;
using std::chrono::milliseconds;

// Long enough that no test depends on the speed of the machine.
constexpr std::chrono::seconds answer_timeout{20};

protocol::proxy_settings make_settings() {
    protocol::proxy_settings settings;
    settings.vm = "vm1";
    settings.worker_threads = 8;
    return settings;
}

/** A home of the three targets of pool p; "primary" is primary of term 3. */
class home_service_test : public testing::Test {
protected:
    home_service_test() {
        target.status = make_status(10, true);
        target.has_key_table = true;
        groups.set([](state::fleet_view& view) {
            auto config = std::make_shared<state::configuration>();
            config->version = 1;
            state::pool_description& pool = config->pools["p"];
            pool.name = "p";
            for (const char* name : {"primary", "replica1", "replica2"}) {
                pool.targets.push_back({name, "127.0.0.1:1", "a", "a-1", 20, 3, false});
                state::member self;
                self.vm = "vm1";
                view.homes[std::string("p/") + name] = {self};
            }
            view.config = config;
            view.self.vm = "vm1";
        });
        set_positions(10);
    }

    static state::target_status make_status(state::log_position position, bool is_primary,
                                            state::term_number term = 3) {
        state::target_status status;
        status.accepted_term = term;
        status.follow_term = term;
        status.position = position;
        status.is_primary = is_primary;
        return status;
    }

    /** All targets report this position under term 3. */
    void set_positions(state::log_position position) {
        groups.set_group("p", [&](state::group_view& view) {
            view.pool = "p";
            view.majority = 2;
            view.primary = state::primary_view{"primary", 3};
            view.targets["primary"].status = make_status(position, true);
            view.targets["replica1"].status = make_status(position, false);
            view.targets["replica2"].status = make_status(position, false);
        });
    }

    execute_request make_request(const std::string& sql, bool is_write) {
        execute_request request;
        request.exchange_id = "entry/" + std::to_string(next_exchange++);
        request.pool = "p";
        request.target = is_write ? "primary" : "replica1";
        request.caller = "c";
        request.is_write = is_write;
        request.statements = {{sql, {}}};
        request.deadline = answer_timeout;
        return request;
    }

    std::future<execute_answer> start(execute_request request) {
        auto promise = std::make_shared<std::promise<execute_answer>>();
        const auto respond = [promise](execute_answer answer) {
            promise->set_value(std::move(answer));
        };
        const bool is_transaction =
            request.operation == execute_operation::begin ||
            request.operation == execute_operation::transaction_statements ||
            request.operation == execute_operation::commit ||
            request.operation == execute_operation::rollback;
        if (is_transaction) {
            transactions.handle(std::move(request), respond);
        } else {
            home.handle(std::move(request), respond);
        }
        return promise->get_future();
    }

    execute_answer call(execute_request request) {
        std::future<execute_answer> answer = start(std::move(request));
        if (answer.wait_for(answer_timeout) != std::future_status::ready) {
            ADD_FAILURE() << "no answer";
            return {};
        }
        return answer.get();
    }

    static bool is_pending(std::future<execute_answer>& answer) {
        return answer.wait_for(milliseconds(30)) == std::future_status::timeout;
    }

    execute_request make_step(execute_operation operation, std::uint64_t number) {
        execute_request request = make_request("INSERT <t>", true);
        request.operation = operation;
        request.transaction = number;
        request.incarnation = 77;
        if (operation != execute_operation::transaction_statements) {
            request.statements.clear();
        }
        return request;
    }

    std::atomic<std::uint64_t> next_exchange = 1;
    const protocol::proxy_settings settings = make_settings();
    tests::fake_groups groups;
    tests::fake_target target;
    data_metrics metrics;
    home_runtime runtime{settings, 77, groups, target, metrics};
    home_service home{runtime};
    transaction_service transactions{runtime};
};

// Guards against an answer before a majority holds the write.
TEST_F(home_service_test, write_is_answered_after_a_majority_holds_it) {
    std::future<execute_answer> answer = start(make_request("INSERT <a>", true));
    EXPECT_TRUE(is_pending(answer));
    groups.set_group("p", [](state::group_view& view) {
        view.targets["primary"].status = make_status(11, true);
    });
    EXPECT_TRUE(is_pending(answer)) << "one of three is no majority";
    set_positions(11);
    ASSERT_EQ(answer.wait_for(answer_timeout), std::future_status::ready);
    const execute_answer result = answer.get();
    EXPECT_EQ(result.outcome, outcome::ok);
    EXPECT_EQ(result.point, (state::log_point{3, 11}));
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against a write acknowledged for a primary that was replaced.
TEST_F(home_service_test, superseded_write_is_unknown) {
    std::future<execute_answer> answer = start(make_request("INSERT <a>", true));
    groups.set_group("p", [](state::group_view& view) {
        view.targets["replica1"].status = make_status(10, true, 4);
        view.targets["replica2"].status = make_status(10, false, 4);
    });
    ASSERT_EQ(answer.wait_for(answer_timeout), std::future_status::ready);
    EXPECT_EQ(answer.get().outcome, outcome::unknown);
}

// Guards against a write that waits forever for replicas that stopped.
TEST_F(home_service_test, unacknowledged_write_is_unknown_at_its_deadline) {
    execute_request request = make_request("INSERT <a>", true);
    request.deadline = milliseconds(200);
    const execute_answer answer = call(request);
    EXPECT_EQ(answer.outcome, outcome::unknown);
    EXPECT_EQ(answer.code, error_code::outcome_unknown);
}

// Guards against a message that arrives twice and runs twice.
TEST_F(home_service_test, duplicate_exchange_id_does_not_run) {
    const execute_request request = make_request("INSERT <a>", true);
    std::future<execute_answer> first = start(request);
    const execute_answer second = call(request);
    EXPECT_EQ(second.outcome, outcome::unknown) << "the first copy may have run";
    set_positions(11);
    ASSERT_EQ(first.wait_for(answer_timeout), std::future_status::ready);
    EXPECT_EQ(first.get().outcome, outcome::ok);
    EXPECT_EQ(target.rows["INSERT <a>"], 1);
}

// Guards against new work where it must not go; nothing may reach the target.
TEST_F(home_service_test, refuses_what_does_not_belong_here) {
    const auto get_code = [&](bool is_write) {
        const execute_answer answer = call(make_request("INSERT <a>", is_write));
        EXPECT_EQ(answer.outcome, outcome::not_run);
        EXPECT_FALSE(answer.was_sent);
        return answer.code;
    };
    execute_request wrong = make_request("INSERT <a>", true);
    wrong.target = "replica1";
    EXPECT_EQ(call(wrong).code, error_code::not_home);
    wrong.target = "other";
    wrong.exchange_id += "b";
    EXPECT_EQ(call(wrong).code, error_code::not_home);
    groups.set([](state::fleet_view& view) { view.paused_pools = {"p"}; });
    EXPECT_EQ(get_code(true), error_code::no_primary);
    groups.set([](state::fleet_view& view) {
        view.paused_pools.clear();
        view.is_configuration_confirmed = false;
    });
    EXPECT_EQ(get_code(true), error_code::configuration_unconfirmed);
    EXPECT_EQ(get_code(false), error_code::configuration_unconfirmed);
    groups.set([](state::fleet_view& view) {
        view.is_configuration_confirmed = true;
        auto config = std::make_shared<state::configuration>(*view.config);
        for (state::target_description& each : config->pools["p"].targets) {
            each.is_leaving = true;
        }
        view.config = config;
    });
    EXPECT_EQ(get_code(true), error_code::not_home);
    EXPECT_EQ(get_code(false), error_code::not_home);
    groups.set_group("p", [](state::group_view& view) { view.primary.reset(); });
    groups.set([](state::fleet_view& view) {
        auto config = std::make_shared<state::configuration>(*view.config);
        for (state::target_description& each : config->pools["p"].targets) {
            each.is_leaving = false;
        }
        view.config = config;
    });
    EXPECT_EQ(get_code(true), error_code::no_primary);
    groups.set([](state::fleet_view& view) { view.homes.clear(); });
    EXPECT_EQ(get_code(false), error_code::not_home);
    runtime.begin_drain();
    EXPECT_EQ(get_code(false), error_code::draining);
    EXPECT_EQ(target.exchanges, 0);
}

// Guards against a home whose link to the primary is broken and that keeps the writes of all
// entries until their deadlines although the other home reaches the primary.
TEST_F(home_service_test, writes_are_refused_while_the_polls_of_the_primary_fail) {
    const auto set_failures = [&](int failures) {
        groups.set_group("p", [&](state::group_view& view) {
            view.targets["primary"].consecutive_failures = failures;
        });
    };
    set_failures(2);
    const execute_answer answer = call(make_request("INSERT <a>", true));
    EXPECT_EQ(answer.outcome, outcome::not_run);
    EXPECT_EQ(answer.code, error_code::not_home);
    EXPECT_EQ(call(make_step(execute_operation::begin, 0)).code, error_code::not_home);
    EXPECT_EQ(target.exchanges, 0);
    set_failures(1);
    std::future<execute_answer> later = start(make_request("INSERT <a>", true));
    set_positions(11);
    ASSERT_EQ(later.wait_for(answer_timeout), std::future_status::ready);
    EXPECT_EQ(later.get().outcome, outcome::ok);
}

// Guards against a strict read served without a proof from after its arrival.
TEST_F(home_service_test, strict_read_waits_for_a_proof) {
    execute_request request = make_request("SELECT", false);
    request.policy.policy = state::read_policy::kind::strict;
    request.target = "primary";
    std::future<execute_answer> answer = start(request);
    EXPECT_TRUE(is_pending(answer));
    groups.set_group("p", [](state::group_view& view) {
        view.proof = state::freshness_proof{
            std::chrono::steady_clock::now() - std::chrono::hours(1), {3, 10}, 3};
    });
    EXPECT_TRUE(is_pending(answer)) << "the proof is older than the request";
    EXPECT_EQ(target.exchanges, 0);
    groups.set_group("p", [](state::group_view& view) {
        view.proof = state::freshness_proof{std::chrono::steady_clock::now(), {3, 10}, 3};
    });
    ASSERT_EQ(answer.wait_for(answer_timeout), std::future_status::ready);
    EXPECT_EQ(answer.get().outcome, outcome::ok);
}

// Guards against a replica that answers although it is behind the session, and against a replica
// whose status was better when it was polled than on the connection that reads.
TEST_F(home_service_test, read_behind_its_token_goes_elsewhere) {
    execute_request request = make_request("SELECT", false);
    request.required = {3, 12};
    const execute_answer behind = call(request);
    EXPECT_EQ(behind.outcome, outcome::not_run);
    EXPECT_TRUE(behind.is_behind);
    EXPECT_EQ(target.exchanges, 0);
    set_positions(12);
    request.exchange_id += "b";
    const execute_answer discarded = call(request);
    EXPECT_EQ(discarded.outcome, outcome::not_run);
    EXPECT_TRUE(discarded.is_behind);
    EXPECT_TRUE(discarded.results.empty());
    EXPECT_EQ(target.exchanges, 1);
    target.status.position = 12;
    request.exchange_id += "c";
    EXPECT_EQ(call(request).outcome, outcome::ok);
}

// Guards against a primary that cannot be reached and is not reported.
TEST_F(home_service_test, unreachable_primary_is_reported) {
    target.refuses_connections = true;
    const execute_answer answer = call(make_request("INSERT <a>", true));
    EXPECT_EQ(answer.outcome, outcome::not_run);
    EXPECT_EQ(answer.code, error_code::no_primary);
    EXPECT_EQ(groups.get_failures(), std::vector<std::string>{"primary"});
}

// Guards against a transaction whose statements are seen before the commit, or not after it.
TEST_F(home_service_test, transaction_commits_as_a_whole) {
    execute_request begin = make_step(execute_operation::begin, 0);
    const execute_answer opened = call(begin);
    ASSERT_EQ(opened.outcome, outcome::ok) << opened.message;
    EXPECT_EQ(transactions.get_open(), 1U);
    EXPECT_EQ(
        call(make_step(execute_operation::transaction_statements, opened.transaction)).outcome,
        outcome::ok);
    EXPECT_TRUE(target.rows.empty());
    execute_request commit = make_step(execute_operation::commit, opened.transaction);
    commit.idempotency_key = "k";
    std::future<execute_answer> answer = start(commit);
    EXPECT_TRUE(is_pending(answer));
    set_positions(11);
    ASSERT_EQ(answer.wait_for(answer_timeout), std::future_status::ready);
    EXPECT_EQ(answer.get().outcome, outcome::ok);
    EXPECT_EQ(target.rows["INSERT <t>"], 1);
    EXPECT_EQ(transactions.get_open(), 0U);
    EXPECT_EQ(target.sessions, 0);
    const execute_answer gone =
        call(make_step(execute_operation::transaction_statements, opened.transaction));
    EXPECT_EQ(gone.code, error_code::transaction_gone);
}

// Guards against abandoned transactions, transactions of other callers and of an earlier process.
TEST_F(home_service_test, transaction_ends_at_its_limits) {
    const execute_answer opened = call(make_step(execute_operation::begin, 0));
    ASSERT_EQ(opened.outcome, outcome::ok);
    execute_request foreign =
        make_step(execute_operation::transaction_statements, opened.transaction);
    foreign.caller = "other";
    EXPECT_EQ(call(foreign).code, error_code::transaction_gone);
    execute_request restarted =
        make_step(execute_operation::transaction_statements, opened.transaction);
    restarted.incarnation = 76;
    EXPECT_EQ(call(restarted).code, error_code::transaction_gone);
    call(make_step(execute_operation::transaction_statements, opened.transaction));
    transactions.expire(std::chrono::steady_clock::now() + settings.transaction_idle_timeout);
    EXPECT_EQ(transactions.get_open(), 0U);
    EXPECT_EQ(call(make_step(execute_operation::commit, opened.transaction)).code,
              error_code::transaction_gone);
    EXPECT_TRUE(target.rows.empty());
}

// Guards against a place that is lost when a transaction ends, which would block later ones.
TEST_F(home_service_test, transactions_wait_for_room_and_give_it_back) {
    std::atomic<int> opened = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            for (int round = 0; round < 50; ++round) {
                const execute_answer begin = call(make_step(execute_operation::begin, 0));
                const execute_answer end =
                    call(make_step(execute_operation::rollback, begin.transaction));
                opened += begin.outcome == outcome::ok && end.outcome == outcome::ok ? 1 : 0;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(opened, 300);
    EXPECT_EQ(transactions.get_open(), 0U);
    gauge_sample gauges;
    runtime.add_gauges(gauges);
    EXPECT_EQ(gauges.exchanges_in_flight, 0U);
}

}  // namespace
}  // namespace hornbeamhook::proxy
