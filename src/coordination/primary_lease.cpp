#include "coordination/primary_lease.h"

#include <algorithm>

namespace hornbeamhook::coordination {

leadership_record make_lost_record(const leadership_record& known, std::int64_t era) {
    leadership_record lost = known;
    lost.changer.clear();
    lost.version = get_first_version(era);
    return lost;
}

void primary_lease::confirm(const leadership_record& record, std::int64_t requested_at) {
    if (record.is_restored() || (record_ && record.version < record_->version)) {
        return;
    }
    record_ = record;
    confirmed_at_ = std::max(confirmed_at_, requested_at);
    store_read_at_ = std::max(store_read_at_, requested_at);
}

void primary_lease::restore(const leadership_record& record, std::int64_t now) {
    if (record_ && record.version <= record_->version) {
        return;
    }
    const bool is_newer_known = record_ && record_->term > record.term;
    const bool is_same_known = record_ && record_->term == record.term &&
                               record_->target == record.target && !record.is_changing();
    is_continued_ = get_usable(now).has_value() && (is_newer_known || is_same_known);
    leadership_record next = record;
    if (is_newer_known) {
        next.target = record_->target;
        next.term = record_->term;
    }
    if (is_continued_) {
        next.changer.clear();
    }
    record_ = next;
}

void primary_lease::extend(std::int64_t requested_at) {
    if (requested_at - store_read_at_ <= max_store_outage_ms) {
        confirmed_at_ = std::max(confirmed_at_, requested_at);
    }
}

bool primary_lease::revoke(store_version version) {
    revoked_version_ = std::max(revoked_version_, version);
    return record_ && (get_era(version) >= get_era(record_->version) || is_in_doubt());
}

std::optional<leadership_record> primary_lease::get_usable(std::int64_t now) const {
    if (!record_ || record_->is_changing() || is_in_doubt() || is_revoked() || now >= get_end()) {
        return std::nullopt;
    }
    return record_;
}

}  // namespace hornbeamhook::coordination
