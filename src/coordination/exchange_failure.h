#pragma once

#include "protocol/error_code.h"
#include "state/outcome.h"
#include "transport/target_connection.h"

namespace hornbeamhook::coordination {

/** Purpose of the failed exchange with a target. */
enum class exchange_phase {
    opening,     ///< Opening or probing a connection, without statements of the caller.
    statements,  ///< Statements of an open transaction, without COMMIT.
    commit,      ///< Statements including COMMIT.
    read,        ///< Read-only statements.
};

/** What is known after a failed exchange. */
struct exchange_failure {
    state::outcome outcome = state::outcome::unknown;
    protocol::error_code code = protocol::error_code::outcome_unknown;
    bool was_sent = false;         ///< Statement bytes may have been sent.
    bool is_primary_lost = false;  ///< The target does not act as primary.

    auto operator<=>(const exchange_failure&) const = default;
};

/**
 * Classifies a failed exchange. `commit_index` is the index of COMMIT among the statements of a
 * `commit` exchange.
 */
exchange_failure classify_exchange_failure(exchange_phase phase,
                                           const transport::target_error& error,
                                           std::size_t commit_index = 0);

}  // namespace hornbeamhook::coordination
