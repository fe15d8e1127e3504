#include "coordination/acknowledgement.h"

#include <cstddef>

namespace hornbeamhook::coordination {

acknowledgement evaluate_acknowledgement(const state::group_view& view, state::log_point commit) {
    std::size_t holders = 0;
    std::size_t superseded = 0;
    for (const auto& [name, target] : view.targets) {
        if (!target.status) {
            continue;
        }
        holders += target.status->acknowledges(commit) ? 1 : 0;
        superseded += target.status->accepted_term > commit.term ? 1 : 0;
    }
    if (superseded >= view.majority) {
        return acknowledgement::superseded;
    }
    return holders >= view.majority ? acknowledgement::acknowledged : acknowledgement::pending;
}

}  // namespace hornbeamhook::coordination
