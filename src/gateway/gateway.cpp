#include "gateway/gateway.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "coordination/home_assignment.h"
#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t ping_interval_ms = 700;  ///< As often as a lease needs a store read.
/// Between attempts to write this VM's row.
constexpr std::int64_t registration_interval_ms = 500;
constexpr std::int64_t snapshot_request_interval_ms = 1000;
constexpr std::int64_t snapshot_timeout_ms = 800;
constexpr std::int64_t min_update_interval_ms = 200;  ///< Between update requests to a hub.
constexpr std::int64_t update_timeout_ms = 800;
/// After the notice of a new record; the hub has read it by then.
constexpr std::int64_t notice_delay_ms = 60;
/// The load balancer stops routing callers here after two failed readiness checks, one a second.
constexpr std::int64_t balancer_detection_ms = 2300;
constexpr std::int64_t shutdown_check_interval_ms = 50;
constexpr std::int64_t shutdown_margin_ms = 600;  ///< Before the process is killed.
/// Time to flush the log and exit before the process is killed.
constexpr std::int64_t exit_margin_ms = 200;
constexpr int departure_copies = 2;  ///< One datagram may be lost.
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

std::map<std::string, std::string> get_regions(const gateway_settings& settings) {
    return {settings.place_regions.begin(), settings.place_regions.end()};
}

std::int64_t get_unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

gateway::gateway(transport::event_loop& loop, gateway_settings settings,
                 const session_protocol& protocol, const platform_protocol& platform,
                 settings_reader read_settings)
    : loop_(loop),
      settings_(std::move(settings)),
      read_settings_(std::move(read_settings)),
      platform_(platform),
      log_(settings_.vm),
      fleet_({settings_.vm, get_unix_ms(), settings_.peer_address, settings_.control_address,
              settings_.place}),
      hubs_(fleet_.get_self()),
      engine_(loop, protocol, log_, counters_, settings_.vm, settings_.place,
              get_regions(settings_)),
      store_(loop, settings_.store_address, log_, counters_),
      watcher_(loop, store_, platform, log_,
               {.configuration_changed =
                    [this](const configuration& value) { engine_.set_configuration(value); },
                .target_changed =
                    [this](const std::string& id, const std::optional<target_entry>& entry) {
                        engine_.update_target(id, entry);
                    },
                .rows_read = [this](const std::vector<stored_row>& rows,
                                    std::int64_t requested_at) { apply_rows(rows, requested_at); },
                .rows_confirmed =
                    [this](std::int64_t requested_at) {
                        if (fleet_.is_self_listed()) {
                            leadership_.confirm_records(requested_at);
                            remove_lost_members(transport::get_boot_time());
                        }
                    },
                .is_read_due =
                    [this] {
                        return !fleet_.is_self_listed() ||
                               leadership_.is_read_due(hubs_.is_enabled());
                    }}),
      messenger_(loop, settings_.peer_address, counters_,
                 [this](const transport::endpoint& from, const peer_message& message) {
                     handle_message(from, message);
                 }),
      promotion_channel_(loop, settings_.promotion_address),
      leadership_(loop, engine_, store_, platform, fleet_, messenger_, promotion_channel_, log_,
                  counters_, [this] { watcher_.read_rows(); }),
      readiness_listener_(loop, settings_.readiness_address,
                          [this](const transport::http_call& call,
                                 const transport::http_listener::responder& respond) {
                              serve_readiness(call, respond);
                          }),
      control_listener_(loop, settings_.control_address,
                        [this](const transport::http_call& call,
                               const transport::http_listener::responder& respond) {
                            serve_control(call, respond);
                        }),
      peer_channels_(loop),
      ping_timer_(loop),
      hub_timer_(loop),
      notice_timer_(loop),
      stop_timer_(loop),
      limit_timer_(loop) {
    caller_listener_ = std::make_unique<transport::tcp_listener>(
        loop, settings_.caller_address,
        [this](const std::shared_ptr<transport::tcp_stream>& stream) {
            engine_.accept(stream, session_origin::caller);
        });
    peer_listener_ = std::make_unique<transport::tcp_listener>(
        loop, settings_.peer_address, [this](const std::shared_ptr<transport::tcp_stream>& stream) {
            engine_.accept(stream, session_origin::peer);
        });
}

