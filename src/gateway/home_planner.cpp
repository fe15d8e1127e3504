#include "gateway/home_planner.h"

#include <algorithm>
#include <utility>

#include "state/member.h"

namespace hornbeamhook::gateway {

namespace {

/// VMs for which connections are kept free because they may join before all others know of them.
constexpr int reserved_vms = 1;
/// With fewer connections a VM cannot run a statement alongside an open transaction.
constexpr int min_links_per_vm = 2;
/// Two homes may fail at the same time, and with three homes each has enough connections to share.
constexpr std::size_t homes_per_target = 3;
/// Connections kept free for reports and control statements while the primary is changed.
constexpr int reserved_links = 2;
constexpr int surplus_links = 1;  ///< Above the quota, while the target accepts them.

std::string get_region(const home_plan_input& input, const std::string& place) {
    const auto entry = input.place_regions.find(place);
    return entry == input.place_regions.end() ? place : entry->second;
}

// A place is a data centre here; state::member calls a group of data centres a place, which is a
// region here.
std::vector<state::member> make_members(const home_plan_input& input) {
    std::vector<state::member> members;
    members.reserve(input.live.size());
    for (const fleet_member& value : input.live) {
        members.push_back({value.vm, {}, get_region(input, value.place), value.place});
    }
    std::ranges::sort(members, {}, &state::member::vm);
    return members;
}

}  // namespace

home_planner::home_planner(home_plan_input input)
    : input_(std::move(input)), members_(make_members(input_)) {}

std::optional<coordination::member_change> home_planner::set_fleet(std::vector<fleet_member> live,
                                                                   int fleet_size) {
    home_plan_input next{std::move(live), fleet_size, input_.place_regions};
    if (next == input_) {
        return std::nullopt;
    }
    std::vector<state::member> members = make_members(next);
    coordination::member_change change = coordination::compare_members(members_, members);
    input_ = std::move(next);
    members_ = std::move(members);
    return change;
}

home_plan home_planner::plan(const target_entry& target, int connection_limit) const {
    if (const auto direct = plan_direct(connection_limit)) {
        return *direct;
    }
    return make_plan(
        coordination::get_homes(target.group, describe(target), members_, homes_per_target),
        connection_limit);
}

home_plan home_planner::update(const target_entry& target, int connection_limit,
                               const home_plan& known,
                               const coordination::member_change& change) const {
    if (const auto direct = plan_direct(connection_limit)) {
        return *direct;
    }
    const auto homes = find_members(known.homes);
    if (!homes || homes->size() < homes_per_target) {
        return plan(target, connection_limit);
    }
    return make_plan(coordination::update_homes(target.group, describe(target), *homes, change,
                                                members_, homes_per_target),
                     connection_limit);
}

std::optional<home_plan> home_planner::plan_direct(int connection_limit) const {
    if (connection_limit <= 0) {
        return home_plan{};
    }
    const int links_per_vm = connection_limit / (input_.fleet_size + reserved_vms);
    if (links_per_vm >= min_links_per_vm || input_.live.size() <= homes_per_target) {
        return home_plan{{}, std::max(1, links_per_vm), surplus_links};
    }
    return std::nullopt;
}

home_plan home_planner::make_plan(const std::vector<state::member>& homes,
                                  int connection_limit) const {
    home_plan plan;
    for (const state::member& home : homes) {
        plan.homes.push_back(home.vm);
    }
    plan.quota = coordination::get_home_quota(connection_limit, reserved_links, homes_per_target);
    const int count = static_cast<int>(plan.homes.size());
    plan.max_surplus = (plan.quota + surplus_links) * count <= connection_limit - reserved_links
                           ? surplus_links
                           : 0;
    return plan;
}

state::target_description home_planner::describe(const target_entry& target) const {
    state::target_description description;
    description.name = target.id;
    description.place = get_region(input_, target.place);
    description.data_center = target.place;
    return description;
}

std::optional<std::vector<state::member>> home_planner::find_members(
    const std::vector<std::string>& vms) const {
    std::vector<state::member> result;
    for (const std::string& vm : vms) {
        const auto member = std::ranges::lower_bound(members_, vm, {}, &state::member::vm);
        if (member == members_.end() || member->vm != vm) {
            return std::nullopt;
        }
        result.push_back(*member);
    }
    return result;
}

}  // namespace hornbeamhook::gateway
