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

}  // namespace
}  // namespace hornbeamhook::coordination
