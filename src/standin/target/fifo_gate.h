#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace hornbeamhook::standin::target {

/** Lets at most `capacity` holders pass at a time, in the order of their arrival. Thread safe. */
class fifo_gate {
public:
    explicit fifo_gate(int capacity) : free_(capacity) {}

    /**
     * Blocks until a place is free; returns false, without a place, once `is_cancelled` holds.
     * `is_cancelled` is evaluated again after each release() and wake().
     */
    bool acquire(const std::function<bool()>& is_cancelled);

    /** Returns a place. */
    void release();

    /** Makes waiting threads evaluate their cancellation again. */
    void wake();

private:
    std::mutex mutex_;
    std::condition_variable is_changed_;
    std::deque<std::uint64_t> waiting_;
    std::uint64_t next_ticket_ = 0;
    int free_;
};

}  // namespace hornbeamhook::standin::target
