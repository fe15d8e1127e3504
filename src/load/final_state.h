#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace hornbeamhook::load {

/** The rows of one pool that were read strictly after the run. */
struct final_state {
    std::map<std::string, std::int64_t> entries;          ///< Rows per marker.
    std::map<std::string, std::int64_t> entries_by_item;  ///< Rows per stock item.
    std::map<std::string, std::int64_t> versions;         ///< Version per stock item.
    std::map<std::string, std::int64_t> legs;             ///< Rows per transaction marker.
    std::int64_t balance_sum = 0;
    std::int64_t expected_balance_sum = 0;

    bool operator==(const final_state&) const = default;
};

}  // namespace hornbeamhook::load
