#include "ctl/parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

#include "ctl/lexer.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

// Nesting of conditions is bounded so that hostile input cannot exhaust the stack.
constexpr int max_depth = 50;
constexpr std::uint64_t max_report_hours = 8784;  // A leap year.
constexpr int max_wait_seconds = 3600;
constexpr std::uint64_t max_limit = 1'000'000;

const std::vector<std::string> object_kinds{"pool", "target", "caller", "operator", "token_key"};
const std::vector<std::string> shown_things{"pools",      "targets",     "callers",  "operators",
                                            "token_keys", "vms",         "versions", "failovers",
                                            "homes",      "connections", "sessions", "change"};
const std::vector<std::string> query_sources{"usage", "audit", "failovers", "sessions",
                                             "connections"};
const std::vector<std::string> drain_kinds{"vm", "target"};
const std::vector<std::string> operations{"=", "!=", "<", "<=", ">", ">=", "like"};
const std::map<std::string, aggregate> aggregates{{"count", aggregate::count},
                                                  {"sum", aggregate::sum},
                                                  {"min", aggregate::min},
                                                  {"max", aggregate::max},
                                                  {"percentile", aggregate::percentile}};

std::string join(const std::vector<std::string>& words) {
    std::string result;
    for (const std::string& word : words) {
        result += (result.empty() ? "" : ", ") + word;
    }
    return result;
}

std::string show(const token& item) {
    constexpr std::size_t max_shown = 40;
    if (item.kind == token_kind::end) {
        return "the end of the input";
    }
    std::string text = item.text.substr(0, max_shown);
    for (char& c : text) {
        const auto byte = static_cast<unsigned char>(c);
        c = byte < ' ' || byte > '~' ? '?' : c;
    }
    return "\"" + text + (item.text.size() > max_shown ? "..." : "") + "\"";
}

template <class T>
std::optional<T> parse_number(const std::string& text) {
    T value{};
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stopped != end) {
        return std::nullopt;
    }
    return value;
}

/** A bare word as a value: integer, number, true, false, or else text. */
json make_value(const token& item) {
    if (item.kind == token_kind::text) {
        return item.text;
    }
    if (const auto integer = parse_number<std::int64_t>(item.text)) {
        return *integer;
    }
    const auto number = parse_number<double>(item.text);
    if (number && std::isfinite(*number)) {
        return *number;
    }
    if (item.text == "true" || item.text == "false") {
        return item.text == "true";
    }
    return item.text;
}

/** Recursive descent over the tokens of the whole input. */
class parser {
public:
    parser(std::string_view input, std::vector<token> tokens)
        : input_(input), tokens_(std::move(tokens)) {}

    leaf::result<std::vector<statement>> run() {
        std::vector<statement> statements;
        while (peek().kind != token_kind::end) {
            if (take_symbol(";")) {
                continue;
            }
            statement next;
            next.at = peek().at;
            const std::size_t begin = peek().offset;
            BOOST_LEAF_CHECK(parse_body(next));
            const std::size_t end = peek().offset;
            BOOST_LEAF_CHECK(expect_symbol(";"));
            next.text = std::string(input_.substr(begin, end - begin));
            statements.push_back(std::move(next));
        }
        return statements;
    }

private:
    const token& peek() const { return tokens_[index_]; }

    token take() {
        token current = tokens_[index_];
        if (current.kind != token_kind::end) {
            ++index_;
        }
        return current;
    }

    bool is_word(std::string_view word) const {
        return peek().kind == token_kind::word && peek().text == word;
    }

    bool take_word(std::string_view word) {
        if (!is_word(word)) {
            return false;
        }
        take();
        return true;
    }

    bool take_symbol(std::string_view symbol) {
        if (peek().kind != token_kind::symbol || peek().text != symbol) {
            return false;
        }
        take();
        return true;
    }

    leaf::error_id fail(const token& at, const std::string& expected) const {
        return leaf::new_error(command_error{
            command_failure::syntax, "expected " + expected + ", found " + show(at), at.at});
    }

    leaf::result<void> expect_symbol(std::string_view symbol) {
        if (!take_symbol(symbol)) {
            return fail(peek(), "\"" + std::string(symbol) + "\"");
        }
        return {};
    }

