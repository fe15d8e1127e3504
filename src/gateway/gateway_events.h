#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::gateway {

using transport::event_severity;
using transport::event_type;

inline constexpr event_type event_started{7000, "gateway_started"};
inline constexpr event_type event_stopping{7001, "gateway_stopping"};
inline constexpr event_type event_stopped{7002, "gateway_stopped"};
inline constexpr event_type event_settings_rejected{7003, "settings_rejected",
                                                    event_severity::error};
inline constexpr event_type event_settings_reloaded{7004, "settings_reloaded"};
inline constexpr event_type event_configuration_adopted{7010, "configuration_adopted"};
inline constexpr event_type event_row_rejected{7011, "row_rejected", event_severity::warning};
inline constexpr event_type event_target_listed{7012, "target_listed"};
inline constexpr event_type event_target_removed{7013, "target_removed"};
inline constexpr event_type event_store_lost{7014, "store_lost", event_severity::warning};
inline constexpr event_type event_store_regained{7015, "store_regained"};
inline constexpr event_type event_member_joined{7016, "member_joined"};
inline constexpr event_type event_member_left{7017, "member_left"};
inline constexpr event_type event_isolated{7018, "vm_isolated", event_severity::warning};
inline constexpr event_type event_isolation_ended{7019, "vm_isolation_ended"};
inline constexpr event_type event_record_changed{7020, "leadership_record_changed"};
inline constexpr event_type event_right_lost{7021, "primary_right_lost", event_severity::warning};
inline constexpr event_type event_right_gained{7022, "primary_right_gained"};
inline constexpr event_type event_right_revoked{7023, "primary_right_revoked"};
inline constexpr event_type event_promotion_step{7024, "promotion_step"};
inline constexpr event_type event_promotion_ended{7025, "promotion_ended"};
inline constexpr event_type event_promotion_abandoned{7026, "promotion_abandoned",
                                                      event_severity::warning};
inline constexpr event_type event_primary_suspected{7027, "primary_suspected",
                                                    event_severity::warning};
inline constexpr event_type event_statement_refused{7030, "statement_refused"};
inline constexpr event_type event_statement_retried{7031, "statement_retried"};
inline constexpr event_type event_statement_hedged{7032, "statement_hedged"};
inline constexpr event_type event_answer_lost{7033, "answer_lost", event_severity::warning};
inline constexpr event_type event_link_ended{7034, "target_link_ended"};
inline constexpr event_type event_bad_input{7035, "bad_input", event_severity::warning};
inline constexpr event_type event_statement_failed{7036, "statement_failed"};
inline constexpr event_type event_store_source{7037, "store_source_changed"};
inline constexpr event_type event_store_restored{7038, "store_restored", event_severity::warning};
inline constexpr event_type event_watch_failed{7039, "table_watch_failed", event_severity::warning};
inline constexpr event_type event_read_failed{7040, "table_read_failed", event_severity::warning};
inline constexpr event_type event_row_ignored{7041, "row_ignored", event_severity::warning};
inline constexpr event_type event_control_failed{7042, "target_control_failed",
                                                 event_severity::warning};
inline constexpr event_type event_promotion_survey{7043, "promotion_survey"};
inline constexpr event_type event_setup_failed{7044, "target_setup_failed",
                                               event_severity::warning};
inline constexpr event_type event_statement_prepared{7045, "statement_prepared"};
inline constexpr event_type event_session_limited{7070, "session_limited", event_severity::warning};
inline constexpr event_type event_connection_refused{7071, "connection_refused",
                                                     event_severity::warning};

}  // namespace hornbeamhook::gateway
