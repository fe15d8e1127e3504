#pragma once

#include <boost/leaf.hpp>
#include <map>
#include <string>
#include <string_view>

#include "state/configuration.h"

namespace hornbeamhook::protocol {

/** Keys by id; the last id signs, all of them verify. */
using token_key_map = std::map<std::string, state::token_key>;

/**
 * "<key id>.<base64 of payload>.<base64 of MAC>". The MAC (libsodium crypto_auth) covers
 * `purpose`, the key id and the payload, so that a text of one purpose is never accepted for
 * another. Fails with caller_error when there is no usable key.
 */
boost::leaf::result<std::string> sign_text(std::string_view purpose, std::string_view payload,
                                           const token_key_map& keys);

/** The payload of `text`. Fails with caller_error (bad_token) when it is malformed or forged. */
boost::leaf::result<std::string> verify_text(std::string_view purpose, std::string_view text,
                                             const token_key_map& keys);

/** Lower case hex of the 32 byte generic hash of `text`; used for credentials and digests. */
std::string hash_text(std::string_view text);

/** Compares in a time that does not depend on the position of the first difference. */
bool is_equal_in_constant_time(std::string_view left, std::string_view right);

}  // namespace hornbeamhook::protocol
