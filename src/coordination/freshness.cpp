#include "coordination/freshness.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {
// Beyond this wait, a primary in another region answers sooner than the replica.
constexpr std::chrono::milliseconds max_catch_up_wait{50};
}  // namespace

freshness_decision evaluate_freshness(const read_requirement& requirement,
                                      const state::group_view& view, const std::string& target,
                                      state::time_point now, state::time_point wait_deadline) {
    freshness_decision decision;
    decision.required.token_point = requirement.token_point;
    const bool may_wait = now < wait_deadline;
    if (requirement.proof_valid_from) {
        if (!view.proof || view.proof->valid_from < *requirement.proof_valid_from) {
            decision.action =
                may_wait ? freshness_action::wait_for_proof : freshness_action::reroute;
            return decision;
        }
        decision.required.proof_point = view.proof->point;
    }
    const auto it = view.targets.find(target);
    const bool is_covered = it != view.targets.end() && it->second.status &&
                            decision.required.is_covered_by(*it->second.status);
    if (is_covered) {
        decision.action = freshness_action::serve;
    } else {
        decision.action = may_wait ? freshness_action::wait_for_replica : freshness_action::reroute;
    }
    return decision;
}

state::time_point get_catch_up_deadline(state::time_point now, state::time_point deadline) {
    const state::time_point::duration third = std::max(deadline - now, {}) / 3;
    return now + std::min<state::time_point::duration>(max_catch_up_wait, third);
}

}  // namespace hornbeamhook::coordination
