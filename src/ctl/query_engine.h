#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "ctl/result_table.h"
#include "ctl/statement.h"

namespace hornbeamhook::ctl {

/**
 * Runs a query over rows (JSON objects). "a.b" reaches into nested objects; a missing field is
 * null. percentile() of a latency histogram adds the histograms up and answers in ms; of numbers it
 * is the nearest rank. Fails with command_error.
 */
boost::leaf::result<result_table> run_query(const select_statement& select,
                                            const std::vector<nlohmann::json>& rows,
                                            const std::vector<std::string>& all_columns);

/** Whether `row` satisfies `condition`. Comparisons with null or another type do not hold, except
 * "!=". */
bool is_match(const expression& condition, const nlohmann::json& row);

/** The value of "a.b.c" in a row, or null. */
nlohmann::json get_field(const nlohmann::json& row, const std::string& path);

}  // namespace hornbeamhook::ctl
