#include "coordination/limit_client.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/// Bounds the requests of a VM whose operations wait for a bucket to fill.
constexpr std::int64_t min_ask_interval_ms = 20;
/// Shorter than the time after which an accountant forgets operations that wait.
constexpr std::int64_t max_ask_interval_ms = 50;
/// An older answer doesn't tell what an operation may expect, so it is asked for again.
constexpr std::int64_t max_answer_age_ms = 100;

}  // namespace

limit_client::limit_client(std::string vm, std::uint64_t process, std::int64_t shard,
                           const limit_timing& timing, std::int64_t no_vote_before,
                           limit_fault fault)
    : vm_(std::move(vm)),
      process_(process),
      shard_(shard),
      timing_(timing),
      no_vote_before_(no_vote_before),
      fault_(fault) {}

void limit_client::set_candidates(std::vector<std::string> candidates, std::int64_t members,
                                  std::int64_t now) {
    if (members_ > 0 && members != members_) {
        member_counts_[members_] = now;
    }
    members_ = members;
    candidates_ = std::move(candidates);
    std::erase_if(avoided_until_, [&](const auto& entry) { return entry.second <= now; });
}

std::int64_t limit_client::get_members(std::int64_t now) {
    std::erase_if(member_counts_,
                  [&](const auto& entry) { return entry.second + timing_.list_spread_ms <= now; });
    // VMs that were removed may still lend shares of the longer list.
    return member_counts_.empty() ? members_ : std::max(members_, member_counts_.rbegin()->first);
}

void limit_client::set_waiting(const std::string& organisation, std::int64_t count) {
    if (count <= 0 && !accounts_.contains(organisation)) {
        return;
    }
    accounts_[organisation].waiting = std::clamp<std::int64_t>(count, 0, max_limit_demand);
}

std::string limit_client::choose_accountant(std::int64_t now) const {
    for (const std::string& candidate : candidates_) {
        const auto avoided = avoided_until_.find(candidate);
        if (avoided == avoided_until_.end() || avoided->second <= now) {
            return candidate;
        }
    }
    return candidates_.empty() ? "" : candidates_.front();
}

bool limit_client::may_vote(const std::string& accountant, std::int64_t now) const {
    if (moment_.process == 0 || members_ <= 0 || now < no_vote_before_ ||
        moment_known_at_ + timing_.vote_duration_ms <= now) {
        return false;
    }
    return vote_holder_ == accountant || vote_until_ <= now || fault_ == limit_fault::votes_twice;
}

std::int64_t limit_client::count_missing(const account& value) const {
    std::int64_t held = 0;
    for (const held_grants& entry : value.grants) {
        held += entry.count;
    }
    return std::max<std::int64_t>(0, value.waiting - held);
}

std::vector<limit_demand> limit_client::collect_demands(std::int64_t now) {
    std::vector<std::pair<std::int64_t, limit_demand>> due;
    for (auto& [name, value] : accounts_) {
        if (fault_ != limit_fault::uses_late_grants) {
            std::erase_if(value.grants,
                          [&](const held_grants& entry) { return entry.until <= now; });
        }
        const std::int64_t missing = count_missing(value);
        if (value.ask_at <= now && (missing > 0 || value.is_listed)) {
            due.push_back({value.ask_at, {name, missing}});
        }
    }
    // Who has waited longest to ask goes first, so that none of many organisations is left out.
    std::ranges::stable_sort(due, {}, [](const auto& entry) { return entry.first; });
    std::vector<limit_demand> demands;
    for (std::size_t i = 0; i < std::min(due.size(), max_limit_demands); ++i) {
        demands.push_back(std::move(due[i].second));
    }
    std::erase_if(accounts_, [](const auto& entry) {
        return entry.second.waiting == 0 && !entry.second.is_listed && entry.second.grants.empty();
    });
    return demands;
}

