#include "state/member.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>

#include "state/json_reader.h"

namespace hornbeamhook::state {

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_name_length = 128;
/// Fields of the array form, in its order.
constexpr std::array<const char*, 8> field_names{
    "vm",          "address",   "place", "data_center",
    "incarnation", "heartbeat", "state", "configuration_version"};
/// The array form holds the state as the index in this list.
constexpr std::array<member_state, 4> states{member_state::alive, member_state::suspect,
                                             member_state::leaving, member_state::dead};

const char* to_string(member_state value) {
    switch (value) {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            break;
    }
    return "dead";
}

member_state parse_state(const std::string& text) {
    for (const member_state value : states) {
        if (text == to_string(value)) {
            return value;
        }
    }
    return member_state::dead;
}

}  // namespace

boost::leaf::result<member> parse_member(const nlohmann::json& object) {
    json_reader reader(object, "member");
    member value;
    value.vm = reader.get_string("vm", {}, max_name_length);
    value.address = reader.get_string("address", {}, max_name_length);
    value.place = reader.get_string("place", {}, max_name_length);
    value.data_center = reader.get_string("data_center", {}, max_name_length);
    value.incarnation = reader.get_integer("incarnation", 0, max_counter);
    value.heartbeat = reader.get_integer("heartbeat", 0, max_counter);
    value.state = parse_state(reader.get_choice("state", {"alive", "suspect", "leaving", "dead"}));
    value.configuration_version = reader.get_integer("configuration_version", 0, max_counter);
    if (value.vm.empty()) {
        reader.fail("vm", "\"\" is not allowed; allowed: a string that is not empty");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return value;
}

nlohmann::json to_json(const member& value) {
    return {{"vm", value.vm},
            {"address", value.address},
            {"place", value.place},
            {"data_center", value.data_center},
            {"incarnation", value.incarnation},
            {"heartbeat", value.heartbeat},
            {"state", to_string(value.state)},
            {"configuration_version", value.configuration_version}};
}

boost::leaf::result<member> parse_compact_member(const nlohmann::json& array) {
    if (!array.is_array() || array.size() != field_names.size()) {
        return boost::leaf::new_error(
            state_error{"member", "member: not a member; allowed: an array of 8 fields"});
    }
    nlohmann::json object = nlohmann::json::object();
    for (std::size_t i = 0; i < field_names.size(); ++i) {
        object[field_names[i]] = array[i];
    }
    const nlohmann::json& index = object["state"];
    if (!index.is_number_unsigned() || index.get<std::uint64_t>() >= states.size()) {
        return boost::leaf::new_error(state_error{
            "member.state", "member.state: " + index.dump() + " is not allowed; allowed: 0 to 3"});
    }
    object["state"] = to_string(states[index.get<std::size_t>()]);
    return parse_member(object);
}

nlohmann::json to_compact_json(const member& value) {
    const auto* found = std::ranges::find(states, value.state);
    const auto index = static_cast<std::uint64_t>(found - states.begin());
    return nlohmann::json::array({value.vm, value.address, value.place, value.data_center,
                                  value.incarnation, value.heartbeat, index,
                                  value.configuration_version});
}

}  // namespace hornbeamhook::state
