#include "protocol/caller_request.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "protocol/caller_answer.h"
#include "protocol/caller_error.h"
#include "support/random_seed.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;

using parser = std::function<leaf::result<caller_request>(std::string_view)>;

/** The error message, or empty on success. Any failure but a caller_error gives "?". */
std::string get_error(const parser& parse, const std::string& body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse(body));
            return std::string();
        },
        [](const caller_error& error) {
            return error.code == error_code::bad_request ? error.message : std::string("?");
        },
        [] { return std::string("?"); });
}

std::string get_statement_error(const std::string& body) {
    return get_error(parse_statement_request, body);
}

// Guards against valid requests that are refused.
TEST(caller_request, accepts_the_documented_forms) {
    for (
        const char* body : {
            R"({"statements":[{"sql":"SELECT 1"}],"kind":"read"})",
            R"({"statements":[{"sql":"SELECT $1","parameters":[1,"x",null,true,1.5]}],"kind":"read",
                 "read_policy":{"strict":true},"token":"abc","deadline_ms":100})",
            R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","read_policy":{"max_age_ms":0}})",
            R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","read_policy":{"own_writes":true}})",
            R"j({"statements":[{"sql":"INSERT INTO t VALUES (1)"},{"sql":"UPDATE t SET a=2"}],
                 "kind":"write","idempotency_key":"k"})j",
        }) {
        EXPECT_EQ(get_statement_error(body), "") << body;
    }
    EXPECT_EQ(get_error(parse_begin_request, R"({"kind":"write"})"), "");
    EXPECT_EQ(get_error(parse_commit_request, R"({"idempotency_key":"k"})"), "");
    EXPECT_EQ(get_error(parse_commit_request, ""), "");
    EXPECT_EQ(get_error(parse_rollback_request, "{}"), "");
}

struct bad_case {
    const char* body;
    const char* expected;  ///< Part of the message.
};

// Guards against requests that are half understood, and against messages that name no field.
TEST(caller_request, refuses_bad_input_and_names_the_field) {
    const std::vector<bad_case> cases{
        {"", "statements: missing"},
        {"[]", "not an object"},
        {"{", "malformed JSON at byte"},
        {"\xff\xfe", "malformed JSON"},
        {R"({"kind":"read"})", "statements: missing"},
        {R"({"statements":[],"kind":"read"})", "allowed: 1 to 64"},
        {R"({"statements":{},"kind":"read"})", "an array"},
        {R"({"statements":[{"sql":"SELECT 1"}]})", "kind: missing"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"both"})", "allowed: read, write"},
        {R"({"statements":[{"sql":1}],"kind":"read"})", "sql"},
        {R"({"statements":[{"sql":"SELECT 1","extra":1}],"kind":"read"})", "unknown field"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","strict":true})", "unknown field"},
        {R"({"statements":[{"sql":"SELECT 1","parameters":[[1]]}],"kind":"read"})", "parameters"},
        {R"({"statements":[{"sql":"SELECT 1","parameters":["a\u0000b"]}],"kind":"read"})",
         "zero byte"},
        {R"({"statements":[{"sql":"SELECT 1\u0000"}],"kind":"read"})", "zero byte"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","read_policy":{}})", "exactly one"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read",
             "read_policy":{"strict":true,"own_writes":true}})",
         "exactly one"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","read_policy":{"max_age_ms":-1}})",
         "max_age_ms"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","deadline_ms":0})", "deadline_ms"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","deadline_ms":18446744073709551615})",
         "deadline_ms"},
        {R"({"statements":[{"sql":"SELECT 1"}],"kind":"read","idempotency_key":"k"})",
         "idempotency_key: not allowed"},
        {R"({"statements":[{"sql":"DELETE FROM t"}],"kind":"write",
             "read_policy":{"strict":true}})",
         "read_policy: not allowed"},
        {R"({"statements":[{"sql":"DELETE FROM t"}],"kind":"write","idempotency_key":"a\u0000"})",
         "zero byte"},
    };
    for (const bad_case& each : cases) {
        const std::string message = get_statement_error(each.body);
        EXPECT_NE(message.find(each.expected), std::string::npos)
            << each.body << "\n gave: " << message;
    }
    EXPECT_NE(get_error(parse_begin_request, R"({"kind":"write","statements":[]})"), "");
    EXPECT_NE(get_error(parse_rollback_request, R"({"token":"x"})"), "");
    const std::string long_key(201, 'k');
    EXPECT_NE(get_statement_error(R"({"statements":[{"sql":"DELETE FROM t"}],"kind":"write",
                                      "idempotency_key":")" +
                                  long_key + "\"}"),
              "");
}

