#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "protocol/table_client.h"
#include "state/usage_row.h"

namespace hornbeamhook::ctl {

/** Rows of one query source with the names of the columns that "*" shows. */
struct source_rows {
    std::vector<std::string> columns;
    std::vector<nlohmann::json> rows;
};

/** All values of a table with this key prefix, in key order. Fails with table_error. */
boost::leaf::result<std::vector<nlohmann::json>> read_values(protocol::table_client& client,
                                                             const std::string& table,
                                                             const std::string& prefix);

/** Usage rows with this key prefix; rows that cannot be parsed are skipped and counted. Fails with
 * table_error. */
boost::leaf::result<std::vector<state::usage_row>> read_usage(protocol::table_client& client,
                                                              const std::string& prefix,
                                                              std::size_t& skipped);

/**
 * Joins the records of one promotion, that is of one pool and term within 10 minutes: the
 * claimant's own record stands for all, or the earliest second-hand one when the claimant's is
 * missing. The others are listed under "seen_by". Keeps the order. Pure.
 */
std::vector<nlohmann::json> merge_failovers(std::vector<nlohmann::json> rows);

/** Failovers in order, each promotion once; each gets its `number`, from 1, and `at`. Fails with
 * table_error. */
boost::leaf::result<std::vector<nlohmann::json>> read_failovers(protocol::table_client& client);

/** The rows of "usage", "audit" or "failovers" for queries. Fails with table_error. */
boost::leaf::result<source_rows> read_source(protocol::table_client& client,
                                             const std::string& source);

}  // namespace hornbeamhook::ctl
