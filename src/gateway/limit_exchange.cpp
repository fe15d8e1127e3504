#include "gateway/limit_exchange.h"

#include <algorithm>
#include <utility>

#include "coordination/home_assignment.h"
#include "gateway/statement_time_limits.h"

namespace hornbeamhook::gateway {

limit_exchange::limit_exchange(const std::string& vm, std::uint64_t process,
                               const coordination::limit_terms& terms, std::int64_t now,
                               limit_exchange_owner owner)
    : vm_(vm), terms_(terms), owner_(std::move(owner)) {
    for (std::size_t i = 0; i < shard_count; ++i) {
        shards_[i].client = std::make_unique<coordination::limit_client>(
            vm, process, static_cast<std::int64_t>(i), timing_, now + timing_.vote_duration_ms);
        shards_[i].accountant = std::make_unique<coordination::limit_accountant>(
            process, timing_, [this](const std::string& name) { return find_bucket(name); });
    }
}

std::size_t limit_exchange::get_shard(const std::string& organisation) {
    return coordination::get_rendezvous_weight("limits", organisation) % shard_count;
}

std::optional<coordination::limit_bucket> limit_exchange::find_bucket(
    const std::string& organisation) const {
    const auto* found = owner_.find_organisation(organisation);
    if (found == nullptr || !found->limit) {
        return std::nullopt;
    }
    coordination::limit_terms terms = terms_;
    terms.rate_per_s = found->limit->rate_per_s;
    terms.burst = found->limit->burst;
    return coordination::get_bucket(terms, timing_);
}

void limit_exchange::set_members(const std::vector<std::string>& live, std::int64_t listed,
                                 std::int64_t now) {
    for (std::size_t i = 0; i < shard_count; ++i) {
        const std::string key = "limits/" + std::to_string(i);
        std::vector<std::pair<std::uint64_t, std::string>> ranked;
        ranked.reserve(live.size());
        for (const std::string& vm : live) {
            ranked.emplace_back(coordination::get_rendezvous_weight(key, vm), vm);
        }
        std::ranges::sort(ranked, std::greater{});
        std::vector<std::string> candidates;
        candidates.reserve(ranked.size());
        for (auto& [weight, vm] : ranked) {
            candidates.push_back(std::move(vm));
        }
        shards_[i].client->set_candidates(std::move(candidates), listed, now);
    }
}

void limit_exchange::tick(std::int64_t now) {
    std::vector<std::string> organisations;
    for (const auto& [name, list] : waiting_) {
        organisations.push_back(name);
    }
    for (const std::string& name : organisations) {
        hand_out(name, now);
    }
    for (shard& each : shards_) {
        poll(each, now);
    }
    dispatch_granted();
}

void limit_exchange::poll(shard& value, std::int64_t now) {
    const auto message = value.client->poll(now);
    if (!message) {
        return;
    }
    if (message->to == vm_) {
        handle(message->request, now);
    } else {
        owner_.send(message->to, message->request);
    }
}

void limit_exchange::handle(const coordination::limit_request& request, std::int64_t now) {
    if (request.shard < 0 || std::cmp_greater_equal(request.shard, shard_count)) {
        return;
    }
    const auto answer =
        shards_[static_cast<std::size_t>(request.shard)].accountant->handle(request, now);
    if (answer && request.vm == vm_) {
        handle(*answer, now);
    } else if (answer) {
        owner_.send(request.vm, *answer);
    }
}

void limit_exchange::handle(const coordination::limit_answer& answer, std::int64_t now) {
    if (answer.shard < 0 || std::cmp_greater_equal(answer.shard, shard_count)) {
        return;
    }
    const auto granted =
        shards_[static_cast<std::size_t>(answer.shard)].client->handle(answer, now);
    for (const std::string& name : granted) {
        hand_out(name, now);
    }
    dispatch_granted();
}

bool limit_exchange::allow(const pending_statement_ptr& pending, std::int64_t now) {
    if (pending->is_relayed() || now < pending->grant_until) {
        return true;
    }
    const auto* found = owner_.find_organisation(pending->organisation);
    if (found == nullptr || !found->limit) {
        pending->is_waiting_for_grant = false;
        pending->grant_until = 0;
        return true;
    }
    if (!pending->is_waiting_for_grant) {
        pending->is_waiting_for_grant = true;
        waiting_[pending->organisation].push_back(pending);
        is_asked_ = true;
        report_waiting(pending->organisation, now);
        is_asked_ = false;
    }
    return now < pending->grant_until;
}

void limit_exchange::report_waiting(const std::string& organisation, std::int64_t now) {
    shard& value = shards_[get_shard(organisation)];
    const auto list = waiting_.find(organisation);
    if (list != waiting_.end()) {
        // What was refused since must not be asked for: its grants would expire unused.
        std::erase_if(list->second, [](const std::weak_ptr<pending_statement>& entry) {
            const pending_statement_ptr pending = entry.lock();
            return !pending || pending->is_settled;
        });
    }
    value.client->set_waiting(organisation, list == waiting_.end() ? 0 : std::ssize(list->second));
    poll(value, now);
}

void limit_exchange::hand_out(const std::string& organisation, std::int64_t now) {
    const auto found = waiting_.find(organisation);
    if (found == waiting_.end()) {
        return;
    }
    std::vector<pending_statement_ptr> list;
    for (const std::weak_ptr<pending_statement>& entry : found->second) {
        const pending_statement_ptr pending = entry.lock();
        // The engine refuses what has waited for its whole objective.
        if (pending && !pending->is_settled &&
            now - pending->arrived_at < get_objective(*pending)) {
            list.push_back(pending);
        }
    }
    std::ranges::stable_sort(list, [](const auto& a, const auto& b) { return a->is_before(*b); });
    shard& value = shards_[get_shard(organisation)];
    auto next = list.begin();
    for (; next != list.end(); ++next) {
        const std::optional<std::int64_t> until = value.client->take(organisation, now);
        if (!until) {
            break;
        }
        (*next)->grant_until = *until;
        (*next)->is_waiting_for_grant = false;
        counts_.count_granted(organisation);
        granted_groups_.insert((*next)->target_route.group);
    }
    found->second.assign(next, list.end());
    value.client->set_waiting(organisation, std::ssize(found->second));
    if (found->second.empty()) {
        waiting_.erase(found);
    }
}

void limit_exchange::dispatch_granted() {
    if (is_asked_) {
        return;
    }
    const std::set<std::string> groups = std::exchange(granted_groups_, {});
    for (const std::string& group : groups) {
        owner_.dispatch(group);
    }
}

bool limit_exchange::is_hopeless(const pending_statement& pending, std::int64_t left_ms,
                                 std::int64_t now) const {
    if (!pending.is_waiting_for_grant) {
        return false;
    }
    const auto list = waiting_.find(pending.organisation);
    if (list == waiting_.end()) {
        return false;
    }
    std::int64_t ahead = 0;
    bool is_later = false;
    for (const std::weak_ptr<pending_statement>& entry : list->second) {
        const pending_statement_ptr other = entry.lock();
        if (other.get() == &pending) {
            is_later = true;
        } else if (other && !other->is_settled &&
                   (other->is_before(pending) || (!is_later && !pending.is_before(*other)))) {
            ++ahead;
        }
    }
    return shards_[get_shard(pending.organisation)].client->is_hopeless(pending.organisation, ahead,
                                                                        left_ms, now);
}

void limit_exchange::count_refused(const pending_statement& pending) {
    counts_.count_refused(pending.organisation);
}

std::string limit_exchange::format_metrics() const {
    std::map<std::string, std::int64_t> waiting;
    for (const auto& [name, list] : waiting_) {
        waiting[name] = std::ranges::count_if(list, [](const auto& entry) {
            const pending_statement_ptr pending = entry.lock();
            return pending && !pending->is_settled;
        });
    }
    return format_operation_metrics(counts_, waiting);
}

}  // namespace hornbeamhook::gateway
