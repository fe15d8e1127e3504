#include <gtest/gtest.h>
#include <sodium.h>

#include <algorithm>
#include <map>

#include "gateway/session_engine.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_target.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

using tests::contains;
using tests::make_idle_target;
using tests::scripted_target;
using tests::test_caller;

/** One VM that identifies callers: "anna" holds key-a and key-a2, "bert" holds key-b. */
class organisation_test : public testing::Test {
protected:
    organisation_test()
        : caller_address_(*transport::parse_endpoint(tests::get_free_address())),
          engine_(loop_, codec_, log_, counters_, "vm-a", "z", {{"z", "r"}}),
          listener_(loop_, caller_address_, [this](const auto& stream) {
              engine_.accept(stream, session_origin::caller);
          }) {
        EXPECT_GE(sodium_init(), 0);
        engine_.set_identifies_callers(true);
        value_.version = 1;
        value_.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        value_.routes["open"] = {"open", "g", read_policy::primary, 0, 800, 400, 1, true};
        value_.connection_limits["g"] = 8;
        add_organisation("anna", {"key-a", "key-a2"});
        add_organisation("bert", {"key-b"});
        engine_.set_configuration(value_);
    }

    void add_organisation(const std::string& name, const std::vector<std::string>& keys) {
        value_.organisations.organisations[name] = {name, 0, std::nullopt};
        for (const std::string& key : keys) {
            value_.organisations.names[make_key_digest(key)] = name;
        }
    }

    /** The next version drops the key. */
    void revoke(const std::string& key) {
        ++value_.version;
        value_.organisations.names.erase(make_key_digest(key));
        engine_.set_configuration(value_);
    }

    /** The next version gives the key to another organisation. */
    void move(const std::string& key, const std::string& organisation) {
        ++value_.version;
        value_.organisations.names[make_key_digest(key)] = organisation;
        engine_.set_configuration(value_);
    }

    /** Adds the primary; the script also sees the lines that open connections. */
    void add_primary(scripted_target::script answer) {
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        target_ = std::make_unique<scripted_target>(
            loop_, address, [this, answer = std::move(answer)](const std::string& line) {
                if (line.starts_with("STARTUP")) {
                    starts_.push_back(line);
                }
                return answer(line);
            });
        engine_.update_target("t1", target_entry{"t1", "g", address, "z", 1, 2, false, true});
        engine_.get_groups()["g"].name = "g";
        engine_.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
    }

    std::unique_ptr<test_caller> open_session(const std::string& database, const std::string& key) {
        auto caller = std::make_unique<test_caller>(loop_, caller_address_);
        caller->send("STARTUP " + database + (key.empty() ? "" : " " + key));
        run_until([&] { return !caller->lines.empty() || caller->is_ended; });
        return caller;
    }

    std::vector<std::string> ask(test_caller& caller, const std::string& text) {
        return tests::ask(loop_, caller, next_id_++, text);
    }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    bounded_log log_{"test"};
    gateway_counters counters_;
    transport::endpoint caller_address_;
    session_engine engine_;
    transport::tcp_listener listener_;
    configuration value_;
    std::unique_ptr<scripted_target> target_;
    std::vector<std::string> starts_;
    int next_id_ = 100;
};

// Guards against callers that no organisation vouches for.
TEST_F(organisation_test, refuses_a_session_whose_key_no_organisation_holds) {
    add_primary(make_idle_target());
    for (const char* key : {"key-c", "", "key-a ", "anna", "KEY-A"}) {
        const auto caller = open_session("strict", key);
        run_until([&] { return caller->is_ended; });
        ASSERT_EQ(caller->lines.size(), 1U) << key;
        EXPECT_TRUE(caller->lines.front().starts_with("ERROR AUTHFAIL")) << caller->lines.front();
    }
    EXPECT_TRUE(starts_.empty());
    EXPECT_TRUE(open_session("strict", "key-a2")->lines.front().starts_with("READY"));
}

// Guards against a target that learns a key, or runs a statement for another organisation.
TEST_F(organisation_test, tells_targets_the_name_on_a_connection_of_its_own) {
    add_primary(make_idle_target());
    const auto first = open_session("strict", "key-a");
    const auto second = open_session("strict", "key-b");
    const auto third = open_session("strict", "key-a2");
    for (test_caller* caller : {first.get(), second.get(), third.get()}) {
        EXPECT_EQ(ask(*caller, "READ k").front(), "DATAROW row");
    }
    EXPECT_EQ(starts_, (std::vector<std::string>{"STARTUP g anna t1", "STARTUP g bert t1"}));
    EXPECT_FALSE(contains(target_->lines, "key-"));
}

