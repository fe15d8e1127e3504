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
    /// VMs that hold connections, best first; empty when every VM holds its own.
    std::vector<std::string> homes;
    int quota = 1;        ///< Connections that one of these VMs may hold.
    int max_surplus = 1;  ///< Further ones that it may open while the target accepts them.

    auto operator<=>(const home_plan&) const = default;

    bool is_home(const std::string& vm) const;
};

/** What the plans of all targets are made from. */
struct home_plan_input {
    std::vector<fleet_member> live;  ///< VMs that answer and stay, including this one.
    int fleet_size = 1;              ///< All listed VMs, including this one.
    std::map<std::string, std::string> place_regions;

    auto operator<=>(const home_plan_input&) const = default;
};

/**
 * Divides `connection_limit` connections of a target. In a small fleet each VM holds some; in one
 * that is larger than the limit allows, a few homes near the target hold them all and run the
 * statements of the others. A limit of 0 means that none is known. Pure, thread safe.
 */
home_plan plan_homes(const target_entry& target, int connection_limit,
                     const home_plan_input& input);

}  // namespace hornbeamhook::gateway
