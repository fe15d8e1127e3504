#include "proxy/fleet_control.h"

#include <sodium.h>

#include <algorithm>
#include <future>
#include <set>
#include <utility>

#include "coordination/configuration_log.h"
#include "coordination/home_assignment.h"
#include "proxy/fleet_events.h"
#include "proxy/json_response.h"
#include "state/json_reader.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using state::member;
using state::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::http_request;
using transport::http_response;
using transport::log_event;

constexpr std::size_t max_queued_tasks = 8192;
constexpr std::size_t worker_count = 4;
constexpr std::size_t max_queued_calls = 64;
/// Longest sleep of the control thread; all its deadlines are coarser.
constexpr milliseconds tick_interval{50};
/// Sleep of the control thread while a failover is under way.
constexpr milliseconds quick_tick_interval{10};
/// Threads for calls that a failover waits for; at most 5 other pollers are asked per group.
constexpr std::size_t urgent_worker_count = 6;
/// A planned change ends within this time: 2 s to catch up, then a claim.
constexpr milliseconds planned_change_timeout{6000};
/// The poller that carries a change out answers within its own timeout; the rest is the way back.
constexpr milliseconds forwarded_change_timeout{7000};
/// A longer gap between two steps is treated as a pause of the process.
constexpr milliseconds pause_threshold{1000};
/// How long an HTTP thread waits for the control thread.
constexpr milliseconds question_timeout{2000};
/// Changes kept to hand to peers; a peer further behind gets a snapshot.
constexpr std::size_t max_recent_changes = 1024;
/// A probe that takes longer is a failure. Links between regions take 20 ms both ways.
constexpr milliseconds probe_timeout{500};
/// Time for a probe made for another proxy, which itself waits for the answer.
constexpr milliseconds indirect_probe_timeout{300};
/// Probes for others at a time, because each blocks a thread that also answers exchanges.
constexpr int max_probes_for_others = 2;
/// Body of an answer with the head row.
constexpr std::size_t head_bytes = 110;

time_point get_now() {
    return std::chrono::steady_clock::now();
}

std::uint64_t get_random_start(const std::string& vm, std::uint64_t incarnation) {
    return incarnation ^ coordination::get_rendezvous_weight("random", vm);
}

http_response reject(const http_request& request, const std::string& message) {
    log_event(event_message_rejected, {{"path", request.path}, {"reason", message}});
    return make_error(400, "bad_request", message);
}

/** The parsed body, or empty with `message` set. */
template <typename value_type, typename parser>
std::optional<value_type> parse_body(const http_request& request, parser parse,
                                     std::string& message) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value_type>> {
            BOOST_LEAF_AUTO(object, state::parse_json(request.body, "body"));
            BOOST_LEAF_AUTO(value, parse(object));
            return std::optional<value_type>(std::move(value));
        },
        [&](const state::state_error& error) -> std::optional<value_type> {
            message = error.message;
            return std::nullopt;
        },
        [] { return std::optional<value_type>(); });
}

bool is_same_secret(const std::string& left, const std::string& right) {
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::vector<member> to_members(const std::vector<protocol::vm_entry>& vms) {
    std::vector<member> members;
    for (const protocol::vm_entry& vm : vms) {
        member value;
        value.vm = vm.vm;
        value.address = vm.address;
        value.place = vm.place;
        value.data_center = vm.data_center;
        value.state = vm.is_leaving ? state::member_state::leaving : state::member_state::alive;
        members.push_back(std::move(value));
    }
    return members;
}

}  // namespace

