#pragma once

#include "protocol/error_code.h"
#include "state/outcome.h"
#include "transport/target_connection.h"

namespace hornbeamhook::coordination {

/** What the failed exchange with a target was meant to do. */
enum class exchange_phase {
    opening,     ///< Opening or probing a connection; no statement of the caller was involved.
    statements,  ///< Statements of an open transaction; COMMIT was not part of it.
    commit,      ///< The exchange held COMMIT.
    read,        ///< Statements that change nothing.
};

/** What is known after the failure. */
struct exchange_failure {
    state::outcome outcome = state::outcome::unknown;
    protocol::error_code code = protocol::error_code::outcome_unknown;
    bool was_sent = false;         ///< Statement bytes may have left.
    bool is_primary_lost = false;  ///< The target does not act as primary.

    auto operator<=>(const exchange_failure&) const = default;
};

/**
 * Judges a failed exchange. `commit_index` is the index of COMMIT among the statements of a
 * `commit` exchange.
 */
exchange_failure classify_exchange_failure(exchange_phase phase,
                                           const transport::target_error& error,
                                           std::size_t commit_index = 0);

}  // namespace hornbeamhook::coordination
