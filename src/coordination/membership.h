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

/** A probe from one proxy to another, or the answer. */
struct membership_message {
    state::member sender;
    std::vector<state::member> updates;  ///< At most max_updates, newest first.
    std::uint64_t live_count = 0;        ///< Live members known to the sender, including itself.
    std::uint64_t digest = 0;            ///< Over vm and incarnation of the live members.

    bool operator==(const membership_message&) const = default;
};

/** Time for the next probe. */
struct exchange_due {};

/** The time `next_expiry` has passed. */
struct expiry_due {};

/** A peer probed this proxy, or answered its probe. */
struct message_received {
    membership_message message;
    bool is_answer = false;
};

/** A probe failed. */
struct probe_failed {
    std::string vm;
    std::uint64_t incarnation = 0;  ///< Of the probed entry.
    bool is_refused = false;        ///< The connection was refused.
    int attempt = 1;                ///< As in send_probe.
};

/** A helper of ask_probe answered, or could not be reached itself. */
struct indirect_probe_ended {
    std::string vm;
    std::uint64_t incarnation = 0;
    bool is_reached = false;
};

/** A peer's full member list arrived; empty if it could not be fetched. */
struct member_list_received {
    std::optional<std::vector<state::member>> members;
};

/** The platform's VM list, which may be stale. Incarnations and heartbeats are ignored. */
struct vm_list_received {
    std::vector<state::member> vms;
};

/** This proxy starts to leave. */
struct leave_started {};

/** This proxy adopted a configuration version. */
struct version_adopted {
    std::uint64_t version = 0;
};

using membership_event =
    std::variant<exchange_due, expiry_due, message_received, probe_failed, indirect_probe_ended,
                 member_list_received, vm_list_received, leave_started, version_adopted>;

/** Send a message to a peer; leads to message_received or probe_failed. */
struct send_probe {
    state::member peer;
    membership_message message;
    int attempt = 1;  ///< Position in a series of follow-up probes.
};

/** Answer the probe received in this step. */
struct send_answer {
    membership_message message;
};

/** Ask `helper` to probe `member`; leads to one indirect_probe_ended. */
struct ask_probe {
    state::member helper;
    state::member member;
};

/** Fetch the full member list of a peer; leads to one member_list_received. */
struct fetch_members {
    state::member peer;
};

/** A live member was added, removed or changed. */
struct live_members_changed {};

/** A peer has a newer configuration. */
struct newer_version_seen {
    state::member peer;
};

using membership_action = std::variant<send_probe, send_answer, ask_probe, fetch_members,
                                       live_members_changed, newer_version_seen>;

/** State of one other proxy. */
struct member_entry {
    state::member value;
    bool is_seen = false;            ///< A proxy has reported it, not only the VM list.
    state::time_point changed_at{};  ///< Last change of the entry; the newest are spread first.
    bool is_listed = false;          ///< Whether the last VM list names it.
    int transmissions_left = 0;      ///< Messages that still have to carry this entry.
    state::time_point suspicion_ends_at{};  ///< A suspect is declared dead then.
    int indirect_probes = 0;                ///< Outstanding answers to ask_probe.
};

/** The fleet as one proxy sees it. */
struct membership_state {
    state::member self;
    std::chrono::milliseconds member_timeout{3000};
    std::map<std::string, member_entry> others;
    std::vector<state::member> live;       ///< Ordered by vm; includes self, not leaving members.
    std::uint64_t digest = 0;              ///< Of `live`.
    std::uint64_t random = 1;              ///< Generator state for picking peers.
    std::vector<std::string> probe_order;  ///< Rest of the current round, in reverse order.
    std::uint64_t probes = 0;              ///< Probes sent in rounds.
    /// When the earliest suspicion ends; apply expiry_due then.
    std::optional<state::time_point> next_expiry;
    std::optional<state::time_point> listed_at;          ///< Time of the last VM list.
    std::optional<state::time_point> differs_since;      ///< No peer has had an equal digest since.
    std::optional<state::time_point> list_requested_at;  ///< Last request for a full member list.
    bool has_member_list = false;                        ///< A full member list was received.
};

/** Result of an event. */
struct membership_step {
    membership_state state;
    std::vector<membership_action> actions;
};

/** Maximum updates per message, so that messages do not grow with the fleet. */
inline constexpr std::size_t max_updates = 16;
/** Maximum consecutive probes when each one fails. */
inline constexpr int max_probes_in_row = 3;

/** Applies one event. Pure; randomness comes from `state.random`. */
membership_step step_membership(membership_state state, const membership_event& event,
                                state::time_point now);

/** Makes the message for `peer`; decrements transmissions_left of the included updates. */
membership_message make_message(membership_state& state, const state::member& peer);

/** Number of messages in which one proxy spreads an update to `members` live members. */
int get_transmission_limit(std::size_t members);

/** The full list for a peer: self and every seen member that is not dead. */
std::vector<state::member> list_members(const membership_state& state);

/** Other VMs in the VM list or reported since it; includes dead members but not leaving ones. */
std::size_t count_listed_others(const membership_state& state);

}  // namespace hornbeamhook::coordination
