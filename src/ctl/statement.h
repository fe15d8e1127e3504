#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ctl/command_error.h"

namespace hornbeamhook::ctl {

/** `FIELD = VALUE`. */
struct assignment {
    std::string field;
    nlohmann::json value;  ///< A string, number, boolean or array of these.
    input_position at;

    bool operator==(const assignment&) const = default;
};

/** `help [TOPIC]` */
struct help_statement {
    std::string topic;

    bool operator==(const help_statement&) const = default;
};

/** `show WHAT [of NAME]` */
struct show_statement {
    std::string what;
    std::string name;

    bool operator==(const show_statement&) const = default;
};

/** `create KIND NAME [with FIELD = VALUE, ...]` */
struct create_statement {
    std::string kind;
    std::string name;
    std::vector<assignment> fields;

    bool operator==(const create_statement&) const = default;
};

/** `alter KIND NAME [if version N] set FIELD = VALUE, ...` */
struct alter_statement {
    std::string kind;
    std::string name;
    std::optional<std::uint64_t> if_version;
    std::vector<assignment> fields;

    bool operator==(const alter_statement&) const = default;
};

/** `drop KIND NAME [if version N]` */
struct drop_statement {
    std::string kind;
    std::string name;
    std::optional<std::uint64_t> if_version;

    bool operator==(const drop_statement&) const = default;
};

/** `drain|undrain vm|target NAME` */
struct drain_statement {
    bool is_drain = true;
    std::string kind;
    std::string name;

    bool operator==(const drain_statement&) const = default;
};

/** `change primary of POOL to TARGET` */
struct primary_statement {
    std::string pool;
    std::string target;

    bool operator==(const primary_statement&) const = default;
};

/** `end transaction ID` */
struct end_statement {
    std::string id;  ///< "VM/INCARNATION/NUMBER", as `show sessions` names it.

    bool operator==(const end_statement&) const = default;
};

/** `wait [for version N] [within SECONDS]` */
struct wait_statement {
    std::optional<std::uint64_t> version;
    int seconds = 10;

    bool operator==(const wait_statement&) const = default;
};

/** Functions over the rows of a group. */
enum class aggregate { none, count, sum, min, max, percentile };

/** One column of a query. */
struct select_item {
    aggregate function = aggregate::none;
    std::string field;   ///< Empty for count().
    double percent = 0;  ///< Only for percentile.
    std::string name;    ///< Name of the column.
    input_position at;

    bool operator==(const select_item&) const = default;
};

struct expression;

/** `FIELD OPERATOR VALUE` */
struct comparison {
    std::string field;
    std::string operation;  ///< = != < <= > >= like
    nlohmann::json value;

    bool operator==(const comparison&) const = default;
};

/** Conditions joined by `and` or `or`. */
struct combination {
    bool is_and = true;
    std::vector<expression> parts;

    bool operator==(const combination& other) const;
};

/** `not CONDITION`; holds exactly one part. */
struct negation {
    std::vector<expression> part;

    bool operator==(const negation& other) const;
};

/** A condition. */
struct expression {
    std::variant<comparison, combination, negation> node;

    bool operator==(const expression& other) const;
};

/** One sort key. */
struct order_item {
    std::string name;
    bool is_descending = false;
    input_position at;

    bool operator==(const order_item&) const = default;
};

/** `select ITEMS from SOURCE [where ...] [group by ...] [order by ...] [limit N]` */
struct select_statement {
    std::vector<select_item> items;  ///< Empty for "*".
    std::string source;
    std::optional<expression> where;
    std::vector<std::string> group_by;
    std::vector<order_item> order_by;
    std::optional<std::uint64_t> limit;

    bool operator==(const select_statement&) const = default;
};

/** `explain failover N` or `explain failover last` */
struct explain_statement {
    std::uint64_t number = 0;  ///< 0 for the newest.

    bool operator==(const explain_statement&) const = default;
};

/** `report month YYYY-MM | night [YYYY-MM-DD] | last HOURS [as table | csv [FILE] | svg FILE]` */
struct report_statement {
    std::string period;  ///< "month", "night" or "last".
    std::string date;    ///< "YYYY-MM", "YYYY-MM-DD" or empty.
    std::string format = "table";
    std::string file;
    std::uint64_t hours = 0;  ///< Only for "last".

    bool operator==(const report_statement&) const = default;
};

/** `exit` */
struct exit_statement {
    bool operator==(const exit_statement&) const = default;
};

/** One statement with its place in the input. */
struct statement {
    std::variant<help_statement, show_statement, create_statement, alter_statement, drop_statement,
                 drain_statement, primary_statement, end_statement, wait_statement,
                 select_statement, explain_statement, report_statement, exit_statement>
        body;
    input_position at;
    std::string text;  ///< As written, without the ";".

    bool operator==(const statement&) const = default;
};

}  // namespace hornbeamhook::ctl
