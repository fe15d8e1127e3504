#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
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

/** Parses the value of a pool object, without its targets. Fails with state_error. */
boost::leaf::result<pool_description> parse_pool(const std::string& name,
                                                 const nlohmann::json& value);

/** The inverse of parse_pool(). */
nlohmann::json to_value(const pool_description& pool);

/** Parses the value of the target object "pool/target". Fails with state_error. */
boost::leaf::result<target_description> parse_target(const std::string& name,
                                                     const nlohmann::json& value);

/** The inverse of parse_target(). */
nlohmann::json to_value(const target_description& target);

}  // namespace hornbeamhook::state
