#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "state/latency_histogram.h"

namespace hornbeamhook::state {

/** Whose requests a usage row counts: one process, hour, pool, caller and place. */
struct usage_key {
    std::string hour;  ///< UTC, "YYYY-MM-DDTHH".
    std::string pool;
    std::string caller;
    std::string place;
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const usage_key&) const = default;

    /** Key in the table service: the fields joined by "/". Precondition: no field contains "/". */
    std::string get_row_key() const;
};

/** Cumulative counts of one hour. */
struct usage_counters {
    std::uint64_t reads = 0;   ///< Reads that ran.
    std::uint64_t writes = 0;  ///< Writes that ran or may have run.
    std::uint64_t replica_reads = 0;
    std::uint64_t unknown = 0;                     ///< Requests with an unknown outcome.
    std::map<std::string, std::uint64_t> refused;  ///< By error code.
    std::uint64_t latency_sum_us = 0;              ///< Over all that were not refused.
    latency_histogram latency;

    bool operator==(const usage_counters&) const = default;
};

/** One row of the usage table. */
struct usage_row {
    usage_key key;
    usage_counters counters;

    bool operator==(const usage_row&) const = default;
};

/** Parses the value of a row of the usage table. Fails with state_error. */
boost::leaf::result<usage_row> parse_usage_row(const nlohmann::json& object);

/** The inverse of parse_usage_row(). */
nlohmann::json to_json(const usage_row& row);

}  // namespace hornbeamhook::state
