#include "gateway/home_selector.h"

#include <algorithm>

#include "coordination/home_assignment.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t rest_ms = 500;  ///< A home that failed is not used for this long.
/// A home that answers nothing for this long gets no new statements while another one answers: a
/// trip between regions takes 16 ms, and a statement with its wait for a slot some 100.
constexpr std::int64_t silence_ms = 250;

}  // namespace

bool home_selector::is_resting(const std::string& home, std::int64_t now) const {
    const auto entry = contacts_.find(home);
    return entry != contacts_.end() && now < entry->second.resting_until;
}

std::string home_selector::choose(const home_plan& plan, const std::string& target,
                                  const std::set<std::string>& avoided, std::int64_t now) const {
    // Each VM prefers another home, so that the homes share the work.
    const std::size_t first = coordination::get_rendezvous_weight(target, vm_);
    std::string silent;
    for (std::size_t i = 0; i < plan.homes.size(); ++i) {
        const std::string& home = plan.homes[(first + i) % plan.homes.size()];
        if (home == vm_ || avoided.contains(home) || is_resting(home, now)) {
            continue;
        }
        if (!is_silent(home, now)) {
            return home;
        }
        silent = silent.empty() ? home : silent;
    }
    return silent;
}

bool home_selector::may_use(const home_plan& plan, const std::string& home,
                            std::int64_t now) const {
    return plan.is_home(home) && !is_resting(home, now);
}

bool home_selector::is_every_resting(const home_plan& plan, std::int64_t now) const {
    return std::all_of(plan.homes.begin(), plan.homes.end(),
                       [&](const std::string& home) { return is_resting(home, now); });
}

bool home_selector::is_silent(const std::string& home, std::int64_t now) const {
    const auto entry = contacts_.find(home);
    return entry != contacts_.end() && entry->second.waiting_since != 0 &&
           now - entry->second.waiting_since > silence_ms;
}

void home_selector::rest(const std::string& home, std::int64_t now) {
    contacts_[home].resting_until = now + rest_ms;
}

void home_selector::note_answer(const std::string& home, std::int64_t now) {
    contacts_[home].last_answer_at = now;
}

void home_selector::begin_update() {
    for (auto& [home, entry] : contacts_) {
        entry.waiting_since = 0;
    }
}

void home_selector::note_waiting(const std::string& home, std::int64_t since) {
    contact& entry = contacts_[home];
    // An answer on another connection shows that the home is alive.
    if (since > entry.last_answer_at && (entry.waiting_since == 0 || since < entry.waiting_since)) {
        entry.waiting_since = since;
    }
}

}  // namespace hornbeamhook::gateway
