#pragma once

#include "state/group_view.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** State of a committed write in a group view. */
enum class acknowledgement {
    pending,       ///< Neither is proven yet.
    acknowledged,  ///< A majority of the group holds it in its term.
    superseded,    ///< A majority accepted a higher term; the write may or may not survive.
};

/**
 * Evaluates a write committed at `commit`. A superseded term takes precedence over a majority that
 * holds the write, so that no write is acknowledged for a replaced primary.
 */
acknowledgement evaluate_acknowledgement(const state::group_view& view, state::log_point commit);

}  // namespace hornbeamhook::coordination