fleet_control::fleet_control(protocol::proxy_settings settings, std::uint64_t incarnation,
                             audit_log& audit)
    : settings_(std::move(settings)),
      peers_(settings_, traffic_),
      queue_(max_queued_tasks),
      workers_(worker_count, max_queued_calls),
      urgent_workers_(urgent_worker_count, max_queued_calls),
      config_(std::make_shared<const state::configuration>()),
      homes_(settings_.layout, static_cast<std::size_t>(settings_.homes_per_target)),
      groups_({settings_, incarnation, get_random_start(settings_.vm, incarnation), queue_,
               workers_, urgent_workers_, peers_, traffic_, audit}) {
    members_.self = {settings_.vm,
                     settings_.advertise_address,
                     settings_.place,
                     settings_.data_center,
                     incarnation,
                     0,
                     state::member_state::alive};
    members_.member_timeout = settings_.member_timeout;
    members_.random = get_random_start(settings_.vm, incarnation);
    members_.live = {members_.self};
    publish();
}

fleet_control::~fleet_control() {
    stop();
}

void fleet_control::start() {
    confirmation_.last_contact = get_now();
    platform_ = std::make_unique<platform_sync>(settings_, make_platform_callbacks());
    control_thread_ = std::thread([this] { run_control(); });
    platform_->start();
}

void fleet_control::stop() {
    is_stopping_ = true;
    queue_.close();
    if (platform_) {
        platform_->stop();
    }
    if (control_thread_.joinable()) {
        control_thread_.join();
    }
    groups_.stop();
    workers_.stop();
    urgent_workers_.stop();
}

void fleet_control::report_primary(const std::string& pool, const state::primary_view& primary) {
    const std::shared_ptr<const state::fleet_view> view = view_.load();
    const auto known = view->primaries.find(pool);
    // Most answers name the primary everybody knows; those need no step.
    if (known != view->primaries.end() && known->second.term >= primary.term) {
        return;
    }
    queue_.try_push([this, pool, primary] { groups_.set_primary(pool, primary); });
}

void fleet_control::begin_drain() {
    if (platform_) {
        platform_->announce_leaving();
    }
    queue_.push([this] {
        step_members(coordination::leave_started{});
        is_dirty_ = true;
    });
}

std::optional<nlohmann::json> fleet_control::ask_control(std::function<nlohmann::json()> question) {
    const auto answer = std::make_shared<std::promise<nlohmann::json>>();
    std::future<nlohmann::json> future = answer->get_future();
    const bool is_queued = queue_.try_push(
        [answer, question = std::move(question)] { answer->set_value(question()); });
    if (!is_queued || future.wait_for(question_timeout) != std::future_status::ready) {
        return std::nullopt;
    }
    return future.get();
}

http_response fleet_control::handle(const http_request& request) {
    if (!is_same_secret(request.fleet_secret, settings_.fleet_secret)) {
        return make_error(403, "forbidden", "wrong fleet secret");
    }
    if (request.path == "/internal/v1/exchange" && request.method == "POST") {
        return answer_exchange(request);
    }
    if (request.path == "/internal/v1/probe" && request.method == "POST") {
        return answer_probe(request);
    }
    if (request.path == "/internal/v1/members" && request.method == "GET") {
        return answer_members();
    }
    if (request.path == "/internal/v1/configuration" && request.method == "GET") {
        return answer_configuration(request);
    }
    if (request.path == "/internal/v1/observations" && request.method == "POST") {
        return answer_observation(request);
    }
    if (request.path == "/internal/v1/planned_change" && request.method == "POST") {
        return answer_planned_change(request);
    }
    if (request.path == "/internal/v1/vm_entry" && request.method == "POST") {
        return answer_vm_notice(request);
    }
    if (request.path == "/internal/v1/status" && request.method == "GET") {
        return answer_status();
    }
    return make_error(404, "bad_request", "no such path: " + request.path);
}

http_response fleet_control::answer_exchange(const http_request& request) {
    std::string message;
    const auto probe = parse_body<coordination::membership_message>(
        request, protocol::parse_exchange_message, message);
    if (!probe) {
        return reject(request, message);
    }
    const std::optional<nlohmann::json> answer = ask_control([this, probe]() -> nlohmann::json {
        // No version_reported here: the request may have waited in the socket during a pause.
        return protocol::to_json(step_members(coordination::message_received{*probe})
                                     .value_or(coordination::membership_message{members_.self}));
    });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    http_response response = make_json(200, *answer);
    traffic_.exchange_received.add(request.body.size() + response.body.size(), http_overhead);
    return response;
}

