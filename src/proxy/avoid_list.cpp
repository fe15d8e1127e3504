#include "proxy/avoid_list.h"

namespace hornbeamhook::proxy {

void avoid_list::add(const std::string& name, std::chrono::milliseconds duration,
                     state::time_point now) {
    const std::scoped_lock lock(mutex_);
    until_[name] = now + duration;
}

std::set<std::string> avoid_list::get(state::time_point now) {
    std::set<std::string> names;
    const std::scoped_lock lock(mutex_);
    for (auto it = until_.begin(); it != until_.end();) {
        if (it->second <= now) {
            it = until_.erase(it);
        } else {
            names.insert(it->first);
            ++it;
        }
    }
    return names;
}

}  // namespace hornbeamhook::proxy
