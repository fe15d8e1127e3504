#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "coordination/connection_pool.h"
#include "transport/target_connection.h"

namespace hornbeamhook::proxy {

/** Why no connection was lent. Nothing was sent for the caller in any of these cases. */
enum class pool_failure {
    not_home,     ///< The quota is 0: this proxy opens no connections to the target.
    deadline,     ///< No connection became free in time.
    unreachable,  ///< The target could not be connected to; see cause.
};

/** Failure of target_pool::acquire(). */
struct pool_error {
    pool_failure failure = pool_failure::deadline;
    transport::target_error cause;  ///< Only for `unreachable`.
};

/** What happened on a connection that is given back. */
enum class release_kind {
    clean,              ///< The session holds no state of its last user.
    after_transaction,  ///< Statements ran on it; its session state is discarded first.
    broken,             ///< It failed or may be in use by an unanswered exchange.
};

/** Settings of the pool of connections to one target. */
struct target_pool_options {
    std::string address;  ///< "ip:port".
    coordination::connection_pool_limits limits;
    std::chrono::milliseconds probe_timeout{300};  ///< For probes, tests and DISCARD ALL.
    std::chrono::milliseconds open_timeout{1000};
};

/**
 * The data connections of one home to one target: quota, reuse of clean connections only, probing
 * of connections that were idle for long, and back-off when the target is at its limit.
 *
 * Thread safe. Leases may outlive the pool.
 */
class target_pool {
    struct implementation;

public:
    /** The right to use one connection. Gives it back as broken when destroyed unreleased. */
    class lease {
    public:
        lease(lease&& other) noexcept;
        lease& operator=(lease&& other) noexcept;
        lease(const lease&) = delete;
        lease& operator=(const lease&) = delete;
        ~lease();

        /** Precondition: not released. */
        transport::target_connection& get() { return *connection_; }

        /** Whether it was idle for so long that its silence would be no surprise. Only for reads;
         * a write gets a probed connection. */
        bool was_idle_long() const { return was_idle_long_; }

        /**
         * Gives the connection back. One that is not in the idle transaction state is closed,
         * whatever `kind` says. After a transaction this waits for the target's answer.
         */
        void release(release_kind kind);

    private:
        friend class target_pool;
        lease(std::shared_ptr<implementation> pool, coordination::connection_id id,
              std::unique_ptr<transport::target_connection> connection, bool was_idle_long);

        std::shared_ptr<implementation> pool_;
        coordination::connection_id id_ = 0;
        std::unique_ptr<transport::target_connection> connection_;
        bool was_idle_long_ = false;
    };

    explicit target_pool(target_pool_options options);

    /** Closes idle connections, refuses waiting threads and ends running tests. */
    ~target_pool();
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    /**
     * Waits for a connection until `deadline`. A connection for a write answered a probe if it was
     * idle for long. Fails with pool_error.
     */
    boost::leaf::result<lease> acquire(state::time_point deadline, bool is_write);

    /** Changes the quota; 0 closes idle connections at once and lent ones when released. */
    void set_quota(int quota);

    /** The state of the decisions, with counters. */
    coordination::connection_pool get_state() const;

private:
    std::shared_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
