#include "coordination/membership.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::member;
using state::member_state;
using state::time_point;
using std::chrono::milliseconds;

/// Dead members that are missing from a later VM list are removed after this time.
constexpr milliseconds removal_delay{60'000};
/// A proxy without a later VM list removes dead members after this time. Exceeds the one hour for
/// which regions may be partitioned, because removed members are never probed again.
constexpr std::chrono::hours unlisted_removal_delay{2};
/// Shorter than the member time-out, because no process listens at an address that refuses. Still
/// long enough for other members to refute the suspicion by a probe of their own (500 ms).
constexpr milliseconds refused_timeout{700};
/// Every n-th probe goes to a dead member, so that the end of a partition is detected.
constexpr std::uint64_t dead_probe_rounds = 4;
/// With one probe per second, one of 8 members is first probed more than 2 s after it was killed in
/// 9 % of cases, too late to be removed from the homes within 3 s; with two probes, in 0.3 %.
constexpr std::size_t small_fleet_size = 16;
constexpr std::size_t small_fleet_probes = 2;
/// Members of a large fleet told immediately that one refuses connections, besides the follow-up
/// probe. In a small fleet all are told, because relaying takes up to another second.
constexpr std::size_t refusal_fanout = 2;
/// Helpers asked to probe a member that did not answer.
constexpr std::size_t indirect_probe_count = 2;
/// Expected number of members that check a reported suspicion by a probe of their own.
constexpr std::size_t expected_suspicion_checks = 8;
/// Peers told immediately of a new configuration version; the others learn it by regular probes.
constexpr std::size_t version_fanout = 3;
/// Time in which updates reach all members; a longer digest mismatch means that updates were lost.
constexpr milliseconds max_update_spread_time{10'000};
/// Limits fetches of the full member list, which takes 390 KB with 3,900 members.
constexpr milliseconds min_list_fetch_interval{30'000};

std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

std::uint64_t next_random(std::uint64_t& random) {
    // SplitMix64: its small state is part of membership_state, which makes runs reproducible.
    random += 0x9E3779B97F4A7C15ULL;
    return mix(random);
}

std::uint64_t hash_member(const member& value) {
    // FNV-1a: equal in all builds, because proxies compare the results.
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char letter : value.vm) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
    }
    return mix(hash ^ mix(value.incarnation));
}

int get_precedence(member_state value) {
    switch (value) {
        case member_state::alive:
            return 0;
        case member_state::suspect:
            return 1;
        case member_state::dead:
            return 2;
        case member_state::leaving:
            break;
    }
    return 3;
}

bool is_suspect_or_dead(member_state value) {
    return value == member_state::suspect || value == member_state::dead;
}

bool is_live(const member_entry& entry) {
    // A suspect stays live until its suspicion ends: one lost exchange must not move homes.
    return entry.is_seen &&
           (entry.value.state == member_state::alive || entry.value.state == member_state::suspect);
}

/** Whether rounds include the entry: live, or only listed and not yet probed. */
bool is_probed(const member_entry& entry) {
    return is_live(entry) || (!entry.is_seen && entry.value.state != member_state::dead);
}

void add_probe(membership_state& state, const member& peer, int attempt,
               std::vector<membership_action>& actions) {
    actions.emplace_back(send_probe{peer, make_message(state, peer), attempt});
}

/** Makes the next messages carry the entry. */
void schedule_spread(membership_state& state, member_entry& entry, time_point now) {
    entry.changed_at = now;
    entry.transmissions_left = get_transmission_limit(state.others.size() + 1);
}

/** Inserts a member that became live at a random position of the current round. */
void add_to_round(membership_state& state, const std::string& vm) {
    if (state.probe_order.empty() ||
        std::ranges::find(state.probe_order, vm) != state.probe_order.end()) {
        return;
    }
    const std::size_t position = next_random(state.random) % (state.probe_order.size() + 1);
    state.probe_order.insert(state.probe_order.begin() + static_cast<std::ptrdiff_t>(position), vm);
}

void begin_round(membership_state& state) {
    for (const auto& [vm, entry] : state.others) {
        if (is_probed(entry)) {
            state.probe_order.push_back(vm);
        }
    }
    for (std::size_t i = state.probe_order.size(); i > 1; --i) {
        std::swap(state.probe_order[i - 1], state.probe_order[next_random(state.random) % i]);
    }
}

/** The next member of the round, or null. */
const member* pick_next(membership_state& state) {
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!state.probe_order.empty()) {
            const auto it = state.others.find(state.probe_order.back());
            state.probe_order.pop_back();
            if (it != state.others.end() && is_probed(it->second)) {
                return &it->second.value;
            }
        }
        begin_round(state);
    }
    return nullptr;
}

