#pragma once

#include <string>

#include "protocol/error_code.h"

namespace hornbeamhook::protocol {

/** A message that was refused before anything ran. */
struct protocol_error {
    error_code code = error_code::bad_request;
    std::string message;

    bool operator==(const protocol_error&) const = default;
};

}  // namespace hornbeamhook::protocol
