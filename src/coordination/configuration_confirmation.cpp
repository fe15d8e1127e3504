#include "coordination/configuration_confirmation.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using state::time_point;

void update_last_contact(configuration_confirmation_state& state, time_point at) {
    if (!state.last_contact || at > *state.last_contact) {
        state.last_contact = at;
    }
}

void apply(configuration_confirmation_state& state, const version_reported& event) {
    if (event.version <= state.adopted_version) {
        update_last_contact(state, event.requested_at);
    } else {
        state.pending = event;
    }
}

void apply(configuration_confirmation_state& state, const configuration_adopted& event) {
    state.adopted_version = std::max(state.adopted_version, event.version);
    if (state.pending && state.pending->version <= state.adopted_version) {
        update_last_contact(state, state.pending->requested_at);
        state.pending.reset();
    }
}

void apply(configuration_confirmation_state& state, const other_vms_listed& event) {
    state.other_vms = event.count;
}

void apply(configuration_confirmation_state& /*state*/, const confirmation_check_due& /*event*/) {}

}  // namespace

configuration_confirmation_step step_configuration_confirmation(
    configuration_confirmation_state state, const confirmation_event& event, time_point now) {
    std::visit([&](const auto& value) { apply(state, value); }, event);
    // Without other VMs no proxy can have learned of a change that this one missed.
    const bool is_recent = state.last_contact && now - *state.last_contact < state.contact_timeout;
    const bool is_confirmed = is_recent || state.other_vms == 0;
    std::vector<confirmation_action> actions;
    if (is_confirmed != state.is_confirmed) {
        state.is_confirmed = is_confirmed;
        actions.emplace_back(confirmation_changed{is_confirmed});
    }
    return {state, std::move(actions)};
}

}  // namespace hornbeamhook::coordination
