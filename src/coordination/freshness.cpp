#include "coordination/freshness.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {
// A read that waits longer for a replica is answered sooner by the primary of another region.
constexpr std::chrono::milliseconds max_catch_up{50};
}  // namespace

freshness_decision judge_freshness(const read_requirement& requirement,
                                   const state::group_view& view, const std::string& target,
                                   state::time_point now, state::time_point give_up_at) {
    freshness_decision decision;
    decision.required.token_point = requirement.token_point;
    const bool may_wait = now < give_up_at;
    if (requirement.proof_from) {
        if (!view.proof || view.proof->valid_from < *requirement.proof_from) {
            decision.step = may_wait ? freshness_step::wait_for_proof : freshness_step::give_up;
            return decision;
        }
        decision.required.proof_point = view.proof->point;
    }
    const auto it = view.targets.find(target);
    const bool is_covered = it != view.targets.end() && it->second.status &&
                            decision.required.is_covered_by(*it->second.status);
    if (is_covered) {
        decision.step = freshness_step::serve;
    } else {
        decision.step = may_wait ? freshness_step::wait_for_replica : freshness_step::give_up;
    }
    return decision;
}

state::time_point get_catch_up_limit(state::time_point now, state::time_point deadline) {
    const state::time_point::duration third = std::max(deadline - now, {}) / 3;
    return now + std::min<state::time_point::duration>(max_catch_up, third);
}

}  // namespace hornbeamhook::coordination
