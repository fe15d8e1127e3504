#include "gateway/session_engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

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

class session_engine_test : public testing::Test {
protected:
    session_engine_test()
        : caller_address_(*transport::parse_endpoint(tests::get_free_address())),
          engine_(loop_, codec_, log_, counters_, "vm-a", "z", {{"z", "r"}}),
          listener_(loop_, caller_address_, [this](const auto& stream) {
              engine_.accept(stream, session_origin::caller);
          }) {
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        value.routes["bounded"] = {"bounded", "g", read_policy::bounded, 1500, 800, 400, 1};
        value.connection_limits["g"] = 8;
        engine_.set_configuration(value);
    }

    /** Adds a target that answers with `answer`. */
    scripted_target& add_target(const std::string& id, bool is_primary,
                                scripted_target::script answer) {
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        targets_[id] = std::make_unique<scripted_target>(loop_, address, std::move(answer));
        engine_.update_target(id, target_entry{id, "g", address, "z", 1, 2, false, is_primary});
        return *targets_[id];
    }

    void give_lease(const std::string& target, state::term_number term = 1) {
        const std::int64_t now = transport::get_boot_time();
        engine_.get_groups()["g"].name = "g";
        engine_.get_groups()["g"].lease.confirm({target, term, {}, next_version_++}, now);
    }

    /** Makes the target the known primary, on which this VM has no lease any more. */
    void give_expired_lease(const std::string& target) {
        engine_.get_groups()["g"].name = "g";
        engine_.get_groups()["g"].lease.confirm(
            {target, 1, {}, next_version_++},
            transport::get_boot_time() - 2 * coordination::lease_duration_ms);
    }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    std::unique_ptr<test_caller> open_session(const std::string& database) {
        return tests::open_session(loop_, caller_address_, database);
    }

    /** Sends a statement and returns its answer without the final READY line. */
    std::vector<std::string> ask(test_caller& caller, const std::string& text) {
        std::vector<std::string> answer = tests::ask(loop_, caller, next_id_++, text);
        if (!answer.empty()) {
            last_ready_ = answer.back();
            answer.pop_back();
        }
        return answer;
    }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    bounded_log log_{"test"};
    gateway_counters counters_;
    transport::endpoint caller_address_;
    session_engine engine_;
    transport::tcp_listener listener_;
    std::map<std::string, std::unique_ptr<scripted_target>> targets_;
    std::string last_ready_;
    std::int64_t next_version_ = 10;
    int next_id_ = 100;
};

TEST_F(session_engine_test, forwards_a_read_and_its_answer) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto caller = open_session("strict");
    EXPECT_EQ(ask(*caller, "READ k1"), (std::vector<std::string>{"DATAROW row", "COMPLETE proof"}));
    EXPECT_EQ(last_ready_, "READY I 1.5");
    EXPECT_EQ(target.lines, (std::vector<std::string>{"QUERY 100 READ k1"}));
}

// Guards against a statement that runs outside a transaction because its BEGIN failed.
TEST_F(session_engine_test, sends_nothing_after_a_failed_begin) {
    scripted_target& replica = add_target("t2", false, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n"
                                                       : "ERROR LAGGING t2\r\nREADY I 1.5\r\n");
    });
    give_lease("t1");
    engine_.get_groups()["g"].history.add({1, 9}, transport::get_boot_time());
    const auto caller = open_session("bounded");
    ask(*caller, "BEGIN READ");
    const auto answer = ask(*caller, "READ k1");
    ASSERT_FALSE(answer.empty());
    EXPECT_TRUE(answer.back().starts_with("ERROR BUSY") ||
                answer.back().starts_with("ERROR LAGGING"))
        << answer.back();
    EXPECT_EQ(last_ready_.substr(0, 7), "READY E");
    EXPECT_TRUE(contains(replica.lines, "WAITLSN 1.9 BEGIN READ"));
    EXPECT_FALSE(contains(replica.lines, "READ k1"));
}

