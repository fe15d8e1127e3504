#pragma once

#include <string>

namespace hornbeamhook::load {

/** Failure of the load tool itself, such as a fleet that cannot be prepared. */
struct load_error {
    std::string message;

    bool operator==(const load_error&) const = default;
};

}  // namespace hornbeamhook::load
