#pragma once

#include <optional>
#include <string>

#include "gateway/configuration.h"
#include "gateway/organisation_table.h"

namespace hornbeamhook::gateway {

/** What the newest configuration means for what a session has outstanding. */
enum class authorisation_change {
    none,
    moved,          ///< Its caller is identified as another organisation now.
    revoked,        ///< Its caller's key identifies no organisation any more.
    route_dropped,  ///< Its database was removed.
};

/** For which organisation a caller with the key runs statements on the route; an empty name if the
 * route needs no key. Empty if the key identifies no organisation. Pure. */
std::optional<std::string> find_callers_organisation(const organisation_table& table,
                                                     const std::optional<key_digest>& key,
                                                     const route& used);

/** Compares what a session may run with what it runs. `used` is null if its database was removed;
 * `organisation` is the one of its outstanding statement or open transaction, null without these.
 * Pure. */
authorisation_change review_caller(const organisation_table& table,
                                   const std::optional<key_digest>& key, const route* used,
                                   const std::string* organisation);

}  // namespace hornbeamhook::gateway