    leaf::result<void> expect_word(std::string_view word) {
        if (!take_word(word)) {
            return fail(peek(), "\"" + std::string(word) + "\"");
        }
        return {};
    }

    leaf::result<std::string> expect_choice(const std::vector<std::string>& choices) {
        const token item = take();
        if (item.kind == token_kind::text ||
            std::find(choices.begin(), choices.end(), item.text) == choices.end()) {
            return fail(item, "one of " + join(choices));
        }
        return item.text;
    }

    leaf::result<std::string> expect_name(const std::string& what) {
        const token item = take();
        if (item.kind != token_kind::word && item.kind != token_kind::text) {
            return fail(item, what);
        }
        return item.text;
    }

    leaf::result<std::uint64_t> expect_integer(const std::string& what, std::uint64_t max) {
        const token item = take();
        const auto value = parse_number<std::uint64_t>(item.text);
        if (item.kind != token_kind::word || !value || *value > max) {
            return fail(item, what + " (an integer from 0 to " + std::to_string(max) + ")");
        }
        return *value;
    }

    leaf::result<void> parse_body(statement& result);
    leaf::result<show_statement> parse_show();
    leaf::result<create_statement> parse_create();
    leaf::result<alter_statement> parse_alter();
    leaf::result<drop_statement> parse_drop();
    leaf::result<primary_statement> parse_primary();
    leaf::result<wait_statement> parse_wait();
    leaf::result<select_statement> parse_select();
    leaf::result<report_statement> parse_report();
    leaf::result<std::optional<std::uint64_t>> parse_if_version();
    leaf::result<std::vector<assignment>> parse_assignments();
    leaf::result<json> parse_value();
    leaf::result<select_item> parse_item();
    leaf::result<expression> parse_condition(int depth);
    leaf::result<expression> parse_and(int depth);
    leaf::result<expression> parse_single(int depth);

    std::string_view input_;
    std::vector<token> tokens_;
    std::size_t index_ = 0;
};

const std::vector<std::string>& get_commands() {
    static const std::vector<std::string> commands{"help",   "show",    "create", "alter", "drop",
                                                   "drain",  "undrain", "change", "end",   "wait",
                                                   "select", "explain", "report", "exit"};
    return commands;
}

leaf::result<void> parser::parse_body(statement& result) {
    const token at = peek();
    BOOST_LEAF_AUTO(command, expect_choice(get_commands()));
    if (command == "help") {
        help_statement help;
        if (peek().kind == token_kind::word) {
            help.topic = take().text;
        }
        result.body = std::move(help);
    } else if (command == "show") {
        BOOST_LEAF_ASSIGN(result.body, parse_show());
    } else if (command == "create") {
        BOOST_LEAF_ASSIGN(result.body, parse_create());
    } else if (command == "alter") {
        BOOST_LEAF_ASSIGN(result.body, parse_alter());
    } else if (command == "drop") {
        BOOST_LEAF_ASSIGN(result.body, parse_drop());
    } else if (command == "drain" || command == "undrain") {
        drain_statement drain;
        drain.is_drain = command == "drain";
        BOOST_LEAF_ASSIGN(drain.kind, expect_choice(drain_kinds));
        BOOST_LEAF_ASSIGN(drain.name, expect_name("a name"));
        result.body = std::move(drain);
    } else if (command == "change") {
        BOOST_LEAF_ASSIGN(result.body, parse_primary());
    } else if (command == "end") {
        BOOST_LEAF_CHECK(expect_word("transaction"));
        BOOST_LEAF_AUTO(id, expect_name("the id of a transaction"));
        result.body = end_statement{std::move(id)};
    } else if (command == "wait") {
        BOOST_LEAF_ASSIGN(result.body, parse_wait());
    } else if (command == "select") {
        BOOST_LEAF_ASSIGN(result.body, parse_select());
    } else if (command == "explain") {
        BOOST_LEAF_CHECK(expect_word("failover"));
        if (take_word("last")) {
            result.body = explain_statement{};
            return {};
        }
        const token item = peek();
        BOOST_LEAF_AUTO(number, expect_integer("\"last\" or the number of a failover", max_limit));
        if (number == 0) {
            return fail(item, "the number of a failover, from 1");
        }
        result.body = explain_statement{number};
    } else if (command == "report") {
        BOOST_LEAF_ASSIGN(result.body, parse_report());
    } else {
        result.body = exit_statement{};
    }
    return {};
}

