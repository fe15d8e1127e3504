#include "gateway/store_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "support/free_port.h"

namespace hornbeamhook::gateway {
namespace {

using transport::http_call;
using transport::http_exchange_answer;
using transport::http_listener;
using transport::http_reply;

constexpr std::int64_t call_timeout_ms = 400;
constexpr std::int64_t test_timeout_ms = 3000;

/** A store client whose relay answers as the test says. Without a script nothing listens. */
class store_client_test : public testing::Test {
protected:
    void start_store() {
        store_.emplace(loop_, store_address_,
                       [this](const http_call& call, const http_listener::responder& respond) {
                           store_calls_.push_back(call);
                           respond({.status = 200, .body = "stored"});
                       });
    }

    void start_relay(const http_reply& reply) {
        relay_.emplace(loop_, relay_address_,
                       [this, reply](const http_call&, const http_listener::responder& respond) {
                           ++relayed_calls_;
                           respond(reply);
                       });
        client_.set_relays({relay_address_});
    }

    /** Sends a change and waits for its answer. */
    http_exchange_answer change() {
        std::optional<http_exchange_answer> result;
        transport::loop_timer timer(loop_);
        timer.start(test_timeout_ms, 0, [this] { loop_.stop(); });
        client_.change({.method = "POST",
                        .path = "/v1/rows-put",
                        .headers = {},
                        .body = "row",
                        .timeout_ms = call_timeout_ms},
                       [&](const http_exchange_answer& answer) {
                           result = answer;
                           loop_.stop();
                       });
        loop_.run();
        EXPECT_TRUE(result.has_value()) << "no answer in time";
        return result.value_or(http_exchange_answer{});
    }

    transport::event_loop loop_;
    transport::endpoint store_address_ = *transport::parse_endpoint(tests::get_free_address());
    transport::endpoint relay_address_ = *transport::parse_endpoint(tests::get_free_address());
    bounded_log log_{"vm1"};
    gateway_counters counters_;
    store_client client_{loop_, store_address_, log_, counters_};
    std::optional<http_listener> store_;
    std::optional<http_listener> relay_;
    std::vector<http_call> store_calls_;
    int relayed_calls_ = 0;
};

TEST_F(store_client_test, a_change_that_the_store_refuses_is_relayed_once) {
    start_relay({.status = 200, .body = R"({"status":200,"body":"done","was_sent":true})"});
    const http_exchange_answer answer = change();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(relayed_calls_, 1);
}

struct malformed_answer {
    std::string name;
    std::string text;
};

/** Keeps the addresses in the object out of the test's name. */
void PrintTo(const malformed_answer& answer, std::ostream* out) {
    *out << answer.name;
}

class malformed_relayed_answer_test : public store_client_test,
                                      public testing::WithParamInterface<malformed_answer> {};

// Guards against an unexpected answer of another VM that ends the process, or that is taken for
// "not executed", so that a change which the store may have executed is sent again.
TEST_P(malformed_relayed_answer_test, leaves_the_change_unknown) {
    start_relay({.status = 200, .body = GetParam().text});
    // The refused direct call makes the client relay its next calls first.
    change();
    start_store();
    const http_exchange_answer answer = change();
    EXPECT_EQ(answer.status, 0);
    EXPECT_TRUE(answer.error.was_sent);
    EXPECT_EQ(store_calls_.size(), 0U) << "sent again";
    EXPECT_EQ(relayed_calls_, 2);
}

INSTANTIATE_TEST_SUITE_P(
    store_client, malformed_relayed_answer_test,
    testing::Values(
        malformed_answer{"empty", ""}, malformed_answer{"array", "[]"},
        malformed_answer{"cut_off", "{"}, malformed_answer{"status_only", R"({"status":200})"},
        malformed_answer{"not_sent_only", R"({"was_sent":false})"},
        malformed_answer{"status_as_text", R"({"was_sent":false,"body":"","status":"200"})"},
        malformed_answer{"body_as_number", R"({"was_sent":false,"body":7,"status":200})"},
        malformed_answer{"was_sent_as_number", R"({"was_sent":1,"body":"","status":0})"}),
    [](const testing::TestParamInfo<malformed_answer>& tested) { return tested.param.name; });

// Guards against an answer that is lost after the store may have executed the change.
TEST_F(store_client_test, a_change_whose_relayed_answer_is_lost_is_not_sent_again) {
    start_relay({.status = 200, .body = R"({"status":0,"body":"","was_sent":true})"});
    change();
    start_store();
    const http_exchange_answer answer = change();
    EXPECT_EQ(answer.status, 0);
    EXPECT_TRUE(answer.error.was_sent);
    EXPECT_EQ(store_calls_.size(), 0U);
}

// Guards against a read that waits for its time limit because the relay does not answer either.
TEST_F(store_client_test, a_relayed_read_without_answer_is_sent_directly) {
    const http_listener silent_relay(loop_, relay_address_,
                                     [](const http_call&, const http_listener::responder&) {});
    // The refused direct call makes the client relay its next calls first.
    change();
    client_.set_relays({relay_address_});
    start_store();
    std::optional<http_exchange_answer> result;
    client_.read({.method = "GET",
                  .path = "/v1/rows-get",
                  .headers = {},
                  .body = {},
                  .timeout_ms = test_timeout_ms},
                 [&](const http_exchange_answer& answer) {
                     result = answer;
                     loop_.stop();
                 });
    loop_.run();
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->body, "stored");
    EXPECT_EQ(store_calls_.size(), 1U);
}

// Guards against a VM that does not notice a restored store because another VM calls it.
TEST_F(store_client_test, a_relayed_answer_has_the_headers_of_the_store) {
    start_store();
    http_reply relayed;
    client_.serve_relayed({.method = "POST",
                           .path = "/internal/v1/store",
                           .body = R"({"method":"GET","path":"/v1/rows-get","timeout_ms":400})"},
                          [&](const http_reply& reply) {
                              relayed = reply;
                              loop_.stop();
                          });
    loop_.run();
    store_.reset();
    start_relay(relayed);
    // The direct call without an answer makes the client relay its next calls first.
    change();
    const http_exchange_answer answer = change();
    const auto type =
        std::find_if(answer.headers.begin(), answer.headers.end(),
                     [](const auto& header) { return header.name == "Content-Type"; });
    ASSERT_NE(type, answer.headers.end());
    EXPECT_EQ(type->value, "application/json");
}

TEST_F(store_client_test, a_relayed_change_that_was_not_executed_is_sent_directly) {
    start_relay({.status = 200, .body = R"({"status":0,"body":"","was_sent":false})"});
    change();
    start_store();
    EXPECT_EQ(change().body, "stored");
    EXPECT_EQ(store_calls_.size(), 1U);
}

// Guards against a call of another VM that ends the process.
TEST_F(store_client_test, malformed_calls_of_other_vms_are_rejected) {
    start_store();
    for (const char* text :
         {"", "[]", "{", "7", R"({"method":"GET"})", R"({"method":1,"path":"/"})",
          R"({"method":"GET","path":[]})", R"({"method":"GET","path":"/","body":{}})",
          R"({"method":"GET","path":"/","timeout_ms":"1"})"}) {
        int status = 0;
        client_.serve_relayed({.method = "POST", .path = "/internal/v1/store", .body = text},
                              [&](const http_reply& reply) { status = reply.status; });
        EXPECT_EQ(status, 400) << text;
    }
    EXPECT_EQ(store_calls_.size(), 0U);
}

}  // namespace
}  // namespace hornbeamhook::gateway