http_response fleet_control::answer_probe(const http_request& request) {
    std::string message;
    const auto peer = parse_body<member>(request, state::parse_compact_member, message);
    if (!peer) {
        return reject(request, message);
    }
    if (probes_for_others_.fetch_add(1) >= max_probes_for_others) {
        probes_for_others_.fetch_sub(1);
        return make_error(503, "overloaded", "too many probes for other proxies");
    }
    const std::optional<nlohmann::json> probe = ask_control([this, peer]() -> nlohmann::json {
        return protocol::to_json(coordination::make_message(members_, *peer));
    });
    const bool is_reached =
        probe && leaf::try_handle_all(
                     [&]() -> leaf::result<bool> {
                         BOOST_LEAF_AUTO(own, protocol::parse_exchange_message(*probe));
                         return probe_for_other(*peer, own);
                     },
                     [] { return false; });
    probes_for_others_.fetch_sub(1);
    http_response response = make_json(200, to_json(protocol::probe_answer{is_reached}));
    traffic_.exchange_received.add(request.body.size() + response.body.size(), http_overhead);
    return response;
}

bool fleet_control::probe_for_other(const member& peer,
                                    const coordination::membership_message& probe) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(answer, peers_.exchange(peer, probe, indirect_probe_timeout));
            const bool is_same = answer.sender.vm == peer.vm;
            queue_.try_push([this, answer = std::move(answer)] {
                step_members(coordination::message_received{answer, true});
            });
            return is_same;
        },
        [] { return false; });
}

http_response fleet_control::answer_members() {
    const std::optional<nlohmann::json> answer = ask_control([this]() -> nlohmann::json {
        return protocol::make_member_list(coordination::list_members(members_));
    });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    http_response response = make_json(200, *answer);
    traffic_.exchange_received.add(response.body.size(), http_overhead);
    return response;
}

http_response fleet_control::answer_configuration(const http_request& request) {
    const auto it = request.query.find("after");
    if (it == request.query.end() || it->second.empty() || it->second.size() > 18 ||
        it->second.find_first_not_of("0123456789") != std::string::npos) {
        return reject(request, "after: missing or not a version; allowed: a decimal number");
    }
    const std::uint64_t after = std::stoull(it->second);
    const std::optional<nlohmann::json> answer = ask_control([this, after]() -> nlohmann::json {
        protocol::configuration_answer result;
        const bool is_held =
            !recent_changes_.empty() && recent_changes_.front().version <= after + 1;
        if (after < config_->version && !is_held) {
            result.snapshot = *config_;
        }
        for (const state::configuration_change& change : recent_changes_) {
            if (is_held && change.version > after) {
                result.changes.push_back(change);
            }
        }
        return to_json(result);
    });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    http_response response = make_json(200, *answer);
    traffic_.configuration.add(response.body.size(), http_overhead);
    return response;
}

http_response fleet_control::answer_observation(const http_request& request) {
    std::string error;
    const auto question = parse_body<protocol::observation_message>(
        request, protocol::parse_observation_message, error);
    if (!question) {
        return reject(request, error);
    }
    const std::optional<nlohmann::json> answer = ask_control([this, question]() -> nlohmann::json {
        const protocol::observation_message result{question->pool, groups_.observe(*question)};
        return to_json(result);
    });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    http_response response = make_json(200, *answer);
    traffic_.observations.add(request.body.size() + response.body.size(), http_overhead);
    return response;
}

http_response fleet_control::answer_planned_change(const http_request& request) {
    std::string error;
    const auto message = parse_body<protocol::planned_change_message>(
        request, protocol::parse_planned_change_message, error);
    if (!message) {
        return reject(request, error);
    }
    if (message->is_paused) {
        queue_.try_push(
            [this, message] { groups_.set_paused(message->pool, *message->is_paused); });
        return make_json(200, nlohmann::json::object());
    }
    return change_primary(*message);
}

