#include "transport/event_loop.h"

#include <ctime>
#include <utility>

namespace hornbeamhook::transport {

milliseconds_count get_boot_time() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr milliseconds_count ms_per_s = 1000;
    constexpr milliseconds_count ns_per_ms = 1'000'000;
    return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

event_loop::event_loop() {
    uv_loop_init(&loop_);
}

event_loop::~event_loop() {
    // Lets close callbacks run that were requested by destroyed members.
    uv_run(&loop_, UV_RUN_NOWAIT);
    uv_loop_close(&loop_);
}

void event_loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void event_loop::stop() {
    uv_stop(&loop_);
}

loop_timer::loop_timer(event_loop& loop) : state_(new state) {
    uv_timer_init(loop.get_handle(), &state_->handle);
    state_->handle.data = state_;
}

loop_timer::~loop_timer() {
    state_->callback = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

void loop_timer::start(milliseconds_count delay_ms, milliseconds_count repeat_ms,
                       std::function<void()> callback) {
    state_->callback = std::move(callback);
    uv_timer_start(
        &state_->handle,
        [](uv_timer_t* handle) {
            // A copy, because the callback may start the timer again.
            const std::function<void()> due = static_cast<state*>(handle->data)->callback;
            if (due) {
                due();
            }
        },
        static_cast<std::uint64_t>(delay_ms), static_cast<std::uint64_t>(repeat_ms));
}

void loop_timer::stop() {
    uv_timer_stop(&state_->handle);
}

signal_watcher::signal_watcher(event_loop& loop, int signal, std::function<void()> callback)
    : state_(new state) {
    uv_signal_init(loop.get_handle(), &state_->handle);
    state_->handle.data = state_;
    state_->callback = std::move(callback);
    uv_signal_start(
        &state_->handle,
        [](uv_signal_t* handle, int /*signal*/) { static_cast<state*>(handle->data)->callback(); },
        signal);
}

signal_watcher::~signal_watcher() {
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

}  // namespace hornbeamhook::transport
