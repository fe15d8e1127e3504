#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/byte_budget.h"
#include "gateway/answer_flow.h"
#include "gateway/bounded_log.h"
#include "gateway/caller_limits.h"
#include "gateway/caller_session.h"
#include "gateway/configuration.h"
#include "gateway/gateway_counters.h"
#include "gateway/link_pool.h"
#include "gateway/link_request.h"
#include "gateway/operation_gate.h"
#include "gateway/pending_statement.h"
#include "gateway/session_protocol.h"
#include "gateway/target_control.h"
#include "gateway/target_group.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/** Values and prepared statements of all sessions of a VM, which has 160 MB or more. */
inline constexpr std::size_t max_vm_session_bytes = std::size_t{32} * 1024 * 1024;
/** Input of all sessions of a VM that is not handled yet. */
inline constexpr std::size_t max_vm_input_bytes = std::size_t{32} * 1024 * 1024;

/**
 * Runs callers' statements on target connections: routing, connection sharing, read freshness,
 * retries and refusals. The owner sets each group's primary and this VM's lease on it. Loop thread
 * only.
 */
class session_engine {
public:
    session_engine(transport::event_loop& loop, const session_protocol& protocol, bounded_log& log,
                   gateway_counters& counters, std::string vm, std::string place,
                   std::map<std::string, std::string> place_regions);

    ~session_engine();
    session_engine(const session_engine&) = delete;
    session_engine& operator=(const session_engine&) = delete;

    // For the owner of the configuration and of discovery.

    /** Replaces the configuration; open transactions keep their route. Where callers are
     * identified, sessions whose key no organisation holds any more end, and transactions on a
     * database that was removed. */
    void set_configuration(const configuration& value);
    /** Whether callers need the key of an organisation. */
    void set_identifies_callers(bool value) {
        identifies_callers_ = value;
        links_.set_identifies_callers(value);
    }
    /** Whether organisations share the room fairly while statements wait, and statements that can't
     * be served in time are refused at once. */
    void set_shares_fairly(bool value) { shares_fairly_ = value; }
    /** Whether the statements in flight at a target are limited, see coordination::target_pace.
     * Precondition: no target is known. */
    void set_paces_targets(bool value) { paces_targets_ = value; }
    /** Sets what allows operations of limited organisations; null: none is limited. It has to
     * outlive the engine's use. */
    void set_operation_gate(operation_gate* gate) { gate_ = gate; }
    /** Null if the newest configuration has none of this name. */
    const organisation* find_organisation_by_name(const std::string& name) const {
        return configuration_.organisations.find(name);
    }
    /** Adds or updates one target, or removes it when `entry` is empty. */
    void update_target(const std::string& id, const std::optional<target_entry>& entry);
    /** Sets the VMs that share the targets' connections. `live` includes this one. */
    void set_fleet(std::vector<fleet_member> live, int fleet_size);
    std::map<std::string, target_group>& get_groups() { return groups_; }
    const std::map<std::string, target_group>& get_groups() const { return groups_; }

    /** Opens a connection to learn the target's state, unless one is being opened. Does nothing if
     * this VM reaches the target through its homes. */
    void probe(target_state& target) { links_.probe(target); }
    /** Status requests and control statements to targets. */
    target_control& get_control() { return control_; }

    /** Counts this VM's connections to a target whose statement or transaction may still write. */
    int count_active_links(const std::string& group, const std::string& target) const;
    /** Closes all connections to a target; their statements get a lost answer. */
    void close_target_links(const std::string& group, const std::string& target);
    /** Retries a group's queued statements. Call after its leadership changed. */
    void dispatch(const std::string& group);

    // For the listener.

    void accept(const std::shared_ptr<transport::tcp_stream>& stream, session_origin origin);
    std::size_t count_sessions() const { return sessions_.size(); }
    /** Makes sessions close as soon as they are idle. */
    void set_stopping() { is_stopping_ = true; }
    void close_idle_sessions();
    /** Answers all outstanding statements before the process ends, and closes all sessions. */
    void end_all_sessions();
    void close_all_sessions();

    // For sessions.

