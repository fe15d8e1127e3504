#pragma once

#include <atomic>
#include <cstdint>

namespace hornbeamhook::load {

/** Counters of all sessions for the progress lines. */
struct progress_counters {
    std::atomic<std::int64_t> completed = 0;
    std::atomic<std::int64_t> refused = 0;  ///< Attempts.
    std::atomic<std::int64_t> unknown = 0;  ///< Attempts.
};

}  // namespace hornbeamhook::load
