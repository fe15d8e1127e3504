#pragma once

#include <string>

namespace hornbeamhook::state {

/** A value that could not be parsed. `message` names the field, the value and what is allowed. */
struct state_error {
    std::string field;
    std::string message;

    bool operator==(const state_error&) const = default;
};

}  // namespace hornbeamhook::state
