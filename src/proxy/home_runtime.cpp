#include "proxy/home_runtime.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/acknowledgement.h"
#include "coordination/routing.h"
#include "proxy/data_events.h"

namespace hornbeamhook::proxy {

namespace {

using protocol::error_code;
using protocol::execute_answer;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;

// Started requests hold a place at a target, so few of them wait for a thread.
constexpr std::size_t max_queued_exchanges = 1024;
constexpr std::size_t max_queued_transaction_steps = 1024;

// Assumed until the first acknowledgement was measured.
constexpr std::chrono::microseconds first_acknowledgement_time{50'000};
constexpr int acknowledgement_smoothing = 8;
// Acknowledgements vary with the poll that happens to be under way.
constexpr int acknowledgement_safety = 2;
constexpr std::chrono::milliseconds max_acknowledgement_reserve{500};
// A single failed poll may be a pause of this process.
constexpr int min_failed_polls = 2;

bool is_new_work(execute_operation operation) {
    return operation == execute_operation::statements || operation == execute_operation::begin;
}

/** Whether the last polls of a target failed, so that exchanges with it would be lost too. */
bool is_unreachable(const state::group_view& group, const std::string& target) {
    const auto it = group.targets.find(target);
    return it != group.targets.end() && it->second.consecutive_failures >= min_failed_polls;
}

/** The answer to a request whose commit was judged; `pending` means that time is over. */
execute_answer conclude(execute_answer done, coordination::acknowledgement verdict) {
    if (verdict == coordination::acknowledgement::acknowledged) {
        return done;
    }
    done.outcome = outcome::unknown;
    done.code = error_code::outcome_unknown;
    done.results.clear();
    done.message = verdict == coordination::acknowledgement::superseded
                       ? "the primary was replaced before the write was acknowledged"
                       : "no majority of the group has acknowledged the write in time";
    return done;
}

}  // namespace

home_runtime::home_runtime(const protocol::proxy_settings& settings, std::uint64_t incarnation,
                           group_source& groups, session_source& sessions, data_metrics& metrics)
    : settings_(settings),
      incarnation_(incarnation),
      groups_(groups),
      sessions_(sessions),
      metrics_(metrics),
      executor_(sessions),
      relay_(settings, incarnation, groups),
      workers_(settings.worker_threads, max_queued_exchanges),
      transaction_workers_(std::max(2, settings.worker_threads / 2), max_queued_transaction_steps),
      waiter_(groups) {}

home_runtime::~home_runtime() {
    stop();
}

void home_runtime::stop() {
    workers_.stop();
    transaction_workers_.stop();
    waiter_.stop();
}

execute_answer home_runtime::make_refusal(const execute_request& request, error_code code,
                                          std::string message) const {
    execute_answer answer;
    answer.exchange_id = request.exchange_id;
    answer.outcome = outcome::not_run;
    answer.code = code;
    answer.message = std::move(message);
    answer.target = request.target;
    answer.primary = coordination::find_primary(*groups_.get_view(), request.pool);
    return answer;
}

execute_answer home_runtime::make_duplicate_answer(const execute_request& request) const {
    execute_answer answer =
        make_refusal(request, error_code::outcome_unknown, "duplicate exchange id");
    answer.outcome = outcome::unknown;
    answer.was_sent = true;
    return answer;
}

bool home_runtime::is_home(const state::fleet_view& view, const execute_request& request) const {
    if (settings_.layout == protocol::connection_layout::fixed_split) {
        return true;
    }
    const auto homes = view.homes.find(request.pool + "/" + request.target);
    return homes != view.homes.end() &&
           std::any_of(homes->second.begin(), homes->second.end(),
                       [&](const state::member& home) { return home.vm == settings_.vm; });
}

// Every refusal of check() is given before the request is queued, so nothing was sent for it.
std::optional<execute_answer> home_runtime::check(const execute_request& request,
                                                  state::target_description& target) const {
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    const state::pool_description* pool = view->config->find_pool(request.pool);
    const state::target_description* found =
        pool == nullptr ? nullptr : pool->find_target(request.target);
    if (found == nullptr) {
        return make_refusal(request, error_code::not_home, "the target is not configured here");
    }
    target = *found;
    target.address = settings_.get_dial_address(target.address);
    if (!is_new_work(request.operation) && request.operation != execute_operation::resolve_commit) {
        return std::nullopt;
    }
    if (is_draining_) {
        return make_refusal(request, error_code::draining, "this proxy is leaving");
    }
    if (!view->is_configuration_confirmed) {
        return make_refusal(request, error_code::configuration_unconfirmed,
                            "this proxy cannot confirm its configuration");
    }
    if (target.is_leaving) {
        return make_refusal(request, error_code::not_home, "the target is leaving");
    }
    const auto group = view->polled_groups.find(request.pool);
    if (!is_home(*view, request) || group == view->polled_groups.end() || !group->second) {
        return make_refusal(request, error_code::not_home, "this proxy is no home of the target");
    }
    if (!request.is_write) {
        return std::nullopt;
    }
    const std::optional<state::primary_view>& primary = group->second->primary;
    if (!primary) {
        return make_refusal(request, error_code::no_primary, "the group has no primary now");
    }
    if (primary->target != request.target) {
        return make_refusal(request, error_code::not_home, "the target is not the primary");
    }
    if (std::find(view->paused_pools.begin(), view->paused_pools.end(), request.pool) !=
        view->paused_pools.end()) {
        return make_refusal(request, error_code::no_primary, "the primary is being changed");
    }
    if (is_unreachable(*group->second, request.target)) {
        // The other home may still reach the primary. The poll shows when this one does again.
        groups_.request_poll(request.pool);
        return make_refusal(request, error_code::not_home, "this home cannot reach the target");
    }
    return std::nullopt;
}

std::shared_ptr<target_lane> home_runtime::get_lane(const std::string& pool,
                                                    const state::target_description& target) {
    const int quota = sessions_.get_quota(pool, target);
    const state::pool_description* description = nullptr;
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    description = view->config->find_pool(pool);
    const std::size_t length =
        description == nullptr ? 1 : static_cast<std::size_t>(description->queue_length);
    const std::scoped_lock lock(mutex_);
    std::shared_ptr<target_lane>& lane = lanes_[pool + "/" + target.name];
    if (!lane) {
        lane = std::make_shared<target_lane>(length, target.slots, quota);
    }
    lane->update(length, quota);
    return lane;
}

void home_runtime::dispatch(const std::shared_ptr<target_lane>& lane) {
    for (const std::function<void()>& start : lane->take(std::chrono::steady_clock::now())) {
        // Requests are bounded by the limits of the lanes; a full pool runs them on this thread.
        if (!workers_.try_submit(start)) {
            start();
        }
    }
}

void home_runtime::expire_queues(state::time_point now) {
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    std::vector<std::shared_ptr<target_lane>> lanes;
    std::vector<std::shared_ptr<target_lane>> unreachable;
    {
        const std::scoped_lock lock(mutex_);
        for (const auto& [pool, group] : view->polled_groups) {
            if (!group || !group->primary || !is_unreachable(*group, group->primary->target)) {
                continue;
            }
            const auto lane = lanes_.find(pool + "/" + group->primary->target);
            if (lane != lanes_.end()) {
                unreachable.push_back(lane->second);
            }
        }
        for (const auto& [name, lane] : lanes_) {
            lanes.push_back(lane);
        }
    }
    for (const std::shared_ptr<target_lane>& lane : unreachable) {
        lane->refuse_unreachable();
    }
    for (const std::shared_ptr<target_lane>& lane : lanes) {
        lane->expire(now);
        dispatch(lane);
    }
}

void home_runtime::report_failure(const execute_request& request, const execution& result) {
    if (result.outcome == outcome::ok || result.code == error_code::statement_failed ||
        result.is_behind) {
        return;
    }
    metrics_.record_target_failure();
    transport::log_event(event_target_failure, {{"pool", request.pool},
                                                {"target", request.target},
                                                {"outcome", std::string(to_string(result.outcome))},
                                                {"code", std::string(to_string(result.code))},
                                                {"message", result.message}});
    groups_.report_target_failure(request.pool, request.target);
}

void home_runtime::answer(const execute_request& request, execution result,
                          state::time_point deadline, execute_responder respond) {
    execute_answer answer;
    answer.exchange_id = request.exchange_id;
    answer.outcome = result.outcome;
    answer.code = result.code;
    answer.message = std::move(result.message);
    answer.was_sent = result.was_sent;
    answer.is_behind = result.is_behind;
    answer.results = std::move(result.results);
    answer.point = result.point;
    answer.target = request.target;
    answer.is_primary = result.is_primary;
    answer.incarnation = incarnation_;
    answer.transaction = request.transaction;
    answer.primary = coordination::find_primary(*groups_.get_view(), request.pool);
    if (result.is_primary_lost && answer.outcome == outcome::not_run) {
        // not_run: classify_exchange_failure() showed it; the code lets the entry wait for a
        // primary.
        answer.code = error_code::no_primary;
    }
    if (!result.needs_acknowledgement) {
        respond(std::move(answer));
        return;
    }
    waiter_.wait(request.pool,
                 [this, done = std::move(answer), deadline, respond = std::move(respond),
                  pool = request.pool, began = std::chrono::steady_clock::now()](
                     const state::group_view* view, state::time_point now) {
                     if (view == nullptr) {
                         hand_over(pool, done, deadline, respond);
                         return true;
                     }
                     const coordination::acknowledgement verdict =
                         coordination::evaluate_acknowledgement(*view, done.point);
                     if (verdict == coordination::acknowledgement::pending && now < deadline) {
                         return false;
                     }
                     record_acknowledgement(
                         pool, std::chrono::duration_cast<std::chrono::microseconds>(now - began));
                     respond(conclude(done, verdict));
                     return true;
                 });
}

void home_runtime::hand_over(const std::string& pool, execute_answer done,
                             state::time_point deadline, const execute_responder& respond) {
    transport::log_event(event_acknowledgement_handed_over,
                         {{"pool", pool}, {"position", std::to_string(done.point.position)}});
    const auto task = [this, pool, done, deadline, respond] {
        respond(conclude(done, relay_.ask(pool, done.point, deadline)));
    };
    if (!transaction_workers_.try_submit(task)) {
        respond(conclude(std::move(done), coordination::acknowledgement::pending));
    }
}

void home_runtime::record_acknowledgement(const std::string& pool,
                                          std::chrono::microseconds duration) {
    const std::scoped_lock lock(mutex_);
    std::chrono::microseconds& time =
        acknowledgement_times_.emplace(pool, first_acknowledgement_time).first->second;
    time += (duration - time) / acknowledgement_smoothing;
}

std::chrono::milliseconds home_runtime::get_acknowledgement_reserve(const std::string& pool) {
    const std::scoped_lock lock(mutex_);
    const auto it = acknowledgement_times_.find(pool);
    const std::chrono::microseconds time =
        it == acknowledgement_times_.end() ? first_acknowledgement_time : it->second;
    return std::min(
        max_acknowledgement_reserve,
        std::chrono::duration_cast<std::chrono::milliseconds>(time * acknowledgement_safety));
}

std::vector<lane_usage> home_runtime::get_lane_usage() {
    const std::scoped_lock lock(mutex_);
    std::vector<lane_usage> result;
    for (const auto& [name, lane] : lanes_) {
        using coordination::request_kind;
        result.push_back({name, lane->get_queued(request_kind::read),
                          lane->get_queued(request_kind::write),
                          lane->get_queued(request_kind::transaction), lane->get_in_flight(),
                          lane->get_limit(request_kind::read), lane->get_limit(request_kind::write),
                          lane->get_limit(request_kind::transaction)});
    }
    return result;
}

void home_runtime::add_gauges(gauge_sample& gauges) {
    const std::scoped_lock lock(mutex_);
    for (const auto& [name, lane] : lanes_) {
        gauges.queued_reads += lane->get_queued(coordination::request_kind::read);
        gauges.queued_writes += lane->get_queued(coordination::request_kind::write) +
                                lane->get_queued(coordination::request_kind::transaction);
        gauges.exchanges_in_flight += static_cast<std::size_t>(lane->get_in_flight());
    }
}

}  // namespace hornbeamhook::proxy
