#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hornbeamhook::state {

/** One object put by a change. `kind` is pool, target, caller, operator or token_key. */
struct configuration_put {
    std::string kind;
    std::string name;  ///< Targets are named "pool/target".
    nlohmann::json value;

    bool operator==(const configuration_put&) const = default;
};

/** One object removed by a change. */
struct configuration_delete {
    std::string kind;
    std::string name;

    bool operator==(const configuration_delete&) const = default;
};

/** One entry of the configuration change log. */
struct configuration_change {
    std::uint64_t version = 0;  ///< The version it creates.
    std::string change_id;      ///< Unique; resolves a lost answer of the store.
    std::string author;
    std::int64_t at_ms = 0;  ///< Wall clock of the author, for display only.
    std::vector<configuration_put> puts;
    std::vector<configuration_delete> deletes;

    bool operator==(const configuration_change&) const = default;
};

/** Parses a change; every put is checked in full. Fails with state_error. */
boost::leaf::result<configuration_change> parse_configuration_change(const nlohmann::json& object);

/** The inverse of parse_configuration_change(). */
nlohmann::json to_json(const configuration_change& change);

}  // namespace hornbeamhook::state
