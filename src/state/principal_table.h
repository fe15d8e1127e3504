#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "state/principal.h"

namespace hornbeamhook::state {

/**
 * Callers or operators by name and by credential hash. Every request of a caller is authenticated
 * by its hash, so that lookup must not grow with the number of callers. Copies are independent; one
 * object may be read by several threads.
 */
class principal_table {
public:
    using name_map = std::map<std::string, principal>;

    /** The principal with this credential hash, or null. */
    const principal* find_by_hash(const std::string& credential_hash) const;

    /** Adds or replaces a principal. Precondition: no other one has its credential hash. */
    void put(principal value);

    /** Removes a principal; returns false when there is none with this name. */
    bool erase(const std::string& name);

    /** All principals, ordered by name. */
    const name_map& get_all() const { return by_name_; }

    bool operator==(const principal_table& other) const { return by_name_ == other.by_name_; }

private:
    name_map by_name_;
    std::unordered_map<std::string, std::string> names_by_hash_;
};

}  // namespace hornbeamhook::state