// Guards against session values that leak to another session on the same connection.
TEST_F(session_engine_test, sets_session_values_on_a_shared_connection) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto first = open_session("strict");
    const auto second = open_session("strict");
    ask(*first, "SET mode a");
    ask(*first, "READ k1");
    ask(*second, "READ k2");
    ask(*first, "READ k3");
    EXPECT_EQ(target.lines, (std::vector<std::string>{"QUERY - SET mode a", "QUERY 101 READ k1",
                                                      "QUERY - DISCARD", "QUERY 102 READ k2",
                                                      "QUERY - SET mode a", "QUERY 103 READ k3"}));
}

// Guards against a clash of two sessions' prepared statements with the same name.
TEST_F(session_engine_test, shares_prepared_statements_under_names_of_its_own) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto first = open_session("strict");
    const auto second = open_session("strict");
    ask(*first, "PARSE s READ shape1");
    ask(*second, "PARSE s WRITE shape2");
    ask(*first, "EXECUTE s k1");
    ask(*second, "EXECUTE s k1 data");
    ask(*first, "EXECUTE s k2");
    EXPECT_EQ(target.lines, (std::vector<std::string>{
                                "QUERY - PARSE p1 READ shape1", "QUERY 102 EXECUTE p1 k1",
                                "QUERY - PARSE p2 WRITE shape2", "QUERY 103 EXECUTE p2 k1 data",
                                "QUERY 104 EXECUTE p1 k2"}));
}

// Guards against a statement that is lost because another one, which ran on its connection before,
// gets no answer elsewhere.
TEST_F(session_engine_test, a_timeout_closes_only_connections_that_owe_the_answer) {
    scripted_target& primary = add_target("t1", true, [](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        return std::string(
            line.find("READ") != std::string::npos ? "ERROR BUSY t1\r\nREADY I 1.5\r\n" : "");
    });
    scripted_target& replica = add_target("t2", false, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    give_lease("t1");
    engine_.get_groups()["g"].history.add({1, 5}, transport::get_boot_time());
    const auto reader = open_session("bounded");
    const auto writer = open_session("strict");
    reader->lines.clear();
    reader->send("QUERY 1 READ k1");
    run_until([&] { return contains(primary.lines, "READ") && contains(replica.lines, "READ"); });
    writer->lines.clear();
    writer->send("QUERY 2 WRITE k1 x");
    run_until([&] { return contains(primary.lines, "WRITE"); });
    EXPECT_EQ(primary.connections, 1);
    run_until([&] { return !reader->lines.empty(); });
    EXPECT_TRUE(reader->lines[0].starts_with("ERROR ABORTED")) << reader->lines[0];
    primary.write_to_all("COMPLETE proof\r\nREADY I 1.6\r\n");
    run_until([&] { return !writer->lines.empty(); });
    EXPECT_EQ(writer->lines[0], "COMPLETE proof");
}

// Guards against a transaction that fails again and again because the VM goes on using a name that
// the target does not know.
TEST_F(session_engine_test, prepares_again_after_an_unknown_statement_in_a_transaction) {
    std::string known;
    scripted_target& target =
        add_target("t1", true, [&, idle = make_idle_target()](const std::string& line) {
            const std::size_t parse = line.find("PARSE ");
            const std::size_t execute = line.find("EXECUTE ");
            if (parse != std::string::npos) {
                known = line.substr(parse + 6, 2);
            }
            if (execute != std::string::npos && line.substr(execute + 8, 2) != known) {
                return std::string("ERROR NOSTMT unknown\r\nREADY E 1.5\r\n");
            }
            return idle(line);
        });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "PARSE s WRITE q");
    ask(*caller, "EXECUTE s k1 x");
    known.clear();
    for (int i = 0; i < 2; ++i) {
        ask(*caller, "BEGIN");
        ask(*caller, "WRITE k2 x");
        ask(*caller, "EXECUTE s k1 x");
        if (last_ready_.starts_with("READY E")) {
            ask(*caller, "ROLLBACK");
        }
    }
    EXPECT_EQ(last_ready_.substr(0, 7), "READY T");
    EXPECT_TRUE(contains(target.lines, "PARSE p2"));
}

