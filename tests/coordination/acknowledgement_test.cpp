#include "coordination/acknowledgement.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hornbeamhook::coordination {
namespace {

state::target_status make_status(state::term_number accepted, state::term_number follow,
                                 state::log_position position, bool is_primary) {
    state::target_status status;
    status.accepted_term = accepted;
    status.follow_term = follow;
    status.position = position;
    status.is_primary = is_primary;
    return status;
}

state::group_view make_view(const std::vector<std::optional<state::target_status>>& statuses) {
    state::group_view view;
    view.majority = statuses.size() / 2 + 1;
    for (std::size_t i = 0; i < statuses.size(); ++i) {
        view.targets["t" + std::to_string(i)].status = statuses[i];
    }
    return view;
}

struct acknowledgement_case {
    const char* name;
    std::vector<std::optional<state::target_status>> statuses;
    acknowledgement expected;
};

// Guards against acknowledging a write that a later primary may lack.
TEST(acknowledgement, is_derived_from_the_group_view) {
    const std::vector<acknowledgement_case> cases{
        {"primary and one replica hold it",
         {make_status(3, 3, 10, true), make_status(3, 3, 10, false), std::nullopt},
         acknowledgement::acknowledged},
        {"only the primary holds it",
         {make_status(3, 3, 10, true), make_status(3, 3, 9, false), make_status(3, 3, 9, false)},
         acknowledgement::pending},
        {"no status is known",
         {std::nullopt, std::nullopt, std::nullopt},
         acknowledgement::pending},
        {"both replicas hold it, the primary does not answer",
         {std::nullopt, make_status(3, 3, 12, false), make_status(3, 3, 10, false)},
         acknowledgement::acknowledged},
        {"the same position under another term does not count",
         {make_status(3, 3, 10, true), make_status(3, 2, 10, false), make_status(3, 2, 11, false)},
         acknowledgement::pending},
        {"a fenced primary does not count",
         {make_status(4, 3, 10, true), make_status(3, 3, 10, false), std::nullopt},
         acknowledgement::pending},
        {"a majority accepted a higher term",
         {make_status(3, 3, 10, true), make_status(4, 3, 9, false), make_status(4, 3, 9, false)},
         acknowledgement::superseded},
        {"superseded takes precedence over a majority that holds it",
         {make_status(3, 3, 10, true), make_status(4, 3, 10, false), make_status(4, 3, 10, false)},
         acknowledgement::superseded},
        {"a minority with a higher term does not count",
         {make_status(3, 3, 10, true), make_status(4, 3, 9, false), make_status(3, 3, 9, false)},
         acknowledgement::pending},
    };
    for (const acknowledgement_case& each : cases) {
        EXPECT_EQ(evaluate_acknowledgement(make_view(each.statuses), {3, 10}), each.expected)
            << each.name;
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
