#include "proxy/fleet_control.h"

#include <sodium.h>

#include <algorithm>
#include <future>
#include <set>
#include <utility>

#include "coordination/configuration_log.h"
#include "coordination/home_assignment.h"
#include "proxy/fleet_events.h"
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
/// A poller that does not answer in this time is asked again.
constexpr milliseconds observation_timeout{300};
/// Writes resume by themselves after this time, in case the claimant dies meanwhile.
constexpr milliseconds pause_limit{3000};
/// A planned change ends within this time: 2 s to catch up, then a claim.
constexpr milliseconds planned_change_timeout{6000};
/// A leaving primary whose change failed is tried again after this time.
constexpr milliseconds leave_check_interval{1000};
/// A longer gap between two steps is treated as a pause of the process.
constexpr milliseconds pause_threshold{1000};
/// An exchange with a peer that takes longer is a failure.
constexpr milliseconds exchange_timeout{1000};
/// How long an HTTP thread waits for the control thread.
constexpr milliseconds question_timeout{2000};
/// Changes kept to hand to peers; a peer further behind gets a snapshot.
constexpr std::size_t max_recent_changes = 1024;
/// Body of an answer with the head row.
constexpr std::size_t head_bytes = 110;
/// Field names and punctuation of one entry of the VM list.
constexpr std::size_t vm_entry_bytes = 70;

time_point get_now() {
    return std::chrono::steady_clock::now();
}

http_response make_json(int status, const nlohmann::json& body) {
    return {status, body.dump(), "application/json"};
}