/** A random dead member, or one that left long ago and may have returned; null if none. */
const member* pick_departed(membership_state& state, time_point now) {
    std::vector<const member*> lost;
    for (const auto& [vm, entry] : state.others) {
        const bool has_left =
            entry.value.state == member_state::leaving && now - entry.changed_at > removal_delay;
        if (entry.value.state == member_state::dead || has_left) {
            lost.push_back(&entry.value);
        }
    }
    return lost.empty() ? nullptr : lost[next_random(state.random) % lost.size()];
}

/** The member to probe next, or null. */
const member* pick_probe_peer(membership_state& state, time_point now) {
    ++state.probes;
    const member* peer =
        state.probes % dead_probe_rounds == 0 ? pick_departed(state, now) : nullptr;
    if (peer == nullptr) {
        peer = pick_next(state);
    }
    return peer != nullptr ? peer : pick_departed(state, now);
}

/** Up to `count` random alive members other than `vm`. */
std::vector<const member*> pick_live(membership_state& state, std::size_t count,
                                     const std::string& vm) {
    std::vector<const member*> live;
    for (const auto& [name, entry] : state.others) {
        if (name != vm && is_live(entry) && entry.value.state == member_state::alive) {
            live.push_back(&entry.value);
        }
    }
    count = std::min(count, live.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(live[i], live[i + next_random(state.random) % (live.size() - i)]);
    }
    live.resize(count);
    return live;
}

void suspect(membership_state& state, member_entry& entry, milliseconds timeout, time_point now) {
    if (entry.value.state == member_state::suspect) {
        entry.suspicion_ends_at = std::min(entry.suspicion_ends_at, now + timeout);
        return;
    }
    entry.value.state = member_state::suspect;
    entry.suspicion_ends_at = now + timeout;
    entry.indirect_probes = 0;
    schedule_spread(state, entry, now);
}

/** Random choice that selects about expected_suspicion_checks members of the fleet. */
bool is_selected_for_check(membership_state& state) {
    const std::uint64_t share =
        std::max<std::uint64_t>(1, state.live.size() / expected_suspicion_checks);
    return next_random(state.random) % share == 0;
}

/** Refutes a suspicion of this proxy by a higher heartbeat. Returns whether it was raised. */
bool merge_self(membership_state& state, const member& update) {
    if (update.incarnation != state.self.incarnation || update.heartbeat < state.self.heartbeat ||
        !is_suspect_or_dead(update.state)) {
        return false;
    }
    state.self.heartbeat = update.heartbeat + 1;
    return true;
}

/** Adopts an unknown member, or a later incarnation of a known one. */
void adopt_incarnation(membership_state& state, member_entry& entry, const member& update,
                       time_point now) {
    entry.value = update;
    entry.is_seen = true;
    entry.indirect_probes = 0;
    if (update.state == member_state::suspect) {
        entry.suspicion_ends_at = now + state.member_timeout;
    }
    schedule_spread(state, entry, now);
    if (is_live(entry)) {
        add_to_round(state, update.vm);
    }
}

