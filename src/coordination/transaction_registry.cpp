#include "coordination/transaction_registry.h"

namespace hornbeamhook::coordination {

std::uint64_t transaction_registry::open(const std::string& pool, const std::string& caller,
                                         state::time_point now) {
    const std::uint64_t number = next_number_++;
    entries_.emplace(number, entry{pool, caller, now, now, true, false});
    return number;
}

bool transaction_registry::is_past_limit(const entry& value, state::time_point now) const {
    return value.is_ended || now - value.opened >= limits_.total ||
           now - value.last_used >= limits_.idle;
}

transaction_claim_result transaction_registry::claim(std::uint64_t number, const std::string& pool,
                                                     const std::string& caller,
                                                     state::time_point now) {
    const auto it = entries_.find(number);
    if (it == entries_.end() || it->second.pool != pool || it->second.caller != caller) {
        return transaction_claim_result::gone;
    }
    if (it->second.is_busy) {
        return transaction_claim_result::busy;
    }
    if (is_past_limit(it->second, now)) {
        return transaction_claim_result::gone;  // expire() removes it and ends it at the target.
    }
    it->second.is_busy = true;
    return transaction_claim_result::granted;
}

void transaction_registry::release(std::uint64_t number, state::time_point now) {
    const auto it = entries_.find(number);
    if (it != entries_.end()) {
        it->second.is_busy = false;
        it->second.last_used = now;
    }
}

void transaction_registry::close(std::uint64_t number) {
    entries_.erase(number);
}

transaction_end_result transaction_registry::mark_ended(std::uint64_t number,
                                                        const std::string& pool) {
    const auto it = entries_.find(number);
    if (it == entries_.end() || it->second.pool != pool) {
        return transaction_end_result::gone;
    }
    it->second.is_ended = true;
    return it->second.is_busy ? transaction_end_result::in_use : transaction_end_result::idle;
}

std::vector<open_transaction> transaction_registry::get_open_transactions() const {
    std::vector<open_transaction> result;
    result.reserve(entries_.size());
    for (const auto& [number, each] : entries_) {
        result.push_back(
            {number, each.pool, each.caller, each.opened, each.last_used, each.is_busy});
    }
    return result;
}

state::time_point transaction_registry::get_deadline(std::uint64_t number) const {
    const auto it = entries_.find(number);
    return it == entries_.end() ? state::time_point{} : it->second.opened + limits_.total;
}

std::vector<std::uint64_t> transaction_registry::expire(state::time_point now) {
    std::vector<std::uint64_t> expired;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (!it->second.is_busy && is_past_limit(it->second, now)) {
            expired.push_back(it->first);
            it = entries_.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

}  // namespace hornbeamhook::coordination
