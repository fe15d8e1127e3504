#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "gateway/peer_messenger.h"
#include "gateway/target_entry.h"

namespace hornbeamhook::gateway {

/** How the connections to one target are divided among the VMs. */
struct home_plan {
    /// VMs that hold connections, in order of preference; empty when every VM holds its own.
    std::vector<std::string> homes;
    int quota = 1;        ///< Connections that each of these VMs may hold.
    int max_surplus = 1;  ///< Further connections while the target accepts them.

    auto operator<=>(const home_plan&) const = default;

    bool is_home(const std::string& vm) const;
};

/** Input of plan_homes() that is the same for all targets. */
struct home_plan_input {
    std::vector<fleet_member> live;  ///< VMs that answer and are not stopping, including this one.
    int fleet_size = 1;              ///< All listed VMs, including this one.
    std::map<std::string, std::string> place_regions;

    auto operator<=>(const home_plan_input&) const = default;
};

/**
 * Divides a target's `connection_limit` among the VMs; 0 means that the limit is unknown. In a
 * small fleet each VM holds connections. If the fleet is too large for the limit, a few homes near
 * the target hold all connections and run the statements of the others. Pure, thread safe.
 */
home_plan plan_homes(const target_entry& target, int connection_limit,
                     const home_plan_input& input);

}  // namespace hornbeamhook::gateway
