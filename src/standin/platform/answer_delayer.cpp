#include "standin/platform/answer_delayer.h"

#include <utility>

namespace hornbeamhook::standin::platform {

answer_delayer::answer_delayer() : thread_([this] { run(); }) {}

answer_delayer::~answer_delayer() {
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
    }
    has_changed_.notify_all();
    thread_.join();
}

void answer_delayer::run_after(std::chrono::milliseconds delay, std::function<void()> task) {
    {
        const std::scoped_lock lock(mutex_);
        tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    }
    has_changed_.notify_all();
}

void answer_delayer::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        if (tasks_.empty()) {
            has_changed_.wait(lock);
            continue;
        }
        const time_point due = tasks_.begin()->first;
        if (std::chrono::steady_clock::now() < due) {
            has_changed_.wait_until(lock, due);
            continue;
        }
        const std::function<void()> task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        lock.unlock();
        task();
        lock.lock();
    }
}

}  // namespace hornbeamhook::standin::platform
