#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/operation_limits.h"
#include "state/log_point.h"

namespace hornbeamhook::gateway {

/** A log position that a VM learned from a group's primary. */
struct known_position {
    std::string group;
    state::log_point point;
    std::int64_t age_ms = 0;  ///< Since the request that returned it was sent.

    auto operator<=>(const known_position&) const = default;
};

/**
 * A VM's promise that it has not begun to change the primary of a group and knows no record of the
 * group newer than `version`.
 */
struct record_promise {
    std::string group;
    std::int64_t version = 0;

    auto operator<=>(const record_promise&) const = default;
};

/** Checks that another VM is alive and asks for its promises. */
struct peer_ping {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    std::uint64_t digest = 0;  ///< Of the sender's own promises.

    auto operator<=>(const peer_ping&) const = default;
};

/** Answers a ping. */
struct peer_pong {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;  ///< Of the ping.
    std::int64_t configuration_version = 0;
    bool is_store_available = false;
    bool is_stopping = false;      ///< Callers and other VMs have to use another VM.
    bool is_digest_match = false;  ///< The promises match the ping's digest and are left out.
    std::vector<record_promise> promises;  ///< Empty when the ping's sender is not a known member.
    std::vector<known_position> positions;

    bool operator==(const peer_pong&) const = default;
};

/** Tells a member to release its lease on a primary. */
struct revoke_request {
    std::string group;
    std::int64_t version = 0;  ///< Of the record that announces the change.
    bool is_planned = false;   ///< Open transactions may end first.

    auto operator<=>(const revoke_request&) const = default;
};

/** Reports that the lease was released. */
struct revoke_answer {
    std::string vm;
    std::string group;
    std::int64_t version = 0;
    bool is_established = false;  ///< See fleet_membership::is_established().

    auto operator<=>(const revoke_answer&) const = default;
};

/** Asks a member whether it reaches a suspected primary. */
struct reachability_request {
    std::string group;
    std::string target;

    auto operator<=>(const reachability_request&) const = default;
};

/** Whether a member reaches the primary. */
struct reachability_answer {
    std::string vm;
    std::string group;
    std::string target;
    std::int64_t age_ms = 0;  ///< Since the target last answered this member.
    bool is_lost = false;     ///< Whether the member considers it lost.

    auto operator<=>(const reachability_answer&) const = default;
};

/** Announces that a group's record has changed in the store. */
struct record_notice {
    std::string group;
    std::int64_t version = 0;

    auto operator<=>(const record_notice&) const = default;
};

/**
 * Sent by a process that ends as planned: it holds no lease and begins no change any more. The
 * promises stay valid; groups whose lease it released for a change are left out.
 */
struct departure_notice {
    std::string vm;
    std::int64_t incarnation = 0;
    std::vector<record_promise> promises;

    bool operator==(const departure_notice&) const = default;
};

/** Digests of a VM's copies of the stored tables. */
struct table_digests {
    std::uint64_t configuration = 0;
    std::uint64_t targets = 0;
    std::uint64_t rows = 0;  ///< The product's rows.

    auto operator<=>(const table_digests&) const = default;
};

/** State of the members of one place, as its hub knows it. */
struct place_report {
    std::string place;
    std::int64_t age_ms = 0;
    std::vector<std::string> silent;    ///< VMs that the hub has not heard from.
    std::vector<std::string> stopping;  ///< VMs that are about to end.

    bool operator==(const place_report&) const = default;
};

/** Tells a hub that the sender is alive and asks for the fleet's state. */
struct hub_request {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    bool is_stopping = false;

    auto operator<=>(const hub_request&) const = default;
};

/** Answers a hub_request; ages count up to the moment of the answer. */
struct hub_answer {
    std::string vm;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;  ///< Of the request.
    bool is_store_available = false;
    bool is_stopping = false;
    table_digests digests;
    std::int64_t rows_age_ms = -1;  ///< Since the read of `digests.rows`; -1: never read.
    std::vector<place_report> reports;
    std::vector<known_position> positions;

    bool operator==(const hub_answer&) const = default;
};

using peer_message =
    std::variant<peer_ping, peer_pong, revoke_request, revoke_answer, reachability_request,
                 reachability_answer, record_notice, hub_request, hub_answer, departure_notice,
                 coordination::limit_request, coordination::limit_answer>;

/** Digest of promises; the same on every VM. Thread safe. */
std::uint64_t get_digest(const std::vector<record_promise>& promises);

/** Encodes a message as one datagram. Thread safe. */
std::string format_peer_message(const peer_message& message);

/** Empty when the bytes are not a valid message of this version. Thread safe. */
std::optional<peer_message> parse_peer_message(std::string_view bytes);

}  // namespace hornbeamhook::gateway
