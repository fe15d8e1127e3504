#include "protocol/transaction_id.h"

#include <limits>

#include "protocol/caller_error.h"
#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

constexpr const char* purpose = "transaction";
constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

leaf::result<transaction_id> parse_payload(const std::string& payload) {
    BOOST_LEAF_AUTO(object, state::parse_json(payload, "transaction"));
    state::json_reader reader(object, "transaction");
    transaction_id id;
    id.home_vm = reader.get_string("v");
    id.home_address = reader.get_string("a");
    id.incarnation = reader.get_integer("i", 0, max_counter);
    id.number = reader.get_integer("n", 0, max_counter);
    id.pool = reader.get_string("p");
    id.caller = reader.get_string("c");
    id.is_write = reader.get_boolean("w");
    BOOST_LEAF_CHECK(reader.finish());
    return id;
}

}  // namespace

leaf::result<std::string> encode_transaction_id(const transaction_id& id,
                                                const token_key_map& keys) {
    const nlohmann::json object{{"v", id.home_vm}, {"a", id.home_address}, {"i", id.incarnation},
                                {"n", id.number},  {"p", id.pool},         {"c", id.caller},
                                {"w", id.is_write}};
    return sign_text(purpose, object.dump(), keys);
}

leaf::result<transaction_id> decode_transaction_id(const std::string& text,
                                                   const std::string& caller,
                                                   const token_key_map& keys) {
    return leaf::try_handle_some(
        [&]() -> leaf::result<transaction_id> {
            BOOST_LEAF_AUTO(payload, verify_text(purpose, text, keys));
            BOOST_LEAF_AUTO(id, parse_payload(payload));
            if (id.caller != caller) {
                return leaf::new_error(
                    caller_error{error_code::forbidden, "transaction: belongs to another caller"});
            }
            return id;
        },
        [](const state::state_error& error) -> leaf::result<transaction_id> {
            return leaf::new_error(caller_error{error_code::bad_token, error.message});
        });
}

}  // namespace hornbeamhook::protocol
