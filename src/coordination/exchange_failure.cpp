#include "coordination/exchange_failure.h"

#include <string_view>

#include "protocol/target_calls.h"

namespace hornbeamhook::coordination {

namespace {

using protocol::error_code;
using state::outcome;
using transport::target_failure_kind;

bool is_read_only_refusal(const transport::target_error& error) {
    return error.kind == target_failure_kind::sql_error &&
           error.sqlstate == protocol::sqlstate_read_only;
}

/** Errors that end the connection rather than the statement. */
bool is_server_failure(const transport::target_error& error) {
    const std::string_view state = error.sqlstate;
    return state.substr(0, 2) == "08" || state.substr(0, 2) == "57" || state.substr(0, 2) == "58" ||
           state.substr(0, 2) == "XX" || state == "40003";
}

/** Conflicts between transactions: the statement is valid and may succeed if repeated. */
bool is_conflict(const transport::target_error& error) {
    return error.sqlstate == "40001" || error.sqlstate == "40P01" || error.sqlstate == "55P03";
}

exchange_failure classify_statement_error(const transport::target_error& error) {
    if (is_read_only_refusal(error)) {
        return {outcome::not_run, error_code::no_primary, true, true};
    }
    if (is_server_failure(error) || is_conflict(error)) {
        return {outcome::not_run, error_code::unavailable, true, false};
    }
    return {outcome::not_run, error_code::statement_failed, true, false};
}

}  // namespace

exchange_failure classify_exchange_failure(exchange_phase phase,
                                           const transport::target_error& error,
                                           std::size_t commit_index) {
    if (phase == exchange_phase::opening) {
        // not_run: no connection was in use, so no statement was sent.
        return {outcome::not_run, error_code::unavailable, false, false};
    }
    if (!error.was_sent && error.kind != target_failure_kind::sql_error) {
        // not_run: the connection reports that no byte of this exchange was sent. In a commit
        // exchange, COMMIT was therefore not sent.
        return {outcome::not_run, error_code::unavailable, phase == exchange_phase::commit, false};
    }
    if (phase == exchange_phase::read) {
        // not_run: a read has no effect whether or not it ran, and its result is discarded.
        return error.kind == target_failure_kind::sql_error
                   ? classify_statement_error(error)
                   : exchange_failure{outcome::not_run, error_code::unavailable, true, false};
    }
    if (phase == exchange_phase::statements) {
        // not_run: COMMIT was never sent for this transaction and the connection is closed or
        // rolled back, so the target discards its effects.
        return error.kind == target_failure_kind::sql_error
                   ? classify_statement_error(error)
                   : exchange_failure{outcome::not_run, error_code::unavailable, true, false};
    }
    const bool is_reported_by_target = error.kind == target_failure_kind::sql_error &&
                                       error.failed_statement <= commit_index &&
                                       !is_server_failure(error);
    if (is_reported_by_target) {
        // not_run: the target reported that COMMIT or an earlier statement failed.
        return classify_statement_error(error);
    }
    return {outcome::unknown, error_code::outcome_unknown, true, false};
}

}  // namespace hornbeamhook::coordination
