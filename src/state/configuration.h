#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamhook::state {

/** One database server of a group. */
struct target_description {
    std::string name;     ///< Unique in its pool.
    std::string address;  ///< "ip:port" of the PostgreSQL protocol.
    std::string place;
    std::string data_center;
    int connection_limit = 20;  ///< Connections the whole fleet may hold.
    int slots = 3;              ///< Statements the target runs at the same time.
    bool is_leaving = false;    ///< Gets no new work.

    bool operator==(const target_description&) const = default;
};

/** How old the data of a read may be. */
struct read_policy {
    enum class kind { own_writes, max_age, strict };

    kind policy = kind::own_writes;
    std::chrono::milliseconds max_age{0};  ///< Only for `max_age`.

    bool operator==(const read_policy&) const = default;
};

/** A named pool: one database group and how callers use it. */
struct pool_description {
    std::string name;
    read_policy default_read_policy;
    int queue_length = 256;  ///< Waiting requests per target and kind.
    std::chrono::milliseconds default_deadline{5000};
    std::vector<target_description> targets;  ///< Ordered by name.

    bool operator==(const pool_description&) const = default;

    /** The target with this name, or null. */
    const target_description* find_target(const std::string& target) const;

    /** How many targets make a majority of the group. */
    std::size_t get_majority() const { return targets.size() / 2 + 1; }
};

/** What a caller or operator may do in a pool. `*` as pool means all pools. */
struct access_right {
    std::string pool;
    bool may_read = false;
    bool may_write = false;

    bool operator==(const access_right&) const = default;
};

/** A caller or operator, known by the hash of its credential. */
struct principal {
    std::string name;
    std::string credential_hash;  ///< Hex of the keyed hash; the credential itself is never stored.
    std::vector<access_right> rights;

    bool operator==(const principal&) const = default;

    /** Whether a right covers reading (or writing) in `pool`. */
    bool is_allowed(const std::string& pool, bool is_write) const;
};

/** A key that authenticates session tokens. */
struct token_key {
    std::string id;
    std::string secret;  ///< Hex, 32 bytes.

    bool operator==(const token_key&) const = default;
};

/** The configuration of the whole fleet at one version. */
struct configuration {
    std::uint64_t version = 0;  ///< 0 means none was adopted yet.
    std::map<std::string, pool_description> pools;
    std::map<std::string, principal> callers;
    std::map<std::string, principal> operators;
    std::map<std::string, token_key> token_keys;  ///< The last id signs, all verify.
    std::map<std::string, std::uint64_t>
        object_versions;  ///< "kind/name" to version of last change.

    bool operator==(const configuration&) const = default;

    /** The pool with this name, or null. */
    const pool_description* find_pool(const std::string& pool) const;

    /** The caller with this credential hash, or null. */
    const principal* find_caller(const std::string& credential_hash) const;
};

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
