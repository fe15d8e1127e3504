#include "coordination/home_assignment.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::member;

/// Fixed, because all proxies must compute equal weights. Not a secret.
constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> rendezvous_key = {
    'h', 'o', 'r', 'n', 'b', 'e', 'a', 'm', 'h', 'o', 'o', 'k', '-', 'v', '0', '1'};

int get_distance(const state::target_description& target, const member& value) {
    if (value.place == target.place && value.data_center == target.data_center) {
        return 0;
    }
    return value.place == target.place ? 1 : 2;
}

bool is_same_incarnation(const member& left, const member& right) {
    return std::tie(left.vm, left.incarnation, left.address, left.place, left.data_center) ==
           std::tie(right.vm, right.incarnation, right.address, right.place, right.data_center);
}

}  // namespace

std::uint64_t get_rendezvous_weight(std::string_view key, std::string_view vm) {
    std::string text;
    text.reserve(key.size() + vm.size() + 1);
    text.append(key).push_back('\0');
    text.append(vm);
    std::array<unsigned char, crypto_shorthash_BYTES> hash{};
    crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                     rendezvous_key.data());
    std::uint64_t weight = 0;
    std::memcpy(&weight, hash.data(), sizeof(weight));
    return weight;
}

std::vector<member> get_homes(const std::string& pool, const state::target_description& target,
                              const std::vector<member>& members, std::size_t count) {
    struct candidate {
        int distance;
        std::uint64_t weight;
        const member* value;
    };
    const std::string key = pool + "/" + target.name;
    std::vector<candidate> candidates;
    candidates.reserve(members.size());
    for (const member& value : members) {
        candidates.push_back(
            {get_distance(target, value), get_rendezvous_weight(key, value.vm), &value});
    }
    const auto is_better = [](const candidate& left, const candidate& right) {
        return std::tie(left.distance, right.weight, left.value->vm) <
               std::tie(right.distance, left.weight, right.value->vm);
    };
    const std::size_t taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                      candidates.end(), is_better);
    std::vector<member> homes;
    homes.reserve(taken);
    for (std::size_t i = 0; i < taken; ++i) {
        homes.push_back(*candidates[i].value);
    }
    return homes;
}

member_change compare_members(const std::vector<member>& before, const std::vector<member>& after) {
    member_change change;
    auto old = before.begin();
    auto next = after.begin();
    while (old != before.end() || next != after.end()) {
        if (next == after.end() || (old != before.end() && old->vm < next->vm)) {
            change.removed.push_back(*old++);
        } else if (old == before.end() || next->vm < old->vm) {
            change.added.push_back(*next++);
        } else {
            if (!is_same_incarnation(*old, *next)) {
                change.removed.push_back(*old);
                change.added.push_back(*next);
            }
            ++old;
            ++next;
        }
    }
    return change;
}

std::vector<member> update_homes(const std::string& pool, const state::target_description& target,
                                 const std::vector<member>& homes, const member_change& change,
                                 const std::vector<member>& members, std::size_t count) {
    const bool is_home_removed = std::ranges::any_of(homes, [&](const member& home) {
        return std::ranges::any_of(change.removed,
                                   [&](const member& gone) { return gone.vm == home.vm; });
    });
    if (is_home_removed || homes.size() < count) {
        return get_homes(pool, target, members, count);
    }
    if (change.added.empty()) {
        return homes;
    }
    std::vector<member> candidates = homes;
    candidates.insert(candidates.end(), change.added.begin(), change.added.end());
    return get_homes(pool, target, candidates, count);
}

std::vector<member> rank_pollers(const std::string& pool,
                                 const std::vector<std::vector<member>>& homes) {
    std::map<std::string, member> unique;
    for (const std::vector<member>& list : homes) {
        for (const member& home : list) {
            unique.insert_or_assign(home.vm, home);
        }
    }
    std::vector<std::pair<std::uint64_t, member>> ranked;
    ranked.reserve(unique.size());
    for (auto& [vm, value] : unique) {
        ranked.emplace_back(get_rendezvous_weight(pool, vm), std::move(value));
    }
    std::ranges::sort(ranked, [](const auto& left, const auto& right) {
        return std::tie(right.first, left.second.vm) < std::tie(left.first, right.second.vm);
    });
    std::vector<member> pollers;
    pollers.reserve(ranked.size());
    for (auto& [weight, value] : ranked) {
        pollers.push_back(std::move(value));
    }
    return pollers;
}

std::vector<member> get_pollers(const state::pool_description& pool,
                                const std::vector<member>& members, std::size_t homes_per_target) {
    std::vector<std::vector<member>> homes;
    homes.reserve(pool.targets.size());
    for (const state::target_description& target : pool.targets) {
        homes.push_back(get_homes(pool.name, target, members, homes_per_target));
    }
    return rank_pollers(pool.name, homes);
}

int get_home_quota(int connection_limit, int reserved, int homes_per_target) {
    return std::max(1, (connection_limit - reserved) / (homes_per_target + 1));
}

}  // namespace hornbeamhook::coordination
