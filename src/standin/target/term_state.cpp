#include "standin/target/term_state.h"

namespace hornbeamhook::standin::target {

bool term_state::may_fence(state::term_number term, const std::string& claimant) const {
    return term > accepted_term || (term == accepted_term && claimant == accepted_claimant);
}

bool term_state::may_promote(state::term_number term, const std::string& claimant) const {
    if (term != accepted_term || claimant != accepted_claimant) {
        return false;
    }
    return follow_term < term || (follow_term == term && is_primary);
}

bool term_state::may_follow(state::term_number term) const {
    return term >= accepted_term && !(is_primary && follow_term >= term);
}

term_state term_state::fence(state::term_number term, const std::string& claimant) const {
    term_state next = *this;
    next.accepted_term = term;
    next.accepted_claimant = claimant;
    return next;
}

term_state term_state::promote(state::term_number term, state::log_position position) const {
    if (is_primary && follow_term == term) {
        return *this;
    }
    term_state next = *this;
    next.follow_term = term;
    next.term_start = position;
    next.is_primary = true;
    return next;
}

term_state term_state::accept_stream(state::term_number term, const std::string& claimant) const {
    term_state next = *this;
    if (term > accepted_term) {
        next.accepted_term = term;
        next.accepted_claimant = claimant;
    }
    next.is_primary = false;
    return next;
}

term_state term_state::follow(state::term_number term, state::log_position start) const {
    term_state next = *this;
    next.follow_term = term;
    next.term_start = start;
    return next;
}

nlohmann::json to_json(const term_state& value) {
    return {{"accepted_term", value.accepted_term},
            {"accepted_claimant", value.accepted_claimant},
            {"follow_term", value.follow_term},
            {"term_start", value.term_start},
            {"is_primary", value.is_primary}};
}

term_state parse_term_state(const nlohmann::json& object) {
    return {.accepted_term = object.at("accepted_term").get<state::term_number>(),
            .accepted_claimant = object.at("accepted_claimant").get<std::string>(),
            .follow_term = object.at("follow_term").get<state::term_number>(),
            .term_start = object.at("term_start").get<state::log_position>(),
            .is_primary = object.at("is_primary").get<bool>()};
}

}  // namespace hornbeamhook::standin::target
