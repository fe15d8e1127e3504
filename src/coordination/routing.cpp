#include "coordination/routing.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/** Sort key of a candidate; lower is better. */
using route_rank = std::tuple<bool, bool, bool, bool, int, std::uint64_t, std::size_t>;

int get_distance(const state::member& from, const state::member& to) {
    if (from.vm == to.vm) {
        return 0;
    }
    if (from.data_center == to.data_center) {
        return 1;
    }
    return from.place == to.place ? 2 : 3;
}

bool is_usable_home(const state::fleet_view& view, const state::member& home) {
    if (home.vm == view.self.vm) {
        return true;
    }
    return std::any_of(view.live_members.begin(), view.live_members.end(),
                       [&](const state::member& live) {
                           return live.vm == home.vm && live.state != state::member_state::leaving;
                       });
}

bool is_known_to_fail(const state::fleet_view& view, const route_request& request,
                      const std::string& target) {
    const auto group = view.polled_groups.find(request.pool);
    if (group == view.polled_groups.end() || !group->second) {
        return false;
    }
    const auto it = group->second->targets.find(target);
    return it != group->second->targets.end() && it->second.consecutive_failures > 0;
}

bool is_known_behind(const state::fleet_view& view, const route_request& request,
                     const std::string& target) {
    const auto group = view.polled_groups.find(request.pool);
    if (group == view.polled_groups.end() || !group->second) {
        return false;
    }
    const auto it = group->second->targets.find(target);
    return it != group->second->targets.end() && it->second.status &&
           !it->second.status->covers(request.required);
}

std::uint64_t hash_with_seed(std::uint64_t seed, const std::string& name) {
    // Two rounds, because after a single one, consecutive seeds would shift the hashes of all names
    // by the same amount.
    std::uint64_t value = seed * 0x9e3779b97f4a7c15ULL ^ std::hash<std::string>{}(name);
    for (int round = 0; round < 2; ++round) {
        value ^= value >> 33U;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 29U;
    }
    return value;
}

}  // namespace

std::optional<state::primary_view> find_primary(const state::fleet_view& view,
                                                const std::string& pool) {
    std::optional<state::primary_view> best;
    if (const auto it = view.primaries.find(pool); it != view.primaries.end()) {
        best = it->second;
    }
    const auto group = view.polled_groups.find(pool);
    if (group != view.polled_groups.end() && group->second && group->second->primary &&
        (!best || group->second->primary->term >= best->term)) {
        best = group->second->primary;
    }
    return best;
}

std::vector<route_candidate> plan_route(const state::fleet_view& view,
                                        const route_request& request) {
    const state::pool_description* pool = view.config->find_pool(request.pool);
    if (pool == nullptr) {
        return {};
    }
    const std::optional<state::primary_view> primary = find_primary(view, request.pool);
    // While no primary is known, all homes are candidates: they poll the group, so any of them can
    // name the primary.
    const bool is_primary_only = primary && (request.is_write || request.must_use_primary);
    std::vector<std::pair<route_rank, route_candidate>> ranked;
    for (const state::target_description& target : pool->targets) {
        const bool is_primary = primary && primary->target == target.name;
        if (target.is_leaving || (is_primary_only && !is_primary)) {
            continue;
        }
        const auto homes = view.homes.find(request.pool + "/" + target.name);
        if (homes == view.homes.end()) {
            continue;
        }
        const bool is_target_avoided =
            request.avoided.contains(target.name) || is_known_to_fail(view, request, target.name);
        const bool is_behind = !is_primary && is_known_behind(view, request, target.name);
        for (std::size_t i = 0; i < homes->second.size(); ++i) {
            const state::member& home = homes->second[i];
            if (!is_usable_home(view, home)) {
                continue;
            }
            const bool is_home_avoided = request.avoided.contains(home.vm);
            const bool is_avoided = is_target_avoided || is_home_avoided;
            // Homes of one target share its reads. Writes all go to the first home, because only a
            // single queue knows how many writes wait for the locks of the target.
            const bool is_ordered = is_primary && request.is_write;
            const int distance = is_ordered ? 0 : get_distance(view.self, home);
            const std::uint64_t tie_break =
                is_ordered ? 0 : hash_with_seed(request.tie_break_seed, target.name + home.vm);
            ranked.emplace_back(
                route_rank{is_avoided, is_primary, is_behind, is_home_avoided, distance, tie_break,
                           i},
                route_candidate{target.name, is_primary, home, home.vm == view.self.vm});
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<route_candidate> route;
    route.reserve(ranked.size());
    for (auto& [rank, candidate] : ranked) {
        route.push_back(std::move(candidate));
    }
    return route;
}

}  // namespace hornbeamhook::coordination
