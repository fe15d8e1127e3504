#include "standin/fault/link_command.h"

#include <map>

#include "state/json_reader.h"

namespace hornbeamhook::standin::fault {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_delay_us = 600'000'000;
constexpr std::int64_t max_hold_ms = 600'000;
constexpr std::int64_t max_count = 1'000'000'000;

const std::map<std::string, message_fault_kind>& get_message_faults() {
    static const std::map<std::string, message_fault_kind> faults = {
        {"drop_request", message_fault_kind::drop_request},
        {"drop_answer", message_fault_kind::drop_answer},
        {"hold_request", message_fault_kind::hold_request},
        {"hold_answer", message_fault_kind::hold_answer},
        {"cross_answer", message_fault_kind::cross_answer},
    };
    return faults;
}

message_fault_command read_message_fault(state::json_reader& reader, message_fault_kind kind) {
    message_fault_command command;
    command.kind = kind;
    command.count = static_cast<int>(reader.get_integer("count", 1, max_count, 1));
    command.match = reader.get_string("match", "");
    command.is_silent_after = reader.get_choice("then", {"reset", "silence"}, "reset") == "silence";
    if (reader.has("hold_ms")) {
        command.hold = std::chrono::milliseconds(reader.get_integer("hold_ms", 0, max_hold_ms, 0));
    }
    return command;
}

link_action read_action(state::json_reader& reader) {
    const std::string action = reader.get_choice(
        "action", {"cut", "restore", "delay", "silence", "drop_silent", "half_open", "drop_request",
                   "drop_answer", "hold_request", "hold_answer", "cross_answer"});
    if (const auto it = get_message_faults().find(action); it != get_message_faults().end()) {
        return read_message_fault(reader, it->second);
    }
    if (action == "delay") {
        return delay_command{
            std::chrono::microseconds(reader.get_integer("extra_us", 0, max_delay_us))};
    }
    if (action == "silence") {
        silence_command command;
        command.includes_new = reader.get_boolean("includes_new", false);
        if (reader.has("release_ms")) {
            command.release =
                std::chrono::milliseconds(reader.get_integer("release_ms", 0, max_hold_ms));
        }
        return command;
    }
    if (action == "half_open") {
        const bool is_request = reader.get_choice("lost", {"request", "answer"}) == "request";
        return half_open_command{is_request ? relay_direction::request : relay_direction::answer};
    }
    if (action == "drop_silent") {
        return drop_silent_command{};
    }
    if (action == "restore") {
        return restore_command{};
    }
    return cut_command{};
}

}  // namespace

leaf::result<link_command> parse_link_command(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    link_command command;
    const nlohmann::json* patterns = reader.get_array("links");
    if (patterns != nullptr) {
        for (const nlohmann::json& pattern : *patterns) {
            if (!pattern.is_string()) {
                reader.fail("links", pattern.dump() + " is not allowed; allowed: name patterns");
                break;
            }
            command.patterns.push_back(pattern.get<std::string>());
        }
    }
    command.action = read_action(reader);
    BOOST_LEAF_CHECK(reader.finish());
    return command;
}

}  // namespace hornbeamhook::standin::fault
