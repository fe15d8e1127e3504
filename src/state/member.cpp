#include "state/member.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::state {

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_name_length = 128;

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
    for (const member_state value :
         {member_state::alive, member_state::suspect, member_state::leaving}) {
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

}  // namespace hornbeamhook::state
