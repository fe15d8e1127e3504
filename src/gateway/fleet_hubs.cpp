#include "gateway/fleet_hubs.h"

#include <algorithm>
#include <tuple>

#include "coordination/home_assignment.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::size_t hubs_per_place = 2;
constexpr std::size_t max_kept_requests = 16;
/// Three requests without an answer.
constexpr std::int64_t hub_timeout_ms = 1100;
/// How long a hub that did not answer is not chosen; VMs of an older release never answer.
constexpr std::int64_t hub_backoff_ms = 4000;
/// All VMs of a place send requests to a new hub within this.
constexpr std::int64_t hub_introduction_ms = 2500;
/// Reports older than this say nothing about the present state.
constexpr std::int64_t max_report_age_ms = 2500;

}  // namespace

std::vector<std::string> fleet_hubs::choose(const std::vector<fleet_member>& live,
                                            const std::string& place, std::int64_t now) const {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const fleet_member& member : live) {
        const auto contact = contacts_.find(member.vm);
        const bool is_backing_off =
            contact != contacts_.end() && now < contact->second.backoff_until;
        if (member.place == place && !is_backing_off) {
            ranked.emplace_back(coordination::get_rendezvous_weight("hub", member.vm), member.vm);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> hubs;
    for (std::size_t i = 0; i < std::min(hubs_per_place, ranked.size()); ++i) {
        hubs.push_back(ranked[i].second);
    }
    return hubs;
}

void fleet_hubs::update(const std::vector<fleet_member>& live, int fleet_size,
                        bool is_store_available, std::int64_t now) {
    is_enabled_ = fleet_size >= min_hub_fleet_size;
    for (auto& [vm, contact] : contacts_) {
        if (contact.waiting_since != 0 && now - contact.waiting_since > hub_timeout_ms) {
            contact.waiting_since = 0;
            contact.backoff_until = now + hub_backoff_ms;
        }
    }
    own_hubs_ = is_enabled_ ? choose(live, self_.place, now) : std::vector<std::string>();
    remote_hubs_.clear();
    reader_.clear();
    if (std::find(own_hubs_.begin(), own_hubs_.end(), self_.vm) == own_hubs_.end()) {
        hub_since_ = 0;
        return;
    }
    hub_since_ = hub_since_ == 0 ? now : hub_since_;
    contacts_[self_.vm].is_store_available = is_store_available;
    std::set<std::string> places;
    for (const fleet_member& member : live) {
        places.insert(member.place);
    }
    std::tuple<bool, std::uint64_t, std::string> best;
    for (const std::string& place : places) {
        const std::vector<std::string> hubs =
            place == self_.place ? own_hubs_ : choose(live, place, now);
        if (place != self_.place) {
            remote_hubs_.insert(remote_hubs_.end(), hubs.begin(), hubs.end());
        }
        if (!hubs.empty()) {
            const auto contact = contacts_.find(hubs.front());
            const bool is_available =
                contact == contacts_.end() || contact->second.is_store_available;
            best = std::max(
                best, {is_available, coordination::get_rendezvous_weight("reader", hubs.front()),
                       hubs.front()});
        }
    }
    reader_ = std::get<2>(best);
}

bool fleet_hubs::may_report_silence(std::int64_t now) const {
    return is_hub() && now - hub_since_ > hub_introduction_ms;
}

std::vector<std::string> fleet_hubs::get_hubs() const {
    std::vector<std::string> result;
    for (const std::string& vm : own_hubs_) {
        if (vm != self_.vm) {
            result.push_back(vm);
        }
    }
    result.insert(result.end(), remote_hubs_.begin(), remote_hubs_.end());
    return result;
}

std::int64_t fleet_hubs::begin_request(const std::vector<std::string>& vms, std::int64_t now) {
    requests_[++sequence_] = now;
    if (requests_.size() > max_kept_requests) {
        requests_.erase(requests_.begin());
    }
    for (const std::string& vm : vms) {
        hub_contact& contact = contacts_[vm];
        contact.waiting_since = contact.waiting_since == 0 ? now : contact.waiting_since;
    }
    return sequence_;
}

std::optional<std::int64_t> fleet_hubs::get_request_time(std::int64_t sequence) const {
    const auto entry = requests_.find(sequence);
    return entry == requests_.end() ? std::nullopt : std::optional(entry->second);
}

void fleet_hubs::handle_answer(const std::string& vm, bool is_store_available, std::int64_t now) {
    contacts_[vm] = {0, now, 0, is_store_available};
}

bool fleet_hubs::is_reached(const std::string& vm, std::int64_t now) const {
    const auto contact = contacts_.find(vm);
    return contact != contacts_.end() && contact->second.answered_at != 0 &&
           now - contact->second.answered_at <= hub_timeout_ms;
}

std::optional<std::string> fleet_hubs::find_upstream(std::int64_t now) const {
    if (is_first_hub()) {
        return is_reached(reader_, now) ? std::optional(reader_) : std::nullopt;
    }
    for (const std::string& vm : own_hubs_) {
        if (is_reached(vm, now)) {
            return vm;
        }
    }
    return std::nullopt;
}

void fleet_hubs::handle_report(const place_report& report, std::int64_t as_of) {
    kept_report& kept = reports_[report.place];
    if (report.place != self_.place && as_of >= kept.as_of) {
        kept = {report, as_of};
    }
}

std::vector<place_report> fleet_hubs::get_reports(std::int64_t now) const {
    std::vector<place_report> result;
    for (const auto& [place, kept] : reports_) {
        if (now - kept.as_of <= max_report_age_ms && !kept.report.place.empty()) {
            result.push_back(kept.report);
            result.back().age_ms = now - kept.as_of;
        }
    }
    return result;
}

}  // namespace hornbeamhook::gateway