/** Adopts another member's report that a member not dead here is suspect or dead. */
void adopt_suspicion(membership_state& state, member_entry& entry, const member& update,
                     time_point now, std::vector<membership_action>& actions) {
    if (update.heartbeat > entry.value.heartbeat) {
        // An earlier suspicion has been refuted.
        entry.value.heartbeat = update.heartbeat;
        entry.value.state = member_state::alive;
    }
    const bool is_new_suspicion = entry.value.state == member_state::alive;
    // A reported death may be due to a single failed link, so it only starts a suspicion here.
    suspect(state, entry,
            update.state == member_state::dead ? refused_timeout : state.member_timeout, now);
    if (is_new_suspicion && is_selected_for_check(state)) {
        add_probe(state, entry.value, 1, actions);
    }
}

/** Merges an entry with the same incarnation as the known one. */
void merge_same_incarnation(membership_state& state, member_entry& entry, const member& update,
                            time_point now, std::vector<membership_action>& actions) {
    const std::uint64_t version =
        std::max(entry.value.configuration_version, update.configuration_version);
    entry.value.configuration_version = version;
    const auto known = std::pair(entry.value.heartbeat, get_precedence(entry.value.state));
    if (entry.value.state == member_state::leaving) {
        return;
    }
    if (update.state != member_state::leaving &&
        std::pair(update.heartbeat, get_precedence(update.state)) <= known) {
        if (is_suspect_or_dead(update.state) && update.heartbeat < entry.value.heartbeat) {
            // The sender missed the refutation; send it again.
            entry.transmissions_left = std::max(entry.transmissions_left, 1);
        } else if (std::pair(update.heartbeat, get_precedence(update.state)) == known) {
            // Other members spread this update too, so this proxy sends it less often.
            entry.transmissions_left = std::max(entry.transmissions_left - 1, 0);
        }
        return;
    }
    if (is_suspect_or_dead(update.state) && entry.value.state != member_state::dead) {
        adopt_suspicion(state, entry, update, now, actions);
        return;
    }
    const bool was_live = is_live(entry);
    entry.value = update;
    entry.value.configuration_version = version;
    entry.indirect_probes = 0;
    if (update.state == member_state::suspect) {
        entry.suspicion_ends_at = now + state.member_timeout;
    }
    schedule_spread(state, entry, now);
    if (!was_live && is_live(entry)) {
        add_to_round(state, update.vm);
    }
}

void merge(membership_state& state, const member& update, time_point now,
           std::vector<membership_action>& actions) {
    const auto it = state.others.find(update.vm);
    const bool is_known = it != state.others.end() && it->second.is_seen;
    if (!is_known) {
        // Full lists omit dead members as well. Adopting them here would keep them forever.
        if (update.state != member_state::dead) {
            adopt_incarnation(state, state.others[update.vm], update, now);
        }
        return;
    }
    if (update.incarnation < it->second.value.incarnation) {
        // The sender does not know the later incarnation.
        it->second.transmissions_left = std::max(it->second.transmissions_left, 1);
        return;
    }
    if (update.incarnation > it->second.value.incarnation) {
        adopt_incarnation(state, it->second, update, now);
        return;
    }
    merge_same_incarnation(state, it->second, update, now, actions);
}

void expire(membership_state& state, time_point now) {
    for (auto it = state.others.begin(); it != state.others.end();) {
        member_entry& entry = it->second;
        if (entry.value.state == member_state::suspect && entry.suspicion_ends_at <= now) {
            entry.value.state = member_state::dead;
            schedule_spread(state, entry, now);
        }
        const bool has_ended =
            entry.value.state == member_state::dead || entry.value.state == member_state::leaving;
        const bool has_newer_list = state.listed_at && *state.listed_at > entry.changed_at;
        const bool is_gone =
            has_ended &&
            ((has_newer_list && !entry.is_listed && now - entry.changed_at > removal_delay) ||
             (now - entry.changed_at > unlisted_removal_delay && !has_newer_list));
        it = is_gone ? state.others.erase(it) : std::next(it);
    }
}

void apply(membership_state& state, const exchange_due& /*event*/, time_point now,
           std::vector<membership_action>& actions) {
    expire(state, now);
    const std::size_t known = state.others.size();
    const std::size_t count = known < small_fleet_size ? std::min(small_fleet_probes, known) : 1;
    for (std::size_t i = 0; i < count; ++i) {
        if (const member* peer = pick_probe_peer(state, now)) {
            add_probe(state, *peer, 1, actions);
        }
    }
}

