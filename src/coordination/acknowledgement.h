#pragma once

#include "state/group_view.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** What a group view says about a committed write. */
enum class acknowledgement {
    pending,       ///< Neither is shown yet.
    acknowledged,  ///< A majority of the group holds it in its term.
    superseded,    ///< A majority accepted a higher term; the write may or may not survive.
};

/**
 * Judges a write committed at `commit`. A superseded term wins over a majority that holds the
 * write, so that nothing is acknowledged for a primary that was replaced.
 */
acknowledgement evaluate_acknowledgement(const state::group_view& view, state::log_point commit);

}  // namespace hornbeamhook::coordination
