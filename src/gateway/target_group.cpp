#include "gateway/target_group.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::gateway {

int target_state::count_busy_links() const {
    return static_cast<int>(
        std::count_if(links.begin(), links.end(), [](const std::shared_ptr<target_link>& link) {
            return !link->is_idle() && !link->is_ended();
        }));
}

int target_state::count_in_flight() const {
    return static_cast<int>(std::count_if(links.begin(), links.end(), [](const auto& link) {
        return link->is_open() && !link->is_relayed() && !link->is_idle();
    }));
}

const target_state* target_group::find_primary() const {
    const auto& record = lease.get_record();
    const auto entry = record ? targets.find(record->target) : targets.end();
    return entry == targets.end() ? nullptr : &entry->second;
}

target_state* target_group::find_primary() {
    return const_cast<target_state*>(std::as_const(*this).find_primary());
}

}  // namespace hornbeamhook::gateway
