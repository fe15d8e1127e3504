#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "protocol/proxy_settings.h"
#include "proxy/group_source.h"
#include "proxy/target_pool.h"
#include "proxy/target_session.h"

namespace hornbeamhook::proxy {

/** The connections of this home to one target. */
struct connection_usage {
    std::string target;  ///< "pool/target".
    int in_use = 0;      ///< Lent to a request or transaction.
    int idle = 0;        ///< Including those being tested.
    int opening = 0;
    int quota = 0;            ///< This home's share of the target's connection limit.
    int allowed = 0;          ///< The quota in force, lowered by refusals of the target.
    std::size_t waiting = 0;  ///< Requests that wait for a connection.

    bool operator==(const connection_usage&) const = default;
};

/** Counts the connections of one pool. Pure. */
connection_usage make_connection_usage(const std::string& target,
                                       const coordination::connection_pool& pool);

/** The pools of connections to all targets, each with its share of the target's limit. Thread
 * safe. */
class session_pool : public session_source {
public:
    /** The references must outlive this. */
    session_pool(const protocol::proxy_settings& settings, group_source& groups);
    ~session_pool() override;

    session_result acquire(const std::string& pool, const state::target_description& target,
                           state::time_point deadline) override;
    int get_quota(const std::string& pool, const state::target_description& target) override;

    /** The connections to each target that this proxy connected to, by name. */
    std::vector<connection_usage> get_usage();

    /** Follows the homes: a target this proxy serves no more keeps no connection. Call about once
     * a second. */
    void maintain();

private:
    struct entry {
        std::string address;
        std::shared_ptr<target_pool> pool;
        int allowed = 0;  ///< The pool's quota in force when maintain() looked last.
    };

    int get_share(const state::target_description& target) const;
    bool is_home(const state::fleet_view& view, const std::string& key) const;
    std::shared_ptr<target_pool> get_pool(const std::string& pool,
                                          const state::target_description& target);

    std::vector<std::pair<std::string, std::shared_ptr<target_pool>>> get_pools();

    const protocol::proxy_settings& settings_;
    group_source& groups_;
    std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

}  // namespace hornbeamhook::proxy
