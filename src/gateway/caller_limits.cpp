#include "gateway/caller_limits.h"

#include <vector>

#include "gateway/caller_session.h"
#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t check_interval_ms = 1000;
/// For the last answers of a closed session. A longer wait lets clients that never read hold them.
constexpr std::int64_t closing_limit_ms = 5000;

const char* to_string(session_origin origin) {
    return origin == session_origin::peer ? "peer" : "caller";
}

}  // namespace

caller_limits::caller_limits(transport::event_loop& loop, bounded_log& log,
                             gateway_counters& counters)
    : log_(log),
      counters_(counters),
      callers_{coordination::holder_budget(coordination::make_vm_limits(0, 0).caller_bytes),
               coordination::make_vm_limits(0, 0).caller_connections},
      peers_{coordination::holder_budget(coordination::make_vm_limits(0, 0).peer_bytes),
             coordination::make_vm_limits(0, 0).peer_connections},
      timer_(loop) {
    timer_.start(check_interval_ms, check_interval_ms, [this] { enforce_time_limits(); });
}

void caller_limits::set_limits(const coordination::vm_limits& limits) {
    callers_.bytes.set_limit(limits.caller_bytes);
    callers_.max_connections = limits.caller_connections;
    peers_.bytes.set_limit(limits.peer_bytes);
    peers_.max_connections = limits.peer_connections;
}

std::optional<coordination::holder_number> caller_limits::add(
    const std::weak_ptr<caller_session>& session, session_origin origin) {
    share& used = get_share(origin);
    if (used.connections >= used.max_connections && !make_room(origin)) {
        counters_.refused_connections.Increment();
        log_.write(event_connection_refused,
                   {{"origin", to_string(origin)}, {"open", std::to_string(used.connections)}});
        return std::nullopt;
    }
    const coordination::holder_number number = ++last_number_;
    holders_.emplace(number, holder{session, nullptr, origin, 0});
    ++used.connections;
    return number;
}

bool caller_limits::make_room(session_origin origin) {
    std::optional<coordination::holder_number> chosen;
    auto chosen_rest = coordination::session_rest::none;
    std::int64_t chosen_active_at = 0;
    for (const auto& [number, entry] : holders_) {
        if (entry.origin != origin) {
            continue;
        }
        const std::shared_ptr<caller_session> session = entry.session.lock();
        const auto rest = entry.closing ? coordination::session_rest::unstarted
                          : session     ? session->get_rest()
                                        : coordination::session_rest::none;
        const std::int64_t active_at = entry.closing ? entry.closing_since
                                       : session     ? session->get_last_active_at()
                                                     : 0;
        if (rest != coordination::session_rest::none &&
            (!chosen ||
             coordination::makes_room_before(rest, active_at, chosen_rest, chosen_active_at))) {
            chosen = number;
            chosen_rest = rest;
            chosen_active_at = active_at;
        }
    }
    if (!chosen) {
        return false;
    }
    end(*chosen, "room for a new connection");
    return true;
}

void caller_limits::update(coordination::holder_number number, std::size_t bytes) {
    const auto entry = holders_.find(number);
    if (entry == holders_.end()) {
        return;
    }
    const session_origin origin = entry->second.origin;
    get_share(origin).bytes.update(number, bytes);
    close_payers(origin);
}

void caller_limits::close_payers(session_origin origin) {
    while (const auto payer = get_share(origin).bytes.find_payer()) {
        end(*payer, "it holds the most memory");
    }
}

void caller_limits::end(coordination::holder_number number, const std::string& reason) {
    const holder ended = holders_.at(number);
    remove(number);
    counters_.limited_sessions.Increment();
    const std::shared_ptr<caller_session> session = ended.session.lock();
    log_.write(event_session_limited, {{"origin", to_string(ended.origin)},
                                       {"caller", session ? session->get_caller() : ""},
                                       {"reason", reason}});
    if (ended.closing) {
        ended.closing->reset();
    } else if (session) {
        session->abort();
    }
}

void caller_limits::remove(coordination::holder_number number) {
    const auto entry = holders_.find(number);
    if (entry == holders_.end()) {
        return;
    }
    share& used = get_share(entry->second.origin);
    used.bytes.remove(number);
    --used.connections;
    holders_.erase(entry);
}

void caller_limits::add_closing(const std::shared_ptr<transport::tcp_stream>& stream,
                                session_origin origin) {
    const coordination::holder_number number = ++last_number_;
    holders_.emplace(number, holder{{}, stream, origin, transport::get_boot_time()});
    ++get_share(origin).connections;
    update(number, stream->get_queue_memory());
}

std::size_t caller_limits::get_used_bytes(session_origin origin) const {
    return origin == session_origin::peer ? peers_.bytes.get_used() : callers_.bytes.get_used();
}

void caller_limits::enforce_time_limits() {
    const std::int64_t now = transport::get_boot_time();
    std::vector<std::pair<coordination::holder_number, std::string>> overdue;
    std::vector<coordination::holder_number> sent;
    for (const auto& [number, entry] : holders_) {
        if (entry.closing) {
            if (entry.closing->get_queued_bytes() == 0) {
                sent.push_back(number);
            } else if (now - entry.closing_since >= closing_limit_ms) {
                overdue.emplace_back(number, "its last answers were not read in time");
            }
        } else if (const auto session = entry.session.lock()) {
            const std::string reason = session->find_overdue_exchange(now);
            if (!reason.empty()) {
                overdue.emplace_back(number, reason);
            }
        }
    }
    for (const coordination::holder_number number : sent) {
        remove(number);
    }
    for (const auto& [number, reason] : overdue) {
        if (holders_.contains(number)) {
            end(number, reason);
        }
    }
}

}  // namespace hornbeamhook::gateway
