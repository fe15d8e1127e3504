#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace hornbeamhook::transport {

/** Milliseconds of a local clock; never compared between VMs. */
using milliseconds_count = std::int64_t;

/**
 * The clock for everything that must expire while the VM is suspended: unlike the steady clock it
 * counts the time of a suspension. Thread safe.
 */
milliseconds_count get_boot_time();

/** One loop on one thread. All objects made for it are used on that thread only. */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until stop(). */
    void run();

    /** Ends run() after the present callbacks. Loop thread only. */
    void stop();

    uv_loop_t* get_handle() { return &loop_; }

private:
    uv_loop_t loop_{};
};

/** Calls a function once or repeatedly. Loop thread only. */
class loop_timer {
public:
    explicit loop_timer(event_loop& loop);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    /** Replaces an earlier start. `repeat_ms` 0 means once. */
    void start(milliseconds_count delay_ms, milliseconds_count repeat_ms,
               std::function<void()> callback);

    /** Cancels; harmless when not started. */
    void stop();

private:
    struct state {
        uv_timer_t handle{};
        std::function<void()> callback;
    };

    state* state_;  ///< Owned by the loop until the handle is closed.
};

/** Calls a function when the process receives a signal. Loop thread only. */
class signal_watcher {
public:
    signal_watcher(event_loop& loop, int signal, std::function<void()> callback);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    struct state {
        uv_signal_t handle{};
        std::function<void()> callback;
    };

    state* state_;  ///< Owned by the loop until the handle is closed.
};

}  // namespace hornbeamhook::transport
