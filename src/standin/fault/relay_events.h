#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::standin::fault {

inline constexpr transport::event_type relay_started{5500, "relay_started"};
inline constexpr transport::event_type relay_stopped{5501, "relay_stopped"};
inline constexpr transport::event_type link_command_applied{5502, "link_command_applied"};
inline constexpr transport::event_type upstream_refuses{5503, "upstream_refuses"};
inline constexpr transport::event_type upstream_accepts{5504, "upstream_accepts"};

}  // namespace hornbeamhook::standin::fault
