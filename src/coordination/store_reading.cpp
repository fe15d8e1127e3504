#include "coordination/store_reading.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/home_assignment.h"

namespace hornbeamhook::coordination {

namespace {

using state::member;
using state::time_point;
using std::chrono::milliseconds;

constexpr const char* reader_key = "store_reader";
constexpr milliseconds base_usage_interval{10'000};
/// Up to this fleet size the base interval allows at most 100 transactions per second in total.
constexpr std::size_t base_usage_members = 1000;
constexpr std::size_t ms_per_second = 1000;

/** Store readers always read regularly, other proxies only while no peer contacts them. */
time_point get_regular_start(const store_reading_state& state) {
    return state.is_reader ? time_point{} : state.last_peer_message_at + peer_silence_limit;
}

time_point get_head_due(const store_reading_state& state) {
    if (state.is_head_requested) {
        return time_point{};
    }
    return state.is_head_known ? std::max(state.next_head_read, get_regular_start(state))
                               : state.next_head_read;
}

time_point get_list_due(const store_reading_state& state) {
    if (state.is_list_requested) {
        return time_point{};
    }
    return state.is_list_complete ? std::max(state.next_list_read, get_regular_start(state))
                                  : state.next_list_read;
}

void apply(store_reading_state& state, const reader_assigned& event, time_point /*now*/,
           std::vector<store_reading_action>& /*actions*/) {
    state.is_reader = event.is_reader;
}

void apply(store_reading_state& state, const peer_message_received& /*event*/, time_point now,
           std::vector<store_reading_action>& /*actions*/) {
    state.last_peer_message_at = now;
}

void apply(store_reading_state& state, const head_requested& /*event*/, time_point /*now*/,
           std::vector<store_reading_action>& /*actions*/) {
    state.is_head_requested = true;
}

void apply(store_reading_state& state, const vm_list_requested& /*event*/, time_point /*now*/,
           std::vector<store_reading_action>& /*actions*/) {
    state.is_list_requested = true;
}

void apply(store_reading_state& state, const head_read_ended& event, time_point /*now*/,
           std::vector<store_reading_action>& /*actions*/) {
    state.is_head_known = state.is_head_known || event.is_answered;
}

void apply(store_reading_state& state, const vm_list_read_ended& event, time_point now,
           std::vector<store_reading_action>& /*actions*/) {
    if (!event.is_answered) {
        return;
    }
    state.is_list_complete = state.is_list_complete || event.is_own_listed;
    const milliseconds regular = get_vm_list_interval(event.bytes, state.poll_interval);
    // Until the list shows this VM it is read again soon, with exponential back-off.
    state.list_interval =
        state.is_list_complete
            ? regular
            : std::min(regular, std::max(state.poll_interval, state.list_interval * 2));
    state.next_list_read = now + state.list_interval;
}

void apply(store_reading_state& state, const read_check_due& /*event*/, time_point now,
           std::vector<store_reading_action>& actions) {
    if (get_head_due(state) <= now) {
        state.is_head_requested = false;
        state.next_head_read = now + state.poll_interval;
        actions.emplace_back(read_head{});
    }
    if (get_list_due(state) <= now) {
        state.is_list_requested = false;
        state.next_list_read = now + std::max(state.poll_interval, state.list_interval);
        actions.emplace_back(read_vm_list{});
    }
}

/** Time of the first observation of `vm`; copies the entry to `after`. */
time_point keep_first_seen(const std::map<std::string, time_point>& before,
                           std::map<std::string, time_point>& after, const std::string& vm,
                           time_point now) {
    const auto it = before.find(vm);
    return after.emplace(vm, it == before.end() ? now : it->second).first->second;
}

}  // namespace

bool is_store_reader(const member& self, const std::vector<member>& live) {
    const auto get_key = [](const member& value) {
        return std::make_tuple(get_rendezvous_weight(reader_key, value.vm), value.vm);
    };
    const bool is_live =
        std::ranges::any_of(live, [&](const member& value) { return value.vm == self.vm; });
    const auto better = std::ranges::count_if(live, [&](const member& value) {
        return value.vm != self.vm && value.data_center == self.data_center &&
               get_key(value) > get_key(self);
    });
    return is_live && static_cast<std::size_t>(better) < readers_per_data_center;
}

milliseconds get_vm_list_interval(std::size_t bytes, milliseconds minimum) {
    return std::max(minimum, milliseconds(bytes * ms_per_second / vm_list_bytes_per_second));
}

milliseconds get_usage_interval(std::size_t live_members) {
    const std::size_t members = std::max(live_members, base_usage_members);
    return milliseconds(static_cast<std::size_t>(base_usage_interval.count()) * members /
                        base_usage_members);
}

store_reading_step step_store_reading(store_reading_state state, const store_reading_event& event,
                                      time_point now) {
    std::vector<store_reading_action> actions;
    std::visit([&](const auto& value) { apply(state, value, now, actions); }, event);
    return {state, std::move(actions)};
}

time_point get_next_read_time(const store_reading_state& state) {
    return std::min(get_head_due(state), get_list_due(state));
}

vm_notice_step step_vm_notices(vm_notice_state state, const member& self,
                               const std::vector<member>& listed, const std::vector<member>& live,
                               time_point now) {
    std::map<std::string, const member*> entries;
    for (const member& entry : listed) {
        entries[entry.vm] = &entry;
    }
    vm_notice_step step;
    for (const member& peer : live) {
        const auto it = entries.find(peer.vm);
        const bool is_missing = it == entries.end();
        const bool is_leaving = !is_missing && it->second->state == state::member_state::leaving;
        if (peer.vm == self.vm || (!is_missing && !is_leaving)) {
            continue;
        }
        const bool is_near = peer.data_center == self.data_center;
        const time_point since =
            is_missing
                ? keep_first_seen(state.missing_since, step.state.missing_since, peer.vm, now)
                : keep_first_seen(state.leaving_since, step.state.leaving_since, peer.vm, now);
        const milliseconds delay = is_missing ? missing_notice_delay
                                   : is_near  ? milliseconds(0)
                                              : remote_notice_delay;
        if ((is_near || is_leaving) && now - since >= delay && step.notices.size() < max_notices) {
            step.notices.push_back({peer, is_missing});
        }
    }
    return step;
}

}  // namespace hornbeamhook::coordination
