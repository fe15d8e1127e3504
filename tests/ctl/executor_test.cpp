#include "ctl/executor.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>

#include "ctl/credential.h"
#include "ctl/parser.h"
#include "state/member.h"
#include "support/configuration_samples.h"
#include "support/platform_fixture.h"
#include "support/random_seed.h"
#include "transport/http_server.h"

namespace hornbeamhook::ctl {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using std::chrono::milliseconds;

/** Answers of a script, and the error that ended it. */
struct script_outcome {
    std::vector<statement_answer> answers;
    std::optional<command_error> error;
};

/** Runs a script like the program does. */
script_outcome run_script_text(
    executor& session, const std::string& input, const std::function<void()>& after_base = [] {}) {
    script_outcome outcome;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(statements, parse_statements(input));
            session.read_base();
            after_base();
            for (const statement& item : statements) {
                BOOST_LEAF_AUTO(answer, session.run(item));
                outcome.answers.push_back(std::move(answer));
            }
            return {};
        },
        [&](const command_error& error) { outcome.error = error; },
        [&] {
            outcome.error = command_error{command_failure::usage, "error of another type", {}};
        });
    return outcome;
}

/** A proxy that answers from canned JSON. */
class fake_proxy {
public:
    explicit fake_proxy(std::string secret)
        : address_(tests::get_free_address()),
          server_({.address = address_}, [this, secret = std::move(secret)](
                                             const transport::http_request& request,
                                             const transport::http_responder& respond) {
              const std::scoped_lock lock(mutex_);
              last_body_ = request.body;
              ++calls_;
              if (request.fleet_secret != secret) {
                  respond({403, R"({"code":"forbidden"})"});
              } else if (request.path == "/internal/v1/status") {
                  respond({200, status_.dump()});
              } else if (request.path == "/internal/v1/sessions") {
                  const json no_path{{"error", {{"code", "bad_request"}}}};
                  respond(sessions_.is_null() ? transport::http_response{404, no_path.dump()}
                                              : transport::http_response{200, sessions_.dump()});
              } else {
                  respond({change_status_, json{{"error", {{"code", code_}}}}.dump()});
              }
          }) {
        server_.start();
    }

    void set_status(json status) {
        const std::scoped_lock lock(mutex_);
        status_ = std::move(status);
    }

    /** Without this the proxy does not know the path, like an older version. */
    void set_sessions(json sessions) {
        const std::scoped_lock lock(mutex_);
        sessions_ = std::move(sessions);
    }

    void set_change_answer(int status, const std::string& code) {
        const std::scoped_lock lock(mutex_);
        change_status_ = status;
        code_ = code;
    }

    int get_calls() {
        const std::scoped_lock lock(mutex_);
        return calls_;
    }

    json get_last_body() {
        const std::scoped_lock lock(mutex_);
        return json::parse(last_body_);
    }

    protocol::vm_entry get_entry(const std::string& vm) const {
        return {vm, address_, "cairo", "cairo-1", false};
    }

private:
    std::mutex mutex_;
    json status_ = json::object();
    json sessions_;
    int change_status_ = 200;
    std::string code_;
    int calls_ = 0;
    std::string last_body_;
    std::string address_;
    transport::http_server server_;
};

class executor_test : public tests::platform_fixture {
protected:
    executor_test() : client_(settings_.listen_address, milliseconds(2000)) {}

    ctl_settings make_settings(const std::string& name = "ada") const {
        ctl_settings result;
        result.platform_address = settings_.listen_address;
        result.fleet_secret = "secret";
        result.operator_name = name;
        result.store_timeout = milliseconds(1000);
        result.proxy_timeout = milliseconds(500);
        result.commit_timeout = milliseconds(20'000);
        return result;
    }

    script_outcome run(const std::string& input, const std::string& name = "ada") {
        executor session(make_settings(name), false);
        return run_script_text(session, input);
    }

    /** Runs a script that has to succeed. */
    std::vector<statement_answer> run_well(const std::string& input) {
        script_outcome outcome = run(input);
        EXPECT_FALSE(outcome.error) << (outcome.error ? outcome.error->message : "");
        return std::move(outcome.answers);
    }

    json get_value(const std::string& table, const std::string& key) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<json> {
                BOOST_LEAF_AUTO(row, client_.get_row(table, key));
                return row ? row->value : json();
            },
            [] { return json("error"); });
    }

    /** The version of the log; 0 before the first change. */
    std::uint64_t get_version() {
        const json head = get_value("config", "head");
        return head.is_object() ? head["version"].get<std::uint64_t>() : 0;
    }

    protocol::table_client client_;
};

