#include "protocol/vm_notice_message.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

constexpr const char* missing_state = "missing";
constexpr const char* leaving_state = "leaving";

}  // namespace

leaf::result<vm_notice_message> parse_vm_notice_message(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    vm_notice_message message;
    message.vm = reader.get_string("vm");
    message.incarnation = static_cast<std::uint64_t>(
        reader.get_integer("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
    message.is_missing =
        reader.get_choice("state", {missing_state, leaving_state}) == missing_state;
    BOOST_LEAF_CHECK(reader.finish());
    return message;
}

nlohmann::json to_json(const vm_notice_message& message) {
    return {{"vm", message.vm},
            {"incarnation", message.incarnation},
            {"state", message.is_missing ? missing_state : leaving_state}};
}

}  // namespace hornbeamhook::protocol
