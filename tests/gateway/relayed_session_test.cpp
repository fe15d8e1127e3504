#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "gateway/session_engine.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_target.h"
#include "support/test_caller.h"
#include "support/test_vm.h"

namespace hornbeamhook::gateway {
namespace {

using tests::contains;
using tests::make_idle_target;
using tests::scripted_target;
using tests::test_caller;
using tests::test_vm;

constexpr std::int64_t wait_limit_ms = 5000;  ///< Far above the time of any exchange here.

/**
 * Five VMs share four connections to a target. Three homes are in the target's place; the tests
 * connect as callers of a VM in another place.
 */
class relayed_session_test : public testing::Test {
protected:
    relayed_session_test() {
        for (const char* name : {"home-1", "home-2", "home-3", "near-4"}) {
            vms_.push_back(std::make_unique<test_vm>(loop_, codec_, name, "near"));
        }
        vms_.push_back(std::make_unique<test_vm>(loop_, codec_, "entry", "far"));
        std::vector<fleet_member> live;
        for (const auto& vm : vms_) {
            live.push_back(vm->member);
        }
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        value.routes["bounded"] = {"bounded", "g", read_policy::bounded, 1500, 800, 400, 1};
        value.routes["unleased"] = {"unleased", "h", read_policy::primary, 0, 9000, 9000, 1};
        value.connection_limits["g"] = 4;
        for (const auto& vm : vms_) {
            vm->engine.set_configuration(value);
            vm->engine.set_fleet(live, static_cast<int>(live.size()));
        }
    }

    test_vm& get_entry() { return *vms_.back(); }

    scripted_target& add_target(const std::string& id, bool is_primary,
                                scripted_target::script answer) {
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        targets_[id] = std::make_unique<scripted_target>(loop_, address, std::move(answer));
        for (const auto& vm : vms_) {
            vm->engine.update_target(
                id, target_entry{id, "g", address, "near", 1, 2, false, is_primary});
        }
        return *targets_[id];
    }

    static void give_lease(test_vm& vm, const std::string& target, state::term_number term = 1) {
        vm.engine.get_groups()["g"].name = "g";
        vm.engine.get_groups()["g"].lease.confirm(
            {target, term, {}, 10 + static_cast<std::int64_t>(term)}, transport::get_boot_time());
    }

    void give_lease_to_all(const std::string& target) {
        for (const auto& vm : vms_) {
            give_lease(*vm, target);
        }
    }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    std::unique_ptr<test_caller> open_session(const std::string& database) {
        return tests::open_session(loop_, get_entry().caller_address, database);
    }

    std::vector<std::string> ask(test_caller& caller, const std::string& text) {
        return tests::ask(loop_, caller, next_id_++, text);
    }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    std::vector<std::unique_ptr<test_vm>> vms_;
    std::map<std::string, std::unique_ptr<scripted_target>> targets_;
    std::unique_ptr<scripted_target> silent_home_;  ///< Listens in place of a home.
    int next_id_ = 100;
};

// Guards against more connections than the target allows when the fleet is larger than its limit.
TEST_F(relayed_session_test, runs_statements_through_a_home) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    EXPECT_EQ(ask(*caller, "READ k1"),
              (std::vector<std::string>{"DATAROW row", "COMPLETE proof", "READY I 1.5"}));
    EXPECT_EQ(ask(*caller, "WRITE k1 x"),
              (std::vector<std::string>{"COMPLETE proof", "READY I 1.5"}));
    EXPECT_EQ(target.lines,
              (std::vector<std::string>{"QUERY 100 READ k1", "QUERY 101 WRITE k1 x"}));
    EXPECT_EQ(target.connections, 1);
    EXPECT_EQ(get_entry().engine.get_groups()["g"].targets["t1"].links.size(), 1U);
    EXPECT_TRUE(get_entry().engine.get_groups()["g"].targets["t1"].links[0]->is_relayed());
}

// Guards against a transaction, session value or prepared statement that a home does not forward.
TEST_F(relayed_session_test, keeps_a_transaction_on_one_connection) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "SET mode a");
    ask(*caller, "PARSE s WRITE shape1");
    ask(*caller, "BEGIN");
    EXPECT_EQ(ask(*caller, "EXECUTE s k1 x").back(), "READY T 1.5");
    EXPECT_EQ(ask(*caller, "READ k2").back(), "READY T 1.5");
    EXPECT_EQ(ask(*caller, "COMMIT").back(), "READY I 1.5");
    EXPECT_EQ(target.lines,
              (std::vector<std::string>{"QUERY - SET mode a", "QUERY - PARSE p1 WRITE shape1",
                                        "QUERY 102 BEGIN", "QUERY 103 EXECUTE p1 k1 x",
                                        "QUERY 104 READ k2", "QUERY 105 COMMIT"}));
    EXPECT_EQ(target.connections, 1);
}

