#pragma once

#include <string>

namespace hornbeamhook::standin::target {

/** An error answer to a statement. */
struct sql_error {
    std::string sqlstate;
    std::string message;

    bool operator==(const sql_error&) const = default;
};

}  // namespace hornbeamhook::standin::target
