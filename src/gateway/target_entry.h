#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "transport/endpoint.h"

namespace hornbeamhook::gateway {

/** Discovery entry of one target. */
struct target_entry {
    std::string id;
    std::string group;
    transport::endpoint address;
    std::string place;
    std::int64_t started_at = 0;  ///< Changes when a target restarts empty.
    int slots = 1;
    bool is_leaving = false;
    bool is_primary = false;  ///< As reported by the target itself.

    auto operator<=>(const target_entry&) const = default;
};

}  // namespace hornbeamhook::gateway
