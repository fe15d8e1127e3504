#include "coordination/poll_schedule.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Polls repeat while readers wait. The spacing grows with the wait, so that a replica that lags for
// long causes few polls.
constexpr microseconds min_repeat_spacing{1000};
constexpr microseconds max_repeat_spacing{25'000};
constexpr int repeat_spacing_divisor = 8;

microseconds get_repeat_spacing(const poll_schedule_state& state) {
    const auto waited =
        std::chrono::duration_cast<microseconds>(state.last_poll_at - state.last_request_at);
    return std::clamp(waited / repeat_spacing_divisor, min_repeat_spacing, max_repeat_spacing);
}

void begin(poll_schedule_state& state, time_point now, std::vector<schedule_action>& actions) {
    state.in_flight_since = now;
    state.last_poll_at = now;
    state.is_queued = false;
    actions.emplace_back(begin_poll{});
}

void apply(poll_schedule_state& state, const poll_requested& /*event*/, time_point now,
           std::vector<schedule_action>& actions) {
    state.last_request_at = now;
    if (state.in_flight_since) {
        state.is_queued = true;
        return;
    }
    begin(state, now, actions);
}

void apply(poll_schedule_state& state, const poll_finished& event, time_point now,
           std::vector<schedule_action>& actions) {
    state.in_flight_since.reset();
    state.failures = event.is_answered ? 0 : state.failures + 1;
    // A failing target is not polled back to back, regardless of the number of requests.
    if (state.is_queued && event.is_answered) {
        begin(state, now, actions);
    }
}

void apply(poll_schedule_state& state, const schedule_checked& event, time_point now,
           std::vector<schedule_action>& actions) {
    if (!state.in_flight_since && now >= get_next_check(state, event.has_waiters)) {
        begin(state, now, actions);
    }
}

void apply(poll_schedule_state& state, const heartbeat_changed& event, time_point /*now*/,
           std::vector<schedule_action>& /*actions*/) {
    state.heartbeat_interval = event.interval;
}

}  // namespace

milliseconds get_heartbeat(std::size_t rank, bool has_potential_failure,
                           const heartbeat_intervals& intervals) {
    return rank < active_pollers || has_potential_failure ? intervals.active : intervals.standby;
}

time_point get_next_check(const poll_schedule_state& state, bool has_waiters) {
    if (state.failures > 0) {
        const bool is_fast_retry = state.failures <= max_fast_retries;
        return state.last_poll_at +
               (is_fast_retry ? failure_retry_interval : state.heartbeat_interval);
    }
    if (state.is_queued) {
        return state.last_poll_at;
    }
    if (has_waiters) {
        return state.last_poll_at + get_repeat_spacing(state);
    }
    return state.last_poll_at + state.heartbeat_interval;
}

poll_schedule_step step_poll_schedule(poll_schedule_state state, const schedule_event& event,
                                      time_point now) {
    std::vector<schedule_action> actions;
    std::visit([&](const auto& value) { apply(state, value, now, actions); }, event);
    return {state, std::move(actions)};
}

}  // namespace hornbeamhook::coordination
