#include "gateway/home_plan.h"

#include <algorithm>

namespace hornbeamhook::gateway {

namespace {

constexpr int kept_links = 2;  ///< Kept open when idle, for a transaction and a statement.
/// For links within the quota. Opening one again takes a slot of the target for 12 ms.
constexpr std::int64_t idle_timeout_ms = 3000;
constexpr std::int64_t surplus_idle_timeout_ms = 1500;
/// Targets drop the connections of an unreachable VM after 3 s.
constexpr std::int64_t start_duration_ms = 3000;

}  // namespace

bool home_plan::is_home(const std::string& vm) const {
    return std::find(homes.begin(), homes.end(), vm) != homes.end();
}

std::optional<std::int64_t> get_idle_timeout_ms(const home_plan& plan, int index) {
    if (index >= plan.quota) {
        return surplus_idle_timeout_ms;
    }
    return index >= kept_links ? std::optional(idle_timeout_ms) : std::nullopt;
}

int get_link_limit(const home_plan& plan, std::int64_t since_start_ms, bool may_exceed_quota) {
    if (since_start_ms < start_duration_ms) {
        return std::max(1, plan.quota / 2);
    }
    return plan.quota + (may_exceed_quota ? plan.max_surplus : 0);
}

}  // namespace hornbeamhook::gateway
