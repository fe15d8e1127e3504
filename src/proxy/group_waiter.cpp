#include "proxy/group_waiter.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <list>
#include <thread>
#include <utility>

namespace hornbeamhook::proxy {

namespace {
// Deadlines of waiting requests are noticed within this time.
constexpr std::chrono::milliseconds deadline_step{5};
}  // namespace

/** The waiting requests of one group with their thread. */
class group_waiter::lane {
public:
    lane(group_source& groups, std::string pool)
        : groups_(groups), pool_(std::move(pool)), thread_([this] { run(); }) {}

    ~lane() { stop(); }
    lane(const lane&) = delete;
    lane& operator=(const lane&) = delete;

    void add(check try_finish) {
        {
            const std::scoped_lock lock(mutex_);
            added_.push_back(std::move(try_finish));
        }
        changed_.notify_one();
        groups_.request_poll(pool_);
    }

    void stop() {
        {
            const std::scoped_lock lock(mutex_);
            is_stopping_ = true;
        }
        changed_.notify_one();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

private:
    /** Waits for work and collects it; false when stopping. */
    bool collect() {
        std::unique_lock lock(mutex_);
        if (waiting_.empty()) {
            changed_.wait(lock, [this] { return is_stopping_ || !added_.empty(); });
        }
        waiting_.splice(waiting_.end(), added_);
        return !is_stopping_;
    }

    void finish_ready(const state::group_view* view) {
        const state::time_point now = std::chrono::steady_clock::now();
        waiting_.remove_if([&](const check& each) { return each(view, now); });
    }

    bool has_added() {
        const std::scoped_lock lock(mutex_);
        return is_stopping_ || !added_.empty();
    }

    void run() {
        while (collect()) {
            bool is_any_finished = false;
            const std::shared_ptr<const state::group_view> view = groups_.wait_for_group(
                pool_, std::chrono::steady_clock::now() + deadline_step,
                [&](const state::group_view& current) {
                    const std::size_t before = waiting_.size();
                    finish_ready(&current);
                    is_any_finished = waiting_.size() != before;
                    return is_any_finished || waiting_.empty() || has_added();
                });
            if (!is_any_finished) {
                finish_ready(view.get());
            }
        }
    }

    group_source& groups_;
    const std::string pool_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<check> added_;
    std::list<check> waiting_;  ///< Only the lane's thread touches it.
    bool is_stopping_ = false;
    std::thread thread_;
};

group_waiter::group_waiter(group_source& groups) : groups_(groups) {}

group_waiter::~group_waiter() {
    stop();
}

void group_waiter::wait(const std::string& pool, check try_finish) {
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    const auto group = view->polled_groups.find(pool);
    const state::group_view* current =
        group == view->polled_groups.end() ? nullptr : group->second.get();
    if (try_finish(current, std::chrono::steady_clock::now())) {
        return;
    }
    std::shared_ptr<lane> target;
    {
        const std::scoped_lock lock(mutex_);
        if (is_stopped_) {
            return;
        }
        std::shared_ptr<lane>& entry = lanes_[pool];
        if (!entry) {
            entry = std::make_shared<lane>(groups_, pool);
        }
        target = entry;
    }
    target->add(std::move(try_finish));
}

void group_waiter::stop() {
    std::map<std::string, std::shared_ptr<lane>> lanes;
    {
        const std::scoped_lock lock(mutex_);
        is_stopped_ = true;
        lanes.swap(lanes_);
    }
    for (auto& [pool, each] : lanes) {
        each->stop();
    }
}

}  // namespace hornbeamhook::proxy
