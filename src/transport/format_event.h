#pragma once

#include <initializer_list>
#include <string>

#include "transport/log_event.h"

namespace hornbeamhook::transport {

/** The text "event=NNNN name key=value ..."; values are quoted when needed. Thread safe. */
std::string format_event(const event_type& type, std::initializer_list<event_field> fields);

}  // namespace hornbeamhook::transport