http_response fleet_control::change_primary(const protocol::planned_change_message& message) {
    const std::shared_ptr<const state::fleet_view> view = get_view();
    const state::pool_description* pool = view->config->find_pool(message.pool);
    if (pool == nullptr || pool->find_target(message.target) == nullptr) {
        return make_error(404, "unknown_pool",
                          "no target " + message.target + " in pool " + message.pool);
    }
    if (!view->polled_groups.contains(message.pool)) {
        if (message.is_forwarded) {
            return make_error(409, "not_home", "this proxy does not poll the group");
        }
        return forward_change(message);
    }
    const auto waiter = std::make_shared<std::promise<http_response>>();
    std::future<http_response> answer = waiter->get_future();
    const bool is_queued =
        queue_.try_push([this, message, waiter] { groups_.request_change(message, waiter); });
    if (!is_queued || answer.wait_for(planned_change_timeout) != std::future_status::ready) {
        return make_error(504, "outcome_unknown", "the change did not end in time");
    }
    return answer.get();
}

http_response fleet_control::forward_change(protocol::planned_change_message message) {
    const std::shared_ptr<const state::fleet_view> view = get_view();
    const auto homes = view->homes.find(message.pool + "/" + message.target);
    message.is_forwarded = true;
    if (homes == view->homes.end()) {
        return make_error(503, "unavailable", "the target has no home");
    }
    for (const member& home : homes->second) {
        const std::optional<http_response> response = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<http_response>> {
                BOOST_LEAF_AUTO(value,
                                peers_.forward_change(home, message, forwarded_change_timeout));
                return std::optional(std::move(value));
            },
            [&](const transport::transport_error& error) -> std::optional<http_response> {
                if (!error.was_sent) {
                    return std::nullopt;
                }
                return make_error(504, "outcome_unknown", error.message);
            },
            [] { return std::optional<http_response>(); });
        if (response) {
            return *response;
        }
    }
    return make_error(503, "unavailable", "no home of the target can be reached");
}

http_response fleet_control::answer_vm_notice(const http_request& request) {
    std::string error;
    const auto notice =
        parse_body<protocol::vm_notice_message>(request, protocol::parse_vm_notice_message, error);
    if (!notice) {
        return reject(request, error);
    }
    const state::member self = get_view()->self;
    if (notice->vm != self.vm || notice->incarnation != self.incarnation) {
        return make_error(409, "not_home", "the notice is for another process");
    }
    // The notice may be older than this process's own reads of the list, which decide.
    platform_->read_vms_now();
    traffic_.store.add(request.body.size(), http_overhead);
    return make_json(200, nlohmann::json::object());
}

http_response fleet_control::answer_status() {
    const std::optional<nlohmann::json> answer =
        ask_control([this]() -> nlohmann::json { return get_status(); });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    return make_json(200, *answer);
}

platform_callbacks fleet_control::make_platform_callbacks() {
    platform_callbacks callbacks;
    callbacks.get_adopted_version = [this] {
        // The answer to come is as old as the moment before it is asked for.
        store_asked_at_ = get_now();
        return adopted_version_.load();
    };
    callbacks.on_head = [this](std::uint64_t version) {
        traffic_.store.add(head_bytes, http_overhead);
        queue_.push([this, asked_at = store_asked_at_, version] {
            step_confirmation(coordination::version_reported{asked_at, version});
        });
    };
    callbacks.on_configuration = [this](configuration_update update) {
        on_configuration(std::move(update));
    };
    callbacks.on_vms = [this](const vm_list_update& update) { on_vms(update); };
    callbacks.on_reachability = [this](bool is_reachable) { on_reachability(is_reachable); };
    return callbacks;
}

void fleet_control::on_configuration(configuration_update update) {
    std::size_t bytes = update.whole ? to_json(*update.whole).dump().size() : 0;
    for (const state::configuration_change& change : update.changes) {
        bytes += to_json(change).dump().size();
    }
    traffic_.store.add(bytes, http_overhead);
    queue_.push([this, update = std::move(update)] {
        if (update.whole) {
            adopt_snapshot(*update.whole);
        }
        adopt_changes(update.changes);
    });
}

