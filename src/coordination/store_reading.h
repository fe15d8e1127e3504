#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "state/group_view.h"
#include "state/member.h"

namespace hornbeamhook::coordination {

/** Store readers per data centre: one may die unnoticed for a while. */
inline constexpr std::size_t readers_per_data_center = 2;
/** A proxy that heard from no peer for this long reads the store itself. */
inline constexpr std::chrono::milliseconds peer_silence_limit{2000};
/** The answers to reads of the VM list stay below this rate. */
inline constexpr std::size_t vm_list_bytes_per_second = 1000;

/** Whether `self` is a store reader among the live members, which include it. Pure. */
bool is_store_reader(const state::member& self, const std::vector<state::member>& live);

/** Time between two reads of a VM list of this size, at least `minimum`. Pure. */
std::chrono::milliseconds get_vm_list_interval(std::size_t bytes,
                                               std::chrono::milliseconds minimum);

/** Time between two writes of usage rows; limits the transactions of the whole fleet. Pure. */
std::chrono::milliseconds get_usage_interval(std::size_t live_members);

/** This proxy is, or is not, a store reader from now on. */
struct reader_assigned {
    bool is_reader = true;
};

/** A message of a peer arrived, as a request or as an answer. */
struct peer_message_received {};

/** The head of the configuration log is wanted at once. */
struct head_requested {};

/** The VM list is wanted at once. */
struct vm_list_requested {};

/** A read of the head ended. */
struct head_read_ended {
    bool is_answered = false;
};

/** A read of the VM list ended. */
struct vm_list_read_ended {
    bool is_answered = false;
    std::size_t bytes = 0;
    bool is_own_listed = false;  ///< It shows this VM as live, as registered by this process.
};

/** Time passed. */
struct read_check_due {};

using store_reading_event =
    std::variant<reader_assigned, peer_message_received, head_requested, vm_list_requested,
                 head_read_ended, vm_list_read_ended, read_check_due>;

/** Read the head of the configuration log, and what is new. */
struct read_head {};

/** Read the VM list. */
struct read_vm_list {};

using store_reading_action = std::variant<read_head, read_vm_list>;

/** What one proxy reads from the platform, and when. */
struct store_reading_state {
    std::chrono::milliseconds poll_interval{1000};
    bool is_reader = true;          ///< Until the members are known.
    bool is_head_known = false;     ///< The head was read since the start.
    bool is_list_complete = false;  ///< The VM list showed this VM since the start.
    bool is_head_requested = false;
    bool is_list_requested = false;
    state::time_point
        last_peer_message_at{};  ///< Set this to the start time before the first step.
    state::time_point next_head_read{};
    state::time_point next_list_read{};
    std::chrono::milliseconds list_interval{0};
};

/** New state and what to do. */
struct store_reading_step {
    store_reading_state state;
    std::vector<store_reading_action> actions;
};

/** Applies one event; only read_check_due leads to actions. Pure. */
store_reading_step step_store_reading(store_reading_state state, const store_reading_event& event,
                                      state::time_point now);

/** When read_check_due is due, provided nothing else happens. Pure. */
state::time_point get_next_read_time(const store_reading_state& state);

/** A live member the VM list speaks against: it is told to read the list itself. */
struct vm_notice {
    state::member peer;
    bool is_missing = false;  ///< The list does not name it; else it shows it as leaving.
};

/** What the VM list showed of live members so far. */
struct vm_notice_state {
    std::map<std::string, state::time_point> leaving_since;
    std::map<std::string, state::time_point> missing_since;
};

/** New state and whom to notify. */
struct vm_notice_step {
    vm_notice_state state;
    std::vector<vm_notice> notices;
};

/** The list lags: it shows a VM that just registered only after a while. */
inline constexpr std::chrono::milliseconds missing_notice_delay{5000};
/** Readers of other data centres help when a drain was not followed for this long. */
inline constexpr std::chrono::milliseconds remote_notice_delay{5000};
/** Notices after one read, so that an emptied list does not cause thousands of calls. */
inline constexpr std::size_t max_notices = 16;

/**
 * The members a store reader notifies after it read the VM list. A notice is repeated after each
 * read until the member leaves or the list changes. Pure.
 */
vm_notice_step step_vm_notices(vm_notice_state state, const state::member& self,
                               const std::vector<state::member>& listed,
                               const std::vector<state::member>& live, state::time_point now);

}  // namespace hornbeamhook::coordination
