#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/first_record_turn.h"
#include "coordination/primary_loss.h"
#include "coordination/promotion.h"
#include "gateway/bounded_log.h"
#include "gateway/fleet_membership.h"
#include "gateway/gateway_counters.h"
#include "gateway/peer_messenger.h"
#include "gateway/platform_protocol.h"
#include "gateway/session_engine.h"
#include "gateway/store_client.h"
#include "transport/http_channel.h"

namespace hornbeamhook::gateway {

/** Formats the value of a group's row in the store. Thread safe. */
std::string format_record(const coordination::leadership_record& record);

/** Empty when the row's value is not a valid record. Thread safe. */
std::optional<coordination::leadership_record> parse_record(const stored_row& row);

/**
 * Drives coordination::promotion for each group and executes its actions; maintains this VM's
 * leases on primaries. Loop thread only.
 */
class leadership_manager {
public:
    leadership_manager(transport::event_loop& loop, session_engine& engine, store_client& store,
                       const platform_protocol& platform, fleet_membership& fleet,
                       peer_messenger& messenger, transport::http_channel& promotion_channel,
                       bounded_log& log, gateway_counters& counters,
                       std::function<void()> read_rows);

    /** Applies the group rows of a store read sent at `requested_at` that listed this VM; `era` is
     * the store's. */
    void apply_records(const std::vector<stored_row>& rows, std::int64_t requested_at,
                       std::int64_t era);

    /** Renews the leases: a read of the store sent at `requested_at` returned the known records and
     * listed this VM. */
    void confirm_records(std::int64_t requested_at);

    void handle(const transport::endpoint& from, const revoke_request& message);
    void handle(const revoke_answer& message);
    void handle(const transport::endpoint& from, const reachability_request& message);
    void handle(const reachability_answer& message);
    void handle(const record_notice& message);

    /** Extends the leases that the members' promises cover. */
    void extend_leases();

    /** Applies positions reported by another VM in answer to a ping sent at `requested_at`. */
    void apply_positions(const std::vector<known_position>& positions, std::int64_t requested_at);

    /** The newest log positions that this VM learned as a home of a primary. */
    std::vector<known_position> get_positions() const;

    /** The newest known log position of each group. */
    std::vector<known_position> get_known_positions() const;

    /** Promises for all groups in which this VM knows of no change of the primary under way. */
    std::vector<record_promise> get_promises() const;

    /** Gives up all leases until a read of the store lists this VM again. */
    void release_leases();

    /**
     * Gives up all leases and stops all changes for good, because this process ends. The promises
     * of this moment stay valid.
     */
    void retire();

    bool is_retired() const { return final_promises_.has_value(); }

    /** Whether this VM may use the primary of any group. */
    bool has_any_lease() const;

    /** Whether a lease is missing or expires soon unless the store is read. In a fleet with hubs
     * only a lease that expires soon counts, because a hub reports new records. */
    bool is_read_due(bool has_hubs) const;

    /** Whether a lease has not been renewed by a read of the store for so long that the members'
     * promises are needed. */
    bool needs_promises() const;

private:
    struct group_status {
        coordination::promotion promotion;
        coordination::first_record_turn first_record_turn;
        /// About the primary, by VM.
        std::map<std::string, coordination::peer_report> reachability_answers;
        std::string watched;  ///< The target that the suspicion is about.
        std::int64_t suspect_since = 0;
        std::int64_t silent_since = 0;  ///< From update_silence_start(); 0 if not silent.
        std::int64_t reachability_requested_at = 0;
        std::int64_t record_received_at = 0;
        std::int64_t early_read_at = 0;
        bool had_lease = false;
        /// The revoke request that is not answered yet, and its sender.
        std::optional<std::pair<transport::endpoint, revoke_request>> pending_revocation;
        std::int64_t revocation_at = 0;  ///< First request for revocation_version.
        std::int64_t revocation_version = 0;
        std::int64_t idle_version = 0;  ///< Version of the record if no action was due; else 0.
    };

