#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/result_table.h"
#include "state/usage_row.h"

namespace hornbeamhook::ctl {

/** A report: one table, a sentence that sums it up, and a title. */
struct report {
    std::string title;
    std::string summary;
    result_table table;
};

/**
 * Usage of a month per pool with the share of reads served by replicas and the failover gaps.
 * `failovers` are rows of the failover table; planned changes of primaries are counted apart.
 */
report make_month_report(const std::string& month, const std::vector<state::usage_row>& usage,
                         const std::vector<nlohmann::json>& failovers);

/** What happened in [begin_ms, end_ms), from rows of the audit and failover tables. */
report make_night_report(std::int64_t begin_ms, std::int64_t end_ms,
                         const std::vector<state::usage_row>& usage,
                         const std::vector<nlohmann::json>& audit,
                         const std::vector<nlohmann::json>& failovers);

/** The month report as an SVG chart: requests by pool, split by who served them. */
std::string format_svg(const report& value);

/** The story of one failover in order: columns after_ms, event, detail. */
result_table explain_failover(const nlohmann::json& failover);

}  // namespace hornbeamhook::ctl
