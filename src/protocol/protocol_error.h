#pragma once

#include <string>

namespace hornbeamhook::protocol {

/** A message that does not follow the protocol. `message` names the field and what is allowed. */
struct protocol_error {
    std::string message;

    bool operator==(const protocol_error&) const = default;
};

}  // namespace hornbeamhook::protocol
