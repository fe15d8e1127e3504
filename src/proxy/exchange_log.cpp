#include "proxy/exchange_log.h"

namespace hornbeamhook::proxy {

namespace {
// Nothing in the fleet resends a message by itself; this covers what a network may hold back.
constexpr std::chrono::seconds retention{60};
constexpr std::size_t max_ids = 500'000;
}  // namespace

bool exchange_log::try_add(const std::string& id, state::time_point now) {
    const std::scoped_lock lock(mutex_);
    while (!order_.empty() && (now - order_.front().first > retention || order_.size() > max_ids)) {
        ids_.erase(order_.front().second);
        order_.pop_front();
    }
    if (!ids_.insert(id).second) {
        return false;
    }
    order_.emplace_back(now, id);
    return true;
}

}  // namespace hornbeamhook::proxy
