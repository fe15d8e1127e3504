#include "gateway/caller_authorisation.h"

namespace hornbeamhook::gateway {

std::optional<std::string> find_callers_organisation(const organisation_table& table,
                                                     const std::optional<key_digest>& key,
                                                     const route& used) {
    if (used.is_anonymous) {
        return std::string();
    }
    const organisation* found = key ? table.find_by_key(*key) : nullptr;
    return found == nullptr ? std::nullopt : std::optional(found->name);
}

authorisation_change review_caller(const organisation_table& table,
                                   const std::optional<key_digest>& key, const route* used,
                                   const std::string* organisation) {
    if (used == nullptr) {
        return authorisation_change::route_dropped;
    }
    if (organisation != nullptr && !organisation->empty()) {
        const gateway::organisation* holder = key ? table.find_by_key(*key) : nullptr;
        if (holder != nullptr && holder->name == *organisation) {
            return authorisation_change::none;  // Also on a route that needs no key any more.
        }
    }
    const std::optional<std::string> found = find_callers_organisation(table, key, *used);
    if (!found) {
        return authorisation_change::revoked;
    }
    return organisation == nullptr || *found == *organisation ? authorisation_change::none
                                                              : authorisation_change::moved;
}

}  // namespace hornbeamhook::gateway