// Guards against a session whose values exhaust the memory of the VM.
TEST_F(session_engine_test, bounds_the_bytes_of_a_session) {
    const auto caller = open_session("strict");
    constexpr std::size_t value_bytes = 100'000;
    const std::string value(value_bytes, 'x');
    EXPECT_EQ(ask(*caller, "SET a " + value).back(), "COMPLETE -");
    EXPECT_EQ(ask(*caller, "SET b " + value).back(), "COMPLETE -");
    EXPECT_TRUE(ask(*caller, "SET c " + value).back().starts_with("ERROR TOOBIG"));
    EXPECT_TRUE(ask(*caller, "PARSE c READ " + value).back().starts_with("ERROR TOOBIG"));
    EXPECT_EQ(ask(*caller, "SET b " + value).back(), "COMPLETE -");
    EXPECT_EQ(ask(*caller, "SET b ").back(), "COMPLETE -");
    EXPECT_EQ(ask(*caller, "PARSE c READ " + value).back(), "COMPLETE -");
    EXPECT_EQ(ask(*caller, "CLOSE c").back(), "COMPLETE -");
    EXPECT_EQ(ask(*caller, "SET c " + value).back(), "COMPLETE -");
    EXPECT_GT(engine_.get_session_bytes().get_used(), 2 * value_bytes);
}

// Guards against many sessions whose values exhaust the memory of the VM, and against bytes that
// stay counted after their session has ended.
TEST_F(session_engine_test, bounds_the_bytes_of_all_sessions) {
    const std::string value(200'000, 'x');
    std::vector<std::unique_ptr<test_caller>> callers;
    std::string answer;
    while (callers.size() < 500 && !answer.starts_with("ERROR")) {
        callers.push_back(open_session("strict"));
        answer = ask(*callers.back(), "SET a " + value).back();
    }
    EXPECT_TRUE(answer.starts_with("ERROR BUSY")) << answer;
    EXPECT_LE(engine_.get_session_bytes().get_used(), max_vm_session_bytes);
    callers.clear();
    run_until([&] { return engine_.get_session_bytes().get_used() == 0; });
}

// Guards against many sessions whose incomplete input exhausts the memory of the VM.
TEST_F(session_engine_test, bounds_the_incomplete_input_of_all_sessions) {
    const std::string part = "QUERY 1 SET a " + std::string(1'000'000, 'x');
    std::vector<std::unique_ptr<test_caller>> callers;
    bool is_refused = false;
    while (callers.size() < 100 && !is_refused) {
        callers.push_back(open_session("strict"));
        callers.back()->lines.clear();
        callers.back()->send_part(part);
        const std::size_t before = engine_.get_input_bytes().get_used();
        run_until([&] {
            is_refused = callers.back()->is_ended;
            return is_refused || engine_.get_input_bytes().get_used() >= before + part.size();
        });
    }
    EXPECT_TRUE(is_refused);
    EXPECT_TRUE(contains(callers.back()->lines, "ERROR BUSY"));
    EXPECT_LE(engine_.get_input_bytes().get_used(), max_vm_input_bytes);
    callers.clear();
    run_until([&] { return engine_.get_input_bytes().get_used() == 0; });
}

// Guards against a message to a target that is longer than the protocol allows.
TEST_F(session_engine_test, refuses_a_statement_that_would_be_too_long_for_a_target) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "PARSE s WRITE q");
    const std::string head = "QUERY 101 EXECUTE s k ";
    const std::string data(max_message_bytes - head.size() - 2, 'x');
    EXPECT_TRUE(ask(*caller, "EXECUTE s k " + data).back().starts_with("ERROR TOOBIG"));
    EXPECT_TRUE(target.lines.empty());
    EXPECT_EQ(ask(*caller, "WRITE k " + data).back(), "COMPLETE proof");
    EXPECT_EQ(target.lines.size(), 1U);
}

