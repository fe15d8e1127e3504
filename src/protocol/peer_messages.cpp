#include "protocol/peer_messages.h"

#include <utility>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {
/// Twice what a proxy of this version sends; more is not a digest.
constexpr std::size_t max_entries = 32;
}  // namespace

leaf::result<exchange_message> parse_exchange_message(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    exchange_message message;
    const nlohmann::json* sender = reader.get_object("sender");
    const nlohmann::json* entries = reader.get_array("members");
    if (entries != nullptr && entries->size() > max_entries) {
        reader.fail("members", std::to_string(entries->size()) + " entries; allowed: at most " +
                                   std::to_string(max_entries));
    }
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(message.sender, state::parse_member(*sender));
    for (const nlohmann::json& entry : *entries) {
        BOOST_LEAF_AUTO(member, state::parse_member(entry));
        message.entries.push_back(std::move(member));
    }
    return message;
}

nlohmann::json to_json(const exchange_message& message) {
    nlohmann::json entries = nlohmann::json::array();
    for (const state::member& entry : message.entries) {
        entries.push_back(state::to_json(entry));
    }
    return {{"sender", state::to_json(message.sender)}, {"members", std::move(entries)}};
}

leaf::result<configuration_answer> parse_configuration_answer(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    configuration_answer answer;
    const nlohmann::json* changes = reader.get_array("changes");
    const nlohmann::json* snapshot = reader.get_object("snapshot", false);
    BOOST_LEAF_CHECK(reader.finish());
    for (const nlohmann::json& entry : *changes) {
        BOOST_LEAF_AUTO(change, state::parse_configuration_change(entry));
        answer.changes.push_back(std::move(change));
    }
    if (snapshot != nullptr) {
        BOOST_LEAF_AUTO(value, state::parse_configuration(*snapshot));
        answer.snapshot = std::move(value);
    }
    return answer;
}

nlohmann::json to_json(const configuration_answer& answer) {
    nlohmann::json changes = nlohmann::json::array();
    for (const state::configuration_change& change : answer.changes) {
        changes.push_back(state::to_json(change));
    }
    nlohmann::json object{{"changes", std::move(changes)}};
    if (answer.snapshot) {
        object["snapshot"] = state::to_json(*answer.snapshot);
    }
    return object;
}

}  // namespace hornbeamhook::protocol
