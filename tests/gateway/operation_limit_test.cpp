#include <gtest/gtest.h>
#include <sodium.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway/limit_exchange.h"
#include "gateway/session_engine.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_target.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

using tests::test_caller;

/** A caller that sends its next statement when the last one is answered. */
struct busy_caller {
    std::unique_ptr<test_caller> caller;
    std::size_t handled = 0;
    int sent = 0;
    int served = 0;
    int refused = 0;
    std::vector<std::string> texts;
};

/** A fleet of one VM that limits "anna" to 10 operations a second and "bert" to 1,000. */
class operation_limit_test : public testing::Test {
protected:
    operation_limit_test()
        : caller_address_(*transport::parse_endpoint(tests::get_free_address())),
          limits_("vm-a", 1, {0, 0, 5000, 0.1, 20}, transport::get_boot_time(),
                  {.find_organisation =
                       [this](const std::string& name) {
                           return engine_.find_organisation_by_name(name);
                       },
                   .send = [](const std::string&, const peer_message&) {},
                   .dispatch = [this](const std::string& group) { engine_.dispatch(group); }}),
          engine_(loop_, codec_, log_, counters_, "vm-a", "z", {{"z", "r"}}),
          timer_(loop_),
          listener_(loop_, caller_address_, [this](const auto& stream) {
              engine_.accept(stream, session_origin::caller);
          }) {
        EXPECT_GE(sodium_init(), 0);
        engine_.set_identifies_callers(true);
        engine_.set_operation_gate(&limits_);
        value_.version = 1;
        value_.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        value_.routes["patient"] = {"patient", "g", read_policy::primary, 0, 20000, 10000, 2};
        value_.connection_limits["g"] = 8;
        add_organisation("anna", "key-a", {10, 5});
        add_organisation("bert", "key-b", {1000, 500});
        engine_.set_configuration(value_);
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        target_ =
            std::make_unique<tests::scripted_target>(loop_, address, tests::make_idle_target());
        engine_.update_target("t1", target_entry{"t1", "g", address, "z", 1, 2, false, true});
        engine_.get_groups()["g"].name = "g";
        engine_.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
        limits_.set_members({"vm-a"}, 1, transport::get_boot_time());
        timer_.start(limit_tick_ms, limit_tick_ms,
                     [this] { limits_.tick(transport::get_boot_time()); });
        run_for(1200);  // Until the VM votes and its bucket has filled for a while.
    }

    void add_organisation(const std::string& name, const std::string& key, operation_limit limit) {
        value_.organisations.organisations[name] = {name, 0, limit};
        value_.organisations.names[make_key_digest(key)] = name;
    }

    void run_for(std::int64_t duration_ms) {
        const std::int64_t end = transport::get_boot_time() + duration_ms;
        while (transport::get_boot_time() < end) {
            // The lease of the only VM goes on.
            engine_.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, transport::get_boot_time());
            for (busy_caller& each : callers_) {
                drive(each);
            }
            const std::int64_t turn = transport::get_boot_time() + 5;
            tests::run_until(loop_, [&] { return transport::get_boot_time() >= turn; });
        }
    }

    void drive(busy_caller& each) {
        const auto& lines = each.caller->lines;
        for (; each.handled < lines.size(); ++each.handled) {
            const std::string& line = lines[each.handled];
            if (line.find("ERROR") != std::string::npos) {
                ++each.refused;
                each.texts.push_back(line);
            } else if (line.find("COMPLETE") != std::string::npos) {
                ++each.served;
            }
        }
        if (each.sent == each.served + each.refused) {
            ++each.sent;
            each.caller->send("QUERY " + std::to_string(next_id_++) + " READ k");
        }
    }

    void add_callers(const std::string& key, int count, const std::string& database = "strict") {
        for (int i = 0; i < count; ++i) {
            auto caller = std::make_unique<test_caller>(loop_, caller_address_);
            caller->send("STARTUP " + database + " " + key);
            test_caller* opened = caller.get();
            tests::run_until(loop_, [&] { return !opened->lines.empty(); });
            const std::size_t handled = opened->lines.size();
            callers_.push_back({std::move(caller), handled, 0, 0, 0, {}});
        }
    }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    bounded_log log_{"test"};
    gateway_counters counters_;
    transport::endpoint caller_address_;
    limit_exchange limits_;
    session_engine engine_;
    transport::loop_timer timer_;
    transport::tcp_listener listener_;
    configuration value_;
    std::unique_ptr<tests::scripted_target> target_;
    std::vector<busy_caller> callers_;
    int next_id_ = 100;
};

// hot organisation: guards against more operations than the limit allows, and against another
// organisation that is refused or waits because of them.
TEST_F(operation_limit_test, refuses_what_is_over_the_limit_and_serves_the_others) {
    add_callers("key-a", 12);
    add_callers("key-b", 2);
    run_for(3000);
    int served = 0;
    int refused = 0;
    for (const busy_caller& each : callers_) {
        if (&each < &callers_[12]) {
            served += each.served;
            refused += each.refused;
            for (const std::string& text : each.texts) {
                EXPECT_NE(text.find("BUSY"), std::string::npos) << text;
                EXPECT_NE(text.find("the limit of the organisation is reached"), std::string::npos)
                    << text;
            }
        } else {
            EXPECT_EQ(each.refused, 0);
            EXPECT_GT(each.served, 50);
        }
    }
    EXPECT_GT(refused, 10);
    const std::string metrics = limits_.format_metrics();
    const std::string sample = "limit_refused_total{organisation=\"anna\"} ";
    const std::size_t found = metrics.find(sample);
    ASSERT_NE(found, std::string::npos) << metrics;
    // Each caller may have one refusal that has not arrived yet.
    const int counted = std::stoi(metrics.substr(found + sample.size()));
    EXPECT_GE(counted, refused);
    EXPECT_LE(counted, refused + 12);
    EXPECT_GE(served, 20);           // 3 s at 10 a second, less what the start costs.
    EXPECT_LE(served, 10 * 4 + 15);  // 4 s since the first vote, and the bucket.
    std::cout << "served=" << served << " refused=" << refused << '\n';
}

// hot organisation on a patient route: guards against statements beyond the limit that wait for as
// long as their objective allows, and hold the grants that urgent ones need.
TEST_F(operation_limit_test, does_not_queue_patient_statements_beyond_the_limit) {
    add_callers("key-a", 12, "patient");
    run_for(3000);
    int refused = 0;
    for (const busy_caller& each : callers_) {
        refused += each.refused;
    }
    EXPECT_GT(refused, 10);
}

// Guards against a limit that delays an organisation far below it.
TEST_F(operation_limit_test, serves_an_organisation_below_its_limit_at_once) {
    add_callers("key-b", 1);
    run_for(1000);
    EXPECT_EQ(callers_.front().refused, 0);
    EXPECT_GT(callers_.front().served, 20);
}

}  // namespace
}  // namespace hornbeamhook::gateway
