#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>

#include "state/group_view.h"

namespace hornbeamhook::proxy {

/**
 * Exchange ids seen lately by a home. A message that arrives twice must not run twice. Thread
 * safe.
 */
class exchange_log {
public:
    /** Remembers `id`; false when it was seen before. */
    bool try_add(const std::string& id, state::time_point now);

private:
    std::mutex mutex_;
    std::unordered_set<std::string> ids_;
    std::deque<std::pair<state::time_point, std::string>> order_;
};

}  // namespace hornbeamhook::proxy
