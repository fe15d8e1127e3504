#include "protocol/session_token.h"

#include <gtest/gtest.h>

#include <random>
#include <variant>

#include "protocol/caller_error.h"
#include "protocol/transaction_id.h"
#include "support/random_seed.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;

token_key_map make_keys(const std::vector<std::string>& ids) {
    token_key_map keys;
    for (const std::string& id : ids) {
        std::string secret;
        while (secret.size() < 64) {
            secret += id.back() == '1' ? "ab" : "17";
        }
        keys[id] = {id, secret};
    }
    return keys;
}

session_token make_token() {
    return {"ledger", "shop", {3, 141}, true, "0123456789abcdef"};
}

std::string encode(const session_token& token, const token_key_map& keys) {
    return leaf::try_handle_all([&] { return encode_session_token(token, keys); },
                                [] { return std::string(); });
}

/** The token, or the code of the error. */
std::variant<session_token, error_code> decode(const std::string& text, const token_key_map& keys,
                                               const std::string& pool = "ledger",
                                               const std::string& caller = "shop") {
    using decoded = std::variant<session_token, error_code>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<decoded> {
            BOOST_LEAF_AUTO(token, decode_session_token(text, pool, caller, keys));
            return decoded(token);
        },
        [](const caller_error& error) { return decoded(error.code); },
        [] { return decoded(error_code::unavailable); });
}

const std::variant<session_token, error_code> bad_token = error_code::bad_token;

// Guards against a session that loses its state on the way through the caller.
TEST(session_token, round_trip) {
    const token_key_map keys = make_keys({"key1"});
    EXPECT_EQ(std::get<session_token>(decode(encode(make_token(), keys), keys)), make_token());
}

// Guards against tokens that die at a key rotation, or outlive the removal of their key.
TEST(session_token, newest_key_signs_and_all_listed_keys_verify) {
    const std::string old = encode(make_token(), make_keys({"key1"}));
    const token_key_map both = make_keys({"key1", "key2"});
    EXPECT_EQ(std::get<session_token>(decode(old, both)), make_token());
    const std::string renewed = encode(make_token(), both);
    EXPECT_TRUE(renewed.starts_with("key2."));
    EXPECT_EQ(decode(renewed, make_keys({"key1"})), bad_token);
    EXPECT_EQ(decode(old, make_keys({"key2"})), bad_token);
    EXPECT_EQ(encode(make_token(), {}), "") << "no key, no token";
}

// Guards against a token of one pool or caller that is used for another.
TEST(session_token, is_bound_to_pool_and_caller) {
    const token_key_map keys = make_keys({"key1"});
    const std::string text = encode(make_token(), keys);
    EXPECT_EQ(decode(text, keys, "other"), bad_token);
    EXPECT_EQ(decode(text, keys, "ledger", "other"), bad_token);
}

// Guards against a key that signs texts of another kind.
TEST(session_token, is_no_transaction_id) {
    const token_key_map keys = make_keys({"key1"});
    const std::string text = encode(make_token(), keys);
    const error_code code = leaf::try_handle_all(
        [&]() -> leaf::result<error_code> {
            BOOST_LEAF_CHECK(decode_transaction_id(text, "shop", keys));
            return error_code::ok;
        },
        [](const caller_error& error) { return error.code; },
        [] { return error_code::unavailable; });
    EXPECT_EQ(code, error_code::bad_token);
}

// Guards against a transaction that another caller takes over.
TEST(session_token, transaction_id_is_bound_to_its_caller) {
    const token_key_map keys = make_keys({"key1"});
    const transaction_id id{"vm1", "127.0.0.1:1", 5, 7, "ledger", "shop", true};
    const auto get = [&](const std::string& caller) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<error_code> {
                BOOST_LEAF_AUTO(text, encode_transaction_id(id, keys));
                BOOST_LEAF_AUTO(parsed, decode_transaction_id(text, caller, keys));
                return parsed == id ? error_code::ok : error_code::bad_request;
            },
            [](const caller_error& error) { return error.code; },
            [] { return error_code::unavailable; });
    };
    EXPECT_EQ(get("shop"), error_code::ok);
    EXPECT_EQ(get("other"), error_code::forbidden);
}

// Guards against forged tokens: no changed byte, cut or extension may be accepted.
TEST(session_token, every_change_is_refused) {
    const token_key_map keys = make_keys({"key1"});
    const std::string text = encode(make_token(), keys);
    int accepted = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char replacement : {'A', 'B', '.', '0', '\0'}) {
            std::string changed = text;
            changed[i] = replacement;
            accepted += changed != text && decode(changed, keys) != bad_token ? 1 : 0;
        }
        accepted += decode(text.substr(0, i), keys) != bad_token ? 1 : 0;
        accepted += decode(text + text.substr(0, i + 1), keys) != bad_token ? 1 : 0;
    }
    std::mt19937_64 random(tests::get_seed("session_token", 5));
    for (int i = 0; i < 20'000; ++i) {
        std::string noise;
        for (std::uint64_t length = random() % 80; length > 0; --length) {
            noise += static_cast<char>(random() % 256);
        }
        accepted += decode(noise, keys) != bad_token ? 1 : 0;
        accepted += decode("key1." + noise, keys) != bad_token ? 1 : 0;
    }
    EXPECT_EQ(accepted, 0);
}

// Guards against a session that forgets an unresolved write, or never leaves strict reads.
TEST(session_token, uncertainty_ends_with_the_key_that_caused_it) {
    session_token token{"ledger", "shop", {1, 5}, false, ""};
    token = mark_uncertain(token, "k1");
    EXPECT_TRUE(token.is_uncertain);
    EXPECT_TRUE(resolve_uncertain(token, "k2").is_uncertain);
    EXPECT_TRUE(resolve_uncertain(token, "").is_uncertain);
    EXPECT_FALSE(resolve_uncertain(token, "k1").is_uncertain);
    EXPECT_FALSE(resolve_uncertain(mark_uncertain(token, "k1"), "k1").is_uncertain);
    const session_token two = mark_uncertain(token, "k2");
    EXPECT_TRUE(resolve_uncertain(resolve_uncertain(two, "k1"), "k2").is_uncertain);
    const session_token unkeyed = mark_uncertain({"ledger", "shop", {1, 5}, false, ""}, "");
    EXPECT_TRUE(resolve_uncertain(unkeyed, "").is_uncertain);
}

// Guards against reads that go back in time.
TEST(session_token, point_never_moves_back) {
    const session_token token = make_token();
    EXPECT_EQ(advance_token(token, {3, 140}).point, (state::log_point{3, 141}));
    EXPECT_EQ(advance_token(token, {2, 900}).point, (state::log_point{3, 141}));
    EXPECT_EQ(advance_token(token, {4, 1}).point, (state::log_point{4, 1}));
}

}  // namespace
}  // namespace hornbeamhook::protocol
