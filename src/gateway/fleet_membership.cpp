#include "gateway/fleet_membership.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>

#include "coordination/home_assignment.h"
#include "coordination/primary_lease.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::size_t max_kept_pings = 16;  ///< About ten seconds of pings.
/// Two ping intervals and a delay, so that one datagram may be lost.
constexpr std::int64_t responsive_timeout_ms = 1800;
/// Four hub requests, so that two datagrams may be lost.
constexpr std::int64_t hub_silence_timeout_ms = 1400;
/// A VM that hears from less than this share of the others removes none of them.
constexpr std::size_t min_heard_divisor = 4;

/// How long a VM that is not listed any more may hold a lease.
constexpr std::int64_t unlisted_lease_ms =
    coordination::lease_duration_ms + coordination::clock_drift_margin_ms;

/// One may stop or lose the store unnoticed for a while.
constexpr int confirming_vms = 2;

}  // namespace

std::string format_member(const fleet_member& member) {
    return nlohmann::json{{"incarnation", member.incarnation},
                          {"peer", transport::format_endpoint(member.peer_address)},
                          {"control", transport::format_endpoint(member.control_address)},
                          {"place", member.place},
                          {"registration", member.registration}}
        .dump();
}

std::optional<fleet_member> parse_member(const std::string& vm, const std::string& value) {
    const nlohmann::json object = nlohmann::json::parse(value, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto get_text = [&object](const char* field) {
        const auto entry = object.find(field);
        return entry != object.end() && entry->is_string() ? entry->get<std::string>()
                                                           : std::string();
    };
    const auto peer = transport::parse_endpoint(get_text("peer"));
    const auto control = transport::parse_endpoint(get_text("control"));
    const auto incarnation = object.find("incarnation");
    if (!peer || !control || incarnation == object.end() || !incarnation->is_number_integer()) {
        return std::nullopt;
    }
    // VMs of an earlier release write no number.
    const auto registration = object.find("registration");
    const bool is_numbered = registration != object.end() && registration->is_number_integer();
    return fleet_member{vm,
                        incarnation->get<std::int64_t>(),
                        *peer,
                        *control,
                        get_text("place"),
                        is_numbered ? registration->get<std::int64_t>() : 0};
}

std::pair<std::set<std::string>, std::set<std::string>> fleet_membership::update(
    const std::vector<fleet_member>& members, bool is_self_listed, std::int64_t now) {
    std::set<std::string> joined;
    std::set<std::string> left;
    std::map<std::string, fleet_member> next;
    for (const fleet_member& member : members) {
        if (member.vm != self_.vm) {
            next.emplace(member.vm, member);
        }
    }
    for (const auto& [vm, member] : next) {
        const auto known = members_.find(vm);
        if (known == members_.end() || known->second != member) {
            joined.insert(vm);
            peer_states_[vm] = {};
            peer_states_[vm].joined_at = now;
        }
    }
    for (const auto& [vm, member] : members_) {
        if (!next.contains(vm)) {
            left.insert(vm);
            if (!peer_states_.at(vm).has_ended) {
                left_at_[vm] = now;
            }
            peer_states_.erase(vm);
        }
    }
    std::erase_if(unlisted_, [&next](const auto& entry) {
        const auto listed = next.find(entry.first);
        return listed != next.end() && listed->second.incarnation == entry.second.incarnation;
    });
    members_ = std::move(next);
    if (!is_self_listed) {
        // The other VMs have to see that this one left, even those that never read a list without
        // it: they would remove it for its earlier silence.
        self_.registration += listed_since_ ? 1 : 0;
        listed_since_.reset();
    } else if (!listed_since_) {
        listed_since_ = now;
    }
    return {joined, left};
}

bool fleet_membership::is_self(const fleet_member& member) const {
    fleet_member same = member;
    same.registration = self_.registration;
    return same == self_;
}

const fleet_member* fleet_membership::find_member(const std::string& vm,
                                                  std::int64_t incarnation) const {
    const auto entry = members_.find(vm);
    return entry == members_.end() || entry->second.incarnation != incarnation ? nullptr
                                                                               : &entry->second;
}

bool fleet_membership::is_established(std::int64_t now) const {
    return listed_since_ && now - *listed_since_ >= coordination::max_store_outage_ms;
}

std::int64_t fleet_membership::begin_ping_round(std::int64_t now,
                                                const std::vector<record_promise>& promises) {
    ping_round& round = pings_[++sequence_];
    round.sent_at = now;
    for (const record_promise& promise : promises) {
        round.promises[promise.group] = promise.version;
    }
    if (pings_.size() > max_kept_pings) {
        pings_.erase(pings_.begin());
    }
    return sequence_;
}

std::optional<std::int64_t> fleet_membership::get_ping_time(std::int64_t sequence) const {
    const auto entry = pings_.find(sequence);
    return entry == pings_.end() ? std::nullopt : std::optional(entry->second.sent_at);
}

bool fleet_membership::is_round_complete() const {
    const auto round = pings_.find(sequence_);
    return round != pings_.end() &&
           std::all_of(peer_states_.begin(), peer_states_.end(), [&](const auto& entry) {
               return entry.second.has_ended ||
                      entry.second.answered_ping_sent_at >= round->second.sent_at;
           });
}

void fleet_membership::handle_pong(const peer_pong& pong, std::int64_t now) {
    const auto entry = peer_states_.find(pong.vm);
    const auto member = members_.find(pong.vm);
    const std::optional<std::int64_t> ping_sent_at = get_ping_time(pong.sequence);
    if (entry == peer_states_.end() || member == members_.end() || !ping_sent_at) {
        return;
    }
    handle_heard(pong.vm, pong.is_stopping, now);
    peer_state& known = entry->second;
    known.is_store_available = pong.is_store_available;
    if (*ping_sent_at < known.answered_ping_sent_at || known.has_ended) {
        return;
    }
    known.answered_ping_sent_at = *ping_sent_at;
    if (pong.is_digest_match) {
        known.promises = pings_.at(pong.sequence).promises;
        return;
    }
    known.promises.clear();
    for (const record_promise& promise : pong.promises) {
        known.promises[promise.group] = promise.version;
    }
}

void fleet_membership::handle_heard(const std::string& vm, bool is_stopping, std::int64_t now) {
    const auto entry = peer_states_.find(vm);
    if (entry != peer_states_.end()) {
        entry->second.last_pong_at = now;
        entry->second.heard_at = now;
        entry->second.is_stopping = is_stopping || entry->second.has_ended;
    }
}

void fleet_membership::handle_unlisted(const std::string& vm, std::int64_t incarnation,
                                       const transport::endpoint& address, std::int64_t now) {
    const auto ended = ended_incarnations_.find(vm);
    const bool has_ended = ended != ended_incarnations_.end() && incarnation == ended->second;
    if (vm != self_.vm && !has_ended) {
        unlisted_[vm] = {incarnation, address, now};
    }
}

std::optional<transport::endpoint> fleet_membership::find_peer_address(
    const std::string& vm) const {
    const auto unlisted = unlisted_.find(vm);
    if (unlisted != unlisted_.end()) {
        return unlisted->second.address;
    }
    const auto member = members_.find(vm);
    return member == members_.end() ? std::nullopt : std::optional(member->second.peer_address);
}

void fleet_membership::handle_departure(const departure_notice& notice) {
    ended_incarnations_[notice.vm] = notice.incarnation;
    const auto unlisted = unlisted_.find(notice.vm);
    if (unlisted != unlisted_.end() && unlisted->second.incarnation == notice.incarnation) {
        unlisted_.erase(unlisted);
    }
    if (find_member(notice.vm, notice.incarnation) == nullptr) {
        return;
    }
    peer_state& known = peer_states_.at(notice.vm);
    known.has_ended = true;
    known.is_stopping = true;
    known.promises.clear();
    for (const record_promise& promise : notice.promises) {
        known.promises[promise.group] = promise.version;
    }
}

void fleet_membership::set_store_available(const std::string& vm, bool is_available) {
    const auto entry = peer_states_.find(vm);
    if (entry != peer_states_.end()) {
        entry->second.is_store_available = is_available;
    }
}

void fleet_membership::handle_removal_request(const std::string& vm) {
    const auto entry = peer_states_.find(vm);
    if (entry != peer_states_.end()) {
        entry->second.is_removal_requested = true;
    }
}

std::vector<fleet_member> fleet_membership::get_departure_receivers() const {
    std::vector<fleet_member> result;
    for (const auto& [vm, known] : peer_states_) {
        if (!known.is_removal_requested) {
            result.push_back(members_.at(vm));
        }
    }
    return result;
}

void fleet_membership::apply_report(const place_report& report, std::int64_t as_of) {
    const std::set<std::string> silent(report.silent.begin(), report.silent.end());
    const std::set<std::string> stopping(report.stopping.begin(), report.stopping.end());
    for (auto& [vm, known] : peer_states_) {
        // What the member itself sent later is newer than the report.
        if (members_.at(vm).place != report.place || known.heard_at >= as_of) {
            continue;
        }
        known.is_stopping = known.has_ended || stopping.contains(vm);
        if (silent.contains(vm)) {
            known.last_pong_at = std::min(known.last_pong_at, as_of - responsive_timeout_ms);
        } else {
            known.last_pong_at = std::max(known.last_pong_at, as_of);
        }
    }
}

place_report fleet_membership::get_place_report(bool may_report_silence, std::int64_t now) const {
    place_report report{self_.place, 0, {}, {}};
    for (const auto& [vm, known] : peer_states_) {
        if (members_.at(vm).place != self_.place) {
            continue;
        }
        const std::int64_t silent_since = may_report_silence ? known.heard_at : known.last_pong_at;
        const std::int64_t timeout_ms =
            may_report_silence ? hub_silence_timeout_ms : responsive_timeout_ms;
        if (now - std::max(silent_since, known.joined_at) > timeout_ms) {
            report.silent.push_back(vm);
        } else if (known.is_stopping) {
            report.stopping.push_back(vm);
        }
    }
    return report;
}

std::optional<std::int64_t> fleet_membership::get_promised_since(const std::string& group,
                                                                 std::int64_t version) const {
    std::optional<std::int64_t> since;
    if (!listed_since_) {
        // The list may hold only VMs that were removed like this one and know no newer record yet.
        return std::nullopt;
    }
    for (const auto& [vm, known] : peer_states_) {
        const auto promise = known.promises.find(group);
        if (promise == known.promises.end() || promise->second > version) {
            return std::nullopt;
        }
        if (known.has_ended) {
            continue;
        }
        since = std::min(since.value_or(known.answered_ping_sent_at), known.answered_ping_sent_at);
    }
    return since;
}

std::set<std::string> fleet_membership::get_responsive_members(std::int64_t now) const {
    std::set<std::string> result;
    for (const auto& [vm, known] : peer_states_) {
        if (known.last_pong_at != 0 && !known.has_ended &&
            now - known.last_pong_at < responsive_timeout_ms) {
            result.insert(vm);
        }
    }
    return result;
}

std::vector<fleet_member> fleet_membership::get_live_members(std::int64_t now) const {
    std::vector<fleet_member> result{self_};
    for (const auto& [vm, known] : peer_states_) {
        if (now - std::max(known.last_pong_at, known.joined_at) < responsive_timeout_ms &&
            !known.is_stopping) {
            result.push_back(members_.at(vm));
        }
    }
    return result;
}

std::set<std::string> fleet_membership::get_lease_holders(std::int64_t now) const {
    std::set<std::string> result{self_.vm};
    for (const auto& [vm, known] : peer_states_) {
        if (!known.has_ended) {
            result.insert(vm);
        }
    }
    for (const auto& [vm, left_at] : left_at_) {
        if (now - left_at <= unlisted_lease_ms) {
            result.insert(vm);
        }
    }
    for (const auto& [vm, process] : unlisted_) {
        if (now - process.heard_at <= unlisted_lease_ms) {
            result.insert(vm);
        }
    }
    return result;
}

std::set<std::string> fleet_membership::get_removable_members(std::int64_t now) const {
    std::set<std::string> result;
    if (!is_established(now) ||
        get_responsive_members(now).size() < peer_states_.size() / min_heard_divisor) {
        return result;
    }
    for (const auto& [vm, known] : peer_states_) {
        if (now - std::max(known.last_pong_at, known.joined_at) >
                coordination::member_removal_timeout_ms &&
            now - known.joined_at >= coordination::min_listed_time_ms) {
            result.insert(vm);
        }
    }
    return result;
}

std::vector<transport::endpoint> fleet_membership::get_store_relays(std::int64_t now) const {
    std::vector<transport::endpoint> result;
    for (const std::string& vm : get_responsive_members(now)) {
        if (peer_states_.at(vm).is_store_available) {
            result.push_back(members_.at(vm).control_address);
        }
    }
    return result;
}

bool fleet_membership::is_confirming(std::int64_t now) const {
    return get_rank("configuration", now) < confirming_vms;
}

int fleet_membership::get_rank(const std::string& group, std::int64_t now) const {
    const std::uint64_t own = coordination::get_rendezvous_weight(group, self_.vm);
    int rank = 0;
    for (const std::string& vm : get_responsive_members(now)) {
        rank += coordination::get_rendezvous_weight(group, vm) > own ? 1 : 0;
    }
    return rank;
}

}  // namespace hornbeamhook::gateway
