#include "transport/http_listener.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::transport {
namespace {

class http_listener_test : public testing::Test {
protected:
    http_listener_test()
        : address_(*parse_endpoint(tests::get_free_address())),
          listener_(loop_, address_, [](const http_call&, const http_listener::responder& respond) {
              respond({.status = 200, .body = "{}"});
          }) {}

    std::unique_ptr<tests::test_caller> connect() {
        return std::make_unique<tests::test_caller>(loop_, address_);
    }

    bool is_answered(tests::test_caller& caller) {
        caller.send_part("GET /v1 HTTP/1.1\r\nHost: x\r\n\r\n");
        // The answer before has no line end behind its body.
        const auto has_status = [&] { return tests::contains(caller.lines, "HTTP/1.1 200"); };
        tests::run_until(loop_, [&] { return caller.is_ended || has_status(); });
        return has_status();
    }

    event_loop loop_;
    endpoint address_;
    http_listener listener_;
};

// Guards against silent connections that keep the platform's probes and other VMs out.
TEST_F(http_listener_test, silent_connections_make_room) {
    listener_.set_limits(std::size_t{1} << 20, 2);
    std::vector<std::unique_ptr<tests::test_caller>> silent;
    for (int i = 0; i < 4; ++i) {
        silent.push_back(connect());
    }
    const auto count_ended = [&] {
        return std::count_if(silent.begin(), silent.end(),
                             [](const auto& caller) { return caller->is_ended; });
    };
    tests::run_until(loop_, [&] { return count_ended() == 2; });
    const auto caller = connect();
    EXPECT_TRUE(is_answered(*caller));
    EXPECT_EQ(count_ended(), 3);
}

// Guards against bodies that are held without a limit, and against ordinary requests that pay.
TEST_F(http_listener_test, connection_that_holds_the_most_is_closed) {
    listener_.set_limits(std::size_t{1} << 20, 100);
    const auto caller = connect();
    EXPECT_TRUE(is_answered(*caller));
    std::vector<std::unique_ptr<tests::test_caller>> crowd;
    for (int i = 0; i < 3; ++i) {
        crowd.push_back(connect());
        crowd.back()->send_part("POST /v1 HTTP/1.1\r\nHost: x\r\nContent-Length: 700000\r\n\r\n" +
                                std::string(600'000, 'x'));
    }
    tests::run_until(loop_, [&] {
        return std::count_if(crowd.begin(), crowd.end(),
                             [](const auto& entry) { return entry->is_ended; }) >= 2;
    });
    caller->lines.clear();
    EXPECT_TRUE(is_answered(*caller));
}

}  // namespace
}  // namespace hornbeamhook::transport
