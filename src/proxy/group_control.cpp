#include "proxy/group_control.h"

#include <algorithm>
#include <utility>

#include "coordination/home_assignment.h"
#include "proxy/fleet_events.h"
#include "proxy/json_response.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using state::member;
using state::time_point;
using std::chrono::milliseconds;
using transport::http_response;
using transport::log_event;

/// Writes resume by themselves after this time, in case the claimant dies meanwhile.
constexpr milliseconds pause_limit{3000};
/// A leaving primary whose change failed is tried again after this time.
constexpr milliseconds leave_check_interval{1000};
/// A step that is due within this time is taken at once.
constexpr milliseconds check_tolerance{10};

time_point get_now() {
    return std::chrono::steady_clock::now();
}

}  // namespace

group_control::group_control(group_environment environment) : environment_(environment) {
    slots_.store(std::make_shared<const slot_map>());
}

std::shared_ptr<group_slot> group_control::find_slot(const std::string& pool) const {
    const std::shared_ptr<const slot_map> slots = slots_.load();
    const auto it = slots->find(pool);
    return it == slots->end() ? nullptr : it->second;
}

void group_control::assign(const state::configuration& config, const home_table& homes,
                           bool is_only_proxy) {
    std::set<std::string> polled;
    for (const auto& [name, pool] : config.pools) {
        const std::vector<std::vector<member>> pollers = homes.find_pollers(pool);
        const bool is_poller = std::ranges::any_of(pollers, [&](const std::vector<member>& list) {
            return std::ranges::find(list, environment_.settings.vm, &member::vm) != list.end();
        });
        if (!is_poller) {
            continue;
        }
        polled.insert(name);
        const auto it = groups_.find(name);
        if (it == groups_.end()) {
            open_group(pool);
        } else if (it->second.pool != pool) {
            configure_group(it->second, pool);
        }
        assign_pollers(groups_.at(name), coordination::rank_pollers(name, pollers), is_only_proxy);
    }
    std::vector<std::string> closed;
    for (const auto& [name, group] : groups_) {
        if (!polled.contains(name)) {
            closed.push_back(name);
        }
    }
    for (const std::string& name : closed) {
        close_group(name);
    }
    publish_slots();
}

std::optional<coordination::primary_observation> group_control::observe(
    const protocol::observation_message& question) {
    const auto it = groups_.find(question.pool);
    if (it == groups_.end()) {
        return std::nullopt;
    }
    if (question.observation) {
        set_primary(question.pool, question.observation->primary);
        step_failover(it->second, coordination::observation_received{*question.observation});
    }
    // The next question should find an answer that is not older than this one.
    it->second.slot->request_poll();
    return get_recent_observation(it->second.failover, get_now());
}

void group_control::request_change(const protocol::planned_change_message& message,
                                   change_waiter waiter) {
    const auto it = groups_.find(message.pool);
    if (it == groups_.end()) {
        waiter->set_value(make_error(409, "not_home", "this proxy does not poll the group"));
        return;
    }
    it->second.change_waiters.push_back(std::move(waiter));
    step_failover(it->second, coordination::primary_change_requested{message.target});
}

void group_control::check(time_point now) {
    is_failing_over_ = false;
    for (auto& [pool, group] : groups_) {
        if (get_next_check(group.failover, now) <= now + check_tolerance) {
            step_failover(group, coordination::failover_checked{});
            is_failing_over_ = true;
        }
        replace_leaving_primary(group, now);
    }
    const std::size_t resumed =
        std::erase_if(paused_until_, [&](const auto& entry) { return entry.second <= now; });
    is_changed_ = is_changed_ || resumed > 0;
}

void group_control::drop_views() {
    for (auto& [pool, group] : groups_) {
        step_group(pool, coordination::views_dropped{});
        step_failover(group, coordination::claim_dropped{});
        group.slot->request_poll();
    }
}

void group_control::stop() {
    for (auto& [pool, group] : groups_) {
        group.slot->close();
        for (auto& [target, poller] : group.pollers) {
            poller->stop();
        }
    }
    groups_.clear();
}

bool group_control::take_changed() {
    return std::exchange(is_changed_, false);
}

void group_control::describe(state::fleet_view& view) const {
    for (const auto& [name, group] : groups_) {
        if (group.view) {
            view.polled_groups.emplace(name, group.view);
        }
    }
    view.primaries = primaries_;
    for (const auto& [pool, until] : paused_until_) {
        view.paused_pools.push_back(pool);
    }
}

