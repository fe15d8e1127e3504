#include "protocol/caller_answer.h"

#include <nlohmann/json.hpp>

#include "protocol/statement_codec.h"

namespace hornbeamhook::protocol {

transport::http_response to_response(const caller_answer& answer) {
    nlohmann::json object{{"outcome", state::to_string(answer.outcome)},
                          {"results", to_json(answer.results)},
                          {"configuration_version", answer.configuration_version}};
    if (answer.code != error_code::ok) {
        object["error"] = {{"code", to_string(answer.code)},
                           {"message", answer.message},
                           {"retry", is_retry_allowed(answer.code)}};
    }
    if (!answer.token.empty()) {
        object["token"] = answer.token;
    }
    if (!answer.transaction.empty()) {
        object["transaction"] = answer.transaction;
    }
    if (!answer.target.empty()) {
        object["served_by"] = {{"target", answer.target},
                               {"role", answer.is_primary ? "primary" : "replica"}};
    }
    return {get_http_status(answer.code),
            object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            "application/json"};
}

}  // namespace hornbeamhook::protocol
