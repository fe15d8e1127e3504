#include "platform/wire_codec.h"

#include <gtest/gtest.h>

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
              (gateway::relay_limits{240, 2}));
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

}  // namespace
}  // namespace hornbeamhook::platform
