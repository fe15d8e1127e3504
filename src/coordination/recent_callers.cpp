#include "coordination/recent_callers.h"

namespace hornbeamhook::coordination {

void recent_callers::record(const std::string& pool, const std::string& caller,
                            caller_request_end end, state::time_point now) {
    const auto [place, is_new] = places_.emplace(key{pool, caller}, entries_.end());
    if (is_new) {
        entries_.push_front({pool, caller, 0, 0, 0, now});
        place->second = entries_.begin();
    } else {
        entries_.splice(entries_.begin(), entries_, place->second);
    }
    caller_activity& entry = entries_.front();
    entry.last_request = now;
    switch (end) {
        case caller_request_end::read:
            ++entry.reads;
            break;
        case caller_request_end::write:
            ++entry.writes;
            break;
        case caller_request_end::refused:
            ++entry.refused;
            break;
    }
    if (entries_.size() > capacity_) {
        places_.erase({entries_.back().pool, entries_.back().caller});
        entries_.pop_back();
        ++evicted_;
    }
}

caller_snapshot recent_callers::get_snapshot() const {
    return {{entries_.begin(), entries_.end()}, evicted_};
}

}  // namespace hornbeamhook::coordination