// Guards against a route without keys that stops to work, or that charges an organisation.
TEST_F(organisation_test, an_anonymous_route_needs_no_key) {
    add_primary(make_idle_target());
    for (const char* key : {"", "key-a", "unknown"}) {
        const auto caller = open_session("open", key);
        EXPECT_EQ(ask(*caller, "READ k").front(), "DATAROW row") << key;
    }
    EXPECT_EQ(starts_, std::vector<std::string>{"STARTUP g hornbeamhook t1"});
}

// Guards against open sessions that outlive their key.
TEST_F(organisation_test, an_idle_session_ends_when_its_key_is_dropped) {
    add_primary(make_idle_target());
    const auto revoked = open_session("strict", "key-a");
    const auto other = open_session("strict", "key-a2");
    revoke("key-a");
    run_until([&] { return revoked->is_ended; });
    EXPECT_EQ(revoked->lines.size(), 1U);  // Nothing after the READY of its start.
    EXPECT_EQ(ask(*other, "READ k").front(), "DATAROW row");
}

// Guards against a transaction that goes on, or commits, after its key was dropped.
TEST_F(organisation_test, an_open_transaction_is_rolled_back_when_its_key_is_dropped) {
    add_primary(make_idle_target());
    const auto caller = open_session("strict", "key-a");
    ask(*caller, "BEGIN");
    ask(*caller, "WRITE k x");
    revoke("key-a");
    run_until([&] { return caller->is_ended && contains(target_->lines, "ROLLBACK"); });
    EXPECT_FALSE(contains(target_->lines, "COMMIT"));
}

// Guards against a statement that runs after its key was dropped while it waited.
TEST_F(organisation_test, a_waiting_statement_is_refused_when_its_key_is_dropped) {
    add_primary([](const std::string&) { return std::string(); });  // Opens no connection.
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 READ k");
    run_until([&] { return !starts_.empty(); });
    revoke("key-a");
    run_until([&] { return caller->is_ended; });
    ASSERT_FALSE(caller->lines.empty());
    EXPECT_TRUE(caller->lines.front().starts_with("ERROR AUTHFAIL")) << caller->lines.front();
    EXPECT_TRUE(target_->lines.empty());
}

