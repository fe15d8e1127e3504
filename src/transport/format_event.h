#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "transport/log_event.h"

namespace hornbeamhook::transport {

/**
 * A value as it stands in a line: in quotes if it is empty or holds a blank, a quote, an equals
 * sign, a backslash or a byte that is not printable ASCII. In quotes a backslash precedes a quote
 * or a backslash, and \xHH stands for a byte that is not printable. Thread safe.
 */
std::string format_event_value(std::string_view value);

/** The text "event=NNNN name key=value ..."; values are quoted when needed. Thread safe. */
std::string format_event(const event_type& type, std::initializer_list<event_field> fields);

}  // namespace hornbeamhook::transport
