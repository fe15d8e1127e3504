#include "transport/http_channel.h"

#include <gtest/gtest.h>

#include <set>

#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::transport {
namespace {

constexpr milliseconds_count call_timeout_ms = 300;

/** A server whose open connections go silent when the test says so; new ones are answered. */
class http_channel_test : public testing::Test {
protected:
    http_channel_test()
        : listener_(loop_, address_, [this](const std::shared_ptr<tcp_stream>& stream) {
              ++connections_;
              stream->start({.connected = {},
                             .received =
                                 [this, stream](std::string_view) {
                                     if (!is_silent_ && !silent_.contains(stream.get())) {
                                         open_.insert(stream.get());
                                         stream->write(
                                             "HTTP/1.1 200 -\r\nContent-Length: 0\r\n\r\n");
                                     }
                                 },
                             .ended = {}});
          }) {}

    void send() {
        channel_.send(
            {.method = "GET",
             .path = "/",
             .headers = {},
             .body = {},
             .timeout_ms = call_timeout_ms},
            [this](const http_exchange_answer& answer) { statuses_.push_back(answer.status); });
    }

    event_loop loop_;
    endpoint address_ = *parse_endpoint(tests::get_free_address());
    std::set<const tcp_stream*> open_;
    std::set<const tcp_stream*> silent_;
    int connections_ = 0;
    bool is_silent_ = false;  ///< Applies to new connections too.
    tcp_listener listener_;
    http_channel channel_{loop_, address_};
    std::vector<int> statuses_;
};

// Guards against a call between VMs, for example for updates of a hub, that waits for its time
// limit on one silent connection after another.
TEST_F(http_channel_test, a_repeated_call_is_answered_on_a_new_connection) {
    send();
    tests::run_until(loop_, [&] { return statuses_.size() == 1; });
    silent_ = open_;
    constexpr milliseconds_count interval_ms = 50;
    const milliseconds_count started_at = get_boot_time();
    channel_.send_repeatedly(
        {.method = "GET", .path = "/", .headers = {}, .body = {}, .timeout_ms = 10000}, interval_ms,
        3, [this](const http_exchange_answer& answer) { statuses_.push_back(answer.status); });
    tests::run_until(loop_, [&] { return statuses_.size() == 2; });
    EXPECT_EQ(statuses_.back(), 200);
    EXPECT_EQ(connections_, 2);
    EXPECT_LT(get_boot_time() - started_at, 1000);
}

// Guards against a repeated call that never ends, or ends more than once.
TEST_F(http_channel_test, a_repeated_call_fails_once_after_its_last_attempt) {
    is_silent_ = true;
    channel_.send_repeatedly(
        {.method = "GET", .path = "/", .headers = {}, .body = {}, .timeout_ms = call_timeout_ms},
        50, 3, [this](const http_exchange_answer& answer) { statuses_.push_back(answer.status); });
    tests::run_until(loop_, [&] { return !statuses_.empty(); });
    EXPECT_EQ(statuses_, std::vector<int>{0});
    EXPECT_EQ(connections_, 3);
}

// Guards against a second call that waits for its time limit on a connection which went silent
// together with the first one.
TEST_F(http_channel_test, kept_connections_are_not_used_after_one_went_silent) {
    send();
    send();
    tests::run_until(loop_, [&] { return statuses_.size() == 2; });
    EXPECT_EQ(connections_, 2);
    silent_ = open_;
    send();
    tests::run_until(loop_, [&] { return statuses_.size() == 3; });
    EXPECT_EQ(statuses_.back(), 0);
    send();
    tests::run_until(loop_, [&] { return statuses_.size() == 4; });
    EXPECT_EQ(statuses_.back(), 200);
    EXPECT_EQ(connections_, 3);
}

// Guards against a field of a request that the other end reads as further headers or requests.
TEST_F(http_channel_test, a_request_with_a_field_that_ends_its_line_is_not_sent) {
    const http_exchange_request valid{.method = "POST",
                                      .path = "/v1/rows-tx?a=b",
                                      .headers = {{"X-Name", "a b"}},
                                      .body = "a\r\n",
                                      .timeout_ms = call_timeout_ms};
    std::vector<http_exchange_request> odd(9, valid);
    odd[0].path = "/ HTTP/1.1\r\n\r\nPOST /v1/rows-tx";
    odd[1].path = "/a b";
    odd[2].path = "";
    odd[3].method = "GET / HTTP/1.1\r\n\r\nPOST";
    odd[4].headers[0].value = "a\r\nX-Fencing-Token: 9";
    odd[5].headers[0].value = "a\n";
    odd[6].headers[0].value = std::string("a\0b", 3);
    odd[7].headers[0].name = "X-Name: a\r\nX-Other";
    odd[8].headers[0].name = "";
    std::vector<http_exchange_answer> answers;
    for (const http_exchange_request& request : odd) {
        const std::size_t count = answers.size();
        channel_.send(request,
                      [&](const http_exchange_answer& answer) { answers.push_back(answer); });
        EXPECT_EQ(answers.size(), count);
        tests::run_until(loop_, [&] { return answers.size() == count + 1; });
        EXPECT_EQ(answers.back().status, 0);
        EXPECT_EQ(answers.back().error.failure, transport_failure::invalid);
        EXPECT_FALSE(answers.back().error.was_sent);
    }
    EXPECT_EQ(connections_, 0);
    channel_.send(valid, [&](const http_exchange_answer& answer) { answers.push_back(answer); });
    tests::run_until(loop_, [&] { return answers.size() == odd.size() + 1; });
    EXPECT_EQ(answers.back().status, 200);
}

}  // namespace
}  // namespace hornbeamhook::transport