void gateway::start() {
    engine_.set_identifies_callers(settings_.identifies_callers);
    engine_.set_shares_fairly(settings_.shares_fairly);
    engine_.set_paces_targets(settings_.paces_targets);
    const coordination::vm_limits limits =
        coordination::make_vm_limits(settings_.memory_mb, settings_.max_descriptors);
    engine_.get_caller_limits().set_limits(limits);
    engine_.get_answer_flow().set_limit(limits.answer_bytes);
    readiness_listener_.set_limits(limits.http_bytes, limits.http_connections);
    control_listener_.set_limits(limits.http_bytes, limits.http_connections);
    started_at_ = transport::get_boot_time();
    if (settings_.limits_operations) {
        start_limits();
    }
    next_seed_ = coordination::get_rendezvous_weight("seed", settings_.vm);
    log_.write(event_started, {{"place", settings_.place},
                               {"incarnation", std::to_string(fleet_.get_self().incarnation)},
                               {"version", HORNBEAMHOOK_VERSION}});
    signal_watchers_.push_back(
        std::make_unique<transport::signal_watcher>(loop_, SIGTERM, [this] { stop(); }));
    signal_watchers_.push_back(
        std::make_unique<transport::signal_watcher>(loop_, SIGHUP, [this] { reload(); }));
    watcher_.start();
    ping_timer_.start(ping_interval_ms, ping_interval_ms, [this] { maintain_fleet(); });
    hub_timer_.start(hub_request_interval_ms, hub_request_interval_ms,
                     [this] { send_hub_requests(); });
}

bool gateway::is_ready() const {
    return stopping_since_ == 0 && isolated_since_ == 0 &&
           watcher_.get_configuration_version() > 0 && watcher_.has_targets();
}

bool gateway::is_isolated() const {
    return fleet_.is_self_listed() && !store_.is_store_available() && !leadership_.has_any_lease();
}

void gateway::check_isolation() {
    const std::int64_t now = transport::get_boot_time();
    if (!is_isolated()) {
        if (isolated_since_ != 0) {
            log_.write(event_isolation_ended, {{"for_ms", std::to_string(now - isolated_since_)}});
        }
        isolated_since_ = 0;
        return;
    }
    if (isolated_since_ == 0) {
        isolated_since_ = now;
        log_.write(event_isolated, {{"sessions", std::to_string(engine_.count_sessions())}});
    }
    if (now - isolated_since_ >= balancer_detection_ms) {
        // Without leases and new positions this VM can serve little; callers reconnect to other
        // VMs.
        engine_.close_idle_sessions();
    }
}

void gateway::serve_readiness(const transport::http_call& call,
                              const transport::http_listener::responder& respond) {
    static_cast<void>(call);
    respond({.status = is_ready() ? status_ok : status_unavailable, .body = "{}"});
}

void gateway::serve_control(const transport::http_call& call,
                            const transport::http_listener::responder& respond) {
    if (call.path == "/metrics") {
        std::string text = counters_.format();
        if (limits_) {
            text += limits_->format_metrics();
        }
        respond({.status = status_ok, .body = std::move(text), .content_type = "text/plain"});
    } else if (call.path == "/internal/v1/snapshot") {
        respond({.status = status_ok, .body = watcher_.format_snapshot()});
    } else if (call.path == "/internal/v1/updates") {
        respond({.status = status_ok, .body = watcher_.format_updates(call.body)});
    } else if (call.path == "/internal/v1/store") {
        store_.serve_relayed(call, respond);
    } else {
        respond({.status = status_not_found, .body = "{}"});
    }
}

