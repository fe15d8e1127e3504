#include "gateway/leadership_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

using coordination::leadership_record;

constexpr std::int64_t tick_ms = 40;  ///< Delays each step of a promotion by at most this.
/// Between requests to a member while a primary is suspected.
constexpr std::int64_t reachability_request_interval_ms = 100;
/// How long a planned change lets open transactions end.
constexpr std::int64_t drain_timeout_ms = 400;
/// Remaining lease time at which the store is read because promises did not extend the lease.
constexpr std::int64_t read_reserve_ms = 1000;
/// The same in a fleet with hubs, after members were asked for promises.
constexpr std::int64_t hub_read_reserve_ms = 250;
/// Remaining lease time at which members are asked for promises. Hubs renew a lease with a read
/// that is up to 1.1 s old, so reads have failed.
constexpr std::int64_t promise_reserve_ms = 650;
/// Answers usually arrive sooner, so that a connection is rarely opened only to probe.
constexpr std::int64_t probe_delay_ms = 250;
/// How long a target's read-only failure counts as a sign that it was demoted.
constexpr std::int64_t demotion_expiry_ms = 2000;
constexpr std::int64_t discovery_delay_ms = 1500;  ///< Discovery reflects a promotion within this.
/// A target that answered this VM within this time is alive, even if a report times out.
constexpr std::int64_t responsive_target_ms = 600;
/// An older position may be from before a restart that discovery does not show yet.
constexpr std::int64_t max_position_age_ms = 2000;
/// Between extra store reads after record notices.
constexpr std::int64_t min_early_read_interval_ms = 150;

}  // namespace

std::string format_record(const leadership_record& record) {
    return nlohmann::json{{"target", record.target},
                          {"term", record.term},
                          {"changer", record.changer},
                          {"era", record.era}}
        .dump();
}

