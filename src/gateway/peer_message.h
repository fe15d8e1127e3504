#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state/log_point.h"

namespace hornbeamhook::gateway {

/** A log position that a VM learned from a group's primary. */
struct known_position {
    std::string group;
    state::log_point point;
    std::int64_t age_ms = 0;  ///< Since the question that it answers was sent.

    auto operator<=>(const known_position&) const = default;
};

/**
 * Promise of a VM that it has not begun to change the primary of a group, and that it knows no
 * record of the group newer than `version`.
 */
struct record_promise {
    std::string group;
    std::int64_t version = 0;

    auto operator<=>(const record_promise&) const = default;
};

/** Asks another VM whether it lives, and for its promises. */
struct peer_ping {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    std::uint64_t digest = 0;  ///< Of the asker's own promises.

    auto operator<=>(const peer_ping&) const = default;
};

/** Answers a ping. */
struct peer_pong {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;  ///< Of the ping.
    std::int64_t configuration_version = 0;
    bool is_store_available = false;
    bool is_stopping = false;      ///< Its callers and its work for other VMs have to go elsewhere.
    bool is_digest_match = false;  ///< The promises are those of the ping's digest.
    std::vector<record_promise> promises;  ///< Empty when the asker is not known as a member.
    std::vector<known_position> positions;

    bool operator==(const peer_pong&) const = default;
};

/** Tells a member to give up its right to a primary. */
struct revoke_request {
    std::string group;
    std::int64_t version = 0;  ///< Of the record that announces the change.
    bool is_planned = false;   ///< Work under way may end first.

    auto operator<=>(const revoke_request&) const = default;
};

/** The right was given up. */
struct revoke_answer {
    std::string vm;
    std::string group;
    std::int64_t version = 0;

    auto operator<=>(const revoke_answer&) const = default;
};

/** Asks whether a member reaches a primary that seems lost. */
struct reachability_request {
    std::string group;
    std::string target;

    auto operator<=>(const reachability_request&) const = default;
};

/** What a member knows of a primary. */
struct reachability_answer {
    std::string vm;
    std::string group;
    std::string target;
    std::int64_t age_ms = 0;  ///< Since its last answer to this member.
    bool is_lost = false;     ///< The member's own judgement.

    auto operator<=>(const reachability_answer&) const = default;
};

/** A group's record has changed; read the store. */
struct record_notice {
    std::string group;
    std::int64_t version = 0;

    auto operator<=>(const record_notice&) const = default;
};

using peer_message = std::variant<peer_ping, peer_pong, revoke_request, revoke_answer,
                                  reachability_request, reachability_answer, record_notice>;

/** Equal for equal promises, whichever VM makes them. Thread safe. */
std::uint64_t get_digest(const std::vector<record_promise>& promises);

/** One datagram. Thread safe. */
std::string format_peer_message(const peer_message& message);

/** Empty for bytes that are no message of this version. Thread safe. */
std::optional<peer_message> parse_peer_message(std::string_view bytes);

}  // namespace hornbeamhook::gateway