struct sql_case {
    const char* sql;
    bool is_read_allowed;
    bool is_write_allowed;
};

// Guards against statements that leave the proxy's transaction, keep session state, or change rows
// in what was announced as a read.
TEST(caller_request, checks_statements) {
    const std::vector<sql_case> cases{
        {"SELECT 1", true, true},
        {"  -- note\n /* more */ select * from t;", true, true},
        {"(SELECT 1) UNION (SELECT 2)", true, true},
        {"WITH x AS (SELECT 1) SELECT * FROM x", true, true},
        {"VALUES (1)", true, true},
        {"SELECT 'delete; commit'", true, true},
        {"SELECT \"update\" FROM t", true, true},
        {"INSERT INTO t VALUES (1)", false, true},
        {"WITH x AS (DELETE FROM t RETURNING 1) SELECT * FROM x", false, true},
        {"SELECT * INTO n FROM t", false, true},
        {"SELECT * FROM t FOR UPDATE", false, true},
        {"CREATE TABLE t (id INTEGER)", false, true},
        {"COMMIT", false, false},
        {"/**/ cOmMiT", false, false},
        {"BEGIN", false, false},
        {"ROLLBACK TO x", false, false},
        {"SAVEPOINT x", false, false},
        {"SET search_path = x", false, false},
        {"DISCARD ALL", false, false},
        {"PRAGMA writable_schema = 1", false, false},
        {"SELECT 1; COMMIT", false, false},
        {"SELECT 1;;  ; DELETE FROM t", false, false},
        {"SELECT hornbeamhook_fence('9','me')", false, false},
        {"SELECT Hornbeamhook_Promote('9','me')", false, false},
        {"DELETE FROM hornbeamhook_request", false, false},
        {"", false, false},
        {" ; ", false, false},
        {"-- only a comment", false, false},
        {"'text'", false, false},
        {"?", false, false},
    };
    for (const sql_case& each : cases) {
        const nlohmann::json statements = {{{"sql", each.sql}}};
        for (const bool is_write : {false, true}) {
            const nlohmann::json body{{"statements", statements},
                                      {"kind", is_write ? "write" : "read"}};
            const bool is_allowed = is_write ? each.is_write_allowed : each.is_read_allowed;
            EXPECT_EQ(get_statement_error(body.dump()).empty(), is_allowed)
                << each.sql << (is_write ? " as write" : " as read");
        }
    }
}

