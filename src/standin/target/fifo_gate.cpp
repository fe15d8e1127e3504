#include "standin/target/fifo_gate.h"

#include <algorithm>

namespace hornbeamhook::standin::target {

bool fifo_gate::acquire(const std::function<bool()>& is_cancelled) {
    std::unique_lock lock(mutex_);
    const std::uint64_t ticket = next_ticket_++;
    waiting_.push_back(ticket);
    is_changed_.wait(lock,
                     [&] { return is_cancelled() || (free_ > 0 && waiting_.front() == ticket); });
    const bool is_first = free_ > 0 && waiting_.front() == ticket;
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), ticket));
    const bool is_acquired = is_first && !is_cancelled();
    if (is_acquired) {
        --free_;
    }
    is_changed_.notify_all();
    return is_acquired;
}

void fifo_gate::release() {
    const std::scoped_lock lock(mutex_);
    ++free_;
    is_changed_.notify_all();
}

void fifo_gate::wake() {
    const std::scoped_lock lock(mutex_);
    is_changed_.notify_all();
}

}  // namespace hornbeamhook::standin::target
