#include "protocol/error_code.h"

#include <array>

namespace hornbeamhook::protocol {

namespace {

struct code_entry {
    error_code code;
    std::string_view name;
    bool is_retry_allowed;
    int http_status;
};

constexpr std::array<code_entry, 18> entries{{
    {error_code::ok, "ok", false, 200},
    {error_code::overloaded, "overloaded", true, 503},
    {error_code::no_primary, "no_primary", true, 503},
    {error_code::not_home, "not_home", true, 503},
    {error_code::deadline, "deadline", true, 503},
    {error_code::draining, "draining", true, 503},
    {error_code::unavailable, "unavailable", true, 503},
    {error_code::configuration_unconfirmed, "configuration_unconfirmed", true, 503},
    {error_code::bad_request, "bad_request", false, 400},
    {error_code::unauthenticated, "unauthenticated", false, 401},
    {error_code::forbidden, "forbidden", false, 403},
    {error_code::unknown_pool, "unknown_pool", false, 404},
    {error_code::bad_token, "bad_token", false, 400},
    {error_code::key_reused, "key_reused", false, 409},
    {error_code::statement_failed, "statement_failed", false, 422},
    {error_code::transaction_gone, "transaction_gone", false, 410},
    {error_code::too_large, "too_large", false, 413},
    {error_code::outcome_unknown, "outcome_unknown", true, 504},
}};

const code_entry& find_entry(error_code code) {
    for (const code_entry& entry : entries) {
        if (entry.code == code) {
            return entry;
        }
    }
    return entries.back();
}

}  // namespace

std::string_view to_string(error_code code) {
    return find_entry(code).name;
}

std::optional<error_code> parse_error_code(std::string_view text) {
    for (const code_entry& entry : entries) {
        if (entry.name == text) {
            return entry.code;
        }
    }
    return std::nullopt;
}

bool is_retry_allowed(error_code code) {
    return find_entry(code).is_retry_allowed;
}

int get_http_status(error_code code) {
    return find_entry(code).http_status;
}

}  // namespace hornbeamhook::protocol
