#include "load/workload.h"

#include <map>
#include <set>

#include "state/json_reader.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

// Receipts and bookings must neither vanish nor double; stock pages may be a little old but must
// show a session's own use of a part.
constexpr std::string_view nile_horn_text = R"({
    "name": "nile_horn", "items": 64, "balances": 16,
    "roam_share": 0.1, "roll_back_share": 0.1,
    "operations": [
        {"name": "receipt", "action": "append", "weight": 10, "keyed": true},
        {"name": "booking", "action": "append", "weight": 6, "keyed": true},
        {"name": "note", "action": "append", "weight": 2},
        {"name": "use_part", "action": "adjust", "weight": 7, "keyed": true},
        {"name": "booking_check", "action": "read_entry", "weight": 10,
            "policy": {"own_writes": true}},
        {"name": "stock_read", "action": "read_stock", "weight": 25,
            "policy": {"own_writes": true}},
        {"name": "stock_page", "action": "read_stock", "weight": 25,
            "policy": {"max_age_ms": 1000}},
        {"name": "stock_promise", "action": "read_stock", "weight": 10,
            "policy": {"strict": true}},
        {"name": "stock_sum", "action": "read_sum", "weight": 2, "policy": {"own_writes": true}},
        {"name": "move_stock", "action": "transfer", "weight": 3}
    ]})";

// Recipes are read strictly from vans and shops; a lost or doubled order is the worst fault.
constexpr std::string_view carrowmore_text = R"({
    "name": "carrowmore", "items": 64, "balances": 16,
    "roam_share": 0.2, "roll_back_share": 0.1,
    "operations": [
        {"name": "batch_record", "action": "append", "weight": 8, "keyed": true},
        {"name": "order", "action": "append", "weight": 6, "keyed": true},
        {"name": "recipe_change", "action": "adjust", "weight": 2, "keyed": true},
        {"name": "note", "action": "append", "weight": 1},
        {"name": "order_check", "action": "read_entry", "weight": 6,
            "policy": {"own_writes": true}},
        {"name": "recipe_read", "action": "read_stock", "weight": 35, "policy": {"strict": true}},
        {"name": "stock_page", "action": "read_stock", "weight": 30,
            "policy": {"max_age_ms": 2000}},
        {"name": "stock_read", "action": "read_stock", "weight": 8,
            "policy": {"own_writes": true}},
        {"name": "stock_sum", "action": "read_sum", "weight": 1, "policy": {"own_writes": true}},
        {"name": "move_stock", "action": "transfer", "weight": 3}
    ]})";

constexpr std::int64_t max_rows = 10'000;
constexpr std::int64_t max_weight = 1'000'000;
constexpr std::int64_t max_age_ms = 3'600'000;

const std::map<std::string, operation_action>& get_actions() {
    static const std::map<std::string, operation_action> actions = {
        {"append", operation_action::append},         {"adjust", operation_action::adjust},
        {"read_stock", operation_action::read_stock}, {"read_entry", operation_action::read_entry},
        {"read_sum", operation_action::read_sum},     {"transfer", operation_action::transfer},
    };
    return actions;
}

leaf::result<state::read_policy> parse_policy(const nlohmann::json& object,
                                              const std::string& path) {
    state::json_reader reader(object, path);
    state::read_policy policy;
    if (reader.has("max_age_ms")) {
        policy.policy = state::read_policy::kind::max_age;
        policy.max_age = std::chrono::milliseconds(reader.get_integer("max_age_ms", 0, max_age_ms));
    } else if (reader.get_boolean("strict", false)) {
        policy.policy = state::read_policy::kind::strict;
    } else if (!reader.get_boolean("own_writes", false)) {
        reader.fail("own_writes",
                    "no policy; allowed: {\"own_writes\":true}, {\"max_age_ms\":N} or "
                    "{\"strict\":true}");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return policy;
}

leaf::result<workload_operation> parse_operation(const nlohmann::json& object,
                                                 const std::string& path) {
    state::json_reader reader(object, path);
    workload_operation operation;
    operation.name = reader.get_string("name");
    std::set<std::string> names;
    for (const auto& [name, action] : get_actions()) {
        names.insert(name);
    }
    const auto action = get_actions().find(reader.get_choice("action", names));
    if (action != get_actions().end()) {
        operation.action = action->second;
    }
    operation.weight = static_cast<int>(reader.get_integer("weight", 1, max_weight));
    operation.is_keyed = reader.get_boolean("keyed", false);
    const nlohmann::json* policy = reader.get_object("policy", operation.is_read());
    BOOST_LEAF_CHECK(reader.finish());
    if (policy != nullptr) {
        BOOST_LEAF_ASSIGN(operation.policy, parse_policy(*policy, path + ".policy"));
    }
    return operation;
}

}  // namespace

bool workload_operation::is_read() const {
    return action == operation_action::read_stock || action == operation_action::read_entry ||
           action == operation_action::read_sum;
}

leaf::result<workload> parse_workload(const nlohmann::json& object) {
    state::json_reader reader(object, "workload");
    workload result;
    result.name = reader.get_string("name");
    result.items = static_cast<int>(reader.get_integer("items", 1, max_rows, result.items));
    result.balances =
        static_cast<int>(reader.get_integer("balances", 2, max_rows, result.balances));
    result.roam_share = reader.get_number("roam_share", 0, 1, result.roam_share);
    result.roll_back_share = reader.get_number("roll_back_share", 0, 1, result.roll_back_share);
    const nlohmann::json* operations = reader.get_array("operations");
    if (operations != nullptr && operations->empty()) {
        reader.fail("operations", "[] is not allowed; allowed: at least one operation");
    }
    BOOST_LEAF_CHECK(reader.finish());
    for (std::size_t i = 0; i < operations->size(); ++i) {
        BOOST_LEAF_AUTO(operation, parse_operation((*operations)[i], "workload.operations[" +
                                                                         std::to_string(i) + "]"));
        result.operations.push_back(std::move(operation));
    }
    return result;
}

std::string_view find_workload_text(std::string_view deployment) {
    if (deployment == "nile_horn") {
        return nile_horn_text;
    }
    return deployment == "carrowmore" ? carrowmore_text : std::string_view();
}

}  // namespace hornbeamhook::load
