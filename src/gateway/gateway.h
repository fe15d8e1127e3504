#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/bounded_log.h"
#include "gateway/fleet_hubs.h"
#include "gateway/fleet_membership.h"
#include "gateway/gateway_counters.h"
#include "gateway/gateway_settings.h"
#include "gateway/leadership_manager.h"
#include "gateway/limit_exchange.h"
#include "gateway/peer_messenger.h"
#include "gateway/platform_protocol.h"
#include "gateway/session_engine.h"
#include "gateway/session_protocol.h"
#include "gateway/store_client.h"
#include "gateway/store_watcher.h"
#include "transport/event_loop.h"
#include "transport/http_channel_pool.h"
#include "transport/http_listener.h"

namespace hornbeamhook::gateway {

/** One gateway process: its sockets, fleet membership, startup and shutdown. Loop thread only. */
class gateway {
public:
    /** Rereads the settings; empty when they are invalid. */
    using settings_reader = std::function<std::optional<gateway_settings>()>;

    /** Throws std::runtime_error when an address cannot be bound. */
    gateway(transport::event_loop& loop, gateway_settings settings,
            const session_protocol& protocol, const platform_protocol& platform,
            settings_reader read_settings);

    /** Starts serving; after SIGTERM the gateway shuts down and stops the loop. */
    void start();

private:
    void serve_readiness(const transport::http_call& call,
                         const transport::http_listener::responder& respond);
    void serve_control(const transport::http_call& call,
                       const transport::http_listener::responder& respond);
    bool is_ready() const;
    bool is_isolated() const;
    void check_isolation();
    void apply_rows(const std::vector<stored_row>& rows, std::int64_t requested_at);
    /** Updates the VMs among which the engine divides the targets' connections. */
    void update_homes(std::int64_t now);
    /** Puts the organisations' limits in force. */
    void start_limits();
    void register_self();
    /** Removes this process's row, if the stored row still has this version, and ends the process.
     */
    void remove_self(row_version version);
    /** Removes silent members from the list. Call whenever the rows are known to be current. */
    void remove_lost_members(std::int64_t now);
    /** Periodic work on the fleet that does not depend on its size. */
    void maintain_fleet();
    /** Asks all members for their promises. */
    void send_pings();
    /** Updates the hubs and homes, and asks the hubs for the fleet's state in a large fleet. */
    void send_hub_requests();
    /** VMs whose log positions this VM collects as a hub. */
    std::vector<std::string> get_position_sources() const;
    /** Whether this VM reports the positions of the group's primary to other places. */
    bool is_position_reporter(const target_group& group) const;
    void handle_hub_request(const transport::endpoint& from, const hub_request& request);
    void handle_hub_answer(const hub_answer& answer);
    void compare_tables(const fleet_member& hub, const hub_answer& answer, std::int64_t sent_at);
    void fetch_updates(const fleet_member& hub, const table_digests& digests);
    void handle_message(const transport::endpoint& from, const peer_message& message);
    /** Reads the rows because a VM unknown to this one has joined, unless a hub does it. */
    void read_unknown_member();
    void answer_ping(const transport::endpoint& from, const peer_ping& ping);
    void handle_pong(const peer_pong& pong);
    void fetch_snapshot(const transport::endpoint& peer);
    /** For a VM that starts while the store is unavailable: asks one seed after the other. */
    void fetch_snapshot_from_seed();
    void reload();
    void stop();
    void continue_shutdown();
    /** Tells all members that this process holds no lease and begins no change any more. */
    void send_departure();
    void finish_shutdown(bool is_unlisted);

    transport::event_loop& loop_;
    gateway_settings settings_;
    settings_reader read_settings_;
    const platform_protocol& platform_;
    bounded_log log_;
    gateway_counters counters_;
    fleet_membership fleet_;
    fleet_hubs hubs_;
    std::unique_ptr<limit_exchange> limits_;  ///< Null unless operations are limited.
    session_engine engine_;
    store_client store_;
    store_watcher watcher_;
    peer_messenger messenger_;
    transport::http_channel promotion_channel_;
    leadership_manager leadership_;
    transport::http_listener readiness_listener_;
    transport::http_listener control_listener_;
    std::unique_ptr<transport::tcp_listener> caller_listener_;
    std::unique_ptr<transport::tcp_listener> peer_listener_;  ///< From other VMs.
    transport::http_channel_pool peer_channels_;
    transport::loop_timer ping_timer_;
    transport::loop_timer hub_timer_;
    transport::loop_timer notice_timer_;
    transport::loop_timer stop_timer_;
    transport::loop_timer limit_timer_;
    std::vector<std::unique_ptr<transport::signal_watcher>> signal_watchers_;
    std::int64_t started_at_ = 0;
    std::int64_t pinged_at_ = 0;       ///< Last round of pings to all members.
    std::int64_t stopping_since_ = 0;  ///< 0 while serving.
    bool is_fetching_updates_ = false;
    std::int64_t last_registration_at_ = 0;
    row_version own_row_version_ = 0;  ///< Of this process's row; 0 before it was written.
    std::int64_t listed_era_ = 0;      ///< The store's era when this VM was last seen listed.
    std::int64_t snapshot_requested_at_ = 0;
    std::uint64_t next_seed_ = 0;  ///< Counts from another number on each VM.
    std::int64_t updates_requested_at_ = 0;
    std::int64_t isolated_since_ = 0;  ///< 0 while the store is available or a lease is held.
    std::int64_t unknown_member_read_at_ = 0;  ///< Last store read because of an unknown VM.
};

}  // namespace hornbeamhook::gateway
