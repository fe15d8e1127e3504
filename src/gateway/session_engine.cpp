#include "gateway/session_engine.h"

#include <algorithm>
#include <utility>

#include "coordination/queue_wait.h"
#include "gateway/gateway_events.h"
#include "gateway/group_queue.h"
#include "gateway/statement_time_limits.h"
#include "gateway/target_choice.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t tick_ms = 50;  ///< Resolution of time limits; each tick costs a wake-up.
/// Part of the objective after which a read is also sent to another target.
constexpr double hedge_delay_fraction = 0.5;
/// Sends of one statement; more would multiply the load of a failing group.
constexpr int max_attempts = 4;
constexpr std::int64_t region_round_trip_ms = 16;  ///< Between regions.
/// A commit whose answer arrives later than this after the lease ended may have been rolled back.
constexpr std::int64_t commit_grace_ms = 100;

const std::string limit_reached = "the limit of the organisation is reached";

std::int64_t scale(std::int64_t value, double factor) {
    return static_cast<std::int64_t>(static_cast<double>(value) * factor);
}

}  // namespace

session_engine::session_engine(transport::event_loop& loop, const session_protocol& protocol,
                               bounded_log& log, gateway_counters& counters, std::string vm,
                               std::string place, std::map<std::string, std::string> place_regions)
    : loop_(loop),
      protocol_(protocol),
      log_(log),
      counters_(counters),
      vm_(std::move(vm)),
      place_(std::move(place)),
      links_(
          loop, protocol, log, counters, answer_flow_, vm_, std::move(place_regions),
          {.find_target = [this](const std::string& group,
                                 const std::string& target) { return find_target(group, target); },
           .dispatch = [this](const std::string& group) { dispatch(group); },
           .answered =
               [this](const std::string& group, const std::string& target,
                      const target_ready& ready,
                      std::int64_t sent_at) { handle_answer(group, target, ready, sent_at); }}),
      control_(
          loop, protocol, log,
          {.find_idle_link =
               [this](const std::string& group, const std::string& target) {
                   return find_control_link(group, target);
               },
           .answered =
               [this](const target_entry& entry, const target_ready& ready, std::int64_t sent_at) {
                   handle_answer(entry.group, entry.id, ready, sent_at);
               },
           .limited =
               [this](const target_entry& entry) {
                   if (target_state* target = find_target(entry.group, entry.id)) {
                       target->note_alive(transport::get_boot_time());
                   }
               }}),
      timer_(loop) {
    timer_.start(tick_ms, tick_ms, [this] { tick(); });
}

session_engine::~session_engine() {
    // The loop closes handles after this; their callbacks must not reach the engine.
    for (auto& [name, group] : groups_) {
        for (auto& [id, target] : group.targets) {
            for (const std::shared_ptr<target_link>& link : target.links) {
                link->abandon();
            }
        }
    }
    close_all_sessions();
}

void session_engine::set_configuration(const configuration& value) {
    const bool may_revoke =
        identifies_callers_ && (configuration_.organisations != value.organisations ||
                                configuration_.routes != value.routes);
    configuration_ = value;
    update_plans({});
    links_.set_organisations(value.organisations);
    if (may_revoke) {
        const auto sessions = sessions_;
        for (const auto& [key, session] : sessions) {
            session->review_authorisation();
        }
    }
}

void session_engine::set_fleet(std::vector<fleet_member> live, int fleet_size) {
    if (const auto change = links_.get_planner().set_fleet(std::move(live), fleet_size)) {
        update_plans(*change);
    }
}

void session_engine::update_plans(const coordination::member_change& change) {
    for (auto& [name, group] : groups_) {
        for (auto& [id, target] : group.targets) {
            target.plan = links_.get_planner().update(target.entry, get_connection_limit(target),
                                                      target.plan, change);
        }
    }
}

int session_engine::get_connection_limit(const target_state& target) const {
    const auto limit = configuration_.connection_limits.find(target.entry.group);
    return limit == configuration_.connection_limits.end() ? 0 : limit->second;
}

