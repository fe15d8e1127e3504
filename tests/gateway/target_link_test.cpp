#include "gateway/target_link.h"

#include <gtest/gtest.h>

#include "platform/wire_codec.h"
#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

using tests::make_idle_target;
using tests::run_until;
using tests::scripted_target;

/** A connection to a scripted target, whose answers the test collects. */
class target_link_test : public testing::Test {
protected:
    std::shared_ptr<target_link> open(const std::string& id) {
        const target_entry entry{id, "g", address_, "z", 1, 2, false, true};
        std::shared_ptr<target_link> link = target_link::open(
            loop_, codec_, entry,
            {.opened = {},
             .ended = [this](const target_link::link_end& end) { ends_.push_back(end); },
             .answered = {},
             .setup_failed = {}});
        run_until(loop_, [&] { return link->is_open() || link->is_ended(); });
        return link;
    }

    target_link::answer_callback collect() {
        return [this](const target_answer& answer) { answers_.push_back(answer); };
    }

    transport::event_loop loop_;
    platform::wire_codec codec_;
    transport::endpoint address_ = *transport::parse_endpoint(tests::get_free_address());
    scripted_target target_{loop_, address_, make_idle_target()};
    std::vector<target_link::link_end> ends_;
    std::vector<target_answer> answers_;
};

// Guards against a connection to a target whose id is read as other fields of the first line.
TEST_F(target_link_test, opens_no_session_with_an_id_that_is_no_word) {
    const auto link = open("t1 x");
    EXPECT_TRUE(link->is_ended());
    ASSERT_EQ(ends_.size(), 1U);
    ASSERT_TRUE(ends_[0].failure.has_value());
    EXPECT_EQ(ends_[0].failure->code, failure_code::malformed);
}

// Guards against a statement that is sent although a field of it or of its set-up was refused, and
// against a connection that cannot be used afterwards.
TEST_F(target_link_test, a_refused_field_sends_nothing_and_keeps_the_connection) {
    const auto link = open("t1");
    ASSERT_TRUE(link->is_open());
    link->send(codec_.format_statement("5c", std::nullopt, "READ 1\r\nQUERY 6 WRITE 1 x"),
               collect());
    link_request request;
    request.setup = {coordination::set_step{"first", "v"}, coordination::set_step{"a b", "v"}};
    request.statement = codec_.format_statement("5c", std::nullopt, "READ 1");
    link->send(std::move(request), collect());
    ASSERT_EQ(answers_.size(), 2U);
    for (const target_answer& answer : answers_) {
        EXPECT_FALSE(answer.was_sent);
        ASSERT_TRUE(answer.failure.has_value());
        EXPECT_EQ(answer.failure->code, failure_code::malformed);
    }
    ASSERT_TRUE(link->is_idle());
    link->send(codec_.format_statement("5d", std::nullopt, "READ 2"), collect());
    run_until(loop_, [&] { return answers_.size() == 3; });
    EXPECT_TRUE(answers_[2].completion.has_value());
    EXPECT_EQ(target_.lines, (std::vector<std::string>{"QUERY 5d READ 2"}));
    link->abandon();
}

}  // namespace
}  // namespace hornbeamhook::gateway