// Guards against a transaction that stays open at the target after its caller disconnected.
TEST_F(relayed_session_test, rolls_back_when_the_caller_disconnects) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    auto caller = open_session("strict");
    ask(*caller, "BEGIN");
    ask(*caller, "WRITE k1 x");
    caller.reset();
    run_until([&] { return contains(target.lines, "QUERY - ROLLBACK"); });
    EXPECT_FALSE(contains(target.lines, "COMMIT"));
}

// Guards against a read that a replica answers before it reaches the position known to the caller's
// VM.
TEST_F(relayed_session_test, forwards_the_required_position) {
    add_target("t1", true, [](const std::string&) { return std::string(); });
    scripted_target& replica = add_target("t2", false, make_idle_target());
    get_entry().engine.get_groups()["g"].name = "g";
    get_entry().engine.get_groups()["g"].history.add({1, 7}, transport::get_boot_time());
    const auto caller = open_session("bounded");
    EXPECT_EQ(ask(*caller, "READ k1").back(), "READY I 1.5");
    EXPECT_EQ(replica.lines, (std::vector<std::string>{"QUERY 100 WAITLSN 1.7 READ k1"}));
    ask(*caller, "BEGIN READ");
    ask(*caller, "READ k2");
    EXPECT_TRUE(contains(replica.lines, "QUERY 101 WAITLSN 1.7 BEGIN READ"));
}

// Guards against a home that uses a primary without a lease: the primary may have been replaced
// without the home being asked.
TEST_F(relayed_session_test, a_home_without_a_lease_refuses) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease(get_entry(), "t1");
    const auto caller = open_session("strict");
    const auto answer = ask(*caller, "WRITE k1 x");
    ASSERT_EQ(answer.size(), 2U);
    EXPECT_TRUE(answer[0].starts_with("ERROR BUSY")) << answer[0];
    EXPECT_TRUE(target.lines.empty());
}

// Guards against acknowledging a write of a primary that was replaced while the write ran.
TEST_F(relayed_session_test, does_not_acknowledge_a_write_after_a_home_lost_its_lease) {
    add_target("t1", true, [this](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        for (const auto& vm : vms_) {
            if (vm.get() != &get_entry()) {
                give_lease(*vm, "t2", 2);
            }
        }
        return std::string("COMPLETE proof\r\nREADY I 1.6\r\n");
    });
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    const auto answer = ask(*caller, "WRITE k1 x");
    EXPECT_TRUE(answer[0].starts_with("ERROR INDOUBT")) << answer[0];
}

// Guards against repeating a write at another home, and against giving up a read that another home
// can run.
TEST_F(relayed_session_test, a_lost_home_leaves_writes_in_doubt_and_retries_reads) {
    bool is_lost = true;
    scripted_target& target = add_target("t1", true, [&](const std::string& line) {
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        if (is_lost) {
            for (const auto& vm : vms_) {
                if (vm.get() != &get_entry()) {
                    vm->engine.close_all_sessions();
                }
            }
            return std::string();
        }
        return std::string("COMPLETE proof\r\nREADY I 1.6\r\n");
    });
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    EXPECT_TRUE(ask(*caller, "WRITE k1 x")[0].starts_with("ERROR INDOUBT"));
    EXPECT_EQ(target.lines.size(), 1U);
    caller->lines.clear();
    caller->send("QUERY 1 READ k1");
    run_until([&] { return target.lines.size() == 2; });
    is_lost = false;
    run_until([&] { return !caller->lines.empty(); });
    EXPECT_EQ(caller->lines[0], "COMPLETE proof");
}

