#include "coordination/membership.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::member;
using state::member_state;
using state::time_point;
using std::chrono::milliseconds;

/// Up to this size every heartbeat passes through a digest within the member timeout; beyond it
/// the timeout grows and failed calls are what finds dead members.
constexpr std::size_t heartbeat_covered_members = 64;
/// Dead members that the VM list no longer names are forgotten after this time.
constexpr milliseconds forget_after{60'000};
/// Half of a digest tells changes, the rest random entries, so that neither starves the other.
constexpr std::size_t max_change_entries = 8;
/// Random entries of a digest in a fleet too large to tell all members each time.
constexpr std::size_t random_entries = 4;
/// Changes older than this have reached everybody and need no preference.
constexpr milliseconds change_spread_time{10'000};
/// Peers that are told of a new configuration version; those left out learn it by exchange.
constexpr std::size_t version_fanout = 3;
/// A refused call is believed over heartbeats relayed by others until this many later ones.
constexpr std::uint64_t refused_heartbeats = 2;

std::uint64_t next_random(std::uint64_t& random) {
    // SplitMix64: small state that travels with the decision state, so runs can be repeated.
    random += 0x9E3779B97F4A7C15ULL;
    std::uint64_t value = random;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

int get_rank(member_state value) {
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

/** Whether `news` replaces `known`: later life, then later heartbeat, then the graver state. */
bool is_newer(const member& news, const member& known) {
    return std::make_tuple(news.incarnation, news.heartbeat, get_rank(news.state)) >
           std::make_tuple(known.incarnation, known.heartbeat, get_rank(known.state));
}

milliseconds get_timeout(const membership_state& state) {
    const std::size_t factor =
        std::max<std::size_t>(1, state.others.size() / heartbeat_covered_members);
    return state.member_timeout * static_cast<int>(factor);
}

bool is_live(const membership_state& state, const member_entry& entry, time_point now) {
    // A suspect stays live until its time is up: one lost exchange must not move homes.
    const bool is_up =
        entry.value.state == member_state::alive || entry.value.state == member_state::suspect;
    return entry.is_seen && is_up && !entry.refused_at_heartbeat &&
           now - entry.seen_at <= get_timeout(state);
}

void merge_self(membership_state& state, const member& news) {
    // Somebody suspects this proxy: a higher heartbeat refutes it.
    if (news.incarnation == state.self.incarnation && news.heartbeat >= state.self.heartbeat &&
        news.state != state.self.state) {
        state.self.heartbeat = news.heartbeat + 1;
    }
}

void merge(membership_state& state, const member& news, time_point now) {
    if (news.vm == state.self.vm) {
        merge_self(state, news);
        return;
    }
    member_entry& entry = state.others[news.vm];
    if (entry.is_seen && !is_newer(news, entry.value)) {
        return;
    }
    const bool is_new_life = !entry.is_seen || news.incarnation != entry.value.incarnation;
    const bool is_heartbeat = is_new_life || news.heartbeat > entry.value.heartbeat;
    const member_state before = entry.value.state;
    // Leaving is final for a life, whatever older entries still spread.
    const bool stays_leaving = !is_new_life && before == member_state::leaving;
    const std::uint64_t version = entry.value.configuration_version;
    entry.value = news;
    if (stays_leaving) {
        entry.value.state = member_state::leaving;
    }
    if (!is_new_life) {
        entry.value.configuration_version = std::max(version, news.configuration_version);
    }
    if (is_new_life || entry.value.state != before) {
        entry.changed_at = now;
    }
    if (is_new_life) {
        entry.refused_at_heartbeat.reset();
    }
    if (entry.refused_at_heartbeat &&
        entry.value.heartbeat > *entry.refused_at_heartbeat + refused_heartbeats) {
        entry.refused_at_heartbeat.reset();
    }
    if (is_heartbeat && news.state != member_state::dead) {
        entry.seen_at = now;
    }
    entry.is_seen = true;
}

void set_member_state(member_entry& entry, member_state value, time_point now) {
    if (entry.value.state != value) {
        entry.value.state = value;
        entry.changed_at = now;
    }
}

/** Members that were not seen for the timeout are dead for this proxy, and old ones forgotten. */
void expire(membership_state& state, time_point now) {
    const milliseconds timeout = get_timeout(state);
    for (auto it = state.others.begin(); it != state.others.end();) {
        member_entry& entry = it->second;
        const bool is_unseen = entry.is_seen && now - entry.seen_at > timeout;
        // Nobody refuted the suspicion by a later heartbeat.
        const bool is_confirmed_suspect = entry.value.state == member_state::suspect &&
                                          now - entry.changed_at > state.member_timeout;
        if ((is_unseen || is_confirmed_suspect) && entry.value.state != member_state::leaving) {
            set_member_state(entry, member_state::dead, now);
        }
        const bool is_gone = !entry.is_listed && now - entry.seen_at > timeout + forget_after;
        it = is_gone ? state.others.erase(it) : std::next(it);
    }
}

std::optional<member> pick_peer(membership_state& state, const std::vector<const member*>& pool) {
    if (pool.empty()) {
        return std::nullopt;
    }
    return *pool[next_random(state.random) % pool.size()];
}

/**
 * One random peer of the own place and one elsewhere. Members believed dead are tried too, at one
 * in four picks, because a healed partition is noticed by nobody otherwise.
 */
std::vector<member> pick_peers(membership_state& state, time_point now) {
    std::vector<const member*> near;
    std::vector<const member*> far;
    std::vector<const member*> lost;
    for (const auto& [vm, entry] : state.others) {
        const bool is_reachable = !entry.is_seen || is_live(state, entry, now) ||
                                  (entry.value.state == member_state::leaving &&
                                   now - entry.seen_at <= state.member_timeout);
        if (!is_reachable) {
            lost.push_back(&entry.value);
        } else if (entry.value.place == state.self.place) {
            near.push_back(&entry.value);
        } else {
            far.push_back(&entry.value);
        }
    }
    std::vector<member> peers;
    for (const std::vector<const member*>* pool : {&near, &far}) {
        if (std::optional<member> peer = pick_peer(state, *pool)) {
            peers.push_back(*std::move(peer));
        }
    }
    const bool tries_lost = (near.empty() && far.empty()) || next_random(state.random) % 4 == 0;
    if (tries_lost) {
        if (std::optional<member> peer = pick_peer(state, lost)) {
            peers.push_back(*std::move(peer));
        }
    }
    return peers;
}

void apply(membership_state& state, const exchange_due& /*event*/, time_point now,
           std::vector<membership_action>& actions) {
    ++state.self.heartbeat;
    expire(state, now);
    for (member& peer : pick_peers(state, now)) {
        actions.emplace_back(send_digest{std::move(peer), make_digest(state, state.random)});
    }
}

void apply(membership_state& state, const digest_received& event, time_point now,
           std::vector<membership_action>& actions) {
    for (const member& entry : event.entries) {
        merge(state, entry, now);
    }
    merge(state, event.sender, now);
    const auto it = state.others.find(event.sender.vm);
    if (it != state.others.end() && it->second.value.incarnation == event.sender.incarnation) {
        // Direct contact counts even when a relayed heartbeat was quicker.
        it->second.seen_at = now;
        it->second.refused_at_heartbeat.reset();
        const bool was_doubted = it->second.value.state == member_state::suspect ||
                                 it->second.value.state == member_state::dead;
        if (was_doubted && event.sender.state == member_state::alive) {
            set_member_state(it->second, member_state::alive, now);
        }
    }
    if (event.sender.vm != state.self.vm &&
        event.sender.configuration_version > state.self.configuration_version) {
        actions.emplace_back(newer_version_seen{event.sender});
    }
}

void apply(membership_state& state, const call_failed& event, time_point now,
           std::vector<membership_action>& /*actions*/) {
    const auto it = state.others.find(event.vm);
    // A failed call to a predecessor says nothing about the VM's present life.
    if (it == state.others.end() || it->second.value.incarnation != event.incarnation ||
        it->second.value.state == member_state::leaving ||
        it->second.value.state == member_state::dead) {
        return;
    }
    if (event.is_refused) {
        it->second.refused_at_heartbeat = it->second.value.heartbeat;
    }
    set_member_state(it->second, member_state::suspect, now);
}

void apply(membership_state& state, const vm_list_received& event, time_point now,
           std::vector<membership_action>& /*actions*/) {
    std::set<std::string> listed;
    for (const member& vm : event.vms) {
        if (vm.vm == state.self.vm) {
            continue;
        }
        listed.insert(vm.vm);
        member_entry& entry = state.others[vm.vm];
        if (!entry.is_seen) {
            // The list lags: it only says whom to ask, and a leaving entry may be a predecessor's.
            entry.value = vm;
            entry.value.incarnation = 0;
            entry.value.heartbeat = 0;
            entry.seen_at = now;
        }
    }
    for (auto& [vm, entry] : state.others) {
        entry.is_listed = listed.contains(vm);
    }
}

void apply(membership_state& state, const leave_started& /*event*/, time_point /*now*/,
           std::vector<membership_action>& actions) {
    if (state.self.state == member_state::leaving) {
        return;
    }
    state.self.state = member_state::leaving;
    ++state.self.heartbeat;
    // Everybody is told at once; entries that do not fit in the usual rounds would cost 500 ms
    // each.
    std::size_t told = 0;
    for (const auto& [vm, entry] : state.others) {
        if (entry.value.state == member_state::alive && told++ < max_digest_entries) {
            actions.emplace_back(send_digest{entry.value, make_digest(state, state.random)});
        }
    }
}

/** A new version travels on at once, so that it is in force everywhere after a few hops. */
void apply(membership_state& state, const version_adopted& event, time_point now,
           std::vector<membership_action>& actions) {
    if (event.version <= state.self.configuration_version) {
        return;
    }
    state.self.configuration_version = event.version;
    std::vector<const member*> behind;
    for (const auto& [vm, entry] : state.others) {
        if (is_live(state, entry, now) && entry.value.configuration_version < event.version) {
            behind.push_back(&entry.value);
        }
    }
    for (std::size_t i = 0; i < version_fanout && i < behind.size(); ++i) {
        std::swap(behind[i], behind[i + next_random(state.random) % (behind.size() - i)]);
        // Only self: the members are no news, and each adoption costs this message.
        actions.emplace_back(send_digest{*behind[i], {state.self}});
    }
}

/** Live members by vm, without copying them: most steps change nothing. */
std::vector<const member*> find_live(const membership_state& state, time_point now) {
    std::vector<const member*> live;
    live.reserve(state.others.size() + 1);
    bool is_self_due = state.self.state == member_state::alive;
    for (const auto& [vm, entry] : state.others) {
        if (is_self_due && state.self.vm < vm) {
            live.push_back(&state.self);
            is_self_due = false;
        }
        if (is_live(state, entry, now)) {
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

}  // namespace

std::vector<member> make_digest(const membership_state& state, std::uint64_t& random) {
    std::vector<const member_entry*> entries;
    entries.reserve(state.others.size());
    time_point newest{};
    for (const auto& [vm, entry] : state.others) {
        if (entry.is_seen) {
            entries.push_back(&entry);
            newest = std::max({newest, entry.changed_at, entry.seen_at});
        }
    }
    const auto changed = std::partition(
        entries.begin(), entries.end(),
        [&](const member_entry* entry) { return newest - entry->changed_at < change_spread_time; });
    std::sort(entries.begin(), changed, [](const member_entry* left, const member_entry* right) {
        return left->changed_at > right->changed_at;
    });
    const std::size_t changes =
        std::min(static_cast<std::size_t>(changed - entries.begin()), max_change_entries);
    const std::size_t others =
        entries.size() <= max_digest_entries ? max_digest_entries : random_entries;
    std::vector<member> digest;
    for (std::size_t i = 0;
         i < entries.size() && i < changes + others && digest.size() < max_digest_entries - 1;
         ++i) {
        if (i >= changes) {
            std::swap(entries[i], entries[i + next_random(random) % (entries.size() - i)]);
        }
        digest.push_back(entries[i]->value);
    }
    digest.push_back(state.self);
    return digest;
}

std::size_t count_listed_others(const membership_state& state) {
    return std::ranges::count_if(state.others, [](const auto& item) {
        return item.second.is_listed && item.second.value.state != member_state::leaving;
    });
}

membership_step step_membership(membership_state state, const membership_event& event,
                                time_point now) {
    std::vector<membership_action> actions;
    std::visit([&](const auto& value) { apply(state, value, now, actions); }, event);
    const std::vector<const member*> live = find_live(state, now);
    if (!is_same_set(live, state.live)) {
        std::vector<member> next;
        next.reserve(live.size());
        for (const member* value : live) {
            next.push_back(*value);
        }
        state.live = std::move(next);
        actions.emplace_back(live_members_changed{});
    }
    return {std::move(state), std::move(actions)};
}

}  // namespace hornbeamhook::coordination