void session_engine::update_target(const std::string& id,
                                   const std::optional<target_entry>& entry) {
    const auto known = group_of_target_.find(id);
    if (!entry) {
        target_state* target =
            known == group_of_target_.end() ? nullptr : find_target(known->second, id);
        if (target != nullptr && target->removed_at == 0) {
            target->removed_at = transport::get_boot_time();
            log_.write(event_target_removed, {{"target", id}, {"group", known->second}});
        }
        return;
    }
    if (known != group_of_target_.end() && known->second != entry->group) {
        close_target_links(known->second, id);
        groups_[known->second].targets.erase(id);
    }
    group_of_target_[id] = entry->group;
    target_group& group = groups_[entry->group];
    group.name = entry->group;
    const bool is_known = group.targets.contains(id);
    target_state& target = group.targets[id];
    const bool is_restarted = is_known && (target.entry.started_at != entry->started_at ||
                                           target.entry.address != entry->address);
    const bool is_changed = target.entry.is_leaving != entry->is_leaving ||
                            target.entry.is_primary != entry->is_primary || target.removed_at != 0;
    target.entry = *entry;
    target.removed_at = 0;
    target.plan = links_.get_planner().plan(target.entry, get_connection_limit(target));
    if (is_restarted) {
        close_target_links(entry->group, id);
        target.reconnect_at = 0;
        target.unreachable_until = 0;
        target.position.reset();
    }
    if (paces_targets_) {
        target.pace_start(is_restarted);
    }
    if (!is_known || is_restarted || is_changed) {
        log_.write(event_target_listed, {{"target", id},
                                         {"group", entry->group},
                                         {"place", entry->place},
                                         {"primary", entry->is_primary ? "yes" : "no"},
                                         {"leaving", entry->is_leaving ? "yes" : "no"}});
    }
    dispatch(entry->group);
}

target_state* session_engine::find_target(const std::string& group, const std::string& target) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return nullptr;
    }
    const auto entry = found->second.targets.find(target);
    return entry == found->second.targets.end() ? nullptr : &entry->second;
}

const route* session_engine::find_route(const std::string& database) const {
    const auto entry = configuration_.routes.find(database);
    return entry == configuration_.routes.end() ? nullptr : &entry->second;
}

void session_engine::accept(const std::shared_ptr<transport::tcp_stream>& stream,
                            session_origin origin) {
    const auto session = std::make_shared<caller_session>(*this, stream, origin);
    sessions_.emplace(session.get(), session);
    session->start();
}

void session_engine::remove_session(const caller_session& session) {
    sessions_.erase(&session);
}

void session_engine::close_idle_sessions() {
    for (const auto& [key, session] : std::map(sessions_)) {
        session->close_if_idle();
    }
}

void session_engine::close_all_sessions() {
    for (const auto& [key, session] : std::map(sessions_)) {
        session->close();
    }
}

void session_engine::end_all_sessions() {
    const auto sessions = sessions_;
    for (const auto& [key, session] : sessions) {
        session->answer_outstanding();
    }
    close_all_sessions();
}

void session_engine::refuse_for_stop(const pending_statement_ptr& pending) {
    refuse(groups_[pending->target_route.group], pending, pending->get_unanswered_code(),
           "this VM stops");
}

void session_engine::withdraw(const pending_statement_ptr& pending, failure_code code,
                              const std::string& reason) {
    pending->is_withdrawn = true;
    if (pending->outstanding_links.empty()) {
        refuse(groups_[pending->target_route.group], pending,
               pending->attempts == 0 ? code : pending->get_refusal_code(), reason);
    }
}

void session_engine::submit(const pending_statement_ptr& pending) {
    target_group& group = groups_[pending->target_route.group];
    group.name = pending->target_route.group;
    if (assign(group, pending) != assignment::must_wait) {
        return;
    }
    const std::int64_t now = transport::get_boot_time();
    if (is_beyond_limit(group, *pending, max_grant_wait_ms, now)) {
        gate_->count_refused(*pending);
        refuse(group, pending, pending->get_refusal_code(), limit_reached);
        return;
    }
    const bool is_too_long =
        is_every_link_held(group, *pending) ||
        (shares_fairly_ ? !enqueue_fairly(group, pending, configuration_.organisations, now)
                        : is_expected_wait_too_long(group, *pending, now));
    if (is_too_long) {
        refuse(group, pending, pending->get_refusal_code(), "the queue is too long");
    } else if (!shares_fairly_) {
        enqueue(group, pending);
    }
}

