#include "gateway/gateway.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>

#include "platform/store_codec.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/scripted_store.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

transport::endpoint get_free_endpoint() {
    return *transport::parse_endpoint(tests::get_free_address());
}

gateway_settings make_settings(std::int64_t shutdown_limit_ms) {
    gateway_settings settings;
    settings.vm = "vm1";
    settings.caller_address = get_free_endpoint();
    settings.readiness_address = get_free_endpoint();
    settings.control_address = get_free_endpoint();
    settings.peer_address = get_free_endpoint();
    settings.store_address = get_free_endpoint();
    settings.promotion_address = get_free_endpoint();
    settings.shutdown_limit_ms = shutdown_limit_ms;
    return settings;
}

/** Two processes of one VM, one after the other, before a store that may execute changes late. */
class successive_processes : public testing::Test {
protected:
    static constexpr std::int64_t shutdown_limit_ms = 3200;
    const tests::scripted_store::row_key key_{product_table,
                                              std::string(member_key_prefix) + "vm1"};

    std::unique_ptr<gateway> start_process() {
        auto process = std::make_unique<gateway>(loop_, settings_, protocol_, calls_,
                                                 [] { return std::nullopt; });
        process->start();
        return process;
    }

    void wait_until_listed() {
        tests::run_until(loop_, [&] { return store_.rows.contains(key_); });
        ASSERT_TRUE(store_.rows.contains(key_));
    }

    gateway_settings settings_ = make_settings(shutdown_limit_ms);
    transport::event_loop loop_;
    platform::wire_codec protocol_;
    platform::store_codec calls_;
    tests::scripted_store store_{loop_, settings_.store_address};
};

// Guards against a removal that the store executes after the next process of the VM has registered:
// that process held leases although no promoter knew it (review case 2).
TEST_F(successive_processes, a_late_removal_does_not_unlist_the_next_process) {
    auto first = start_process();
    wait_until_listed();
    const std::string first_value = store_.rows.at(key_).value;
    store_.must_hold = [](const nlohmann::json& change) { return !change.at("Remove").empty(); };
    ASSERT_EQ(std::raise(SIGTERM), 0);
    loop_.run();
    ASSERT_EQ(store_.count_held(), 1U);
    first.reset();
    const auto second = start_process();
    tests::run_until(loop_, [&] { return store_.rows.at(key_).value != first_value; });
    const std::string second_value = store_.rows.at(key_).value;
    ASSERT_NE(second_value, first_value);
    store_.execute_held();
    ASSERT_TRUE(store_.rows.contains(key_));
    EXPECT_EQ(store_.rows.at(key_).value, second_value);
}

// Guards against a registration that the store executes after the next process of the VM has
// registered, and that lists an ended process in its place.
TEST_F(successive_processes, a_late_registration_does_not_replace_the_next_process) {
    store_.must_hold = [](const nlohmann::json& change) { return !change.at("Puts").empty(); };
    auto first = start_process();
    tests::run_until(loop_, [&] { return store_.count_held() > 0; });
    ASSERT_GT(store_.count_held(), 0U);
    first.reset();
    // The incarnation is the time of the start in ms.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    store_.must_hold = [](const nlohmann::json&) { return false; };
    const auto second = start_process();
    wait_until_listed();
    const std::string second_value = store_.rows.at(key_).value;
    store_.execute_held();
    EXPECT_EQ(store_.rows.at(key_).value, second_value);
}

// Guards against a process that stops and stays listed because its row has a newer version.
TEST_F(successive_processes, a_planned_stop_removes_the_row) {
    const auto process = start_process();
    wait_until_listed();
    int removals = 0;
    store_.must_hold = [&](const nlohmann::json& change) {
        if (!change.at("Remove").empty() && ++removals == 1) {
            store_.rows.at(key_).version += 100;
        }
        return false;
    };
    ASSERT_EQ(std::raise(SIGTERM), 0);
    loop_.run();
    EXPECT_EQ(removals, 2);
    EXPECT_FALSE(store_.rows.contains(key_));
}

// Guards against a process that waits for a store without an answer until it is killed.
TEST(gateway, exits_before_the_shutdown_limit_without_the_store) {
    constexpr std::int64_t shutdown_limit_ms = 1200;
    transport::event_loop loop;
    const gateway_settings settings = make_settings(shutdown_limit_ms);
    const transport::http_listener silent_store(
        loop, settings.store_address,
        [](const transport::http_call&, const transport::http_listener::responder&) {});
    const platform::wire_codec protocol;
    const platform::store_codec calls;
    gateway process(loop, settings, protocol, calls, [] { return std::nullopt; });
    process.start();
    const std::int64_t started_at = transport::get_boot_time();
    ASSERT_EQ(std::raise(SIGTERM), 0);
    loop.run();
    EXPECT_LT(transport::get_boot_time() - started_at, shutdown_limit_ms);
}

}  // namespace
}  // namespace hornbeamhook::gateway
