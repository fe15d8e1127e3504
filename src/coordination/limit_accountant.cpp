#include "coordination/limit_accountant.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/// Bounds the memory of an accountant. Fleets have up to 200 VMs.
constexpr std::size_t max_voters = 512;
constexpr std::size_t max_accounts = 1024;
/// After this time without a request, a VM or an organisation may be forgotten.
constexpr std::int64_t idle_ms = 30000;
/// Share of a bucket that one VM leaves to the others that wait.
constexpr double kept_for_others = 0.5;
/// Sums of shares such as 1/73 differ from whole numbers by rounding.
constexpr double rounding = 1e-9;

}  // namespace

limit_accountant::limit_accountant(std::uint64_t process, const limit_timing& timing,
                                   bucket_source buckets, limit_fault fault)
    : process_(process), timing_(timing), buckets_(std::move(buckets)), fault_(fault) {}

double limit_accountant::get_share() const {
    double sum = 0;
    for (const auto& [vm, value] : voters_) {
        sum += value.share;
    }
    return std::min(1.0, sum);
}

void limit_accountant::advance(std::int64_t now) {
    expire_votes(now);
}

void limit_accountant::expire_votes(std::int64_t now) {
    // Steps from one expiry to the next, so that no bucket fills by a vote that had expired.
    while (true) {
        std::int64_t next = now;
        for (const auto& [vm, value] : voters_) {
            if (value.share > 0) {
                next = std::min(next, std::max(now_, value.vote_until));
            }
        }
        share_ms_ += get_share() * static_cast<double>(next - now_);
        now_ = next;
        bool is_any_expired = false;
        for (auto& [vm, value] : voters_) {
            if (value.share > 0 && value.vote_until <= now_) {
                value.share = 0;
                is_any_expired = true;
            }
        }
        if (!is_any_expired) {
            return;
        }
        // A level above the smaller share would be granted again by whom the votes go to.
        cut_levels();
    }
}

void limit_accountant::cut_levels() {
    for (auto& [name, value] : accounts_) {
        if (const std::optional<limit_bucket> bucket = buckets_(name)) {
            fill(value, *bucket);
        } else {
            value.level = 0;
        }
    }
}

void limit_accountant::fill(account& value, const limit_bucket& bucket) const {
    value.level = std::clamp(value.level + bucket.rate_per_ms * (share_ms_ - value.filled_share_ms),
                             0.0, bucket.capacity * get_share());
    value.filled_share_ms = share_ms_;
}

void limit_accountant::count_vote(const limit_request& request, std::int64_t now) {
    if (request.vote_from.process != process_ || request.vote_from.at > now ||
        request.members <= 0) {
        return;
    }
    const std::int64_t duration = fault_ == limit_fault::keeps_votes ? 10 * timing_.vote_duration_ms
                                                                     : timing_.vote_duration_ms;
    const std::int64_t until = request.vote_from.at + duration;
    voter& value = voters_[request.vm];
    if (until > now && until >= value.vote_until) {
        const double share = 1.0 / static_cast<double>(request.members);
        const bool is_less = share < value.share;
        value.vote_until = until;
        value.share = share;
        if (is_less) {
            cut_levels();
        }
    }
}

std::optional<limit_answer> limit_accountant::handle(const limit_request& request,
                                                     std::int64_t now) {
    expire_votes(now);
    make_room(now);
    if (request.vm.empty() || request.demands.size() > max_limit_demands ||
        (voters_.size() >= max_voters && !voters_.contains(request.vm))) {
        return std::nullopt;
    }
    count_vote(request, now);
    voter& sender = voters_[request.vm];
    sender.heard_at = now;
    if (sender.process != request.process) {
        sender.process = request.process;
        sender.last_answer = {};
    }
    if (request.number < sender.last_answer.number) {
        return std::nullopt;
    }
    if (request.number > sender.last_answer.number) {
        sender.last_answer = {request.process, request.shard, request.number, {}, {}};
        for (const limit_demand& demand : request.demands) {
            sender.last_answer.grants.push_back(grant(request.vm, demand, now));
        }
    }
    sender.last_answer.moment = {process_, now};
    return sender.last_answer;
}

limit_grant limit_accountant::grant(const std::string& vm, const limit_demand& demand,
                                    std::int64_t now) {
    limit_grant result{demand.organisation, 0, timing_.vote_duration_ms};
    const std::optional<limit_bucket> bucket = buckets_(demand.organisation);
    if (!bucket || (accounts_.size() >= max_accounts && !accounts_.contains(demand.organisation))) {
        return result;
    }
    result.wait_ms = 0;
    const auto [position, is_new] = accounts_.try_emplace(demand.organisation);
    account& value = position->second;
    if (is_new) {
        value.filled_share_ms = share_ms_;
        value.level = fault_ == limit_fault::starts_full ? bucket->capacity : 0;
    } else {
        fill(value, *bucket);
    }
    std::erase_if(value.waiting, [&](const auto& entry) {
        return entry.second.asked_at + 2 * timing_.grant_duration_ms <= now;
    });
    waiting_vm& own = value.waiting[vm];
    own.count = std::clamp<std::int64_t>(demand.count, 0, max_limit_demand);
    own.asked_at = now;

    std::int64_t all = 0;
    double owed = 0;
    for (const auto& [name, other] : value.waiting) {
        all += other.count;
        owed += other.due;
    }
    const double level = value.level + rounding;
    if (static_cast<double>(all) <= level) {
        result.count = own.count;
    } else if (all > 0) {
        // What the bucket has gained is owed to the VMs in proportion to what they ask. A level
        // that was cut is owed by all in proportion too.
        double most = 0;
        double kept = 0;
        for (auto& [name, other] : value.waiting) {
            other.due +=
                (value.level - owed) * static_cast<double>(other.count) / static_cast<double>(all);
            most = std::max(most, other.due);
            if (name != vm) {
                kept += std::max(0.0, std::floor(other.due + rounding));
            }
        }
        // A bucket that overflows until the others ask again would waste what the limit allows, and
        // so would many parts of less than an operation.
        kept = std::min(kept, bucket->capacity * get_share() * kept_for_others);
        // Shares of a small limit are less than one operation, so VMs take turns.
        const bool is_next = level >= 1 && own.due >= most;
        const double most_now = std::max({own.due, level - kept, is_next ? 1.0 : 0.0});
        result.count = std::clamp<std::int64_t>(
            static_cast<std::int64_t>(std::floor(std::min(level, most_now + rounding))), 0,
            own.count);
    }
    own.count -= result.count;
    own.due -= static_cast<double>(result.count);
    value.level = std::max(0.0, value.level - static_cast<double>(result.count));
    const double fill_per_ms = bucket->rate_per_ms * get_share();
    const double missing = static_cast<double>(all - result.count) - value.level;
    if (own.count == 0) {
        value.waiting.erase(vm);
    } else if (missing > 0) {
        result.wait_ms =
            fill_per_ms > 0
                ? static_cast<std::int64_t>(std::min(60000.0, std::ceil(missing / fill_per_ms)))
                : timing_.vote_duration_ms;
    }
    return result;
}

void limit_accountant::make_room(std::int64_t now) {
    if (voters_.size() >= max_voters) {
        std::erase_if(voters_, [&](const auto& entry) {
            return entry.second.share <= 0 && entry.second.heard_at + idle_ms <= now;
        });
    }
    if (accounts_.size() >= max_accounts) {
        std::erase_if(accounts_, [&](const auto& entry) {
            return entry.second.waiting.empty() || !buckets_(entry.first);
        });
    }
}

}  // namespace hornbeamhook::coordination
