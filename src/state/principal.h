#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hornbeamhook::state {

/** What a caller or operator may do in a pool. `*` as pool means all pools. */
struct access_right {
    std::string pool;
    bool may_read = false;
    bool may_write = false;

    bool operator==(const access_right&) const = default;
};

/** A caller or operator, known by the hash of its credential. */
struct principal {
    std::string name;
    std::string credential_hash;  ///< Hex of the keyed hash; the credential itself is never stored.
    std::vector<access_right> rights;

    bool operator==(const principal&) const = default;

    /** Whether a right covers reading (or writing) in `pool`. */
    bool is_allowed(const std::string& pool, bool is_write) const;
};

/** A key that authenticates session tokens. */
struct token_key {
    std::string id;
    std::string secret;  ///< Hex, 32 bytes.

    bool operator==(const token_key&) const = default;
};

/** Parses the value of a caller or operator object. Fails with state_error. */
boost::leaf::result<principal> parse_principal(const std::string& kind, const std::string& name,
                                               const nlohmann::json& value);

/** The inverse of parse_principal(). */
nlohmann::json to_value(const principal& value);

/** Parses the value of a token_key object. Fails with state_error. */
boost::leaf::result<token_key> parse_token_key(const std::string& name,
                                               const nlohmann::json& value);

}  // namespace hornbeamhook::state
