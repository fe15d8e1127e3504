#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamhook::standin::fault {

/** Which way bytes travel on a link. */
enum class relay_direction { request, answer };

/** Resets all connections and refuses new ones. */
struct cut_command {
    bool operator==(const cut_command&) const = default;
};

/** Ends all faults of the link and delivers what is held. Silent connections stay silent. */
struct restore_command {
    bool operator==(const restore_command&) const = default;
};

/** Adds to the one-way latency of both directions. */
struct delay_command {
    std::chrono::microseconds extra{0};

    bool operator==(const delay_command&) const = default;
};

/** Connections that are open now never carry another byte, nor their end. */
struct silence_command {
    bool includes_new = false;  ///< Also connections opened until the link is restored.
    /// After this time the upstream process notices, as with TCP keepalive; without it never.
    std::optional<std::chrono::milliseconds> release;

    bool operator==(const silence_command&) const = default;
};

/** Closes the silent connections, so that the next test starts without them. */
struct drop_silent_command {
    bool operator==(const drop_silent_command&) const = default;
};

/** Loses one direction of all connections, including those opened until the link is restored. */
struct half_open_command {
    relay_direction lost = relay_direction::answer;

    bool operator==(const half_open_command&) const = default;
};

/** What happens to single requests or answers. */
enum class message_fault_kind {
    drop_request,  ///< The request is lost, then the connection fails.
    drop_answer,   ///< The request passes, its answer is lost, then the connection fails.
    hold_request,  ///< The request is delivered late, even when the caller has gone.
    hold_answer,   ///< The answer is delivered late.
    cross_answer,  ///< The answers of two connections are exchanged.
};

/** Hits the next `count` requests whose bytes contain `match`. */
struct message_fault_command {
    message_fault_kind kind = message_fault_kind::drop_answer;
    int count = 1;
    std::string match;             ///< Empty matches every request.
    bool is_silent_after = false;  ///< The connection goes silent instead of being reset.
    std::optional<std::chrono::milliseconds> hold;  ///< Without it until the link is restored.

    bool operator==(const message_fault_command&) const = default;
};

using link_action = std::variant<cut_command, restore_command, delay_command, silence_command,
                                 drop_silent_command, half_open_command, message_fault_command>;

/** A control request: an action for all links whose name matches a pattern. */
struct link_command {
    std::vector<std::string> patterns;  ///< Shell patterns.
    link_action action;

    bool operator==(const link_command&) const = default;
};

/** Parses the body of `POST /control/links`. Fails with state_error. */
boost::leaf::result<link_command> parse_link_command(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::fault
