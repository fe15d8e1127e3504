#include "protocol/session_token.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "protocol/caller_error.h"
#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

constexpr const char* purpose = "session";
constexpr std::size_t fingerprint_length = 16;
constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

leaf::result<session_token> parse_payload(const std::string& payload) {
    BOOST_LEAF_AUTO(object, state::parse_json(payload, "token"));
    state::json_reader reader(object, "token");
    session_token token;
    token.pool = reader.get_string("p");
    token.caller = reader.get_string("c");
    token.point.term = reader.get_integer("t", 0, max_counter);
    token.point.position = reader.get_integer("n", 0, max_counter);
    token.is_uncertain = reader.get_boolean("u", false);
    token.uncertain_key = reader.get_string("k", "");
    BOOST_LEAF_CHECK(reader.finish());
    return token;
}

}  // namespace

leaf::result<std::string> encode_session_token(const session_token& token,
                                               const token_key_map& keys) {
    nlohmann::json object{{"p", token.pool},
                          {"c", token.caller},
                          {"t", token.point.term},
                          {"n", token.point.position}};
    if (token.is_uncertain) {
        object["u"] = true;
        object["k"] = token.uncertain_key;
    }
    return sign_text(purpose, object.dump(), keys);
}

leaf::result<session_token> decode_session_token(const std::string& text, const std::string& pool,
                                                 const std::string& caller,
                                                 const token_key_map& keys) {
    BOOST_LEAF_AUTO(payload, verify_text(purpose, text, keys));
    return leaf::try_handle_some(
        [&]() -> leaf::result<session_token> {
            BOOST_LEAF_AUTO(token, parse_payload(payload));
            if (token.pool != pool) {
                return leaf::new_error(caller_error{
                    error_code::bad_token,
                    "token: belongs to pool \"" + token.pool + "\", not \"" + pool + "\""});
            }
            if (token.caller != caller) {
                return leaf::new_error(
                    caller_error{error_code::bad_token, "token: belongs to another caller"});
            }
            return token;
        },
        [](const state::state_error& error) -> leaf::result<session_token> {
            return leaf::new_error(caller_error{error_code::bad_token, error.message});
        });
}

std::string get_key_fingerprint(const std::string& idempotency_key) {
    return hash_text("uncertain:" + idempotency_key).substr(0, fingerprint_length);
}

session_token advance_token(session_token token, state::log_point point) {
    token.point = std::max(token.point, point);
    return token;
}

session_token mark_uncertain(session_token token, const std::string& idempotency_key) {
    const std::string key =
        idempotency_key.empty() ? std::string() : get_key_fingerprint(idempotency_key);
    // Two unresolved writes cannot both be named, so no single retry resolves the session then.
    token.uncertain_key = !token.is_uncertain || token.uncertain_key == key ? key : "";
    token.is_uncertain = true;
    return token;
}

session_token resolve_uncertain(session_token token, const std::string& idempotency_key) {
    if (token.is_uncertain && !idempotency_key.empty() &&
        token.uncertain_key == get_key_fingerprint(idempotency_key)) {
        token.is_uncertain = false;
        token.uncertain_key.clear();
    }
    return token;
}

}  // namespace hornbeamhook::protocol