bool session_engine::is_beyond_limit(const target_group& group, const pending_statement& pending,
                                     std::int64_t max_wait_ms, std::int64_t now) const {
    const std::int64_t limit = std::min(get_wait_limit(group, pending, now), max_wait_ms);
    return gate_ != nullptr && pending.is_waiting_for_grant &&
           gate_->is_hopeless(pending, limit - (now - pending.arrived_at), now);
}

std::shared_ptr<target_link> session_engine::find_control_link(const std::string& group,
                                                               const std::string& target) {
    const target_state* found = find_target(group, target);
    return found == nullptr ? nullptr : link_pool::find_idle(*found);
}

void session_engine::dispatch(const std::string& name) {
    // Before queued statements take the idle connections: few control statements wait, and a change
    // of the primary depends on them.
    control_.use_idle_links();
    const auto found = groups_.find(name);
    if (found == groups_.end()) {
        return;
    }
    target_group& group = found->second;
    group.pace_promotion();
    if (shares_fairly_) {
        arrange_fairly(group, configuration_.organisations, transport::get_boot_time());
    }
    // Assigning a statement may submit others again, so the queue is moved out first.
    std::vector<pending_statement_ptr> queue;
    queue.swap(group.queue);
    for (const pending_statement_ptr& pending : queue) {
        if (!pending->is_settled && assign(group, pending) == assignment::must_wait) {
            group.queue.push_back(pending);
        }
    }
    if (!shares_fairly_) {
        arrange(group);
    }
}

session_engine::assignment session_engine::assign(target_group& group,
                                                  const pending_statement_ptr& pending) {
    if (const std::int64_t now = transport::get_boot_time(); gate_ && !pending->is_relayed()) {
        // A grant would expire unused while no target may run the statement.
        if (!is_runnable(group, *pending, now) || !gate_->allow(pending, now)) {
            return assignment::must_wait;
        }
    }
    if (pending->is_relayed()) {
        return assign_relayed(group, pending);
    }
    return pending->needs_primary ? assign_to_primary(group, pending) : assign_read(group, pending);
}

session_engine::assignment session_engine::assign_to_primary(target_group& group,
                                                             const pending_statement_ptr& pending) {
    const std::int64_t now = transport::get_boot_time();
    const auto record = group.lease.get_usable(now);
    target_state* target = record ? find_target(group.name, record->target) : nullptr;
    if (target == nullptr || now < target->unreachable_until) {
        return assignment::must_wait;
    }
    const std::shared_ptr<target_link> link = links_.find(*target, *pending);
    if (!link) {
        return assignment::must_wait;
    }
    run(group, pending, link, std::nullopt);
    return assignment::sent;
}

session_engine::assignment session_engine::assign_read(target_group& group,
                                                       const pending_statement_ptr& pending) {
    const std::int64_t now = transport::get_boot_time();
    if (now - pending->last_sent_at >= retry_delay_ms && is_every_target_avoided(group, *pending)) {
        pending->avoided_targets.clear();
    }
    const std::optional<state::log_point> required = get_required_position(group, *pending);
    const std::vector<read_candidate> candidates = list_read_candidates(
        group, *pending, required,
        [this](const std::string& place) { return get_round_trip_ms(place); }, now);
    for (const read_candidate& candidate : candidates) {
        if (const auto link = links_.find(*candidate.target, *pending)) {
            run(group, pending, link, candidate.is_primary ? std::nullopt : required);
            return assignment::sent;
        }
    }
    return assignment::must_wait;
}

