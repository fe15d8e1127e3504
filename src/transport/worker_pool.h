#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hornbeamhook::transport {

/** Fixed number of threads that run tasks from one bounded queue. */
class worker_pool {
public:
    /** Starts `threads` threads; at most `max_queued` tasks wait. */
    worker_pool(std::size_t threads, std::size_t max_queued);

    /** Calls stop(). */
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /** Queues a task. Returns false, without running it, when the queue is full. Thread safe. */
    bool try_submit(std::function<void()> task);

    /** Runs what is queued, then ends the threads. Call from outside the pool's own threads. */
    void stop();

private:
    void run();

    const std::size_t max_queued_;
    std::mutex mutex_;
    std::condition_variable is_available_;
    std::deque<std::function<void()>> tasks_;
    bool is_stopping_ = false;
    std::vector<std::thread> threads_;
};

}  // namespace hornbeamhook::transport