void fleet_control::on_vms(const vm_list_update& update) {
    traffic_.store.add(update.bytes, http_overhead);
    queue_.push([this, list = to_members(update.entries), is_registered = update.is_registered] {
        follow_own_entry(list, is_registered);
        notify_vms(list);
        step_members(coordination::vm_list_received{list});
        step_confirmation(coordination::other_vms_listed{count_listed_others(members_)});
    });
}

void fleet_control::notify_vms(const std::vector<member>& list) {
    if (!is_store_reader_) {
        return;
    }
    coordination::vm_notice_step step = coordination::step_vm_notices(
        std::move(vm_notices_), members_.self, list, members_.live, get_now());
    vm_notices_ = std::move(step.state);
    for (coordination::vm_notice& notice : step.notices) {
        workers_.try_submit([this, notice = std::move(notice)] {
            const member& peer = notice.peer;
            log_event(event_vm_notified,
                      {{"vm", peer.vm}, {"listed", notice.is_missing ? "missing" : "leaving"}});
            // Repeated after the next read of the list while it is needed.
            leaf::try_handle_all(
                [&] {
                    return peers_.send_vm_notice(peer,
                                                 {peer.vm, peer.incarnation, notice.is_missing});
                },
                [] {});
        });
    }
}

void fleet_control::assign_store_reader() {
    const bool is_reader = coordination::is_store_reader(members_.self, members_.live);
    if (is_reader == is_store_reader_) {
        return;
    }
    is_store_reader_ = is_reader;
    log_event(event_store_reader_changed, {{"is_reader", is_reader ? "true" : "false"}});
    platform_->set_reading(is_reader);
}

void fleet_control::follow_own_entry(const std::vector<member>& list, bool is_registered) {
    const auto own = std::ranges::find(list, settings_.vm, &member::vm);
    if (own == list.end()) {
        return;
    }
    if (own->state != state::member_state::leaving) {
        was_listed_live_ = was_listed_live_ || is_registered;
        return;
    }
    // Before this process was listed as live, the entry may be that of a predecessor that left.
    if (was_listed_live_ && members_.self.state != state::member_state::leaving) {
        log_event(event_vm_drained, {{"vm", settings_.vm}});
        step_members(coordination::leave_started{});
        is_dirty_ = true;
    }
}

void fleet_control::on_reachability(bool is_reachable) {
    if (is_reachable != is_store_reachable_) {
        is_store_reachable_ = is_reachable;
        log_event(is_reachable ? event_store_reachable : event_store_unreachable,
                  {{"address", settings_.platform_address}});
    }
}

void fleet_control::exchange_with(const coordination::send_probe& call) {
    const time_point asked_at = get_now();
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, peers_.exchange(call.peer, call.message, probe_timeout));
            queue_.push([this, asked_at, message = std::move(message)] {
                step_members(coordination::message_received{message, true});
                step_confirmation(
                    coordination::version_reported{asked_at, message.sender.configuration_version});
            });
            return {};
        },
        [&](const transport::transport_error& error) {
            const bool is_refused = error.failure == transport::transport_failure::refused;
            queue_.push([this, peer = call.peer, is_refused, attempt = call.attempt] {
                step_members(
                    coordination::probe_failed{peer.vm, peer.incarnation, is_refused, attempt});
            });
        },
        [&](const state::state_error& error) {
            log_event(event_message_rejected, {{"peer", call.peer.vm}, {"reason", error.message}});
        },
        [] {});
}

void fleet_control::ask_probe(const coordination::ask_probe& call) {
    // A helper that cannot be reached itself does not show that the member lives.
    const bool is_reached = leaf::try_handle_all(
        [&] { return peers_.ask_probe(call.helper, call.member); }, [] { return false; });
    queue_.push([this, peer = call.member, is_reached] {
        step_members(coordination::indirect_probe_ended{peer.vm, peer.incarnation, is_reached});
    });
}