session_engine::assignment session_engine::assign_relayed(target_group& group,
                                                          const pending_statement_ptr& pending) {
    const std::int64_t now = transport::get_boot_time();
    target_state* target = find_target(group.name, *pending->target);
    const auto record = group.lease.get_usable(now);
    const bool is_lease_missing =
        pending->needs_primary && (!record || record->target != *pending->target);
    if (target != nullptr && is_lease_missing &&
        now - pending->arrived_at < get_not_runnable_wait(group, pending->wait_ms, now) &&
        !group.lease.get_record()) {
        return assignment::must_wait;  // This VM has just started.
    }
    if (target == nullptr || target->removed_at != 0 || is_lease_missing) {
        refuse(group, pending, failure_code::busy,
               is_lease_missing ? "no right to this primary" : "no such target");
        return assignment::refused;
    }
    const std::shared_ptr<target_link> link =
        now < target->unreachable_until ? nullptr : links_.find_direct(*target, *pending);
    if (!link) {
        return assignment::must_wait;
    }
    run(group, pending, link, pending->required_position);
    return assignment::sent;
}

std::int64_t session_engine::get_round_trip_ms(const std::string& place) const {
    if (place == place_) {
        return 0;
    }
    const auto& regions = std::as_const(links_).get_planner().get_input().place_regions;
    const auto own = regions.find(place_);
    const auto other = regions.find(place);
    const bool is_same_region =
        own != regions.end() && other != regions.end() && own->second == other->second;
    return is_same_region ? 1 : region_round_trip_ms;
}

void session_engine::handle_answer(const std::string& group_name, const std::string& id,
                                   const target_ready& ready, std::int64_t sent_at) {
    target_state* target = find_target(group_name, id);
    if (target == nullptr) {
        return;
    }
    const std::int64_t now = transport::get_boot_time();
    target->note_alive(now);
    if (!ready.position) {
        return;
    }
    target->term = std::max(target->term, ready.position->term);
    target->position = ready.position;
    target->positioned_at = now;
    target_group& group = groups_[group_name];
    const auto record = group.lease.get_usable(now);
    // The lease must have been valid when the request was sent. It was if it is valid now and its
    // record is older than the request, which holds while the term is the record's.
    if (record && record->target == id && record->term == ready.position->term) {
        group.history.add(*ready.position, sent_at);
    }
}

void session_engine::log_prepared(const target_link& link, const link_request& request) {
    for (const coordination::setup_step& step : request.setup) {
        if (const auto* prepare = std::get_if<coordination::prepare_step>(&step)) {
            log_.write(event_statement_prepared,
                       {{"target", link.get_target()},
                        {"home", link.is_relayed() ? link.get_home() : "none"},
                        {"link", std::to_string(link.get_number())},
                        {"name", prepare->name}});
        }
    }
}

void session_engine::send(const caller_session& session, const std::shared_ptr<target_link>& link,
                          const caller_statement& statement,
                          const std::optional<caller_statement>& begin,
                          const std::optional<state::log_point>& required_position,
                          std::function<bool()> may_send, target_link::answer_callback done,
                          const std::string& limits) {
    link_request request =
        make_link_request(protocol_, session, *link, statement, begin, required_position);
    request.limits = limits;
    request.may_send = std::move(may_send);
    log_prepared(*link, request);
    link->send(std::move(request), std::move(done));
}

void session_engine::run(target_group& group, const pending_statement_ptr& pending,
                         const std::shared_ptr<target_link>& link,
                         const std::optional<state::log_point>& required_position) {
    const std::int64_t now = transport::get_boot_time();
    const auto& record = group.lease.get_record();
    const bool is_at_primary = record && record->target == link->get_target();
    (pending->needs_primary ? counters_.writes
     : is_at_primary        ? counters_.reads_at_primaries
                            : counters_.reads_at_replicas)
        .Increment();
    ++pending->attempts;
    pending->last_sent_at = now;
    pending->links.push_back(link);
    pending->outstanding_links.push_back(link);
    group.running.push_back(pending);
    if (shares_fairly_) {
        group.turns.add_sent(pending->target_route.priority, pending->organisation, now);
    }
    const state::term_number term = record ? record->term : 0;
    const std::string name = group.name;
    std::string limits;
    if (link->is_relayed()) {
        limits = protocol_.format_relay_limits(
            {get_relay_wait(*pending, now), pending->target_route.priority, pending->organisation});
    }
    const auto is_sent = std::make_shared<bool>(false);
    send(
        *pending->session, link, pending->statement, pending->begin, required_position,
        [pending, is_sent] {
            if (pending->is_settled || pending->is_withdrawn ||
                is_grant_expired(*pending, transport::get_boot_time())) {
                return false;
            }
            *is_sent = true;
            ++pending->sent;
            return true;
        },
        [this, name, pending, link, term, is_sent](const target_answer& answer) {
            pending->sent -= *is_sent ? 1 : 0;
            finish(name, pending, link, term, answer);
        },
        limits);
}