leaf::result<show_statement> parser::parse_show() {
    show_statement show;
    BOOST_LEAF_ASSIGN(show.what, expect_choice(shown_things));
    if (show.what == "change") {
        BOOST_LEAF_ASSIGN(show.name, expect_name("a change id"));
    } else if (take_word("of")) {
        BOOST_LEAF_ASSIGN(show.name, expect_name("a name"));
    }
    return show;
}

leaf::result<create_statement> parser::parse_create() {
    create_statement create;
    BOOST_LEAF_ASSIGN(create.kind, expect_choice(object_kinds));
    BOOST_LEAF_ASSIGN(create.name, expect_name("a name"));
    if (take_word("with")) {
        BOOST_LEAF_ASSIGN(create.fields, parse_assignments());
    }
    return create;
}

leaf::result<alter_statement> parser::parse_alter() {
    alter_statement alter;
    BOOST_LEAF_ASSIGN(alter.kind, expect_choice(object_kinds));
    BOOST_LEAF_ASSIGN(alter.name, expect_name("a name"));
    BOOST_LEAF_ASSIGN(alter.if_version, parse_if_version());
    BOOST_LEAF_CHECK(expect_word("set"));
    BOOST_LEAF_ASSIGN(alter.fields, parse_assignments());
    return alter;
}

leaf::result<drop_statement> parser::parse_drop() {
    drop_statement drop;
    BOOST_LEAF_ASSIGN(drop.kind, expect_choice(object_kinds));
    BOOST_LEAF_ASSIGN(drop.name, expect_name("a name"));
    BOOST_LEAF_ASSIGN(drop.if_version, parse_if_version());
    return drop;
}

leaf::result<primary_statement> parser::parse_primary() {
    primary_statement primary;
    BOOST_LEAF_CHECK(expect_word("primary"));
    BOOST_LEAF_CHECK(expect_word("of"));
    BOOST_LEAF_ASSIGN(primary.pool, expect_name("the name of a pool"));
    BOOST_LEAF_CHECK(expect_word("to"));
    BOOST_LEAF_ASSIGN(primary.target, expect_name("the name of a target"));
    return primary;
}

leaf::result<wait_statement> parser::parse_wait() {
    wait_statement wait;
    if (take_word("for")) {
        BOOST_LEAF_CHECK(expect_word("version"));
        BOOST_LEAF_ASSIGN(wait.version, expect_integer("a version", UINT64_MAX));
    }
    if (take_word("within")) {
        BOOST_LEAF_AUTO(seconds, expect_integer("seconds", max_wait_seconds));
        wait.seconds = static_cast<int>(seconds);
    }
    return wait;
}

leaf::result<std::optional<std::uint64_t>> parser::parse_if_version() {
    if (!take_word("if")) {
        return std::optional<std::uint64_t>();
    }
    BOOST_LEAF_CHECK(expect_word("version"));
    BOOST_LEAF_AUTO(version, expect_integer("a version", UINT64_MAX));
    return std::optional<std::uint64_t>(version);
}

leaf::result<std::vector<assignment>> parser::parse_assignments() {
    std::vector<assignment> fields;
    std::set<std::string> seen;
    do {
        const token item = take();
        if (item.kind != token_kind::word) {
            return fail(item, "the name of a field");
        }
        if (!seen.insert(item.text).second) {
            return fail(item, "each field at most once");
        }
        BOOST_LEAF_CHECK(expect_symbol("="));
        BOOST_LEAF_AUTO(value, parse_value());
        fields.push_back({item.text, std::move(value), item.at});
    } while (take_symbol(","));
    return fields;
}

