#include "proxy/transaction_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/freshness.h"
#include "coordination/read_requirement.h"
#include "protocol/request_table.h"
#include "protocol/target_calls.h"
#include "proxy/data_events.h"

namespace hornbeamhook::proxy {

namespace {

using coordination::exchange_phase;
using protocol::error_code;
using protocol::execute_answer;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;
using transport::target_error;
using transport::target_result;
using transport::target_statement;

// Ending a transaction must not hang on a silent connection; closing it has the same effect.
constexpr std::chrono::milliseconds end_timeout{500};
// The target ends a transaction by itself only when this process failed to do so.
constexpr std::chrono::milliseconds idle_limit_margin{1000};

/** Gives the connection back clean, or closes it when that cannot be shown. */
void reset_session(std::unique_ptr<target_session> session, bool needs_rollback) {
    const state::time_point deadline = std::chrono::steady_clock::now() + end_timeout;
    std::vector<target_statement> statements;
    if (needs_rollback) {
        statements.push_back({"ROLLBACK", {}});
    }
    statements.push_back(protocol::make_reset_statement());
    static_cast<void>(session->run(statements, deadline));
}

execution make_ok() {
    execution result;
    result.outcome = outcome::ok;
    result.code = error_code::ok;
    result.was_sent = true;
    return result;
}

}  // namespace

transaction_service::transaction_service(home_runtime& runtime)
    : runtime_(runtime),
      registry_({runtime.get_settings().transaction_idle_timeout,
                 runtime.get_settings().transaction_total_timeout}) {}

transaction_service::~transaction_service() = default;

std::size_t transaction_service::get_open() const {
    const std::scoped_lock lock(mutex_);
    return registry_.get_size();
}

transaction_state transaction_service::make_state(
    const coordination::open_transaction& transaction) const {
    transaction_state result{transaction, "", true};
    if (const auto it = pinned_.find(transaction.number); it != pinned_.end()) {
        result.target = it->second->target.name;
        result.is_write = it->second->is_write;
    }
    return result;
}

std::vector<transaction_state> transaction_service::get_transactions() const {
    const std::scoped_lock lock(mutex_);
    std::vector<transaction_state> result;
    for (const coordination::open_transaction& each : registry_.get_open_transactions()) {
        result.push_back(make_state(each));
    }
    return result;
}

ended_transaction transaction_service::end(std::uint64_t number, const std::string& pool) {
    ended_transaction result;
    {
        const std::scoped_lock lock(mutex_);
        for (const coordination::open_transaction& each : registry_.get_open_transactions()) {
            if (each.number == number) {
                result.was = make_state(each);
            }
        }
        result.end = registry_.mark_ended(number, pool);
    }
    if (result.end == coordination::transaction_end_result::idle) {
        expire(std::chrono::steady_clock::now());
    }
    return result;
}

void transaction_service::handle(execute_request request, execute_responder respond) {
    const state::time_point arrival = std::chrono::steady_clock::now();
    const state::time_point deadline = arrival + request.deadline;
    if (!exchanges_.try_add(request.exchange_id, arrival)) {
        respond(runtime_.make_duplicate_answer(request));
        return;
    }
    if (request.operation != execute_operation::begin &&
        request.incarnation != runtime_.get_incarnation()) {
        // not_run: the process that held the transaction is gone and its connection closed.
        respond(runtime_.make_refusal(request, error_code::transaction_gone,
                                      "the home of the transaction was restarted"));
        return;
    }
    state::target_description target;
    if (request.operation == execute_operation::begin) {
        if (std::optional<execute_answer> refusal = runtime_.check(request, target)) {
            respond(std::move(*refusal));
            return;
        }
        if (!request.is_write) {
            begin_read(request, target, arrival, deadline, respond);
            return;
        }
    }
    if (request.operation == execute_operation::begin) {
        wait_for_place(request, target, deadline, respond,
                       [this, request, target, deadline, respond](const held_place& held) {
                           begin(request, target, held, deadline, respond);
                       });
        return;
    }
    const auto task = [this, request, deadline, respond] { run(request, deadline, respond); };
    if (!runtime_.get_transaction_workers().try_submit(task)) {
        // not_run: the task was not queued.
        respond(runtime_.make_refusal(request, error_code::overloaded,
                                      "too many statements of transactions wait"));
    }
}

void transaction_service::run(const execute_request& request, state::time_point deadline,
                              const execute_responder& respond) {
    switch (request.operation) {
        case execute_operation::transaction_statements:
            run_statements(request, deadline, respond);
            return;
        case execute_operation::commit:
            commit(request, deadline, respond);
            return;
        case execute_operation::rollback:
            rollback(request, deadline, respond);
            return;
        default:
            // not_run: no such operation exists on a transaction.
            respond(runtime_.make_refusal(request, error_code::bad_request,
                                          "not an operation of a transaction"));
            return;
    }
}

void transaction_service::begin(const execute_request& request,
                                const state::target_description& target, const held_place& held,
                                state::time_point deadline, const execute_responder& respond) {
    if (!ensure_key_table(request, target, deadline)) {
        // not_run: no transaction was opened.
        give_up_place(held);
        respond(runtime_.make_refusal(request, error_code::no_primary,
                                      "the table of idempotency keys cannot be created"));
        return;
    }
    open(request, target, {request.required, {}}, held, deadline, respond);
}

void transaction_service::begin_read(const execute_request& request,
                                     const state::target_description& target,
                                     state::time_point arrival, state::time_point deadline,
                                     const execute_responder& respond) {
    const coordination::read_requirement requirement = coordination::make_read_requirement(
        request.policy, request.must_be_fresh, request.required, arrival);
    const state::time_point give_up_at = coordination::get_catch_up_deadline(arrival, deadline);
    runtime_.get_waiter().wait(
        request.pool, [this, request, target, requirement, give_up_at, deadline, respond](
                          const state::group_view* view, state::time_point now) {
            coordination::freshness_decision decision;
            if (view != nullptr) {
                decision = coordination::evaluate_freshness(requirement, *view, target.name, now,
                                                            give_up_at);
            }
            if (decision.action == coordination::freshness_action::wait_for_proof ||
                decision.action == coordination::freshness_action::wait_for_replica) {
                return false;
            }
            if (decision.action == coordination::freshness_action::serve) {
                const auto task = [this, request, target, required = decision.required, deadline,
                                   respond](const held_place& held) {
                    open(request, target, required, held, deadline, respond);
                };
                wait_for_place(request, target, deadline, respond, task);
            } else {
                // not_run: no transaction was opened.
                execute_answer answer = runtime_.make_refusal(request, error_code::unavailable,
                                                              "the target did not reach the point");
                answer.is_behind = true;
                respond(std::move(answer));
            }
            return true;
        });
}

// An open transaction may hold locks, so it keeps its place in the lane from begin to end.
void transaction_service::wait_for_place(const execute_request& request,
                                         const state::target_description& target,
                                         state::time_point deadline,
                                         const execute_responder& respond, begin_function start) {
    const std::shared_ptr<target_lane> lane = runtime_.get_lane(request.pool, target);
    lane->offer(
        {0, request.caller, coordination::request_kind::transaction, deadline},
        [this, lane, request, respond, start = std::move(start)](const lane_place& place) {
            const auto task = [start, lane, place] { start({lane, place}); };
            if (!runtime_.get_transaction_workers().try_submit(task)) {
                give_up_place({lane, place});
                // not_run: the task was not queued.
                respond(runtime_.make_refusal(request, error_code::overloaded,
                                              "too many statements of transactions wait"));
            }
        },
        [this, request, respond](lane_refusal reason) {
            // not_run: a begin that waits was given to no target.
            if (reason == lane_refusal::unreachable) {
                respond(runtime_.make_refusal(request, error_code::not_home,
                                              "this home cannot reach the target"));
                return;
            }
            respond(runtime_.make_refusal(request, error_code::overloaded,
                                          "the transaction would wait past its deadline"));
        },
        std::chrono::steady_clock::now());
    runtime_.dispatch(lane);
}

bool transaction_service::ensure_key_table(const execute_request& request,
                                           const state::target_description& target,
                                           state::time_point deadline) {
    {
        const std::scoped_lock lock(mutex_);
        if (pools_with_table_.contains(request.pool)) {
            return true;
        }
    }
    session_result acquired = runtime_.get_sessions().acquire(request.pool, target, deadline);
    if (std::holds_alternative<target_error>(acquired)) {
        return false;
    }
    exchange_result answer = std::get<std::unique_ptr<target_session>>(acquired)->run(
        {protocol::make_create_request_table(), protocol::make_reset_statement()}, deadline);
    if (std::holds_alternative<target_error>(answer)) {
        return false;
    }
    const std::scoped_lock lock(mutex_);
    pools_with_table_.insert(request.pool);
    return true;
}

// Every refusal of open() is given while no transaction of the caller exists, so nothing ran.
void transaction_service::open(const execute_request& request,
                               const state::target_description& target,
                               const coordination::required_points& required,
                               const held_place& held, state::time_point deadline,
                               const execute_responder& respond) {
    state::target_description current;
    std::optional<execute_answer> refusal = runtime_.check(request, current);
    if (!refusal && std::chrono::steady_clock::now() >= deadline) {
        refusal = runtime_.make_refusal(request, error_code::deadline,
                                        "the deadline passed before a transaction could begin");
    }
    if (refusal) {
        give_up_place(held);
        respond(std::move(*refusal));
        return;
    }
    session_result acquired = runtime_.get_sessions().acquire(request.pool, target, deadline);
    if (const auto* error = std::get_if<target_error>(&acquired)) {
        execution failure = executor::make_failure(exchange_phase::opening, *error);
        failure.is_primary_lost =
            request.is_write && error->kind != transport::target_failure_kind::connection_limit;
        give_up_place(held);
        runtime_.report_failure(request, failure);
        runtime_.answer(request, std::move(failure), deadline, respond);
        return;
    }
    auto entry = std::make_shared<pinned>();
    entry->session = std::move(std::get<std::unique_ptr<target_session>>(acquired));
    entry->target = target;
    entry->held = held;
    entry->is_write = request.is_write;
    exchange_result answer = entry->session->run(
        {{"BEGIN", {}},
         protocol::make_idle_limit_statement(runtime_.get_settings().transaction_idle_timeout +
                                             idle_limit_margin),
         protocol::make_status_statement()},
        deadline);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        execution failure = executor::make_failure(exchange_phase::statements, *error);
        failure.was_sent = false;  // No statement of the caller was part of it.
        entry->session.reset();
        give_up_place(held);
        runtime_.report_failure(request, failure);
        runtime_.answer(request, std::move(failure), deadline, respond);
        return;
    }
    state::target_status status;
    const bool is_parsed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(status, protocol::parse_status_result(
                                          std::get<std::vector<target_result>>(answer).back()));
            return true;
        },
        [] { return false; });
    const bool is_primary = is_parsed && status.is_unfenced_primary_of(status.follow_term);
    if (!is_parsed || !required.is_covered_by(status) || (request.is_write && !is_primary)) {
        reset_session(std::move(entry->session), true);
        give_up_place(held);
        execute_answer answer_behind = runtime_.make_refusal(
            request, request.is_write ? error_code::no_primary : error_code::unavailable,
            "the target cannot serve the transaction");
        answer_behind.is_behind = !request.is_write;
        respond(std::move(answer_behind));
        return;
    }
    std::uint64_t number = 0;
    {
        const std::scoped_lock lock(mutex_);
        const state::time_point now = std::chrono::steady_clock::now();
        number = registry_.open(request.pool, request.caller, now);
        registry_.release(number, now);
        pinned_.emplace(number, entry);
    }
    execution result = make_ok();
    result.point = status.get_log_end();
    result.is_primary = is_primary;
    execute_request named = request;
    named.transaction = number;
    runtime_.answer(named, std::move(result), deadline, respond);
}