// Guards against objects that differ from the statement that created them.
TEST_F(executor_test, creates_alters_and_drops) {
    const auto answers = run_well(
        "create pool p with queue_length = 7, max_age_ms = 250;"
        "create target p/a with address = 127.0.0.1:5432, place = cairo, data_center = cairo-1;"
        "alter target p/a set slots = 5; drain target p/a;"
        "show targets of p; show pools;"
        "drop pool p; show targets;");
    ASSERT_EQ(answers.size(), 8U);
    EXPECT_EQ(answers[0].fields["version"], 1);
    EXPECT_EQ(answers[4].table->rows[0]["slots"], 5);
    EXPECT_EQ(answers[4].table->rows[0]["is_leaving"], true);
    EXPECT_EQ(answers[4].table->rows[0]["version"], 4);
    EXPECT_EQ(answers[5].table->rows[0]["default_read_policy"], (json{{"max_age_ms", 250}}));
    EXPECT_TRUE(answers[7].table->rows.empty());
    EXPECT_EQ(get_version(), 5U);
}

// Guards against credentials that are stored in clear, shown later, or do not match their hash.
TEST_F(executor_test, credentials_are_shown_once_and_stored_as_a_hash) {
    const auto answers = run_well(
        "create caller van with read = (*), write = (stock, recipes); show callers;"
        "alter caller van set credential = new; create token_key k1; show token_keys;"
        "select * from audit; show versions;");
    const std::string first = answers[0].fields["credential"];
    const std::string second = answers[2].fields["credential"];
    EXPECT_NE(first, second);
    EXPECT_GE(first.size(), 40U);
    const json row = answers[1].table->rows[0];
    EXPECT_EQ(row["credential_hash"], hash_credential(first));
    EXPECT_EQ(row["read"], "*");
    EXPECT_EQ(row["write"], "recipes, stock");
    const std::string secret =
        get_value("config_change", "000000000003")["puts"][0]["value"]["secret"];
    for (std::size_t i = 3; i < answers.size(); ++i) {
        const std::string shown = answers[i].text + answers[i].fields.dump() +
                                  (answers[i].table ? json(answers[i].table->rows).dump() : "");
        EXPECT_EQ(shown.find(secret), std::string::npos);
    }
    const std::string stored = get_value("config_change", "000000000001").dump() +
                               get_value("config_change", "000000000002").dump();
    EXPECT_EQ(stored.find(first), std::string::npos);
    EXPECT_EQ(stored.find(second), std::string::npos);
}

// Guards against rights of other pools lost when one list is replaced.
TEST_F(executor_test, altering_read_rights_keeps_write_rights) {
    const auto answers = run_well(
        "create caller c with read = (a, b), write = (b, c); alter caller c set read = d;"
        "show callers;");
    EXPECT_EQ(answers[2].table->rows[0]["read"], "d");
    EXPECT_EQ(answers[2].table->rows[0]["write"], "b, c");
}

