#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "transport/http_message.h"

namespace hornbeamhook::proxy {

/** An answer with a JSON body. Pure, thread safe. */
inline transport::http_response make_json(int status, const nlohmann::json& body) {
    return {status, body.dump(), "application/json"};
}

/** An answer with the error object of the proxies' control interface. Pure, thread safe. */
inline transport::http_response make_error(int status, const std::string& code,
                                           const std::string& message) {
    return make_json(status, {{"error", {{"code", code}, {"message", message}}}});
}

}  // namespace hornbeamhook::proxy