void session_engine::finish(const std::string& group_name, const pending_statement_ptr& pending,
                            const std::shared_ptr<target_link>& link, state::term_number term,
                            const target_answer& answer) {
    target_group& group = groups_[group_name];
    const std::int64_t now = transport::get_boot_time();
    std::erase_if(pending->outstanding_links,
                  [&](const std::weak_ptr<target_link>& entry) { return entry.lock() == link; });
    const auto entry = std::find(group.running.begin(), group.running.end(), pending);
    if (entry != group.running.end()) {
        group.running.erase(entry);
    }
    target_state* target = find_target(group_name, link->get_target());
    if (target != nullptr) {
        target->note_answer(*link, answer, now);
    }
    if (pending->is_settled) {
        roll_back_unpinned(link);
        dispatch(group_name);
        return;
    }
    const bool is_superseded = answer.completion && pending->needs_primary &&
                               !pending->is_idempotent && !pending->begin &&
                               !may_acknowledge_commit(group_name, link->get_target(), term);
    pending->is_in_doubt = pending->is_in_doubt || answer.is_lost || is_superseded;
    if (answer.failure && answer.failure->code == failure_code::unknown_prepared) {
        link->get_session_state().invalidate();
    }
    if (target != nullptr) {
        target->note_outcome(answer, now);
    }
    if (answer.is_lost || is_superseded) {
        log_lost_answer(*pending->session, pending->statement, link->get_target(), false);
    }
    const bool is_failure = answer.is_lost || is_superseded || answer.failure;
    if (!is_failure) {
        counters_.statement_seconds.Observe(static_cast<double>(now - pending->arrived_at) / 1000);
        settle(group, pending);
        pending->session->complete(pending, answer, link);
        roll_back_unpinned(link);
    } else {
        pending->avoided_targets.insert(link->get_target());
        if (link->is_relayed()) {
            pending->avoided_homes.insert(link->get_home());
        }
        roll_back_unpinned(link);
        if (!pending->outstanding_links.empty()) {
            // The other target may still answer.
        } else if (may_retry(*pending, answer)) {
            counters_.retries.Increment();
            log_.write(event_statement_retried,
                       {{"id", pending->statement.id},
                        {"target", link->get_target()},
                        {"reason", !answer.failure   ? "lost"
                                   : answer.was_sent ? answer.failure->raw_code
                                                     : answer.failure->text},
                        {"attempt", std::to_string(pending->attempts)}});
            submit(pending);
        } else if (answer.failure) {
            log_.write(event_statement_failed,
                       {{"id", pending->statement.id},
                        {"target", link->get_target()},
                        {"reason", answer.was_sent ? answer.failure->raw_code : "not_sent"},
                        {"text", answer.failure->text}});
            settle(group, pending);
            target_answer failed = answer;
            if (pending->begin) {
                failed.ready.state = transaction_state::failed;
            }
            pending->session->complete(pending, failed, link);
        } else {
            refuse(group, pending,
                   pending->is_idempotent || pending->begin ? failure_code::aborted
                                                            : failure_code::in_doubt,
                   "no answer from the target");
        }
    }
    dispatch(group_name);
}

bool session_engine::may_retry(const pending_statement& pending,
                               const target_answer& answer) const {
    const std::int64_t waited = transport::get_boot_time() - pending.arrived_at;
    if (pending.is_withdrawn) {
        return false;
    }
    if (pending.is_relayed()) {
        return false;  // The VM that forwarded it decides about retries.
    }
    if (pending.attempts >= max_attempts || waited >= get_timeout(pending)) {
        return false;
    }
    if (answer.failure && is_not_run(answer.failure->code)) {
        return true;
    }
    return pending.is_safe_to_repeat() && !answer.failure;
}

void session_engine::settle(target_group& group, const pending_statement_ptr& pending) {
    pending->is_settled = true;
    std::erase(group.queue, pending);
}