http_response make_error(int status, const std::string& code, const std::string& message) {
    return make_json(status, {{"error", {{"code", code}, {"message", message}}}});
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
      incarnation_(incarnation),
      audit_(audit),
      queue_(max_queued_tasks),
      config_(std::make_shared<const state::configuration>()) {
    members_.self = {settings_.vm,
                     settings_.advertise_address,
                     settings_.place,
                     settings_.data_center,
                     incarnation,
                     0,
                     state::member_state::alive};
    members_.member_timeout = settings_.member_timeout;
    members_.random = incarnation ^ coordination::get_rendezvous_weight("random", settings_.vm);
    members_.live = {members_.self};
    slots_.store(std::make_shared<const slot_map>());
    publish();
}

fleet_control::~fleet_control() {
    stop();
}

void fleet_control::start() {
    confirmation_.last_contact = get_now();
    platform_ = std::make_unique<platform_sync>(settings_, make_platform_callbacks());
    workers_ = std::make_unique<transport::worker_pool>(worker_count, max_queued_calls);
    urgent_workers_ =
        std::make_unique<transport::worker_pool>(urgent_worker_count, max_queued_calls);
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
    for (auto& [pool, group] : groups_) {
        group.slot->close();
        for (auto& [target, poller] : group.pollers) {
            poller->stop();
        }
    }
    groups_.clear();
    for (const auto& pool : {workers_.get(), urgent_workers_.get()}) {
        if (pool != nullptr) {
            pool->stop();
        }
    }
}

std::shared_ptr<group_slot> fleet_control::find_slot(const std::string& pool) const {
    const std::shared_ptr<const slot_map> slots = slots_.load();
    const auto it = slots->find(pool);
    return it == slots->end() ? nullptr : it->second;
}

void fleet_control::report_primary(const std::string& pool, const state::primary_view& primary) {
    const std::shared_ptr<const state::fleet_view> view = view_.load();
    const auto known = view->primaries.find(pool);
    // Most answers name the primary everybody knows; those need no step.
    if (known != view->primaries.end() && known->second.term >= primary.term) {
        return;
    }
    queue_.try_push([this, pool, primary] { set_primary(pool, primary); });
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
    if (request.path == "/internal/v1/configuration" && request.method == "GET") {
        return answer_configuration(request);
    }
    if (request.path == "/internal/v1/observations" && request.method == "POST") {
        return answer_observation(request);
    }
    if (request.path == "/internal/v1/planned_change" && request.method == "POST") {
        return answer_planned_change(request);
    }
    if (request.path == "/internal/v1/status" && request.method == "GET") {
        return answer_status();
    }
    return make_error(404, "bad_request", "no such path: " + request.path);
}

http_response fleet_control::answer_exchange(const http_request& request) {
    std::string message;
    const auto digest =
        parse_body<protocol::exchange_message>(request, protocol::parse_exchange_message, message);
    if (!digest) {
        return reject(request, message);
    }
    const std::optional<nlohmann::json> answer = ask_control([this, digest]() -> nlohmann::json {
        step_members(coordination::digest_received{digest->sender, digest->entries});
        // No version_heard here: the request may have waited in the socket during a pause.
        return to_json(
            protocol::exchange_message{members_.self, make_digest(members_, members_.random)});
    });
    if (!answer) {
        return make_error(503, "unavailable", "the control thread did not answer in time");
    }
    http_response response = make_json(200, *answer);
    traffic_.exchange_received.add(request.body.size() + response.body.size(), http_overhead);
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
        protocol::observation_message result{question->pool, {}};
        const auto it = groups_.find(question->pool);
        if (it != groups_.end()) {
            if (question->observation) {
                set_primary(question->pool, question->observation->primary);
                step_failover(it->second,
                              coordination::observation_received{*question->observation});
            }
            // The next question should find an answer that is not older than this one.
            it->second.slot->request_poll();
            result.observation = get_observation(it->second.failover, get_now());
        }
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
        queue_.try_push([this, message] { set_paused(message->pool, *message->is_paused); });
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
    const bool is_queued = queue_.try_push([this, message, waiter] {
        const auto it = groups_.find(message.pool);
        if (it == groups_.end()) {
            waiter->set_value(make_error(409, "not_home", "this proxy does not poll the group"));
            return;
        }
        it->second.change_waiters.push_back(waiter);
        step_failover(it->second, coordination::change_requested{message.target});
    });
    if (!is_queued || answer.wait_for(planned_change_timeout) != std::future_status::ready) {
        return make_error(504, "outcome_unknown", "the change did not end in time");
    }
    return answer.get();
}

http_response fleet_control::forward_change(protocol::planned_change_message message) {
    const std::shared_ptr<const state::fleet_view> view = get_view();
    const auto homes = view->homes.find(message.pool + "/" + message.target);
    message.is_forwarded = true;
    if (homes != view->homes.end()) {
        for (const member& home : homes->second) {
            transport::http_call call;
            call.method = "POST";
            call.address = settings_.get_dial_address(home.address);
            call.target = "/internal/v1/planned_change";
            call.body = to_json(message).dump();
            call.fleet_secret = settings_.fleet_secret;
            call.timeout = planned_change_timeout + exchange_timeout;
            const std::optional<http_response> response = leaf::try_handle_all(
                [&]() -> leaf::result<std::optional<http_response>> {
                    BOOST_LEAF_AUTO(value, http_.call(call));
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
    }
    return make_error(503, "unavailable", "no home of the target can be reached");
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
            step_confirmation(coordination::version_heard{asked_at, version});
        });
    };
    callbacks.on_configuration = [this](configuration_update update) {
        on_configuration(std::move(update));
    };
    callbacks.on_vms = [this](const std::vector<protocol::vm_entry>& vms) { on_vms(vms); };
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

void fleet_control::on_vms(const std::vector<protocol::vm_entry>& vms) {
    std::vector<member> list = to_members(vms);
    std::size_t bytes = 0;
    for (const member& value : list) {
        bytes += value.vm.size() + value.address.size() + value.place.size() +
                 value.data_center.size() + vm_entry_bytes;
    }
    traffic_.store.add(bytes, http_overhead);
    queue_.push([this, list = std::move(list)] {
        follow_own_entry(list);
        step_members(coordination::vm_list_received{list});
        step_confirmation(coordination::other_vms_listed{count_listed_others(members_)});
    });
}

void fleet_control::follow_own_entry(const std::vector<member>& list) {
    const auto own = std::ranges::find(list, settings_.vm, &member::vm);
    if (own == list.end()) {
        return;
    }
    if (own->state != state::member_state::leaving) {
        was_listed_live_ = true;
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

void fleet_control::exchange_with(const coordination::send_digest& call) {
    transport::http_call request;
    request.method = "POST";
    request.address = settings_.get_dial_address(call.peer.address);
    request.target = "/internal/v1/exchange";
    member self;
    for (const member& entry : call.entries) {
        if (entry.vm == settings_.vm) {
            self = entry;
        }
    }
    request.body = to_json(protocol::exchange_message{self, call.entries}).dump();
    request.fleet_secret = settings_.fleet_secret;
    request.timeout = exchange_timeout;
    request.connect_timeout = exchange_timeout;
    const time_point asked_at = get_now();
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(response, http_.call(request));
            traffic_.exchange_sent.add(request.body.size() + response.body.size(), http_overhead);
            BOOST_LEAF_AUTO(object, state::parse_json(response.body, "exchange"));
            BOOST_LEAF_AUTO(message, protocol::parse_exchange_message(object));
            queue_.push([this, asked_at, message = std::move(message)] {
                step_members(coordination::digest_received{message.sender, message.entries});
                step_confirmation(
                    coordination::version_heard{asked_at, message.sender.configuration_version});
            });
            return {};
        },
        [&](const transport::transport_error& error) {
            const bool is_refused = error.failure == transport::transport_failure::refused;
            traffic_.exchange_sent.add(request.body.size(), http_overhead);
            queue_.push([this, peer = call.peer, is_refused] {
                step_members(coordination::call_failed{peer.vm, peer.incarnation, is_refused});
            });
        },
        [&](const state::state_error& error) {
            log_event(event_message_rejected,
                      {{"path", request.target}, {"reason", error.message}});
        },
        [] {});
}

void fleet_control::fetch_configuration(const member& peer, std::uint64_t after) {
    transport::http_call request;
    request.address = settings_.get_dial_address(peer.address);
    request.target = "/internal/v1/configuration?after=" + std::to_string(after);
    request.fleet_secret = settings_.fleet_secret;
    request.timeout = exchange_timeout;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(response, http_.call(request));
            traffic_.configuration.add(response.body.size(), http_overhead);
            BOOST_LEAF_AUTO(object, state::parse_json(response.body, "configuration"));
            BOOST_LEAF_AUTO(answer, protocol::parse_configuration_answer(object));
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
        },
        [] {});
    queue_.push([this] { is_fetching_ = false; });
}

