#pragma once

#include <chrono>
#include <string>

#include "coordination/read_requirement.h"
#include "state/group_view.h"
#include "state/target_status.h"

namespace hornbeamhook::coordination {

/** What to do with a read at its home. */
enum class freshness_action {
    serve,             ///< Run it; the answer still has to be checked against `required`.
    wait_for_proof,    ///< No proof covers the requirement yet.
    wait_for_replica,  ///< The target is behind the required points.
    reroute,           ///< Let the entry send it to another target.
};

/** Log points that a target must cover to answer a read. */
struct required_points {
    state::log_point token_point;
    state::log_point proof_point;  ///< Zero when no proof is needed.

    auto operator<=>(const required_points&) const = default;

    /** Whether a target with this status may answer. */
    bool is_covered_by(const state::target_status& status) const {
        return status.covers(token_point) && status.covers(proof_point);
    }
};

/** The action, with the points to check on the connection that serves the read. */
struct freshness_decision {
    freshness_action action = freshness_action::reroute;
    required_points required;

    auto operator<=>(const freshness_decision&) const = default;
};

/**
 * Decides how to handle a read at `target`. The primary must reach the proof too, because one that
 * has not noticed its replacement would return stale data. From `wait_deadline` on, the read does
 * not wait.
 */
freshness_decision evaluate_freshness(const read_requirement& requirement,
                                      const state::group_view& view, const std::string& target,
                                      state::time_point now, state::time_point wait_deadline);

/** When to stop waiting for a replica: min(50 ms, a third of the remaining time) from `now`. */
state::time_point get_catch_up_deadline(state::time_point now, state::time_point deadline);

}  // namespace hornbeamhook::coordination
