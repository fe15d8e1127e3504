#include "proxy/timer_queue.h"

#include <utility>

namespace hornbeamhook::proxy {

timer_queue::timer_queue() : thread_([this] { run(); }) {}

timer_queue::~timer_queue() {
    stop();
}

void timer_queue::schedule(state::time_point when, std::function<void()> task) {
    {
        const std::scoped_lock lock(mutex_);
        if (is_stopping_) {
            return;
        }
        tasks_.emplace(when, std::move(task));
    }
    changed_.notify_one();
}

void timer_queue::stop() {
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void timer_queue::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        if (tasks_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto first = tasks_.begin();
        const state::time_point due = first->first;
        if (std::chrono::steady_clock::now() < due) {
            changed_.wait_until(lock, due);
            continue;
        }
        const std::function<void()> task = std::move(first->second);
        tasks_.erase(first);
        lock.unlock();
        task();
        lock.lock();
    }
}

}  // namespace hornbeamhook::proxy
