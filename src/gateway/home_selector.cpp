#include "gateway/home_selector.h"

#include <algorithm>

#include "coordination/home_assignment.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t backoff_ms = 500;  ///< How long a failed home is not used.
/// A home that answers nothing for this long gets no new statements while another one answers. A
/// round trip between regions takes 16 ms, and a statement with its wait for a slot about 100 ms.
constexpr std::int64_t unresponsive_after_ms = 250;

}  // namespace

bool home_selector::is_backing_off(const std::string& home, std::int64_t now) const {
    const auto entry = home_states_.find(home);
    return entry != home_states_.end() && now < entry->second.backoff_until;
}

std::string home_selector::select(const home_plan& plan, const std::string& target,
                                  const std::string& organisation,
                                  const std::set<std::string>& avoided, std::int64_t now) const {
    // Start at a home that depends on the organisation or the VM, to spread the load over the
    // homes.
    const std::size_t first =
        coordination::get_rendezvous_weight(target, organisation.empty() ? vm_ : organisation);
    std::string unresponsive;
    for (std::size_t i = 0; i < plan.homes.size(); ++i) {
        const std::string& home = plan.homes[(first + i) % plan.homes.size()];
        if (home == vm_ || avoided.contains(home) || is_backing_off(home, now)) {
            continue;
        }
        if (!is_unresponsive(home, now)) {
            return home;
        }
        unresponsive = unresponsive.empty() ? home : unresponsive;
    }
    return unresponsive;
}

bool home_selector::may_use(const home_plan& plan, const std::string& home,
                            std::int64_t now) const {
    return plan.is_home(home) && !is_backing_off(home, now);
}

bool home_selector::is_every_home_backing_off(const home_plan& plan, std::int64_t now) const {
    return std::all_of(plan.homes.begin(), plan.homes.end(),
                       [&](const std::string& home) { return is_backing_off(home, now); });
}

bool home_selector::is_unresponsive(const std::string& home, std::int64_t now) const {
    const auto entry = home_states_.find(home);
    return entry != home_states_.end() && entry->second.waiting_since != 0 &&
           now - entry->second.waiting_since > unresponsive_after_ms;
}

void home_selector::back_off(const std::string& home, std::int64_t now) {
    home_states_[home].backoff_until = now + backoff_ms;
}

void home_selector::handle_answer(const std::string& home, std::int64_t now) {
    home_states_[home].last_answer_at = now;
}

void home_selector::clear_waiting() {
    for (auto& [home, entry] : home_states_) {
        entry.waiting_since = 0;
    }
}

void home_selector::add_waiting(const std::string& home, std::int64_t since) {
    home_state& entry = home_states_[home];
    // An answer on any connection after `since` shows that the home is alive.
    if (since > entry.last_answer_at && (entry.waiting_since == 0 || since < entry.waiting_since)) {
        entry.waiting_since = since;
    }
}

}  // namespace hornbeamhook::gateway