// Guards against a wrong statement that stops without place or changes something.
TEST_F(executor_test, stops_at_the_first_error_with_its_place) {
    struct wrong_case {
        std::string statement;
        std::string text;
        command_failure failure = command_failure::rejected;
    };
    const std::vector<wrong_case> cases{
        {"alter pool q set queue_length = 1;", "does not exist"},
        {"create pool p;", "already exists"},
        {"create pool q with length = 1;", "allowed: queue_length"},
        {"create pool q with queue_length = 0;", "1 to 100000"},
        {"create pool q with default_read_policy = loose;", "own_writes or strict"},
        {"create target q/a with address = 127.0.0.1:1, place = a, data_center = b;",
         "pool \"q\" does not exist"},
        {"create target p/a with address = host:1, place = a, data_center = b;", "ip:port"},
        {"create caller c with credential = mine;", "credentials are generated"},
        {"drop caller nobody;", "does not exist"},
        {"drain vm vm-9;", "not in the VM list"},
        {"explain failover 1;", "not recorded"},
        {"alter pool p if version 9 set queue_length = 1;", "conflict", command_failure::conflict},
        {"change primary of p to x;", "does not exist"},
    };
    for (const wrong_case& item : cases) {
        run("drop pool p;");
        const script_outcome outcome =
            run("create pool p;\n  " + item.statement + "\ncreate pool after;");
        ASSERT_TRUE(outcome.error) << item.statement;
        EXPECT_EQ(outcome.answers.size(), 1U) << item.statement;
        EXPECT_EQ(outcome.error->at.line, 2) << item.statement;
        EXPECT_GE(outcome.error->at.column, 3) << item.statement;
        EXPECT_EQ(outcome.error->failure, item.failure) << item.statement;
        EXPECT_NE(outcome.error->message.find(item.text), std::string::npos)
            << outcome.error->message;
    }
    EXPECT_EQ(run("drop pool after;").error->message, "pool after does not exist");
}

// Guards against a dry run that changes something or shows too little.
TEST_F(executor_test, a_dry_run_shows_before_and_after_and_changes_nothing) {
    run_well("create pool p with queue_length = 3;");
    executor session(make_settings(), true);
    const script_outcome outcome =
        run_script_text(session, "alter pool p set queue_length = 4; drop pool p;");
    ASSERT_EQ(outcome.answers.size(), 2U);
    EXPECT_EQ(outcome.answers[0].fields["before"]["queue_length"], 3);
    EXPECT_EQ(outcome.answers[0].fields["after"]["queue_length"], 4);
    EXPECT_TRUE(outcome.answers[1].fields["after"].is_null());
    EXPECT_EQ(get_version(), 1U);
}

// Guards against an operator who overwrites what another one changed after the script was parsed.
TEST_F(executor_test, conflicts_with_changes_made_after_parsing) {
    run_well("create pool p; create pool q;");
    executor session(make_settings("bob"), false);
    const script_outcome outcome =
        run_script_text(session,
                        "alter pool q set queue_length = 8;\nalter pool q set queue_length = 9;\n"
                        "alter pool p set queue_length = 5;",
                        [&] { run_well("alter pool p set queue_length = 77;"); });
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->failure, command_failure::conflict);
    EXPECT_EQ(outcome.error->at.line, 3);
    EXPECT_EQ(outcome.answers.size(), 2U) << "own changes are no conflict";
    const auto answers = run_well("show pools;");
    EXPECT_EQ(answers[0].table->rows[0]["queue_length"], 77);
    EXPECT_EQ(answers[0].table->rows[1]["queue_length"], 9);
}