nlohmann::json group_control::get_status() const {
    nlohmann::json groups = nlohmann::json::object();
    for (const auto& [name, group] : groups_) {
        nlohmann::json targets = nlohmann::json::object();
        for (const auto& [target, view] : group.monitor.view.targets) {
            targets[target] = {{"failures", view.consecutive_failures},
                               {"status", view.status ? to_json(*view.status) : nullptr}};
        }
        groups[name] = {{"targets", std::move(targets)},
                        {"primary", nullptr},
                        {"phase", coordination::to_string(group.failover.phase)},
                        {"last_promotion", group.last_promotion}};
        if (group.monitor.view.primary) {
            groups[name]["primary"] = {{"target", group.monitor.view.primary->target},
                                       {"term", group.monitor.view.primary->term}};
        }
    }
    nlohmann::json primaries = nlohmann::json::object();
    for (const auto& [pool, primary] : primaries_) {
        primaries[pool] = {{"target", primary.target}, {"term", primary.term}};
    }
    return {{"groups", std::move(groups)}, {"primaries", std::move(primaries)}};
}

void group_control::ask_observation(const member& peer,
                                    const protocol::observation_message& question) {
    protocol::observation_message answer;
    bool is_answered = false;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(answer, environment_.peers.ask_observation(peer, question));
            is_answered = true;
            return {};
        },
        [] {});
    environment_.queue.push([this, vm = peer.vm, pool = question.pool, answer, is_answered] {
        asked_.erase(pool + "/" + vm);
        const auto it = groups_.find(pool);
        if (it == groups_.end() || !is_answered) {
            return;
        }
        if (answer.observation) {
            step_failover(it->second, coordination::observation_received{*answer.observation});
        } else {
            step_failover(it->second, coordination::observation_withdrawn{vm});
        }
    });
}

void group_control::open_group(const state::pool_description& pool) {
    polled_group& group = groups_[pool.name];
    group.slot = std::make_shared<group_slot>();
    group.monitor.view.pool = pool.name;
    group.failover.vm = environment_.settings.vm;
    group.failover.incarnation = environment_.incarnation;
    group.failover.random_state =
        environment_.random ^ coordination::get_rendezvous_weight(pool.name, "");
    log_event(event_group_opened, {{"pool", pool.name}});
    configure_group(group, pool);
}

void group_control::configure_group(polled_group& group, const state::pool_description& pool) {
    const state::pool_description before = std::exchange(group.pool, pool);
    coordination::group_configured event;
    std::map<std::string, std::shared_ptr<target_poller>> pollers;
    std::vector<std::shared_ptr<target_poller>> list;
    for (const state::target_description& target : pool.targets) {
        event.targets.push_back(target.name);
        const state::target_description* old = before.find_target(target.name);
        std::shared_ptr<target_poller>& poller = pollers[target.name];
        if (old != nullptr && old->address == target.address) {
            poller = std::exchange(group.pollers[target.name], nullptr);
        }
        if (!poller) {
            poller = make_poller(group, target);
        }
        list.push_back(poller);
    }
    group.pollers.swap(pollers);
    group.heartbeat.reset();
    group.slot->set_pollers(std::move(list));
    for (auto& [target, poller] : pollers) {
        if (poller) {
            retire(std::move(poller));
        }
    }
    step_group(pool.name, event);
}

std::shared_ptr<target_poller> group_control::make_poller(const polled_group& group,
                                                          const state::target_description& target) {
    const protocol::proxy_settings& settings = environment_.settings;
    const std::string& pool = group.pool.name;
    return std::make_shared<target_poller>(
        poller_options{target.name, settings.get_dial_address(target.address),
                       settings.heartbeat_interval, settings.probe_timeout},
        group.slot->get_waiters(),
        [this, pool](coordination::group_event event) {
            environment_.queue.try_push(
                [this, pool, event = std::move(event)] { step_group(pool, event); });
        },
        [this, pool](term_result result) {
            environment_.queue.try_push(
                [this, pool, result = std::move(result)] { end_term_call(pool, result); });
        },
        environment_.traffic);
}

void group_control::retire(std::shared_ptr<target_poller> poller) {
    poller->stop();
    // Joining may take a probe timeout, which the control thread must not wait for.
    environment_.workers.try_submit([old = std::move(poller)] {});
}