std::shared_ptr<transaction_service::pinned> transaction_service::claim(
    const execute_request& request, const execute_responder& respond) {
    coordination::transaction_claim_result verdict = coordination::transaction_claim_result::gone;
    {
        const std::scoped_lock lock(mutex_);
        verdict = registry_.claim(request.transaction, request.pool, request.caller,
                                  std::chrono::steady_clock::now());
        if (verdict == coordination::transaction_claim_result::granted) {
            return pinned_.at(request.transaction);
        }
    }
    // not_run: the request got no connection.
    if (verdict == coordination::transaction_claim_result::busy) {
        respond(runtime_.make_refusal(request, error_code::bad_request,
                                      "another statement of the transaction is running"));
    } else {
        respond(runtime_.make_refusal(request, error_code::transaction_gone,
                                      "the transaction ended or was rolled back after a timeout"));
    }
    return nullptr;
}

void transaction_service::close(std::uint64_t number) {
    const std::scoped_lock lock(mutex_);
    registry_.close(number);
    pinned_.erase(number);
}

void transaction_service::run_statements(const execute_request& request, state::time_point deadline,
                                         const execute_responder& respond) {
    const std::shared_ptr<pinned> entry = claim(request, respond);
    if (!entry) {
        return;
    }
    state::time_point end = deadline;
    {
        const std::scoped_lock lock(mutex_);
        end = std::min(deadline, registry_.get_deadline(request.transaction));
    }
    std::vector<target_statement> statements = request.statements;
    statements.push_back(protocol::make_status_statement());
    exchange_result answer = entry->session->run(statements, end);
    if (const auto* error = std::get_if<target_error>(&answer)) {
        execution failure = executor::make_failure(exchange_phase::statements, *error);
        failure.message += "; the transaction was rolled back";
        if (failure.code != error_code::statement_failed) {
            // The statement alone cannot be repeated, because the transaction is gone.
            failure.code = error_code::transaction_gone;
        }
        close(request.transaction);
        entry->session.reset();  // Closes the connection; the target rolls back.
        end_place(entry->held);
        runtime_.report_failure(request, failure);
        runtime_.answer(request, std::move(failure), deadline, respond);
        return;
    }

    auto& results = std::get<std::vector<target_result>>(answer);
    execution result = make_ok();
    result.is_primary = entry->is_write;
    static_cast<void>(boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(status, protocol::parse_status_result(results.back()));
            result.point = status.get_log_end();  // Bounds what the statements saw.
            return true;
        },
        [] { return false; }));
    results.pop_back();
    result.results = std::move(results);
    {
        const std::scoped_lock lock(mutex_);
        registry_.release(request.transaction, std::chrono::steady_clock::now());
    }
    execute_request named = request;
    named.target = entry->target.name;
    runtime_.answer(named, std::move(result), deadline, respond);
}

