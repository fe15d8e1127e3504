#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination/failover.h"
#include "coordination/membership.h"
#include "state/configuration.h"
#include "state/member.h"

namespace hornbeamhook::protocol {

/** Parses the body of POST /internal/v1/exchange or of its answer. Fails with state_error. */
boost::leaf::result<coordination::membership_message> parse_exchange_message(
    const nlohmann::json& array);

/** The inverse of parse_exchange_message(): [live_count, digest, sender, update, ...]. */
nlohmann::json to_json(const coordination::membership_message& message);

/** Parses the answer of GET /internal/v1/members. Fails with state_error. */
boost::leaf::result<std::vector<state::member>> parse_member_list(const nlohmann::json& array);

/** The inverse of parse_member_list(). */
nlohmann::json make_member_list(const std::vector<state::member>& members);

/** Answer of POST /internal/v1/probe, whose body is one member in the compact form. */
struct probe_answer {
    bool is_reached = false;
};

/** Parses the answer. Fails with state_error. */
boost::leaf::result<probe_answer> parse_probe_answer(const nlohmann::json& object);

/** The inverse of parse_probe_answer(). */
nlohmann::json to_json(const probe_answer& answer);

/** Answer of GET /internal/v1/configuration?after=V. */
struct configuration_answer {
    std::vector<state::configuration_change> changes;  ///< In order, from V+1.
    /// Instead of changes, when the answering proxy does not hold them any more.
    std::optional<state::configuration> snapshot;
};

/** Parses the answer; every change is checked in full. Fails with state_error. */
boost::leaf::result<configuration_answer> parse_configuration_answer(const nlohmann::json& object);

/** The inverse of parse_configuration_answer(). */
nlohmann::json to_json(const configuration_answer& answer);

/** Body of POST /internal/v1/observations and of its answer. */
struct observation_message {
    std::string pool;
    /// Empty when the sender knows no primary or does not poll the group.
    std::optional<coordination::primary_observation> observation;
};

/** Parses an observation. Fails with state_error. */
boost::leaf::result<observation_message> parse_observation_message(const nlohmann::json& object);

/** The inverse of parse_observation_message(). */
nlohmann::json to_json(const observation_message& message);

/** A promotion as audit details. */
nlohmann::json to_json(const coordination::promotion_report& report);

/** What a poller saw of another proxy's promotion, for the audit trail. */
nlohmann::json to_json(const coordination::promotion_seen& seen);

/** Body of POST /internal/v1/planned_change: either a new primary, or a notice to homes. */
struct planned_change_message {
    std::string pool;
    std::string target;             ///< The new primary, or empty for a notice.
    bool is_forwarded = false;      ///< Sent on by a proxy that does not poll the group.
    std::optional<bool> is_paused;  ///< Notice: homes stop or resume admitting writes.

    bool operator==(const planned_change_message&) const = default;
};

/** Parses a planned change. Fails with state_error. */
boost::leaf::result<planned_change_message> parse_planned_change_message(
    const nlohmann::json& object);

/** The inverse of parse_planned_change_message(). */
nlohmann::json to_json(const planned_change_message& message);

}  // namespace hornbeamhook::protocol
