#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "coordination/configuration_confirmation.h"
#include "coordination/membership.h"
#include "coordination/store_reading.h"
#include "protocol/peer_messages.h"
#include "protocol/proxy_settings.h"
#include "protocol/table_client.h"
#include "proxy/audit_log.h"
#include "proxy/control_traffic.h"
#include "proxy/group_control.h"
#include "proxy/home_table.h"
#include "proxy/peer_client.h"
#include "proxy/platform_sync.h"
#include "proxy/task_queue.h"
#include "state/fleet_view.h"
#include "transport/http_message.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::proxy {

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
    std::shared_ptr<group_slot> find_slot(const std::string& pool) const {
        return groups_.find_slot(pool);
    }

    /** See fleet_service. Thread safe. */
    void report_primary(const std::string& pool, const state::primary_view& primary);

    /** See fleet_service. Thread safe. */
    transport::http_response handle(const transport::http_request& request);

    /** See fleet_service. Thread safe. */
    void begin_drain();

private:
    // Any thread.
    std::optional<nlohmann::json> ask_control(std::function<nlohmann::json()> question);
    transport::http_response answer_exchange(const transport::http_request& request);
    transport::http_response answer_probe(const transport::http_request& request);
    transport::http_response answer_members();
    bool probe_for_other(const state::member& peer, const coordination::membership_message& probe);
    transport::http_response answer_configuration(const transport::http_request& request);
    transport::http_response answer_observation(const transport::http_request& request);
    transport::http_response answer_planned_change(const transport::http_request& request);
    transport::http_response change_primary(const protocol::planned_change_message& message);
    transport::http_response forward_change(protocol::planned_change_message message);
    transport::http_response answer_vm_notice(const transport::http_request& request);
    transport::http_response answer_status();

    // Thread of platform_sync.
    platform_callbacks make_platform_callbacks();
    void on_configuration(configuration_update update);
    void on_vms(const vm_list_update& update);
    void on_reachability(bool is_reachable);

    // Worker threads.
    void exchange_with(const coordination::send_probe& call);
    void ask_probe(const coordination::ask_probe& call);
    void fetch_members(const state::member& peer);
    void fetch_configuration(const state::member& peer, std::uint64_t after);

    // Control thread.
    /** Begins to leave when an operator drained this VM. */
    void follow_own_entry(const std::vector<state::member>& list, bool is_registered);
    /** Tells live members of entries in the VM list that speak against them. */
    void notify_vms(const std::vector<state::member>& list);
    void assign_store_reader();
    void run_control();
    void tick(state::time_point now);
    void drop_views();
    /** The answer to a message_received that is a probe; else empty. */
    std::optional<coordination::membership_message> step_members(
        const coordination::membership_event& event);
    void run_action(const coordination::membership_action& action);
    void step_confirmation(const coordination::confirmation_event& event);
    void adopt_changes(const std::vector<state::configuration_change>& changes);
    void adopt_snapshot(const state::configuration& snapshot);
    void set_configuration(state::configuration next);
    void assign_homes();
    void publish();
    nlohmann::json get_status() const;

    const protocol::proxy_settings settings_;
    control_traffic traffic_;
    peer_client peers_;
    task_queue queue_;
    std::unique_ptr<platform_sync> platform_;
    transport::worker_pool workers_;
    /// Calls a failover waits for; separate, so that exchanges with dead peers do not delay them.
    transport::worker_pool urgent_workers_;
    std::atomic<std::shared_ptr<const state::fleet_view>> view_;
    std::atomic<std::uint64_t> adopted_version_{0};
    std::atomic<bool> is_stopping_{false};
    std::atomic<int> probes_for_others_{0};
    state::time_point store_asked_at_{};  ///< Only on the thread of platform_sync.
    bool is_store_reachable_ = true;      ///< Only on the thread of platform_sync.
    bool was_listed_live_ = false;        ///< The VM list named this VM as not leaving.
    std::thread control_thread_;

    // control thread
    coordination::membership_state members_;
    coordination::configuration_confirmation_state confirmation_;
    std::shared_ptr<const state::configuration> config_;
    std::deque<state::configuration_change> recent_changes_;
    home_table homes_;
    group_control groups_;
    state::time_point next_exchange_{};
    coordination::vm_notice_state vm_notices_;
    bool is_store_reader_ = true;
    bool is_fetching_ = false;
    bool is_dirty_ = true;
    std::uint64_t pauses_seen_ = 0;
};

}  // namespace hornbeamhook::proxy
