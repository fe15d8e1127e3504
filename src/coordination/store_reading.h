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

/** Store readers per data centre, so that one may fail undetected for a while. */
inline constexpr std::size_t readers_per_data_center = 2;
/** A proxy that has received no peer message for this long reads the store itself. */
inline constexpr std::chrono::milliseconds peer_silence_limit{2000};
/** Upper limit for the rate of bytes read from the VM list. */
inline constexpr std::size_t vm_list_bytes_per_second = 1000;

/** Whether `self`, if live, is a store reader among the live members. Pure. */
bool is_store_reader(const state::member& self, const std::vector<state::member>& live);

/** Interval between reads of a VM list of this size, at least `minimum`. Pure. */
std::chrono::milliseconds get_vm_list_interval(std::size_t bytes,
                                               std::chrono::milliseconds minimum);

/** Interval between writes of usage rows; limits the transactions of the whole fleet. Pure. */
std::chrono::milliseconds get_usage_interval(std::size_t live_members);

/** This proxy starts or stops being a store reader. */
struct reader_assigned {
    bool is_reader = true;
};

/** A request or an answer from a peer arrived. */
struct peer_message_received {};

/** The head of the configuration log is to be read immediately. */
struct head_requested {};

/** The VM list is to be read immediately. */
struct vm_list_requested {};

/** A read of the head completed or failed. */
struct head_read_ended {
    bool is_answered = false;
};

/** A read of the VM list completed or failed. */
struct vm_list_read_ended {
    bool is_answered = false;
    std::size_t bytes = 0;
    bool is_own_listed = false;  ///< It shows this VM as live, as this process registered it.
};

/** Time to check for due reads. */
struct read_check_due {};

using store_reading_event =
    std::variant<reader_assigned, peer_message_received, head_requested, vm_list_requested,
                 head_read_ended, vm_list_read_ended, read_check_due>;

/** Read the head of the configuration log and its new entries. */
struct read_head {};

/** Read the VM list. */
struct read_vm_list {};

using store_reading_action = std::variant<read_head, read_vm_list>;

/** Schedule of one proxy's reads from the platform. */
struct store_reading_state {
    std::chrono::milliseconds poll_interval{1000};
    bool is_reader = true;          ///< True until the members are known.
    bool is_head_known = false;     ///< The head has been read since the start.
    bool is_list_complete = false;  ///< The VM list has shown this VM since the start.
    bool is_head_requested = false;
    bool is_list_requested = false;
    state::time_point last_peer_message_at{};  ///< Initialize to the start time.
    state::time_point next_head_read{};
    state::time_point next_list_read{};
    std::chrono::milliseconds list_interval{0};
};

/** Result of an event. */
struct store_reading_step {
    store_reading_state state;
    std::vector<store_reading_action> actions;
};

/** Applies one event; only read_check_due returns actions. Pure. */
store_reading_step step_store_reading(store_reading_state state, const store_reading_event& event,
                                      state::time_point now);

/** When to apply read_check_due if no other event occurs first. Pure. */
state::time_point get_next_read_time(const store_reading_state& state);

/** Tells a live member that the VM list contradicts to read the list itself. */
struct vm_notice {
    state::member peer;
    bool is_missing = false;  ///< The list lacks it; otherwise the list shows it as leaving.
};

/** Since when the VM list has contradicted live members, by VM. */
struct vm_notice_state {
    std::map<std::string, state::time_point> leaving_since;
    std::map<std::string, state::time_point> missing_since;
};

/** Result of a read of the VM list. */
struct vm_notice_step {
    vm_notice_state state;
    std::vector<vm_notice> notices;
};

/** Delay for missing members, because the list shows newly registered VMs late. */
inline constexpr std::chrono::milliseconds missing_notice_delay{5000};
/** Readers of other data centres send notices if a drain is ignored for this long. */
inline constexpr std::chrono::milliseconds remote_notice_delay{5000};
/** Limits the notices after one read, so that an empty list does not cause thousands of calls. */
inline constexpr std::size_t max_notices = 16;

/**
 * The members that a store reader notifies after a read of the VM list. A notice is repeated after
 * each read until the member leaves or the list changes. Pure.
 */
vm_notice_step step_vm_notices(vm_notice_state state, const state::member& self,
                               const std::vector<state::member>& listed,
                               const std::vector<state::member>& live, state::time_point now);

}  // namespace hornbeamhook::coordination