void fleet_control::ask_observation(const member& peer,
                                    const protocol::observation_message& question) {
    transport::http_call call;
    call.method = "POST";
    call.address = settings_.get_dial_address(peer.address);
    call.target = "/internal/v1/observations";
    call.body = to_json(question).dump();
    call.fleet_secret = settings_.fleet_secret;
    call.timeout = observation_timeout;
    call.connect_timeout = observation_timeout;
    protocol::observation_message answer;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(response, http_.call(call));
            traffic_.observations.add(call.body.size() + response.body.size(), http_overhead);
            BOOST_LEAF_AUTO(object, state::parse_json(response.body, "observations"));
            BOOST_LEAF_ASSIGN(answer, protocol::parse_observation_message(object));
            return {};
        },
        [&](const transport::transport_error&) {
            traffic_.observations.add(call.body.size(), http_overhead);
        },
        [] {});
    queue_.push([this, key = question.pool + "/" + peer.vm, pool = question.pool, answer] {
        asked_.erase(key);
        const auto it = groups_.find(pool);
        if (it != groups_.end() && answer.observation) {
            step_failover(it->second, coordination::observation_received{*answer.observation});
        }
    });
}

void fleet_control::send_pause(const member& peer, const std::string& pool, bool is_paused) {
    transport::http_call call;
    call.method = "POST";
    call.address = settings_.get_dial_address(peer.address);
    call.target = "/internal/v1/planned_change";
    call.body = to_json(protocol::planned_change_message{pool, "", false, is_paused}).dump();
    call.fleet_secret = settings_.fleet_secret;
    call.timeout = observation_timeout;
    call.connect_timeout = observation_timeout;
    // A lost notice costs some writes an `unknown`; the fence keeps the change safe.
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(http_.call(call));
            return {};
        },
        [] {});
}

