#include "proxy/group_slot.h"

#include <utility>

namespace hornbeamhook::proxy {

namespace {

/** Counts a waiting thread, so that pollers repeat their polls while there is one. */
class waiter_guard {
public:
    explicit waiter_guard(std::atomic<int>& count) : count_(count) { ++count_; }
    ~waiter_guard() { --count_; }
    waiter_guard(const waiter_guard&) = delete;
    waiter_guard& operator=(const waiter_guard&) = delete;

private:
    std::atomic<int>& count_;
};

}  // namespace

void group_slot::publish(std::shared_ptr<const state::group_view> view) {
    {
        const std::scoped_lock lock(mutex_);
        view_ = std::move(view);
        ++version_;
    }
    changed_.notify_all();
}

void group_slot::set_pollers(std::vector<std::shared_ptr<target_poller>> pollers) {
    std::vector<std::shared_ptr<target_poller>> old;
    const std::scoped_lock lock(mutex_);
    old.swap(pollers_);
    pollers_ = std::move(pollers);
}

void group_slot::close() {
    {
        const std::scoped_lock lock(mutex_);
        is_closed_ = true;
        pollers_.clear();
    }
    changed_.notify_all();
}

void group_slot::request_poll() {
    std::vector<std::shared_ptr<target_poller>> pollers;
    {
        const std::scoped_lock lock(mutex_);
        pollers = pollers_;
    }
    for (const std::shared_ptr<target_poller>& poller : pollers) {
        poller->request();
    }
}

std::shared_ptr<const state::group_view> group_slot::wait(
    state::time_point deadline, const std::function<bool(const state::group_view&)>& is_satisfied) {
    const waiter_guard guard(*waiters_);
    bool has_requested = false;
    while (true) {
        std::shared_ptr<const state::group_view> view;
        std::uint64_t version = 0;
        bool is_closed = false;
        {
            const std::scoped_lock lock(mutex_);
            view = view_;
            version = version_;
            is_closed = is_closed_;
        }
        if (is_satisfied(*view) || is_closed || std::chrono::steady_clock::now() >= deadline) {
            return view;
        }
        if (!has_requested) {
            has_requested = true;
            request_poll();
        }
        std::unique_lock lock(mutex_);
        changed_.wait_until(lock, deadline, [&] { return is_closed_ || version_ != version; });
    }
}

}  // namespace hornbeamhook::proxy