void group_control::close_group(const std::string& pool) {
    const auto it = groups_.find(pool);
    log_event(event_group_closed, {{"pool", pool}});
    // Others take over what this proxy had begun; they see the same statuses.
    step_failover(it->second, coordination::claim_dropped{});
    it->second.slot->close();
    for (auto& [target, poller] : it->second.pollers) {
        retire(std::move(poller));
    }
    groups_.erase(it);
    is_changed_ = true;
}

void group_control::step_group(const std::string& pool, const coordination::group_event& event) {
    const auto it = groups_.find(pool);
    if (it == groups_.end()) {
        return;
    }
    polled_group& group = it->second;
    coordination::group_monitor_step step =
        coordination::step_group_monitor(std::move(group.monitor), event, get_now());
    group.monitor = std::move(step.state);
    for (const coordination::group_action& action : step.actions) {
        if (const auto* changed = std::get_if<coordination::primary_changed>(&action)) {
            log_event(event_primary_seen, {{"pool", pool},
                                           {"target", changed->after.target},
                                           {"term", std::to_string(changed->after.term)}});
            set_primary(pool, changed->after);
        } else {
            group.view = std::make_shared<const state::group_view>(group.monitor.view);
            group.slot->publish(group.view);
            is_changed_ = true;
        }
    }
    set_heartbeat(group);
    coordination::group_evidence evidence = get_evidence(group.monitor, get_now());
    if (evidence != group.failover.evidence ||
        group.failover.phase != coordination::failover_phase::watching) {
        step_failover(group, coordination::evidence_updated{std::move(evidence)});
    }
}

void group_control::step_failover(polled_group& group, const coordination::failover_event& event) {
    const coordination::failover_phase before = group.failover.phase;
    coordination::failover_step step =
        coordination::step_failover(std::move(group.failover), event, get_now());
    group.failover = std::move(step.state);
    if (before != group.failover.phase) {
        log_event(event_failover_phase, {{"pool", group.pool.name},
                                         {"phase", coordination::to_string(group.failover.phase)},
                                         {"reason", coordination::to_string(group.failover.reason)},
                                         {"term", std::to_string(group.failover.term)}});
        is_failing_over_ = true;
    }
    for (const coordination::failover_action& action : step.actions) {
        std::visit([&](const auto& value) { act(group, value); }, action);
    }
}

void group_control::act(polled_group& group, const coordination::request_observations& action) {
    for (const member& peer : group.ranked_pollers) {
        const std::string key = group.pool.name + "/" + peer.vm;
        if (peer.vm == environment_.settings.vm || asked_.contains(key)) {
            continue;
        }
        const protocol::observation_message question{group.pool.name, action.own};
        if (environment_.urgent_workers.try_submit(
                [this, peer, question] { ask_observation(peer, question); })) {
            asked_.insert(key);
        }
    }
}

void group_control::act(polled_group& group, const coordination::poll_targets& /*action*/) {
    group.slot->request_poll();
}

void group_control::act(polled_group& group, const coordination::send_term_call& action) {
    const auto it = group.pollers.find(action.target);
    if (it != group.pollers.end() && it->second) {
        it->second->submit({action.is_promote, action.term, action.claimant});
    }
}

void group_control::act(polled_group& group, const coordination::set_writes_paused& action) {
    set_paused(group.pool.name, action.is_paused);
    for (const member& peer : group.ranked_pollers) {
        if (peer.vm != environment_.settings.vm) {
            environment_.urgent_workers.try_submit([this, peer, pool = group.pool.name,
                                                    is_paused = action.is_paused] {
                // A lost notice costs some writes an `unknown`; the fence keeps the change safe.
                leaf::try_handle_all(
                    [&] { return environment_.peers.send_pause(peer, pool, is_paused); }, [] {});
            });
        }
    }
}

void group_control::act(polled_group& group, const coordination::primary_change_finished& action) {
    log_event(event_planned_change_ended, {{"pool", group.pool.name},
                                           {"is_done", action.is_done ? "true" : "false"},
                                           {"message", action.message}});
    const http_response response = action.is_done ? make_json(200, {{"message", action.message}})
                                                  : make_error(409, "unavailable", action.message);
    for (const auto& waiter : std::exchange(group.change_waiters, {})) {
        waiter->set_value(response);
    }
}

void group_control::act(polled_group& group, const coordination::promotion_finished& action) {
    group.last_promotion = protocol::to_json(action.report);
    log_event(event_promotion_finished,
              {{"pool", group.pool.name}, {"report", group.last_promotion.dump()}});
    environment_.audit.append({"promotion", group.pool.name,
                               coordination::to_string(action.report.reason),
                               group.last_promotion});
}