void apply(membership_state& state, const expiry_due& /*event*/, time_point now,
           std::vector<membership_action>& /*actions*/) {
    expire(state, now);
}

/** Fetches the full member list at the start and after lost updates. */
void compare_digest(membership_state& state, const membership_message& message, time_point now,
                    std::vector<membership_action>& actions) {
    if (message.live_count == state.live.size() && message.digest == state.digest) {
        state.differs_since.reset();
    } else if (!state.differs_since) {
        state.differs_since = now;
    }
    const bool is_lasting =
        state.differs_since && now - *state.differs_since >= max_update_spread_time;
    const bool is_allowed =
        !state.list_requested_at || now - *state.list_requested_at >= min_list_fetch_interval;
    if (is_allowed && (is_lasting || !state.has_member_list)) {
        state.list_requested_at = now;
        actions.emplace_back(fetch_members{message.sender});
    }
}

void apply(membership_state& state, const message_received& event, time_point now,
           std::vector<membership_action>& actions) {
    const membership_message& message = event.message;
    if (message.sender.vm == state.self.vm) {
        return;
    }
    compare_digest(state, message, now, actions);
    bool is_refuted = false;
    for (const member& update : message.updates) {
        if (update.vm == state.self.vm) {
            is_refuted = merge_self(state, update) || is_refuted;
        } else {
            merge(state, update, now, actions);
        }
    }
    merge(state, message.sender, now, actions);
    if (!event.is_answer) {
        actions.emplace_back(send_answer{make_message(state, message.sender)});
    } else if (is_refuted) {
        // Answers carry the refutation. If the suspicion came in an answer, send a probe instead.
        add_probe(state, message.sender, max_probes_in_row, actions);
    }
    if (message.sender.configuration_version > state.self.configuration_version) {
        actions.emplace_back(newer_version_seen{message.sender});
    }
}

/** Asks helpers to probe the member; without helpers, suspects it immediately. */
void handle_unanswered_probe(membership_state& state, member_entry& entry, time_point now,
                             std::vector<membership_action>& actions) {
    if (entry.value.state == member_state::suspect || entry.indirect_probes > 0) {
        return;
    }
    const std::vector<const member*> helpers =
        pick_live(state, indirect_probe_count, entry.value.vm);
    if (helpers.empty()) {
        suspect(state, entry, state.member_timeout, now);
        return;
    }
    entry.indirect_probes = static_cast<int>(helpers.size());
    for (const member* helper : helpers) {
        actions.emplace_back(ask_probe{*helper, entry.value});
    }
}

/** Suspects the member without helpers and tells others, so that all drop it at the same time. */
void handle_refused_probe(membership_state& state, member_entry& entry, time_point now,
                          std::vector<membership_action>& actions) {
    const bool is_new_suspicion = entry.value.state == member_state::alive;
    suspect(state, entry, refused_timeout, now);
    if (is_new_suspicion) {
        const bool is_small = state.live.size() <= small_fleet_size;
        const std::size_t fanout = is_small ? state.live.size() : refusal_fanout;
        for (const member* peer : pick_live(state, fanout, entry.value.vm)) {
            add_probe(state, *peer, max_probes_in_row, actions);
        }
    }
}

void apply(membership_state& state, const probe_failed& event, time_point now,
           std::vector<membership_action>& actions) {
    const auto it = state.others.find(event.vm);
    // A failed probe of an earlier incarnation says nothing about the current one.
    const bool is_present =
        it != state.others.end() && it->second.value.incarnation == event.incarnation;
    if (is_present && !it->second.is_seen) {
        it->second.value.state = member_state::dead;
        it->second.changed_at = now;
    } else if (is_present && is_live(it->second)) {
        if (event.is_refused) {
            handle_refused_probe(state, it->second, now, actions);
        } else {
            handle_unanswered_probe(state, it->second, now, actions);
        }
    }
    // One dead peer must not delay updates, in particular a new configuration version.
    const member* next = event.attempt < max_probes_in_row ? pick_next(state) : nullptr;
    if (next != nullptr && next->vm != event.vm) {
        add_probe(state, *next, event.attempt + 1, actions);
    }
}

