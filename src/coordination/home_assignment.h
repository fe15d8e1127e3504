#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/configuration.h"
#include "state/member.h"

namespace hornbeamhook::coordination {

/** Rendezvous hash weight of `vm` for `key`; equal in all processes. Pure, thread safe. */
std::uint64_t get_rendezvous_weight(std::string_view key, std::string_view vm);

/**
 * The `count` home proxies of a target, best first: members of the target's data centre, then of
 * its place, then all others, each ordered by rendezvous weight. The loss of a member moves only
 * the targets whose home it was. `members` are the live members. Pure, thread safe.
 */
std::vector<state::member> get_homes(const std::string& pool,
                                     const state::target_description& target,
                                     const std::vector<state::member>& members, std::size_t count);

/** Difference between two sets of live members. */
struct member_change {
    std::vector<state::member> added;
    std::vector<state::member> removed;
};

/** Compares lists ordered by vm. A member whose address or incarnation changed is in both. */
member_change compare_members(const std::vector<state::member>& before,
                              const std::vector<state::member>& after);

/**
 * Updates `homes` after `change`. The result equals get_homes() for the new `members`, at a cost
 * proportional to the changed members. With thousands of targets, a full computation after each
 * restart in the fleet would take a large share of a core.
 */
std::vector<state::member> update_homes(const std::string& pool,
                                        const state::target_description& target,
                                        const std::vector<state::member>& homes,
                                        const member_change& change,
                                        const std::vector<state::member>& members,
                                        std::size_t count);

/** The distinct homes of a group's targets, ordered by rendezvous weight for the pool. */
std::vector<state::member> rank_pollers(const std::string& pool,
                                        const std::vector<std::vector<state::member>>& homes);

/**
 * The proxies that poll a group: the homes of its targets, ordered by rendezvous weight for the
 * pool. A proxy's index is the rank that delays its claim. Pure, thread safe.
 */
std::vector<state::member> get_pollers(const state::pool_description& pool,
                                       const std::vector<state::member>& members,
                                       std::size_t homes_per_target);

/**
 * Connections one home may open, at least one. The divisor is the number of homes plus one, so that
 * proxies whose member views differ by one member do not exceed the limit together.
 */
int get_home_quota(int connection_limit, int reserved, int homes_per_target);

}  // namespace hornbeamhook::coordination
