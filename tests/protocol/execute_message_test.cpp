#include "protocol/execute_message.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "state/state_error.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;

execute_request make_request() {
    execute_request request;
    request.exchange_id = "vm1/5/7";
    request.operation = execute_operation::commit;
    request.pool = "p";
    request.target = "t";
    request.caller = "c";
    request.is_write = true;
    request.statements = {{"SELECT $1", {"a", std::nullopt}}};
    request.policy = {state::read_policy::kind::max_age, std::chrono::milliseconds(7)};
    request.must_be_fresh = true;
    request.required = {3, 9};
    request.idempotency_key = "k";
    request.digest = "d";
    request.deadline = std::chrono::milliseconds(123);
    request.incarnation = 5;
    request.transaction = 8;
    return request;
}

execute_answer make_answer() {
    execute_answer answer;
    answer.exchange_id = "vm1/5/7";
    answer.outcome = state::outcome::ok;
    answer.code = error_code::ok;
    answer.message = "m";
    answer.was_sent = true;
    answer.is_behind = true;
    answer.results = {{{"a", "b"}, {{"1", std::nullopt}}, 4}};
    answer.point = {2, 3};
    answer.target = "t";
    answer.is_primary = true;
    answer.primary = state::primary_view{"t", 2};
    answer.incarnation = 5;
    answer.transaction = 8;
    return answer;
}

template <typename Value>
bool is_refused(leaf::result<Value> (*parse)(std::string_view), const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(parse(text));
            return false;
        },
        [](const state::state_error&) { return true; }, [] { return false; });
}

// Guards against fields that get lost between entry and home.
TEST(execute_message, round_trips) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(request, parse_execute_request(to_text(make_request())));
            EXPECT_EQ(request, make_request());
            BOOST_LEAF_AUTO(answer, parse_execute_answer(to_text(make_answer())));
            EXPECT_EQ(answer, make_answer());
            return {};
        },
        [] { ADD_FAILURE() << "a message cannot be read back"; });
}

// Guards against an unknown outcome when the target refuses a statement with a long error text.
TEST(execute_message, long_error_text_does_not_hide_the_answer) {
    for (const std::string part : {"x", "\x01", "\xff", "\xc3\xa9"}) {
        execute_answer answer = make_answer();
        answer.outcome = state::outcome::not_run;
        answer.code = error_code::statement_failed;
        answer.message.clear();
        while (answer.message.size() < 1'000'000) {
            answer.message += part;
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(parsed, parse_execute_answer(to_text(answer)));
                EXPECT_EQ(parsed.outcome, answer.outcome);
                EXPECT_EQ(parsed.code, answer.code);
                EXPECT_EQ(parsed.results, answer.results);
                EXPECT_FALSE(parsed.message.empty());
                return {};
            },
            [](const state::state_error& error) { ADD_FAILURE() << error.message; },
            [] { ADD_FAILURE() << "the answer cannot be read back"; });
    }
}

// Guards against messages that are half understood.
TEST(execute_message, incomplete_and_foreign_messages_are_refused) {
    const nlohmann::json request = nlohmann::json::parse(to_text(make_request()));
    for (const auto& [field, value] : request.items()) {
        nlohmann::json changed = request;
        changed.erase(field);
        EXPECT_TRUE(is_refused(parse_execute_request, changed.dump())) << field;
        changed = request;
        changed[field] = nlohmann::json::object();
        EXPECT_TRUE(is_refused(parse_execute_request, changed.dump())) << field;
    }
    const nlohmann::json answer = nlohmann::json::parse(to_text(make_answer()));
    for (const auto& [field, value] : answer.items()) {
        nlohmann::json changed = answer;
        changed[field] = 1.5;
        EXPECT_TRUE(is_refused(parse_execute_answer, changed.dump())) << field;
    }
    nlohmann::json extended = request;
    extended["new_field"] = 1;
    EXPECT_TRUE(is_refused(parse_execute_request, extended.dump()));
    EXPECT_TRUE(is_refused(parse_execute_answer, "{}"));
    EXPECT_TRUE(is_refused(parse_execute_answer, "the fleet secret is wrong"));
}

}  // namespace
}  // namespace hornbeamhook::protocol
