#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "state/group_view.h"

namespace hornbeamhook::proxy {

/** Targets and home VMs that failed or refused a moment ago, so that new requests try others
 * first. Thread safe. */
class avoid_list {
public:
    /** Avoids `name` for `duration`. */
    void add(const std::string& name, std::chrono::milliseconds duration, state::time_point now);

    /** Names to avoid now. */
    std::set<std::string> get(state::time_point now);

private:
    std::mutex mutex_;
    std::map<std::string, state::time_point> until_;
};

}  // namespace hornbeamhook::proxy
