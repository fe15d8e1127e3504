#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace hornbeamhook::standin::platform {

/** Runs tasks at a later time on one thread, so that slow answers do not hold HTTP threads. */
class answer_delayer {
public:
    answer_delayer();

    /** Drops the tasks that are not due yet. */
    ~answer_delayer();
    answer_delayer(const answer_delayer&) = delete;
    answer_delayer& operator=(const answer_delayer&) = delete;

    /** Runs `task` after `delay`. Thread safe. */
    void run_after(std::chrono::milliseconds delay, std::function<void()> task);

private:
    using time_point = std::chrono::steady_clock::time_point;

    void run();

    std::mutex mutex_;
    std::condition_variable has_changed_;
    std::multimap<time_point, std::function<void()>> tasks_;
    bool is_stopping_ = false;
    std::thread thread_;
};

}  // namespace hornbeamhook::standin::platform