void fleet_control::run_control() {
    time_point last_step = get_now();
    while (true) {
        std::deque<std::function<void()>> tasks =
            queue_.take_all(last_step + (is_failing_over_ ? quick_tick_interval : tick_interval));
        const time_point now = get_now();
        if (is_stopping_) {
            return;
        }
        if (now - last_step > pause_threshold) {
            log_event(event_pause_detected,
                      {{"gap_ms",
                        std::to_string(
                            std::chrono::duration_cast<milliseconds>(now - last_step).count())}});
            drop_views(now);
        }
        last_step = now;
        for (const std::function<void()>& task : tasks) {
            task();
        }
        tick(now);
        if (is_dirty_) {
            publish();
        }
    }
}

void fleet_control::tick(time_point now) {
    is_failing_over_ = false;
    for (auto& [pool, group] : groups_) {
        if (get_next_check(group.failover, now) <= now + quick_tick_interval) {
            step_failover(group, coordination::failover_checked{});
            is_failing_over_ = true;
        }
        replace_leaving_primary(group, now);
    }
    const std::size_t resumed =
        std::erase_if(paused_until_, [&](const auto& entry) { return entry.second <= now; });
    is_dirty_ = is_dirty_ || resumed > 0;
    if (now >= next_exchange_) {
        next_exchange_ = now + settings_.exchange_interval;
        step_members(coordination::exchange_due{});
        step_confirmation(coordination::confirmation_checked{});
    }
}

void fleet_control::drop_views(time_point /*now*/) {
    ++pauses_seen_;
    for (auto& [pool, group] : groups_) {
        step_group(pool, coordination::views_dropped{});
        step_failover(group, coordination::claim_dropped{});
        group.slot->request_poll();
    }
    // What was heard before the pause may have been overtaken by now.
    step_confirmation(coordination::confirmation_checked{});
    publish();
}

