#include "gateway/caller_limits.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "gateway/session_engine.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

using tests::test_caller;

class caller_limits_test : public testing::Test {
protected:
    caller_limits_test()
        : caller_address_(*transport::parse_endpoint(tests::get_free_address())),
          engine_(loop_, codec_, log_, counters_, "vm-a", "z", {{"z", "r"}}),
          listener_(loop_, caller_address_, [this](const auto& stream) {
              engine_.accept(stream, session_origin::caller);
          }) {
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        engine_.set_configuration(value);
    }

    void set_limits(std::size_t bytes, std::size_t connections) {
        engine_.get_caller_limits().set_limits({.caller_bytes = bytes,
                                                .peer_bytes = bytes,
                                                .caller_connections = connections,
                                                .peer_connections = connections});
    }

    std::size_t get_used_bytes() {
        return engine_.get_caller_limits().get_used_bytes(session_origin::caller);
    }

    void run_until(const std::function<bool()>& condition) { tests::run_until(loop_, condition); }

    std::unique_ptr<test_caller> open_session(const std::string& database) {
        return tests::open_session(loop_, caller_address_, database);
    }

    /** Sends a statement and returns its result. */
    std::string ask(test_caller& caller, const std::string& text) {
        const std::vector<std::string> answer = tests::ask(loop_, caller, next_id_++, text);
        return answer.size() < 2 ? std::string() : answer[answer.size() - 2];
    }

    static constexpr std::size_t mib = std::size_t{1} << 20;
    transport::event_loop loop_;
    platform::wire_codec codec_;
    bounded_log log_{"test"};
    gateway_counters counters_;
    transport::endpoint caller_address_;
    session_engine engine_;
    transport::tcp_listener listener_;
    int next_id_ = 100;
};

// Guards against a crowd that keeps ordinary callers out, or that ends their sessions: unstarted
// connections make room first.
TEST_F(caller_limits_test, unstarted_connection_makes_room_for_a_new_one) {
    set_limits(8 * mib, 2);
    const auto first = open_session("strict");
    test_caller silent(loop_, caller_address_);
    run_until([&] { return engine_.count_sessions() == 2; });
    const auto second = open_session("strict");
    run_until([&] { return silent.is_ended; });
    EXPECT_FALSE(first->is_ended);
    EXPECT_EQ(ask(*second, "SET a b"), "COMPLETE -");
    EXPECT_EQ(ask(*first, "SET a b"), "COMPLETE -");
}

// Guards against ending a transaction for a connection that was just opened.
TEST_F(caller_limits_test, transaction_makes_no_room_for_a_new_connection) {
    set_limits(8 * mib, 1);
    const auto caller = open_session("strict");
    EXPECT_EQ(ask(*caller, "BEGIN"), "COMPLETE -");
    test_caller refused(loop_, caller_address_);
    run_until([&] { return refused.is_ended; });
    EXPECT_EQ(ask(*caller, "ROLLBACK"), "COMPLETE -");
    EXPECT_EQ(engine_.count_sessions(), 1U);
}

// Guards against ordinary callers that pay for one that holds more, and against bytes that stay
// counted after their session has ended.
TEST_F(caller_limits_test, session_that_holds_the_most_is_closed) {
    set_limits(2 * mib, 100);
    const auto ordinary = open_session("strict");
    EXPECT_EQ(ask(*ordinary, "SET a b"), "COMPLETE -");
    std::vector<std::unique_ptr<test_caller>> crowd;
    const auto count_ended = [&] {
        return std::count_if(crowd.begin(), crowd.end(),
                             [](const auto& caller) { return caller->is_ended; });
    };
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(open_session("strict"));
        crowd.back()->send_part("QUERY 1 SET a " + std::string(900'000, 'x'));
    }
    run_until([&] { return count_ended() >= 2; });
    EXPECT_FALSE(ordinary->is_ended);
    EXPECT_EQ(ask(*ordinary, "SET a c"), "COMPLETE -");
    EXPECT_LE(get_used_bytes(), 2 * mib);
    crowd.clear();
    ordinary->send("TERMINATE");
    run_until([&] { return engine_.count_sessions() == 0; });
    EXPECT_EQ(get_used_bytes(), 0U);
}

// Guards against sessions that hold a connection without ever starting, or a message without ever
// completing it, and against ending sessions that only rest.
TEST_F(caller_limits_test, time_limits_spare_resting_sessions) {
    constexpr std::int64_t minute_ms = 60'000;
    const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
    std::shared_ptr<caller_session> session;
    const transport::tcp_listener listener(loop_, address, [&](const auto& stream) {
        session = std::make_shared<caller_session>(engine_, stream, session_origin::caller);
        session->start();
    });
    test_caller caller(loop_, address);
    run_until([&] { return session != nullptr; });
    const std::int64_t now = transport::get_boot_time();
    EXPECT_EQ(session->find_overdue_exchange(now + 2000), "");
    EXPECT_NE(session->find_overdue_exchange(now + minute_ms), "");

    caller.send("STARTUP strict user");
    run_until([&] { return !caller.lines.empty(); });
    EXPECT_EQ(session->find_overdue_exchange(now + 60 * minute_ms), "");

    const std::size_t used = get_used_bytes();
    caller.send_part("QUERY 1 SET a " + std::string(100'000, 'x'));
    run_until([&] { return get_used_bytes() > used + 90'000; });
    EXPECT_EQ(session->find_overdue_exchange(now + minute_ms / 2), "");
    EXPECT_NE(session->find_overdue_exchange(transport::get_boot_time() + minute_ms), "");

    caller.lines.clear();
    caller.send("");
    run_until([&] { return !caller.lines.empty(); });
    EXPECT_EQ(session->find_overdue_exchange(now + 60 * minute_ms), "");
    session->close();
}

}  // namespace
}  // namespace hornbeamhook::gateway
