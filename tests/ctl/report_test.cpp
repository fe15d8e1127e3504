#include "ctl/report.h"

#include <gtest/gtest.h>

namespace hornbeamhook::ctl {
namespace {

using nlohmann::json;

constexpr std::int64_t night_ms = 1'796'360'400'000;  // 2026-12-04 05:00 UTC

std::vector<state::usage_row> make_usage() {
    std::vector<state::usage_row> rows(2);
    rows[0].key = {"2026-12-04T05", "recipes", "van", "sligo", "vm-1", 1};
    rows[0].counters.reads = 100;
    rows[0].counters.replica_reads = 85;
    rows[0].counters.latency.add(std::chrono::milliseconds(2));
    rows[1].key = {"2026-12-04T07", "stock", "shop", "dublin", "vm-2", 1};
    rows[1].counters.writes = 10;
    rows[1].counters.refused["overloaded"] = 3;
    return rows;
}

json make_failover(std::int64_t at_ms, const std::string& reason, json gap) {
    return {{"at_ms", at_ms},
            {"subject", "recipes"},
            {"kind", "promotion"},
            {"reason", reason},
            {"vm", "vm-1"},
            {"gap_ms", std::move(gap)},
            {"details",
             {{"before", {{"target", "a"}, {"term", 3}}},
              {"after", {{"target", "b"}, {"term", 4}}},
              {"claimant", "vm-1/1/1"},
              {"attempts", 1},
              {"detection_ms", 800},
              {"claim_ms", 5},
              {"fencing_ms", 40},
              {"promotion_ms", 30},
              {"adoption_ms", 25},
              {"observations", json::array({{{"observer", "vm-2"}, {"is_unreachable", true}}})}}}};
}

const json* find_row(const report& value, const std::string& pool) {
    for (const json& row : value.table.rows) {
        if (row["pool"] == pool) {
            return &row;
        }
    }
    return nullptr;
}

// Guards against a wrong share of replica reads and against planned changes counted as failovers.
TEST(report, month_shows_share_and_gaps) {
    const report value = make_month_report(
        "2026-12", make_usage(),
        {make_failover(night_ms, "unreachable", 900), make_failover(night_ms, "cut_off", 1400),
         make_failover(night_ms, "planned", 60), make_failover(night_ms, "unreachable", nullptr)});
    const json* recipes = find_row(value, "recipes");
    ASSERT_NE(recipes, nullptr);
    EXPECT_EQ((*recipes)["replica_share_percent"], 85.0);
    EXPECT_EQ((*recipes)["failovers"], 2);
    EXPECT_EQ((*recipes)["longest_gap_ms"], 1400);
    EXPECT_EQ((*recipes)["planned_changes"], 1);
    const json* all = find_row(value, "(all)");
    ASSERT_NE(all, nullptr);
    EXPECT_EQ((*all)["requests"], 113);
    EXPECT_EQ((*all)["refused"], 3);
    EXPECT_NE(value.summary.find("85.0 % of 100 reads"), std::string::npos) << value.summary;
}

// Guards against a chart that is not well formed when a pool has a name with special characters.
TEST(report, svg_escapes_text_and_has_a_bar_per_pool) {
    std::vector<state::usage_row> usage = make_usage();
    usage[0].key.pool = "<a&\"b>";
    const std::string svg = format_svg(make_month_report("2026-12", usage, {}));
    EXPECT_EQ(svg.find("<a&"), std::string::npos);
    EXPECT_NE(svg.find("&lt;a&amp;&quot;b&gt;"), std::string::npos);
    EXPECT_TRUE(svg.starts_with("<svg "));
    EXPECT_TRUE(svg.ends_with("</svg>\n"));
    EXPECT_EQ(svg.find("(all)"), std::string::npos);
}

// Guards against events of the day in the report of the night, and against missing ones.
TEST(report, night_lists_events_in_order) {
    const std::vector<json> audit{
        {{"at_ms", night_ms + 5},
         {"kind", "drain"},
         {"subject", "vm vm-1"},
         {"vm", "operator:ada"}},
        {{"at_ms", night_ms}, {"kind", "promotion"}, {"subject", "recipes"}},
        {{"at_ms", night_ms + 3'600'000}, {"kind", "late"}, {"subject", "x"}}};
    const report value = make_night_report(night_ms - 1000, night_ms + 3'600'000, make_usage(),
                                           audit, {make_failover(night_ms, "unreachable", 900)});
    ASSERT_EQ(value.table.rows.size(), 2U);
    EXPECT_EQ(value.table.rows[0]["kind"], "promotion");
    EXPECT_EQ(value.table.rows[0]["gap_ms"], 900);
    EXPECT_EQ(value.table.rows[1]["kind"], "drain");
    EXPECT_NE(value.summary.find("1 failovers, longest gap 900 ms"), std::string::npos);
    EXPECT_NE(value.summary.find("100 requests"), std::string::npos) << value.summary;
}

// Guards against a story out of order or with times that do not add up to the gap.
TEST(report, explains_a_failover_in_order) {
    const result_table table = explain_failover(make_failover(night_ms, "unreachable", 900));
    std::int64_t last = 0;
    for (const json& row : table.rows) {
        if (row["after_ms"].is_number()) {
            EXPECT_GE(row["after_ms"].get<std::int64_t>(), last);
            last = row["after_ms"];
        }
    }
    EXPECT_EQ(last, 900);
    EXPECT_EQ(table.rows.front()["detail"], "a in term 3");
    EXPECT_EQ(table.rows.back()["event"], "writes were accepted again");
    const std::string text = json(table.rows).dump();
    EXPECT_NE(text.find("vm-2"), std::string::npos);
    EXPECT_NE(text.find("b in term 4"), std::string::npos);
}

// Guards against a second-hand record that is told as if its steps were known.
TEST(report, a_second_hand_record_says_so) {
    json record = make_failover(night_ms, "unreachable", 900);
    record["is_second_hand"] = true;
    const result_table table = explain_failover(record);
    const std::string text = json(table.rows).dump();
    EXPECT_NE(text.find("second-hand"), std::string::npos) << text;
    EXPECT_NE(text.find("vm-2 could not reach"), std::string::npos) << text;
    EXPECT_NE(text.find("b in term 4"), std::string::npos) << text;
    EXPECT_EQ(text.find("a majority followed"), std::string::npos) << text;
}

// Guards against a crash on a record without details.
TEST(report, explains_what_it_has) {
    EXPECT_FALSE(explain_failover({{"at_ms", 5}, {"details", json::object()}}).rows.empty());
    EXPECT_FALSE(explain_failover(json::object()).rows.empty());
}

}  // namespace
}  // namespace hornbeamhook::ctl
