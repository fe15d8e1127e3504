#include "gateway/home_plan.h"

#include <algorithm>

#include "coordination/home_assignment.h"
#include "state/member.h"

namespace hornbeamhook::gateway {

namespace {

/// VMs for which connections are kept free because they may join before all others know of them.
constexpr int reserved_vms = 1;
/// With fewer connections a VM cannot run a statement alongside an open transaction.
constexpr int min_links_per_vm = 2;
/// Two homes can fail at once, and each still has enough connections to share.
constexpr std::size_t homes_per_target = 3;
/// Connections kept free for reports and control statements while the primary is changed.
constexpr int reserved_links = 2;
constexpr int surplus_links = 1;  ///< Above the quota, while the target accepts them.

std::string get_region(const home_plan_input& input, const std::string& place) {
    const auto entry = input.place_regions.find(place);
    return entry == input.place_regions.end() ? place : entry->second;
}

}  // namespace

bool home_plan::is_home(const std::string& vm) const {
    return std::find(homes.begin(), homes.end(), vm) != homes.end();
}

home_plan plan_homes(const target_entry& target, int connection_limit,
                     const home_plan_input& input) {
    if (connection_limit <= 0) {
        return {};
    }
    const int own = connection_limit / (input.fleet_size + reserved_vms);
    if (own >= min_links_per_vm || input.live.size() <= homes_per_target) {
        return {{}, std::max(1, own), surplus_links};
    }
    // A place is a data centre here; state::member calls a group of data centres a place, which is
    // a region here.
    std::vector<state::member> members;
    members.reserve(input.live.size());
    for (const fleet_member& value : input.live) {
        members.push_back({value.vm, {}, get_region(input, value.place), value.place});
    }
    state::target_description description;
    description.name = target.id;
    description.place = get_region(input, target.place);
    description.data_center = target.place;
    home_plan plan;
    for (const state::member& home :
         coordination::get_homes(target.group, description, members, homes_per_target)) {
        plan.homes.push_back(home.vm);
    }
    plan.quota = coordination::get_home_quota(connection_limit, reserved_links, homes_per_target);
    const int homes = static_cast<int>(plan.homes.size());
    plan.max_surplus = (plan.quota + surplus_links) * homes <= connection_limit - reserved_links
                           ? surplus_links
                           : 0;
    return plan;
}

}  // namespace hornbeamhook::gateway
