#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/recent_callers.h"
#include "proxy/home_runtime.h"
#include "proxy/session_pool.h"
#include "proxy/transaction_service.h"

namespace hornbeamhook::proxy {

/** What GET /internal/v1/sessions reports. */
struct session_report {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::vector<transaction_state> transactions;
    coordination::caller_snapshot callers;
    std::vector<connection_usage> connections;
    std::vector<lane_usage> lanes;
};

/**
 * The report as JSON, with ages relative to `now`. "connections" has one row per target with a
 * connection or a queue; what a target does not have counts as 0. Pure.
 */
nlohmann::json to_json(const session_report& report, state::time_point now);

/** One transaction as in the report. Pure. */
nlohmann::json to_json(const transaction_state& transaction, const std::string& vm,
                       std::uint64_t incarnation, state::time_point now);

}  // namespace hornbeamhook::proxy
