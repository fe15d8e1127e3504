#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "protocol/proxy_settings.h"
#include "proxy/group_source.h"
#include "proxy/target_session.h"

namespace hornbeamhook::proxy {

/** Pooled connections to targets, bounded per target. Thread safe. */
class session_pool : public session_source {
public:
    /** The references must outlive this, and this must outlive its sessions. */
    session_pool(const protocol::proxy_settings& settings, group_source& groups);
    ~session_pool() override;

    session_result acquire(const std::string& pool, const state::target_description& target,
                           bool is_write, state::time_point deadline) override;
    int get_quota(const std::string& pool, const state::target_description& target) override;
    void report_silent(const std::string& pool, const std::string& target) override;

    /** Closes idle connections that are old or whose target this proxy serves no more, and raises
     * lowered quotas. Call about once a second. */
    void maintain(state::time_point now);

private:
    friend class pooled_session;

    struct idle_connection {
        std::unique_ptr<transport::target_connection> connection;
        state::time_point last_used{};
        bool must_probe = false;
    };

    struct shelf {
        std::vector<idle_connection> idle;  ///< The newest is last.
        int open = 0;                       ///< Idle ones included.
        int lowered_quota = 0;              ///< 0: not lowered.
        state::time_point raised_at{};
    };

    static std::string get_key(const std::string& pool, const std::string& target);
    int get_base_quota(const state::target_description& target) const;
    int get_quota_locked(const shelf& from, const state::target_description& target) const;
    void give_back(const std::string& key,
                   std::unique_ptr<transport::target_connection> connection);
    void drop(const std::string& key);
    void lower_quota(const std::string& key, state::time_point now);
    session_result open(const std::string& key, const state::target_description& target,
                        state::time_point deadline);

    const protocol::proxy_settings& settings_;
    group_source& groups_;
    std::mutex mutex_;
    std::condition_variable returned_;
    std::map<std::string, shelf> shelves_;
};

}  // namespace hornbeamhook::proxy
