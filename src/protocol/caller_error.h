#pragma once

#include <string>

#include "protocol/error_code.h"

namespace hornbeamhook::protocol {

/** A caller's request that was refused before anything ran. */
struct caller_error {
    error_code code = error_code::bad_request;
    std::string message;

    bool operator==(const caller_error&) const = default;
};

}  // namespace hornbeamhook::protocol