// Guards against statements that the target reads differently, because it nests comments, ends a
// line comment at a carriage return, and knows escape strings and dollar quotes.
TEST(caller_request, reads_comments_and_strings_as_the_target_does) {
    const std::vector<sql_case> cases{
        {"/* /* */ SELECT */ COMMIT", false, false},
        {"/* /* */ SELECT */ SET search_path = x", false, false},
        {"/* a /* b */ c */ SELECT 1", true, true},
        {"/* a */ /* b */ SELECT 1", true, true},
        {"--\rROLLBACK /*\nSELECT 1 --*/", false, false},
        {"-- note\r\nSELECT 1", true, true},
        {"WITH a AS (SELECT E'\\''), b AS (DELETE FROM t RETURNING 1) SELECT 1 --'", false, true},
        {"SELECT 1e'\\' , (WITH b AS (DELETE FROM t RETURNING 1) SELECT 1) --'", true, true},
        {"SELECT E'a'\n'\\'' INTO n --'", false, true},
        {"SELECT E'it\\'s; delete'", true, true},
        {"SELECT E'a''delete'", true, true},
        {"SELECT fe'\\', (WITH b AS (DELETE FROM t RETURNING 1) SELECT 1) --'", false, true},
        {"SELECT \xc3\xa9"
         "e'\\', (WITH b AS (DELETE FROM t RETURNING 1) SELECT 1) --'",
         false, true},
        {"WITH a AS (SELECT $$'$$), b AS (DELETE FROM t RETURNING 1) SELECT 1 --'", false, true},
        {"SELECT $x$ $$ delete; $y$ commit $x$", true, true},
        {"SELECT $1, $2 FROM t", true, true},
        {"SELECT a$$ FROM t; DELETE FROM t --$$", false, false},
        {"SELECT $x$ $X$; DELETE FROM t --$x$", true, true},
        {"SELECT U&\"hornbeamhoo\\006B_fence\"('9','me')", false, false},
        {"SELECT u&\"hornbeamhoo\\006B_fence\"('9','me')", false, false},
        {"SELECT a & \"b\", au&\"b\" FROM t", true, true},
        {"SELECT U&'d\\0061t'", true, true},
    };
    for (const sql_case& each : cases) {
        const nlohmann::json statements = {{{"sql", each.sql}}};
        for (const bool is_write : {false, true}) {
            const nlohmann::json body{{"statements", statements},
                                      {"kind", is_write ? "write" : "read"}};
            const bool is_allowed = is_write ? each.is_write_allowed : each.is_read_allowed;
            EXPECT_EQ(get_statement_error(body.dump()).empty(), is_allowed)
                << each.sql << (is_write ? " as write" : " as read");
        }
    }
}

// Guards against a parser that crashes or accepts on damaged input.
TEST(caller_request, damaged_input_is_refused_or_valid) {
    const std::string valid =
        R"j({"statements":[{"sql":"INSERT INTO t VALUES ($1)","parameters":["a",1,null]}],)j"
        R"("kind":"write","token":"t","idempotency_key":"k","deadline_ms":100})";
    std::mt19937_64 random(tests::get_seed("caller_request", 31));
    int refused = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = valid;
        for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes) {
            const std::size_t at = random() % damaged.size();
            switch (random() % 3) {
                case 0:
                    damaged[at] = static_cast<char>(random() % 256);
                    break;
                case 1:
                    damaged.erase(at, 1 + random() % 5);
                    break;
                default:
                    damaged.insert(at, 1, static_cast<char>(random() % 256));
            }
            if (damaged.empty()) {
                break;
            }
        }
        const std::string message = get_statement_error(damaged);
        ASSERT_NE(message, "?") << damaged;
        refused += message.empty() ? 0 : 1;
    }
    EXPECT_GT(refused, 10'000);
}

// Guards against deep nesting that exhausts the stack.
TEST(caller_request, deep_nesting_is_refused) {
    EXPECT_NE(get_statement_error(std::string(100'000, '[')), "");
    EXPECT_NE(get_statement_error(R"({"statements":)" + std::string(100'000, '[') +
                                  std::string(100'000, ']') + "}"),
              "");
}

// Guards against an answer that callers cannot act on.
TEST(caller_answer, carries_outcome_error_and_status) {
    caller_answer answer;
    answer.outcome = state::outcome::unknown;
    answer.code = error_code::outcome_unknown;
    answer.message = "text";
    answer.token = "t";
    const transport::http_response response = to_response(answer);
    const nlohmann::json body = nlohmann::json::parse(response.body);
    EXPECT_EQ(response.status, 504);
    EXPECT_EQ(body["outcome"], "unknown");
    EXPECT_EQ(body["error"]["code"], "outcome_unknown");
    EXPECT_EQ(body["error"]["retry"], true);
    EXPECT_EQ(body["token"], "t");
    EXPECT_FALSE(body.contains("served_by"));
}

}  // namespace
}  // namespace hornbeamhook::protocol