void fleet_control::fetch_members(const member& peer) {
    coordination::member_list_received event;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(members, peers_.fetch_members(peer));
            event.members = std::move(members);
            return {};
        },
        [&](const state::state_error& error) {
            log_event(event_message_rejected, {{"peer", peer.vm}, {"reason", error.message}});
        },
        [] {});
    queue_.push([this, event = std::move(event)] { step_members(event); });
}

void fleet_control::fetch_configuration(const member& peer, std::uint64_t after) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(answer, peers_.fetch_configuration(peer, after));
            queue_.push([this, answer = std::move(answer)] {
                if (answer.snapshot) {
                    adopt_snapshot(*answer.snapshot);
                }
                adopt_changes(answer.changes);
            });
            return {};
        },
        [&](const state::state_error& error) {
            log_event(event_configuration_invalid, {{"peer", peer.vm}, {"reason", error.message}});
            platform_->poll_now();
        },
        // The peer names a version that it does not hand out.
        [this] { platform_->poll_now(); });
    queue_.push([this] { is_fetching_ = false; });
}

void fleet_control::run_control() {
    time_point last_step = get_now();
    while (true) {
        std::deque<std::function<void()>> tasks = queue_.take_all(
            last_step + (groups_.is_failing_over() ? quick_tick_interval : tick_interval));
        const time_point now = get_now();
        if (is_stopping_) {
            return;
        }
        if (now - last_step > pause_threshold) {
            log_event(event_pause_detected,
                      {{"gap_ms",
                        std::to_string(
                            std::chrono::duration_cast<milliseconds>(now - last_step).count())}});
            drop_views();
        }
        last_step = now;
        for (const std::function<void()>& task : tasks) {
            task();
        }
        tick(now);
        if (groups_.take_changed() || is_dirty_) {
            publish();
        }
    }
}

void fleet_control::tick(time_point now) {
    groups_.check(now);
    if (now >= next_exchange_) {
        next_exchange_ = now + settings_.exchange_interval;
        step_members(coordination::exchange_due{});
        step_confirmation(coordination::confirmation_check_due{});
    } else if (members_.next_expiry && now >= *members_.next_expiry) {
        step_members(coordination::expiry_due{});
    }
}

void fleet_control::drop_views() {
    ++pauses_seen_;
    groups_.drop_views();
    // What was heard before the pause may have been overtaken by now.
    step_confirmation(coordination::confirmation_check_due{});
    publish();
}

std::optional<coordination::membership_message> fleet_control::step_members(
    const coordination::membership_event& event) {
    if (platform_ && std::holds_alternative<coordination::message_received>(event)) {
        platform_->note_peer();
    }
    coordination::membership_step step =
        coordination::step_membership(std::move(members_), event, get_now());
    members_ = std::move(step.state);
    std::optional<coordination::membership_message> answer;
    for (const coordination::membership_action& action : step.actions) {
        if (const auto* send = std::get_if<coordination::send_answer>(&action)) {
            answer = send->message;
        } else {
            run_action(action);
        }
    }
    return answer;
}

void fleet_control::run_action(const coordination::membership_action& action) {
    if (const auto* send = std::get_if<coordination::send_probe>(&action)) {
        workers_.try_submit([this, call = *send] { exchange_with(call); });
    } else if (const auto* ask = std::get_if<coordination::ask_probe>(&action)) {
        if (!workers_.try_submit([this, call = *ask] { ask_probe(call); })) {
            queue_.try_push([this, peer = ask->member] {
                step_members(coordination::indirect_probe_ended{peer.vm, peer.incarnation, false});
            });
        }
    } else if (const auto* fetch = std::get_if<coordination::fetch_members>(&action)) {
        workers_.try_submit([this, peer = fetch->peer] { fetch_members(peer); });
    } else if (std::holds_alternative<coordination::live_members_changed>(action)) {
        log_event(event_members_changed, {{"live", std::to_string(members_.live.size())}});
        step_confirmation(coordination::other_vms_listed{count_listed_others(members_)});
        assign_homes();
        assign_store_reader();
    } else if (const auto* newer = std::get_if<coordination::newer_version_seen>(&action)) {
        if (!is_fetching_) {
            is_fetching_ =
                workers_.try_submit([this, peer = newer->peer, after = config_->version] {
                    fetch_configuration(peer, after);
                });
        }
    }
}

