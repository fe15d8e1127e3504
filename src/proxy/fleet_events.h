#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::proxy {

// docs/events/fleet.md describes these events.
inline constexpr transport::event_type event_pause_detected{2000, "pause_detected",
                                                            transport::event_severity::warning};
inline constexpr transport::event_type event_members_changed{2001, "members_changed"};
inline constexpr transport::event_type event_confirmation_changed{
    2002, "configuration_confirmation_changed", transport::event_severity::warning};
inline constexpr transport::event_type event_configuration_adopted{2003, "configuration_adopted"};
inline constexpr transport::event_type event_configuration_invalid{
    2004, "configuration_invalid", transport::event_severity::error};
inline constexpr transport::event_type event_group_opened{2005, "group_opened"};
inline constexpr transport::event_type event_group_closed{2006, "group_closed"};
inline constexpr transport::event_type event_primary_seen{2007, "primary_seen"};
inline constexpr transport::event_type event_store_unreachable{2008, "store_unreachable",
                                                               transport::event_severity::warning};
inline constexpr transport::event_type event_store_reachable{2009, "store_reachable"};
inline constexpr transport::event_type event_message_rejected{2010, "message_rejected",
                                                              transport::event_severity::warning};
inline constexpr transport::event_type event_failover_phase{2011, "failover_phase"};
inline constexpr transport::event_type event_planned_change_ended{2012, "planned_change_ended"};
inline constexpr transport::event_type event_promotion_finished{2013, "promotion_finished",
                                                                transport::event_severity::warning};

inline constexpr transport::event_type event_vm_drained{2014, "vm_drained"};
inline constexpr transport::event_type event_vm_notified{2020, "vm_notified"};
inline constexpr transport::event_type event_store_reader_changed{2021, "store_reader_changed"};

}  // namespace hornbeamhook::proxy
