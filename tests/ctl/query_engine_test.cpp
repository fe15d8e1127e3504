#include "ctl/query_engine.h"

#include <gtest/gtest.h>

#include "ctl/parser.h"
#include "state/latency_histogram.h"

namespace hornbeamhook::ctl {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

/** The rows of a query, or an array with the message of its error. */
json run(const std::string& query, const std::vector<json>& rows) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<json> {
            BOOST_LEAF_AUTO(statements, parse_statements(query));
            BOOST_LEAF_AUTO(table, run_query(std::get<select_statement>(statements.at(0).body),
                                             rows, {"pool", "reads"}));
            return json(table.rows);
        },
        [](const command_error& error) { return json(error.message); },
        [] { return json("other error"); });
}

std::vector<json> make_rows() {
    state::latency_histogram fast;
    state::latency_histogram slow;
    for (int i = 0; i < 99; ++i) {
        fast.add(std::chrono::milliseconds(1));
    }
    slow.add(std::chrono::milliseconds(70));
    return {{{"pool", "a"}, {"reads", 5}, {"hour", "2026-12-04T05"}, {"latency", fast.to_json()}},
            {{"pool", "b"}, {"reads", 7}, {"hour", "2026-12-04T06"}, {"details", {{"x", 1}}}},
            {{"pool", "a"}, {"reads", 1}, {"hour", "2026-12-05T00"}, {"latency", slow.to_json()}}};
}

// Guards against wrong sums, groups or order.
TEST(query_engine, groups_and_sorts) {
    EXPECT_EQ(run("select pool, sum(reads) as n, count(), min(reads), max(reads) from usage group "
                  "by pool order by n desc;",
                  make_rows()),
              (json{{{"pool", "b"}, {"n", 7}, {"count", 1}, {"min_reads", 7}, {"max_reads", 7}},
                    {{"pool", "a"}, {"n", 6}, {"count", 2}, {"min_reads", 1}, {"max_reads", 5}}}));
    EXPECT_EQ(run("select * from usage order by reads limit 2;", make_rows()),
              (json{{{"pool", "a"}, {"reads", 1}}, {{"pool", "a"}, {"reads", 5}}}));
    EXPECT_EQ(run("select count() from usage;", {}), (json{{{"count", 0}}}));
}

// Guards against percentiles taken per row instead of over the merged histograms.
TEST(query_engine, percentiles_merge_histograms) {
    EXPECT_EQ(
        run("select percentile(latency, 50), percentile(latency, 100) from usage;", make_rows()),
        (json{{{"p50_latency", 1.0}, {"p100_latency", 70.0}}}));
    EXPECT_EQ(run("select percentile(reads, 50), percentile(reads, 0) from usage;", make_rows()),
              (json{{{"p50_reads", 5.0}, {"p0_reads", 1.0}}}));
}

// Guards against conditions that hold for missing fields or other types.
TEST(query_engine, conditions_compare_within_a_type) {
    const auto count = [](const std::string& where) {
        return run("select count() as n from usage where " + where + ";", make_rows())[0]["n"];
    };
    EXPECT_EQ(count("reads > 1"), 2);
    EXPECT_EQ(count("reads > 'x'"), 0);
    EXPECT_EQ(count("missing = 1"), 0);
    EXPECT_EQ(count("missing < 1 or missing >= 1"), 0);
    EXPECT_EQ(count("missing != 1"), 3);
    EXPECT_EQ(count("details.x = 1"), 1);
    EXPECT_EQ(count("hour like '2026-12-04%'"), 2);
    EXPECT_EQ(count("hour like '%T0_'"), 0);
    EXPECT_EQ(count("hour like '%04%5'"), 1);
    EXPECT_EQ(count("hour >= 2026-12-05"), 1);
    EXPECT_EQ(count("not pool = a and reads = 7"), 1);
}

// Guards against a column that shows an arbitrary row of its group.
TEST(query_engine, refuses_ambiguous_columns) {
    EXPECT_NE(to_string(run("select reads, count() from usage;", make_rows()))
                  .find("not allowed beside aggregates"),
              std::string::npos);
    EXPECT_NE(to_string(run("select pool, pool from usage;", make_rows())).find("two columns"),
              std::string::npos);
    EXPECT_NE(to_string(run("select pool from usage order by x;", make_rows()))
                  .find("not a column of the result"),
              std::string::npos);
}

// Guards against a "like" that needs exponential time.
TEST(query_engine, like_is_fast_on_hostile_patterns) {
    std::string pattern;
    for (int i = 0; i < 200; ++i) {
        pattern += "a%";
    }
    const std::vector<json> rows{{{"pool", std::string(5000, 'a') + "b"}}};
    EXPECT_EQ(run("select count() as n from usage where pool like '" + pattern + "c';", rows),
              (json{{{"n", 0}}}));
}

// Guards against CSV and table output that breaks on commas, quotes or control characters.
TEST(result_table, formats_special_characters) {
    const result_table table{{"a", "b"}, {{{"a", "x,\"y\""}, {"b", 1.5}}, {{"a", "l\n2"}}}};
    EXPECT_EQ(format_csv(table), "a,b\r\n\"x,\"\"y\"\"\",1.5\r\n\"l\n2\",\r\n");
    EXPECT_EQ(format_table(table), "a      b\nx,\"y\"  1.5\nl 2\n(2 rows)\n");
    const result_table damaged{{"a"}, {{{"a", "\xff"}}}};
    EXPECT_TRUE(json::accept(format_json(damaged)));
}

}  // namespace
}  // namespace hornbeamhook::ctl