void apply(membership_state& state, const indirect_probe_ended& event, time_point now,
           std::vector<membership_action>& /*actions*/) {
    const auto it = state.others.find(event.vm);
    if (it == state.others.end() || it->second.value.incarnation != event.incarnation ||
        it->second.indirect_probes == 0) {
        return;
    }
    it->second.indirect_probes = event.is_reached ? 0 : it->second.indirect_probes - 1;
    if (!event.is_reached && it->second.indirect_probes == 0 && is_live(it->second)) {
        suspect(state, it->second, state.member_timeout, now);
    }
}

void apply(membership_state& state, const member_list_received& event, time_point now,
           std::vector<membership_action>& actions) {
    if (!event.members) {
        if (!state.has_member_list) {
            state.list_requested_at.reset();
        }
        return;
    }
    state.has_member_list = true;
    for (const member& update : *event.members) {
        if (update.vm == state.self.vm) {
            merge_self(state, update);
            continue;
        }
        const auto known = state.others.find(update.vm);
        const int left = known == state.others.end() ? 0 : known->second.transmissions_left;
        merge(state, update, now, actions);
        // A full list is news only to this proxy; spreading its entries would displace updates.
        const auto it = state.others.find(update.vm);
        if (it != state.others.end()) {
            it->second.transmissions_left = left;
        }
    }
}

void apply(membership_state& state, const vm_list_received& event, time_point now,
           std::vector<membership_action>& actions) {
    state.listed_at = now;
    std::set<std::string> listed;
    for (const member& vm : event.vms) {
        if (vm.vm == state.self.vm) {
            continue;
        }
        listed.insert(vm.vm);
        const auto [it, is_new] = state.others.try_emplace(vm.vm);
        member_entry& entry = it->second;
        if (entry.is_seen) {
            continue;
        }
        // The list may be stale: it only names candidates, and a leaving entry may belong to an
        // earlier incarnation.
        const bool was_tried = !is_new && entry.value.state == member_state::dead;
        entry.value = vm;
        entry.value.incarnation = 0;
        entry.value.heartbeat = 0;
        entry.value.state = was_tried ? member_state::dead : vm.state;
        if (is_new) {
            entry.changed_at = now;
            add_to_round(state, vm.vm);
        }
    }
    for (auto& [vm, entry] : state.others) {
        entry.is_listed = listed.contains(vm);
    }
    const bool has_no_seen_member =
        std::ranges::none_of(state.others, [](const auto& item) { return item.second.is_seen; });
    for (int i = 0; has_no_seen_member && i < max_probes_in_row; ++i) {
        if (const member* peer = pick_next(state)) {
            add_probe(state, *peer, max_probes_in_row, actions);
        }
    }
}

void apply(membership_state& state, const leave_started& /*event*/, time_point /*now*/,
           std::vector<membership_action>& actions) {
    if (state.self.state == member_state::leaving) {
        return;
    }
    state.self.state = member_state::leaving;
    // Sent immediately, because homes depend on it; in a larger fleet these members spread it.
    for (const member* peer : pick_live(state, max_updates, {})) {
        add_probe(state, *peer, max_probes_in_row, actions);
    }
}

/** Forwards a new version immediately, so that it reaches all members after a few hops. */
void apply(membership_state& state, const version_adopted& event, time_point /*now*/,
           std::vector<membership_action>& actions) {
    if (event.version <= state.self.configuration_version) {
        return;
    }
    state.self.configuration_version = event.version;
    std::vector<const member*> behind;
    for (const auto& [vm, entry] : state.others) {
        if (is_live(entry) && entry.value.configuration_version < event.version) {
            behind.push_back(&entry.value);
        }
    }
    for (std::size_t i = 0; i < version_fanout && i < behind.size(); ++i) {
        std::swap(behind[i], behind[i + next_random(state.random) % (behind.size() - i)]);
        add_probe(state, *behind[i], max_probes_in_row, actions);
    }
}

