#pragma once

#include <boost/leaf.hpp>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::state {

/** Life of a proxy as seen by the fleet. */
enum class member_state { alive, suspect, leaving, dead };

/** One proxy of the fleet, as spread by peer exchange. */
struct member {
    std::string vm;       ///< Id of the VM it runs on.
    std::string address;  ///< "ip:port" of its HTTP interface.
    std::string place;
    std::string data_center;
    std::uint64_t incarnation = 0;  ///< Start time in ms; a restarted VM has a higher one.
    std::uint64_t heartbeat = 0;    ///< Raised by the member itself.
    member_state state = member_state::alive;
    std::uint64_t configuration_version = 0;

    auto operator<=>(const member&) const = default;
};

/** Parses one entry of a peer exchange. Fails with state_error. */
boost::leaf::result<member> parse_member(const nlohmann::json& object);

/** The inverse of parse_member(). */
nlohmann::json to_json(const member& value);

}  // namespace hornbeamhook::state
