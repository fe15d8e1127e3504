#include "ctl/parser.h"
#include "support/random_seed.h"

#include <gtest/gtest.h>

#include <random>

namespace hornbeamhook::ctl {
namespace {

namespace leaf = boost::leaf;

/** Statements, or the error. */
struct parse_outcome {
    std::vector<statement> statements;
    std::optional<command_error> error;
};

parse_outcome parse(std::string_view input) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<parse_outcome> {
            BOOST_LEAF_AUTO(statements, parse_statements(input));
            return parse_outcome{std::move(statements), {}};
        },
        [](const command_error& error) {
            return parse_outcome{{}, error};
        },
        [] {
            return parse_outcome{{}, command_error{command_failure::rejected, "other", {}}};
        });
}

template <class T>
T parse_one(std::string_view input) {
    const parse_outcome result = parse(input);
    if (result.error) {
        ADD_FAILURE() << input << ": " << result.error->message;
        return {};
    }
    if (result.statements.size() != 1 || !std::holds_alternative<T>(result.statements[0].body)) {
        ADD_FAILURE() << input << " is another kind of statement";
        return {};
    }
    return std::get<T>(result.statements[0].body);
}

// Guards against statements whose parts end up in the wrong fields.
TEST(parser, reads_each_kind_of_statement) {
    const auto create = parse_one<create_statement>(
        "create target ledger/a with address = 127.0.0.1:7501, slots = 3, is_leaving = false, "
        "place = 'the ''Alps''', read = (a, *);");
    EXPECT_EQ(create.kind, "target");
    EXPECT_EQ(create.name, "ledger/a");
    ASSERT_EQ(create.fields.size(), 5U);
    EXPECT_EQ(create.fields[0].value, "127.0.0.1:7501");
    EXPECT_EQ(create.fields[1].value, 3);
    EXPECT_EQ(create.fields[2].value, false);
    EXPECT_EQ(create.fields[3].value, "the 'Alps'");
    EXPECT_EQ(create.fields[4].value, nlohmann::json::array({"a", "*"}));
    const auto alter = parse_one<alter_statement>("alter pool p if version 12 set max_age_ms = 5;");
    EXPECT_EQ(alter.if_version, 12U);
    EXPECT_EQ(alter.fields.size(), 1U);
    EXPECT_FALSE(parse_one<drop_statement>("drop caller c;").if_version);
    EXPECT_EQ(parse_one<drop_statement>("drop caller c if version 3;").if_version, 3U);
    EXPECT_FALSE(parse_one<drain_statement>("undrain vm vm-1;").is_drain);
    EXPECT_EQ(parse_one<primary_statement>("change primary of ledger to b;").target, "b");
    EXPECT_EQ(parse_one<wait_statement>("wait for version 9 within 3;"), (wait_statement{9, 3}));
    EXPECT_EQ(parse_one<wait_statement>("wait;"), (wait_statement{{}, 10}));
    EXPECT_EQ(parse_one<explain_statement>("explain failover 2;").number, 2U);
    EXPECT_EQ(parse_one<explain_statement>("explain failover last;").number, 0U);
    EXPECT_EQ(parse_one<report_statement>("report last 12 as csv;").hours, 12U);
    EXPECT_EQ(parse_one<end_statement>("end transaction vm1/7/3;").id, "vm1/7/3");
    EXPECT_EQ(parse_one<show_statement>("show targets of ledger;").name, "ledger");
    EXPECT_EQ(parse_one<report_statement>("report month 2026-12 as svg 'a b.svg';"),
              (report_statement{"month", "2026-12", "svg", "a b.svg"}));
    EXPECT_EQ(parse_one<report_statement>("report night as csv;").format, "csv");
    EXPECT_EQ(parse_one<help_statement>("help show;").topic, "show");
}

// Guards against conditions grouped differently than written.
TEST(parser, reads_queries_with_precedence) {
    const auto select = parse_one<select_statement>(
        "select pool, count() as n, percentile(latency, 99) from usage where hour >= 2026-12-04 "
        "and not (pool = a or pool like 'b%') or reads != 0 group by pool order by n desc, pool "
        "limit 5;");
    ASSERT_EQ(select.items.size(), 3U);
    EXPECT_EQ(select.items[1].name, "n");
    EXPECT_EQ(select.items[2].name, "p99_latency");
    EXPECT_EQ(select.limit, 5U);
    ASSERT_EQ(select.order_by.size(), 2U);
    EXPECT_TRUE(select.order_by[0].is_descending);
    ASSERT_TRUE(select.where);
    const auto* any = std::get_if<combination>(&select.where->node);
    ASSERT_NE(any, nullptr);
    EXPECT_FALSE(any->is_and);
    ASSERT_EQ(any->parts.size(), 2U);
    const auto* all = std::get_if<combination>(&any->parts[0].node);
    ASSERT_NE(all, nullptr);
    EXPECT_TRUE(all->is_and);
    EXPECT_TRUE(std::holds_alternative<negation>(all->parts[1].node));
}

