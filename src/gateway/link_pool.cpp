#include "gateway/link_pool.h"

#include <algorithm>
#include <utility>

#include "gateway/caller_session.h"
#include "gateway/gateway_events.h"
#include "gateway/statement_time_limits.h"

namespace hornbeamhook::gateway {

namespace {

/// No surplus connections are opened for this long after the target's limit was reached.
constexpr std::int64_t connection_limit_backoff_ms = 1000;
/// Between attempts to connect to a failing target.
constexpr std::int64_t reconnect_delay_ms = 150;
constexpr std::int64_t connect_timeout_ms = 700;  ///< Connecting takes 12 ms and two round trips.
/// A connection whose session held more is reset before its next use.
constexpr std::size_t max_idle_state_bytes = std::size_t{64} * 1024;
/// Of names and texts that callers or targets choose.
constexpr std::size_t max_logged_bytes = 200;
/// Setting up a connection takes no slot of the target, so a round trip is enough. Later the
/// statement, which was not sent yet, is tried on another connection.
constexpr std::int64_t setup_timeout_ms = 300;
/// The same inside a transaction, which is lost with its connection. Shorter than the time limit of
/// a statement, so that its caller, or the VM that passed it on, learns that it was not sent.
constexpr std::int64_t transaction_setup_timeout_ms = 600;
/// For links to homes above kept_relayed_links, and direct links of a VM that is not a home.
constexpr std::int64_t fallback_idle_timeout_ms = 1500;
/// Connections opened concurrently to one target; each takes one of its 2 or 3 slots for 12 ms.
constexpr int max_opening_links = 2;
/// Direct connections of a VM that is not a home: for statements of VMs that still treat it as one,
/// and when all homes fail.
constexpr int fallback_links = 1;
/// Connections opened concurrently to the homes of a target; they take no slot of the target.
constexpr int max_opening_relayed_links = 4;
/// Connections to the homes of one target; each carries one statement, and the target's queue holds
/// fewer than this.
constexpr int max_relayed_links = 24;
constexpr int kept_relayed_links = 2;   ///< Kept open when idle.
constexpr int kept_links_per_home = 2;  ///< The same where each home serves some organisations.
/// Of the limits of all organisations; a home has a third of the connections of a target.
constexpr double max_share_at_one_home = 0.03;

/** Whether a statement of any session may be sent on it now. */
bool is_free(const target_link& link) {
    return link.is_idle() && !link.is_pinned() && link.get_state() == transaction_state::idle;
}

/** Result of searching a target's direct or relayed connections for a statement. */
struct link_search {
    std::shared_ptr<target_link> best;
    int opening = 0;
    int usable_opening = 0;  ///< Of them, those that the statement may use.
    int count = 0;           ///< Including those being opened.
};

template <typename link_filter>
link_search search_links(const target_state& target, const pending_statement& pending,
                         bool is_relayed, const link_filter& may_use) {
    link_search result;
    for (const std::shared_ptr<target_link>& link : target.links) {
        if (link->is_ended() || link->is_relayed() != is_relayed) {
            continue;
        }
        ++result.count;
        result.opening += link->is_open() ? 0 : 1;
        result.usable_opening += !link->is_open() && may_use(*link) ? 1 : 0;
        // A link that already holds the session's values needs no setup statements. Among equal
        // ones the first is used, so that the last ones become idle and are closed.
        const coordination::session_values& values = pending.session->get_values();
        const bool is_better = !result.best || (!result.best->get_session_state().holds(values) &&
                                                link->get_session_state().holds(values));
        if (is_free(*link) && is_better && may_use(*link)) {
            result.best = link;
        }
    }
    return result;
}

}  // namespace

std::optional<std::string> get_close_reason(const target_link& link,
                                            std::optional<std::int64_t> idle_timeout_ms,
                                            std::int64_t now) {
    if (!link.is_open()) {
        return now - link.get_opened_at() > connect_timeout_ms ? std::optional("not open in time")
                                                               : std::nullopt;
    }
    const std::int64_t unanswered_since = link.get_oldest_sent_at();
    const std::int64_t unanswered_ms = unanswered_since == 0 ? 0 : now - unanswered_since;
    const std::int64_t setup_limit_ms =
        link.is_pinned() ? transaction_setup_timeout_ms : setup_timeout_ms;
    if (link.is_setting_up() && unanswered_ms > setup_limit_ms) {
        return "not set up in time";
    }
    if (link.is_pinned()) {
        return std::nullopt;
    }
    // Longer than the timeouts that routes set in practice, so no caller still waits for the
    // answer; default_timeout_ms, for routes without a timeout, is longer.
    if (unanswered_ms > default_timeout_ms / 2) {
        return "no answer in time";
    }
    const bool is_idle_too_long =
        idle_timeout_ms && link.is_idle() && now - link.get_idle_since() > *idle_timeout_ms;
    return is_idle_too_long ? std::optional("idle") : std::nullopt;
}

link_pool::link_pool(transport::event_loop& loop, const session_protocol& protocol,
                     bounded_log& log, gateway_counters& counters, answer_flow& flow,
                     std::string vm, std::map<std::string, std::string> place_regions,
                     link_pool_owner owner)
    : loop_(loop),
      protocol_(protocol),
      log_(log),
      counters_(counters),
      flow_(flow),
      vm_(std::move(vm)),
      owner_(std::move(owner)),
      planner_({{}, 1, std::move(place_regions)}),
      homes_(vm_) {}

void link_pool::set_organisations(const organisation_table& value) {
    large_organisations_ = get_large_organisations(value, max_share_at_one_home);
}

bool link_pool::is_direct(const target_state& target) const {
    return target.plan.homes.empty() || target.plan.is_home(vm_);
}

bool link_pool::is_small(const std::string& organisation) const {
    return !organisation.empty() && !large_organisations_.contains(organisation);
}

std::shared_ptr<target_link> link_pool::find(target_state& target, pending_statement& pending) {
    const std::int64_t now = transport::get_boot_time();
    if (is_direct(target) || homes_.is_every_home_backing_off(target.plan, now)) {
        return find_direct(target, pending);
    }
    if (select_home(target, pending, now).empty()) {
        if (now - pending.last_sent_at < retry_delay_ms) {
            return nullptr;
        }
        pending.avoided_homes.clear();
    }
    return find_relayed(target, pending);
}

std::shared_ptr<target_link> link_pool::find_direct(target_state& target,
                                                    const pending_statement& pending) {
    const link_search found = search_links(target, pending, false, [&](const target_link& link) {
        return link.get_organisation() == pending.organisation;
    });
    const std::int64_t now = transport::get_boot_time();
    if (!target.may_send(now)) {
        return nullptr;
    }
    const bool may_open =
        !found.best && found.opening < max_opening_links && now >= target.reconnect_at;
    // A connection serves one organisation, so another one that opens may not be for this
    // statement.
    const bool is_expected = identifies_callers_ && found.usable_opening > 0;
    if (!may_open || is_expected) {
        return found.best;
    }
    const int limit = get_direct_limit(target, now);
    const bool is_replacing = identifies_callers_ && found.count >= limit && close_idlest(target);
    if (found.count - (is_replacing ? 1 : 0) < limit) {
        open_direct(target, pending.organisation);
    }
    return nullptr;
}

std::shared_ptr<target_link> link_pool::find_idle(const target_state& target) {
    const auto link = std::find_if(
        target.links.begin(), target.links.end(),
        [](const auto& candidate) { return is_free(*candidate) && !candidate->is_relayed(); });
    return link == target.links.end() ? nullptr : *link;
}

int link_pool::get_direct_limit(const target_state& target, std::int64_t now) const {
    if (!is_direct(target)) {
        // For VMs that still treat this one as a home, and when all homes fail.
        return now < target.connection_limited_until ? 0 : fallback_links;
    }
    return get_link_limit(target.plan, now - started_at_, now >= target.connection_limited_until);
}

bool link_pool::close_idlest(target_state& target) {
    std::shared_ptr<target_link> idlest;
    for (const std::shared_ptr<target_link>& link : target.links) {
        const bool may_close = is_free(*link) && !link->is_relayed();
        if (may_close && (!idlest || link->get_idle_since() < idlest->get_idle_since())) {
            idlest = link;
        }
    }
    if (idlest) {
        idlest->close("replaced by a connection of another organisation");
    }
    return idlest != nullptr;
}

std::string link_pool::select_home(const target_state& target, const pending_statement& pending,
                                   std::int64_t now) const {
    // The statements of a small organisation meet at one home, which then has a connection of it.
    // Those of a large one would take all connections of one home.
    return homes_.select(target.plan, target.entry.id,
                         is_small(pending.organisation) ? pending.organisation : "",
                         pending.avoided_homes, now);
}

std::shared_ptr<target_link> link_pool::find_relayed(target_state& target,
                                                     const pending_statement& pending) {
    const std::int64_t now = transport::get_boot_time();
    const std::string home = select_home(target, pending, now);
    const bool must_be_responsive = !homes_.is_unresponsive(home, now);
    const bool must_be_selected = is_small(pending.organisation);
    const link_search found = search_links(target, pending, true, [&](const target_link& link) {
        return (!must_be_selected || link.get_home() == home) &&
               homes_.may_use(target.plan, link.get_home(), now) &&
               !pending.avoided_homes.contains(link.get_home()) &&
               !(must_be_responsive && homes_.is_unresponsive(link.get_home(), now));
    });
    if (!found.best && found.opening < max_opening_relayed_links &&
        found.count < max_relayed_links) {
        open_relayed(target, home);
    }
    return found.best;
}

void link_pool::update_homes(const std::map<std::string, target_group>& groups) {
    homes_.clear_waiting();
    for (const auto& [name, group] : groups) {
        for (const auto& [id, target] : group.targets) {
            for (const std::shared_ptr<target_link>& link : target.links) {
                const std::int64_t since = link->is_relayed() ? link->get_oldest_sent_at() : 0;
                if (since != 0) {
                    homes_.add_waiting(link->get_home(), since);
                }
            }
        }
    }
}

void link_pool::open_relayed(target_state& target, const std::string& home) {
    const std::vector<fleet_member>& live = planner_.get_input().live;
    const auto member = std::find_if(live.begin(), live.end(),
                                     [&](const fleet_member& value) { return value.vm == home; });
    if (member == live.end()) {
        return;
    }
    const std::string group = target.entry.group;
    const std::string id = target.entry.id;
    target.links.push_back(target_link::open(
        loop_, protocol_, target.entry,
        {.opened = [this, group] { owner_.dispatch(group); },
         .ended =
             [this, id, home](const target_link::link_end& end) {
                 log_end(id, home, end);
                 if (!end.is_local) {
                     homes_.back_off(home, transport::get_boot_time());
                 }
             },
         .answered =
             [this, group, id, home](const target_ready& ready, std::int64_t sent_at) {
                 homes_.handle_answer(home, transport::get_boot_time());
                 // An answer without a position comes from the home itself.
                 if (ready.position) {
                     owner_.answered(group, id, ready, sent_at);
                 }
             },
         .setup_failed =
             [this, id, home](std::uint64_t link, const coordination::setup_step& step,
                              const target_failure& failure) {
                 log_setup_failure(id, home, link, step, failure);
             },
         .flow = &flow_},
        link_home{home, member->peer_address}));
}

void link_pool::open_direct(target_state& target, const std::string& organisation) {
    counters_.opened_links.Increment();
    const std::string group = target.entry.group;
    const std::string id = target.entry.id;
    target.links.push_back(target_link::open(
        loop_, protocol_, target.entry,
        {.opened = [this, group] { owner_.dispatch(group); },
         .ended = [this, group,
                   id](const target_link::link_end& end) { handle_end(group, id, end); },
         .answered = [this, group, id](
                         const target_ready& ready,
                         std::int64_t sent_at) { owner_.answered(group, id, ready, sent_at); },
         .setup_failed =
             [this, id](std::uint64_t link, const coordination::setup_step& step,
                        const target_failure& failure) {
                 log_setup_failure(id, "none", link, step, failure);
             },
         .flow = &flow_},
        std::nullopt, organisation));
}

void link_pool::probe(target_state& target) {
    if (!is_direct(target)) {
        return;
    }
    const std::int64_t now = transport::get_boot_time();
    const bool is_opening =
        std::any_of(target.links.begin(), target.links.end(),
                    [](const auto& link) { return !link->is_open() && !link->is_ended(); });
    if (!is_opening && now >= target.reconnect_at && now >= target.next_probe_at) {
        target.next_probe_at = now + reconnect_delay_ms;
        open_direct(target, {});
    }
}

void link_pool::trim(target_state& target, std::int64_t now) {
    int direct = 0;
    std::map<std::string, int> relayed;  // By home, or all together.
    const std::vector<std::shared_ptr<target_link>> links = target.links;
    for (const std::shared_ptr<target_link>& link : links) {
        if (link->is_ended()) {
            continue;
        }
        const std::string home = identifies_callers_ ? link->get_home() : std::string();
        const int index = link->is_relayed() ? relayed[home]++ : direct++;
        const bool is_opening = !link->is_open();
        if (link->is_idle() && !link->is_pinned() &&
            link->get_session_state().get_bytes() > max_idle_state_bytes) {
            link->get_session_state().invalidate();
        }
        const auto reason = get_close_reason(*link, get_idle_timeout(target, *link, index), now);
        if (reason) {
            link->close(*reason);
        }
        if (reason && is_opening && !link->is_relayed()) {
            target.reconnect_at = now + reconnect_delay_ms;
            target.unreachable_until = target.reconnect_at;
        }
    }
    std::erase_if(target.links, [](const auto& link) { return link->is_ended(); });
}

std::optional<std::int64_t> link_pool::get_idle_timeout(const target_state& target,
                                                        const target_link& link, int index) const {
    if (link.is_relayed()) {
        const int kept_links = identifies_callers_ ? kept_links_per_home : kept_relayed_links;
        const bool is_kept =
            index < kept_links && !is_direct(target) && target.plan.is_home(link.get_home());
        return is_kept ? std::nullopt : std::optional(fallback_idle_timeout_ms);
    }
    if (identifies_callers_ && is_direct(target) && index < target.plan.quota) {
        // Each organisation needs a connection of its own, and the idlest one is replaced.
        return std::nullopt;
    }
    // A VM that is not a home keeps no direct link.
    return is_direct(target) ? get_idle_timeout_ms(target.plan, index)
                             : std::optional(fallback_idle_timeout_ms);
}

void link_pool::close_all(target_state& target) {
    const std::vector<std::shared_ptr<target_link>> links = std::exchange(target.links, {});
    for (const std::shared_ptr<target_link>& link : links) {
        link->close("the target is no longer used");
    }
}

void link_pool::handle_end(const std::string& group, const std::string& id,
                           const target_link::link_end& end) {
    target_state* target = owner_.find_target(group, id);
    if (target == nullptr) {
        return;
    }
    log_end(id, "none", end);
    if (end.is_local) {
        return;  // Says nothing about the target.
    }
    const std::int64_t now = transport::get_boot_time();
    const bool is_limited = end.is_limited();
    target->reconnect_at = now + reconnect_delay_ms;
    target->pace_link_end(is_limited);
    if (is_limited) {
        // Statements go on over the connections that it has accepted.
        target->connection_limited_until = now + connection_limit_backoff_ms;
        target->note_alive(now);
    } else {
        target->unreachable_until = target->reconnect_at;
    }
    if (end.is_refused && target->refused_since == 0) {
        target->refused_since = now;
    }
}

void link_pool::log_end(const std::string& target, const std::string& home,
                        const target_link::link_end& end) {
    const std::optional<target_failure>& failure = end.failure;
    std::string reason = end.is_local ? end.reason : "closed";
    if (failure) {
        reason =
            failure->raw_code.empty() ? failure->text : failure->raw_code + " " + failure->text;
    }
    log_.write(event_link_ended, {{"target", target},
                                  {"home", home},
                                  {"link", std::to_string(end.link)},
                                  {"by", end.is_local || failure ? "vm" : "target"},
                                  {"refused", end.is_refused ? "yes" : "no"},
                                  {"limited", end.is_limited() ? "yes" : "no"},
                                  {"reason", reason}});
}

void link_pool::log_setup_failure(const std::string& target, const std::string& home,
                                  std::uint64_t link, const coordination::setup_step& step,
                                  const target_failure& failure) {
    counters_.setup_failures.Increment();
    const step_description description = describe_step(step);
    log_.write(event_setup_failed, {{"target", target},
                                    {"home", home},
                                    {"link", std::to_string(link)},
                                    {"step", description.kind},
                                    {"name", description.name.substr(0, max_logged_bytes)},
                                    {"reason", failure.raw_code},
                                    {"text", failure.text.substr(0, max_logged_bytes)}});
}

}  // namespace hornbeamhook::gateway
