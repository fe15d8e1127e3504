#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "state/group_view.h"

namespace hornbeamhook::proxy {

/** Runs tasks at given times on one thread; the tasks must be short. Thread safe. */
class timer_queue {
public:
    timer_queue();

    /** Calls stop(). */
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /** Runs `task` at `when` or soon after; never when the queue stops first. */
    void schedule(state::time_point when, std::function<void()> task);

    /** Ends the thread; tasks that are not due are dropped. Safe to call twice. */
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<state::time_point, std::function<void()>> tasks_;
    bool is_stopping_ = false;
    std::thread thread_;
};

}  // namespace hornbeamhook::proxy