void gateway::apply_rows(const std::vector<stored_row>& rows, std::int64_t requested_at) {
    const std::int64_t now = transport::get_boot_time();
    const std::string_view prefix = member_key_prefix;
    std::vector<fleet_member> members;
    const bool was_self_listed = fleet_.is_self_listed();
    bool is_self_listed = false;
    for (const stored_row& row : rows) {
        const auto member = row.key.starts_with(prefix)
                                ? parse_member(row.key.substr(prefix.size()), row.value)
                                : std::nullopt;
        if (member) {
            members.push_back(*member);
            if (fleet_.is_self(*member)) {
                is_self_listed = true;
                own_row_version_ = row.version;
            }
        }
    }
    const auto [joined, left] = fleet_.update(members, is_self_listed, now);
    for (const std::string& vm : joined) {
        log_.write(event_member_joined, {{"member", vm}});
    }
    for (const std::string& vm : left) {
        log_.write(event_member_left, {{"member", vm}});
    }
    update_homes(now);
    if (!is_self_listed) {
        // Other VMs do not wait for an unlisted VM when they change a primary, so it has no leases.
        // After a restore of the store leases go on: no change can have ended without them.
        if (was_self_listed && watcher_.get_rows_era() == listed_era_) {
            leadership_.release_leases();
        }
        register_self();
        return;
    }
    listed_era_ = watcher_.get_rows_era();
    leadership_.apply_records(rows, requested_at, listed_era_);
    if ((!joined.empty() || !was_self_listed) && !hubs_.is_enabled()) {
        // The other VMs have to know that this one may hold leases now.
        send_pings();
    }
    remove_lost_members(now);
}

void gateway::update_homes(std::int64_t now) {
    const int size = static_cast<int>(fleet_.get_members().size()) + 1;
    const std::vector<fleet_member> live = fleet_.get_live_members(now);
    hubs_.update(live, size, store_.is_store_available(), now);
    engine_.set_fleet(live, size);
    if (limits_) {
        std::vector<std::string> names;
        names.reserve(live.size());
        for (const fleet_member& member : live) {
            names.push_back(member.vm);
        }
        limits_->set_members(names, fleet_.is_self_listed() ? size : 0, now);
    }
    watcher_.set_fleet_size(size);
    watcher_.set_confirming(hubs_.is_enabled() ? hubs_.is_first_hub() : fleet_.is_confirming(now));
}

void gateway::start_limits() {
    const auto process = static_cast<std::uint64_t>(fleet_.get_self().incarnation);
    limits_ = std::make_unique<limit_exchange>(
        settings_.vm, process,
        coordination::limit_terms{0, 0, settings_.limit_window_ms, settings_.limit_excess,
                                  settings_.limit_slack},
        transport::get_boot_time(),
        limit_exchange_owner{
            .find_organisation =
                [this](const std::string& name) { return engine_.find_organisation_by_name(name); },
            .send =
                [this](const std::string& vm, const peer_message& message) {
                    const auto member = fleet_.get_members().find(vm);
                    if (member != fleet_.get_members().end()) {
                        messenger_.send(member->second.peer_address, message);
                    }
                },
            .dispatch = [this](const std::string& group) { engine_.dispatch(group); }});
    engine_.set_operation_gate(limits_.get());
    limit_timer_.start(limit_tick_ms, limit_tick_ms,
                       [this] { limits_->tick(transport::get_boot_time()); });
    log_.write(event_limits_started, {{"window_ms", std::to_string(settings_.limit_window_ms)},
                                      {"excess", std::to_string(settings_.limit_excess)},
                                      {"slack", std::to_string(settings_.limit_slack)}});
}

void gateway::register_self() {
    const std::int64_t now = transport::get_boot_time();
    if (stopping_since_ != 0 ||
        (last_registration_at_ != 0 && now - last_registration_at_ < registration_interval_ms)) {
        return;
    }
    last_registration_at_ = now;
    // A call without an answer may be executed seconds later, when another process of this VM has
    // replaced the row.
    const std::string key = member_key_prefix + settings_.vm;
    const auto present = watcher_.find_row(key);
    const row_change change{{product_table, key, format_member(fleet_.get_self()), 0, false},
                            present ? present->version : 0,
                            true};
    store_.change(platform_.format_change(change),
                  [this](const transport::http_exchange_answer& answer) {
                      const store_answer parsed = platform_.parse_store_answer(answer);
                      if (parsed.outcome == store_outcome::done) {
                          own_row_version_ = parsed.version;
                      }
                      watcher_.read_rows();
                  });
}