void fleet_control::step_confirmation(const coordination::confirmation_event& event) {
    coordination::configuration_confirmation_step step =
        coordination::step_configuration_confirmation(confirmation_, event, get_now());
    confirmation_ = step.state;
    for (const coordination::confirmation_action& action : step.actions) {
        const auto& changed = std::get<coordination::confirmation_changed>(action);
        log_event(event_confirmation_changed,
                  {{"is_confirmed", changed.is_confirmed ? "true" : "false"}});
        is_dirty_ = true;
    }
}

void fleet_control::adopt_changes(const std::vector<state::configuration_change>& changes) {
    if (changes.empty()) {
        return;
    }
    coordination::adoption_result result = coordination::adopt_changes(*config_, changes);
    if (!result.error.empty()) {
        log_event(event_configuration_invalid,
                  {{"after", std::to_string(result.config.version)}, {"reason", result.error}});
    }
    for (state::configuration_change& change : result.adopted) {
        recent_changes_.push_back(std::move(change));
        if (recent_changes_.size() > max_recent_changes) {
            recent_changes_.pop_front();
        }
    }
    if (result.gap) {
        platform_->poll_now();
    }
    if (result.config.version > config_->version) {
        set_configuration(std::move(result.config));
    }
}

void fleet_control::adopt_snapshot(const state::configuration& snapshot) {
    if (snapshot.version > config_->version) {
        recent_changes_.clear();
        set_configuration(snapshot);
    }
}

void fleet_control::set_configuration(state::configuration next) {
    config_ = std::make_shared<const state::configuration>(std::move(next));
    adopted_version_ = config_->version;
    log_event(event_configuration_adopted, {{"version", std::to_string(config_->version)}});
    step_members(coordination::version_adopted{config_->version});
    step_confirmation(coordination::configuration_adopted{config_->version});
    assign_homes();
}

void fleet_control::assign_homes() {
    homes_.update(config_, members_.live);
    groups_.assign(*config_, homes_, members_.others.empty());
    is_dirty_ = true;
}

void fleet_control::publish() {
    auto next = std::make_shared<state::fleet_view>();
    next->self = members_.self;
    next->live_members = homes_.get_live();
    next->config = config_;
    next->homes = homes_.get_homes();
    groups_.describe(*next);
    next->is_configuration_confirmed = confirmation_.is_confirmed;
    next->is_draining = members_.self.state == state::member_state::leaving;
    view_.store(std::move(next));
    is_dirty_ = false;
}

nlohmann::json fleet_control::get_status() const {
    nlohmann::json live = nlohmann::json::array();
    for (const member& value : members_.live) {
        live.push_back(to_json(value));
    }
    nlohmann::json known = nlohmann::json::array();
    for (const auto& [vm, entry] : members_.others) {
        known.push_back(to_json(entry.value));
    }
    nlohmann::json homes = nlohmann::json::object();
    for (const auto& [target, members] : homes_.get_homes()) {
        for (const member& value : members) {
            homes[target].push_back(value.vm);
        }
    }
    nlohmann::json groups = groups_.get_status();
    return {{"self", to_json(members_.self)},
            {"live_members", std::move(live)},
            {"known_members", std::move(known)},
            {"configuration_version", config_->version},
            {"is_configuration_confirmed", confirmation_.is_confirmed},
            {"groups", std::move(groups["groups"])},
            {"homes", std::move(homes)},
            {"primaries", std::move(groups["primaries"])},
            {"is_store_reader", is_store_reader_},
            {"pauses_seen", pauses_seen_},
            {"traffic", traffic_.get_json()}};
}

}  // namespace hornbeamhook::proxy