    const session_protocol& get_protocol() const { return protocol_; }
    bool is_configured() const { return configuration_.version > 0; }
    bool is_stopping() const { return is_stopping_; }
    /** What all sessions hold in values and prepared statements. */
    coordination::byte_budget& get_session_bytes() { return session_bytes_; }
    /** Input of all sessions that is incomplete or waits for an outstanding statement. */
    coordination::byte_budget& get_input_bytes() { return input_bytes_; }
    /** What sessions may hold, and which of them is closed when they hold too much. */
    caller_limits& get_caller_limits() { return caller_limits_; }
    /** Incomplete answers of targets. */
    answer_flow& get_answer_flow() { return answer_flow_; }
    const route* find_route(const std::string& database) const;
    bool identifies_callers() const { return identifies_callers_; }
    /** Of the newest configuration. */
    const organisation_table& get_organisations() const { return configuration_.organisations; }
    void submit(const pending_statement_ptr& pending);
    /** Sends a statement on a link after setting the session's values and prepared statements
     * there, unless `may_send` is set and false by then. `limits` is sent first and has no answer.
     */
    void send(const caller_session& session, const std::shared_ptr<target_link>& link,
              const caller_statement& statement, const std::optional<caller_statement>& begin,
              const std::optional<state::log_point>& required_position,
              std::function<bool()> may_send, target_link::answer_callback done,
              const std::string& limits = {});
    /** Unpins a link and rolls back its open transaction. */
    void release_pinned(const std::shared_ptr<target_link>& link);
    void remove_session(const caller_session& session);
    /** Sends a statement to no target any more, because the newest configuration does not allow it.
     * Refuses it unless a target may still answer; with `code` if it was not sent. */
    void withdraw(const pending_statement_ptr& pending, failure_code code,
                  const std::string& reason);
    /** Refuses a statement that this VM cannot finish because it stops. */
    void refuse_for_stop(const pending_statement_ptr& pending);
    /** Term of the group's current record; 0 without one. */
    state::term_number get_term(const std::string& group) const;
    /** Whether a commit answered by `target` in `term` may be acknowledged to the caller. */
    bool may_acknowledge_commit(const std::string& group, const std::string& target,
                                state::term_number term) const;
    void log_bad_input(const std::string& caller, const std::string& reason);
    void log_lost_answer(const caller_session& session, const caller_statement& statement,
                         const std::string& target, bool is_commit);

private:
    enum class assignment { sent, must_wait, refused };

    void tick();
    void enforce_time_limits(std::int64_t now);
    void expire(target_group& group, std::int64_t now);
    void hedge(target_group& group, std::int64_t now);
    assignment assign(target_group& group, const pending_statement_ptr& pending);
    assignment assign_to_primary(target_group& group, const pending_statement_ptr& pending);
    assignment assign_read(target_group& group, const pending_statement_ptr& pending);
    assignment assign_relayed(target_group& group, const pending_statement_ptr& pending);
    /** An idle connection that may carry a control statement; null without one. */
    std::shared_ptr<target_link> find_control_link(const std::string& group,
                                                   const std::string& target);
    /** Plans the homes of all targets after the fleet or the connection limits changed. */
    void update_plans(const coordination::member_change& change);
    int get_connection_limit(const target_state& target) const;
    /** Whether its organisation's limit will not allow the statement within its wait limit and
     * `max_wait_ms`, both from its arrival. */
    bool is_beyond_limit(const target_group& group, const pending_statement& pending,
                         std::int64_t max_wait_ms, std::int64_t now) const;
    /** How long a statement waits that no target may run now. */
    std::int64_t get_not_runnable_wait(const target_group& group, std::int64_t objective_ms,
                                       std::int64_t now) const;
    void run(target_group& group, const pending_statement_ptr& pending,
             const std::shared_ptr<target_link>& link,
             const std::optional<state::log_point>& required_position);
    void finish(const std::string& group_name, const pending_statement_ptr& pending,
                const std::shared_ptr<target_link>& link, state::term_number term,
                const target_answer& answer);
    bool may_retry(const pending_statement& pending, const target_answer& answer) const;
    /** Rolls back what is open on a connection that no session has pinned. */
    void roll_back_unpinned(const std::shared_ptr<target_link>& link);
    void refuse(target_group& group, const pending_statement_ptr& pending, failure_code code,
                const std::string& reason);
    void settle(target_group& group, const pending_statement_ptr& pending);
    void handle_answer(const std::string& group, const std::string& target,
                       const target_ready& ready, std::int64_t sent_at);
    void log_prepared(const target_link& link, const link_request& request);
    std::int64_t get_round_trip_ms(const std::string& place) const;
    target_state* find_target(const std::string& group, const std::string& target);

    transport::event_loop& loop_;
    const session_protocol& protocol_;
    bounded_log& log_;
    gateway_counters& counters_;
    std::string vm_;
    std::string place_;
    configuration configuration_;
    answer_flow answer_flow_;  ///< Outlives the connections in groups_.
    link_pool links_;
    std::map<std::string, target_group> groups_;
    std::map<std::string, std::string> group_of_target_;
    std::map<const caller_session*, std::shared_ptr<caller_session>> sessions_;
    target_control control_;
    transport::loop_timer timer_;
    std::int64_t started_at_ = transport::get_boot_time();
    bool is_stopping_ = false;
    bool identifies_callers_ = false;
    bool shares_fairly_ = false;
    bool paces_targets_ = false;
    operation_gate* gate_ = nullptr;
    coordination::byte_budget session_bytes_{max_vm_session_bytes};
    coordination::byte_budget input_bytes_{max_vm_input_bytes};
    caller_limits caller_limits_{loop_, log_, counters_};
};

}  // namespace hornbeamhook::gateway
