#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace hornbeamhook::proxy {

/** Bounded queue of what the control thread has to do. Thread safe. */
class task_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit task_queue(std::size_t max_queued);

    /** Queues a task. Returns false, without running it, when the queue is full or closed. */
    bool try_push(std::function<void()> task);

    /** Like try_push(), but waits while the queue is full. False only when it is closed. */
    bool push(std::function<void()> task);

    /** Takes all tasks; waits until `until` for the first one. */
    std::deque<std::function<void()>> take_all(time_point until);

    /** Rejects later tasks and wakes everybody. */
    void close();

private:
    const std::size_t max_queued_;
    std::mutex mutex_;
    std::condition_variable is_filled_;
    std::condition_variable is_drained_;
    std::deque<std::function<void()>> tasks_;
    bool is_closed_ = false;
};

}  // namespace hornbeamhook::proxy