// Guards against a lost answer: the statement was sent before the key was dropped.
TEST_F(organisation_test, a_statement_that_was_sent_is_answered_before_the_session_ends) {
    add_primary([](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 READ k");
    run_until([&] { return contains(target_->lines, "READ k"); });
    revoke("key-a");
    target_->write_to_all("DATAROW row\r\nCOMPLETE proof\r\nREADY I 1.5\r\n");
    run_until([&] { return caller->is_ended; });
    EXPECT_TRUE(contains(caller->lines, "COMPLETE proof"));
}

// Guards against a session that goes on for an organisation that no longer holds its key.
TEST_F(organisation_test, a_transaction_ends_when_its_key_moves_to_another_organisation) {
    add_primary(make_idle_target());
    const auto caller = open_session("strict", "key-a");
    ask(*caller, "BEGIN");
    ask(*caller, "READ k");
    ++value_.version;
    value_.organisations.names[make_key_digest("key-a")] = "bert";
    engine_.set_configuration(value_);
    run_until([&] { return caller->is_ended; });
    const auto next = open_session("strict", "key-a");
    ask(*next, "READ k");
    EXPECT_EQ(starts_.back(), "STARTUP g bert t1");
}

// Guards against a statement that runs under the name of an organisation that lost its key.
TEST_F(organisation_test, a_waiting_statement_runs_for_the_organisation_that_holds_its_key_now) {
    bool is_answering = false;
    add_primary([&](const std::string& line) {
        return line.starts_with("STARTUP") && !is_answering ? std::string()
                                                            : make_idle_target()(line);
    });
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 WRITE k x");
    run_until([&] { return !starts_.empty(); });
    move("key-a", "bert");
    is_answering = true;
    target_->write_to_all("READY I 1.5\r\n");
    run_until([&] { return contains(caller->lines, "READY"); });
    EXPECT_TRUE(contains(caller->lines, "COMPLETE")) << caller->lines.front();
    EXPECT_EQ(starts_, (std::vector<std::string>{"STARTUP g anna t1", "STARTUP g bert t1"}));
    EXPECT_EQ(std::count_if(target_->lines.begin(), target_->lines.end(),
                            [](const std::string& line) { return contains({line}, "WRITE"); }),
              1);
    EXPECT_FALSE(caller->is_ended);
}

// Guards against a statement that is sent again after its key was dropped.
TEST_F(organisation_test, a_statement_is_not_retried_when_its_key_is_dropped) {
    add_primary([](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 READ k");
    run_until([&] { return contains(target_->lines, "READ k"); });
    revoke("key-a");
    target_->write_to_all("ERROR BUSY full\r\nREADY I 1.5\r\n");
    run_until([&] { return caller->is_ended; });
    EXPECT_EQ(target_->lines.size(), 1U);
    EXPECT_TRUE(contains(caller->lines, "ERROR BUSY"));
}

// Guards against a statement of a transaction that is sent after its key was dropped.
TEST_F(organisation_test, a_transaction_sends_nothing_after_a_setup_when_its_key_is_dropped) {
    add_primary([answer = make_idle_target()](const std::string& line) {
        return contains({line}, "SET v") ? std::string() : answer(line);
    });
    const auto caller = open_session("strict", "key-a");
    ask(*caller, "BEGIN");
    ask(*caller, "WRITE k x");
    ask(*caller, "SET v 1");
    caller->lines.clear();
    caller->send("QUERY 1 WRITE late x");
    run_until([&] { return contains(target_->lines, "SET v"); });
    revoke("key-a");
    target_->write_to_all("COMPLETE -\r\nREADY T 1.5\r\n");
    run_until([&] { return caller->is_ended && contains(target_->lines, "ROLLBACK"); });
    EXPECT_FALSE(contains(target_->lines, "late"));
    EXPECT_TRUE(contains(caller->lines, "ERROR ABORTED"));
}

// Guards against the same when its key has moved; the session goes on for the other organisation.
TEST_F(organisation_test, a_statement_is_not_retried_for_an_organisation_that_lost_its_key) {
    add_primary([](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 READ k");
    run_until([&] { return contains(target_->lines, "READ k"); });
    move("key-a", "bert");
    target_->write_to_all("ERROR BUSY full\r\nREADY I 1.5\r\n");
    run_until([&] { return contains(caller->lines, "READY"); });
    EXPECT_EQ(target_->lines.size(), 1U);
    EXPECT_TRUE(contains(caller->lines, "ERROR BUSY"));
    EXPECT_FALSE(caller->is_ended);
}

// Guards against a retry after the version that dropped the key, of a statement that waits for it.
TEST_F(organisation_test, a_statement_that_waits_for_a_retry_ends_when_its_key_is_dropped) {
    add_primary([](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    const auto caller = open_session("strict", "key-a");
    caller->lines.clear();
    caller->send("QUERY 1 READ k");
    run_until([&] { return contains(target_->lines, "READ k"); });
    engine_.get_groups()["g"].lease.expire();  // It has to wait after its first attempt.
    target_->write_to_all("ERROR BUSY full\r\nREADY I 1.5\r\n");
    run_until([&] { return counters_.retries.Value() > 0; });
    revoke("key-a");
    const std::size_t sent = target_->lines.size();
    engine_.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
    engine_.dispatch("g");
    run_until([&] { return caller->is_ended; });
    EXPECT_EQ(target_->lines.size(), sent);
}

// Guards against callers without a key that go on after their route has come to need one.
TEST_F(organisation_test, a_route_that_comes_to_need_a_key_ends_sessions_without_one) {
    add_primary(make_idle_target());
    const auto idle = open_session("open", "unknown");
    const auto deferred = open_session("open", "unknown");
    ask(*deferred, "BEGIN");
    const auto open = open_session("open", "key-a");
    ask(*open, "BEGIN");
    ask(*open, "WRITE k x");
    const auto other = open_session("open", "key-b");
    value_.routes["open"].is_anonymous = false;
    ++value_.version;
    engine_.set_configuration(value_);
    run_until([&] {
        return idle->is_ended && deferred->is_ended && open->is_ended &&
               contains(target_->lines, "ROLLBACK");
    });
    EXPECT_EQ(ask(*other, "READ k").front(), "DATAROW row");
    EXPECT_EQ(starts_.back(), "STARTUP g bert t1");
}

// Guards against a transaction that ends without need.
TEST_F(organisation_test, a_transaction_goes_on_when_its_route_needs_no_key_any_more) {
    add_primary(make_idle_target());
    const auto caller = open_session("strict", "key-a");
    ask(*caller, "BEGIN");
    ask(*caller, "WRITE k x");
    value_.routes["strict"].is_anonymous = true;
    ++value_.version;
    engine_.set_configuration(value_);
    EXPECT_TRUE(contains(ask(*caller, "COMMIT"), "COMPLETE"));
}

// Guards against statements and transactions that outlive their route.
TEST_F(organisation_test, a_dropped_route_ends_what_waits_and_what_is_open) {
    add_primary(make_idle_target());
    const auto open = open_session("strict", "key-a");
    ask(*open, "BEGIN");
    ask(*open, "WRITE k x");
    const auto deferred = open_session("strict", "key-a");
    ask(*deferred, "BEGIN");
    const auto waiting = open_session("strict", "key-b");
    engine_.get_groups()["g"].lease.expire();
    waiting->lines.clear();
    waiting->send("QUERY 1 READ late");
    for (int i = 0; i < 3; ++i) {
        uv_run(loop_.get_handle(), UV_RUN_NOWAIT);
    }
    value_.routes.erase("strict");
    ++value_.version;
    engine_.set_configuration(value_);
    run_until([&] { return contains(waiting->lines, "READY"); });
    EXPECT_TRUE(contains(waiting->lines, "ERROR NODB")) << waiting->lines.front();
    run_until([&] { return contains(target_->lines, "ROLLBACK"); });
    engine_.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
    EXPECT_TRUE(contains(ask(*open, "COMMIT"), "ERROR ABORTED"));
    EXPECT_TRUE(contains(ask(*deferred, "COMMIT"), "ERROR ABORTED"));
    EXPECT_FALSE(contains(target_->lines, "COMMIT"));
    EXPECT_FALSE(contains(target_->lines, "late"));
}

// Guards against organisations that wait forever because others hold all connections of a target.
TEST_F(organisation_test, an_idle_connection_is_replaced_for_another_organisation) {
    constexpr int organisations = 20;  // More than the connections that the VM may hold.
    for (int i = 0; i < organisations; ++i) {
        add_organisation("o" + std::to_string(i), {"key-" + std::to_string(i)});
    }
    ++value_.version;
    engine_.set_configuration(value_);
    add_primary(make_idle_target());
    for (int i = 0; i < organisations; ++i) {
        const auto caller = open_session("strict", "key-" + std::to_string(i));
        EXPECT_EQ(ask(*caller, "READ k").front(), "DATAROW row") << i;
        EXPECT_EQ(starts_.back(), "STARTUP g o" + std::to_string(i) + " t1");
    }
}

// Guards against a home that serves a large organisation alone and runs out of connections.
TEST_F(organisation_test, large_organisations_are_those_above_a_share_of_all_limits) {
    organisation_table table;
    table.organisations["a"] = {"a", 0, operation_limit{900, 0}};
    table.organisations["b"] = {"b", 0, operation_limit{60, 0}};
    table.organisations["c"] = {"c", 0, operation_limit{40, 0}};
    table.organisations["d"] = {"d", 0, std::nullopt};
    EXPECT_EQ(get_large_organisations(table, 0.05), (std::set<std::string>{"a", "b"}));
    EXPECT_TRUE(get_large_organisations({}, 0.05).empty());
}

// Guards against labels that are taken for keys where callers are not identified.
TEST_F(organisation_test, a_label_is_no_key_while_callers_are_not_identified) {
    engine_.set_identifies_callers(false);
    add_primary(make_idle_target());
    const auto caller = open_session("strict", "any label");
    EXPECT_EQ(ask(*caller, "READ k").front(), "DATAROW row");
    EXPECT_EQ(starts_, std::vector<std::string>{"STARTUP g hornbeamhook t1"});
}

// Guards against a key that can be found by comparing digests of two tables or processes.
TEST_F(organisation_test, equal_keys_have_equal_digests_and_others_differ) {
    EXPECT_EQ(make_key_digest("key-a"), make_key_digest("key-a"));
    EXPECT_NE(make_key_digest("key-a"), make_key_digest("key-b"));
    EXPECT_NE(make_key_digest(""), make_key_digest("key-a"));
}

}  // namespace
}  // namespace hornbeamhook::gateway
