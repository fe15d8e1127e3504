#pragma once

#include <cstdint>

#include "coordination/concurrency_limit.h"

namespace hornbeamhook::coordination {

/**
 * How many statements one home may have in flight at a target. A target that was not away may have
 * one more than its slots from the start. After a restart, a promotion or the loss of all
 * connections the limit begins at one and grows by one for each window of answers; it shrinks when
 * the target refuses statements or its answers take much longer than its best ones. Times are in
 * ms. Not thread safe.
 */
class target_pace {
public:
    /** Starts at full pace. */
    explicit target_pace(int slots);

    /** Whether a statement may be sent while `in_flight` are outstanding. */
    bool may_send(int in_flight, std::int64_t now) const;

    /** Begins at one statement: the target has started, was promoted, or returned. */
    void restart();

    /** Records an answer after `latency_ms` while `in_flight` were outstanding, this one included.
     */
    void on_answer(std::int64_t latency_ms, int in_flight, std::int64_t now);

    /** Records that the target refused a statement because it is busy, or lost it. */
    void on_failure(std::int64_t now);

    int get_limit() const { return limit_.get_limit(); }

private:
    concurrency_limit limit_;
    int failures_in_row_ = 0;
    std::int64_t paused_until_ = 0;  ///< Nothing is sent before this.
};

}  // namespace hornbeamhook::coordination
