#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace hornbeamhook::state {

/** Number of a primary's reign; a higher term supersedes lower ones. */
using term_number = std::uint64_t;

/** Length of a log in entries. */
using log_position = std::uint64_t;

/** A position in the log of one term. Ordered by term, then position. */
struct log_point {
    term_number term = 0;
    log_position position = 0;

    auto operator<=>(const log_point&) const = default;
};

}  // namespace hornbeamhook::state