leaf::result<json> parser::parse_value() {
    if (!take_symbol("(")) {
        const token item = take();
        if (item.kind != token_kind::word && item.kind != token_kind::text) {
            return fail(item, "a value");
        }
        return make_value(item);
    }
    json list = json::array();
    if (take_symbol(")")) {
        return list;
    }
    do {
        const token item = take();
        if (item.kind != token_kind::word && item.kind != token_kind::text) {
            return fail(item, "a value");
        }
        list.push_back(make_value(item));
    } while (take_symbol(","));
    BOOST_LEAF_CHECK(expect_symbol(")"));
    return list;
}

leaf::result<select_item> parser::parse_item() {
    const token first = take();
    if (first.kind != token_kind::word) {
        return fail(first, "a field or one of count, sum, min, max, percentile");
    }
    select_item item{aggregate::none, first.text, 0, first.text, first.at};
    if (take_symbol("(")) {
        const auto function = aggregates.find(first.text);
        if (function == aggregates.end()) {
            return fail(first, "one of count, sum, min, max, percentile");
        }
        item.function = function->second;
        item.field.clear();
        if (item.function != aggregate::count) {
            BOOST_LEAF_ASSIGN(item.field, expect_name("the name of a field"));
            item.name = first.text + "_" + item.field;
        } else {
            take_word("*");
        }
        if (item.function == aggregate::percentile) {
            BOOST_LEAF_CHECK(expect_symbol(","));
            const token percent = take();
            const auto value = parse_number<double>(percent.text);
            if (percent.kind != token_kind::word || !value || !(*value >= 0 && *value <= 100)) {
                return fail(percent, "a number from 0 to 100");
            }
            item.percent = *value;
            item.name = "p" + percent.text + "_" + item.field;
        }
        BOOST_LEAF_CHECK(expect_symbol(")"));
    }
    if (take_word("as")) {
        BOOST_LEAF_ASSIGN(item.name, expect_name("the name of a column"));
    }
    return item;
}

leaf::result<select_statement> parser::parse_select() {
    select_statement select;
    if (!take_word("*")) {
        do {
            BOOST_LEAF_AUTO(item, parse_item());
            select.items.push_back(std::move(item));
        } while (take_symbol(","));
    }
    BOOST_LEAF_CHECK(expect_word("from"));
    BOOST_LEAF_ASSIGN(select.source, expect_choice(query_sources));
    if (take_word("where")) {
        BOOST_LEAF_ASSIGN(select.where, parse_condition(0));
    }
    if (take_word("group")) {
        BOOST_LEAF_CHECK(expect_word("by"));
        do {
            BOOST_LEAF_AUTO(field, expect_name("the name of a field"));
            select.group_by.push_back(std::move(field));
        } while (take_symbol(","));
    }
    if (take_word("order")) {
        BOOST_LEAF_CHECK(expect_word("by"));
        do {
            order_item order;
            order.at = peek().at;
            BOOST_LEAF_ASSIGN(order.name, expect_name("the name of a column"));
            order.is_descending = take_word("desc");
            if (!order.is_descending) {
                take_word("asc");
            }
            select.order_by.push_back(std::move(order));
        } while (take_symbol(","));
    }
    if (take_word("limit")) {
        BOOST_LEAF_ASSIGN(select.limit, expect_integer("a limit", max_limit));
    }
    return select;
}

leaf::result<expression> parser::parse_condition(int depth) {
    if (depth > max_depth) {
        return fail(peek(), "at most " + std::to_string(max_depth) + " levels of conditions");
    }
    combination any{false, {}};
    do {
        BOOST_LEAF_AUTO(part, parse_and(depth));
        any.parts.push_back(std::move(part));
    } while (take_word("or"));
    if (any.parts.size() == 1) {
        return std::move(any.parts.front());
    }
    return expression{std::move(any)};
}

leaf::result<expression> parser::parse_and(int depth) {
    combination all{true, {}};
    do {
        BOOST_LEAF_AUTO(part, parse_single(depth));
        all.parts.push_back(std::move(part));
    } while (take_word("and"));
    if (all.parts.size() == 1) {
        return std::move(all.parts.front());
    }
    return expression{std::move(all)};
}

