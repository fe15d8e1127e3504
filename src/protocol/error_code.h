#pragma once

#include <optional>
#include <string_view>

namespace hornbeamhook::protocol {

/** Error codes of the caller API; `ok` is no error. */
enum class error_code {
    ok,
    overloaded,
    no_primary,
    not_home,
    deadline,
    draining,
    unavailable,
    configuration_unconfirmed,
    bad_request,
    unauthenticated,
    forbidden,
    unknown_pool,
    bad_token,
    key_reused,
    statement_failed,
    transaction_gone,
    too_large,
    outcome_unknown,
};

/** The wire name of a code. */
std::string_view to_string(error_code code);

/** Parses a wire name; empty when it is none. */
std::optional<error_code> parse_error_code(std::string_view text);

/** Whether the same request may succeed later. `outcome_unknown`: only with the same key. */
bool is_retry_allowed(error_code code);

/** The HTTP status of an answer with this code. */
int get_http_status(error_code code);

}  // namespace hornbeamhook::protocol
