#pragma once

#include <cstdint>
#include <string>

#include "load/write_record.h"
#include "state/configuration.h"

namespace hornbeamhook::load {

/** What a read looked at. */
enum class read_subject {
    item_version,  ///< Version of one stock row.
    entry_count,   ///< Number of rows with one marker.
    balance_sum,   ///< Sum of all balances, which transactions keep constant.
};

/** One answered read. */
struct read_record {
    std::uint32_t session = 0;
    std::string pool;
    std::string kind;
    state::read_policy policy;
    read_subject subject = read_subject::item_version;
    std::string key;  ///< Item or marker.
    time_point begin;
    time_point end;
    std::int64_t value = 0;
    std::string marker;  ///< Of the write that produced the version read.
    bool is_by_replica = false;
    std::string details;  ///< Proxy, target and tokens, for the description of a violation.
};

}  // namespace hornbeamhook::load
