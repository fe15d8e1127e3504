#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "gateway/organisation_table.h"

namespace hornbeamhook::gateway {

/** Commits that the reads of a route must include. */
enum class read_policy {
    primary,     ///< Every acknowledged commit.
    bounded,     ///< All commits older than the staleness bound.
    own_writes,  ///< As bounded, plus the commits of the same session.
};

/** Routing of the statements of one database. */
struct route {
    std::string database;
    std::string group;
    read_policy policy = read_policy::primary;
    std::int64_t staleness_ms = 0;
    std::int64_t timeout_ms = 0;    ///< For one statement; 0 means none.
    std::int64_t objective_ms = 0;  ///< Latency objective of a whole operation.
    std::int64_t priority = 0;      ///< 0 is the highest.
    bool is_anonymous = false;      ///< Callers need no key.

    auto operator<=>(const route&) const = default;
};

/** One version of the operators' configuration. */
struct configuration {
    std::int64_t version = 0;
    std::map<std::string, route> routes;           ///< By database.
    std::map<std::string, int> connection_limits;  ///< Per target, by group.
    std::int64_t transaction_idle_ms = 0;          ///< 0 means no limit.
    organisation_table organisations;

    bool operator==(const configuration&) const = default;
};

}  // namespace hornbeamhook::gateway
