#include "gateway/group_queue.h"

#include <gtest/gtest.h>
#include <sodium.h>

#include <algorithm>
#include <map>

#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_target.h"
#include "support/test_caller.h"
#include "support/test_vm.h"

namespace hornbeamhook::gateway {
namespace {

using tests::contains;
using tests::scripted_target;
using tests::test_caller;
using tests::test_vm;

constexpr std::int64_t objective_ms = 4000;  ///< Far above the time of any exchange here.
constexpr std::int64_t timeout_ms = 9000;

pending_statement_ptr make_pending(const std::string& organisation, std::int64_t priority,
                                   std::int64_t arrived_at) {
    auto result = std::make_shared<pending_statement>();
    result->organisation = organisation;
    result->needs_primary = true;
    result->target_route.priority = priority;
    result->target_route.objective_ms = objective_ms;
    result->arrived_at = arrived_at;
    return result;
}

// Guards against a changed order where no organisation is known.
TEST(group_queue, orders_statements_of_unknown_callers_by_priority_then_arrival) {
    target_group group;
    const auto patient = make_pending("", 2, 10);
    const auto late = make_pending("", 1, 30);
    const auto early = make_pending("", 1, 20);
    for (const auto& pending : {patient, late, early}) {
        EXPECT_TRUE(enqueue_fairly(group, pending, {}, 40));
    }
    EXPECT_EQ(group.queue, (std::vector{early, late, patient}));
    target_group plain;
    for (const auto& pending : {patient, late, early}) {
        enqueue(plain, pending);
    }
    EXPECT_EQ(plain.queue, group.queue);
}

// Guards against turns that are not counted by organisation, or tie-breaks that ignore its
// priority.
TEST(group_queue, organisations_take_turns) {
    organisation_table organisations;
    organisations.organisations["anna"] = {"anna", 1, std::nullopt};
    organisations.organisations["bert"] = {"bert", 0, std::nullopt};
    target_group group;
    const auto anna_1 = make_pending("anna", 1, 10);
    const auto anna_2 = make_pending("anna", 1, 11);
    const auto bert = make_pending("bert", 1, 12);
    for (const auto& pending : {anna_1, anna_2, bert}) {
        EXPECT_TRUE(enqueue_fairly(group, pending, organisations, 40));
    }
    EXPECT_EQ(group.queue, (std::vector{bert, anna_1, anna_2}));
    organisations.organisations["bert"].priority = 2;
    arrange_fairly(group, organisations, 40);
    EXPECT_EQ(group.queue, (std::vector{anna_1, bert, anna_2}));
}

/** One VM with one connection to a target that answers no statement by itself. */
class fair_engine_test : public testing::Test {
protected:
    fair_engine_test() : vm_(loop_, codec_, "vm-a", "near") {
        EXPECT_GE(sodium_init(), 0);
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict",     "g", read_policy::primary, 0, timeout_ms,
                                  objective_ms, 1};
        value.routes["bounded"] = {"bounded",    "g", read_policy::bounded, 1500, timeout_ms,
                                   objective_ms, 1};
        value.connection_limits["g"] = 1;
        for (const std::string name : {"anna", "bert"}) {
            value.organisations.organisations[name] = {name, 0, std::nullopt};
            value.organisations.names[make_key_digest(name + "-key")] = name;
        }
        vm_.engine.set_identifies_callers(true);
        vm_.engine.set_shares_fairly(true);
        vm_.engine.set_configuration(value);
        vm_.engine.set_fleet({vm_.member}, 1);
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        target_ = std::make_unique<scripted_target>(loop_, address, [](const std::string& line) {
            return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
        });
        vm_.engine.update_target("t1", target_entry{"t1", "g", address, "near", 1, 2, false, true});
        get_group().name = "g";
        get_group().lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
    }

    target_group& get_group() { return vm_.engine.get_groups()["g"]; }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    std::unique_ptr<test_caller> open_session(const std::string& database,
                                              const std::string& organisation) {
        auto caller = std::make_unique<test_caller>(loop_, vm_.caller_address);
        caller->send("STARTUP " + database + " " + organisation + "-key");
        run_until([&] { return !caller->lines.empty() || caller->is_ended; });
        caller->lines.clear();
        return caller;
    }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    test_vm vm_;
    std::unique_ptr<scripted_target> target_;
};

// Guards against an organisation whose queued statements all go before one of another.
TEST_F(fair_engine_test, sends_for_organisations_in_turn) {
    std::vector<std::unique_ptr<test_caller>> callers;
    for (const std::string name : {"anna", "anna", "anna", "bert"}) {
        callers.push_back(open_session("strict", name));
    }
    callers[0]->send("QUERY 900 WRITE k0 x");
    run_until([&] { return target_->lines.size() == 1; });
    for (std::size_t i = 1; i < callers.size(); ++i) {
        callers[i]->send("QUERY 90" + std::to_string(i) + " WRITE k" + std::to_string(i) + " x");
        run_until([&] { return get_group().queue.size() == i; });
    }
    target_->write_to_all("COMPLETE proof\r\nREADY I 1.6\r\n");
    run_until([&] { return target_->lines.size() == 2; });
    EXPECT_EQ(target_->lines.back(), "QUERY 903 WRITE k3 x");
}

// Load: the target answers too slowly for what waits. Guards against reads that wait until their
// time limit before their caller learns that another VM must serve them, and against a refusal of
// a statement that a target received.
TEST_F(fair_engine_test, refuses_a_read_at_once_that_cannot_be_served_in_time) {
    const auto running = open_session("bounded", "anna");
    const auto refused = open_session("bounded", "anna");
    running->send("QUERY 900 READ k0");
    run_until([&] { return target_->lines.size() == 1; });
    get_group().targets["t1"].mean_answer_ms = 3000;  // Waits of 800 ms at most are useful.
    get_group().targets["t1"].last_answer_at = transport::get_boot_time();
    const std::int64_t sent_at = transport::get_boot_time();
    refused->send("QUERY 901 READ k1");
    run_until([&] { return !refused->lines.empty(); });
    EXPECT_LT(transport::get_boot_time() - sent_at, 800);
    EXPECT_TRUE(contains(refused->lines, "ERROR BUSY")) << refused->lines.front();
    EXPECT_FALSE(contains(target_->lines, "QUERY 901"));
    EXPECT_TRUE(get_group().queue.empty());
}

// Guards against early refusals where the configuration does not call for them.
TEST_F(fair_engine_test, a_read_waits_while_room_is_not_shared_fairly) {
    vm_.engine.set_shares_fairly(false);
    const auto running = open_session("bounded", "anna");
    const auto waiting = open_session("bounded", "anna");
    running->send("QUERY 900 READ k0");
    run_until([&] { return target_->lines.size() == 1; });
    get_group().targets["t1"].mean_answer_ms = 3000;
    get_group().targets["t1"].last_answer_at = transport::get_boot_time();
    waiting->send("QUERY 901 READ k1");
    run_until([&] { return get_group().queue.size() == 1; });
    EXPECT_TRUE(waiting->lines.empty());
}

}  // namespace
}  // namespace hornbeamhook::gateway
