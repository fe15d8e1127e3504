#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/group_view.h"
#include "state/member.h"

namespace hornbeamhook::coordination {

/** Time for the next exchange. */
struct exchange_due {};

/** A peer's digest arrived, in a request or in an answer. */
struct digest_received {
    state::member sender;
    std::vector<state::member> entries;
};

/** A call to a peer failed. */
struct call_failed {
    std::string vm;
    std::uint64_t incarnation = 0;  ///< Of the entry the call was made for.
    bool is_refused = false;        ///< Nobody listens at its address.
};

/** The platform's VM list, which lags. Incarnation and heartbeat of the entries are ignored. */
struct vm_list_received {
    std::vector<state::member> vms;
};

/** This proxy begins to leave. */
struct leave_started {};

/** This proxy adopted a configuration version. */
struct version_adopted {
    std::uint64_t version = 0;
};

using membership_event = std::variant<exchange_due, digest_received, call_failed, vm_list_received,
                                      leave_started, version_adopted>;

/** Send a digest to a peer and apply its answer. */
struct send_digest {
    state::member peer;
    std::vector<state::member> entries;
};

/** The set of live members, or one of their addresses, changed. */
struct live_members_changed {};

/** A peer has a newer configuration. */
struct newer_version_seen {
    state::member peer;
};

using membership_action = std::variant<send_digest, live_members_changed, newer_version_seen>;

/** What is known of one other proxy. */
struct member_entry {
    state::member value;
    bool is_seen = false;  ///< Whether it was ever heard of by an exchange, not only by the list.
    state::time_point seen_at{};     ///< When its heartbeat last rose.
    state::time_point changed_at{};  ///< When its state last changed; newest are spread first.
    bool is_listed = false;          ///< Whether the last VM list names it.
    /// After a refused call: alive again only once its heartbeat passed this.
    std::optional<std::uint64_t> refused_at_heartbeat;
};

/** The fleet as one proxy sees it. */
struct membership_state {
    state::member self;
    std::chrono::milliseconds member_timeout{3000};
    std::map<std::string, member_entry> others;
    std::vector<state::member> live;  ///< Without leaving ones; ordered by vm; includes self.
    std::uint64_t random = 1;         ///< State of the generator that picks peers.
};

/** New state and what to do. */
struct membership_step {
    membership_state state;
    std::vector<membership_action> actions;
};

/** Entries of a digest, so that its size does not grow with the fleet. */
inline constexpr std::size_t max_digest_entries = 16;

/** Applies one event. Pure: randomness comes from `state.random`. */
membership_step step_membership(membership_state state, const membership_event& event,
                                state::time_point now);

/** The digest to answer an exchange with: self, newest changes, then random ones. Pure; `random`
 * is advanced. */
std::vector<state::member> make_digest(const membership_state& state, std::uint64_t& random);

/** Whether any other VM is believed to exist, live or not. */
std::size_t count_listed_others(const membership_state& state);

}  // namespace hornbeamhook::coordination
