#pragma once

#include <chrono>
#include <map>
#include <string>

#include "load/final_state.h"
#include "load/history.h"
#include "load/violation_counts.h"

namespace hornbeamhook::load {

/** Time after which a leaving target gets no new work. */
inline constexpr std::chrono::milliseconds leaving_bound{2000};

/** Time after which an accepted configuration is in force on every proxy. */
inline constexpr std::chrono::milliseconds configuration_bound{3000};

/** What the checker found. */
struct check_result {
    violation_counts violations;
    /// Reads that went back behind a state which a session had read but which was never
    /// acknowledged. Nothing promises that such a state survives, so these are no violations.
    std::int64_t reverted_unacknowledged_reads = 0;
};

/**
 * Checks every promise of docs/design.md section 1 on what callers saw and on the final rows of
 * each pool. Uses nothing that the fleet says about itself except who served a request.
 */
check_result check_history(const history& seen, const std::map<std::string, final_state>& pools);

}  // namespace hornbeamhook::load
