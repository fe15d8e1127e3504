#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::load {

inline constexpr transport::event_type run_started{6000, "load_started"};
inline constexpr transport::event_type event_reported{6001, "load_event_reported"};
inline constexpr transport::event_type kill_primary_due{6002, "load_kill_primary_due"};
inline constexpr transport::event_type violations_found{6003, "load_violations_found",
                                                        transport::event_severity::error};
inline constexpr transport::event_type run_failed{6004, "load_run_failed",
                                                  transport::event_severity::error};

}  // namespace hornbeamhook::load