void gateway::remove_lost_members(std::int64_t now) {
    const std::set<std::string> removable = fleet_.get_removable_members(now);
    if (removable.empty() || fleet_.get_rank("members", now) != 0) {
        return;
    }
    for (const std::string& vm : removable) {
        if (const auto row = watcher_.find_row(member_key_prefix + vm)) {
            const row_change change{{product_table, row->key, {}, 0, true}, row->version, true};
            fleet_.handle_removal_request(vm);
            store_.change(platform_.format_change(change),
                          [this](const transport::http_exchange_answer&) { watcher_.read_rows(); });
        }
    }
}

void gateway::maintain_fleet() {
    const std::int64_t now = transport::get_boot_time();
    check_isolation();
    // Members that have not answered the last round may have answered the round before it.
    leadership_.extend_leases();
    if (!hubs_.is_enabled()) {
        send_pings();
    }
    store_.set_relays(fleet_.get_store_relays(now));
    if (!is_ready() && stopping_since_ == 0 && now - started_at_ > snapshot_request_interval_ms) {
        fetch_snapshot_from_seed();
    }
}

void gateway::fetch_snapshot_from_seed() {
    // The seeds are the same few VMs for a whole fleet, and a snapshot holds all targets.
    if (store_.is_store_available() || settings_.seeds.empty()) {
        return;
    }
    for (std::size_t i = 0; i < settings_.seeds.size(); ++i) {
        const transport::endpoint& seed = settings_.seeds[next_seed_++ % settings_.seeds.size()];
        if (seed != settings_.control_address) {
            fetch_snapshot(seed);
            return;
        }
    }
}

void gateway::send_pings() {
    if (leadership_.is_retired()) {
        // It holds no lease. Promoters would wait for it once its row is removed.
        return;
    }
    pinged_at_ = transport::get_boot_time();
    const std::vector<record_promise> promises = leadership_.get_promises();
    const peer_ping ping{settings_.vm, fleet_.get_self().incarnation,
                         fleet_.begin_ping_round(pinged_at_, promises), get_digest(promises)};
    for (const auto& [vm, member] : fleet_.get_members()) {
        messenger_.send(member.peer_address, ping);
    }
}

void gateway::send_hub_requests() {
    const std::int64_t now = transport::get_boot_time();
    if (leadership_.is_retired()) {
        return;
    }
    update_homes(now);
    if (!hubs_.is_enabled()) {
        watcher_.set_source(store_watcher::source::store);
        return;
    }
    std::vector<std::string> vms = hubs_.get_hubs();
    for (const std::string& vm : get_position_sources()) {
        if (std::find(vms.begin(), vms.end(), vm) == vms.end()) {
            vms.push_back(vm);
        }
    }
    const hub_request request{settings_.vm, fleet_.get_self().incarnation,
                              hubs_.begin_request(vms, now), stopping_since_ != 0};
    for (const std::string& vm : vms) {
        const auto member = fleet_.get_members().find(vm);
        if (member != fleet_.get_members().end()) {
            messenger_.send(member->second.peer_address, request);
        }
    }
    // Each round takes a message to every member, and a silent member makes all rounds fail.
    if (fleet_.is_self_listed() && leadership_.needs_promises() &&
        now - pinged_at_ >= ping_interval_ms) {
        send_pings();
    }
    const bool may_follow = fleet_.is_self_listed() && hubs_.find_upstream(now).has_value();
    watcher_.set_source(hubs_.is_reader()                    ? store_watcher::source::reader
                        : may_follow && hubs_.is_first_hub() ? store_watcher::source::other_hub
                        : may_follow                         ? store_watcher::source::hub
                                                             : store_watcher::source::store);
}

bool gateway::is_position_reporter(const target_group& group) const {
    const target_state* primary = group.find_primary();
    if (primary == nullptr) {
        return false;
    }
    if (primary->plan.homes.empty()) {
        return primary->entry.place == settings_.place;
    }
    const std::string& home = primary->plan.homes.front();
    const auto member = fleet_.get_members().find(home);
    return home == settings_.vm ||
           (member != fleet_.get_members().end() && member->second.place == settings_.place);
}