std::optional<addressed_limit_request> limit_client::poll(std::int64_t now) {
    const bool was_suspended = polled_at_ + timing_.answer_limit_ms <= now;
    polled_at_ = now;
    if (open_) {
        if (now - open_->first_sent_at < timing_.answer_limit_ms) {
            if (now - open_->last_sent_at < timing_.resend_ms) {
                return std::nullopt;
            }
            open_->last_sent_at = now;
            return open_->message;
        }
        // A VM that was suspended itself has missed the answer.
        if (!was_suspended) {
            avoided_until_[open_->message.to] = now + timing_.avoid_ms;
        }
        open_.reset();
    }
    std::vector<limit_demand> demands = collect_demands(now);
    const std::string accountant = choose_accountant(now);
    if (accountant.empty() || (demands.empty() && now < renew_at_ && accountant == accountant_)) {
        return std::nullopt;
    }
    if (accountant != accountant_) {
        accountant_ = accountant;
        moment_ = {};
    }
    addressed_limit_request message{accountant, {vm_, process_, shard_, ++number_, {}, 0, {}}};
    message.request.demands = std::move(demands);
    if (may_vote(accountant, now)) {
        message.request.vote_from = moment_;
        message.request.members = get_members(now);
        vote_holder_ = accountant;
        vote_until_ = now + timing_.vote_duration_ms;
    }
    open_ = open_request{message, now, now};
    return message;
}

std::vector<std::string> limit_client::handle(const limit_answer& answer, std::int64_t now) {
    std::vector<std::string> granted;
    const bool is_expected = open_ && answer.number == open_->message.request.number;
    const bool is_accepted =
        is_expected || (fault_ == limit_fault::repeats_grants && answer.number > 0);
    if (answer.process != process_ || answer.shard != shard_ || !is_accepted) {
        return granted;
    }
    const std::int64_t sent_at = is_expected ? open_->first_sent_at : now;
    for (const limit_grant& entry : answer.grants) {
        const auto position = accounts_.find(entry.organisation);
        if (position == accounts_.end()) {
            continue;
        }
        account& value = position->second;
        const std::int64_t until = sent_at + timing_.grant_duration_ms;
        if (entry.count > 0 && now < until) {
            value.grants.push_back({entry.count, until});
            granted.push_back(entry.organisation);
        }
        value.left = 0;
        if (is_expected) {
            const auto& demands = open_->message.request.demands;
            const auto asked =
                std::ranges::find(demands, entry.organisation, &limit_demand::organisation);
            value.left = asked == demands.end() ? 0 : asked->count - entry.count;
        }
        value.answered_at = now;
        value.wait_ms = entry.wait_ms;
        value.is_listed = entry.wait_ms > 0 && value.waiting > 0;
        value.ask_at = entry.wait_ms > 0 ? now + std::clamp(entry.wait_ms, min_ask_interval_ms,
                                                            max_ask_interval_ms)
                                         : now;
    }
    if (!is_expected) {
        return granted;
    }
    moment_ = answer.moment;
    moment_known_at_ = now;
    const bool has_voted = open_->message.request.vote_from.process != 0;
    renew_at_ = !has_voted && may_vote(accountant_, now) ? now : now + timing_.vote_renewal_ms;
    open_.reset();
    return granted;
}

std::optional<std::int64_t> limit_client::take(const std::string& organisation, std::int64_t now) {
    const auto position = accounts_.find(organisation);
    if (position == accounts_.end()) {
        return std::nullopt;
    }
    std::vector<held_grants>& grants = position->second.grants;
    if (fault_ != limit_fault::uses_late_grants) {
        std::erase_if(grants, [&](const held_grants& entry) { return entry.until <= now; });
    }
    if (grants.empty()) {
        return std::nullopt;
    }
    const std::int64_t until = grants.front().until;
    if (--grants.front().count == 0) {
        grants.erase(grants.begin());
    }
    return until;
}

bool limit_client::is_hopeless(const std::string& organisation, std::int64_t ahead,
                               std::int64_t left_ms, std::int64_t now) const {
    const auto position = accounts_.find(organisation);
    if (position == accounts_.end()) {
        return false;
    }
    const account& value = position->second;
    const std::int64_t age_ms = now - value.answered_at;
    if (value.left <= 0 || value.wait_ms <= 0 || age_ms > max_answer_age_ms) {
        return false;
    }
    // Grants of the operations that wait everywhere come evenly over the whole wait.
    return value.wait_ms * (ahead + 1) > (left_ms + age_ms) * value.left;
}

}  // namespace hornbeamhook::coordination
