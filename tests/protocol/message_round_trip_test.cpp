#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "protocol/end_transaction_message.h"
#include "protocol/execute_message.h"
#include "protocol/peer_messages.h"
#include "protocol/request_table.h"
#include "protocol/session_token.h"
#include "protocol/transaction_id.h"
#include "protocol/vm_notice_message.h"
#include "state/state_error.h"
#include "support/random_seed.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;

using transport::target_result;
using transport::target_statement;

constexpr int rounds = 2'000;

/** Values whose texts hold separators, quotes, escapes, control and non-ASCII characters. */
class hostile_values {
public:
    explicit hostile_values(std::uint64_t seed) : random_(seed) {}

    std::uint64_t make_number() {
        constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
        constexpr std::array<std::uint64_t, 4> limits{0, 1, max - 1, max};
        return flip() ? limits.at(random_() % limits.size()) : random_() % max;
    }

    bool flip() { return random_() % 2 == 0; }

    std::size_t make_count(std::size_t limit) { return random_() % (limit + 1); }

    std::string make_text() {
        std::string text = make_name();
        return random_() % 200 == 0 ? text + std::string(100'000, 'x') : text;
    }

    /** A text of at most 64 bytes. */
    std::string make_name() {
        static const std::array<std::string, 27> parts{
            " ",      "\t", "\n",   "\r",   "\r\n", "\"",   "\\",       "\\u0000",
            "/",      "{",  "}",    "[",    "]",    ",",    ":",        ".",
            "%2F",    "'",  "\x01", "\x7f", "null", "true", "\xc3\xa9", "\xf0\x9f\x98\x80",
            "COMMIT", ";",  "--"};
        std::string text;
        for (std::size_t count = make_count(8); count > 0; --count) {
            text += parts.at(random_() % parts.size());
        }
        return text;
    }

    std::optional<std::string> make_cell() {
        return random_() % 4 == 0 ? std::nullopt : std::optional(make_text());
    }

    std::vector<target_statement> make_statements() {
        std::vector<target_statement> statements(make_count(3));
        for (target_statement& statement : statements) {
            statement.sql = make_text();
            for (std::size_t count = make_count(3); count > 0; --count) {
                statement.parameters.push_back(make_cell());
            }
        }
        return statements;
    }

    std::vector<target_result> make_results() {
        std::vector<target_result> results(make_count(2));
        for (target_result& result : results) {
            for (std::size_t count = make_count(3); count > 0; --count) {
                result.columns.push_back(make_text());
            }
            result.rows.resize(make_count(3));
            for (auto& row : result.rows) {
                for (std::size_t i = 0; i < result.columns.size(); ++i) {
                    row.push_back(make_cell());
                }
            }
            result.affected = make_number();
        }
        return results;
    }

    state::member make_member() {
        state::member member;
        member.vm = "v" + make_name();
        member.address = "10.0.0.1:80";
        member.place = "p" + make_name();
        member.data_center = "d" + make_name();
        member.incarnation = make_number();
        member.heartbeat = make_number();
        member.state = flip() ? state::member_state::alive : state::member_state::dead;
        member.configuration_version = make_number();
        return member;
    }

private:
    std::mt19937_64 random_;
};

/** Fails the test with `name` when `read` gives an error. */
template <typename Function>
void expect_read(const char* name, Function read) {
    leaf::try_handle_all([&]() -> leaf::result<void> { return read(); },
                         [&](const state::state_error& error) {
                             ADD_FAILURE() << name << " cannot be read back: " << error.message;
                         },
                         [&] { ADD_FAILURE() << name << " cannot be read back"; });
}

execute_request make_request(hostile_values& values) {
    execute_request request;
    request.exchange_id = values.make_name();
    request.operation = values.flip() ? execute_operation::statements : execute_operation::commit;
    request.pool = values.make_name();
    request.target = values.make_name();
    request.caller = values.make_name();
    request.is_write = values.flip();
    request.statements = values.make_statements();
    request.required = {values.make_number(), values.make_number()};
    request.idempotency_key = values.make_name();
    request.digest = values.make_name();
    request.incarnation = values.make_number();
    request.transaction = values.make_number();
    return request;
}

execute_answer make_answer(hostile_values& values) {
    execute_answer answer;
    answer.exchange_id = values.make_name();
    answer.outcome = values.flip() ? state::outcome::ok : state::outcome::unknown;
    answer.message = values.make_name();
    answer.was_sent = values.flip();
    answer.results = values.make_results();
    answer.point = {values.make_number(), values.make_number()};
    answer.target = values.make_name();
    if (values.flip()) {
        answer.primary = state::primary_view{values.make_name(), values.make_number()};
    }
    answer.incarnation = values.make_number();
    answer.transaction = values.make_number();
    return answer;
}

// Guards against text of one party that another reads as a different field or value.
TEST(message_round_trip, statements_and_results_keep_every_byte) {
    hostile_values values(tests::get_seed("message_round_trip.execute", 71));
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        const execute_request request = make_request(values);
        expect_read("request", [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(parsed, parse_execute_request(to_text(request)));
            EXPECT_EQ(parsed, request);
            return {};
        });
        const execute_answer answer = make_answer(values);
        expect_read("answer", [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(parsed, parse_execute_answer(to_text(answer)));
            EXPECT_EQ(parsed, answer);
            return {};
        });
        expect_read("stored results", [&]() -> leaf::result<void> {
            const target_statement update = make_update_request("c", "k", answer.results);
            BOOST_LEAF_AUTO(parsed,
                            parse_stored_results(stored_request{"", *update.parameters[0]}));
            EXPECT_EQ(parsed, answer.results);
            return {};
        });
    }
}

