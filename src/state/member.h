#pragma once

#include <boost/leaf.hpp>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::state {

/** Life of a proxy as seen by the fleet. */
enum class member_state { alive, suspect, leaving, dead };

/** One proxy of the fleet, as told between proxies. */
struct member {
    std::string vm;       ///< Id of the VM it runs on.
    std::string address;  ///< "ip:port" of its HTTP interface.
    std::string place;
    std::string data_center;
    std::uint64_t incarnation = 0;  ///< Start time in ms; a restarted VM has a higher one.
    std::uint64_t heartbeat = 0;    ///< Raised by the member itself to refute a suspicion.
    member_state state = member_state::alive;
    std::uint64_t configuration_version = 0;

    auto operator<=>(const member&) const = default;
};

/** Parses a member as an object, the form of status answers. Fails with state_error. */
boost::leaf::result<member> parse_member(const nlohmann::json& object);

/** The inverse of parse_member(). */
nlohmann::json to_json(const member& value);

/** Parses a member as an array, the form of messages between proxies. Fails with state_error. */
boost::leaf::result<member> parse_compact_member(const nlohmann::json& array);

/** The inverse of parse_compact_member(): field names would double the size of a message. */
nlohmann::json to_compact_json(const member& value);

}  // namespace hornbeamhook::state
