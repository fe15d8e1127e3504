#include "gateway/target_group.h"

#include <algorithm>

namespace hornbeamhook::gateway {

int target_state::count_busy() const {
    return static_cast<int>(
        std::count_if(links.begin(), links.end(), [](const std::shared_ptr<target_link>& link) {
            return !link->is_idle() && !link->is_ended();
        }));
}

}  // namespace hornbeamhook::gateway