void group_control::act(polled_group& group, const coordination::promotion_seen& action) {
    const bool is_suspected = action.suspicion != coordination::failover_reason::none;
    environment_.audit.append(
        {"promotion_seen", group.pool.name,
         is_suspected ? coordination::to_string(action.suspicion) : "not_known",
         protocol::to_json(action)});
}

void group_control::end_term_call(const std::string& pool, const term_result& result) {
    const auto it = groups_.find(pool);
    if (it == groups_.end()) {
        return;
    }
    coordination::term_call_ended event;
    event.target = result.target;
    event.is_promote = result.command.is_promote;
    event.term = result.command.term;
    event.claimant = result.command.claimant;
    event.status = result.status;
    if (result.outcome == term_result::kind::accepted) {
        event.outcome = coordination::call_outcome::accepted;
    } else if (result.outcome == term_result::kind::refused) {
        event.outcome = coordination::call_outcome::refused;
    }
    step_failover(it->second, event);
    if (result.status) {
        step_group(pool, coordination::poll_answered{result.target, result.began, result.ended,
                                                     *result.status});
    }
}

void group_control::assign_pollers(polled_group& group, const std::vector<member>& pollers,
                                   bool is_only_proxy) {
    group.ranked_pollers = pollers;
    coordination::pollers_assigned event;
    std::map<std::string, int> pollers_by_place;
    for (const member& poller : pollers) {
        event.vms.push_back(poller.vm);
        ++pollers_by_place[poller.place];
    }
    for (const state::target_description& target : group.pool.targets) {
        // A leaving target becomes primary only when no other one is as far.
        event.preference[target.name] = target.is_leaving ? -1 : pollers_by_place[target.place];
    }
    event.is_only_proxy = is_only_proxy;
    set_heartbeat(group);
    step_failover(group, event);
}

void group_control::set_heartbeat(polled_group& group) {
    const protocol::proxy_settings& settings = environment_.settings;
    const auto own = std::ranges::find(group.ranked_pollers, settings.vm, &member::vm);
    const auto rank = static_cast<std::size_t>(own - group.ranked_pollers.begin());
    const milliseconds interval = coordination::get_heartbeat(
        rank, has_potential_failure(group.monitor),
        {settings.heartbeat_interval, settings.standby_heartbeat_interval});
    if (group.heartbeat == interval) {
        return;
    }
    group.heartbeat = interval;
    for (auto& [target, poller] : group.pollers) {
        if (poller) {
            poller->set_heartbeat(interval);
        }
    }
}

void group_control::replace_leaving_primary(polled_group& group, time_point now) {
    if (now < group.next_leave_check) {
        return;
    }
    group.next_leave_check = now + leave_check_interval;
    const std::optional<state::primary_view>& primary = group.monitor.view.primary;
    if (!primary || group.ranked_pollers.empty() ||
        group.ranked_pollers.front().vm != environment_.settings.vm) {
        return;
    }
    const state::target_description* leaving = group.pool.find_target(primary->target);
    if (leaving == nullptr || !leaving->is_leaving) {
        return;
    }
    const std::string* best = nullptr;
    state::log_point furthest;
    for (const auto& [name, status] : group.failover.evidence.answers) {
        const state::target_description* target = group.pool.find_target(name);
        if (target == nullptr || target->is_leaving ||
            (best != nullptr && status.get_log_end() <= furthest)) {
            continue;
        }
        best = &name;
        furthest = status.get_log_end();
    }
    if (best != nullptr) {
        step_failover(group, coordination::primary_change_requested{std::string(*best)});
    }
}

void group_control::set_paused(const std::string& pool, bool is_paused) {
    if (is_paused) {
        paused_until_[pool] = get_now() + pause_limit;
    } else {
        paused_until_.erase(pool);
    }
    is_changed_ = true;
}

void group_control::set_primary(const std::string& pool, const state::primary_view& primary) {
    const auto it = primaries_.find(pool);
    if (it != primaries_.end() && it->second.term >= primary.term) {
        return;
    }
    primaries_.edit()[pool] = primary;
    is_changed_ = true;
}

void group_control::publish_slots() {
    auto slots = std::make_shared<slot_map>();
    for (const auto& [name, group] : groups_) {
        slots->emplace(name, group.slot);
    }
    slots_.store(std::move(slots));
}

}  // namespace hornbeamhook::proxy
