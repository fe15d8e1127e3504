#pragma once

#include <optional>

#include "state/configuration.h"
#include "state/group_view.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** Conditions for answering a read. */
struct read_requirement {
    state::log_point token_point;  ///< From the session; zero when there is none.
    /// The freshness proof must be valid from this time or later; empty when none is required.
    std::optional<state::time_point> proof_valid_from;

    auto operator<=>(const read_requirement&) const = default;
};

/**
 * The requirement of a read that arrived at its home at `arrival`. `must_be_fresh` is set for an
 * uncertain token, or for own writes without a token.
 */
read_requirement make_read_requirement(const state::read_policy& policy, bool must_be_fresh,
                                       state::log_point token_point, state::time_point arrival);

}  // namespace hornbeamhook::coordination
