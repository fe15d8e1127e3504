#pragma once

#include "transport/log_event.h"

namespace hornbeamhook::proxy {

// Events of the data path; docs/events.md explains them.
inline constexpr transport::event_type event_proxy_started{1000, "proxy_started"};
inline constexpr transport::event_type event_proxy_draining{1001, "proxy_draining"};
inline constexpr transport::event_type event_proxy_stopped{1002, "proxy_stopped"};
inline constexpr transport::event_type event_drain_timeout{1003, "drain_timeout",
                                                           transport::event_severity::warning};
inline constexpr transport::event_type event_access_denied{1010, "access_denied",
                                                           transport::event_severity::warning};
inline constexpr transport::event_type event_connections_limited{
    1011, "connections_limited", transport::event_severity::warning};
inline constexpr transport::event_type event_target_failure{1020, "target_failure",
                                                            transport::event_severity::warning};
inline constexpr transport::event_type event_outcome_unknown{1021, "outcome_unknown",
                                                             transport::event_severity::warning};
inline constexpr transport::event_type event_exchange_mismatch{1022, "exchange_mismatch",
                                                               transport::event_severity::error};
inline constexpr transport::event_type event_acknowledgement_handed_over{
    1023, "acknowledgement_handed_over"};
inline constexpr transport::event_type event_transaction_expired{
    1030, "transaction_expired", transport::event_severity::warning};
inline constexpr transport::event_type event_transaction_ended{1031, "transaction_ended",
                                                               transport::event_severity::warning};

}  // namespace hornbeamhook::proxy
