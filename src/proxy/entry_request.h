#pragma once

#include <functional>
#include <set>
#include <string>

#include "coordination/retry_state.h"
#include "coordination/routing.h"
#include "protocol/caller_answer.h"
#include "protocol/caller_request.h"
#include "protocol/execute_message.h"
#include "protocol/session_token.h"
#include "protocol/transaction_id.h"
#include "state/configuration.h"

namespace hornbeamhook::proxy {

/** Sends the answer of the entry; called exactly once. */
using entry_responder = std::function<void(protocol::caller_answer)>;

/** One request of a caller while it is served; used by one thread at a time. */
struct entry_request {
    std::string caller;
    std::string pool;
    protocol::execute_operation operation = protocol::execute_operation::statements;
    protocol::caller_request body;
    protocol::session_token token;
    bool has_token = false;
    state::read_policy policy;
    std::string digest;
    protocol::transaction_id transaction;  ///< Only for requests of an open transaction.
    state::time_point arrival{};
    coordination::retry_state attempt;
    std::set<std::string> avoided;  ///< Failed during this request.
    bool is_primary_preferred = false;
    protocol::execute_answer last;  ///< The newest answer of a home.
    entry_responder respond;
};

}  // namespace hornbeamhook::proxy