/** Live members ordered by vm, as pointers because most steps change nothing. */
std::vector<const member*> find_live(const membership_state& state) {
    std::vector<const member*> live;
    live.reserve(state.others.size() + 1);
    bool is_self_due = state.self.state == member_state::alive;
    for (const auto& [vm, entry] : state.others) {
        if (is_self_due && state.self.vm < vm) {
            live.push_back(&state.self);
            is_self_due = false;
        }
        if (is_live(entry)) {
            live.push_back(&entry.value);
        }
    }
    if (is_self_due) {
        live.push_back(&state.self);
    }
    return live;
}

bool is_same_set(const std::vector<const member*>& left, const std::vector<member>& right) {
    return std::ranges::equal(left, right, [](const member* a, const member& b) {
        return std::tie(a->vm, a->incarnation, a->address, a->place, a->data_center) ==
               std::tie(b.vm, b.incarnation, b.address, b.place, b.data_center);
    });
}

std::optional<time_point> find_next_expiry(const membership_state& state) {
    std::optional<time_point> next;
    for (const auto& [vm, entry] : state.others) {
        if (entry.value.state == member_state::suspect &&
            (!next || entry.suspicion_ends_at < *next)) {
            next = entry.suspicion_ends_at;
        }
    }
    return next;
}

}  // namespace

int get_transmission_limit(std::size_t members) {
    // bit_width(members) is ceil(log2(members + 1)).
    return 3 * std::max(1, static_cast<int>(std::bit_width(members)));
}

membership_message make_message(membership_state& state, const member& peer) {
    membership_message message{state.self, {}, state.live.size(), state.digest};
    std::vector<member_entry*> pending;
    const auto recipient = state.others.find(peer.vm);
    // Tell a suspect member of the suspicion, so that it can refute it.
    if (recipient != state.others.end() && recipient->second.is_seen &&
        is_suspect_or_dead(recipient->second.value.state)) {
        message.updates.push_back(recipient->second.value);
    }
    for (auto& [vm, entry] : state.others) {
        if (entry.transmissions_left > 0 && vm != peer.vm) {
            pending.push_back(&entry);
        }
    }
    const std::size_t count = std::min(pending.size(), max_updates - message.updates.size());
    std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count),
                      pending.end(), [](const member_entry* left, const member_entry* right) {
                          return left->changed_at > right->changed_at;
                      });
    for (std::size_t i = 0; i < count; ++i) {
        --pending[i]->transmissions_left;
        message.updates.push_back(pending[i]->value);
    }
    return message;
}

std::vector<member> list_members(const membership_state& state) {
    std::vector<member> members{state.self};
    for (const auto& [vm, entry] : state.others) {
        if (entry.is_seen && entry.value.state != member_state::dead) {
            members.push_back(entry.value);
        }
    }
    return members;
}

std::size_t count_listed_others(const membership_state& state) {
    return std::ranges::count_if(state.others, [&](const auto& item) {
        const member_entry& entry = item.second;
        // The list may be stale and few proxies read it, so members reported later count too.
        const bool is_unlisted_yet =
            entry.is_seen && (!state.listed_at || *state.listed_at <= entry.changed_at);
        return (entry.is_listed || is_unlisted_yet) && entry.value.state != member_state::leaving;
    });
}

membership_step step_membership(membership_state state, const membership_event& event,
                                time_point now) {
    std::vector<membership_action> actions;
    std::visit([&](const auto& value) { apply(state, value, now, actions); }, event);
    const std::vector<const member*> live = find_live(state);
    if (!is_same_set(live, state.live)) {
        std::vector<member> next;
        next.reserve(live.size());
        state.digest = 0;
        for (const member* value : live) {
            next.push_back(*value);
            state.digest += hash_member(*value);
        }
        state.live = std::move(next);
        actions.emplace_back(live_members_changed{});
    }
    state.next_expiry = find_next_expiry(state);
    return {std::move(state), std::move(actions)};
}

}  // namespace hornbeamhook::coordination
