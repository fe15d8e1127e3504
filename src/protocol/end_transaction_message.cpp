#include "protocol/end_transaction_message.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

leaf::result<end_transaction_message> parse_end_transaction_message(const nlohmann::json& object) {
    constexpr std::int64_t max = std::numeric_limits<std::int64_t>::max();
    state::json_reader reader(object, "");
    end_transaction_message message;
    message.incarnation = static_cast<std::uint64_t>(reader.get_integer("incarnation", 0, max));
    message.transaction = static_cast<std::uint64_t>(reader.get_integer("transaction", 0, max));
    message.pool = reader.get_string("pool");
    message.operator_name = reader.get_string("operator");
    BOOST_LEAF_CHECK(reader.finish());
    return message;
}

nlohmann::json to_json(const end_transaction_message& message) {
    return {{"incarnation", message.incarnation},
            {"transaction", message.transaction},
            {"pool", message.pool},
            {"operator", message.operator_name}};
}

}  // namespace hornbeamhook::protocol
