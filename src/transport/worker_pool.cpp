#include "transport/worker_pool.h"

#include <utility>

namespace hornbeamhook::transport {

worker_pool::worker_pool(std::size_t threads, std::size_t max_queued) : max_queued_(max_queued) {
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool() {
    stop();
}

bool worker_pool::try_submit(std::function<void()> task) {
    {
        const std::scoped_lock lock(mutex_);
        if (is_stopping_ || tasks_.size() >= max_queued_) {
            return false;
        }
        tasks_.push_back(std::move(task));
    }
    is_available_.notify_one();
    return true;
}

void worker_pool::stop() {
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
    }
    is_available_.notify_all();
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void worker_pool::run() {
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(mutex_);
            is_available_.wait(lock, [this] { return is_stopping_ || !tasks_.empty(); });
            if (tasks_.empty()) {
                return;
            }
            task = std::move(tasks_.front());
            tasks_.pop_front();
        }
        task();
    }
}

}  // namespace hornbeamhook::transport
