#include "proxy/home_service.h"

#include <algorithm>
#include <utility>

#include "coordination/acknowledgement.h"
#include "coordination/freshness.h"
#include "coordination/read_requirement.h"
#include "protocol/request_table.h"

namespace hornbeamhook::proxy {

namespace {

using coordination::request_kind;
using protocol::error_code;
using protocol::execute_answer;
using protocol::execute_request;
using state::outcome;

constexpr std::chrono::seconds prune_timeout{10};

error_code get_refusal_code(lane_refusal reason) {
    switch (reason) {
        case lane_refusal::expired:
            return error_code::deadline;
        case lane_refusal::unreachable:
            return error_code::not_home;
        default:
            return error_code::overloaded;
    }
}

const char* get_refusal_text(lane_refusal reason) {
    switch (reason) {
        case lane_refusal::full:
            return "the queue of the target is full";
        case lane_refusal::too_late:
            return "the request would wait past its deadline";
        case lane_refusal::unreachable:
            return "this home cannot reach the target";
        case lane_refusal::expired:
            break;
    }
    return "the deadline passed in the queue";
}

}  // namespace

void home_service::handle(execute_request request, execute_responder respond) {
    const state::time_point arrival = std::chrono::steady_clock::now();
    const state::time_point deadline = arrival + request.deadline;
    if (!exchanges_.try_add(request.exchange_id, arrival)) {
        respond(runtime_.make_duplicate_answer(request));
        return;
    }
    if (request.operation == protocol::execute_operation::await_acknowledgement) {
        await_acknowledgement(request, deadline, std::move(respond));
        return;
    }
    state::target_description target;
    if (std::optional<execute_answer> refusal = runtime_.check(request, target)) {
        respond(std::move(*refusal));
        return;
    }
    const auto shared = std::make_shared<const execute_request>(std::move(request));
    const std::shared_ptr<target_lane> lane = runtime_.get_lane(shared->pool, target);
    if (shared->is_write) {
        admit(shared, target, {}, deadline, std::move(respond));
        return;
    }
    if (lane->would_refuse({0, shared->caller, request_kind::read, deadline}, arrival)) {
        // not_run: nothing was queued or sent.
        respond(runtime_.make_refusal(*shared, error_code::overloaded,
                                      "the request would wait past its deadline"));
        return;
    }
    wait_for_freshness(shared, target, arrival, deadline, std::move(respond));
}

// This operation runs nothing: `not_run` says that the question was not decided here.
void home_service::await_acknowledgement(const execute_request& request, state::time_point deadline,
                                         execute_responder respond) {
    runtime_.get_waiter().wait(
        request.pool, [this, request, deadline, respond = std::move(respond)](
                          const state::group_view* view, state::time_point now) {
            execute_answer answer =
                runtime_.make_refusal(request, error_code::not_home, "the group is not polled");
            if (view != nullptr) {
                switch (coordination::evaluate_acknowledgement(*view, request.required)) {
                    case coordination::acknowledgement::acknowledged:
                        answer.outcome = outcome::ok;
                        answer.code = error_code::ok;
                        break;
                    case coordination::acknowledgement::superseded:
                        answer.outcome = outcome::unknown;
                        answer.code = error_code::outcome_unknown;
                        break;
                    case coordination::acknowledgement::pending:
                        if (now < deadline) {
                            return false;
                        }
                        answer.code = error_code::deadline;
                }
            }
            respond(std::move(answer));
            return true;
        });
}

void home_service::wait_for_freshness(std::shared_ptr<const execute_request> request,
                                      const state::target_description& target,
                                      state::time_point arrival, state::time_point deadline,
                                      execute_responder respond) {
    const coordination::read_requirement requirement = coordination::make_read_requirement(
        request->policy, request->must_be_fresh, request->required, arrival);
    const std::shared_ptr<const state::fleet_view> fleet = runtime_.get_groups().get_view();
    const auto group = fleet->polled_groups.find(request->pool);
    const bool is_primary = group != fleet->polled_groups.end() && group->second &&
                            group->second->primary && group->second->primary->target == target.name;
    // There is nothing better than the primary, so a read there waits up to its deadline.
    const state::time_point give_up_at =
        is_primary ? deadline : coordination::get_catch_up_deadline(arrival, deadline);
    runtime_.get_waiter().wait(
        request->pool,
        [this, request, target, requirement, give_up_at, deadline, respond = std::move(respond)](
            const state::group_view* view, state::time_point now) {
            if (view == nullptr) {
                // not_run: the request was not queued for a target yet.
                respond(runtime_.make_refusal(*request, error_code::not_home,
                                              "this proxy does not poll the group"));
                return true;
            }
            const coordination::freshness_decision decision =
                coordination::evaluate_freshness(requirement, *view, target.name, now, give_up_at);
            switch (decision.action) {
                case coordination::freshness_action::wait_for_proof:
                case coordination::freshness_action::wait_for_replica:
                    return false;
                case coordination::freshness_action::serve:
                    admit(request, target, decision.required, deadline, respond);
                    return true;
                case coordination::freshness_action::reroute:
                    break;
            }
            // not_run: the request was not queued for a target yet.
            execute_answer answer = runtime_.make_refusal(
                *request, error_code::unavailable, "the target did not reach the required point");
            answer.is_behind = true;
            respond(std::move(answer));
            return true;
        });
}

void home_service::admit(std::shared_ptr<const execute_request> request,
                         const state::target_description& target,
                         const coordination::required_points& required, state::time_point deadline,
                         execute_responder respond) {
    const std::shared_ptr<target_lane> lane = runtime_.get_lane(request->pool, target);
    // A short deadline is not used up by the reserve; such a write takes its chance.
    const state::time_point arrival = std::chrono::steady_clock::now();
    const state::time_point commit_by =
        request->is_write ? std::max(deadline - runtime_.get_acknowledgement_reserve(request->pool),
                                     arrival + (deadline - arrival) / 2)
                          : deadline;
    const auto start = [this, request, target, required, deadline, commit_by, lane,
                        respond](const lane_place& place) {
        state::target_description current;
        if (std::optional<execute_answer> refusal = runtime_.check(*request, current)) {
            // not_run: the request left the queue and no connection was taken for it. The target
            // may have begun to leave, or lost its role, while the request waited.
            lane->leave(place);
            runtime_.dispatch(lane);
            respond(std::move(*refusal));
            return;
        }
        execution result =
            request->is_write
                ? runtime_.get_executor().run_write(*request, target, commit_by, deadline)
                : runtime_.get_executor().run_read(*request, target, required, deadline);
        const bool was_answered = result.outcome == outcome::ok || result.is_behind ||
                                  result.code == error_code::statement_failed;
        lane->finish(place, was_answered, std::chrono::steady_clock::now());
        runtime_.dispatch(lane);
        runtime_.report_failure(*request, result);
        runtime_.answer(*request, std::move(result), deadline, respond);
    };
    const auto refuse = [this, request, respond](lane_refusal reason) {
        // not_run: the lane hands out a request either to start or to refuse, never to both.
        respond(
            runtime_.make_refusal(*request, get_refusal_code(reason), get_refusal_text(reason)));
    };
    const request_kind kind = request->is_write ? request_kind::write : request_kind::read;
    lane->offer({0, request->caller, kind, commit_by}, start, refuse, arrival);
    runtime_.dispatch(lane);
}

void home_service::prune_keys() {
    const std::int64_t now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
    const std::int64_t retention_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(runtime_.get_settings().key_retention)
            .count();
    const std::shared_ptr<const state::fleet_view> view = runtime_.get_groups().get_view();
    for (const auto& [pool, group] : view->polled_groups) {
        const state::pool_description* description = view->config->find_pool(pool);
        if (!group || !group->primary || description == nullptr) {
            continue;
        }
        const state::target_description* primary = description->find_target(group->primary->target);
        const auto homes = view->homes.find(pool + "/" + group->primary->target);
        if (primary == nullptr || homes == view->homes.end() || homes->second.empty() ||
            homes->second.front().vm != runtime_.get_settings().vm) {
            continue;
        }
        state::target_description target = *primary;
        target.address = runtime_.get_settings().get_dial_address(target.address);
        const state::time_point deadline = std::chrono::steady_clock::now() + prune_timeout;
        session_result acquired = runtime_.get_sessions().acquire(pool, target, deadline);
        if (auto* session = std::get_if<std::unique_ptr<target_session>>(&acquired)) {
            // A failure leaves old keys for the next round; they do no harm.
            static_cast<void>(
                (*session)->run({protocol::make_create_request_table(),
                                 protocol::make_prune_requests(now_ms - retention_ms)},
                                deadline));
        }
    }
}

}  // namespace hornbeamhook::proxy
