#include "coordination/http_shares.h"

#include "coordination/vm_limits.h"

namespace hornbeamhook::coordination {

namespace {

/// 1 MiB takes 42 s at 200 kbit/s.
constexpr std::int64_t request_limit_ms = 60'000;
constexpr std::int64_t answer_limit_ms = 30'000;
/// For the client to take the answer that refuses its request.
constexpr std::int64_t refused_limit_ms = 5'000;
/// While connections that are to be closed still fill the memory, one that holds less may grow.
constexpr std::size_t small_holding_bytes = 65'536;
/// By this part of the limit they may exceed it before one that grows has to pay as well.
constexpr std::size_t closing_divisor = 4;

session_rest get_rest(const http_holding& holding) {
    if (holding.outstanding > 0) {
        return session_rest::none;
    }
    return holding.begun_at || holding.refused_at ? session_rest::unstarted : session_rest::idle;
}

std::optional<http_limit> find_overdue_limit(const http_holding& holding, std::int64_t now) {
    if (holding.refused_at && now - *holding.refused_at >= refused_limit_ms) {
        return http_limit::refused;
    }
    if (holding.unread_since && now - *holding.unread_since >= answer_limit_ms) {
        return http_limit::answer_time;
    }
    if (holding.begun_at && now - *holding.begun_at >= request_limit_ms) {
        return http_limit::request_time;
    }
    return std::nullopt;
}

}  // namespace

const char* to_string(http_limit limit) {
    switch (limit) {
        case http_limit::memory:
            return "memory";
        case http_limit::connections:
            return "connections";
        case http_limit::request_time:
            return "request_time";
        case http_limit::answer_time:
            return "answer_time";
        case http_limit::refused:
            return "refused";
    }
    return "unknown";
}

std::vector<http_closing> http_shares::add(holder_number number, std::int64_t now) {
    std::vector<http_closing> closing;
    if (callers_.connections >= callers_.limits.connections) {
        std::optional<holder_number> chosen;
        auto chosen_rest = session_rest::none;
        std::int64_t chosen_active_at = 0;
        for (const auto& [other, known] : entries_) {
            const session_rest rest = get_rest(known.holding);
            if (known.is_closing || known.origin != http_origin::caller ||
                rest == session_rest::none) {
                continue;
            }
            if (!chosen ||
                makes_room_before(rest, known.holding.active_at, chosen_rest, chosen_active_at)) {
                chosen = other;
                chosen_rest = rest;
                chosen_active_at = known.holding.active_at;
            }
        }
        closing.push_back({chosen.value_or(number), http_limit::connections});
        if (chosen) {
            begin_closing(*chosen, http_limit::connections);
        }
    }
    ++callers_.connections;
    callers_.budget.update(number, 0);
    entries_[number].holding.active_at = now;
    if (!closing.empty() && closing.front().number == number) {
        begin_closing(number, http_limit::connections);
    }
    return closing;
}

std::vector<http_closing> http_shares::update(holder_number number, const http_holding& holding) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.is_closing) {
        return {};
    }
    entry& changed = found->second;
    const bool has_grown = holding.bytes > changed.holding.bytes;
    changed.holding = holding;
    share& used = get_share(changed.origin);
    used.budget.update(number, holding.bytes);
    std::vector<http_closing> closing;
    while (const auto payer = used.budget.find_payer()) {
        closing.push_back(begin_closing(*payer, http_limit::memory));
    }
    if (!changed.is_closing && has_grown && holding.bytes >= small_holding_bytes &&
        used.budget.get_used() + used.closing_bytes >
            used.limits.bytes + used.limits.bytes / closing_divisor) {
        closing.push_back(begin_closing(number, http_limit::memory));
    }
    return closing;
}

void http_shares::set_peer(holder_number number) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.is_closing ||
        found->second.origin == http_origin::peer ||
        peers_.connections >= peers_.limits.connections) {
        return;
    }
    callers_.budget.remove(number);
    --callers_.connections;
    found->second.origin = http_origin::peer;
    peers_.budget.update(number, found->second.holding.bytes);
    ++peers_.connections;
}

std::vector<http_closing> http_shares::take_overdue(std::int64_t now) {
    std::vector<http_closing> closing;
    for (const auto& [number, known] : entries_) {
        const auto limit = find_overdue_limit(known.holding, now);
        if (limit && !known.is_closing) {
            closing.push_back(begin_closing(number, *limit));
        }
    }
    return closing;
}

http_closing http_shares::begin_closing(holder_number number, http_limit limit) {
    entry& closed = entries_.at(number);
    closed.is_closing = true;
    share& used = get_share(closed.origin);
    used.budget.remove(number);
    used.closing_bytes += closed.holding.bytes;
    --used.connections;
    return {number, limit};
}

void http_shares::remove(holder_number number) {
    const auto found = entries_.find(number);
    if (found == entries_.end()) {
        return;
    }
    share& used = get_share(found->second.origin);
    if (found->second.is_closing) {
        used.closing_bytes -= found->second.holding.bytes;
    } else {
        used.budget.remove(number);
        --used.connections;
    }
    entries_.erase(found);
}

std::size_t http_shares::get_used(http_origin origin) const {
    const share& used = origin == http_origin::peer ? peers_ : callers_;
    return used.budget.get_used() + used.closing_bytes;
}

}  // namespace hornbeamhook::coordination
