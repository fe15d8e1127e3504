#include "state/principal_table.h"

#include <utility>

namespace hornbeamhook::state {

const principal* principal_table::find_by_hash(const std::string& credential_hash) const {
    const auto name = names_by_hash_.find(credential_hash);
    return name == names_by_hash_.end() ? nullptr : &by_name_.at(name->second);
}

void principal_table::put(principal value) {
    erase(value.name);
    names_by_hash_[value.credential_hash] = value.name;
    by_name_.emplace(value.name, std::move(value));
}

bool principal_table::erase(const std::string& name) {
    const auto it = by_name_.find(name);
    if (it == by_name_.end()) {
        return false;
    }
    names_by_hash_.erase(it->second.credential_hash);
    by_name_.erase(it);
    return true;
}

}  // namespace hornbeamhook::state
