#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/answer_flow.h"
#include "gateway/bounded_log.h"
#include "gateway/gateway_counters.h"
#include "gateway/home_planner.h"
#include "gateway/home_selector.h"
#include "gateway/organisation_table.h"
#include "gateway/pending_statement.h"
#include "gateway/session_protocol.h"
#include "gateway/target_group.h"
#include "gateway/target_link.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/** What link_pool needs from its owner. */
struct link_pool_owner {
    /** Null if the target is not known. */
    std::function<target_state*(const std::string& group, const std::string& target)> find_target;
    /** A connection has opened: retries the group's queued statements. */
    std::function<void(const std::string& group)> dispatch;
    /** A target answered, directly or through a home, to something sent at `sent_at`. */
    std::function<void(const std::string& group, const std::string& target, const target_ready&,
                       std::int64_t sent_at)>
        answered;
};

/** Why a connection that no statement uses is closed; empty if it stays. Pure. */
std::optional<std::string> get_close_reason(const target_link& link,
                                            std::optional<std::int64_t> idle_timeout_ms,
                                            std::int64_t now);

/**
 * Decides which connections to targets exist and which of them a statement uses: direct ones
 * within this VM's share of a target's connections, or those to the target's homes. The owner
 * keeps the targets and their lists of connections. Loop thread only; all times are boot times in
 * ms.
 */
class link_pool {
public:
    /** `flow` must outlive all connections that the pool opens. */
    link_pool(transport::event_loop& loop, const session_protocol& protocol, bounded_log& log,
              gateway_counters& counters, answer_flow& flow, std::string vm,
              std::map<std::string, std::string> place_regions, link_pool_owner owner);

    /** Whether a connection belongs to one organisation, see docs/design/organisations.md. */
    void set_identifies_callers(bool value) { identifies_callers_ = value; }
    /** Sets the organisations of the newest configuration. */
    void set_organisations(const organisation_table& value);
    home_planner& get_planner() { return planner_; }
    const home_planner& get_planner() const { return planner_; }

    /** A free connection for the statement; null if there is none yet. One is opened if this VM may
     * hold more. Homes that failed earlier are tried again after retry_delay_ms. */
    std::shared_ptr<target_link> find(target_state& target, pending_statement& pending);

    /** The same without homes. */
    std::shared_ptr<target_link> find_direct(target_state& target,
                                             const pending_statement& pending);

    /** A free direct connection of any organisation; null without one. */
    static std::shared_ptr<target_link> find_idle(const target_state& target);

    /** Opens a connection to learn the target's state, unless one is being opened. Does nothing if
     * this VM reaches the target through its homes. */
    void probe(target_state& target);

    /** Closes connections that are idle, unresponsive or slow to open, and forgets ended ones. */
    void trim(target_state& target, std::int64_t now);

    /** Closes all connections to the target; their statements get a lost answer. */
    static void close_all(target_state& target);

    /** Notes how long the homes have left statements unanswered. Call regularly. */
    void update_homes(const std::map<std::string, target_group>& groups);

    /** Excludes the home for a while, because a statement got no answer in time. */
    void back_off(const std::string& home, std::int64_t now) { homes_.back_off(home, now); }

private:
    bool is_direct(const target_state& target) const;
    bool is_small(const std::string& organisation) const;
    int get_direct_limit(const target_state& target, std::int64_t now) const;
    std::string select_home(const target_state& target, const pending_statement& pending,
                            std::int64_t now) const;
    std::shared_ptr<target_link> find_relayed(target_state& target,
                                              const pending_statement& pending);
    /** Closes the connection that has been idle for longest; false if none is idle. */
    static bool close_idlest(target_state& target);
    void open_direct(target_state& target, const std::string& organisation);
    void open_relayed(target_state& target, const std::string& home);
    /** How long the link may be idle before it is closed; empty if it is kept. `index` counts the
     * target's direct or relayed links. */
    std::optional<std::int64_t> get_idle_timeout(const target_state& target,
                                                 const target_link& link, int index) const;
    void handle_end(const std::string& group, const std::string& target,
                    const target_link::link_end& end);
    /** Logs the end of a connection, direct or through `home`. */
    void log_end(const std::string& target, const std::string& home,
                 const target_link::link_end& end);
    void log_setup_failure(const std::string& target, const std::string& home, std::uint64_t link,
                           const coordination::setup_step& step, const target_failure& failure);

    transport::event_loop& loop_;
    const session_protocol& protocol_;
    bounded_log& log_;
    gateway_counters& counters_;
    answer_flow& flow_;
    std::string vm_;
    link_pool_owner owner_;
    home_planner planner_;
    home_selector homes_;
    std::set<std::string> large_organisations_;  ///< Their statements use all homes of a target.
    std::int64_t started_at_ = transport::get_boot_time();
    bool identifies_callers_ = false;
};

}  // namespace hornbeamhook::gateway
