#include "ctl/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>

#include "ctl/json_text.h"
#include "ctl/time_text.h"

namespace hornbeamhook::ctl {

using nlohmann::json;

namespace {

constexpr double us_per_ms = 1000.0;
constexpr const char* planned_reason = "planned";
constexpr const char* total_name = "(all)";

/** Sums of one pool. */
struct pool_sums {
    state::usage_counters counters;
    std::vector<std::int64_t> gaps_ms;
    std::uint64_t planned_changes = 0;
};

std::uint64_t get_refused(const state::usage_counters& counters) {
    std::uint64_t refused = 0;
    for (const auto& [code, count] : counters.refused) {
        refused += count;
    }
    return refused;
}

void add_counters(state::usage_counters& sum, const state::usage_counters& part) {
    sum.reads += part.reads;
    sum.writes += part.writes;
    sum.replica_reads += part.replica_reads;
    sum.unknown += part.unknown;
    sum.latency_sum_us += part.latency_sum_us;
    sum.latency.merge(part.latency);
    for (const auto& [code, count] : part.refused) {
        sum.refused[code] += count;
    }
}

void add_failover(pool_sums& sums, const json& failover) {
    if (failover.value("reason", "") == planned_reason) {
        ++sums.planned_changes;
        return;
    }
    const auto gap = failover.find("gap_ms");
    if (gap != failover.end() && gap->is_number()) {
        sums.gaps_ms.push_back(gap->get<std::int64_t>());
    }
}

json make_month_row(const std::string& pool, const pool_sums& sums) {
    const state::usage_counters& counters = sums.counters;
    const double share = counters.reads == 0 ? 0
                                             : 100.0 * static_cast<double>(counters.replica_reads) /
                                                   static_cast<double>(counters.reads);
    const std::uint64_t refused = get_refused(counters);
    const auto longest = std::max_element(sums.gaps_ms.begin(), sums.gaps_ms.end());
    json row{{"pool", pool},
             {"requests", counters.reads + counters.writes + refused},
             {"reads", counters.reads},
             {"replica_reads", counters.replica_reads},
             {"replica_share_percent", std::round(share * 100) / 100},
             {"writes", counters.writes},
             {"refused", refused},
             {"unknown", counters.unknown},
             {"failovers", sums.gaps_ms.size()},
             {"longest_gap_ms", nullptr},
             {"planned_changes", sums.planned_changes}};
    for (const double percent : {50.0, 99.0}) {
        row[percent < 90 ? "p50_ms" : "p99_ms"] =
            static_cast<double>(counters.latency.get_percentile(percent).count()) / us_per_ms;
    }
    if (longest != sums.gaps_ms.end()) {
        row["longest_gap_ms"] = *longest;
    }
    return row;
}

std::string escape_xml(const std::string& text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            default:
                result += c;
        }
    }
    return result;
}

std::string make_text(int x, int y, const std::string& text) {
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">" +
           escape_xml(text) + "</text>\n";
}

std::string make_bar(double x, int y, double width, int height, const char* color) {
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(),
                  "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>\n", x, y,
                  width, height, color);
    return text.data();
}

/** A table row of an event in the night report. */
json make_event(const json& row) {
    const std::int64_t at_ms = row.value("at_ms", std::int64_t{0});
    return {{"at", format_time(at_ms)},
            {"kind", row.value("kind", "")},
            {"subject", row.value("subject", "")},
            {"vm", row.value("vm", "")},
            {"reason", row.value("reason", "")}};
}

bool is_within(const json& row, std::int64_t begin_ms, std::int64_t end_ms) {
    const std::int64_t at_ms = row.value("at_ms", std::int64_t{-1});
    return at_ms >= begin_ms && at_ms < end_ms;
}

std::string describe_primary(const json& details, const char* field) {
    const auto it = details.find(field);
    if (it == details.end() || !it->is_object()) {
        return "none";
    }
    return it->value("target", "") + " in term " + to_text(it->value("term", json(0)));
}

std::string describe_change(const json& row) {
    const json details = row.value("details", json::object());
    return describe_primary(details, "before") + " -> " + describe_primary(details, "after");
}

std::string describe_observation(const json& item) {
    if (!item.is_object()) {
        return to_text(item);
    }
    const std::string name = item.value("target", "");
    return item.value("observer", "") +
           (item.value("is_unreachable", false) ? " could not reach " : " reached ") +
           (name.empty() ? "the primary" : name) +
           (item.value("is_contradicted", false) ? ", but a replica heard from it" : "");
}

/** Rows of the story of one failover; times count from the last answer of the old primary. */
class failover_story {
public:
    explicit failover_story(const json& failover) {
        const json at = failover.value("at_ms", json());
        const json gap = failover.value("gap_ms", json());
        if (at.is_number_integer() && gap.is_number_integer()) {
            begin_ms_ = at.get<std::int64_t>() - gap.get<std::int64_t>();
        }
    }

