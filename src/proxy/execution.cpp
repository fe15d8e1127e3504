#include "proxy/execution.h"

#include <chrono>
#include <optional>
#include <utility>

#include "protocol/request_table.h"
#include "protocol/target_calls.h"
#include "state/json_reader.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using coordination::exchange_phase;
using protocol::error_code;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;
using transport::target_error;
using transport::target_failure_kind;
using transport::target_result;
using transport::target_statement;

constexpr int max_write_steps = 3;
// COMMIT follows the statements at once; a longer pause means that the connection or this process
// is silent, and other writers should not wait for its locks.
constexpr std::chrono::milliseconds write_idle_limit{1000};

std::int64_t get_wall_clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::optional<state::target_status> read_status_result(const target_result& result) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<state::target_status>> {
            BOOST_LEAF_AUTO(status, protocol::parse_status_result(result));
            return std::optional(status);
        },
        [] { return std::optional<state::target_status>(); });
}

std::optional<state::log_point> read_commit_result(const target_result& result) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<state::log_point>> {
            BOOST_LEAF_AUTO(point, protocol::parse_commit_result(result));
            return std::optional(point);
        },
        [] { return std::optional<state::log_point>(); });
}

execution make_end(outcome end, error_code code, std::string message, bool was_sent) {
    execution result;
    result.outcome = end;
    result.code = code;
    result.message = std::move(message);
    result.was_sent = was_sent;
    return result;
}

}  // namespace

execution executor::make_failure(exchange_phase phase, const target_error& error,
                                 std::size_t commit_index) {
    const coordination::exchange_failure verdict =
        coordination::classify_exchange_failure(phase, error, commit_index);
    execution result = make_end(verdict.outcome, verdict.code, error.message, verdict.was_sent);
    if (error.kind == target_failure_kind::sql_error) {
        result.message += " (SQLSTATE " + error.sqlstate + ")";
    }
    result.is_primary_lost = verdict.is_primary_lost;
    return result;
}

execution executor::run_read(const execute_request& request,
                             const state::target_description& target,
                             const coordination::required_points& required,
                             state::time_point deadline) {
    session_result acquired = sessions_.acquire(request.pool, target, deadline);
    if (const auto* error = std::get_if<target_error>(&acquired)) {
        return make_failure(exchange_phase::opening, *error);
    }
    target_session& session = *std::get<0>(acquired);
    // The first status proves that the target covers the requirement before the statements run.
    // The second one bounds from above what they saw, so that later reads never go back.
    std::vector<target_statement> statements{protocol::make_status_statement()};
    statements.insert(statements.end(), request.statements.begin(), request.statements.end());
    statements.push_back(protocol::make_status_statement());
    statements.push_back(protocol::make_reset_statement());
    exchange_result answer = session.run(statements, deadline);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        return make_failure(exchange_phase::read, *error);
    }
    auto& results = std::get<std::vector<target_result>>(answer);
    results.pop_back();
    const std::optional<state::target_status> before = read_status_result(results.front());
    const std::optional<state::target_status> after = read_status_result(results.back());
    if (!before || !after) {
        return make_end(outcome::not_run, error_code::unavailable, "status cannot be parsed", true);
    }
    if (!required.is_covered_by(*before)) {
        // not_run: a read has no effect, and its result is discarded here.
        execution behind = make_end(outcome::not_run, error_code::unavailable,
                                    "the target is behind the required point", true);
        behind.is_behind = true;
        return behind;
    }
    execution result = make_end(outcome::ok, error_code::ok, "", true);
    result.point = after->get_log_end();
    result.is_primary = after->is_unfenced_primary_of(after->follow_term);
    result.results.assign(std::make_move_iterator(results.begin() + 1),
                          std::make_move_iterator(results.end() - 1));
    return result;
}