// Guards against statements that wait for a suspended or partitioned home while the target's other
// homes answer.
TEST_F(relayed_session_test, switches_from_an_unresponsive_home_to_another) {
    add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    const auto first = open_session("strict");
    ask(*first, "READ k1");
    const std::string home =
        get_entry().engine.get_groups()["g"].targets["t1"].links[0]->get_home();
    for (const auto& vm : vms_) {
        if (vm->member.vm == home) {
            // Replaces the home by a listener that accepts connections and never answers.
            get_entry().engine.close_target_links("g", "t1");
            vm->peers.reset();
            silent_home_ = std::make_unique<scripted_target>(
                loop_, vm->member.peer_address, [](const std::string&) { return std::string(); });
        }
    }
    std::vector<std::string> answer;
    for (int i = 0; i < 3 && (answer.empty() || answer[0] != "COMPLETE proof"); ++i) {
        answer = ask(*first, "WRITE k2 x");
    }
    EXPECT_EQ(answer[0], "COMPLETE proof");
    const auto& links = get_entry().engine.get_groups()["g"].targets["t1"].links;
    EXPECT_TRUE(std::any_of(links.begin(), links.end(), [&](const auto& link) {
        return link->is_open() && link->get_home() != home;
    }));
}

// Guards against a statement of another VM that runs without a session value because the home has
// refused the value as too long.
TEST_F(relayed_session_test, runs_nothing_after_a_step_that_is_too_long) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    test_caller peer(loop_, vms_[0]->member.peer_address);
    peer.send("STARTUP g hornbeamhook t1");
    run_until([&] { return !peer.lines.empty(); });
    const std::string head = "QUERY - SET a ";
    peer.send(head + std::string(max_message_bytes - head.size() - 2, 'x'));
    peer.send("LIMITS 400 1");
    peer.send("QUERY 1 WRITE k1 x");
    run_until([&] { return peer.is_ended || peer.lines.size() >= 5; });
    EXPECT_TRUE(contains(peer.lines, "ERROR TOOBIG"));
    EXPECT_FALSE(contains(target.lines, "WRITE k1 x"));
}

// Guards against a statement that is lost because its home stops between the session value before
// it and the statement, although both had arrived.
TEST_F(relayed_session_test, a_stopping_home_answers_what_has_arrived) {
    add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "READ k1");
    const std::string home =
        get_entry().engine.get_groups()["g"].targets["t1"].links[0]->get_home();
    for (const auto& vm : vms_) {
        if (vm->member.vm == home) {
            vm->engine.set_stopping();
        }
    }
    ask(*caller, "SET mode a");
    EXPECT_EQ(ask(*caller, "WRITE k1 x")[0], "COMPLETE proof");
}

// Guards against a caller in doubt about a COMMIT that was never sent, because the target did not
// answer its home, which had to set a value first.
TEST_F(relayed_session_test, a_commit_that_waits_for_its_setup_is_given_up_as_not_run) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        return line.find(" SET ") != std::string::npos ? std::string()
               : line.starts_with("STARTUP")           ? std::string("READY I 1.5\r\n")
                                             : std::string("COMPLETE proof\r\nREADY T 1.5\r\n");
    });
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "BEGIN");
    ask(*caller, "WRITE k1 x");
    ask(*caller, "SET mode a");
    const auto answer = ask(*caller, "COMMIT");
    EXPECT_TRUE(answer[0].starts_with("ERROR ABORTED")) << answer[0];
    EXPECT_FALSE(contains(target.lines, "COMMIT"));
}