// Guards against two operators who both win, or both lose, on one object.
TEST_F(executor_test, racing_operators_have_one_winner_per_object) {
    run_well("create pool p;");
    constexpr int racers = 4;
    std::vector<script_outcome> outcomes(racers);
    std::atomic<int> ready = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < racers; ++i) {
        threads.emplace_back([&, i] {
            executor session(make_settings("op" + std::to_string(i)), false);
            const std::string number = std::to_string(i + 1);
            outcomes[i] = run_script_text(
                session,
                "create pool own" + number + "; alter pool p set queue_length = " + number + ";",
                [&] {
                    ++ready;
                    while (ready < racers) {
                        std::this_thread::yield();
                    }
                });
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    int winners = 0;
    int winner = 0;
    for (int i = 0; i < racers; ++i) {
        EXPECT_GE(outcomes[i].answers.size(), 1U) << "a change to an own object is never lost";
        if (!outcomes[i].error) {
            ++winners;
            winner = i + 1;
        } else {
            EXPECT_EQ(outcomes[i].error->failure, command_failure::conflict);
        }
    }
    EXPECT_EQ(winners, 1);
    const auto answers = run_well("show pools of p; show pools;");
    EXPECT_EQ(answers[0].table->rows[0]["queue_length"], winner);
    EXPECT_EQ(answers[1].table->rows.size(), 1U + racers);
}

// Guards against a change that is repeated, or reported as failed, when its answer is lost.
TEST_F(executor_test, a_lost_answer_is_resolved_by_change_id) {
    set_faults({{"lose_answers", 1}, {"lose_answers_of", "config"}});
    const auto answers = run_well("create pool p; select count() as n from audit;");
    EXPECT_EQ(answers[0].fields["version"], 1);
    EXPECT_EQ(answers[1].table->rows[0]["n"], 1);
    EXPECT_EQ(get_version(), 1U);
    EXPECT_EQ(get_status()["lost_answers"], 1);
}

// Guards against an answer that stays lost and is reported as "nothing changed".
TEST_F(executor_test, an_unresolved_lost_answer_is_unknown_and_can_be_looked_up) {
    ctl_settings settings = make_settings();
    settings.store_timeout = milliseconds(200);
    // Shorter than one call, so that no time is left to read back.
    settings.commit_timeout = milliseconds(100);
    executor session(settings, false);
    const script_outcome outcome = run_script_text(session, "create pool p;", [&] {
        set_faults({{"lose_answers", 1'000'000}, {"lose_answers_of", "config"}});
    });
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->failure, command_failure::unknown);
    const std::size_t begin = outcome.error->message.find("show change '");
    ASSERT_NE(begin, std::string::npos) << outcome.error->message;
    set_faults({{"lose_answers", 0}});
    const auto answers = run_well(outcome.error->message.substr(begin, 13 + 32 + 2));
    EXPECT_EQ(answers[0].fields["took_effect"], true);
}

// Guards against an outage that hangs the tool or is reported as a rejected statement.
TEST_F(executor_test, an_outage_is_reported_as_unavailable) {
    set_faults({{"outage", "refuse"}});
    for (const char* statement :
         {"create pool p;", "show pools;", "select * from usage;", "drain vm v;", "wait;"}) {
        const script_outcome outcome = run(statement);
        ASSERT_TRUE(outcome.error) << statement;
        EXPECT_EQ(outcome.error->failure, command_failure::unavailable) << statement;
    }
    set_faults({{"outage", "none"}});
    EXPECT_EQ(get_version(), 0U);
}

// Guards against changes without an audit row, or audit rows that say too little.
TEST_F(executor_test, each_change_has_an_audit_row) {
    run_well("create pool p with queue_length = 3;");
    run_well("alter pool p set queue_length = 4;");
    executor session(make_settings("bob"), false);
    run_script_text(session, "alter pool p set queue_length = 5;",
                    [&] { run_well("alter pool p set queue_length = 6;"); });
    const auto answers = run_well(
        "select kind, vm, subject, version, details from audit where kind like 'configuration%' "
        "order by version;");
    const auto& rows = answers[0].table->rows;
    ASSERT_EQ(rows.size(), 4U);
    int failed = 0;
    for (const json& row : rows) {
        if (row["kind"] == "configuration_failed") {
            ++failed;
            EXPECT_EQ(row["vm"], "operator:bob");
            EXPECT_EQ(row["details"]["outcome"], "not made");
        } else if (row["version"] == 2) {
            EXPECT_EQ(row["details"]["before"]["queue_length"], 3);
            EXPECT_EQ(row["details"]["after"]["queue_length"], 4);
            EXPECT_EQ(row["details"]["author"], "ada");
            EXPECT_EQ(row["details"]["outcome"], "committed");
        }
    }
    EXPECT_EQ(failed, 1);
}

// Guards against audit rows of two sessions that start in the same millisecond and overwrite each
// other.
TEST_F(executor_test, sessions_that_start_together_have_audit_rows_of_their_own) {
    std::vector<std::unique_ptr<executor>> sessions;
    for (int i = 0; i < 20; ++i) {
        sessions.push_back(std::make_unique<executor>(make_settings(), false));
    }
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        EXPECT_FALSE(
            run_script_text(*sessions[i], "create pool p" + std::to_string(i) + ";").error);
    }
    EXPECT_EQ(run_well("select count() as n from audit;")[0].table->rows[0]["n"], 20);
}