    /** Records a later era of the store. */
    void update_era(std::int64_t era, std::int64_t now);
    /** Applies a group's record: renews the lease, or replaces it after a restore. */
    void apply_record(const std::string& name, const coordination::leadership_record& record,
                      std::int64_t requested_at);
    /** Whether the lease of a group with a record ends within `reserve_ms`. */
    bool is_any_lease_ending(std::int64_t reserve_ms) const;
    void tick();
    void send_notice(const std::string& group, std::int64_t version);
    /** Tells the other VMs that may write the first record of a group that it is written. */
    void send_first_record_notice(const std::string& group, std::int64_t version);
    /** The other VMs that have to confirm the loss of the primary: its responsive homes, or all
     * responsive VMs if there are none. */
    std::set<std::string> get_loss_voters(const target_group& group, std::int64_t now) const;
    /** Position of this VM among those that may write the first record of the group; empty if it
     * may not. */
    std::optional<int> get_first_record_rank(const target_group& group, std::int64_t now) const;
    /** Whether this VM may step towards the first record; connects to the primary to learn the
     * term, which the record needs. */
    bool prepare_first_record(target_group& group, group_status& status, std::int64_t now);
    bool is_claim_allowed(std::int64_t now) const;
    bool is_store_read_recent(std::int64_t now) const;
    bool is_primary_leaving(const target_group& group) const;
    /** Whether the target that the record names reports, or is listed, as a replica. */
    bool is_primary_demoted(const target_group& group, const group_status& status,
                            std::int64_t now) const;
    /** Whether there is no reason to change the primary. */
    bool is_idle(const target_group& group, const group_status& status, std::int64_t now) const;
    int get_claim_rank(const target_group& group, std::int64_t now) const;
    void check_suspicion(target_group& group, group_status& status, std::int64_t now);
    void check_revocation(target_group& group, group_status& status, std::int64_t now);
    void check_lease(target_group& group, group_status& status, std::int64_t now);
    coordination::promotion_input get_promotion_input(const target_group& group,
                                                      const group_status& status,
                                                      std::int64_t now) const;
    void step(const std::string& name, const coordination::promotion_event& event);
    void handle_report(const std::string& group, int survey, const std::string& target,
                       const target_report& report);
    void handle_report(const std::string& group, int survey, const std::string& target,
                       const target_refusal& refusal);
    void handle_report(const std::string& group, int survey, const std::string& target,
                       const target_silence& silence);
    void log_survey(const std::string& group, int survey, const std::string& target,
                    const std::string& outcome, const std::string& position);
    void execute(const std::string& name, const coordination::write_record& action);
    void execute(const std::string& name, const coordination::request_lease_release& action);
    void execute(const std::string& name, const coordination::read_store& action);
    void execute(const std::string& name, const coordination::request_report& action);
    void execute(const std::string& name, const coordination::step_down& action);
    void execute(const std::string& name, const coordination::resume_replica& action);
    void execute(const std::string& name, const coordination::request_promotion& action);
    void execute(const std::string& name, const coordination::change_ended& action);
    void execute(const std::string& name, const coordination::change_abandoned& action);
    const target_entry* find_entry(const std::string& group, const std::string& target) const;
    std::string get_changer() const;

    session_engine& engine_;
    store_client& store_;
    const platform_protocol& platform_;
    fleet_membership& fleet_;
    peer_messenger& messenger_;
    transport::http_channel& promotion_channel_;
    bounded_log& log_;
    gateway_counters& counters_;
    std::function<void()> read_rows_;
    std::map<std::string, group_status> group_statuses_;
    std::int64_t store_read_at_ = 0;
    std::int64_t era_ = 0;          ///< The store's era as of the newest read.
    std::int64_t era_since_ = 0;    ///< When this VM first read the store in this era.
    std::int64_t restored_at_ = 0;  ///< When this VM learned of the last restore; 0 without one.
    std::optional<std::vector<record_promise>> final_promises_;  ///< Set by retire().
    transport::loop_timer timer_;
};

}  // namespace hornbeamhook::gateway