void fleet_control::step_members(const coordination::membership_event& event) {
    coordination::membership_step step =
        coordination::step_membership(std::move(members_), event, get_now());
    members_ = std::move(step.state);
    for (const coordination::membership_action& action : step.actions) {
        if (const auto* send = std::get_if<coordination::send_digest>(&action)) {
            workers_->try_submit([this, call = *send] { exchange_with(call); });
        } else if (std::holds_alternative<coordination::live_members_changed>(action)) {
            log_event(event_members_changed, {{"live", std::to_string(members_.live.size())}});
            assign_homes();
        } else if (const auto* newer = std::get_if<coordination::newer_version_seen>(&action)) {
            if (!is_fetching_) {
                is_fetching_ =
                    workers_->try_submit([this, peer = newer->peer, after = config_->version] {
                        fetch_configuration(peer, after);
                    });
            }
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
    coordination::adoption result = coordination::adopt_changes(*config_, changes);
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
    const bool is_split = settings_.layout == protocol::connection_layout::fixed_split;
    const std::size_t count =
        is_split ? members_.live.size() : static_cast<std::size_t>(settings_.homes_per_target);
    const coordination::member_change change =
        coordination::compare_members(live_.get(), members_.live);
    std::map<std::string, std::vector<member>> next;
    for (const auto& [name, pool] : config_->pools) {
        const state::pool_description* before =
            homes_config_ ? homes_config_->find_pool(name) : nullptr;
        for (const state::target_description& target : pool.targets) {
            const std::string key = name + "/" + target.name;
            const state::target_description* old =
                before == nullptr ? nullptr : before->find_target(target.name);
            const bool is_known = !is_split && old != nullptr && old->place == target.place &&
                                  old->data_center == target.data_center && homes_.contains(key);
            next.emplace(key, is_known
                                  ? coordination::update_homes(name, target, homes_.at(key), change,
                                                               members_.live, count)
                                  : coordination::get_homes(name, target, members_.live, count));
        }
    }
    homes_ = std::move(next);
    live_ = members_.live;
    homes_config_ = config_;
    is_dirty_ = true;
    assign_groups();
}

std::vector<std::vector<member>> fleet_control::find_homes(
    const state::pool_description& pool) const {
    std::vector<std::vector<member>> homes;
    for (const state::target_description& target : pool.targets) {
        homes.push_back(homes_.at(pool.name + "/" + target.name));
        // With the fixed split every proxy is listed, but a few pollers suffice.
        const auto limit = static_cast<std::size_t>(settings_.homes_per_target);
        if (homes.back().size() > limit) {
            homes.back().resize(limit);
        }
    }
    return homes;
}

void fleet_control::assign_groups() {
    std::set<std::string> polled;
    for (const auto& [name, pool] : config_->pools) {
        const std::vector<std::vector<member>> homes = find_homes(pool);
        const bool is_poller = std::ranges::any_of(homes, [&](const std::vector<member>& list) {
            return std::ranges::any_of(
                list, [&](const member& value) { return value.vm == settings_.vm; });
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
        assign_pollers(groups_.at(name), coordination::rank_pollers(name, homes));
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

void fleet_control::open_group(const state::pool_description& pool) {
    polled_group& group = groups_[pool.name];
    group.slot = std::make_shared<group_slot>();
    group.monitor.view.pool = pool.name;
    group.failover.vm = settings_.vm;
    group.failover.incarnation = incarnation_;
    group.failover.random = members_.random ^ coordination::get_rendezvous_weight(pool.name, "");
    log_event(event_group_opened, {{"pool", pool.name}});
    configure_group(group, pool);
}

void fleet_control::configure_group(polled_group& group, const state::pool_description& pool) {
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
            poller = std::make_shared<target_poller>(
                poller_options{target.name, settings_.get_dial_address(target.address),
                               settings_.heartbeat_interval, settings_.probe_timeout},
                group.slot->get_waiters(),
                [this, name = pool.name](coordination::group_event polled) {
                    queue_.try_push(
                        [this, name, polled = std::move(polled)] { step_group(name, polled); });
                },
                [this, name = pool.name](term_result result) {
                    queue_.try_push(
                        [this, name, result = std::move(result)] { end_term_call(name, result); });
                },
                traffic_);
        }
        list.push_back(poller);
    }
    group.pollers.swap(pollers);
    group.slot->set_pollers(std::move(list));
    for (auto& [target, poller] : pollers) {
        if (poller) {
            poller->stop();
            // Joining may take a probe timeout, which the control thread must not wait for.
            workers_->try_submit([old = std::move(poller)] {});
        }
    }
    step_group(pool.name, event);
}

void fleet_control::close_group(const std::string& pool) {
    const auto it = groups_.find(pool);
    log_event(event_group_closed, {{"pool", pool}});
    // Others take over what this proxy had begun; they see the same statuses.
    step_failover(it->second, coordination::claim_dropped{});
    it->second.slot->close();
    for (auto& [target, poller] : it->second.pollers) {
        poller->stop();
        workers_->try_submit([old = std::move(poller)] {});
    }
    groups_.erase(it);
    is_dirty_ = true;
}

void fleet_control::step_group(const std::string& pool, const coordination::group_event& event) {
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
            is_dirty_ = true;
        }
    }
    coordination::group_evidence evidence = get_evidence(group.monitor, get_now());
    if (evidence != group.failover.evidence ||
        group.failover.phase != coordination::failover_phase::watching) {
        step_failover(group, coordination::evidence_updated{std::move(evidence)});
    }
}

void fleet_control::step_failover(polled_group& group, const coordination::failover_event& event) {
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

void fleet_control::act(polled_group& group, const coordination::ask_observations& action) {
    for (const member& peer : group.ranked_pollers) {
        const std::string key = group.pool.name + "/" + peer.vm;
        if (peer.vm == settings_.vm || asked_.contains(key)) {
            continue;
        }
        const protocol::observation_message question{group.pool.name, action.own};
        if (urgent_workers_->try_submit(
                [this, peer, question] { ask_observation(peer, question); })) {
            asked_.insert(key);
        }
    }
}

void fleet_control::act(polled_group& group, const coordination::poll_targets& /*action*/) {
    group.slot->request_poll();
}

void fleet_control::act(polled_group& group, const coordination::send_term_call& action) {
    const auto it = group.pollers.find(action.target);
    if (it != group.pollers.end() && it->second) {
        it->second->submit({action.is_promote, action.term, action.claimant});
    }
}

void fleet_control::act(polled_group& group, const coordination::pause_writes& action) {
    set_paused(group.pool.name, action.is_paused);
    for (const member& peer : group.ranked_pollers) {
        if (peer.vm != settings_.vm) {
            urgent_workers_->try_submit(
                [this, peer, pool = group.pool.name, is_paused = action.is_paused] {
                    send_pause(peer, pool, is_paused);
                });
        }
    }
}

void fleet_control::act(polled_group& group, const coordination::change_finished& action) {
    log_event(event_planned_change_ended, {{"pool", group.pool.name},
                                           {"is_done", action.is_done ? "true" : "false"},
                                           {"message", action.message}});
    const http_response response = action.is_done ? make_json(200, {{"message", action.message}})
                                                  : make_error(409, "unavailable", action.message);
    for (const auto& waiter : std::exchange(group.change_waiters, {})) {
        waiter->set_value(response);
    }
}

void fleet_control::act(polled_group& group, const coordination::promotion_finished& action) {
    group.last_promotion = protocol::to_json(action.report);
    log_event(event_promotion_finished,
              {{"pool", group.pool.name}, {"report", group.last_promotion.dump()}});
    audit_.append({"promotion", group.pool.name, coordination::to_string(action.report.reason),
                   group.last_promotion});
}

void fleet_control::end_term_call(const std::string& pool, const term_result& result) {
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

void fleet_control::assign_pollers(polled_group& group, const std::vector<member>& pollers) {
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
    event.is_only_proxy = members_.others.empty();
    step_failover(group, event);
}

void fleet_control::replace_leaving_primary(polled_group& group, time_point now) {
    if (now < group.next_leave_check) {
        return;
    }
    group.next_leave_check = now + leave_check_interval;
    const std::optional<state::primary_view>& primary = group.monitor.view.primary;
    if (!primary || group.ranked_pollers.empty() ||
        group.ranked_pollers.front().vm != settings_.vm) {
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
        step_failover(group, coordination::change_requested{std::string(*best)});
    }
}

void fleet_control::set_paused(const std::string& pool, bool is_paused) {
    if (is_paused) {
        paused_until_[pool] = get_now() + pause_limit;
    } else {
        paused_until_.erase(pool);
    }
    publish();
}

void fleet_control::set_primary(const std::string& pool, const state::primary_view& primary) {
    const auto it = primaries_.find(pool);
    if (it != primaries_.end() && it->second.term >= primary.term) {
        return;
    }
    primaries_.edit()[pool] = primary;
    is_dirty_ = true;
}

void fleet_control::publish() {
    auto next = std::make_shared<state::fleet_view>();
    next->self = members_.self;
    next->live_members = live_;
    next->config = config_;
    next->homes = homes_;
    for (const auto& [name, group] : groups_) {
        if (group.view) {
            next->polled_groups.emplace(name, group.view);
        }
    }
    next->primaries = primaries_;
    for (const auto& [pool, until] : paused_until_) {
        next->paused_pools.push_back(pool);
    }
    next->is_configuration_confirmed = confirmation_.is_confirmed;
    next->is_draining = members_.self.state == state::member_state::leaving;
    view_.store(std::move(next));
    is_dirty_ = false;
}

void fleet_control::publish_slots() {
    auto slots = std::make_shared<slot_map>();
    for (const auto& [name, group] : groups_) {
        slots->emplace(name, group.slot);
    }
    slots_.store(std::move(slots));
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
    nlohmann::json homes = nlohmann::json::object();
    for (const auto& [target, members] : homes_) {
        for (const member& value : members) {
            homes[target].push_back(value.vm);
        }
    }
    nlohmann::json primaries = nlohmann::json::object();
    for (const auto& [pool, primary] : primaries_) {
        primaries[pool] = {{"target", primary.target}, {"term", primary.term}};
    }
    return {{"self", to_json(members_.self)},
            {"live_members", std::move(live)},
            {"known_members", std::move(known)},
            {"configuration_version", config_->version},
            {"is_configuration_confirmed", confirmation_.is_confirmed},
            {"groups", std::move(groups)},
            {"homes", std::move(homes)},
            {"primaries", std::move(primaries)},
            {"pauses_seen", pauses_seen_},
            {"traffic", traffic_.get_json()}};
}

}  // namespace hornbeamhook::proxy
