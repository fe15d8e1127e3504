#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/copy_on_write.h"
#include "state/group_view.h"
#include "state/member.h"

namespace hornbeamhook::state {

/**
 * Everything the data path needs to know of the fleet, immutable, published by the control thread
 * after each change and read by traffic threads without locks.
 */
struct fleet_view {
    member self;
    copy_on_write<std::vector<member>>
        live_members;  ///< Includes self unless it is leaving; ordered by vm.
    std::shared_ptr<const configuration> config = std::make_shared<const configuration>();
    /// Home proxies of "pool/target", best first.
    copy_on_write<std::map<std::string, std::vector<member>>> homes;
    /// Views of the groups this proxy polls (it is home of one of their targets).
    std::map<std::string, std::shared_ptr<const group_view>> polled_groups;
    /// Primary per pool for routing, from own polls or from answers of homes.
    copy_on_write<std::map<std::string, primary_view>> primaries;
    bool is_configuration_confirmed = true;  ///< False: refuse new work.
    bool is_draining = false;                ///< True: refuse new work, finish what runs.
    std::vector<std::string> paused_pools;   ///< Writes wait: a planned change is under way.
};

}  // namespace hornbeamhook::state
