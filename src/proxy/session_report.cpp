#include "proxy/session_report.h"

#include <algorithm>
#include <map>

namespace hornbeamhook::proxy {

using nlohmann::json;

namespace {

std::int64_t get_ms_since(state::time_point then, state::time_point now) {
    return std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count());
}

json make_callers(const std::vector<coordination::caller_activity>& callers,
                  state::time_point now) {
    json rows = json::array();
    for (const coordination::caller_activity& each : callers) {
        rows.push_back({{"pool", each.pool},
                        {"caller", each.caller},
                        {"reads", each.reads},
                        {"writes", each.writes},
                        {"refused", each.refused},
                        {"idle_ms", get_ms_since(each.last_request, now)}});
    }
    return rows;
}

json make_targets(const session_report& report) {
    static const json nothing{{"in_use", 0},
                              {"idle", 0},
                              {"opening", 0},
                              {"quota", 0},
                              {"allowed", 0},
                              {"waiting_for_connection", 0},
                              {"queued_reads", 0},
                              {"queued_writes", 0},
                              {"in_flight", 0},
                              {"read_limit", 0},
                              {"write_limit", 0},
                              {"transaction_limit", 0},
                              {"queued_transactions", 0}};
    std::map<std::string, json> rows;
    for (const connection_usage& each : report.connections) {
        json& row = rows.try_emplace(each.target, nothing).first->second;
        row.update({{"in_use", each.in_use},
                    {"idle", each.idle},
                    {"opening", each.opening},
                    {"quota", each.quota},
                    {"allowed", each.allowed},
                    {"waiting_for_connection", each.waiting}});
    }
    for (const lane_usage& each : report.lanes) {
        json& row = rows.try_emplace(each.target, nothing).first->second;
        row.update({{"queued_reads", each.queued_reads},
                    {"queued_writes", each.queued_writes},
                    {"in_flight", each.in_flight},
                    {"queued_transactions", each.queued_transactions},
                    {"read_limit", each.read_limit},
                    {"write_limit", each.write_limit},
                    {"transaction_limit", each.transaction_limit}});
    }
    json result = json::array();
    for (auto& [target, row] : rows) {
        row["target"] = target;
        result.push_back(std::move(row));
    }
    return result;
}

}  // namespace

json to_json(const transaction_state& state, const std::string& vm, std::uint64_t incarnation,
             state::time_point now) {
    const coordination::open_transaction& transaction = state.transaction;
    return {
        {"id", vm + "/" + std::to_string(incarnation) + "/" + std::to_string(transaction.number)},
        {"pool", transaction.pool},
        {"caller", transaction.caller},
        {"target", state.target},
        {"kind", state.is_write ? "write" : "read"},
        {"age_ms", get_ms_since(transaction.opened, now)},
        {"idle_ms", transaction.is_busy ? 0 : get_ms_since(transaction.last_used, now)},
        {"is_busy", transaction.is_busy}};
}

json to_json(const session_report& report, state::time_point now) {
    json transactions = json::array();
    for (const transaction_state& each : report.transactions) {
        transactions.push_back(to_json(each, report.vm, report.incarnation, now));
    }
    return {{"vm", report.vm},
            {"incarnation", report.incarnation},
            {"transactions", std::move(transactions)},
            {"callers", make_callers(report.callers.entries, now)},
            {"callers_evicted", report.callers.evicted},
            {"connections", make_targets(report)}};
}

}  // namespace hornbeamhook::proxy
