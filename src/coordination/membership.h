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

/** A probe of one proxy by another, or its answer. */
struct membership_message {
    state::member sender;
    std::vector<state::member> updates;  ///< At most max_updates, newest first.
    std::uint64_t live_count = 0;        ///< Live members the sender knows, itself included.
    std::uint64_t digest = 0;            ///< Over vm and incarnation of these.

    bool operator==(const membership_message&) const = default;
};

/** Time for the next probe. */
struct exchange_due {};

/** `next_expiry` has passed. */
struct expiry_due {};

/** A peer probed this proxy, or answered its probe. */
struct message_received {
    membership_message message;
    bool is_answer = false;
};

/** A probe failed. */
struct probe_failed {
    std::string vm;
    std::uint64_t incarnation = 0;  ///< Of the entry the call was made for.
    bool is_refused = false;        ///< Nobody listens at its address.
    int attempt = 1;                ///< As in send_probe.
};

/** One of the members asked by ask_probe answered, or cannot be reached itself. */
struct indirect_probe_ended {
    std::string vm;
    std::uint64_t incarnation = 0;
    bool is_reached = false;
};

/** The whole list of a peer arrived, or could not be fetched. */
struct member_list_received {
    std::optional<std::vector<state::member>> members;
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

using membership_event =
    std::variant<exchange_due, expiry_due, message_received, probe_failed, indirect_probe_ended,
                 member_list_received, vm_list_received, leave_started, version_adopted>;

/** Send a message to a peer; its answer is a message_received, a failure a probe_failed. */
struct send_probe {
    state::member peer;
    membership_message message;
    int attempt = 1;  ///< Position in a row of follow-up probes.
};

/** Answer the probe of this step. */
struct send_answer {
    membership_message message;
};

/** Ask `helper` to probe `member`; ends with one indirect_probe_ended. */
struct ask_probe {
    state::member helper;
    state::member member;
};

/** Fetch the whole member list of a peer; ends with one member_list_received. */
struct fetch_members {
    state::member peer;
};

/** The set of live members, or one of their addresses, changed. */
struct live_members_changed {};

/** A peer has a newer configuration. */
struct newer_version_seen {
    state::member peer;
};

using membership_action = std::variant<send_probe, send_answer, ask_probe, fetch_members,
                                       live_members_changed, newer_version_seen>;

/** What is known of one other proxy. */
struct member_entry {
    state::member value;
    bool is_seen = false;            ///< Whether a proxy ever told of it, and not only the VM list.
    state::time_point changed_at{};  ///< When the entry last changed; newest are spread first.
    bool is_listed = false;          ///< Whether the last VM list names it.
    int transmissions_left = 0;      ///< Messages that are still to carry this entry.
    state::time_point suspicion_ends_at{};  ///< A suspect is dead from then on.
    int indirect_probes = 0;                ///< Answers of ask_probe that are still to come.
};

/** The fleet as one proxy sees it. */
struct membership_state {
    state::member self;
    std::chrono::milliseconds member_timeout{3000};
    std::map<std::string, member_entry> others;
    std::vector<state::member> live;       ///< Without leaving ones; ordered by vm; includes self.
    std::uint64_t digest = 0;              ///< Of `live`.
    std::uint64_t random = 1;              ///< State of the generator that picks peers.
    std::vector<std::string> probe_order;  ///< Rest of the present permutation, last one first.
    std::uint64_t probes = 0;              ///< Probes sent by the rounds.
    /// When the first suspicion ends; step expiry_due then.
    std::optional<state::time_point> next_expiry;
    std::optional<state::time_point> listed_at;          ///< When the VM list was last received.
    std::optional<state::time_point> differs_since;      ///< No peer had an equal digest since.
    std::optional<state::time_point> list_requested_at;  ///< When a whole list was last asked for.
    bool has_member_list = false;                        ///< A whole list was received.
};

/** New state and what to do. */
struct membership_step {
    membership_state state;
    std::vector<membership_action> actions;
};

/** Updates of one message, so that its size does not grow with the fleet. */
inline constexpr std::size_t max_updates = 16;
/** Probes in a row when one after another fails. */
inline constexpr int max_probes_in_row = 3;

/** Applies one event. Pure: randomness comes from `state.random`. */
membership_step step_membership(membership_state state, const membership_event& event,
                                state::time_point now);

/** The message for `peer`; lowers the transmissions left of the updates it carries. */
membership_message make_message(membership_state& state, const state::member& peer);

/** Number of messages in which one proxy spreads an update among `members` live ones. */
int get_transmission_limit(std::size_t members);

/** All entries that a peer needs to catch up: self and every member that is not dead. */
std::vector<state::member> list_members(const membership_state& state);

/** Other VMs that the list names, or that were heard of since; dead ones too, leaving ones not. */
std::size_t count_listed_others(const membership_state& state);

}  // namespace hornbeamhook::coordination