void transaction_service::commit(const execute_request& request, state::time_point deadline,
                                 const execute_responder& respond) {
    const std::shared_ptr<pinned> entry = claim(request, respond);
    if (!entry) {
        return;
    }
    execution result;
    if (entry->is_write) {
        result =
            runtime_.get_executor().run_commit(*entry->session, request, entry->target, deadline);
    } else {
        // A transaction that only reads has no effect; ending it either way is a success.
        result = make_ok();
    }
    close(request.transaction);
    runtime_.report_failure(request, result);
    if (!entry->is_write) {
        reset_session(std::move(entry->session), true);
    }
    entry->session.reset();
    end_place(entry->held);
    execute_request named = request;
    named.target = entry->target.name;
    runtime_.answer(named, std::move(result), deadline, respond);
}

void transaction_service::rollback(const execute_request& request, state::time_point deadline,
                                   const execute_responder& respond) {
    const std::shared_ptr<pinned> entry = claim(request, respond);
    if (!entry) {
        return;
    }
    close(request.transaction);
    reset_session(std::move(entry->session), true);
    end_place(entry->held);
    runtime_.answer(request, make_ok(), deadline, respond);
}

void transaction_service::expire(state::time_point now) {
    std::vector<std::shared_ptr<pinned>> expired;
    {
        const std::scoped_lock lock(mutex_);
        for (const std::uint64_t number : registry_.expire(now)) {
            transport::log_event(event_transaction_expired,
                                 {{"transaction", std::to_string(number)}});
            expired.push_back(pinned_.at(number));
            pinned_.erase(number);
        }
    }
    for (const std::shared_ptr<pinned>& entry : expired) {
        const auto task = [this, entry] {
            reset_session(std::move(entry->session), true);
            end_place(entry->held);
        };
        if (!runtime_.get_transaction_workers().try_submit(task)) {
            entry->session.reset();  // Closing the connection rolls back as well.
            end_place(entry->held);
        }
    }
}

void transaction_service::give_up_place(const held_place& held) {
    held.lane->leave(held.place);
    runtime_.dispatch(held.lane);
}

void transaction_service::end_place(const held_place& held) {
    held.lane->finish(held.place, true, std::chrono::steady_clock::now());
    runtime_.dispatch(held.lane);
}

}  // namespace hornbeamhook::proxy
