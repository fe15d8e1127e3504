#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/**
 * The store or a peer reported its configuration version. `requested_at` is when the call was sent:
 * the answer may be as old as that. A version that is not adopted yet confirms nothing. Calls
 * received from a peer do not count: they may have waited unread while this process was paused.
 */
struct version_reported {
    state::time_point requested_at;
    std::uint64_t version = 0;
};

/** This proxy has adopted the configuration of this version. */
struct configuration_adopted {
    std::uint64_t version = 0;
};

/** The VM list or other proxies show `count` other VMs that are not leaving. */
struct other_vms_listed {
    std::size_t count = 0;
};

/** Sent periodically and after a pause, to notice that the last contact is too old. */
struct confirmation_check_due {};

using confirmation_event =
    std::variant<version_reported, configuration_adopted, other_vms_listed, confirmation_check_due>;

/** The configuration became confirmed or unconfirmed. */
struct confirmation_changed {
    bool is_confirmed = true;
};

using confirmation_action = std::variant<confirmation_changed>;

/** Whether this proxy may assume that its configuration is in force. */
struct configuration_confirmation_state {
    /// Bound of docs/design.md section 7.
    std::chrono::milliseconds contact_timeout{3000};
    std::uint64_t adopted_version = 0;
    std::optional<state::time_point> last_contact;  ///< When the version was last confirmed.
    std::optional<version_reported> pending;        ///< A version that is still to be adopted.
    std::size_t other_vms = 0;
    bool is_confirmed = true;
};

/** New state and the actions to take. */
struct configuration_confirmation_step {
    configuration_confirmation_state state;
    std::vector<confirmation_action> actions;
};

/** Applies one event. Pure. Set `last_contact` to the start time before the first step. */
configuration_confirmation_step step_configuration_confirmation(
    configuration_confirmation_state state, const confirmation_event& event, state::time_point now);

}  // namespace hornbeamhook::coordination
