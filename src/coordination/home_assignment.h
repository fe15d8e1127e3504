#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/configuration.h"
#include "state/member.h"

namespace hornbeamhook::coordination {

/** Rendezvous weight of `vm` for `key`; the same in every process. Pure, thread safe. */
std::uint64_t get_rendezvous_weight(std::string_view key, std::string_view vm);

/**
 * The `count` home proxies of a target, best first: members of the target's data centre, then of
 * its place, then any, each ordered by rendezvous weight. A member's loss only moves the targets
 * it was home of. `members` are the live ones. Pure, thread safe.
 */
std::vector<state::member> get_homes(const std::string& pool,
                                     const state::target_description& target,
                                     const std::vector<state::member>& members, std::size_t count);

/** How a set of live members differs from an earlier one. */
struct member_change {
    std::vector<state::member> added;
    std::vector<state::member> removed;
};

/** Compares two lists ordered by vm. A member with another address or incarnation is both. */
member_change compare_members(const std::vector<state::member>& before,
                              const std::vector<state::member>& after);

/**
 * The homes after `change`, given those before it: the same as get_homes() for the new `members`,
 * at the cost of the members that changed. With thousands of targets the full computation after
 * each of the fleet's restarts would cost a large share of a core.
 */
std::vector<state::member> update_homes(const std::string& pool,
                                        const state::target_description& target,
                                        const std::vector<state::member>& homes,
                                        const member_change& change,
                                        const std::vector<state::member>& members,
                                        std::size_t count);

/** Orders the homes of a group's targets, each once, by rendezvous weight for the pool. */
std::vector<state::member> rank_pollers(const std::string& pool,
                                        const std::vector<std::vector<state::member>>& homes);

/**
 * The proxies that poll a group: the homes of its targets, ordered by rendezvous weight for the
 * pool. Their index is the rank that delays a claim. Pure, thread safe.
 */
std::vector<state::member> get_pollers(const state::pool_description& pool,
                                       const std::vector<state::member>& members,
                                       std::size_t homes_per_target);

/**
 * Connections one home may open: the divisor is one more than the number of homes, so that proxies
 * whose member views differ by one member do not exceed the limit together. At least one.
 */
int get_home_quota(int connection_limit, int reserved, int homes_per_target);

}  // namespace hornbeamhook::coordination
