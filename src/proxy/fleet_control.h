#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "coordination/configuration_confirmation.h"
#include "coordination/failover.h"
#include "coordination/group_monitor.h"
#include "coordination/membership.h"
#include "protocol/peer_messages.h"
#include "protocol/proxy_settings.h"
#include "protocol/table_client.h"
#include "proxy/audit_log.h"
#include "proxy/control_traffic.h"
#include "proxy/group_slot.h"
#include "proxy/platform_sync.h"
#include "proxy/target_poller.h"
#include "proxy/task_queue.h"
#include "state/fleet_view.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::proxy {

/** Everything the control thread keeps of one polled group. */
struct polled_group {
    state::pool_description pool;
    std::shared_ptr<group_slot> slot;
    std::map<std::string, std::shared_ptr<target_poller>> pollers;
    coordination::group_monitor_state monitor;
    std::shared_ptr<const state::group_view> view;
    std::vector<state::member> ranked_pollers;
    coordination::failover_state failover;
    state::time_point next_leave_check{};  ///< When to look for a leaving primary again.
    std::vector<std::shared_ptr<std::promise<transport::http_response>>> change_waiters;
    nlohmann::json last_promotion;  ///< For /internal/v1/status.
};

/**
 * The control thread and its helpers. All private state below `// control thread` is only touched
 * by tasks that run on it.
 */
class fleet_control {
public:
    fleet_control(protocol::proxy_settings settings, std::uint64_t incarnation, audit_log& audit);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    /** Starts all threads. */
    void start();

    /** Ends all threads. Safe to call twice. */
    void stop();

    /** The newest snapshot. Thread safe. */
    std::shared_ptr<const state::fleet_view> get_view() const { return view_.load(); }

    /** The slot of a polled group, or null. Thread safe. */
    std::shared_ptr<group_slot> find_slot(const std::string& pool) const;

    /** See fleet_service. Thread safe. */
    void report_primary(const std::string& pool, const state::primary_view& primary);

    /** See fleet_service. Thread safe. */
    transport::http_response handle(const transport::http_request& request);

    /** See fleet_service. Thread safe. */
    void begin_drain();

private:
    using slot_map = std::map<std::string, std::shared_ptr<group_slot>>;

    // Any thread.
    std::optional<nlohmann::json> ask_control(std::function<nlohmann::json()> question);
    transport::http_response answer_exchange(const transport::http_request& request);
    transport::http_response answer_configuration(const transport::http_request& request);
    transport::http_response answer_observation(const transport::http_request& request);
    transport::http_response answer_planned_change(const transport::http_request& request);
    transport::http_response change_primary(const protocol::planned_change_message& message);
    transport::http_response forward_change(protocol::planned_change_message message);
    transport::http_response answer_status();

    // Thread of platform_sync.
    platform_callbacks make_platform_callbacks();
    void on_configuration(configuration_update update);
    void on_vms(const std::vector<protocol::vm_entry>& vms);
    void on_reachability(bool is_reachable);

    // Worker threads.
    /** Begins to leave when an operator drained this VM. */
    void follow_own_entry(const std::vector<state::member>& list);
    void exchange_with(const coordination::send_digest& call);
    void fetch_configuration(const state::member& peer, std::uint64_t after);
    void ask_observation(const state::member& peer, const protocol::observation_message& question);
    void send_pause(const state::member& peer, const std::string& pool, bool is_paused);

    // Control thread.
    void run_control();
    void tick(state::time_point now);
    void drop_views(state::time_point now);
    void step_members(const coordination::membership_event& event);
    void step_confirmation(const coordination::confirmation_event& event);
    void adopt_changes(const std::vector<state::configuration_change>& changes);
    void adopt_snapshot(const state::configuration& snapshot);
    void set_configuration(state::configuration next);
    void assign_homes();
    std::vector<std::vector<state::member>> find_homes(const state::pool_description& pool) const;
    void assign_groups();
    void open_group(const state::pool_description& pool);
    void configure_group(polled_group& group, const state::pool_description& pool);
    void close_group(const std::string& pool);
    void step_group(const std::string& pool, const coordination::group_event& event);
    void step_failover(polled_group& group, const coordination::failover_event& event);
    void act(polled_group& group, const coordination::ask_observations& action);
    void act(polled_group& group, const coordination::poll_targets& action);
    void act(polled_group& group, const coordination::send_term_call& action);
    void act(polled_group& group, const coordination::pause_writes& action);
    void act(polled_group& group, const coordination::change_finished& action);
    void act(polled_group& group, const coordination::promotion_finished& action);
    void end_term_call(const std::string& pool, const term_result& result);
    void assign_pollers(polled_group& group, const std::vector<state::member>& pollers);
    void replace_leaving_primary(polled_group& group, state::time_point now);
    void set_paused(const std::string& pool, bool is_paused);
    void set_primary(const std::string& pool, const state::primary_view& primary);
    void publish();
    void publish_slots();
    nlohmann::json get_status() const;

    const protocol::proxy_settings settings_;
    const std::uint64_t incarnation_;
    audit_log& audit_;
    control_traffic traffic_;
    transport::http_client http_;
    task_queue queue_;
    std::unique_ptr<platform_sync> platform_;
    std::unique_ptr<transport::worker_pool> workers_;
    /// Calls a failover waits for; separate, so that exchanges with dead peers do not delay them.
    std::unique_ptr<transport::worker_pool> urgent_workers_;
    std::atomic<std::shared_ptr<const state::fleet_view>> view_;
    std::atomic<std::shared_ptr<const slot_map>> slots_;
    std::atomic<std::uint64_t> adopted_version_{0};
    std::atomic<bool> is_stopping_{false};
    state::time_point store_asked_at_{};  ///< Only on the thread of platform_sync.
    bool is_store_reachable_ = true;      ///< Only on the thread of platform_sync.
    bool was_listed_live_ = false;        ///< The VM list named this VM as not leaving.
    std::thread control_thread_;

    // control thread
    coordination::membership_state members_;
    coordination::configuration_confirmation_state confirmation_;
    std::shared_ptr<const state::configuration> config_;
    std::deque<state::configuration_change> recent_changes_;
    state::copy_on_write<std::map<std::string, std::vector<state::member>>> homes_;
    state::copy_on_write<std::vector<state::member>> live_;     ///< That homes_ was computed for.
    std::shared_ptr<const state::configuration> homes_config_;  ///< As above.
    std::map<std::string, polled_group> groups_;
    state::copy_on_write<std::map<std::string, state::primary_view>> primaries_;
    std::map<std::string, state::time_point> paused_until_;  ///< Per pool.
    std::set<std::string> asked_;                            ///< "pool/vm" of questions under way.
    state::time_point next_exchange_{};
    bool is_failing_over_ = false;  ///< Some group needs quick steps.
    bool is_fetching_ = false;
    bool is_dirty_ = true;
    std::uint64_t pauses_seen_ = 0;
};

}  // namespace hornbeamhook::proxy