std::optional<leadership_record> parse_record(const stored_row& row) {
    const nlohmann::json object = nlohmann::json::parse(row.value, nullptr, false);
    try {
        return leadership_record{object.at("target"), object.at("term"),
                                 object.contains("changer") ? object.at("changer") : "",
                                 row.version,
                                 // VMs of an earlier release write no era.
                                 object.value("era", coordination::get_era(row.version))};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

leadership_manager::leadership_manager(transport::event_loop& loop, session_engine& engine,
                                       store_client& store, const platform_protocol& platform,
                                       fleet_membership& fleet, peer_messenger& messenger,
                                       transport::http_channel& promotion_channel, bounded_log& log,
                                       gateway_counters& counters, std::function<void()> read_rows)
    : engine_(engine),
      store_(store),
      platform_(platform),
      fleet_(fleet),
      messenger_(messenger),
      promotion_channel_(promotion_channel),
      log_(log),
      counters_(counters),
      read_rows_(std::move(read_rows)),
      timer_(loop) {
    timer_.start(tick_ms, tick_ms, [this] { tick(); });
}

std::string leadership_manager::get_changer() const {
    return fleet_.get_self().vm + "/" + std::to_string(fleet_.get_self().incarnation);
}

void leadership_manager::update_era(std::int64_t era, std::int64_t now) {
    if (era <= era_ && era_since_ != 0) {
        return;
    }
    if (era_ != 0) {
        restored_at_ = now;
    }
    era_ = era;
    era_since_ = now;
}

void leadership_manager::apply_records(const std::vector<stored_row>& rows,
                                       std::int64_t requested_at, std::int64_t era) {
    if (final_promises_) {
        return;
    }
    update_era(era, transport::get_boot_time());
    store_read_at_ = std::max(store_read_at_, requested_at);
    const std::string_view prefix = group_key_prefix;
    std::set<std::string> listed;
    for (const stored_row& row : rows) {
        const auto record = row.key.starts_with(prefix) ? parse_record(row) : std::nullopt;
        if (record) {
            const std::string name = row.key.substr(prefix.size());
            listed.insert(name);
            apply_record(name, *record, requested_at);
        }
    }
    std::vector<std::pair<std::string, leadership_record>> lost;
    for (const auto& [name, group] : engine_.get_groups()) {
        const auto& record = group.lease.get_record();
        if (record && !listed.contains(name)) {
            lost.emplace_back(name, coordination::make_lost_record(*record, era));
        }
    }
    for (const auto& [name, record] : lost) {
        apply_record(name, record, requested_at);
    }
    tick();
}

void leadership_manager::apply_record(const std::string& name, const leadership_record& record,
                                      std::int64_t requested_at) {
    const std::int64_t now = transport::get_boot_time();
    target_group& group = engine_.get_groups()[name];
    group.name = name;
    const auto known = group.lease.get_record();
    if (record.is_restored()) {
        group.lease.restore(record, now);
    } else {
        group.lease.confirm(record, requested_at);
    }
    if (!known || known->version != group.lease.get_record()->version) {
        group_status& status = group_statuses_[name];
        status.record_received_at = now;
        status.reachability_answers.clear();
        status.suspect_since = 0;
        log_.write(event_record_changed, {{"group", name},
                                          {"target", record.target},
                                          {"term", std::to_string(record.term)},
                                          {"changer", record.changer},
                                          {"version", std::to_string(record.version)},
                                          {"restored", record.is_restored() ? "yes" : "no"}});
        if (known && known->target != group.lease.get_record()->target) {
            engine_.close_target_links(name, known->target);
        }
    }
    engine_.dispatch(name);
}

void leadership_manager::confirm_records(std::int64_t requested_at) {
    if (final_promises_) {
        return;
    }
    store_read_at_ = std::max(store_read_at_, requested_at);
    for (auto& [name, group] : engine_.get_groups()) {
        if (const auto record = group.lease.get_record()) {
            group.lease.confirm(*record, requested_at);
        }
    }
}

void leadership_manager::extend_leases() {
    if (final_promises_) {
        return;
    }
    for (auto& [name, group] : engine_.get_groups()) {
        const auto status = group_statuses_.find(name);
        const bool is_changing =
            status != group_statuses_.end() &&
            status->second.promotion.get_phase() != coordination::promotion_phase::watching;
        const auto& record = group.lease.get_record();
        const auto since = record ? fleet_.get_promised_since(name, record->version) : std::nullopt;
        if (since && !is_changing) {
            group.lease.extend(*since);
        }
    }
}

void leadership_manager::release_leases() {
    const std::int64_t now = transport::get_boot_time();
    for (auto& [name, group] : engine_.get_groups()) {
        group.lease.expire();
        check_lease(group, group_statuses_[name], now);
    }
}

void leadership_manager::retire() {
    final_promises_ = get_promises();
    timer_.stop();
    for (auto& [name, group] : engine_.get_groups()) {
        if (const auto record = group.lease.get_record()) {
            group.lease.revoke(record->version);
            engine_.close_target_links(name, record->target);
        }
    }
}

std::vector<record_promise> leadership_manager::get_promises() const {
    if (final_promises_) {
        return *final_promises_;
    }
    std::vector<record_promise> result;
    for (const auto& [name, group] : engine_.get_groups()) {
        const auto status = group_statuses_.find(name);
        const bool is_changing =
            status != group_statuses_.end() &&
            status->second.promotion.get_phase() != coordination::promotion_phase::watching;
        const auto& record = group.lease.get_record();
        if (!is_changing && record && !record->is_changing() && !group.lease.is_in_doubt() &&
            !group.lease.is_revoked()) {
            result.push_back({name, record->version});
        }
    }
    return result;
}

void leadership_manager::apply_positions(const std::vector<known_position>& positions,
                                         std::int64_t requested_at) {
    for (const known_position& entry : positions) {
        const auto group = engine_.get_groups().find(entry.group);
        if (group == engine_.get_groups().end()) {
            continue;
        }
        const auto& record = group->second.lease.get_record();
        if (entry.age_ms >= 0 && record && record->term == entry.point.term) {
            group->second.history.add(entry.point, requested_at - entry.age_ms);
        }
    }
}

std::vector<known_position> leadership_manager::get_positions() const {
    std::vector<known_position> result = get_known_positions();
    std::erase_if(result, [this](const known_position& position) {
        const target_state* primary = engine_.get_groups().at(position.group).find_primary();
        // The primary's homes learn its position first; other VMs would only repeat it.
        return primary != nullptr && !primary->plan.homes.empty() &&
               !primary->plan.is_home(fleet_.get_self().vm);
    });
    return result;
}

std::vector<known_position> leadership_manager::get_known_positions() const {
    const std::int64_t now = transport::get_boot_time();
    std::vector<known_position> result;
    for (const auto& [name, group] : engine_.get_groups()) {
        if (const auto newest = group.history.get_newest()) {
            result.push_back({name, *newest, now - group.history.get_newest_requested_at()});
        }
    }
    return result;
}

bool leadership_manager::has_any_lease() const {
    const std::int64_t now = transport::get_boot_time();
    const auto& groups = engine_.get_groups();
    return std::any_of(groups.begin(), groups.end(), [now](const auto& entry) {
        return entry.second.lease.get_usable(now).has_value();
    });
}

bool leadership_manager::is_any_lease_ending(std::int64_t reserve_ms) const {
    const std::int64_t now = transport::get_boot_time();
    const auto& groups = engine_.get_groups();
    return std::any_of(groups.begin(), groups.end(), [&](const auto& entry) {
        const coordination::primary_lease& lease = entry.second.lease;
        return lease.get_record() && lease.get_end() - now < reserve_ms;
    });
}

bool leadership_manager::is_read_due(bool has_hubs) const {
    if (has_hubs) {
        return is_any_lease_ending(hub_read_reserve_ms);
    }
    const std::int64_t now = transport::get_boot_time();
    const auto& groups = engine_.get_groups();
    return groups.empty() || is_any_lease_ending(read_reserve_ms) ||
           std::any_of(groups.begin(), groups.end(),
                       [now](const auto& entry) { return !entry.second.lease.get_usable(now); });
}

bool leadership_manager::needs_promises() const {
    return is_any_lease_ending(promise_reserve_ms);
}

void leadership_manager::tick() {
    const std::int64_t now = transport::get_boot_time();
    std::vector<std::string> names;
    for (auto& [name, group] : engine_.get_groups()) {
        group_status& status = group_statuses_[name];
        check_lease(group, status, now);
        check_revocation(group, status, now);
        check_suspicion(group, status, now);
        names.push_back(name);
    }
    for (const std::string& name : names) {
        step(name, coordination::input_changed{});
    }
}

void leadership_manager::check_lease(target_group& group, group_status& status, std::int64_t now) {
    const bool has_lease = group.lease.get_usable(now).has_value();
    if (has_lease == status.had_lease) {
        return;
    }
    status.had_lease = has_lease;
    const auto& record = group.lease.get_record();
    log_.write(has_lease ? event_right_gained : event_right_lost,
               {{"group", group.name},
                {"target", record ? record->target : "none"},
                {"version", record ? std::to_string(record->version) : "0"},
                {"store_read_ms_ago", std::to_string(now - store_read_at_)},
                {"revoked", group.lease.is_revoked() ? "yes" : "no"}});
    if (!has_lease && record && !status.pending_revocation) {
        // Other VMs no longer wait for this VM, so its transactions must not commit on this
        // primary.
        engine_.close_target_links(group.name, record->target);
    }
}

void leadership_manager::check_revocation(target_group& group, group_status& status,
                                          std::int64_t now) {
    if (!status.pending_revocation) {
        return;
    }
    const auto& record = group.lease.get_record();
    const bool is_drained = !record || engine_.count_active_links(group.name, record->target) == 0;
    const bool is_due = !status.pending_revocation->second.is_planned ||
                        now - status.revocation_at >= drain_timeout_ms;
    if (!is_drained && !is_due) {
        return;
    }
    if (record) {
        engine_.close_target_links(group.name, record->target);
    }
    const auto [from, message] = *status.pending_revocation;
    status.pending_revocation.reset();
    const revoke_answer answer{fleet_.get_self().vm, message.group, message.version,
                               fleet_.is_established(now)};
    if (from == fleet_.get_self().peer_address) {
        handle(answer);
    } else {
        messenger_.send(from, answer);
    }
}

void leadership_manager::handle(const transport::endpoint& from, const revoke_request& message) {
    if (final_promises_) {
        // A promoter that counted this answer would contradict the promises that stay valid.
        return;
    }
    target_group& group = engine_.get_groups()[message.group];
    group.name = message.group;
    group_status& status = group_statuses_[message.group];
    const std::int64_t now = transport::get_boot_time();
    if (status.revocation_version != message.version) {
        status.revocation_version = message.version;
        status.revocation_at = now;
        log_.write(event_right_revoked, {{"group", message.group},
                                         {"version", std::to_string(message.version)},
                                         {"planned", message.is_planned ? "yes" : "no"}});
    }
    if (!group.lease.revoke(message.version - 1)) {
        return;
    }
    status.pending_revocation = {from, message};
    // A request of this VM itself is answered in the next tick, not within the step that sent it.
    if (from != fleet_.get_self().peer_address) {
        check_revocation(group, status, now);
    }
}

void leadership_manager::handle(const revoke_answer& message) {
    step(message.group,
         coordination::lease_released{message.vm, message.version, message.is_established});
}

void leadership_manager::check_suspicion(target_group& group, group_status& status,
                                         std::int64_t now) {
    const auto& record = group.lease.get_record();
    target_state* primary = group.find_watched_primary();
    if (record ? record->is_changing() : primary == nullptr) {
        status.suspect_since = 0;
        return;
    }
    const std::string target = record ? record->target : primary->entry.id;
    if (std::exchange(status.watched, target) != target) {
        status.reachability_answers.clear();
        status.suspect_since = 0;
        status.silent_since = 0;
    }
    coordination::primary_contact contact;
    contact.is_listed = false;
    if (primary != nullptr) {
        contact = primary->get_contact();
        status.silent_since = coordination::update_silence_start(status.silent_since, contact, now);
        contact.waiting_since = status.silent_since;
        if (status.silent_since != 0 && now - primary->last_answer_at >= probe_delay_ms) {
            engine_.probe(*primary);
        }
    } else {
        contact.last_answer_at = status.record_received_at;
    }
    contact.last_answer_at = std::max(contact.last_answer_at, status.record_received_at);
    if (!coordination::is_primary_suspect(contact, now)) {
        status.suspect_since = 0;
        return;
    }
    if (status.suspect_since == 0) {
        status.suspect_since = now;
        log_.write(event_primary_suspected,
                   {{"group", group.name},
                    {"target", target},
                    {"answer_ms_ago", std::to_string(now - contact.last_answer_at)},
                    {"refused", contact.refused_since != 0 ? "yes" : "no"},
                    {"listed", contact.is_listed ? "yes" : "no"}});
    }
    if (now - status.reachability_requested_at >= reachability_request_interval_ms) {
        status.reachability_requested_at = now;
        for (const std::string& vm : get_loss_voters(group, now)) {
            messenger_.send(fleet_.get_members().at(vm).peer_address,
                            reachability_request{group.name, target});
        }
    }
}

std::set<std::string> leadership_manager::get_loss_voters(const target_group& group,
                                                          std::int64_t now) const {
    std::set<std::string> responsive = fleet_.get_responsive_members(now);
    const target_state* primary = group.find_watched_primary();
    if (primary == nullptr) {
        return responsive;
    }
    // Only homes hold connections to the target; the other VMs reach it through them.
    std::set<std::string> voters;
    for (const std::string& home : primary->plan.homes) {
        if (responsive.contains(home)) {
            voters.insert(home);
        }
    }
    return voters.empty() ? responsive : voters;
}

int leadership_manager::get_claim_rank(const target_group& group, std::int64_t now) const {
    const target_state* primary = group.find_watched_primary();
    if (primary == nullptr || primary->plan.homes.empty()) {
        return fleet_.get_rank(group.name, now);
    }
    const std::vector<std::string>& homes = primary->plan.homes;
    const auto own = std::find(homes.begin(), homes.end(), fleet_.get_self().vm);
    // Homes detect a loss first, so they rank before all other VMs.
    return own != homes.end() ? static_cast<int>(own - homes.begin())
                              : static_cast<int>(homes.size()) + fleet_.get_rank(group.name, now);
}

void leadership_manager::handle(const transport::endpoint& from,
                                const reachability_request& message) {
    const std::int64_t now = transport::get_boot_time();
    const auto group = engine_.get_groups().find(message.group);
    if (group == engine_.get_groups().end()) {
        return;
    }
    reachability_answer answer{fleet_.get_self().vm, message.group, message.target, 0, false};
    const auto entry = group->second.targets.find(message.target);
    if (entry == group->second.targets.end()) {
        answer.is_lost = true;
    } else {
        constexpr std::int64_t recent_ms = 150;
        answer.age_ms = now - entry->second.last_answer_at;
        if (answer.age_ms > recent_ms) {
            engine_.probe(entry->second);
        }
        answer.is_lost =
            group_statuses_[message.group].suspect_since != 0 || entry->second.removed_at != 0;
    }
    messenger_.send(from, answer);
}

void leadership_manager::handle(const reachability_answer& message) {
    const auto group = engine_.get_groups().find(message.group);
    const target_state* primary =
        group == engine_.get_groups().end() ? nullptr : group->second.find_watched_primary();
    if (primary == nullptr || primary->entry.id != message.target) {
        return;
    }
    group_statuses_[message.group].reachability_answers[message.vm] = {transport::get_boot_time(),
                                                                       message.is_lost};
}

void leadership_manager::handle(const record_notice& message) {
    const std::int64_t now = transport::get_boot_time();
    const auto group = engine_.get_groups().find(message.group);
    group_status& status = group_statuses_[message.group];
    const bool is_known = group != engine_.get_groups().end() && group->second.lease.get_record() &&
                          group->second.lease.get_record()->version >= message.version;
    if (!is_known && now - status.early_read_at >= min_early_read_interval_ms) {
        status.early_read_at = now;
        read_rows_();
    }
}

bool leadership_manager::is_claim_allowed(std::int64_t now) const {
    const auto listed_since = fleet_.get_listed_since();
    // A VM that left the list before this one joined, or whose row was lost in a restore, may hold
    // a lease unknown to this VM.
    constexpr std::int64_t lease_wait_ms =
        coordination::lease_duration_ms + coordination::clock_drift_margin_ms;
    return listed_since && now - *listed_since >= lease_wait_ms &&
           (restored_at_ == 0 || now - restored_at_ >= lease_wait_ms);
}

bool leadership_manager::is_store_read_recent(std::int64_t now) const {
    return store_read_at_ != 0 && now - store_read_at_ <= coordination::max_record_age_ms;
}

bool leadership_manager::is_primary_leaving(const target_group& group) const {
    const target_state* primary = group.find_primary();
    return primary != nullptr && primary->removed_at == 0 && primary->entry.is_leaving;
}

bool leadership_manager::is_primary_demoted(const target_group& group, const group_status& status,
                                            std::int64_t now) const {
    const target_state* primary = group.find_primary();
    if (primary == nullptr) {
        return false;
    }
    const bool was_read_only = primary->read_only_at > status.record_received_at &&
                               now - primary->read_only_at <= demotion_expiry_ms;
    const bool is_listed_replica = primary->removed_at == 0 && !primary->entry.is_primary &&
                                   now - status.record_received_at >= discovery_delay_ms;
    return was_read_only || is_listed_replica;
}

bool leadership_manager::is_idle(const target_group& group, const group_status& status,
                                 std::int64_t now) const {
    const auto& record = group.lease.get_record();
    return status.promotion.get_phase() == coordination::promotion_phase::watching && record &&
           !record->is_changing() && !record->is_restored() && status.suspect_since == 0 &&
           !is_primary_leaving(group) && !is_primary_demoted(group, status, now);
}

std::optional<int> leadership_manager::get_first_record_rank(const target_group& group,
                                                             std::int64_t now) const {
    const target_state* primary = group.find_listed_primary();
    if (primary == nullptr || !is_claim_allowed(now) || !is_store_read_recent(now)) {
        return std::nullopt;
    }
    if (!primary->plan.homes.empty() && !primary->plan.is_home(fleet_.get_self().vm)) {
        // Other VMs do not connect to the target. A lost home is replaced by the next plan.
        return std::nullopt;
    }
    return get_claim_rank(group, now);
}

bool leadership_manager::prepare_first_record(target_group& group, group_status& status,
                                              std::int64_t now) {
    if (!status.first_record_turn.is_due(get_first_record_rank(group, now), now)) {
        return false;
    }
    for (auto& [id, target] : group.targets) {
        if (target.entry.is_primary && target.term == 0) {
            engine_.probe(target);
        }
    }
    return true;
}

coordination::promotion_input leadership_manager::get_promotion_input(const target_group& group,
                                                                      const group_status& status,
                                                                      std::int64_t now) const {
    coordination::promotion_input input;
    input.changer = get_changer();
    input.record = group.lease.get_record();
    input.era = era_;
    input.era_since = era_since_;
    input.has_lease = group.lease.get_usable(now).has_value();
    input.revoked_version = group.lease.get_revoked_version();
    input.is_record_fresh = is_store_read_recent(now);
    input.may_claim = is_claim_allowed(now);
    input.is_established = fleet_.is_established(now);
    input.is_loss_confirmed =
        status.suspect_since != 0 &&
        coordination::is_loss_confirmed(status.suspect_since, get_loss_voters(group, now),
                                        status.reachability_answers, input.is_record_fresh, now);
    input.members_requested_at = store_read_at_;
    for (const auto& [id, target] : group.targets) {
        if (target.removed_at != 0) {
            continue;
        }
        input.targets.insert(id);
        if (!target.entry.is_leaving) {
            input.candidates.insert(id);
        }
        if (now - target.last_answer_at < responsive_target_ms) {
            const bool is_recent = now - target.positioned_at < max_position_age_ms;
            input.responsive_targets[id] = is_recent ? target.position : std::nullopt;
        }
        if (target.entry.is_primary) {
            input.listed_primaries.insert(id);
            if (target.term != 0) {
                input.discovered_primary = {id, target.term};
            }
        }
    }
    const target_state* watched = input.record ? nullptr : group.find_watched_primary();
    if (watched != nullptr) {
        input.unrecorded_primary = {watched->entry.id, watched->term};
    }
    input.is_primary_leaving = is_primary_leaving(group);
    input.is_primary_demoted = is_primary_demoted(group, status, now);
    return input;
}

void leadership_manager::step(const std::string& name, const coordination::promotion_event& event) {
    const std::int64_t now = transport::get_boot_time();
    const auto group = engine_.get_groups().find(name);
    if (final_promises_ || group == engine_.get_groups().end()) {
        return;
    }
    group_status& status = group_statuses_[name];
    const auto& record = group->second.lease.get_record();
    const bool is_tick = std::holds_alternative<coordination::input_changed>(event);
    if (is_tick && !record && !prepare_first_record(group->second, status, now) &&
        status.suspect_since == 0) {
        return;
    }
    const bool was_idle = status.idle_version != 0;
    const std::int64_t idle_version = is_idle(group->second, status, now) ? record->version : 0;
    const bool is_unchanged = was_idle && status.idle_version == idle_version;
    status.idle_version = idle_version;
    if (is_unchanged && is_tick) {
        return;  // The input below iterates over targets and the fleet, and this function runs 25
                 // times a second for each group.
    }
    const auto before = status.promotion.get_phase();
    auto input = get_promotion_input(group->second, status, now);
    input.rank = get_claim_rank(group->second, now);
    input.members = fleet_.get_lease_holders(now);
    const auto actions = status.promotion.step(input, event, now);
    if (status.promotion.get_phase() != before) {
        log_.write(event_promotion_step,
                   {{"group", name},
                    {"from", std::to_string(static_cast<int>(before))},
                    {"to", std::to_string(static_cast<int>(status.promotion.get_phase()))},
                    {"claim", std::to_string(status.promotion.get_claim_version())},
                    {"members", std::to_string(input.members.size())},
                    {"rank", std::to_string(input.rank)}});
    }
    for (const coordination::promotion_action& action : actions) {
        std::visit([&](const auto& value) { execute(name, value); }, action);
    }
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::write_record& action) {
    const bool is_restored = action.expected != 0 && group_statuses_[name].promotion.get_phase() ==
                                                         coordination::promotion_phase::watching;
    const row_change change{
        {product_table, group_key_prefix + name, format_record(action.record), 0, false},
        action.expected,
        true};
    store_.change(platform_.format_change(change),
                  [this, name, write = action.write,
                   is_first = action.expected == 0 && !action.record.is_changing(),
                   is_notable = is_restored || action.expected == 0](
                      const transport::http_exchange_answer& answer) {
                      const store_answer parsed = platform_.parse_store_answer(answer);
                      if (parsed.outcome == store_outcome::done) {
                          if (is_first) {
                              send_first_record_notice(name, parsed.version);
                          } else if (is_notable) {
                              send_notice(name, parsed.version);
                          }
                          step(name, coordination::record_written{write, parsed.version});
                      } else if (parsed.outcome == store_outcome::conflict) {
                          step(name, coordination::record_written{write, std::nullopt});
                      } else {
                          step(name, coordination::record_unknown{write});
                      }
                      read_rows_();
                  });
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::request_lease_release& action) {
    for (const std::string& vm : action.members) {
        if (vm == fleet_.get_self().vm) {
            handle(fleet_.get_self().peer_address,
                   revoke_request{name, action.version, action.is_planned});
        }
        if (const auto address = fleet_.find_peer_address(vm)) {
            messenger_.send(*address, revoke_request{name, action.version, action.is_planned});
        }
    }
}

const target_entry* leadership_manager::find_entry(const std::string& group,
                                                   const std::string& target) const {
    const auto found = engine_.get_groups().find(group);
    if (found == engine_.get_groups().end()) {
        return nullptr;
    }
    const auto entry = found->second.targets.find(target);
    return entry == found->second.targets.end() ? nullptr : &entry->second.entry;
}

void leadership_manager::execute(const std::string& /*name*/,
                                 const coordination::read_store& /*action*/) {
    read_rows_();
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::request_report& action) {
    const target_entry* entry = find_entry(name, action.target);
    if (entry == nullptr) {
        return;
    }
    log_survey(name, action.survey, action.target, "asked", {});
    engine_.get_control().request_report(*entry, [this, name, number = action.survey,
                                                  target =
                                                      action.target](const report_answer& answer) {
        std::visit([&](const auto& value) { handle_report(name, number, target, value); }, answer);
    });
}

void leadership_manager::log_survey(const std::string& group, int survey, const std::string& target,
                                    const std::string& outcome, const std::string& position) {
    log_.write(event_promotion_survey, {{"group", group},
                                        {"survey", std::to_string(survey)},
                                        {"target", target},
                                        {"outcome", outcome},
                                        {"position", position}});
}

void leadership_manager::handle_report(const std::string& group, int survey,
                                       const std::string& target, const target_report& report) {
    log_survey(
        group, survey, target, "answered",
        std::to_string(report.received.term) + "." + std::to_string(report.received.position));
    step(group, coordination::report_received{
                    survey, target,
                    coordination::survey_report{report.is_primary, report.term, report.received,
                                                report.held_term}});
}

void leadership_manager::handle_report(const std::string& group, int survey,
                                       const std::string& target, const target_refusal& refusal) {
    log_survey(group, survey, target, "refused " + refusal.code, {});
    step(group, coordination::report_refused{survey, target});
}

void leadership_manager::handle_report(const std::string& group, int survey,
                                       const std::string& target,
                                       const target_silence& /*silence*/) {
    log_survey(group, survey, target, "no_answer", {});
    step(group, coordination::report_received{survey, target, std::nullopt});
}

void leadership_manager::execute(const std::string& name, const coordination::step_down& action) {
    engine_.close_target_links(name, action.target);
    if (const target_entry* entry = find_entry(name, action.target)) {
        engine_.get_control().send(*entry, engine_.get_protocol().format_step_down(action.term));
    }
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::resume_replica& action) {
    if (const target_entry* entry = find_entry(name, action.target)) {
        engine_.get_control().send(*entry, engine_.get_protocol().format_resume());
    }
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::request_promotion& action) {
    log_.write(
        event_promotion_step,
        {{"group", name}, {"order", action.target}, {"fence", std::to_string(action.fence)}});
    promotion_channel_.send(
        platform_.format_promotion(name, action.target, fleet_.get_self().vm, action.fence),
        [this, name, fence = action.fence](const transport::http_exchange_answer& answer) {
            coordination::promotion_outcome outcome = coordination::promotion_outcome::unknown;
            switch (platform_.parse_promotion_answer(answer)) {
                case promotion_answer::accepted:
                    outcome = coordination::promotion_outcome::accepted;
                    break;
                case promotion_answer::not_running:
                    outcome = coordination::promotion_outcome::not_running;
                    break;
                case promotion_answer::refused:
                    outcome = coordination::promotion_outcome::refused;
                    break;
                case promotion_answer::unknown:
                    break;
            }
            step(name, coordination::promotion_answered{fence, outcome});
        });
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::change_ended& action) {
    counters_.promotions.Increment();
    log_.write(event_promotion_ended, {{"group", name},
                                       {"reason", coordination::to_string(action.reason)},
                                       {"target", action.record.target},
                                       {"term", std::to_string(action.record.term)},
                                       {"version", std::to_string(action.record.version)},
                                       {"duration_ms", std::to_string(action.duration_ms)}});
    send_notice(name, action.record.version);
    read_rows_();
}

void leadership_manager::send_notice(const std::string& group, std::int64_t version) {
    for (const auto& [vm, member] : fleet_.get_members()) {
        messenger_.send(member.peer_address, record_notice{group, version});
    }
}

void leadership_manager::send_first_record_notice(const std::string& name, std::int64_t version) {
    const auto group = engine_.get_groups().find(name);
    const target_state* primary =
        group == engine_.get_groups().end() ? nullptr : group->second.find_listed_primary();
    if (primary == nullptr || primary->plan.homes.empty()) {
        send_notice(name, version);
        return;
    }
    for (const std::string& home : primary->plan.homes) {
        const auto member = fleet_.get_members().find(home);
        if (member != fleet_.get_members().end()) {
            messenger_.send(member->second.peer_address, record_notice{name, version});
        }
    }
}

void leadership_manager::execute(const std::string& name,
                                 const coordination::change_abandoned& action) {
    log_.write(event_promotion_abandoned, {{"group", name}, {"reason", action.message}});
}

}  // namespace hornbeamhook::gateway
