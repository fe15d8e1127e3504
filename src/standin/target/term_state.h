#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "state/log_point.h"

namespace hornbeamhook::standin::target {

/** The terms of one target and the rules by which they change. Immutable; see docs/design.md. */
struct term_state {
    state::term_number accepted_term = 0;
    std::string accepted_claimant;
    state::term_number follow_term = 0;
    state::log_position term_start = 0;
    bool is_primary = false;  ///< Primary of `follow_term`, possibly fenced.

    bool operator==(const term_state&) const = default;

    /** Whether commits are accepted. */
    bool is_unfenced_primary() const { return is_primary && accepted_term <= follow_term; }

    /** A claimant may fence in a higher term, or again in the term it already holds. */
    bool may_fence(state::term_number term, const std::string& claimant) const;

    /** The claimant that holds the accepted term may promote, unless the term has a log already. */
    bool may_promote(state::term_number term, const std::string& claimant) const;

    /** Log of a term lower than the accepted one is refused, and so is log of the own reign. */
    bool may_follow(state::term_number term) const;

    /** After a fence that may_fence() allows. */
    term_state fence(state::term_number term, const std::string& claimant) const;

    /** After a promotion at `position` that may_promote() allows; idempotent. */
    term_state promote(state::term_number term, state::log_position position) const;

    /** After the stream of `term` was accepted: fenced for it and no longer primary. */
    term_state accept_stream(state::term_number term, const std::string& claimant) const;

    /** After the log reached the start of the new term. */
    term_state follow(state::term_number term, state::log_position start) const;
};

/** For the state file in the data directory. */
nlohmann::json to_json(const term_state& value);

/** The inverse of to_json(). Throws nlohmann::json::exception when the file is damaged. */
term_state parse_term_state(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::target
