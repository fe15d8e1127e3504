#include "platform/wire_codec.h"

#include <gtest/gtest.h>

#include "support/hostile_text.h"
#include "support/seed.h"
#include "transport/line_buffer.h"

namespace hornbeamhook::platform {
namespace {

using namespace gateway;

caller_statement parse(const std::string& text) {
    return std::get<caller_statement>(wire_codec().parse_caller_line("QUERY 5c0e " + text));
}

// Guards against changing the text of a forwarded statement.
TEST(wire_codec, keeps_the_text_of_reads_and_writes) {
    const caller_statement read = parse("READ 1a4");
    EXPECT_EQ(read.kind, statement_kind::read);
    EXPECT_EQ(wire_codec().format_statement(read.id, state::log_point{3, 1207}, read.text),
              "QUERY 5c0e WAITLSN 3.1207 READ 1a4\r\n");
    const caller_statement write = parse("WRITE 1a4 two  blanks ");
    EXPECT_EQ(write.kind, statement_kind::write);
    EXPECT_EQ(wire_codec().format_statement(write.id, std::nullopt, write.text),
              "QUERY 5c0e WRITE 1a4 two  blanks \r\n");
}

TEST(wire_codec, parses_the_other_statements) {
    EXPECT_EQ(parse("BEGIN").kind, statement_kind::begin);
    EXPECT_EQ(parse("BEGIN READ").kind, statement_kind::begin_read);
    EXPECT_EQ(parse("COMMIT").kind, statement_kind::commit);
    EXPECT_EQ(parse("ROLLBACK").kind, statement_kind::rollback);
    const caller_statement set = parse("SET zone a b");
    EXPECT_EQ(set.name, "zone");
    EXPECT_EQ(set.argument, "a b");
    const caller_statement prepare = parse("PARSE s1 WRITE q2c");
    EXPECT_EQ(prepare.kind, statement_kind::prepare);
    EXPECT_TRUE(prepare.is_write_prepared);
    EXPECT_EQ(prepare.argument, "q2c");
    const caller_statement execute = parse("EXECUTE s1 1a4 xkqp");
    EXPECT_EQ(execute.name, "s1");
    EXPECT_EQ(wire_codec().format_execute(execute.id, std::nullopt, "wq2c", execute.argument),
              "QUERY 5c0e EXECUTE wq2c 1a4 xkqp\r\n");
    EXPECT_EQ(parse("CLOSE s1").kind, statement_kind::close_prepared);
}

// Guards against input that crashes the process or is parsed as another statement.
TEST(wire_codec, rejects_malformed_input) {
    const wire_codec codec;
    for (const std::string& line :
         {std::string(), std::string("STARTUP"), std::string("HELLO x"), std::string("QUERY"),
          std::string("QUERY - READ 1"), std::string("\0\xff\x80", 3)}) {
        EXPECT_TRUE(std::holds_alternative<malformed_message>(codec.parse_caller_line(line)))
            << line;
    }
    for (const char* text :
         {"", "READ", "BEGIN NOW", "COMMIT 1", "PARSE s1 LOOK q", "PARSE s1", "EXECUTE",
          "EXECUTE s1", "CLOSE", "SET", "DISCARD", "STATUS", "WAITLSN 3.1 READ 1", "STEPDOWN 9"}) {
        EXPECT_EQ(parse(text).kind, statement_kind::unknown) << text;
    }
}

// Guards against forwarding a failure under another code.
TEST(wire_codec, parses_target_answers) {
    const wire_codec codec;
    EXPECT_EQ(std::get<target_row>(codec.parse_target_line("DATAROW a b")).payload, "a b");
    EXPECT_EQ(std::get<target_completion>(codec.parse_target_line("COMPLETE 7.1f3")).proof,
              "7.1f3");
    const auto failure = std::get<target_failure>(codec.parse_target_line("ERROR READONLY i-7f3a"));
    EXPECT_EQ(failure.code, failure_code::read_only);
    EXPECT_EQ(codec.format_failure(failure), "ERROR READONLY i-7f3a\r\n");
    EXPECT_EQ(codec.format_failure({failure_code::busy, {}, {}}), "ERROR BUSY -\r\n");
    EXPECT_EQ(std::get<target_failure>(codec.parse_target_line("ERROR NEWCODE x")).code,
              failure_code::other);
    const auto ready = std::get<target_ready>(codec.parse_target_line("READY T 3.1209"));
    EXPECT_EQ(ready.state, transaction_state::open);
    EXPECT_EQ(ready.position, (state::log_point{3, 1209}));
    EXPECT_FALSE(std::get<target_ready>(codec.parse_target_line("READY I -")).position);
    for (const char* line : {"READY", "READY Q 1.2", "COMPLETED", "", "DATAROWS x"}) {
        EXPECT_TRUE(std::holds_alternative<malformed_message>(codec.parse_target_line(line)))
            << line;
    }
}

// Guards against losing the required position or the limits of a relayed statement.
TEST(wire_codec, parses_relayed_statements) {
    const wire_codec codec;
    EXPECT_EQ(std::get<gateway::relay_start>(codec.parse_relay_line("STARTUP huvo11a x i-7f3a")),
              (gateway::relay_start{"huvo11a", "i-7f3a"}));
    const std::string limits = codec.format_relay_limits({240, 2});
    EXPECT_EQ(std::get<gateway::relay_limits>(
                  codec.parse_relay_line(limits.substr(0, limits.size() - 2))),
              (gateway::relay_limits{240, 2, ""}));
    const std::string named = codec.format_relay_limits({240, 2, "anna"});
    EXPECT_EQ(
        std::get<gateway::relay_limits>(codec.parse_relay_line(named.substr(0, named.size() - 2))),
        (gateway::relay_limits{240, 2, "anna"}));
    const auto read = std::get<gateway::relayed_statement>(
        codec.parse_relay_line("QUERY 5c0e WAITLSN 3.1207 READ 1a4"));
    EXPECT_EQ(read.required_position, (state::log_point{3, 1207}));
    EXPECT_EQ(read.statement.text, "READ 1a4");
    EXPECT_EQ(read.statement.id, "5c0e");
    const auto reset =
        std::get<gateway::relayed_statement>(codec.parse_relay_line("QUERY - DISCARD"));
    EXPECT_EQ(reset.statement.kind, statement_kind::reset);
    for (const char* line :
         {"", "STARTUP g", "STARTUP g x", "LIMITS 1", "LIMITS a 1", "QUERY 1 STATUS",
          "QUERY 1 PAUSE 4", "QUERY 1 WAITLSN 3 READ 1a4", "QUERY", "HELLO"}) {
        EXPECT_TRUE(std::holds_alternative<malformed_message>(codec.parse_relay_line(line)))
            << line;
    }
}

TEST(wire_codec, parses_reports) {
    const auto report = wire_codec().parse_report("replica 3 3.1209 5 12 2 17");
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(*report, (target_report{false, 3, {3, 1209}, 5}));
    EXPECT_FALSE(wire_codec().parse_report("replica 3 x 0 1 2 3").has_value());
    EXPECT_FALSE(wire_codec().parse_report("").has_value());
}

constexpr int drawn_messages = 5000;

/** The lines that a reader of the stream takes from it. */
std::vector<std::string> split_lines(const std::string& bytes) {
    transport::line_buffer buffer(max_message_bytes);
    buffer.append(bytes);
    std::vector<std::string> lines;
    while (const auto line = buffer.take_line()) {
        lines.emplace_back(*line);
    }
    EXPECT_EQ(buffer.get_buffered_bytes(), 0U);
    return lines;
}

/** The line without its end; fails unless the text is exactly one line. */
std::string get_line(const std::string& bytes) {
    const std::vector<std::string> lines = split_lines(bytes);
    EXPECT_EQ(lines.size(), 1U) << bytes;
    return lines.empty() ? std::string() : lines.front();
}

relayed_statement parse_relayed(const std::string& bytes) {
    const relay_message message = wire_codec().parse_relay_line(get_line(bytes));
    const auto* relayed = std::get_if<relayed_statement>(&message);
    EXPECT_NE(relayed, nullptr) << bytes;
    return relayed == nullptr ? relayed_statement{} : *relayed;
}

// Guards against a target id or group of another writer that a target reads as other fields: the
// id "x y" was sent as "STARTUP g hornbeamhook x y", a group "g a" as group g and caller a.
TEST(wire_codec, starts_no_session_with_a_field_that_is_no_word) {
    const wire_codec codec;
    EXPECT_EQ(codec.format_start("g", "", "t"), "STARTUP g hornbeamhook t\r\n");
    EXPECT_EQ(codec.format_start("g", "o", "t"), "STARTUP g o t\r\n");
    for (const char* odd : {"", " ", "a b", " a", "a ", "a\r\nQUERY - STEPDOWN 9"}) {
        EXPECT_EQ(codec.format_start(odd, "o", "t"), "") << odd;
        EXPECT_EQ(codec.format_start("g", odd, "t"),
                  *odd == 0 ? "STARTUP g hornbeamhook t\r\n" : "")
            << odd;
        EXPECT_EQ(codec.format_start("g", "o", odd), "") << odd;
    }
}

// Guards against a statement that is read back as another one, or as several.
TEST(wire_codec, formats_no_statement_that_is_read_as_another) {
    const wire_codec codec;
    const std::string two_lines = "READ 1\r\nQUERY 2 WRITE 1 x";
    for (const char* odd : {"", "a b", " ", "a\r\n"}) {
        EXPECT_EQ(codec.format_statement(odd, std::nullopt, "READ 1"), "") << odd;
        EXPECT_EQ(codec.format_execute("5c", std::nullopt, odd, "1"), "") << odd;
        EXPECT_EQ(codec.format_set(odd, "v"), "") << odd;
        EXPECT_EQ(codec.format_prepare(odd, false, "q"), "") << odd;
        EXPECT_EQ(codec.format_close(odd), "") << odd;
    }
    EXPECT_EQ(codec.format_statement("5c", std::nullopt, ""), "");
    EXPECT_EQ(codec.format_statement("5c", std::nullopt, two_lines), "");
    EXPECT_EQ(codec.format_statement("5c", std::nullopt, "WAITLSN 3.1 READ 1"), "");
    EXPECT_EQ(codec.format_execute("5c", std::nullopt, "s1", ""), "");
    EXPECT_EQ(codec.format_execute("5c", std::nullopt, "s1", two_lines), "");
    EXPECT_EQ(codec.format_set("n", two_lines), "");
    EXPECT_EQ(codec.format_prepare("s1", true, ""), "");
    EXPECT_EQ(codec.format_prepare("s1", true, two_lines), "");
}

// Guards against a message over the limit, at which the target ends the connection.
TEST(wire_codec, formats_no_line_over_the_limit) {
    const wire_codec codec;
    const std::string longest(max_message_bytes - std::string("QUERY - SET n ").size(), 'x');
    EXPECT_EQ(get_line(codec.format_set("n", longest)).size(), max_message_bytes);
    EXPECT_EQ(codec.format_set("n", longest + "x"), "");
    EXPECT_EQ(codec.format_statement("5c", state::log_point{3, 1}, "READ " + longest), "");
    const std::string cut = codec.format_failure({failure_code::busy, {}, longest});
    EXPECT_EQ(std::get<target_failure>(codec.parse_target_line(get_line(cut))).code,
              failure_code::busy);
}

// Guards against a failure whose composed text ends the line early, and against a caller that gets
// no result.
TEST(wire_codec, a_failure_is_always_one_line) {
    const wire_codec codec;
    for (const char* odd : {"a\r\nREADY I 3.1", "a b", "", " "}) {
        get_line(codec.format_failure({failure_code::busy, odd, "text"}));
        get_line(codec.format_failure({failure_code::busy, {}, odd}));
    }
}

// Guards against statements and set-up steps that the home reads with other fields.
TEST(wire_codec, relayed_lines_are_read_back_as_formatted) {
    const wire_codec codec;
    tests::hostile_text text(tests::get_seed());
    for (int i = 0; i < drawn_messages && !testing::Test::HasFailure(); ++i) {
        const std::string id = text.draw_word();
        const std::string name = text.draw_word();
        const std::string last = text.draw_last();
        const bool is_write = text.draw_number() % 2 == 0;
        const state::log_point point{static_cast<state::term_number>(text.draw_number() % 1000),
                                     static_cast<state::log_position>(text.draw_number() >> 2U)};
        const auto required = is_write ? std::nullopt : std::optional(point);

        const relayed_statement set = parse_relayed(codec.format_set(name, last));
        EXPECT_EQ(set.statement.kind, statement_kind::set_value);
        EXPECT_EQ(set.statement.name, name);
        EXPECT_EQ(set.statement.argument, last);
        EXPECT_EQ(parse_relayed(codec.format_close(name)).statement.name, name);
        EXPECT_EQ(codec.format_prepare(name, is_write, last).empty(), last.empty());
        EXPECT_EQ(codec.format_execute(id, required, name, last).empty(), last.empty());
        EXPECT_EQ(codec.parse_relay_line(get_line(codec.format_start(id, "o", name))),
                  relay_message(relay_start{id, name}));
        const relay_limits limits{static_cast<std::int64_t>(text.draw_number()),
                                  static_cast<std::int64_t>(text.draw_number())};
        EXPECT_EQ(codec.parse_relay_line(get_line(codec.format_relay_limits(limits))),
                  relay_message(limits));
        if (last.empty()) {
            continue;
        }
        const relayed_statement prepared =
            parse_relayed(codec.format_prepare(name, is_write, last));
        EXPECT_EQ(prepared.statement.kind, statement_kind::prepare);
        EXPECT_EQ(prepared.statement.name, name);
        EXPECT_EQ(prepared.statement.argument, last);
        EXPECT_EQ(prepared.statement.is_write_prepared, is_write);
        const relayed_statement executed =
            parse_relayed(codec.format_execute(id, required, name, last));
        EXPECT_EQ(executed.statement.kind, statement_kind::execute);
        EXPECT_EQ(executed.statement.id, id);
        EXPECT_EQ(executed.statement.name, name);
        EXPECT_EQ(executed.statement.argument, last);
        EXPECT_EQ(executed.required_position, required);
        for (const std::string& statement :
             {"READ " + last, "WRITE " + last, std::string("BEGIN"), std::string("BEGIN READ"),
              std::string("COMMIT"), std::string("ROLLBACK")}) {
            const relayed_statement parsed =
                parse_relayed(codec.format_statement(id, required, statement));
            EXPECT_EQ(parsed.statement.id, id);
            EXPECT_EQ(parsed.statement.text, statement);
            EXPECT_EQ(parsed.required_position, required);
        }
    }
}

// Guards against a text that is neither refused nor read back, whatever its bytes.
TEST(wire_codec, a_statement_of_any_bytes_is_read_back_or_refused) {
    const wire_codec codec;
    tests::hostile_text text(tests::get_seed());
    for (int i = 0; i < drawn_messages && !testing::Test::HasFailure(); ++i) {
        const std::string id = text.draw();
        const std::string name = text.draw();
        const std::string last = text.draw();
        if (const std::string line = codec.format_set(name, last); !line.empty()) {
            const relayed_statement parsed = parse_relayed(line);
            EXPECT_EQ(parsed.statement.name, name);
            EXPECT_EQ(parsed.statement.argument, last);
        }
        if (const std::string line = codec.format_execute(id, std::nullopt, name, last);
            !line.empty()) {
            const relayed_statement parsed = parse_relayed(line);
            EXPECT_EQ(parsed.statement.id, id);
            EXPECT_EQ(parsed.statement.name, name);
            EXPECT_EQ(parsed.statement.argument, last);
        }
        if (const std::string line = codec.format_statement(id, std::nullopt, "READ " + last);
            !line.empty()) {
            const caller_message parsed = codec.parse_caller_line(get_line(line));
            if (id == "-") {
                continue;  // Not accepted from callers.
            }
            ASSERT_TRUE(std::holds_alternative<caller_statement>(parsed)) << line;
            EXPECT_EQ(std::get<caller_statement>(parsed).id, id);
            EXPECT_EQ(std::get<caller_statement>(parsed).text, "READ " + last);
        }
        if (const std::string line = codec.format_start(id, "o", name); !line.empty()) {
            EXPECT_EQ(codec.parse_relay_line(get_line(line)), relay_message(relay_start{id, name}));
        }
    }
}

// Guards against an answer that reaches the caller with other rows, proof or code.
TEST(wire_codec, answers_are_read_back_as_formatted) {
    const wire_codec codec;
    tests::hostile_text text(tests::get_seed());
    for (int i = 0; i < drawn_messages && !testing::Test::HasFailure(); ++i) {
        const std::string code = text.draw_word();
        const std::string last = text.draw_last();
        EXPECT_EQ(codec.parse_target_line(get_line(codec.format_row(last))),
                  target_message(target_row{last}));
        const std::string shown = last.empty() ? "-" : last;
        EXPECT_EQ(codec.parse_target_line(get_line(codec.format_completion(last))),
                  target_message(target_completion{shown}));
        const auto failure = std::get<target_failure>(codec.parse_target_line(
            get_line(codec.format_failure({failure_code::other, code, last}))));
        EXPECT_EQ(failure.raw_code, code);
        EXPECT_EQ(failure.text, shown);
        const target_ready ready{
            static_cast<transaction_state>(text.draw_number() % 3),
            text.draw_number() % 4 == 0
                ? std::nullopt
                : std::optional(state::log_point{
                      static_cast<state::term_number>(text.draw_number() % 1000),
                      static_cast<state::log_position>(text.draw_number() >> 2U)})};
        EXPECT_EQ(codec.parse_target_line(get_line(codec.format_ready(ready))),
                  target_message(ready));
    }
}

}  // namespace
}  // namespace hornbeamhook::platform
