#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "proxy/group_source.h"

namespace hornbeamhook::proxy {

/**
 * Requests that wait for something to appear in a group view: acknowledgements and freshness
 * proofs. One thread per group serves all of them, so that a group that makes no progress blocks
 * no thread of another group. Thread safe.
 */
class group_waiter {
public:
    /**
     * Looks at a view (null: this process does not poll the group). Returns true when the request
     * is done; it must do so at its deadline. Must not block and not call wait().
     */
    using check = std::function<bool(const state::group_view*, state::time_point now)>;

    /** `groups` must outlive this. */
    explicit group_waiter(group_source& groups);

    /** Calls stop(). */
    ~group_waiter();
    group_waiter(const group_waiter&) = delete;
    group_waiter& operator=(const group_waiter&) = delete;

    /** Calls `try_finish` now and then with each new view of `pool` until it returns true. */
    void wait(const std::string& pool, check try_finish);

    /** Ends the threads. Requests still waiting are dropped. Safe to call twice. */
    void stop();

private:
    class lane;

    group_source& groups_;
    std::mutex mutex_;
    bool is_stopped_ = false;
    std::map<std::string, std::shared_ptr<lane>> lanes_;
};

}  // namespace hornbeamhook::proxy
