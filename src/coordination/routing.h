#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "state/fleet_view.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** What a request requires of its target. */
struct route_request {
    std::string pool;
    bool is_write = false;
    bool must_use_primary = false;  ///< A read of own writes without a session token.
    state::log_point required;      ///< From the session token.
    /// Targets and home VMs that recently failed or refused; they come last.
    std::set<std::string> avoided;
    /// Varies per request, to balance load among equal candidates.
    std::uint64_t tie_break_seed = 0;
};

/** One way to serve a request: a target through one of its homes. */
struct route_candidate {
    std::string target;
    bool is_primary = false;
    state::member home;
    bool is_self = false;  ///< The home is this process.

    auto operator<=>(const route_candidate&) const = default;
};

/**
 * Ways to serve a request, best first. Writes go to the primary only, through its first home unless
 * that is avoided; while no primary is known they go to any home, which refuses them and names the
 * primary. Reads go to the nearest replica that can satisfy them, then to other replicas, then to
 * the primary. Leaving targets and leaving proxies are excluded.
 */
std::vector<route_candidate> plan_route(const state::fleet_view& view,
                                        const route_request& request);

/** The primary of a pool with the newest term, from this proxy's polls and the reports of homes. */
std::optional<state::primary_view> find_primary(const state::fleet_view& view,
                                                const std::string& pool);

}  // namespace hornbeamhook::coordination
