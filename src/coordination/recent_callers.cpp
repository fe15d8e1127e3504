#include "coordination/recent_callers.h"

namespace hornbeamhook::coordination {

void recent_callers::record(const std::string& pool, const std::string& caller,
                            caller_request_result result, state::time_point now) {
    const auto [entry_position, is_new] = index_.emplace(key{pool, caller}, entries_.end());
    if (is_new) {
        entries_.push_front({pool, caller, 0, 0, 0, now});
        entry_position->second = entries_.begin();
    } else {
        entries_.splice(entries_.begin(), entries_, entry_position->second);
    }
    caller_activity& entry = entries_.front();
    entry.last_request = now;
    switch (result) {
        case caller_request_result::read:
            ++entry.reads;
            break;
        case caller_request_result::write:
            ++entry.writes;
            break;
        case caller_request_result::refused:
            ++entry.refused;
            break;
    }
    if (entries_.size() > capacity_) {
        index_.erase({entries_.back().pool, entries_.back().caller});
        entries_.pop_back();
        ++evicted_;
    }
}

caller_snapshot recent_callers::get_snapshot() const {
    return {{entries_.begin(), entries_.end()}, evicted_};
}

}  // namespace hornbeamhook::coordination
