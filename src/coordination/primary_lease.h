#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/store_version.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** Leadership row of a group in the store. */
struct leadership_record {
    std::string target;
    state::term_number term = 0;
    std::string changer;        ///< VM, incarnation and claim replacing the primary; empty if none.
    store_version version = 0;  ///< Version of the stored row; increases with each write.
    std::int64_t era = 0;       ///< The store's era as known to the VM that wrote the record.

    auto operator<=>(const leadership_record&) const = default;

    bool is_changing() const { return !changer.empty(); }

    /** Whether the store was restored after the record was written, so that a claim or a record
     * that followed it may be lost. */
    bool is_restored() const { return era < get_era(version); }
};

/** The record to restore() if the store of this era holds none although `known` was written: of a
 * version that a row which does not exist has. Pure. */
leadership_record make_lost_record(const leadership_record& known, std::int64_t era);

/**
 * How long a VM may use a primary after its lease was last renewed. A VM that replaces a primary
 * waits this long for VMs that do not answer. Leases are renewed every 700 ms, so one renewal may
 * fail.
 */
inline constexpr std::int64_t lease_duration_ms = 2000;

/**
 * How long promises of the other VMs may extend a lease without a read of the store. A VM that
 * does not read the store may not know one that has been listed for less than this, so a VM listed
 * that recently removes no member, and replaces a primary only if all members answer it, or one
 * that has been listed for longer.
 */
inline constexpr std::int64_t max_store_outage_ms = 15000;

/**
 * Time without a message after which a VM may be removed from the member list: five pings. Leases
 * are extended only if all members promise, so a failed VM must be removed soon.
 */
inline constexpr std::int64_t member_removal_timeout_ms = 3500;

/**
 * A VM may replace a primary only if its newest read of the store was sent within this time: the
 * longest interval between reads, 4 s, and a delay.
 */
inline constexpr std::int64_t max_record_age_ms = 4500;

/**
 * Time for which a VM is listed before another one may remove it. Each VM that may replace a
 * primary has then read a list with it, and waits for its lease.
 */
inline constexpr std::int64_t min_listed_time_ms = max_record_age_ms + 500;

/** Allows for clock drift between VMs. */
inline constexpr std::int64_t clock_drift_margin_ms = 100;

/**
 * This VM's lease on the primary of one group. All times are from a local clock that keeps running
 * while the VM is suspended, so that the lease has expired when the VM resumes. Not thread safe.
 */
class primary_lease {
public:
    /** Renews the lease: a store read sent at `requested_at` returned this record. A restored
     * record renews no lease. */
    void confirm(const leadership_record& record, std::int64_t requested_at);

    /**
     * Replaces the known record: the store was restored and holds `record`, which is_restored(). A
     * lease that is valid now continues until it ends: every change of the primary waits for it,
     * so none can have got further than its claim. Otherwise the primary may not be used. Of the
     * two records the primary of the higher term is kept.
     */
    void restore(const leadership_record& record, std::int64_t now);

    /**
     * Extends the lease: all members promised, in answer to pings sent at `requested_at` or later,
     * not to begin a change.
     */
    void extend(std::int64_t requested_at);

    /**
     * Ends the lease: a VM, maybe this one, replaces the primary of records up to `version`. False
     * if that VM must not be told so: the store was restored since, so that the change is lost and
     * the lease goes on, or this VM does not know whether it was, having read no record yet.
     */
    bool revoke(store_version version);

    /** Ends the lease until it is renewed. */
    void expire() { confirmed_at_ = -lease_duration_ms; }

    /** The record whose primary may be used now; empty without a valid lease. */
    std::optional<leadership_record> get_usable(std::int64_t now) const;

    /** The newest record, whether or not the lease is valid. */
    const std::optional<leadership_record>& get_record() const { return record_; }

    /** Whether a change of the primary may have been lost when the store was restored. */
    bool is_in_doubt() const { return record_ && record_->is_restored() && !is_continued_; }

    /** Whether a change announced to this VM is still in progress. */
    bool is_revoked() const { return record_ && record_->version <= revoked_version_; }

    /** Records up to this version give no lease. */
    store_version get_revoked_version() const { return revoked_version_; }

    /** When the lease expires unless it is renewed. */
    std::int64_t get_end() const { return confirmed_at_ + lease_duration_ms; }

private:
    std::optional<leadership_record> record_;
    std::int64_t confirmed_at_ = -lease_duration_ms;
    std::int64_t store_read_at_ = -max_store_outage_ms;
    store_version revoked_version_ = 0;
    bool is_continued_ = false;  ///< The lease was valid when the present record was restored.
};

}  // namespace hornbeamhook::coordination