// Guards against input that is buffered without a limit while a statement is outstanding.
TEST_F(session_engine_test, ends_a_session_that_sends_too_far_ahead) {
    add_target("t1", true, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    caller->lines.clear();
    caller->send("QUERY 1 READ k1");
    constexpr int ahead_count = 8;
    for (int i = 0; i < ahead_count; ++i) {
        caller->send("QUERY 2 SET a " + std::string(1'000'000, 'x'));
    }
    run_until([&] { return caller->is_ended; });
    EXPECT_LE(engine_.get_input_bytes().get_used(), 2 * max_message_bytes);
    EXPECT_EQ(engine_.count_sessions(), 0U);
}

// Guards against statements that run although their caller has left while an earlier one was
// outstanding.
TEST_F(session_engine_test, runs_nothing_that_a_caller_sent_ahead_before_it_left) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    give_lease("t1");
    auto caller = open_session("strict");
    caller->send("QUERY 1 WRITE k1 x");
    constexpr int ahead_count = 200;
    for (int i = 0; i < ahead_count; ++i) {
        caller->send("QUERY 2 WRITE k2 " + std::string(1000, 'y'));
    }
    run_until([&] { return target.lines.size() == 1; });
    caller.reset();
    run_until([&] { return engine_.count_sessions() == 0; });
    target.write_to_all("COMPLETE proof\r\nREADY I 1.6\r\n");
    run_until([&] { return engine_.get_groups()["g"].running.empty(); });
    EXPECT_EQ(target.lines.size(), 1U);
}

// Guards against a statement that runs inside the transaction of another session, which its target
// did not roll back.
TEST_F(session_engine_test, does_not_share_a_connection_whose_transaction_is_still_open) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        if (line.ends_with(" ROLLBACK")) {
            return std::string("ERROR FAILED no\r\nREADY T 1.5\r\n");
        }
        if (line.find(" BEGIN") != std::string::npos || line.ends_with("WRITE k1 x")) {
            return std::string("COMPLETE proof\r\nREADY T 1.5\r\n");
        }
        return std::string(line.starts_with("STARTUP") ? "" : "COMPLETE proof\r\n") +
               "READY I 1.5\r\n";
    });
    give_lease("t1");
    auto first = open_session("strict");
    ask(*first, "BEGIN");
    ASSERT_EQ(ask(*first, "WRITE k1 x").back(), "COMPLETE proof");
    first.reset();
    run_until([&] { return contains(target.lines, "ROLLBACK"); });
    const auto second = open_session("strict");
    ASSERT_EQ(ask(*second, "WRITE k2 y").back(), "COMPLETE proof");
    EXPECT_EQ(target.connections, 2);
}

// Guards against a statement that runs inside a transaction that the target opened unasked.
TEST_F(session_engine_test, rolls_back_a_transaction_that_nobody_opened) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        if (line.ends_with("WRITE k1 x")) {
            return std::string("COMPLETE proof\r\nREADY T 1.5\r\n");
        }
        return std::string(line.starts_with("STARTUP") ? "" : "COMPLETE proof\r\n") +
               "READY I 1.5\r\n";
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "WRITE k1 x");
    ASSERT_EQ(ask(*caller, "WRITE k2 y").back(), "COMPLETE proof");
    ASSERT_EQ(target.lines.size(), 3U);
    EXPECT_EQ(target.lines[1], "QUERY - ROLLBACK");
}

// Guards against an acknowledged write that is rolled back because the target opened a transaction
// in answer to a set-up.
TEST_F(session_engine_test, sends_nothing_after_a_setup_that_opened_a_transaction) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n"
                                                       : "COMPLETE -\r\nREADY T 1.5\r\n");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "SET mode a");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_FALSE(answer.empty());
    EXPECT_TRUE(answer.back().starts_with("ERROR BUSY")) << answer.back();
    EXPECT_FALSE(contains(target.lines, "WRITE"));
}

// Guards against a write that is kept after its transaction was rolled back: the set-up before it
// had ended the transaction.
TEST_F(session_engine_test, sends_nothing_after_a_setup_that_ended_the_transaction) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        const bool is_open =
            line.find("BEGIN") != std::string::npos || line.find("READ") != std::string::npos;
        return std::string(line.starts_with("STARTUP") ? "" : "COMPLETE -\r\n") +
               (is_open ? "READY T 1.5\r\n" : "READY I 1.5\r\n");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "BEGIN");
    ask(*caller, "READ k1");
    ask(*caller, "SET mode a");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_FALSE(answer.empty());
    EXPECT_TRUE(answer.back().starts_with("ERROR ABORTED")) << answer.back();
    EXPECT_EQ(last_ready_, "READY E -");
    EXPECT_FALSE(contains(target.lines, "WRITE"));
}