void session_engine::refuse(target_group& group, const pending_statement_ptr& pending,
                            failure_code code, const std::string& reason) {
    counters_.refusals.Increment();
    const std::int64_t now = transport::get_boot_time();
    const auto& record = group.lease.get_record();
    std::string sent_to;
    for (const std::weak_ptr<target_link>& weak : pending->links) {
        const std::shared_ptr<target_link> link = weak.lock();
        sent_to += (sent_to.empty() ? "" : ",") + (link ? link->get_target() : "ended");
    }
    log_.write(event_statement_refused,
               {{"id", pending->statement.id},
                {"sent_to", sent_to},
                {"caller", pending->session->get_caller()},
                {"organisation", pending->organisation},
                {"reason", reason},
                {"waited_ms", std::to_string(now - pending->arrived_at)},
                {"attempts", std::to_string(pending->attempts)},
                {"needs_primary", pending->needs_primary ? "yes" : "no"},
                {"primary", record ? record->target : "none"},
                {"record_version", record ? std::to_string(record->version) : "0"},
                {"right_left_ms", std::to_string(group.lease.get_end() - now)}});
    settle(group, pending);
    pending->session->refuse(pending, {code, {}, reason});
}

void session_engine::roll_back_unpinned(const std::shared_ptr<target_link>& link) {
    if (link->is_idle() && !link->is_pinned() && link->get_state() != transaction_state::idle) {
        release_pinned(link);
    }
}

void session_engine::release_pinned(const std::shared_ptr<target_link>& link) {
    link->set_pinned(false);
    if (!link->is_open()) {
        return;
    }
    const auto group = group_of_target_.find(link->get_target());
    const std::string name = group == group_of_target_.end() ? "" : group->second;
    if (!link->is_idle()) {
        // A statement is running without its caller; only closing the connection stops it.
        link->close("its caller has left");
    } else if (link->get_state() != transaction_state::idle) {
        link->send(protocol_.format_rollback(), [this, name, link](const target_answer&) {
            if (link->get_state() != transaction_state::idle) {
                link->close("its transaction was not rolled back");
            }
            dispatch(name);
        });
    }
    dispatch(name);
}

state::term_number session_engine::get_term(const std::string& group) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.lease.get_record()
               ? found->second.lease.get_record()->term
               : 0;
}

bool session_engine::may_acknowledge_commit(const std::string& group, const std::string& target,
                                            state::term_number term) const {
    const auto found = groups_.find(group);
    if (found == groups_.end() || !found->second.lease.get_record()) {
        return false;
    }
    const coordination::primary_lease& lease = found->second.lease;
    return lease.get_record()->target == target && lease.get_record()->term == term &&
           transport::get_boot_time() <= lease.get_end() + commit_grace_ms;
}

int session_engine::count_active_links(const std::string& group, const std::string& target) const {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return 0;
    }
    const auto entry = found->second.targets.find(target);
    if (entry == found->second.targets.end()) {
        return 0;
    }
    return static_cast<int>(
        std::count_if(entry->second.links.begin(), entry->second.links.end(), [](const auto& link) {
            return link->is_open() && (link->is_pinned() || !link->is_idle());
        }));
}

void session_engine::close_target_links(const std::string& group, const std::string& target) {
    target_state* found = find_target(group, target);
    if (found == nullptr) {
        return;
    }
    link_pool::close_all(*found);
}

void session_engine::tick() {
    const std::int64_t now = transport::get_boot_time();
    links_.update_homes(groups_);
    for (auto& [name, group] : groups_) {
        for (auto& [id, target] : group.targets) {
            links_.trim(target, now);
        }
        hedge(group, now);
        expire(group, now);
        dispatch(name);
    }
    control_.update(now);
    enforce_time_limits(now);
    log_.flush();
}

void session_engine::enforce_time_limits(std::int64_t now) {
    // Collect the overdue sessions first: ending a transaction may close its session and so change
    // sessions_. Only a few of several thousand sessions are overdue at a time.
    std::vector<std::shared_ptr<caller_session>> overdue;
    for (const auto& [key, session] : sessions_) {
        if (session->is_overdue(now, configuration_.transaction_idle_ms)) {
            overdue.push_back(session);
        }
    }
    for (const std::shared_ptr<caller_session>& session : overdue) {
        session->enforce_time_limit(now, configuration_.transaction_idle_ms);
    }
}

