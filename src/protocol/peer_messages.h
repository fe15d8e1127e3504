#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/member.h"

namespace hornbeamhook::protocol {

/** Body of POST /internal/v1/exchange and of its answer. */
struct exchange_message {
    state::member sender;
    std::vector<state::member> entries;

    bool operator==(const exchange_message&) const = default;
};

/** Parses a digest. Fails with state_error. */
boost::leaf::result<exchange_message> parse_exchange_message(const nlohmann::json& object);

/** The inverse of parse_exchange_message(). */
nlohmann::json to_json(const exchange_message& message);

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

}  // namespace hornbeamhook::protocol