// Guards against a pipelined write that is kept after the target ended its transaction early.
TEST_F(session_engine_test, fails_a_transaction_that_the_target_has_ended) {
    for (const std::string ended_at : {"READ k1", "READ k2"}) {
        scripted_target& target = add_target("t1", true, [&](const std::string& line) {
            const bool is_ended = line.ends_with(ended_at) || line.starts_with("STARTUP");
            return std::string(line.starts_with("STARTUP") ? "" : "COMPLETE proof\r\n") +
                   (is_ended ? "READY I 1.5\r\n" : "READY T 1.5\r\n");
        });
        give_lease("t1");
        const auto caller = open_session("strict");
        ask(*caller, "BEGIN");
        ask(*caller, "READ k1");
        ask(*caller, "READ k2");
        EXPECT_EQ(last_ready_.substr(0, 7), "READY E");
        ask(*caller, "WRITE k1 x");
        EXPECT_FALSE(contains(target.lines, "WRITE"));
        EXPECT_TRUE(ask(*caller, "COMMIT").back().starts_with("ERROR ABORTED"));
        EXPECT_EQ(last_ready_, "READY I -");
        engine_.close_target_links("g", "t1");
    }
}

// Guards against a transaction that is committed after one of its statements was refused with a
// promise that nothing is kept.
TEST_F(session_engine_test, fails_a_transaction_after_a_promise) {
    for (const std::string refused : {"WRITE k2 x", "COMMIT"}) {
        scripted_target& target = add_target("t1", true, [&](const std::string& line) {
            return line.starts_with("STARTUP")   ? std::string("READY I 1.5\r\n")
                   : line.ends_with(refused)     ? std::string("ERROR BUSY t1\r\nREADY T 1.5\r\n")
                   : line.ends_with(" ROLLBACK") ? std::string("COMPLETE -\r\nREADY I 1.5\r\n")
                                                 : std::string("COMPLETE proof\r\nREADY T 1.5\r\n");
        });
        give_lease("t1");
        const auto caller = open_session("strict");
        ask(*caller, "BEGIN");
        ask(*caller, "WRITE k1 x");
        EXPECT_TRUE(ask(*caller, refused).back().starts_with("ERROR BUSY"));
        EXPECT_EQ(last_ready_.substr(0, 7), refused == "COMMIT" ? "READY I" : "READY E");
        run_until([&] { return contains(target.lines, "QUERY - ROLLBACK"); });
        target.lines.clear();
        ask(*caller, "COMMIT");
        EXPECT_FALSE(contains(target.lines, "COMMIT"));
        engine_.close_target_links("g", "t1");
    }
}

// Guards against an acknowledged write that is rolled back: it ran in a transaction that the target
// reported open after a COMMIT.
TEST_F(session_engine_test, ends_a_transaction_that_is_open_after_its_commit) {
    for (const bool is_first : {true, false}) {
        scripted_target& target = add_target("t1", true, [](const std::string& line) {
            return line.starts_with("STARTUP")   ? std::string("READY I 1.5\r\n")
                   : line.ends_with(" ROLLBACK") ? std::string("COMPLETE -\r\nREADY I 1.5\r\n")
                                                 : std::string("COMPLETE proof\r\nREADY T 1.5\r\n");
        });
        give_lease("t1");
        const auto caller = open_session("strict");
        ask(*caller, "BEGIN");
        if (!is_first) {
            ask(*caller, "WRITE k1 x");
        }
        EXPECT_EQ(ask(*caller, "COMMIT").back(), "COMPLETE proof");
        EXPECT_EQ(last_ready_, "READY I 1.5");
        run_until([&] { return contains(target.lines, "QUERY - ROLLBACK"); });
        engine_.close_target_links("g", "t1");
    }
}

