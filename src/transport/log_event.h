#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamhook::transport {

/** How serious an event is. */
enum class event_severity { info, warning, error };

/** A numbered kind of log event; docs/events.md lists all of them. */
struct event_type {
    int number;
    std::string_view name;
    event_severity severity = event_severity::info;
};

/** A field of a log line. */
struct event_field {
    std::string_view key;
    std::string value;
};

/** Writes "event=NNNN name key=value ..." to the log. Values are quoted when needed. Thread safe.
 */
void log_event(const event_type& type, std::initializer_list<event_field> fields);

/**
 * Sets up glog for a program: everything to standard error, which the VM's supervisor collects.
 * Call once, before any thread starts.
 */
void initialise_logging(const char* program);

}  // namespace hornbeamhook::transport