// Guards against a message between proxies that is read as another one.
TEST(message_round_trip, messages_between_proxies_keep_every_field) {
    hostile_values values(tests::get_seed("message_round_trip.peers", 72));
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        const auto send = [](const nlohmann::json& message) {
            return nlohmann::json::parse(message.dump());
        };
        expect_read("end_transaction", [&]() -> leaf::result<void> {
            const end_transaction_message message{values.make_number(), values.make_number(),
                                                  values.make_name(), values.make_name()};
            BOOST_LEAF_AUTO(parsed, parse_end_transaction_message(send(to_json(message))));
            EXPECT_EQ(parsed, message);
            return {};
        });
        expect_read("vm_notice", [&]() -> leaf::result<void> {
            const vm_notice_message message{values.make_name(), values.make_number(),
                                            values.flip()};
            BOOST_LEAF_AUTO(parsed, parse_vm_notice_message(send(to_json(message))));
            EXPECT_EQ(parsed, message);
            return {};
        });
        expect_read("planned_change", [&]() -> leaf::result<void> {
            planned_change_message message{values.make_name(), "t" + values.make_name(),
                                           values.flip(), std::nullopt};
            if (values.flip()) {
                message.is_paused = values.flip();
            }
            BOOST_LEAF_AUTO(parsed, parse_planned_change_message(send(to_json(message))));
            EXPECT_EQ(parsed, message);
            return {};
        });
        expect_read("observation", [&]() -> leaf::result<void> {
            observation_message message;
            message.pool = values.make_name();
            message.observation.emplace();
            message.observation->observer = values.make_name();
            message.observation->primary = {values.make_name(), values.make_number()};
            message.observation->is_unreachable = values.flip();
            BOOST_LEAF_AUTO(parsed, parse_observation_message(send(to_json(message))));
            EXPECT_EQ(parsed.pool, message.pool);
            EXPECT_EQ(send(to_json(parsed)), send(to_json(message)));
            return {};
        });
        expect_read("exchange", [&]() -> leaf::result<void> {
            coordination::membership_message message;
            message.sender = values.make_member();
            message.updates = {values.make_member(), values.make_member()};
            message.live_count = values.make_number();
            message.digest = values.make_number();
            BOOST_LEAF_AUTO(parsed, parse_exchange_message(send(to_json(message))));
            EXPECT_EQ(parsed, message);
            BOOST_LEAF_AUTO(list, parse_member_list(send(make_member_list(message.updates))));
            EXPECT_EQ(list, message.updates);
            return {};
        });
    }
}

// Guards against a token or transaction id whose names are read as other fields.
TEST(message_round_trip, signed_texts_keep_every_field) {
    hostile_values values(tests::get_seed("message_round_trip.signed", 73));
    const token_key_map keys{{"key1", {"key1", std::string(64, 'a')}}};
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        expect_read("session token", [&]() -> leaf::result<void> {
            const session_token token{values.make_name(),
                                      values.make_name(),
                                      {values.make_number(), values.make_number()},
                                      true,
                                      values.make_name()};
            BOOST_LEAF_AUTO(text, encode_session_token(token, keys));
            BOOST_LEAF_AUTO(parsed, decode_session_token(text, token.pool, token.caller, keys));
            EXPECT_EQ(parsed, token);
            return {};
        });
        expect_read("transaction id", [&]() -> leaf::result<void> {
            const transaction_id id{values.make_name(),   values.make_name(), values.make_number(),
                                    values.make_number(), values.make_name(), values.make_name(),
                                    values.flip()};
            BOOST_LEAF_AUTO(text, encode_transaction_id(id, keys));
            BOOST_LEAF_AUTO(parsed, decode_transaction_id(text, id.caller, keys));
            EXPECT_EQ(parsed, id);
            const std::string allowed =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
            EXPECT_EQ(text.find_first_not_of(allowed), std::string::npos) << "not part of a path";
            return {};
        });
    }
}

}  // namespace
}  // namespace hornbeamhook::protocol
