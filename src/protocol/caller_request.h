#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/configuration.h"
#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** Body of a statement request; also the base of the requests of a transaction. */
struct caller_request {
    std::vector<transport::target_statement> statements;
    bool is_write = false;
    std::optional<state::read_policy> policy;  ///< Empty: the pool's default.
    std::string token;
    std::string idempotency_key;
    std::optional<std::chrono::milliseconds> deadline;  ///< Empty: the pool's default.
};

/** Parses `POST /v1/pools/{pool}/statements`. Fails with caller_error. */
boost::leaf::result<caller_request> parse_statement_request(std::string_view body);

/** Parses `POST /v1/pools/{pool}/transactions`. Fails with caller_error. */
boost::leaf::result<caller_request> parse_begin_request(std::string_view body);

/** Parses `POST /v1/transactions/{id}/statements`. Fails with caller_error. */
boost::leaf::result<caller_request> parse_transaction_statement_request(std::string_view body,
                                                                        bool is_write);

/** Parses the body of `.../commit`. Fails with caller_error. */
boost::leaf::result<caller_request> parse_commit_request(std::string_view body);

/** Parses the body of `.../rollback`. Fails with caller_error. */
boost::leaf::result<caller_request> parse_rollback_request(std::string_view body);

}  // namespace hornbeamhook::protocol
