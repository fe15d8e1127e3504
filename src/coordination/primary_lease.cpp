#include "coordination/primary_lease.h"

#include <algorithm>

namespace hornbeamhook::coordination {

void primary_lease::confirm(const leadership_record& record, std::int64_t requested_at) {
    if (record_ && record.version < record_->version) {
        return;
    }
    record_ = record;
    confirmed_at_ = std::max(confirmed_at_, requested_at);
    store_read_at_ = std::max(store_read_at_, requested_at);
}

void primary_lease::extend(std::int64_t requested_at) {
    if (requested_at - store_read_at_ <= max_store_outage_ms) {
        confirmed_at_ = std::max(confirmed_at_, requested_at);
    }
}

void primary_lease::revoke(std::int64_t version) {
    revoked_version_ = std::max(revoked_version_, version);
}

std::optional<leadership_record> primary_lease::get_usable(std::int64_t now) const {
    if (!record_ || record_->is_changing() || is_revoked() || now >= get_end()) {
        return std::nullopt;
    }
    return record_;
}

}  // namespace hornbeamhook::coordination