// Guards against errors that point to the wrong place or do not say what is allowed.
TEST(parser, errors_name_line_column_and_what_is_expected) {
    struct wrong_case {
        std::string input;
        input_position at;
        std::string text;
    };
    const std::vector<wrong_case> cases{
        {"frob;", {1, 1}, "expected one of help, show"},
        {"show pools;\n  show nothing;", {2, 8}, "found \"nothing\""},
        {"show pools", {1, 11}, "expected \";\", found the end of the input"},
        {"create pool p with a 5;", {1, 22}, "expected \"=\""},
        {"create pool p with a = 1, a = 2;", {1, 27}, "each field at most once"},
        {"-- comment\nalter pool p set x = 'open;", {2, 22}, "without closing quote"},
        {"wait within -5;", {1, 13}, "an integer from 0 to 3600"},
        {"select percentile(a, 101) from usage;", {1, 22}, "a number from 0 to 100"},
        {"report month 2026;", {1, 14}, "a month YYYY-MM"},
        {"report month 2026-12 as svg;", {1, 28}, "the name of a file"},
        {"show pools; \x01", {1, 13}, "unexpected byte 1"},
        {"drop pool p if version 99999999999999999999;", {1, 24}, "a version"},
    };
    for (const wrong_case& item : cases) {
        const parse_outcome result = parse(item.input);
        ASSERT_TRUE(result.error) << item.input;
        EXPECT_EQ(result.error->failure, command_failure::syntax);
        EXPECT_EQ(result.error->at, item.at)
            << item.input << " " << result.error->at.line << ":" << result.error->at.column;
        EXPECT_NE(result.error->message.find(item.text), std::string::npos)
            << result.error->message;
    }
}

// Guards against input that exhausts the stack.
TEST(parser, bounds_the_depth_of_conditions) {
    for (const char* unit : {"(", "not "}) {
        std::string input = "select * from audit where ";
        for (int i = 0; i < 100'000; ++i) {
            input += unit;
        }
        const parse_outcome result = parse(input);
        ASSERT_TRUE(result.error);
        EXPECT_NE(result.error->message.find("levels"), std::string::npos);
    }
}

// Guards against a console that runs half a statement or waits for ever.
TEST(parser, knows_when_a_statement_is_complete) {
    EXPECT_TRUE(is_complete("  \n"));
    EXPECT_TRUE(is_complete("show pools; -- done\n"));
    EXPECT_FALSE(is_complete("show pools"));
    EXPECT_FALSE(is_complete("show pools; show"));
    EXPECT_FALSE(is_complete("create caller c with place = 'a;\n"));
    EXPECT_TRUE(is_complete("show \x01\n")) << "a lexical error is reported at once";
}

// Guards against completion that offers words the parser refuses.
TEST(parser, completion_offers_the_words_of_the_grammar) {
    for (const std::string& command : get_next_words({})) {
        const parse_outcome result = parse(command + " \x02");
        ASSERT_TRUE(result.error);
        EXPECT_NE(result.error->message.find("unexpected byte"), std::string::npos);
    }
    EXPECT_EQ(get_next_words({"drain"}), (std::vector<std::string>{"vm", "target"}));
    EXPECT_TRUE(get_next_words({"nonsense"}).empty());
}

