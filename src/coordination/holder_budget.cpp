#include "coordination/holder_budget.h"

namespace hornbeamhook::coordination {

void holder_budget::update(holder_number holder, std::size_t bytes) {
    const auto [entry, is_new] = bytes_of_.emplace(holder, bytes);
    if (!is_new) {
        if (entry->second == bytes) {
            return;
        }
        by_bytes_.erase({entry->second, holder});
        used_bytes_ -= entry->second;
        entry->second = bytes;
    }
    by_bytes_.emplace(bytes, holder);
    used_bytes_ += bytes;
}

void holder_budget::remove(holder_number holder) {
    const auto entry = bytes_of_.find(holder);
    if (entry == bytes_of_.end()) {
        return;
    }
    used_bytes_ -= entry->second;
    by_bytes_.erase({entry->second, holder});
    bytes_of_.erase(entry);
}

std::optional<holder_number> holder_budget::find_payer() const {
    return used_bytes_ > limit_bytes_ && !by_bytes_.empty()
               ? std::optional(by_bytes_.rbegin()->second)
               : std::nullopt;
}

}  // namespace hornbeamhook::coordination
