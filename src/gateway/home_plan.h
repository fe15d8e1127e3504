#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/peer_messenger.h"

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

/**
 * How long the connection at `index`, counted from the one that is used first, may be idle before
 * it is closed; empty if it is kept. A target counts the connections of a VM without power for 3 s,
 * so the VM that restarts needs as many again below the limit. Pure, thread safe.
 */
std::optional<std::int64_t> get_idle_timeout_ms(const home_plan& plan, int index);

/**
 * Connections that a VM may hold `since_start_ms` after its process started. In the first seconds
 * the target may still count those of the process before it, which lost power. Pure, thread safe.
 */
int get_link_limit(const home_plan& plan, std::int64_t since_start_ms, bool may_exceed_quota);

/** What the plans of all targets depend on. */
struct home_plan_input {
    std::vector<fleet_member> live;  ///< VMs that answer and are not stopping, including this one.
    int fleet_size = 1;              ///< All listed VMs, including this one.
    std::map<std::string, std::string> place_regions;

    auto operator<=>(const home_plan_input&) const = default;
};

}  // namespace hornbeamhook::gateway