std::string make_random_input(std::mt19937_64& random) {
    static const std::vector<std::string> words{"create",
                                                "alter",
                                                "drop",
                                                "pool",
                                                "target",
                                                "with",
                                                "set",
                                                "if",
                                                "version",
                                                "select",
                                                "from",
                                                "usage",
                                                "where",
                                                "and",
                                                "or",
                                                "not",
                                                "group",
                                                "by",
                                                "order",
                                                "limit",
                                                "count",
                                                "sum",
                                                "(",
                                                ")",
                                                ",",
                                                ";",
                                                "=",
                                                "!=",
                                                "<=",
                                                "'x'",
                                                "'",
                                                "\"",
                                                "p",
                                                "a/b",
                                                "-1",
                                                "1e999",
                                                "99999999999999999999",
                                                "nan",
                                                "inf",
                                                "--",
                                                "\n",
                                                "%",
                                                "*",
                                                "like",
                                                "report",
                                                "month",
                                                "2026-12",
                                                "as",
                                                "svg",
                                                "change",
                                                "primary",
                                                "of",
                                                "to",
                                                "wait",
                                                "within",
                                                "for",
                                                "explain",
                                                "failover",
                                                "percentile",
                                                "help",
                                                "show",
                                                "true",
                                                "0x10",
                                                "+5",
                                                "1.5",
                                                "\xff\xfe",
                                                "\xc3\xa9",
                                                std::string(1, '\0'),
                                                "exit"};
    std::string input;
    const std::size_t length = random() % 30;
    for (std::size_t i = 0; i < length; ++i) {
        if (random() % 12 == 0) {
            input += static_cast<char>(random() % 256);
        } else {
            input += words[random() % words.size()];
        }
        input += random() % 5 == 0 ? "" : " ";
    }
    return input;
}

/** A valid statement with random parts. */
std::string make_valid_statement(std::mt19937_64& random) {
    const auto pick = [&](const std::vector<std::string>& choices) {
        return choices[random() % choices.size()];
    };
    const std::string kind = pick({"pool", "target", "caller", "operator", "token_key"});
    const std::string name = pick({"p", "a/b", "'x y'", "\"it''s\"", "k-1"});
    const std::string value = pick({"1", "-2.5", "true", "'a;b'", "(a, 2, 'c')", "()", "*"});
    const std::string condition =
        pick({"a = 1", "not (b != 'x' or c.d <= 2)", "a like 'x%' and b > 0 or c = c"});
    switch (random() % 8) {
        case 0:
            return "create " + kind + " " + name + " with f = " + value + ", g = 2;";
        case 1:
            return "alter " + kind + " " + name + " if version 3 set f=" + value + ";";
        case 2:
            return "drop " + kind + " " + name + ";";
        case 3:
            return "select a, percentile(b, 99) as p, count() from " +
                   pick({"usage", "audit", "failovers"}) + " where " + condition +
                   " group by a order by p desc, a limit 5;";
        case 4:
            return "report month 2026-12 as " + pick({"table", "csv", "svg 'f'"}) + ";";
        case 5:
            return "show " + pick({"pools", "targets of p", "change 'id'", "vms"}) + ";";
        case 6:
            return "wait for version 7 within 3; -- comment; with 'quotes\n";
        default:
            return "change primary of " + name + " to b;";
    }
}

// Guards against crashes, errors without a place, and parts of wrong input that are run: an input
// either gives all of its statements or an error and none.
TEST(parser, random_input_never_crashes_and_has_no_partial_result) {
    std::mt19937_64 random(tests::get_seed("parser random input", std::random_device{}()));
    int accepted = 0;
    int refused = 0;
    for (int i = 0; i < 50'000; ++i) {
        std::string input = make_random_input(random);
        if (i % 2 == 0) {
            input = make_valid_statement(random) + make_valid_statement(random);
            for (std::size_t j = i % 4 == 0 ? 1 + random() % 3 : 0; j > 0 && !input.empty(); --j) {
                input.erase(random() % input.size(), random() % 6);
                input.insert(random() % (input.size() + 1), 1, static_cast<char>(random() % 256));
            }
        }
        const parse_outcome result = parse(input);
        if (i % 4 == 2) {
            ASSERT_FALSE(result.error) << input << ": " << result.error->message;
            ASSERT_EQ(result.statements.size(), 2U) << input;
        }
        if (result.error) {
            ++refused;
            ASSERT_EQ(result.error->failure, command_failure::syntax) << input;
            ASSERT_TRUE(result.statements.empty());
            ASSERT_GE(result.error->at.line, 1);
            ASSERT_GE(result.error->at.column, 1);
        } else {
            ++accepted;
            for (const statement& item : result.statements) {
                // What was accepted means the same when it is parsed by itself.
                const parse_outcome again = parse(item.text + ";");
                ASSERT_FALSE(again.error) << item.text;
                ASSERT_EQ(again.statements.size(), 1U) << item.text;
                ASSERT_TRUE(again.statements[0].body == item.body ||
                            std::holds_alternative<create_statement>(item.body) ||
                            std::holds_alternative<alter_statement>(item.body) ||
                            std::holds_alternative<select_statement>(item.body))
                    << item.text;
            }
        }
        is_complete(input);
    }
    EXPECT_GE(accepted, 12'500) << "the undamaged statements";
    EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace hornbeamhook::ctl