// Guards against changes by anyone once operators exist, and against rights that reach too far.
TEST_F(executor_test, operators_need_credential_and_right) {
    const auto answers =
        run_well("create pool p; create pool q; create operator bob with write = p;");
    ctl_settings settings = make_settings("bob");
    const auto try_as = [&](const std::string& statement) {
        executor session(settings, false);
        return run_script_text(session, statement);
    };
    EXPECT_EQ(try_as("alter pool p set queue_length = 2;").error->failure, command_failure::denied);
    settings.credential = answers[2].fields["credential"];
    EXPECT_FALSE(try_as("alter pool p set queue_length = 2;").error);
    EXPECT_EQ(try_as("alter pool q set queue_length = 2;").error->failure, command_failure::denied);
    EXPECT_EQ(try_as("create caller c;").error->failure, command_failure::denied);
    EXPECT_EQ(run("create pool r;").error->failure, command_failure::denied);
    const auto audit = try_as("select count() as n from audit where kind = access_denied;").answers;
    EXPECT_EQ(audit[0].table->rows[0]["n"], 4);
}

// Guards against a wait that ends before all live proxies have the version, or never.
TEST_F(executor_test, wait_checks_every_live_proxy) {
    fake_proxy one("secret");
    fake_proxy two("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(one.get_entry("vm-1"))));
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(two.get_entry("vm-2"))));
    EXPECT_TRUE(
        static_cast<bool>(client_.put_vm({"vm-3", "127.0.0.1:1", "cairo", "cairo-1", false})));
    one.set_status({{"configuration_version", 1}});
    two.set_status({{"configuration_version", 0}});
    run_well("create pool p;");
    const script_outcome behind = run("wait within 0;");
    ASSERT_TRUE(behind.error);
    EXPECT_EQ(behind.error->failure, command_failure::wait_expired);
    EXPECT_NE(behind.error->message.find("vm-2 (0)"), std::string::npos) << behind.error->message;
    EXPECT_EQ(behind.error->message.find("vm-3"), std::string::npos) << "refused means not live";
    two.set_status({{"configuration_version", 1}});
    const auto answers = run_well("wait for version 1 within 20; show vms;");
    EXPECT_EQ(answers[0].fields["proxies"], 2);
    EXPECT_EQ(answers[1].table->rows[2]["answers"], "refused");
}

