#pragma once

#include <string>

namespace hornbeamhook::ctl {

/** Position in the input, both from 1. */
struct input_position {
    int line = 1;
    int column = 1;

    bool operator==(const input_position&) const = default;
};

/** Why a statement failed; the value is the exit code of the program. */
enum class command_failure {
    rejected = 1,      ///< The statement is well formed but cannot be carried out.
    usage = 2,         ///< Wrong options or settings.
    syntax = 3,        ///< The input does not follow the grammar; nothing ran.
    conflict = 4,      ///< Another operator changed the same object first; nothing changed.
    unavailable = 5,   ///< A service did not answer; nothing changed.
    unknown = 6,       ///< An answer was lost; whether it took effect is not known.
    wait_expired = 7,  ///< `wait` reached its bound.
    denied = 8,        ///< The operator lacks the right.
};

/** A failed statement. */
struct command_error {
    command_failure failure = command_failure::rejected;
    std::string message;
    input_position at;  ///< The start of the statement when nothing more precise is known.

    bool operator==(const command_error&) const = default;
};

}  // namespace hornbeamhook::ctl
