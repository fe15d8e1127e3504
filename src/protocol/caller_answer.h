#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/error_code.h"
#include "state/outcome.h"
#include "transport/http_message.h"
#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** The answer to a caller. */
struct caller_answer {
    state::outcome outcome = state::outcome::not_run;
    error_code code = error_code::ok;
    std::string message;
    std::vector<transport::target_result> results;
    std::string token;        ///< Empty: none.
    std::string transaction;  ///< Id of a transaction that was opened.
    std::string target;       ///< Empty: no target served it.
    bool is_primary = false;
    std::uint64_t configuration_version = 0;
};

/** The HTTP answer with its status and JSON body. */
transport::http_response to_response(const caller_answer& answer);

}  // namespace hornbeamhook::protocol