// Guards against a wait that ends early because the VM list lags behind the fleet.
TEST_F(executor_test, wait_asks_live_members_that_the_list_does_not_show) {
    fake_proxy listed("secret");
    fake_proxy unlisted("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(listed.get_entry("vm-1"))));
    state::member member;
    member.vm = "vm-2";
    member.address = unlisted.get_entry("vm-2").address;
    listed.set_status(
        {{"configuration_version", 1}, {"live_members", json::array({state::to_json(member)})}});
    unlisted.set_status({{"configuration_version", 0}});
    const script_outcome behind = run("create pool p; wait within 0;");
    ASSERT_TRUE(behind.error);
    EXPECT_NE(behind.error->message.find("vm-2 (0)"), std::string::npos) << behind.error->message;
    unlisted.set_status({{"configuration_version", 1}});
    EXPECT_EQ(run_well("wait within 20;")[0].fields["proxies"], 2);
}

// Guards against reports of proxies that are dropped or mixed up.
TEST_F(executor_test, shows_what_proxies_report) {
    fake_proxy proxy("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(proxy.get_entry("vm-1"))));
    proxy.set_status({{"homes", {{"p/a", {"vm-1", "vm-2"}}, {"q/a", {"vm-3"}}}}});
    const auto answers = run_well("show homes of p;");
    ASSERT_EQ(answers[0].table->rows.size(), 1U);
    EXPECT_EQ(answers[0].table->rows[0]["name"], "p/a");
    EXPECT_EQ(answers[0].table->rows[0]["value"], (json{"vm-1", "vm-2"}));
    EXPECT_EQ(answers[0].table->rows[0]["reported_by"], json{"vm-1"});
}

json make_sessions() {
    return {{"transactions",
             json::array({{{"id", "vm-1/7/3"},
                           {"pool", "p"},
                           {"caller", "bench"},
                           {"target", "a"},
                           {"kind", "write"},
                           {"age_ms", 900},
                           {"idle_ms", 800},
                           {"is_busy", false}},
                          {{"id", "vm-1/7/4"}, {"pool", "q"}, {"target", "a"}, {"age_ms", 5}}})},
            {"callers", json::array({{{"pool", "p"}, {"caller", "bench"}, {"reads", 12}}})},
            {"connections", json::array({{{"target", "p/b"}, {"in_use", 4}, {"quota", 6}},
                                         {{"target", "p/a"}, {"in_use", 1}, {"quota", 6}}})}};
}

// Guards against proxies that are left out when they cannot be asked, and against filters that
// hide them.
TEST_F(executor_test, shows_sessions_and_the_proxies_that_did_not_answer) {
    fake_proxy proxy("secret");
    fake_proxy older("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(proxy.get_entry("vm-1"))));
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(older.get_entry("vm-2"))));
    EXPECT_TRUE(
        static_cast<bool>(client_.put_vm({"vm-3", "127.0.0.1:1", "cairo", "cairo-1", false})));
    proxy.set_sessions(make_sessions());
    const auto answers = run_well(
        "show sessions of p; show connections; show connections of p/b;"
        "select id, age_ms from sessions where age_ms > 1 order by age_ms desc limit 1;");
    const std::vector<json>& sessions = answers[0].table->rows;
    ASSERT_EQ(sessions.size(), 4U);
    EXPECT_EQ(sessions[0]["id"], "vm-1/7/3");
    EXPECT_EQ(sessions[0]["kind"], "transaction");
    EXPECT_EQ(sessions[0]["access"], "write");
    EXPECT_EQ(sessions[1]["kind"], "caller");
    EXPECT_EQ(sessions[1]["reads"], 12);
    EXPECT_EQ(sessions[2]["vm"], "vm-2");
    EXPECT_NE(sessions[2]["note"].get<std::string>().find("404"), std::string::npos);
    EXPECT_EQ(sessions[3]["vm"], "vm-3");
    EXPECT_NE(sessions[3]["note"].get<std::string>().find("not reachable"), std::string::npos);
    ASSERT_EQ(answers[1].table->rows.size(), 4U);
    EXPECT_EQ(answers[1].table->rows[0]["target"], "p/a");
    EXPECT_EQ(answers[1].table->rows[1]["in_use"], 4);
    ASSERT_EQ(answers[2].table->rows.size(), 3U);
    EXPECT_EQ(answers[2].table->rows[0]["target"], "p/b");
    ASSERT_EQ(answers[3].table->rows.size(), 1U);
    EXPECT_EQ(answers[3].table->rows[0]["id"], "vm-1/7/3");
}

// Guards against ending the transaction of another process, or without right or record.
TEST_F(executor_test, ends_a_transaction_at_its_home) {
    fake_proxy proxy("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(proxy.get_entry("vm-1"))));
    proxy.set_sessions(make_sessions());
    EXPECT_EQ(run("end transaction 3;").error->failure, command_failure::rejected);
    EXPECT_EQ(run("end transaction vm-9/7/3;").error->failure, command_failure::rejected);
    EXPECT_EQ(run("end transaction vm-1/8/3;").error->failure, command_failure::rejected);
    run_well("end transaction vm-1/7/3;");
    EXPECT_EQ(proxy.get_last_body(),
              (json{{"incarnation", 7}, {"transaction", 3}, {"pool", "p"}, {"operator", "ada"}}));
    proxy.set_change_answer(404, "transaction_gone");
    EXPECT_EQ(run("end transaction vm-1/7/3;").error->failure, command_failure::rejected);
    proxy.set_change_answer(500, "internal");
    EXPECT_EQ(run("end transaction vm-1/7/3;").error->failure, command_failure::unknown);
    const auto audit = run_well(
        "select details.outcome as outcome from audit where kind = "
        "end_transaction;");
    EXPECT_EQ(audit[0].table->rows.size(), 3U);
    run_well("create operator ada with write = q, credential_hash = " + std::string(64, 'a') + ";");
    const int calls = proxy.get_calls();
    EXPECT_EQ(run("end transaction vm-1/7/3;").error->failure, command_failure::denied);
    EXPECT_EQ(proxy.get_calls(), calls + 2) << "status and sessions are read, nothing is ended";
}

// Guards against a lost or refused change of primary that is reported as done.
TEST_F(executor_test, changes_a_primary_through_a_proxy) {
    run_well(
        "create pool p;"
        "create target p/a with address = 127.0.0.1:5432, place = cairo, data_center = cairo-1;");
    EXPECT_EQ(run("change primary of p to a;").error->failure, command_failure::unavailable);
    fake_proxy proxy("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(proxy.get_entry("vm-2"))));
    EXPECT_TRUE(
        static_cast<bool>(client_.put_vm({"vm-1", "127.0.0.1:1", "cairo", "cairo-1", false})));
    run_well("change primary of p to a;");
    EXPECT_EQ(proxy.get_last_body(), (json{{"pool", "p"}, {"target", "a"}}));
    proxy.set_change_answer(409, "unavailable");
    EXPECT_EQ(run("change primary of p to a;").error->failure, command_failure::unavailable);
    proxy.set_change_answer(504, "outcome_unknown");
    EXPECT_EQ(run("change primary of p to a;").error->failure, command_failure::unknown);
}

// Guards against giving up at a proxy that is no home, and against asking more proxies after the
// home itself refused.
TEST_F(executor_test, asks_the_next_proxy_only_when_one_is_no_home) {
    run_well(
        "create pool p;"
        "create target p/a with address = 127.0.0.1:5432, place = cairo, data_center = cairo-1;");
    fake_proxy first("secret");
    fake_proxy second("secret");
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(first.get_entry("vm-1"))));
    EXPECT_TRUE(static_cast<bool>(client_.put_vm(second.get_entry("vm-2"))));
    first.set_change_answer(409, "unavailable");
    EXPECT_TRUE(run("change primary of p to a;").error);
    EXPECT_EQ(second.get_calls(), 0);
    first.set_change_answer(409, "not_home");
    run_well("change primary of p to a;");
    EXPECT_EQ(second.get_calls(), 1);
}

// Guards against a drain that the VM list does not show.
TEST_F(executor_test, drains_a_vm_through_the_list) {
    EXPECT_TRUE(
        static_cast<bool>(client_.put_vm({"vm-1", "127.0.0.1:1", "cairo", "cairo-1", false})));
    const auto answers = run_well("drain vm vm-1; show vms; undrain vm vm-1; show vms;");
    EXPECT_EQ(answers[1].table->rows[0]["listed"], "leaving");
    EXPECT_EQ(answers[3].table->rows[0]["listed"], "live");
}

// Guards against scripts of which a part runs although a later statement is malformed.
TEST_F(executor_test, random_damage_never_has_a_partial_effect) {
    const std::uint64_t seed = tests::get_seed("executor", std::random_device{}());
    std::mt19937_64 random(seed);
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
        std::string input = "create pool p; alter pool p set queue_length = 5; drop pool p;";
        input.insert(random() % input.size(), 1, static_cast<char>(random() % 256));
        input.erase(random() % input.size(), random() % 3);
        const std::uint64_t before = get_version();
        const script_outcome outcome = run(input);
        if (outcome.error && outcome.error->failure == command_failure::syntax) {
            ++refused;
            ASSERT_TRUE(outcome.answers.empty()) << input;
            ASSERT_EQ(get_version(), before) << input;
        } else {
            ASSERT_EQ(get_version() - before, outcome.answers.size()) << input;
        }
    }
    EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace hornbeamhook::ctl