void session_engine::expire(target_group& group, std::int64_t now) {
    const std::vector<pending_statement_ptr> queue = group.queue;
    for (const pending_statement_ptr& pending : queue) {
        if (pending->is_settled) {
            std::erase(group.queue, pending);
            continue;
        }
        const bool is_long = now - pending->arrived_at >= max_grant_wait_ms;
        if (is_long && is_beyond_limit(group, *pending, max_kept_grant_wait_ms, now)) {
            gate_->count_refused(*pending);
            refuse(group, pending, pending->get_refusal_code(), limit_reached);
            continue;
        }
        const bool is_not_runnable =
            !pending->is_relayed() && pending->attempts == 0 && !is_runnable(group, *pending, now);
        const std::int64_t limit = is_not_runnable
                                       ? get_not_runnable_wait(group, get_objective(*pending), now)
                                       : get_wait_limit(group, *pending, now);
        if (now - pending->arrived_at >= limit) {
            if (pending->is_waiting_for_grant && gate_ != nullptr) {
                gate_->count_refused(*pending);
            }
            refuse(group, pending, pending->get_refusal_code(),
                   pending->is_waiting_for_grant ? limit_reached
                   : !is_not_runnable            ? "no connection became free"
                   : pending->needs_primary      ? "no primary may be used"
                                                 : "no position is recent enough");
        }
    }
    const std::vector<pending_statement_ptr> running = group.running;
    for (const pending_statement_ptr& pending : running) {
        if (now - pending->arrived_at < get_answer_limit(*pending)) {
            continue;
        }
        if (!pending->is_settled) {
            refuse(group, pending, pending->get_unanswered_code(), "no answer in time");
        }
        // Connections are scarce, and nobody waits for the answer any more. Closing one changes the
        // list.
        const std::vector<std::weak_ptr<target_link>> unanswered = pending->outstanding_links;
        for (const std::weak_ptr<target_link>& weak : unanswered) {
            const std::shared_ptr<target_link> link = weak.lock();
            if (link && !link->is_pinned()) {
                if (link->is_relayed()) {
                    links_.back_off(link->get_home(), now);
                }
                link->close("no answer in time");
            }
        }
    }
}

std::int64_t session_engine::get_not_runnable_wait(const target_group& group,
                                                   std::int64_t objective_ms,
                                                   std::int64_t now) const {
    return coordination::get_not_runnable_wait_ms(
        objective_ms, group.lease.get_record().has_value(), now - started_at_);
}

void session_engine::hedge(target_group& group, std::int64_t now) {
    const std::vector<pending_statement_ptr> running = group.running;
    for (const pending_statement_ptr& pending : running) {
        const bool is_due =
            pending->is_idempotent && !pending->is_settled && !pending->is_withdrawn &&
            !is_grant_expired(*pending, now) && pending->outstanding_links.size() == 1 &&
            pending->attempts < 2 &&
            now - pending->last_sent_at >= scale(get_objective(*pending), hedge_delay_fraction);
        if (!is_due) {
            continue;
        }
        if (const std::shared_ptr<target_link> silent = pending->outstanding_links.back().lock()) {
            pending->avoided_targets.insert(silent->get_target());
        }
        if (assign(group, pending) == assignment::sent) {
            counters_.hedges.Increment();
            log_.write(event_statement_hedged,
                       {{"id", pending->statement.id},
                        {"waited_ms", std::to_string(now - pending->arrived_at)}});
        }
    }
}

void session_engine::log_bad_input(const std::string& caller, const std::string& reason) {
    log_.write(event_bad_input, {{"caller", caller}, {"reason", reason}});
}

void session_engine::log_lost_answer(const caller_session& session,
                                     const caller_statement& statement, const std::string& target,
                                     bool is_commit) {
    counters_.lost_answers.Increment();
    log_.write(event_answer_lost, {{"id", statement.id},
                                   {"caller", session.get_caller()},
                                   {"target", target},
                                   {"commit", is_commit ? "yes" : "no"}});
}

}  // namespace hornbeamhook::gateway