std::vector<std::string> gateway::get_position_sources() const {
    std::set<std::string> sources;
    if (hubs_.is_hub()) {
        for (const auto& [name, group] : engine_.get_groups()) {
            if (is_position_reporter(group)) {
                const std::vector<std::string>& homes = group.find_primary()->plan.homes;
                sources.insert(homes.begin(), homes.end());
            }
        }
        sources.erase(settings_.vm);
    }
    return {sources.begin(), sources.end()};
}

void gateway::handle_hub_request(const transport::endpoint& from, const hub_request& request) {
    const std::int64_t now = transport::get_boot_time();
    const fleet_member* sender = fleet_.find_member(request.vm, request.incarnation);
    if (sender == nullptr) {
        fleet_.handle_unlisted(request.vm, request.incarnation, from, now);
        read_unknown_member();
        return;
    }
    fleet_.handle_heard(request.vm, request.is_stopping, now);
    const bool is_same_place = sender->place == settings_.place;
    hub_answer answer{settings_.vm,
                      fleet_.get_self().incarnation,
                      request.sequence,
                      store_.is_store_available(),
                      stopping_since_ != 0,
                      watcher_.get_digests(),
                      watcher_.get_rows_age(now).value_or(-1),
                      {},
                      {}};
    if (hubs_.is_hub()) {
        if (is_same_place) {
            answer.reports = hubs_.get_reports(now);
        }
        answer.reports.push_back(fleet_.get_place_report(hubs_.may_report_silence(now), now));
    }
    for (const known_position& position : leadership_.get_known_positions()) {
        // Traffic between places is billed, so only the hubs of the primary's place report there.
        if (is_same_place || is_position_reporter(engine_.get_groups().at(position.group))) {
            answer.positions.push_back(position);
        }
    }
    messenger_.send(from, answer);
}

void gateway::handle_hub_answer(const hub_answer& answer) {
    const std::int64_t now = transport::get_boot_time();
    const fleet_member* member = fleet_.find_member(answer.vm, answer.incarnation);
    const std::optional<std::int64_t> sent_at = hubs_.get_request_time(answer.sequence);
    if (member == nullptr || !sent_at) {
        return;
    }
    hubs_.handle_answer(answer.vm, answer.is_store_available, now);
    fleet_.handle_heard(answer.vm, answer.is_stopping, now);
    fleet_.set_store_available(answer.vm, answer.is_store_available);
    for (const place_report& report : answer.reports) {
        if (report.age_ms >= 0) {
            fleet_.apply_report(report, *sent_at - report.age_ms);
            hubs_.handle_report(report, *sent_at - report.age_ms);
        }
    }
    leadership_.apply_positions(answer.positions, *sent_at);
    if (!hubs_.is_reader() && hubs_.find_upstream(now) == answer.vm) {
        compare_tables(*member, answer, *sent_at);
    }
}

void gateway::compare_tables(const fleet_member& hub, const hub_answer& answer,
                             std::int64_t sent_at) {
    const table_digests own = watcher_.get_digests();
    if (answer.rows_age_ms >= 0 && answer.digests.rows == own.rows) {
        watcher_.confirm_rows(sent_at - answer.rows_age_ms);
    }
    const std::int64_t now = transport::get_boot_time();
    if (answer.digests != own && !is_fetching_updates_ &&
        now - updates_requested_at_ >= min_update_interval_ms) {
        updates_requested_at_ = now;
        is_fetching_updates_ = true;
        fetch_updates(hub, answer.digests);
    }
}

void gateway::fetch_updates(const fleet_member& hub, const table_digests& digests) {
    const std::int64_t now = transport::get_boot_time();
    peer_channels_.get(hub.control_address)
        .send_repeatedly({.method = "POST",
                          .path = "/internal/v1/updates",
                          .headers = {},
                          .body = watcher_.format_update_request(digests),
                          .timeout_ms = update_timeout_ms},
                         update_retry_ms, update_attempts,
                         [this, now](const transport::http_exchange_answer& answer) {
                             is_fetching_updates_ = false;
                             if (answer.status == status_ok) {
                                 watcher_.apply_updates(answer.body, now);
                             }
                         });
}

