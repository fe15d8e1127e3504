#include "proxy/task_queue.h"

#include <utility>

namespace hornbeamhook::proxy {

task_queue::task_queue(std::size_t max_queued) : max_queued_(max_queued) {}

bool task_queue::try_push(std::function<void()> task) {
    {
        const std::scoped_lock lock(mutex_);
        if (is_closed_ || tasks_.size() >= max_queued_) {
            return false;
        }
        tasks_.push_back(std::move(task));
    }
    is_filled_.notify_one();
    return true;
}

bool task_queue::push(std::function<void()> task) {
    {
        std::unique_lock lock(mutex_);
        is_drained_.wait(lock, [this] { return is_closed_ || tasks_.size() < max_queued_; });
        if (is_closed_) {
            return false;
        }
        tasks_.push_back(std::move(task));
    }
    is_filled_.notify_one();
    return true;
}

std::deque<std::function<void()>> task_queue::take_all(time_point until) {
    std::deque<std::function<void()>> taken;
    {
        std::unique_lock lock(mutex_);
        is_filled_.wait_until(lock, until, [this] { return is_closed_ || !tasks_.empty(); });
        taken.swap(tasks_);
    }
    is_drained_.notify_all();
    return taken;
}

void task_queue::close() {
    {
        const std::scoped_lock lock(mutex_);
        is_closed_ = true;
    }
    is_filled_.notify_all();
    is_drained_.notify_all();
}

}  // namespace hornbeamhook::proxy
