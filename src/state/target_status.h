#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "state/log_point.h"

namespace hornbeamhook::state {

/** What a target says of itself in answer to `hornbeamhook_status()`. */
struct target_status {
    term_number accepted_term = 0;  ///< Highest term this target was fenced with.
    std::string accepted_claimant;  ///< Who fenced it in that term.
    term_number follow_term = 0;    ///< Term of the primary whose log this log is a prefix of.
    log_position term_start = 0;    ///< Position at which `follow_term` began.
    log_position position = 0;      ///< Length of the durable, applied log.
    bool is_primary = false;        ///< Whether it accepts writes in `follow_term`.
    std::optional<std::chrono::milliseconds> primary_contact;  ///< Age of the last heartbeat.

    auto operator<=>(const target_status&) const = default;

    /** The target's log end under the term it follows. */
    log_point get_log_end() const { return {follow_term, position}; }

    /**
     * Whether this target's log covers `required`.
     *
     * Under a later term a point past that term's start was never acknowledged, so reaching the
     * start is enough; waiting for a discarded position would never end.
     */
    bool covers(log_point required) const {
        if (follow_term == required.term) {
            return position >= required.position;
        }
        return follow_term > required.term && position >= std::min(required.position, term_start);
    }

    /**
     * Whether this report counts towards the majority that acknowledges a commit at `committed`.
     *
     * A target fenced in a higher term does not count: its entry may have arrived from a later
     * primary, and terms in between may lack it.
     */
    bool acknowledges(log_point committed) const {
        return follow_term == committed.term && position >= committed.position &&
               accepted_term <= committed.term;
    }

    /** Whether it is the primary of `term` and no higher term has fenced it. */
    bool is_unfenced_primary_of(term_number term) const {
        return is_primary && follow_term == term && accepted_term <= term;
    }
};

/** Parses the JSON answer of `hornbeamhook_status()`. Fails with state_error. */
boost::leaf::result<target_status> parse_target_status(const nlohmann::json& object);

/** The inverse of parse_target_status(). */
nlohmann::json to_json(const target_status& status);

}  // namespace hornbeamhook::state