void gateway::handle_message(const transport::endpoint& from, const peer_message& message) {
    if (const auto* ping = std::get_if<peer_ping>(&message)) {
        answer_ping(from, *ping);
    } else if (const auto* pong = std::get_if<peer_pong>(&message)) {
        handle_pong(*pong);
    } else if (const auto* revoke = std::get_if<revoke_request>(&message)) {
        leadership_.handle(from, *revoke);
    } else if (const auto* revoked = std::get_if<revoke_answer>(&message)) {
        leadership_.handle(*revoked);
    } else if (const auto* reach = std::get_if<reachability_request>(&message)) {
        leadership_.handle(from, *reach);
    } else if (const auto* reached = std::get_if<reachability_answer>(&message)) {
        leadership_.handle(*reached);
    } else if (const auto* notice = std::get_if<record_notice>(&message)) {
        if (watcher_.is_following()) {
            notice_timer_.start(notice_delay_ms, 0, [this] { send_hub_requests(); });
        } else {
            leadership_.handle(*notice);
        }
    } else if (const auto* request = std::get_if<hub_request>(&message)) {
        handle_hub_request(from, *request);
    } else if (const auto* answer = std::get_if<hub_answer>(&message)) {
        handle_hub_answer(*answer);
    } else if (const auto* asked = std::get_if<coordination::limit_request>(&message)) {
        if (limits_) {
            limits_->handle(*asked, transport::get_boot_time());
        }
    } else if (const auto* granted = std::get_if<coordination::limit_answer>(&message)) {
        if (limits_) {
            limits_->handle(*granted, transport::get_boot_time());
        }
    } else if (const auto* departure = std::get_if<departure_notice>(&message)) {
        fleet_.handle_departure(*departure);
    }
}

void gateway::read_unknown_member() {
    const std::int64_t now = transport::get_boot_time();
    if (!watcher_.is_following() && now - unknown_member_read_at_ >= registration_interval_ms) {
        unknown_member_read_at_ = now;
        watcher_.read_rows();
    }
}

void gateway::answer_ping(const transport::endpoint& from, const peer_ping& ping) {
    const bool is_member = fleet_.find_member(ping.vm, ping.incarnation) != nullptr;
    if (is_member) {
        fleet_.handle_heard(ping.vm, false, transport::get_boot_time());
    } else {
        fleet_.handle_unlisted(ping.vm, ping.incarnation, from, transport::get_boot_time());
        read_unknown_member();
    }
    std::vector<record_promise> promises =
        is_member ? leadership_.get_promises() : std::vector<record_promise>();
    // The promises of two VMs are usually equal; then the list need not be sent.
    const bool is_digest_match = is_member && get_digest(promises) == ping.digest;
    if (is_digest_match) {
        promises.clear();
    }
    messenger_.send(from,
                    peer_pong{settings_.vm, fleet_.get_self().incarnation, ping.sequence,
                              watcher_.get_configuration_version(), store_.is_store_available(),
                              stopping_since_ != 0, is_digest_match, std::move(promises),
                              leadership_.get_positions()});
}

void gateway::handle_pong(const peer_pong& pong) {
    const std::int64_t now = transport::get_boot_time();
    const fleet_member* member = fleet_.find_member(pong.vm, pong.incarnation);
    if (member == nullptr) {
        return;
    }
    fleet_.handle_pong(pong, now);
    if (fleet_.is_round_complete()) {
        leadership_.extend_leases();
    }
    if (const auto ping_sent_at = fleet_.get_ping_time(pong.sequence)) {
        leadership_.apply_positions(pong.positions, *ping_sent_at);
    }
    if (pong.configuration_version > watcher_.get_configuration_version()) {
        fetch_snapshot(member->control_address);
    }
}

