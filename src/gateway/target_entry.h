#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "transport/endpoint.h"

namespace hornbeamhook::gateway {

/** What discovery says of one target. */
struct target_entry {
    std::string id;
    std::string group;
    transport::endpoint address;
    std::string place;
    std::int64_t started_at = 0;  ///< Tells a target that came back empty from its predecessor.
    int slots = 1;
    bool is_leaving = false;
    bool is_primary = false;  ///< As the target sees itself.

    auto operator<=>(const target_entry&) const = default;
};

}  // namespace hornbeamhook::gateway
