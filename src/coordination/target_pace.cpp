#include "coordination/target_pace.h"

#include <algorithm>
#include <chrono>

namespace hornbeamhook::coordination {

namespace {

/// A target that refuses statements without an answer in between is tried again this often.
constexpr std::int64_t retry_interval_ms = 50;

state::time_point make_time(std::int64_t now_ms) {
    return state::time_point(std::chrono::milliseconds(now_ms));
}

/** One more than the slots, so that the next statement is there when a slot becomes free. */
int get_full_pace(int slots) {
    return std::max(slots, 1) + 1;
}

}  // namespace

target_pace::target_pace(int slots) : limit_(get_full_pace(slots), get_full_pace(slots)) {}

bool target_pace::may_send(int in_flight, std::int64_t now) const {
    return now >= paused_until_ && in_flight < limit_.get_limit();
}

void target_pace::restart() {
    limit_.restart();
    paused_until_ = 0;
    failures_in_row_ = 0;
}

void target_pace::on_answer(std::int64_t latency_ms, int in_flight, std::int64_t now) {
    paused_until_ = 0;
    failures_in_row_ = 0;
    limit_.on_success(std::chrono::milliseconds(latency_ms), in_flight, make_time(now));
}

void target_pace::on_failure(std::int64_t now) {
    ++failures_in_row_;
    if (limit_.get_limit() == 1 || failures_in_row_ > 1) {
        paused_until_ = now + retry_interval_ms;
    }
    limit_.on_failure(make_time(now));
}

}  // namespace hornbeamhook::coordination
