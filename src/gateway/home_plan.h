#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/home_assignment.h"
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

/**
 * Plans the homes of many targets for a fleet that changes. After a change, update() costs as much
 * as the changed VMs; planning all targets anew takes a VM with a small share of a core longer than
 * the changes are apart when hundreds of VMs start together. Not thread safe.
 */
class home_planner {
public:
    explicit home_planner(home_plan_input input);

    const home_plan_input& get_input() const { return input_; }

    /** Replaces the fleet. Empty if it is unchanged; else every plan needs update() with the
     * result. */
    std::optional<coordination::member_change> set_fleet(std::vector<fleet_member> live,
                                                         int fleet_size);

    /** As plan_homes() for the present fleet. */
    home_plan plan(const target_entry& target, int connection_limit) const;

    /** The same result as plan(). `known` must be the target's plan before `change`, and the target
     * must not have moved since. */
    home_plan update(const target_entry& target, int connection_limit, const home_plan& known,
                     const coordination::member_change& change) const;

private:
    /** A plan without homes, if every VM connects to the target itself. */
    std::optional<home_plan> plan_direct(int connection_limit) const;
    home_plan make_plan(const std::vector<state::member>& homes, int connection_limit) const;
    state::target_description describe(const target_entry& target) const;
    std::optional<std::vector<state::member>> find_members(
        const std::vector<std::string>& vms) const;

    home_plan_input input_;
    std::vector<state::member> members_;  ///< The live VMs, ordered by name.
};

}  // namespace hornbeamhook::gateway
