#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "protocol/authenticated_text.h"
#include "state/log_point.h"

namespace hornbeamhook::protocol {

/** What a session has written and read, carried by the caller from request to request. */
struct session_token {
    std::string pool;
    std::string caller;      ///< A token of another caller is refused.
    state::log_point point;  ///< Reads of the session must cover it.
    /// A write of the session ended with `unknown`; reads are strict until it is resolved.
    bool is_uncertain = false;
    /// Fingerprint of the idempotency key whose retry resolves it; empty when none can.
    std::string uncertain_key;

    auto operator<=>(const session_token&) const = default;
};

/** Signs the token. Fails with caller_error when there is no key. */
boost::leaf::result<std::string> encode_session_token(const session_token& token,
                                                      const token_key_map& keys);

/**
 * Verifies a token and that it belongs to `pool` and `caller`. Fails with caller_error
 * (bad_token).
 */
boost::leaf::result<session_token> decode_session_token(const std::string& text,
                                                        const std::string& pool,
                                                        const std::string& caller,
                                                        const token_key_map& keys);

/** The fingerprint of an idempotency key as held by `uncertain_key`. */
std::string get_key_fingerprint(const std::string& idempotency_key);

/** The token after a read or an acknowledged write that saw `point`; never moves back. */
session_token advance_token(session_token token, state::log_point point);

/** The token after a write with this key (empty: none) ended with `unknown`. */
session_token mark_uncertain(session_token token, const std::string& idempotency_key);

/** The token after the outcome of the write with this key became known. */
session_token resolve_uncertain(session_token token, const std::string& idempotency_key);

}  // namespace hornbeamhook::protocol
