#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/session_engine.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_target.h"
#include "support/test_caller.h"
#include "support/test_vm.h"

namespace hornbeamhook::gateway {
namespace {

using tests::scripted_target;
using tests::test_caller;
using tests::test_vm;

constexpr int slots = 2;
constexpr int callers = 6;
constexpr std::int64_t objective_ms = 4000;  ///< Far above the time of any exchange here.
constexpr std::int64_t timeout_ms = 9000;

/** One VM and a target of two slots that answers statements only when the test says so. */
class paced_target_test : public testing::Test {
protected:
    paced_target_test()
        : vm_(loop_, codec_, "vm-a", "near"),
          address_(*transport::parse_endpoint(tests::get_free_address())) {
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict",     "g", read_policy::primary, 0, timeout_ms,
                                  objective_ms, 1};
        value.connection_limits["g"] = 56;
        vm_.engine.set_paces_targets(true);
        vm_.engine.set_configuration(value);
        vm_.engine.set_fleet({vm_.member}, 1);
        target_ = std::make_unique<scripted_target>(loop_, address_, [](const std::string& line) {
            return std::string(line.starts_with("STARTUP") ? "READY I 1.5\r\n" : "");
        });
        list_target(1);
        give_lease(1);
    }

    void list_target(std::int64_t started_at) {
        vm_.engine.update_target(
            "t1", target_entry{"t1", "g", address_, "near", started_at, slots, false, true});
    }

    void give_lease(state::term_number term) {
        get_group().name = "g";
        get_group().lease.confirm({"t1", term, {}, 10 + static_cast<std::int64_t>(term)},
                                  transport::get_boot_time());
    }

    target_group& get_group() { return vm_.engine.get_groups()["g"]; }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    /** Sends one write for each of six sessions and waits until `expected` have reached the
     * target and the others are in the queue. */
    void send_all(std::size_t expected) {
        for (int i = 0; i < callers; ++i) {
            sessions_.push_back(tests::open_session(loop_, vm_.caller_address, "strict"));
            sessions_.back()->send("QUERY 90" + std::to_string(i) + " WRITE k x");
        }
        run_until([&] {
            return target_->lines.size() >= expected &&
                   get_group().queue.size() + target_->lines.size() == callers;
        });
        // Two ticks of the engine, each of which tries the queue again.
        const std::int64_t until = transport::get_boot_time() + 150;
        run_until([&] { return transport::get_boot_time() >= until; });
    }

    void answer_all() { target_->write_to_all("COMPLETE proof\r\nREADY I 1.6\r\n"); }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    test_vm vm_;
    transport::endpoint address_;
    std::unique_ptr<scripted_target> target_;
    std::vector<std::unique_ptr<test_caller>> sessions_;
};

// Guards against a target that is slowed although it was never away, and against statements that
// queue inside the target instead of here.
TEST_F(paced_target_test, a_known_target_gets_one_statement_more_than_its_slots) {
    send_all(slots + 1);
    EXPECT_EQ(target_->lines.size(), slots + 1U);
    EXPECT_EQ(get_group().queue.size(), callers - slots - 1U);
}

// Guards against a burst at a target that has just restarted.
TEST_F(paced_target_test, a_restarted_target_begins_with_one_statement) {
    list_target(2);
    send_all(1);
    EXPECT_EQ(target_->lines.size(), 1U);
    EXPECT_EQ(get_group().queue.size(), callers - 1U);
    answer_all();
    run_until([&] { return target_->lines.size() >= 3; });
}

// Guards against a burst at a replica that has just become the primary.
TEST_F(paced_target_test, a_promoted_target_begins_with_one_statement) {
    vm_.engine.dispatch("g");
    give_lease(2);
    vm_.engine.dispatch("g");
    send_all(1);
    EXPECT_EQ(target_->lines.size(), 1U);
}

// Guards against a burst at a target that was unreachable, and against a pace that drops although
// the target still holds connections.
TEST_F(paced_target_test, a_target_without_connections_begins_with_one_statement) {
    send_all(slots + 1);
    EXPECT_EQ(get_group().targets["t1"].pace->get_limit(), slots + 1);
    get_group().targets["t1"].pace_link_end(false);
    EXPECT_EQ(get_group().targets["t1"].pace->get_limit(), slots + 1);
    target_->reset_all();
    run_until([&] { return get_group().targets["t1"].pace->get_limit() == 1; });
}

// Guards against limits on statements where the settings don't call for them.
TEST_F(paced_target_test, sends_all_while_targets_are_not_paced) {
    get_group().targets["t1"].pace.reset();
    send_all(callers);
    EXPECT_EQ(target_->lines.size(), static_cast<std::size_t>(callers));
}

}  // namespace
}  // namespace hornbeamhook::gateway
