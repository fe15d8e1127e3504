#include "coordination/primary_lease.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

leadership_record make_record(std::int64_t version, const std::string& changer = {}) {
    return {"t1", 1, changer, version};
}

// Guards against a VM that uses a primary for longer than a VM replacing it waits.
TEST(primary_lease, expires_unless_renewed) {
    primary_lease lease;
    EXPECT_FALSE(lease.get_usable(0).has_value());
    lease.confirm(make_record(5), 1000);
    EXPECT_TRUE(lease.get_usable(1000 + lease_duration_ms - 1).has_value());
    EXPECT_FALSE(lease.get_usable(1000 + lease_duration_ms).has_value());
    lease.extend(2500);
    EXPECT_TRUE(lease.get_usable(2500 + lease_duration_ms - 1).has_value());
}

// Guards against promises that extend a lease without a store read for longer than a removed member
// is waited for.
TEST(primary_lease, promises_extend_it_only_within_the_store_outage_limit) {
    primary_lease lease;
    lease.confirm(make_record(5), 1000);
    lease.extend(1000 + max_store_outage_ms + 1);
    EXPECT_FALSE(lease.get_usable(1000 + max_store_outage_ms + 1).has_value());
}

// Guards against a lease restored by a store read that was in flight when the lease was revoked.
TEST(primary_lease, an_older_record_does_not_undo_a_revocation) {
    primary_lease lease;
    lease.confirm(make_record(5), 1000);
    lease.revoke(8);
    lease.confirm(make_record(5), 1100);
    EXPECT_FALSE(lease.get_usable(1100).has_value());
    lease.confirm(make_record(9, "vm2/1"), 1200);
    EXPECT_FALSE(lease.get_usable(1200).has_value());
    lease.confirm(make_record(12), 1300);
    EXPECT_TRUE(lease.get_usable(1300).has_value());
}

// Guards against a delayed store answer that returns a VM to an older primary.
TEST(primary_lease, keeps_the_newest_record) {
    primary_lease lease;
    lease.confirm({"t2", 2, {}, 9}, 1000);
    lease.confirm({"t1", 1, {}, 5}, 1500);
    EXPECT_EQ(lease.get_record()->target, "t2");
    EXPECT_FALSE(lease.get_usable(1000 + lease_duration_ms).has_value());
}

leadership_record make_record_of_era(state::term_number term, std::int64_t written_in,
                                     std::int64_t era, std::int64_t number) {
    return {"t" + std::to_string(term), term, {}, make_store_version(era, number), written_in};
}

// Guards against a gap of seconds after each restore of the store, although no change was under
// way.
TEST(primary_lease, a_valid_lease_continues_over_a_restore_but_is_not_renewed_by_it) {
    primary_lease lease;
    lease.confirm(make_record_of_era(1, 1, 1, 5), 1000);
    const leadership_record restored = make_record_of_era(1, 1, 2, 5);
    EXPECT_TRUE(restored.is_restored());
    lease.confirm(restored, 1500);
    EXPECT_EQ(lease.get_record()->version, make_store_version(1, 5));
    lease.restore(restored, 1500);
    EXPECT_EQ(lease.get_record()->version, make_store_version(2, 5));
    EXPECT_FALSE(lease.is_in_doubt());
    EXPECT_TRUE(lease.get_usable(1000 + lease_duration_ms - 1).has_value());
    lease.restore(restored, 2000);
    EXPECT_FALSE(lease.get_usable(1000 + lease_duration_ms).has_value());
    lease.confirm(make_record_of_era(1, 2, 2, 8), 3500);
    EXPECT_TRUE(lease.get_usable(3500).has_value());
}

// Guards against a VM that uses the primary of a restored record although a claim was lost: its
// lease had expired or was released when the store was restored, or it has just started.
TEST(primary_lease, without_a_valid_lease_a_restored_record_is_in_doubt) {
    const leadership_record restored = make_record_of_era(1, 1, 2, 5);
    primary_lease started;
    primary_lease expired;
    primary_lease released;
    for (primary_lease* lease : {&expired, &released}) {
        lease->confirm(make_record_of_era(1, 1, 1, 5), 1000);
    }
    released.revoke(make_store_version(1, 7));
    started.restore(restored, 1500);
    expired.restore(restored, 1000 + lease_duration_ms);
    released.restore(restored, 1500);
    for (const primary_lease* lease : {&started, &expired, &released}) {
        EXPECT_TRUE(lease->is_in_doubt());
        EXPECT_FALSE(lease->get_usable(1500).has_value());
    }
}

// Guards against an older primary that comes back with the store.
TEST(primary_lease, the_record_of_the_higher_term_outlives_a_restore) {
    for (const std::int64_t now : {std::int64_t{1500}, std::int64_t{9000}}) {
        primary_lease lease;
        lease.confirm(make_record_of_era(2, 1, 1, 9), 1000);
        lease.restore(make_record_of_era(1, 1, 2, 5), now);
        EXPECT_EQ(lease.get_record()->target, "t2");
        EXPECT_EQ(lease.get_record()->term, 2U);
        EXPECT_EQ(lease.get_usable(now).has_value(), now == 1500);
    }
    primary_lease lost;
    lost.confirm(make_record_of_era(2, 1, 1, 9), 1000);
    lost.restore(make_lost_record(*lost.get_record(), 2), 1500);
    EXPECT_EQ(get_number(lost.get_record()->version), 0);
    EXPECT_TRUE(lost.get_usable(1500).has_value());
}

// Guards against a promotion by a VM that does not know of a restore and takes an answer for the
// end of the lease, although the record is being written again.
TEST(primary_lease, a_lost_change_does_not_end_a_continued_lease) {
    primary_lease lease;
    lease.confirm(make_record_of_era(1, 1, 1, 5), 1000);
    lease.restore(make_record_of_era(1, 1, 2, 5), 1500);
    EXPECT_FALSE(lease.revoke(make_store_version(1, 7)));
    EXPECT_TRUE(lease.get_usable(1500).has_value());
    lease.confirm(make_record_of_era(1, 2, 2, 8), 1600);
    EXPECT_FALSE(lease.revoke(make_store_version(1, 7)));
    EXPECT_TRUE(lease.get_usable(1600).has_value());
    EXPECT_TRUE(lease.revoke(make_store_version(2, 9)));
    EXPECT_FALSE(lease.get_usable(1600).has_value());
    EXPECT_FALSE(primary_lease().revoke(make_store_version(1, 7)));
    primary_lease in_doubt;
    in_doubt.restore(make_record_of_era(1, 1, 2, 5), 1500);
    EXPECT_TRUE(in_doubt.revoke(make_store_version(1, 7)));
}

}  // namespace
}  // namespace hornbeamhook::coordination
