#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::standin::target {

inline constexpr transport::event_type event_started{4000, "target_standin_started"};
inline constexpr transport::event_type event_fenced{4001, "target_fenced"};
inline constexpr transport::event_type event_promoted{4002, "target_promoted"};
inline constexpr transport::event_type event_following{4003, "target_following"};
inline constexpr transport::event_type event_tail_discarded{4004, "target_tail_discarded",
                                                            transport::event_severity::warning};
inline constexpr transport::event_type event_apply_failed{4005, "target_apply_failed",
                                                          transport::event_severity::error};
inline constexpr transport::event_type event_faults_changed{4006, "target_faults_changed"};
inline constexpr transport::event_type event_recovered{4007, "target_log_recovered"};

}  // namespace hornbeamhook::standin::target