// Guards against statements that stay prepared on a connection and at its target for good.
TEST_F(session_engine_test, closes_prepared_statements_beyond_the_limit_of_a_connection) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto caller = open_session("strict");
    for (std::size_t i = 0; i < coordination::max_prepared_statements + 20; ++i) {
        ask(*caller, "PARSE s READ shape" + std::to_string(i));
        ASSERT_EQ(ask(*caller, "EXECUTE s k1").back(), "COMPLETE proof");
    }
    const auto count = [&](const std::string& part) {
        return static_cast<std::size_t>(std::count_if(
            target.lines.begin(), target.lines.end(),
            [&](const std::string& line) { return line.find(part) != std::string::npos; }));
    };
    EXPECT_EQ(target.connections, 1);
    EXPECT_EQ(count("PARSE") - count("CLOSE"), coordination::max_prepared_statements);
    EXPECT_TRUE(contains(target.lines, "QUERY - CLOSE p1"));
}

// Guards against a write that runs twice because its answer was lost.
TEST_F(session_engine_test, never_retries_an_unanswered_write) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_TRUE(answer[0].starts_with("ERROR INDOUBT")) << answer[0];
    EXPECT_EQ(target.lines.size(), 1U);
}

// Guards against callers that wait until their timeout when the answer to a read is lost.
TEST_F(session_engine_test, retries_an_unanswered_read_at_another_target) {
    scripted_target& silent = add_target("t1", true, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    give_lease("t1");
    const auto caller = open_session("bounded");
    caller->lines.clear();
    caller->send("QUERY 1 READ k1");
    run_until([&] { return !silent.lines.empty(); });
    add_target("t2", false, make_idle_target());
    engine_.get_groups()["g"].history.add({1, 5}, transport::get_boot_time());
    run_until([&] { return contains(caller->lines, "COMPLETE"); });
    EXPECT_TRUE(contains(targets_["t2"]->lines, "QUERY 1 WAITLSN 1.5 READ k1"));
}

// Guards against reporting a sent write as not run, and against queueing statements that cannot
// run.
TEST_F(session_engine_test, refuses_a_write_without_a_lease_and_sends_nothing) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_expired_lease("t1");
    const auto caller = open_session("strict");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_TRUE(answer[0].starts_with("ERROR BUSY")) << answer[0];
    EXPECT_TRUE(target.lines.empty());
}

// Load: the whole fleet starts. Guards against a refusal by a VM that learns of the primary 100 ms
// after it has started.
TEST_F(session_engine_test, a_vm_that_has_just_started_waits_for_the_first_record) {
    constexpr std::int64_t learning_ms = 100;
    scripted_target& target = add_target("t1", true, make_idle_target());
    const auto caller = open_session("strict");
    const std::int64_t asked_at = transport::get_boot_time();
    caller->send("QUERY 1 READ k1");
    run_until([&] { return transport::get_boot_time() - asked_at >= learning_ms; });
    give_lease("t1");
    engine_.dispatch("g");
    run_until([&] { return contains(caller->lines, "COMPLETE"); });
    EXPECT_TRUE(contains(target.lines, "READ k1"));
}

// Guards against callers that wait most of their objective for a read that this VM cannot prove to
// be fresh, instead of trying another VM.
TEST_F(session_engine_test, refuses_a_read_without_lease_and_position_early) {
    scripted_target& target = add_target("t2", false, make_idle_target());
    give_expired_lease("t1");
    const auto caller = open_session("bounded");
    const std::int64_t asked_at = transport::get_boot_time();
    const auto answer = ask(*caller, "READ k1");
    EXPECT_TRUE(answer.back().starts_with("ERROR BUSY")) << answer.back();
    EXPECT_LT(transport::get_boot_time() - asked_at, 200);  // Half of the objective.
    EXPECT_TRUE(target.lines.empty());
}

