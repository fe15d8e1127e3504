#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "state/configuration.h"

namespace hornbeamhook::load {

/** What one kind of operation does. */
enum class operation_action {
    append,      ///< Adds a row.
    adjust,      ///< Adds a row and changes a stock row, in one request.
    read_stock,  ///< Reads a stock row.
    read_entry,  ///< Reads the row this session added last.
    read_sum,    ///< Reads the sum of all balances.
    transfer,    ///< A transaction that moves stock between two balances.
};

/** One kind of operation of a workload. */
struct workload_operation {
    std::string name;
    operation_action action = operation_action::append;
    int weight = 1;
    bool is_keyed = false;      ///< Writes carry an idempotency key.
    state::read_policy policy;  ///< For reads.

    bool operator==(const workload_operation&) const = default;

    /** Whether it only reads. */
    bool is_read() const;
};

/** The mix of operations of one deployment. */
struct workload {
    std::string name;
    int items = 64;                ///< Stock rows per pool.
    int balances = 16;             ///< Balance rows per pool.
    double roam_share = 0.1;       ///< Requests sent to a proxy other than the session's own.
    double roll_back_share = 0.1;  ///< Transactions that end with a rollback.
    std::vector<workload_operation> operations;

    bool operator==(const workload&) const = default;
};

/** Parses a workload. Fails with state_error. */
boost::leaf::result<workload> parse_workload(const nlohmann::json& object);

/** The built-in workload text of a deployment ("nile_horn" or "carrowmore"); empty when unknown. */
std::string_view find_workload_text(std::string_view deployment);

}  // namespace hornbeamhook::load
