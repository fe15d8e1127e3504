#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "proxy/target_poller.h"
#include "state/group_view.h"

namespace hornbeamhook::proxy {

/** Where traffic threads wait for the next view of one polled group. Thread safe. */
class group_slot {
public:
    /** Publishes a view and wakes all waiting threads. */
    void publish(std::shared_ptr<const state::group_view> view);

    /** Replaces the pollers that request_poll() asks. */
    void set_pollers(std::vector<std::shared_ptr<target_poller>> pollers);

    /** This proxy no longer polls the group; waiting threads return. */
    void close();

    /** Asks every poller for a poll that begins after this call. */
    void request_poll();

    /** See fleet_service::wait_for_group(). */
    std::shared_ptr<const state::group_view> wait(
        state::time_point deadline,
        const std::function<bool(const state::group_view&)>& is_satisfied);

    /** Number of threads in wait(), shared with the pollers. */
    std::shared_ptr<std::atomic<int>> get_waiters() const { return waiters_; }

private:
    const std::shared_ptr<std::atomic<int>> waiters_ = std::make_shared<std::atomic<int>>(0);
    std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<const state::group_view> view_ = std::make_shared<const state::group_view>();
    std::uint64_t version_ = 0;
    bool is_closed_ = false;
    std::vector<std::shared_ptr<target_poller>> pollers_;
};

}  // namespace hornbeamhook::proxy