leaf::result<expression> parser::parse_single(int depth) {
    if (depth > max_depth) {
        return fail(peek(), "at most " + std::to_string(max_depth) + " levels of conditions");
    }
    if (take_word("not")) {
        BOOST_LEAF_AUTO(part, parse_single(depth + 1));
        negation result;
        result.part.push_back(std::move(part));
        return expression{std::move(result)};
    }
    if (take_symbol("(")) {
        BOOST_LEAF_AUTO(inner, parse_condition(depth + 1));
        BOOST_LEAF_CHECK(expect_symbol(")"));
        return inner;
    }
    const token field = take();
    if (field.kind != token_kind::word) {
        return fail(field, "the name of a field");
    }
    BOOST_LEAF_AUTO(operation, expect_choice(operations));
    const token value = take();
    if (value.kind != token_kind::word && value.kind != token_kind::text) {
        return fail(value, "a value");
    }
    return expression{comparison{field.text, operation, make_value(value)}};
}

bool has_form(const std::string& text, std::string_view form) {
    return text.size() == form.size() &&
           std::equal(text.begin(), text.end(), form.begin(), [](char c, char wanted) {
               return wanted == '9' ? c >= '0' && c <= '9' : c == wanted;
           });
}

leaf::result<report_statement> parser::parse_report() {
    report_statement report;
    BOOST_LEAF_ASSIGN(report.period, expect_choice({"month", "night", "last"}));
    if (report.period == "last") {
        BOOST_LEAF_ASSIGN(report.hours, expect_integer("hours", max_report_hours));
    }
    const bool is_month = report.period == "month";
    if (is_month ||
        (report.period == "night" && peek().kind == token_kind::word && !is_word("as"))) {
        const token date = take();
        if (!has_form(date.text, is_month ? "9999-99" : "9999-99-99")) {
            return fail(date, is_month ? "a month YYYY-MM" : "a date YYYY-MM-DD");
        }
        report.date = date.text;
    }
    if (!take_word("as")) {
        return report;
    }
    const token format = peek();
    BOOST_LEAF_ASSIGN(report.format, expect_choice({"table", "csv", "svg"}));
    if (peek().kind != token_kind::symbol && peek().kind != token_kind::end) {
        report.file = take().text;
    }
    if (report.format == "svg" && report.file.empty()) {
        return fail(peek(), "the name of a file");
    }
    return report;
}

}  // namespace

leaf::result<std::vector<statement>> parse_statements(std::string_view input) {
    BOOST_LEAF_AUTO(tokens, split_into_tokens(input));
    return parser(input, std::move(tokens)).run();
}

bool is_complete(std::string_view input) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(tokens, split_into_tokens(input));
            return tokens.size() < 2 || (tokens[tokens.size() - 2].kind == token_kind::symbol &&
                                         tokens[tokens.size() - 2].text == ";");
        },
        [](const command_error& error) {
            // A text that is still open may be closed on the next line.
            return error.message.find("closing quote") == std::string::npos;
        },
        [] { return true; });
}

std::vector<std::string> get_next_words(const std::vector<std::string>& words) {
    if (words.empty()) {
        return get_commands();
    }
    const std::string& command = words.front();
    if (words.size() == 1) {
        static const std::map<std::string, std::vector<std::string>> second{
            {"help", get_commands()},    {"show", shown_things},
            {"create", object_kinds},    {"alter", object_kinds},
            {"drop", object_kinds},      {"drain", drain_kinds},
            {"undrain", drain_kinds},    {"change", {"primary"}},
            {"wait", {"for", "within"}}, {"explain", {"failover"}},
            {"end", {"transaction"}},    {"report", {"month", "night", "last"}}};
        const auto it = second.find(command);
        return it == second.end() ? std::vector<std::string>() : it->second;
    }
    if (command == "select") {
        if (words.back() == "from") {
            return query_sources;
        }
        return {"from", "where", "group", "by", "order", "limit", "as", "and", "or", "not"};
    }
    static const std::map<std::string, std::vector<std::string>> later{
        {"create", {"with"}},
        {"alter", {"if", "version", "set"}},
        {"drop", {"if", "version"}},
        {"show", {"of"}},
        {"change", {"of", "to"}},
        {"wait", {"version", "within"}},
        {"report", {"as", "table", "csv", "svg"}}};
    const auto it = later.find(command);
    return it == later.end() ? std::vector<std::string>() : it->second;
}

}  // namespace hornbeamhook::ctl
