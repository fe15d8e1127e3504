#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/home_assignment.h"
#include "gateway/home_plan.h"
#include "gateway/target_entry.h"

namespace hornbeamhook::gateway {

/**
 * Divides the targets' connections among the VMs of a fleet that changes. In a small fleet each VM
 * holds connections. If the fleet is too large for a target's limit, a few homes near the target
 * hold all connections and run the statements of the others.
 *
 * After a change, update() costs as much as the changed VMs; planning all targets anew takes a VM
 * with a small share of a core longer than the changes are apart when hundreds of VMs start
 * together. Not thread safe.
 */
class home_planner {
public:
    explicit home_planner(home_plan_input input);

    const home_plan_input& get_input() const { return input_; }

    /** Replaces the fleet. Empty if it is unchanged; else every plan needs update() with the
     * result. */
    std::optional<coordination::member_change> set_fleet(std::vector<fleet_member> live,
                                                         int fleet_size);

    /** The plan of a target with this `connection_limit`; 0 means that the limit is unknown. */
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
