#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::ctl {

/** JSON on one line; bytes that are not UTF-8 are replaced instead of throwing. */
inline std::string to_text(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace hornbeamhook::ctl