    void add(std::optional<std::int64_t> after_ms, const std::string& event,
             const std::string& detail) {
        json row{{"at", nullptr}, {"after_ms", nullptr}, {"event", event}, {"detail", detail}};
        if (after_ms) {
            row["after_ms"] = *after_ms;
            row["at"] = begin_ms_ ? json(format_time(*begin_ms_ + *after_ms)) : json();
        }
        table_.rows.push_back(std::move(row));
    }

    result_table get_table() const { return table_; }

private:
    std::optional<std::int64_t> begin_ms_;
    result_table table_{{"at", "after_ms", "event", "detail"}, {}};
};

std::string describe_recorder(const json& failover) {
    return "recorded by " + failover.value("vm", "") + " at " +
           format_time(failover.value("at_ms", std::int64_t{0}));
}

std::optional<std::int64_t> get_gap(const json& failover) {
    const json gap = failover.value("gap_ms", json());
    return gap.is_number_integer() ? std::optional(gap.get<std::int64_t>()) : std::nullopt;
}

/** The story of a promotion whose claimant left no record. */
void add_seen(failover_story& story, const json& failover, const json& details) {
    story.add(get_gap(failover), "the new primary was seen",
              describe_primary(details, "after") + ", claimed by " + details.value("claimant", "") +
                  ", reason " + failover.value("reason", ""));
    story.add({}, "second-hand: the record of the claimant is missing",
              describe_recorder(failover) + "; its steps are not known");
}

void add_phases(failover_story& story, const json& failover, const json& details) {
    constexpr std::array<std::pair<const char*, const char*>, 5> phases{
        {{"detection_ms", "the loss of the primary was declared"},
         {"claim_ms", "a term was claimed and the first fence call sent"},
         {"fencing_ms", "a majority of the targets was fenced"},
         {"promotion_ms", "the new primary accepted its promotion"},
         {"adoption_ms", "a majority followed the new primary"}}};
    std::int64_t after_ms = 0;
    for (const auto& [field, event] : phases) {
        const json duration = details.value(field, json());
        if (!duration.is_number_integer()) {
            continue;
        }
        after_ms += duration.get<std::int64_t>();
        std::string detail = "took " + to_text(duration) + " ms";
        if (std::string(field) == "detection_ms") {
            detail += ", reason " + failover.value("reason", "");
        } else if (std::string(field) == "claim_ms") {
            detail += ", by " + details.value("claimant", "") + ", attempt " +
                      to_text(details.value("attempts", json()));
        } else if (std::string(field) == "fencing_ms") {
            detail += ", fenced " + to_text(details.value("fenced", json::object()));
        } else if (std::string(field) == "promotion_ms") {
            detail += ", " + describe_primary(details, "after");
        }
        story.add(after_ms, event, detail);
    }
    const bool is_adopted = details.value("is_adopted", true);
    story.add(
        get_gap(failover),
        is_adopted ? "writes were accepted again" : "no majority followed within the time allowed",
        describe_recorder(failover));
}

}  // namespace

report make_month_report(const std::string& month, const std::vector<state::usage_row>& usage,
                         const std::vector<json>& failovers) {
    std::map<std::string, pool_sums> pools;
    pool_sums total;
    for (const state::usage_row& row : usage) {
        add_counters(pools[row.key.pool].counters, row.counters);
        add_counters(total.counters, row.counters);
    }
    for (const json& failover : failovers) {
        add_failover(pools[failover.value("subject", "")], failover);
        add_failover(total, failover);
    }
    report result;
    result.title = "Usage of " + month;
    result.table.columns = {
        "pool",      "requests",       "reads",          "replica_reads", "replica_share_percent",
        "writes",    "refused",        "unknown",        "p50_ms",        "p99_ms",
        "failovers", "longest_gap_ms", "planned_changes"};
    for (const auto& [pool, sums] : pools) {
        result.table.rows.push_back(make_month_row(pool, sums));
    }
    json all = make_month_row(total_name, total);
    result.summary =
        to_text(all["requests"]) + " requests; replicas served " +
        to_text(all["replica_share_percent"]) + " % of " + to_text(all["reads"]) + " reads; " +
        to_text(all["failovers"]) + " failovers, longest gap " +
        (all["longest_gap_ms"].is_null() ? "none" : to_text(all["longest_gap_ms"]) + " ms");
    result.table.rows.push_back(std::move(all));
    return result;
}

