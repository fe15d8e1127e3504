#pragma once

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/failover.h"
#include "coordination/group_monitor.h"
#include "protocol/peer_messages.h"
#include "protocol/proxy_settings.h"
#include "proxy/audit_log.h"
#include "proxy/control_traffic.h"
#include "proxy/group_slot.h"
#include "proxy/home_table.h"
#include "proxy/peer_client.h"
#include "proxy/target_poller.h"
#include "proxy/task_queue.h"
#include "state/fleet_view.h"
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
    /// The interval its pollers have; set at the first assignment.
    std::optional<std::chrono::milliseconds> heartbeat;
    nlohmann::json last_promotion;  ///< For /internal/v1/status.
};

/** What group_control works with; all references must outlive it. */
struct group_environment {
    const protocol::proxy_settings& settings;
    std::uint64_t incarnation = 0;
    std::uint64_t random = 0;  ///< Differs between processes.
    task_queue& queue;         ///< Of the control thread.
    transport::worker_pool& workers;
    /// Calls a failover waits for; separate, so that exchanges with dead peers do not delay them.
    transport::worker_pool& urgent_workers;
    peer_client& peers;
    control_traffic& traffic;
    audit_log& audit;
};

/**
 * The groups this proxy polls: their pollers, views and failovers, and the primary of every pool.
 * Methods run on the control thread unless they say otherwise.
 */
class group_control {
public:
    using change_waiter = std::shared_ptr<std::promise<transport::http_response>>;

    explicit group_control(group_environment environment);

    /** The slot of a polled group, or null. Thread safe. */
    std::shared_ptr<group_slot> find_slot(const std::string& pool) const;

    /** Opens, changes and closes groups so that those are polled that this proxy is a home of. */
    void assign(const state::configuration& config, const home_table& homes, bool is_only_proxy);

    /** Records a primary; a lower term is ignored. */
    void set_primary(const std::string& pool, const state::primary_view& primary);

    /** Holds or resumes the writes of a pool; they resume by themselves when the claimant dies. */
    void set_paused(const std::string& pool, bool is_paused);

    /** Takes in a peer's observation and returns the own one, empty when the group is not polled.
     */
    std::optional<coordination::primary_observation> observe(
        const protocol::observation_message& question);

    /** Begins a planned change of primary; `waiter` gets its result. */
    void request_change(const protocol::planned_change_message& message, change_waiter waiter);

    /** Carries out what is due by `now`. */
    void check(state::time_point now);

    /** Forgets what was seen before a pause of the process and polls anew. */
    void drop_views();

    /** Ends all pollers. Call after the control thread ended. */
    void stop();

    /** Whether some group needs quick steps, as of the last check(). */
    bool is_failing_over() const { return is_failing_over_; }

    /** Whether something that describe() writes changed since the last call. */
    bool take_changed();

    /** Sets the groups' part of a snapshot. */
    void describe(state::fleet_view& view) const;

    /** The groups' part of /internal/v1/status. */
    nlohmann::json get_status() const;

private:
    using slot_map = std::map<std::string, std::shared_ptr<group_slot>>;

    void open_group(const state::pool_description& pool);
    void configure_group(polled_group& group, const state::pool_description& pool);
    std::shared_ptr<target_poller> make_poller(const polled_group& group,
                                               const state::target_description& target);
    void retire(std::shared_ptr<target_poller> poller);
    void close_group(const std::string& pool);
    void step_group(const std::string& pool, const coordination::group_event& event);
    void step_failover(polled_group& group, const coordination::failover_event& event);
    void act(polled_group& group, const coordination::request_observations& action);
    void act(polled_group& group, const coordination::poll_targets& action);
    void act(polled_group& group, const coordination::send_term_call& action);
    void act(polled_group& group, const coordination::set_writes_paused& action);
    void act(polled_group& group, const coordination::primary_change_finished& action);
    void act(polled_group& group, const coordination::promotion_finished& action);
    void act(polled_group& group, const coordination::promotion_seen& action);
    void end_term_call(const std::string& pool, const term_result& result);
    void assign_pollers(polled_group& group, const std::vector<state::member>& pollers,
                        bool is_only_proxy);
    void set_heartbeat(polled_group& group);
    void replace_leaving_primary(polled_group& group, state::time_point now);
    void publish_slots();

    // Worker threads.
    void ask_observation(const state::member& peer, const protocol::observation_message& question);

    const group_environment environment_;
    std::atomic<std::shared_ptr<const slot_map>> slots_;
    std::map<std::string, polled_group> groups_;
    state::copy_on_write<std::map<std::string, state::primary_view>> primaries_;
    std::map<std::string, state::time_point> paused_until_;  ///< Per pool.
    std::set<std::string> asked_;                            ///< "pool/vm" of questions under way.
    bool is_failing_over_ = false;
    bool is_changed_ = true;
};

}  // namespace hornbeamhook::proxy