// Load: a home with several connections to a primary closes one that it does not need, or is
// refused one more. Guards against statements that wait 150 ms although a connection is free.
TEST_F(session_engine_test, a_closed_or_refused_connection_delays_no_statement) {
    int connections = 0;
    scripted_target& target = add_target("t1", true, [&connections](const std::string& line) {
        if (!line.starts_with("STARTUP")) {
            return std::string("DATAROW row\r\nCOMPLETE proof\r\nREADY I 1.5\r\n");
        }
        return std::string(++connections > 1 ? "ERROR CONNLIMIT t1\r\n" : "READY I 1.5\r\n");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "READ k1");
    target_state& state = engine_.get_groups()["g"].targets.at("t1");
    engine_.probe(state);
    run_until([&] { return connections == 2 && state.connection_limited_until != 0; });
    const std::int64_t asked_at = transport::get_boot_time();
    ask(*caller, "READ k2");
    EXPECT_LT(transport::get_boot_time() - asked_at, 100);

    connections = 0;
    state.next_probe_at = 0;
    state.reconnect_at = 0;
    engine_.probe(state);
    run_until([&] { return !state.links.empty() && state.links.back()->is_open(); });
    state.links.back()->close("test");
    const std::int64_t asked_again_at = transport::get_boot_time();
    ask(*caller, "READ k3");
    EXPECT_LT(transport::get_boot_time() - asked_again_at, 100);
    EXPECT_TRUE(contains(target.lines, "READ k3"));
}

// Guards against a read that is not sent again after each target was busy once.
TEST_F(session_engine_test, retries_targets_that_were_busy) {
    int busy = 2;
    add_target("t1", true, [&busy](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        return std::string(busy-- > 0 ? "ERROR BUSY t1" : "COMPLETE proof") + "\r\nREADY I 1.5\r\n";
    });
    give_lease("t1");
    const auto caller = open_session("bounded");
    EXPECT_EQ(ask(*caller, "READ k1").back(), "COMPLETE proof");
}

// Guards against acknowledging a write of a primary that was replaced while the write ran.
TEST_F(session_engine_test, does_not_acknowledge_a_write_of_a_superseded_primary) {
    add_target("t1", true, [this](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        give_lease("t2", 2);
        return std::string("COMPLETE proof\r\nREADY I 1.6\r\n");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_TRUE(answer[0].starts_with("ERROR INDOUBT")) << answer[0];
}

// Guards against a transaction that continues or commits after its connection was lost.
TEST_F(session_engine_test, aborts_a_transaction_whose_connection_is_lost) {
    add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "BEGIN");
    EXPECT_EQ(ask(*caller, "WRITE k1 x").back(), "COMPLETE proof");
    engine_.close_target_links("g", "t1");
    EXPECT_TRUE(ask(*caller, "WRITE k2 x").back().starts_with("ERROR ABORTED"));
    EXPECT_EQ(last_ready_.substr(0, 7), "READY E");
    EXPECT_TRUE(ask(*caller, "READ k2").back().starts_with("ERROR MALFORMED"));
    EXPECT_TRUE(ask(*caller, "ROLLBACK").back().starts_with("COMPLETE"));
    EXPECT_EQ(last_ready_.substr(0, 7), "READY I");
}

// Guards against a segmentation fault when the callback of a timed-out report requests further
// reports while the finished ones are removed.
TEST_F(session_engine_test, a_report_that_times_out_may_request_others) {
    const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
    scripted_target silent(loop_, address, [](const std::string&) { return std::string(); });
    const target_entry entry{"t1", "g", address, "z", 1, 2, false, false};
    int ended = 0;
    int requested = 0;
    std::function<void()> request = [&] {
        ++requested;
        engine_.get_control().request_report(entry, [&](const report_answer& report) {
            EXPECT_TRUE(std::holds_alternative<target_silence>(report));
            ++ended;
            for (int i = 0; i < 20 && requested < 60; ++i) {
                request();
            }
        });
    };
    request();
    run_until([&] { return ended == 60; });
    EXPECT_EQ(requested, 60);
}

// Guards against a report that is given up because the target has too many connections, although
// this VM has an open one (review case 1: a lagging replica was promoted).
TEST_F(session_engine_test, a_report_uses_an_open_connection_when_new_ones_are_refused) {
    int starts = 0;
    scripted_target& target = add_target("t1", true, [&starts](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string(++starts == 1 ? "READY I 1.5\r\n" : "ERROR CONNLIMIT t1\r\n");
        }
        return std::string(line.ends_with("STATUS")
                               ? "DATAROW replica 1 1.7 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n"
                               : "DATAROW row\r\nCOMPLETE proof\r\nREADY I 1.5\r\n");
    });
    give_lease("t1");
    const auto caller = open_session("strict");
    ask(*caller, "READ k1");
    std::optional<report_answer> answer;
    const target_entry entry = engine_.get_groups()["g"].targets.at("t1").entry;
    engine_.get_control().request_report(entry, [&](const report_answer& got) { answer = got; });
    run_until([&] { return answer.has_value(); });
    ASSERT_TRUE(std::holds_alternative<target_report>(*answer));
    EXPECT_EQ(std::get<target_report>(*answer).received, (state::log_point{1, 7}));
    EXPECT_GE(target.connections, 2);
}

// Guards against a busy target that counts as one that does not answer.
TEST_F(session_engine_test, a_report_that_a_target_refuses_is_told_from_a_missing_one) {
    int requests = 0;
    const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
    scripted_target busy(loop_, address, [&requests](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        ++requests;
        return std::string("ERROR BUSY t1\r\nREADY I 1.5\r\n");
    });
    const target_entry entry{"t1", "g", address, "z", 1, 2, false, false};
    std::optional<report_answer> answer;
    engine_.get_control().request_report(entry, [&](const report_answer& got) { answer = got; });
    run_until([&] { return answer.has_value(); });
    ASSERT_TRUE(std::holds_alternative<target_refusal>(*answer));
    EXPECT_EQ(std::get<target_refusal>(*answer), target_refusal{"BUSY"});
    EXPECT_GE(requests, 3);
    EXPECT_EQ(busy.connections, 1);
}

// Guards against a target that accepts connections, but has no free slot for a long time, and
// counts as one that does not answer. Its connections show what its log has reached.
TEST_F(session_engine_test, a_report_that_waits_for_a_slot_is_waited_for) {
    scripted_target& busy = add_target("t1", false, [](const std::string& line) {
        return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
    });
    const target_entry entry = engine_.get_groups()["g"].targets.at("t1").entry;
    std::optional<report_answer> answer;
    const std::int64_t started_at = transport::get_boot_time();
    engine_.get_control().request_report(entry, [&](const report_answer& got) { answer = got; });
    run_until([&] { return transport::get_boot_time() - started_at > 1500; });
    EXPECT_FALSE(answer.has_value());
    const target_state& target = engine_.get_groups()["g"].targets.at("t1");
    EXPECT_LT(transport::get_boot_time() - target.last_answer_at, 600);
    EXPECT_EQ(target.position, (state::log_point{1, 5}));
    busy.write_to_all("DATAROW replica 1 1.7 0 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n");
    run_until([&] { return answer.has_value(); });
    EXPECT_TRUE(std::holds_alternative<target_report>(*answer));
}

// Guards against a control statement that a busy target refused and nobody repeats.
TEST_F(session_engine_test, a_refused_control_statement_is_repeated) {
    int requests = 0;
    const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
    scripted_target busy(loop_, address, [&requests](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        return std::string(++requests < 4 ? "ERROR BUSY t1\r\nREADY I 1.5\r\n"
                                          : "DATAROW replica 2 1.7 0 0 0 1\r\nCOMPLETE -\r\n"
                                            "READY I 1.5\r\n");
    });
    const target_entry entry{"t1", "g", address, "z", 1, 2, false, false};
    engine_.get_control().send(entry, codec_.format_step_down(2));
    run_until([&] { return requests == 4; });
    EXPECT_EQ(requests, 4);
}

// Guards against input that crashes the process, affects other sessions or is buffered without
// bound.
TEST_F(session_engine_test, drops_sessions_with_malformed_input) {
    add_target("t1", true, make_idle_target());
    give_lease("t1");
    const auto good = open_session("strict");
    for (const std::string& input :
         {std::string("QUERY 1 READ k1\r\n"), std::string("\0\xff\xfe binary\r\n", 13),
          std::string((1U << 20) + 10, 'x'),
          std::string("STARTUP strict u\r\nSTARTUP strict u\r\n")}) {
        test_caller bad(loop_, caller_address_);
        bad.send(input);
        run_until([&] { return bad.is_ended; });
    }
    EXPECT_TRUE(contains(ask(*good, "NONSENSE"), "ERROR MALFORMED"));
    EXPECT_EQ(ask(*good, "READ k1").back(), "COMPLETE proof");
    EXPECT_TRUE(contains(open_session("nowhere")->lines, "ERROR NODB"));
}

}  // namespace
}  // namespace hornbeamhook::gateway