report make_night_report(std::int64_t begin_ms, std::int64_t end_ms,
                         const std::vector<state::usage_row>& usage, const std::vector<json>& audit,
                         const std::vector<json>& failovers) {
    pool_sums total;
    const std::string first_hour = format_time(begin_ms).substr(0, 13);
    const std::string last_hour = format_time(end_ms - 1).substr(0, 13);
    for (const state::usage_row& row : usage) {
        if (row.key.hour >= first_hour && row.key.hour <= last_hour) {
            add_counters(total.counters, row.counters);
        }
    }
    report result;
    result.title = "Night from " + format_time(begin_ms) + " to " + format_time(end_ms);
    result.table.columns = {"at", "kind", "subject", "vm", "reason", "gap_ms", "change"};
    for (const json& row : failovers) {
        if (is_within(row, begin_ms, end_ms)) {
            add_failover(total, row);
            json event = make_event(row);
            event["gap_ms"] = row.value("gap_ms", json());
            event["change"] = describe_change(row);
            result.table.rows.push_back(std::move(event));
        }
    }
    for (const json& row : audit) {
        const std::string kind = row.value("kind", "");
        // Promotions are listed once, from the failovers.
        if (is_within(row, begin_ms, end_ms) && kind != "promotion" && kind != "promotion_seen") {
            result.table.rows.push_back(make_event(row));
        }
    }
    std::stable_sort(result.table.rows.begin(), result.table.rows.end(),
                     [](const json& a, const json& b) { return a["at"] < b["at"]; });
    const json sums = make_month_row(total_name, total);
    result.summary =
        to_text(sums["failovers"]) + " failovers, longest gap " +
        (sums["longest_gap_ms"].is_null() ? "none" : to_text(sums["longest_gap_ms"]) + " ms") +
        "; " + to_text(sums["requests"]) + " requests, " + to_text(sums["refused"]) + " refused, " +
        to_text(sums["unknown"]) + " unknown";
    return result;
}

std::string format_svg(const report& value) {
    constexpr int width = 900;
    constexpr int label_width = 160;
    constexpr int bar_width = 520;
    constexpr int row_height = 34;
    constexpr int top = 84;
    constexpr std::array<std::pair<const char*, const char*>, 4> parts{
        {{"replica_reads", "#2a9d8f"},
         {"primary_reads", "#e9c46a"},
         {"writes", "#e76f51"},
         {"refused", "#6c757d"}}};
    double largest = 1;
    for (const json& row : value.table.rows) {
        if (row["pool"] != total_name) {
            largest = std::max(largest, row["requests"].get<double>());
        }
    }
    std::string body = make_text(16, 28, value.title) + make_text(16, 50, value.summary);
    int x = label_width;
    for (const auto& [name, color] : parts) {
        body += make_bar(x, 60, 12, 12, color) + make_text(x + 16, 71, name);
        x += 130;
    }
    int y = top;
    for (const json& row : value.table.rows) {
        if (row["pool"] == total_name) {
            continue;
        }
        json counts = row;
        counts["primary_reads"] =
            row["reads"].get<std::int64_t>() - row["replica_reads"].get<std::int64_t>();
        body += make_text(16, y + 17, row["pool"].get<std::string>());
        double left = label_width;
        for (const auto& [name, color] : parts) {
            const double length = bar_width * counts[name].get<double>() / largest;
            body += make_bar(left, y, length, row_height - 12, color);
            left += length;
        }
        body += make_text(label_width + bar_width + 12, y + 17,
                          to_text(row["requests"]) + ", " + to_text(row["replica_share_percent"]) +
                              " % replicas, " + to_text(row["failovers"]) + " failovers");
        y += row_height;
    }
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width) +
           "\" height=\"" + std::to_string(y + 16) +
           "\" font-family=\"sans-serif\" font-size=\"13\">\n<rect width=\"100%\" "
           "height=\"100%\" fill=\"#ffffff\"/>\n" +
           body + "</svg>\n";
}

result_table explain_failover(const json& failover) {
    failover_story story(failover);
    const json details = failover.value("details", json::object());
    story.add(0, "last answer of the primary", describe_primary(details, "before"));
    for (const json& item : details.value("observations", json::array())) {
        story.add({}, "observation of another proxy", describe_observation(item));
    }
    if (failover.value("is_second_hand", false)) {
        add_seen(story, failover, details);
    } else {
        add_phases(story, failover, details);
    }
    for (const json& other : failover.value("seen_by", json::array())) {
        story.add({}, "also recorded by another proxy",
                  other.value("vm", "") + " at " +
                      format_time(other.value("at_ms", std::int64_t{0})) + ", reason " +
                      other.value("reason", "") + ", gap as seen there " +
                      to_text(other.value("gap_ms", json())) + " ms");
    }
    return story.get_table();
}

}  // namespace hornbeamhook::ctl