// Guards against a commit that is reported as not run although a home of the release before, which
// goes on after a set-up that it refuses, has run it.
TEST_F(relayed_session_test, a_home_of_the_release_before_leaves_a_commit_in_doubt) {
    std::vector<std::string> lines;
    std::vector<std::unique_ptr<scripted_target>> homes;
    for (const auto& vm : vms_) {
        if (vm.get() != &get_entry()) {
            vm->peers.reset();
            homes.push_back(std::make_unique<scripted_target>(
                loop_, vm->member.peer_address,
                [&, idle = make_idle_target()](const std::string& line) {
                    lines.push_back(line);
                    if (line.starts_with("LIMITS")) {
                        return std::string();
                    }
                    return line.find(" SET ") != std::string::npos
                               ? std::string("ERROR TOOBIG too many values\r\nREADY T -\r\n")
                               : idle(line);
                }));
        }
    }
    add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "BEGIN");
    EXPECT_EQ(ask(*caller, "WRITE k1 x")[0], "COMPLETE proof");
    ask(*caller, "SET mode a");
    const auto answer = ask(*caller, "COMMIT");
    EXPECT_TRUE(contains(lines, "COMMIT"));
    EXPECT_TRUE(answer[0].starts_with("ERROR INDOUBT")) << answer[0];
}

// Guards against running work that is given up because its home was silent for a while and is not a
// home any more.
TEST_F(relayed_session_test, an_answer_of_a_former_home_is_delivered) {
    bool is_answering = false;
    scripted_target& target = add_target("t1", true, [&](const std::string& line) {
        return line.find("WRITE") != std::string::npos && !is_answering ? std::string()
                                                                        : make_idle_target()(line);
    });
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "READ k1");
    const std::string home =
        get_entry().engine.get_groups()["g"].targets["t1"].links[0]->get_home();
    caller->lines.clear();
    caller->send("QUERY 900 WRITE k1 x");
    run_until([&] { return target.lines.size() == 2; });
    std::vector<fleet_member> live;
    for (const auto& vm : vms_) {
        if (vm->member.vm != home) {
            live.push_back(vm->member);
        }
    }
    get_entry().engine.set_fleet(live, static_cast<int>(vms_.size()));
    target.write_to_all("COMPLETE proof\r\nREADY I 1.6\r\n");
    run_until([&] { return caller->lines.size() >= 2; });
    EXPECT_EQ(caller->lines[0], "COMPLETE proof");
    EXPECT_EQ(target.lines.size(), 2U);
}

// Guards against a planned stop that cuts statements off without an answer.
TEST_F(relayed_session_test, a_stop_answers_outstanding_statements) {
    add_target("t1", true, [&](const std::string& line) {
        return line.find("QUERY") != std::string::npos ? std::string() : make_idle_target()(line);
    });
    give_lease_to_all("t1");
    const auto writer = open_session("strict");
    const auto reader = open_session("strict");
    const auto waiting = open_session("unleased");
    writer->lines.clear();
    reader->lines.clear();
    writer->send("QUERY 901 WRITE k1 x");
    reader->send("QUERY 902 READ k1");
    run_until([&] { return get_entry().engine.get_groups()["g"].running.size() == 2; });
    waiting->lines.clear();
    waiting->send("QUERY 903 WRITE k1 x");
    run_until([&] { return !get_entry().engine.get_groups()["h"].queue.empty(); });
    get_entry().engine.end_all_sessions();
    run_until([&] { return writer->is_ended && reader->is_ended && waiting->is_ended; });
    ASSERT_FALSE(writer->lines.empty());
    EXPECT_TRUE(contains(writer->lines, "ERROR INDOUBT"));
    EXPECT_TRUE(contains(reader->lines, "ERROR ABORTED"));
    EXPECT_TRUE(contains(waiting->lines, "ERROR BUSY"));
}

// Guards against a read that fails because the home that runs it stops, although another home can
// run it.
TEST_F(relayed_session_test, a_stopping_home_leaves_its_reads_to_the_entry) {
    bool is_answering = false;
    add_target("t1", true, [&](const std::string& line) {
        return line.find("QUERY") != std::string::npos && !is_answering ? std::string()
                                                                        : make_idle_target()(line);
    });
    give_lease_to_all("t1");
    const auto reader = open_session("strict");
    reader->lines.clear();
    reader->send("QUERY 902 READ k1");
    run_until([&] { return targets_["t1"]->lines.size() == 1; });
    is_answering = true;
    const std::string home =
        get_entry().engine.get_groups()["g"].targets["t1"].links[0]->get_home();
    for (const auto& vm : vms_) {
        if (vm->member.vm == home) {
            vm->engine.end_all_sessions();
        }
    }
    run_until([&] { return reader->lines.size() >= 2; });
    EXPECT_TRUE(contains(reader->lines, "COMPLETE proof"));
}

