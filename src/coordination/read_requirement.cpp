#include "coordination/read_requirement.h"

namespace hornbeamhook::coordination {

read_requirement make_read_requirement(const state::read_policy& policy, bool must_be_fresh,
                                       state::log_point token_point, state::time_point arrival) {
    read_requirement requirement{token_point, std::nullopt};
    if (must_be_fresh || policy.policy == state::read_policy::kind::strict) {
        requirement.proof_valid_from = arrival;
    } else if (policy.policy == state::read_policy::kind::max_age) {
        requirement.proof_valid_from = arrival - policy.max_age;
    }
    return requirement;
}

}  // namespace hornbeamhook::coordination
