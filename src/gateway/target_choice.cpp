#include "gateway/target_choice.h"

#include <algorithm>

#include "gateway/group_queue.h"

namespace hornbeamhook::gateway {

namespace {

constexpr double default_answer_ms = 15;     ///< A typical statement on an idle target.
constexpr double primary_read_factor = 1.6;  ///< Slots of primaries are scarce: writes need them.

double get_cost_ms(const target_state& target, bool is_primary, double round_trip_ms,
                   std::int64_t now) {
    const bool is_known =
        now - target.last_answer_at < answer_time_expiry_ms && target.mean_answer_ms > 0;
    const double answer_ms = is_known ? target.mean_answer_ms : default_answer_ms + round_trip_ms;
    const double busy_ratio = static_cast<double>(target.count_busy_links()) / target.entry.slots;
    return (answer_ms * (1 + busy_ratio) + round_trip_ms) * (is_primary ? primary_read_factor : 1);
}

}  // namespace

std::optional<state::log_point> get_required_position(const target_group& group,
                                                      const pending_statement& pending) {
    const std::optional<state::log_point> fresh = group.history.find_covering(
        pending.operation_started_at - pending.target_route.staleness_ms);
    if (!fresh || pending.target_route.policy != read_policy::own_writes) {
        return fresh;
    }
    return std::max(*fresh, pending.last_commit_position.value_or(state::log_point{}));
}

bool is_runnable(const target_group& group, const pending_statement& pending, std::int64_t now) {
    const bool has_position =
        !pending.needs_primary && group.history.find_covering(pending.operation_started_at -
                                                              pending.target_route.staleness_ms);
    return has_position || group.lease.get_usable(now);
}

bool is_every_target_avoided(const target_group& group, const pending_statement& pending) {
    return !pending.avoided_targets.empty() &&
           std::all_of(group.targets.begin(), group.targets.end(), [&](const auto& entry) {
               return !entry.second.is_usable() || pending.avoided_targets.contains(entry.first);
           });
}

std::vector<read_candidate> list_read_candidates(target_group& group,
                                                 const pending_statement& pending,
                                                 const std::optional<state::log_point>& required,
                                                 const round_trip_function& get_round_trip_ms,
                                                 std::int64_t now) {
    const auto record = group.lease.get_usable(now);
    std::vector<read_candidate> result;
    for (auto& [id, target] : group.targets) {
        const bool is_primary = record && record->target == id;
        const bool is_eligible = is_primary || required.has_value();
        const bool is_excluded = now < target.unreachable_until || now < target.avoided_until ||
                                 (!is_primary && now < target.lagging_until) ||
                                 pending.avoided_targets.contains(id);
        if (is_eligible && target.is_usable() && !is_excluded) {
            const auto round_trip_ms = static_cast<double>(get_round_trip_ms(target.entry.place));
            result.push_back(
                {&target, is_primary, get_cost_ms(target, is_primary, round_trip_ms, now)});
        }
    }
    std::sort(result.begin(), result.end(), [](const read_candidate& a, const read_candidate& b) {
        return a.cost_ms < b.cost_ms;
    });
    return result;
}

}  // namespace hornbeamhook::gateway