// Guards against callers that wait until their timeout when no connection becomes free.
TEST_F(relayed_session_test, a_home_refuses_when_no_connection_becomes_free) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    std::vector<std::unique_ptr<test_caller>> transaction_callers;
    for (int i = 0; i < 3; ++i) {
        transaction_callers.push_back(open_session("strict"));
        ask(*transaction_callers.back(), "BEGIN");
        const auto answer = ask(*transaction_callers.back(), "WRITE k1 x");
        if (answer[0].starts_with("ERROR")) {
            break;
        }
    }
    const auto caller = open_session("strict");
    const std::int64_t asked_at = transport::get_boot_time();
    std::vector<std::string> answer;
    while (answer.empty() || !answer[0].starts_with("ERROR")) {
        answer = ask(*caller, "BEGIN");
        answer = ask(*caller, "WRITE k2 x");
        transaction_callers.push_back(open_session("strict"));
        ask(*transaction_callers.back(), "BEGIN");
        ask(*transaction_callers.back(), "WRITE k1 x");
        ask(*caller, "ROLLBACK");
        ASSERT_LT(transport::get_boot_time() - asked_at, wait_limit_ms);
    }
    EXPECT_TRUE(answer[0].starts_with("ERROR BUSY")) << answer[0];
    EXPECT_LE(target.connections, 4);
}

// Guards against input on the port for other VMs that crashes the process or runs as a statement.
TEST_F(relayed_session_test, drops_malformed_input_from_other_vms) {
    scripted_target& target = add_target("t1", true, make_idle_target());
    give_lease_to_all("t1");
    for (const std::string& input :
         {std::string("QUERY 1 READ k1\r\n"), std::string("\0\xff\xfe binary\r\n", 13),
          std::string("STARTUP g\r\n"), std::string("STARTUP g x t1\r\nLIMITS a b\r\n"),
          std::string("STARTUP g x t1\r\nQUERY 1 STEPDOWN 9\r\n"),
          std::string("STARTUP g x t1\r\nQUERY 1 WAITLSN x READ k1\r\n"),
          std::string("STARTUP g x t1\r\nQUERY 1 BEGIN\r\nQUERY 2 BEGIN\r\n"),
          std::string((1U << 20) + 10, 'x')}) {
        test_caller bad(loop_, vms_[0]->member.peer_address);
        bad.send(input);
        run_until([&] { return bad.is_ended; });
    }
    EXPECT_TRUE(target.lines.empty());
    const auto caller = open_session("strict");
    EXPECT_EQ(ask(*caller, "READ k1").back(), "READY I 1.5");
}

// Guards against a caller that is left in doubt because homes wait for the set-up of a connection
// until the VM that passed the statement on gives it up.
TEST_F(relayed_session_test, homes_report_in_time_that_a_statement_was_not_sent) {
    scripted_target& target = add_target("t1", true, [](const std::string& line) {
        return line.find(" SET ") != std::string::npos ? std::string() : make_idle_target()(line);
    });
    give_lease_to_all("t1");
    const auto caller = open_session("strict");
    ask(*caller, "SET mode a");
    const auto answer = ask(*caller, "WRITE k1 x");
    EXPECT_TRUE(answer[0].starts_with("ERROR BUSY")) << answer[0];
    EXPECT_FALSE(contains(target.lines, "WRITE"));
}

// Guards against a statement that waits at a home that does not know its target.
TEST_F(relayed_session_test, a_home_refuses_statements_for_unknown_targets) {
    give_lease_to_all("t9");
    test_caller peer(loop_, vms_[0]->member.peer_address);
    peer.send("STARTUP g x t9\r\nLIMITS 300 1\r\nQUERY 1 WRITE k1 x");
    run_until([&] { return contains(peer.lines, "ERROR BUSY"); });
}

}  // namespace
}  // namespace hornbeamhook::gateway
