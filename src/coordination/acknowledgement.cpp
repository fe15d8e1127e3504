#include "coordination/acknowledgement.h"

#include <cstddef>

namespace hornbeamhook::coordination {

namespace {

bool holds(const state::target_status& status, state::log_point commit) {
    if (status.follow_term != commit.term || status.position < commit.position) {
        return false;
    }
    // A fenced primary may still extend its own log, so only an unfenced one counts.
    return !status.is_primary || status.is_unfenced_primary_of(commit.term);
}

}  // namespace

acknowledgement judge_acknowledgement(const state::group_view& view, state::log_point commit) {
    std::size_t holders = 0;
    std::size_t superseded = 0;
    for (const auto& [name, target] : view.targets) {
        if (!target.status) {
            continue;
        }
        holders += holds(*target.status, commit) ? 1 : 0;
        superseded += target.status->accepted_term > commit.term ? 1 : 0;
    }
    if (superseded >= view.majority) {
        return acknowledgement::superseded;
    }
    return holders >= view.majority ? acknowledgement::acknowledged : acknowledgement::pending;
}

}  // namespace hornbeamhook::coordination
