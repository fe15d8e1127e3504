#pragma once

#include <string>
#include <utility>
#include <vector>

#include "state/configuration.h"

namespace hornbeamhook::tests {

/** A change without version, as an operator drafts it. */
inline state::configuration_change make_change(
    std::string id, std::vector<state::configuration_put> puts,
    std::vector<state::configuration_delete> deletes = {}) {
    return {0, std::move(id), "test", 1, std::move(puts), std::move(deletes)};
}

/** A put of a pool with the given queue length. */
inline state::configuration_put make_pool(const std::string& name, int queue_length = 10) {
    return {"pool", name, {{"queue_length", queue_length}}};
}

/** A put of a target, named "pool/target". */
inline state::configuration_put make_target(const std::string& name, int slots = 3) {
    return {"target",
            name,
            {{"address", "127.0.0.1:5432"},
             {"place", "cairo"},
             {"data_center", "cairo-1"},
             {"slots", slots}}};
}

}  // namespace hornbeamhook::tests
