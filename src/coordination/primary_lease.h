#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** The store's record of who leads a group. */
struct leadership_record {
    std::string target;
    state::term_number term = 0;
    std::string changer;  ///< VM and incarnation that replaces the primary; empty when none does.
    std::int64_t version = 0;  ///< Of the stored row; grows with each change.

    auto operator<=>(const leadership_record&) const = default;

    bool is_changing() const { return !changer.empty(); }
};

/**
 * How long a VM may use a primary after it last confirmed its right. A VM that replaces a primary
 * waits this long for VMs that do not answer it. Confirmations come every 700 ms, so one may fail.
 */
inline constexpr std::int64_t lease_duration_ms = 2000;

/**
 * How long promises of the other VMs may stand in for the store. A VM that is listed for less than
 * this may be unknown to a VM that lives on promises, and acts only with another member's help.
 */
inline constexpr std::int64_t max_store_outage_ms = 15000;

/**
 * Silence after which a VM may be removed from the list of members: five pings. Promises need all
 * members, so a VM that is gone must not stay listed for long.
 */
inline constexpr std::int64_t member_removal_timeout_ms = 3500;

/** Clocks of VMs tick at slightly different speeds. */
inline constexpr std::int64_t clock_drift_margin_ms = 100;

/**
 * This VM's right to use the primary of one group. All times are of a local clock that counts
 * suspensions, so that a VM that was suspended finds its right expired. Not thread safe.
 */
class primary_lease {
public:
    /** The store was read by a request sent at `asked_at` and held this record. */
    void confirm(const leadership_record& record, std::int64_t asked_at);

    /** All members promised, to questions sent at `asked_at` or later, not to begin a change. */
    void extend(std::int64_t asked_at);

    /** Another VM, or this one, replaces the primary of records up to `version`. */
    void revoke(std::int64_t version);

    /** The record whose primary may be used now; empty when there is no right. */
    std::optional<leadership_record> get_usable(std::int64_t now) const;

    /** The newest record, usable or not. */
    const std::optional<leadership_record>& get_record() const { return record_; }

    /** Whether a change that this VM was told of has not ended. */
    bool is_revoked() const { return record_ && record_->version <= revoked_version_; }

    /** When the right ends unless it is confirmed again. */
    std::int64_t get_end() const { return confirmed_at_ + lease_duration_ms; }

private:
    std::optional<leadership_record> record_;
    std::int64_t confirmed_at_ = -lease_duration_ms;
    std::int64_t store_read_at_ = -max_store_outage_ms;
    std::int64_t revoked_version_ = 0;
};

}  // namespace hornbeamhook::coordination