void gateway::fetch_snapshot(const transport::endpoint& peer) {
    const std::int64_t now = transport::get_boot_time();
    if (snapshot_requested_at_ != 0 &&
        now - snapshot_requested_at_ < snapshot_request_interval_ms / 4) {
        return;
    }
    snapshot_requested_at_ = now;
    peer_channels_.get(peer).send({.method = "GET",
                                   .path = "/internal/v1/snapshot",
                                   .headers = {},
                                   .body = {},
                                   .timeout_ms = snapshot_timeout_ms},
                                  [this](const transport::http_exchange_answer& answer) {
                                      if (answer.status == status_ok) {
                                          watcher_.merge_snapshot(answer.body);
                                      }
                                  });
}

void gateway::reload() {
    const std::optional<gateway_settings> settings = read_settings_();
    if (!settings) {
        log_.write(event_settings_rejected, {{"effect", "keeping the previous settings"}});
        return;
    }
    // Only these settings take effect without a restart; addresses stay bound until the process
    // ends.
    settings_.seeds = settings->seeds;
    settings_.shutdown_limit_ms = settings->shutdown_limit_ms;
    log_.write(event_settings_reloaded, {});
}

void gateway::stop() {
    if (stopping_since_ != 0) {
        return;
    }
    stopping_since_ = transport::get_boot_time();
    log_.write(event_stopping, {{"sessions", std::to_string(engine_.count_sessions())}});
    stop_timer_.start(shutdown_check_interval_ms, shutdown_check_interval_ms,
                      [this] { continue_shutdown(); });
}

void gateway::continue_shutdown() {
    const std::int64_t elapsed = transport::get_boot_time() - stopping_since_;
    if (elapsed >= balancer_detection_ms) {
        caller_listener_.reset();
        engine_.set_stopping();
        engine_.close_idle_sessions();
    }
    const bool is_empty = elapsed >= balancer_detection_ms && engine_.count_sessions() == 0;
    if (!is_empty && elapsed < settings_.shutdown_limit_ms - shutdown_margin_ms) {
        return;
    }
    engine_.end_all_sessions();
    leadership_.retire();
    // Without the store, its call may end after the process has been killed.
    const std::int64_t remaining = settings_.shutdown_limit_ms - exit_margin_ms - elapsed;
    stop_timer_.start(std::max(remaining, shutdown_check_interval_ms), 0,
                      [this] { finish_shutdown(false); });
    if (own_row_version_ == 0) {
        finish_shutdown(true);
        return;
    }
    remove_self(own_row_version_);
}

void gateway::remove_self(row_version version) {
    // The condition keeps the row of the next process of this VM, because a call without an answer
    // may be executed seconds later.
    const row_change change{
        {product_table, member_key_prefix + settings_.vm, {}, 0, true}, version, true};
    store_.change(platform_.format_change(change),
                  [this, version](const transport::http_exchange_answer& answer) {
                      const store_answer parsed = platform_.parse_store_answer(answer);
                      for (const stored_row& row : parsed.rows) {
                          const auto member = row.key.starts_with(member_key_prefix)
                                                  ? parse_member(settings_.vm, row.value)
                                                  : std::nullopt;
                          const bool is_newer_own = parsed.outcome == store_outcome::conflict &&
                                                    member && fleet_.is_self(*member) &&
                                                    row.version > version;
                          if (is_newer_own) {
                              remove_self(row.version);
                              return;
                          }
                      }
                      finish_shutdown(parsed.outcome == store_outcome::done ||
                                      parsed.outcome == store_outcome::conflict);
                  });
}

void gateway::send_departure() {
    const departure_notice notice{settings_.vm, fleet_.get_self().incarnation,
                                  leadership_.get_promises()};
    for (const fleet_member& member : fleet_.get_departure_receivers()) {
        messenger_.send(member.peer_address, notice);
    }
}

void gateway::finish_shutdown(bool is_unlisted) {
    stop_timer_.stop();
    // Leases that are extended without the store need a promise of each VM in the last rows read,
    // which may list this one although it has removed itself since.
    for (int i = 0; i < departure_copies; ++i) {
        send_departure();
    }
    log_.write(event_stopped, {{"unlisted", is_unlisted ? "yes" : "no"}});
    log_.flush();
    loop_.stop();
}

}  // namespace hornbeamhook::gateway
