#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "state/configuration_change.h"
#include "state/pool_description.h"
#include "state/principal.h"
#include "state/principal_table.h"

namespace hornbeamhook::state {

/** The configuration of the whole fleet at one version. */
struct configuration {
    std::uint64_t version = 0;  ///< 0 means none was adopted yet.
    std::map<std::string, pool_description> pools;
    principal_table callers;
    principal_table operators;
    std::map<std::string, token_key> token_keys;  ///< The last id signs, all verify.
    std::map<std::string, std::uint64_t>
        object_versions;  ///< "kind/name" to version of last change.

    bool operator==(const configuration&) const = default;

    /** The pool with this name, or null. */
    const pool_description* find_pool(const std::string& pool) const;

    /** The caller with this credential hash, or null. */
    const principal* find_caller(const std::string& credential_hash) const;
};

/**
 * The configuration after `change`.
 *
 * Fails with state_error when `change.version` is not the next version, when a put is invalid, or
 * when it refers to something that does not exist (a target of an unknown pool).
 */
boost::leaf::result<configuration> apply_change(const configuration& base,
                                                const configuration_change& change);

/** A whole configuration as JSON, for snapshots. */
nlohmann::json to_json(const configuration& value);

/** The inverse of to_json(const configuration&). Fails with state_error. */
boost::leaf::result<configuration> parse_configuration(const nlohmann::json& object);

}  // namespace hornbeamhook::state