execution executor::finish_commit(target_session& session, std::vector<target_statement> statements,
                                  std::size_t commit_index, state::time_point deadline) {
    statements.push_back({"COMMIT", {}});
    statements.push_back(protocol::make_last_commit_statement());
    statements.push_back(protocol::make_reset_statement());
    exchange_result answer = session.run(statements, deadline);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        return make_failure(exchange_phase::commit, *error, commit_index);
    }
    auto& results = std::get<std::vector<target_result>>(answer);
    results.pop_back();
    const std::optional<state::log_point> point = read_commit_result(results.back());
    if (!point) {
        return make_end(outcome::unknown, error_code::outcome_unknown,
                        "the target committed without naming a position", true);
    }
    execution result = make_end(outcome::ok, error_code::ok, "", true);
    result.point = *point;
    result.is_primary = true;
    result.needs_acknowledgement = true;
    return result;
}

executor::write_step executor::try_write(const execute_request& request,
                                         const state::target_description& target,
                                         state::time_point commit_by, state::time_point deadline,
                                         execution& result) {
    session_result acquired = sessions_.acquire(request.pool, target, commit_by);
    if (const auto* error = std::get_if<target_error>(&acquired)) {
        result = make_failure(exchange_phase::opening, *error);
        // Without a connection the primary serves nobody; the entry waits for a new one.
        result.is_primary_lost = error->kind != target_failure_kind::connection_limit;
        return write_step::done;
    }
    target_session& session = *std::get<0>(acquired);
    const bool is_keyed = !request.idempotency_key.empty();
    std::vector<target_statement> statements{{"BEGIN", {}},
                                             protocol::make_idle_limit_statement(write_idle_limit)};
    if (is_keyed) {
        statements.push_back(protocol::make_insert_request(request.caller, request.idempotency_key,
                                                           request.digest, get_wall_clock_ms()));
    }
    const std::size_t first = statements.size();
    statements.insert(statements.end(), request.statements.begin(), request.statements.end());
    exchange_result answer = session.run(statements, commit_by);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        result = make_failure(exchange_phase::statements, *error);
        const bool is_insert = is_keyed && error->kind == target_failure_kind::sql_error &&
                               error->failed_statement == first - 1;
        if (is_insert && error->sqlstate == protocol::sqlstate_unique_violation) {
            return write_step::key_exists;
        }
        if (is_insert && error->sqlstate == protocol::sqlstate_undefined_table) {
            return write_step::table_missing;
        }
        return write_step::done;
    }
    if (std::chrono::steady_clock::now() >= commit_by) {
        // not_run: COMMIT is not sent; the session closes its connection with the transaction open.
        result = make_end(outcome::not_run, error_code::deadline,
                          "the deadline passed before the commit", true);
        return write_step::done;
    }
    auto& results = std::get<std::vector<target_result>>(answer);
    std::vector<target_result> own(
        std::make_move_iterator(results.begin() + static_cast<std::ptrdiff_t>(first)),
        std::make_move_iterator(results.end()));
    std::vector<target_statement> ending;
    if (request.operation == execute_operation::resolve_commit) {
        ending.push_back(protocol::make_prevent_commit(request.caller, request.idempotency_key));
    } else if (is_keyed) {
        ending.push_back(
            protocol::make_update_request(request.caller, request.idempotency_key, own));
    }
    const std::size_t commit_index = ending.size();
    result = finish_commit(session, std::move(ending), commit_index, deadline);
    result.results = std::move(own);
    return write_step::done;
}

bool executor::create_table(const execute_request& request, const state::target_description& target,
                            state::time_point deadline, execution& failure) {
    session_result acquired = sessions_.acquire(request.pool, target, deadline);
    if (const auto* error = std::get_if<target_error>(&acquired)) {
        failure = make_failure(exchange_phase::opening, *error);
        return false;
    }
    exchange_result answer = std::get<0>(acquired)->run(
        {protocol::make_create_request_table(), protocol::make_reset_statement()}, deadline);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        // not_run: only the table of keys was being created; nothing of the request was kept.
        failure = make_failure(exchange_phase::statements, *error);
        failure.code = error_code::unavailable;
        return false;
    }
    return true;
}

