#include "standin/platform/vm_list.h"

#include <utility>

namespace hornbeamhook::standin::platform {

void vm_list::put(listed_vm entry, time_point now) {
    const std::scoped_lock lock(mutex_);
    pending_.push_back({now, std::move(entry)});
}

std::vector<listed_vm> vm_list::get_list(time_point now, std::chrono::milliseconds lag) {
    const std::scoped_lock lock(mutex_);
    while (!pending_.empty() && pending_.front().at + lag <= now) {
        listed_vm& entry = pending_.front().entry;
        if (entry.state == vm_state::gone) {
            shown_.erase(entry.vm);
        } else {
            shown_.insert_or_assign(entry.vm, entry);
        }
        pending_.pop_front();
    }
    std::vector<listed_vm> result;
    for (const auto& [vm, entry] : shown_) {
        result.push_back(entry);
    }
    return result;
}

}  // namespace hornbeamhook::standin::platform