execution executor::read_stored(const execute_request& request,
                                const state::target_description& target,
                                state::time_point deadline) {
    // An earlier send with this key committed at this target; until its result is read and held by
    // a majority nothing is known about it, so every failure here is `unknown`.
    execution unknown = make_end(outcome::unknown, error_code::outcome_unknown,
                                 "the key exists, its result could not be read", true);
    session_result acquired = sessions_.acquire(request.pool, target, deadline);
    if (std::holds_alternative<target_error>(acquired)) {
        return unknown;
    }
    exchange_result answer = std::get<0>(acquired)->run(
        {protocol::make_select_request(request.caller, request.idempotency_key),
         protocol::make_status_statement(), protocol::make_reset_statement()},
        deadline);
    if (std::holds_alternative<target_error>(answer)) {
        return unknown;
    }
    const auto& results = std::get<std::vector<target_result>>(answer);
    const std::optional<protocol::stored_request> stored =
        protocol::parse_stored_request(results[0]);
    const std::optional<state::target_status> status = read_status_result(results[1]);
    if (!stored || !status || !status->is_unfenced_primary_of(status->follow_term)) {
        return unknown;
    }
    execution result = make_end(outcome::ok, error_code::ok, "", true);
    result.point = status->get_log_end();
    result.is_primary = true;
    result.needs_acknowledgement = true;
    if (stored->digest != request.digest) {
        // not_run: the unique key belongs to another request, so this one can never commit.
        result.outcome = outcome::not_run;
        result.code = error_code::key_reused;
        result.message = "the idempotency key was used for another request";
        return result;
    }
    if (stored->is_prevented_commit()) {
        // not_run: the key was taken before the commit arrived, so the commit can only fail.
        result.outcome = outcome::not_run;
        result.code = error_code::transaction_gone;
        result.message = "no commit with this key took effect, and none can any more";
        return result;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(result.results, protocol::parse_stored_results(*stored));
            return {};
        },
        [&] { result = unknown; });
    return result;
}

execution executor::run_write(const execute_request& request,
                              const state::target_description& target, state::time_point commit_by,
                              state::time_point deadline) {
    execution result;
    for (int i = 0; i < max_write_steps; ++i) {
        switch (try_write(request, target, commit_by, deadline, result)) {
            case write_step::done:
                if (request.operation == execute_operation::resolve_commit &&
                    result.outcome == outcome::ok) {
                    // not_run once acknowledged: the key is taken, so the commit can only fail.
                    result.outcome = outcome::not_run;
                    result.code = error_code::transaction_gone;
                    result.message = "no commit with this key took effect, and none can any more";
                }
                return result;
            case write_step::key_exists:
                return read_stored(request, target, deadline);
            case write_step::table_missing:
                if (!create_table(request, target, deadline, result)) {
                    return result;
                }
                break;
        }
    }
    // not_run: every attempt failed at the insert of the key, before any statement of the caller.
    result.code = error_code::unavailable;
    return result;
}

execution executor::run_commit(target_session& session, const execute_request& request,
                               const state::target_description& target,
                               state::time_point deadline) {
    if (request.idempotency_key.empty()) {
        return finish_commit(session, {}, 0, deadline);
    }
    // The key is inserted by the transaction itself, so that it commits with its effects.
    exchange_result answer =
        session.run({protocol::make_insert_request(request.caller, request.idempotency_key,
                                                   request.digest, get_wall_clock_ms())},
                    deadline);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        if (error->sqlstate == protocol::sqlstate_unique_violation) {
            return read_stored(request, target, deadline);
        }
        execution failure = make_failure(exchange_phase::statements, *error);
        if (error->sqlstate == protocol::sqlstate_undefined_table) {
            create_table(request, target, deadline, failure);
            failure.message = "the table of idempotency keys was missing; start again";
            failure.code = error_code::unavailable;
        }
        return failure;
    }
    return finish_commit(
        session, {protocol::make_update_request(request.caller, request.idempotency_key, {})}, 1,
        deadline);
}

}  // namespace hornbeamhook::proxy
